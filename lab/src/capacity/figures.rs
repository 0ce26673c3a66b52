//! How numbers are written.

use super::Resource;

/// A whole number with commas.
pub fn count(value: f64) -> String {
    let digits = format!("{:.0}", value.abs().round());
    let mut grouped = String::new();
    if value <= -0.5 {
        grouped.push('-');
    }
    for (i, digit) in digits.chars().enumerate() {
        let left = digits.len() - i;
        if i > 0 && left % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    grouped
}

/// A number with three figures or so.
pub fn number(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 {
        count(value)
    } else if size >= 10.0 {
        shortened(format!("{value:.1}"))
    } else if size >= 0.1 {
        shortened(format!("{value:.2}"))
    } else if size >= 0.0005 {
        shortened(format!("{value:.4}"))
    } else if size == 0.0 {
        "0".to_owned()
    } else {
        format!("{value:.1e}")
    }
}

/// An amount of a resource with its unit.
pub fn amount(resource: Resource, value: f64) -> String {
    match resource {
        Resource::Messages => format!("{}/s", number(value)),
        Resource::Connections => count(value),
        Resource::Bytes => format!("{}/s", bytes(value)),
        Resource::Memory => bytes(value),
        Resource::Processor => format!("{}%", number(100.0 * value)),
        Resource::Seconds => format!("{} s", number(value)),
    }
}

fn bytes(value: f64) -> String {
    let (divisor, unit) = match value.abs() {
        size if size >= 1e12 => (1e12, "TB"),
        size if size >= 1e9 => (1e9, "GB"),
        size if size >= 1e6 => (1e6, "MB"),
        size if size >= 1e4 => (1e3, "KB"),
        _ => (1.0, "B"),
    };
    format!("{} {unit}", number(value / divisor))
}

fn shortened(written: String) -> String {
    match written.contains('.') {
        true => written.trim_end_matches('0').trim_end_matches('.').to_owned(),
        false => written,
    }
}
