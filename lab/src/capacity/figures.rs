//! Formatting of numbers and amounts.

use super::Resource;

/// Formats a value as a whole number with thousands separators.
pub fn format_count(value: f64) -> String {
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

/// Formats a value with about three significant digits.
pub fn format_number(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 {
        format_count(value)
    } else if size >= 10.0 {
        trim_trailing_zeros(format!("{value:.1}"))
    } else if size >= 0.1 {
        trim_trailing_zeros(format!("{value:.2}"))
    } else if size >= 0.0005 {
        trim_trailing_zeros(format!("{value:.4}"))
    } else if size == 0.0 {
        "0".to_owned()
    } else {
        format!("{value:.1e}")
    }
}

/// Formats an amount of a resource with its unit.
pub fn format_amount(resource: Resource, value: f64) -> String {
    match resource {
        Resource::Messages => format!("{}/s", format_number(value)),
        Resource::Connections => format_count(value),
        Resource::Bytes => format!("{}/s", format_bytes(value)),
        Resource::Memory => format_bytes(value),
        Resource::Processor => format!("{}%", format_number(100.0 * value)),
        Resource::Seconds => format!("{} s", format_number(value)),
    }
}

fn format_bytes(value: f64) -> String {
    let (divisor, unit) = match value.abs() {
        size if size >= 1e12 => (1e12, "TB"),
        size if size >= 1e9 => (1e9, "GB"),
        size if size >= 1e6 => (1e6, "MB"),
        size if size >= 1e4 => (1e3, "KB"),
        _ => (1.0, "B"),
    };
    format!("{} {unit}", format_number(value / divisor))
}

fn trim_trailing_zeros(written: String) -> String {
    match written.contains('.') {
        true => written.trim_end_matches('0').trim_end_matches('.').to_owned(),
        false => written,
    }
}
