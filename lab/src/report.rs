//! Reports: a self-contained HTML page for the runs of an experiment, with plots over time.

use crate::experiment::{Experiment, ScheduledFault};
use crate::judge::{NodeState, RunResult as Run, Second, FIGURES};
use maud::{html, Markup, PreEscaped, DOCTYPE};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write;
use std::path::{Path, PathBuf};

const PLOT_WIDTH: u32 = 880;
const PLOT_HEIGHT: u32 = 210;
/// Row height in a node timeline, and maximum number of rows.
const ROW_HEIGHT: u32 = 12;
const MAX_ROWS: usize = 60;
/// Colours of the arms, used cyclically.
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 93, 160),
    RGBColor(201, 96, 21),
    RGBColor(44, 127, 72),
    RGBColor(140, 60, 140),
    RGBColor(110, 110, 20),
    RGBColor(90, 90, 90),
];

type SvgResult = Result<String, Box<dyn Error>>;

/// A plotted line: its name and one value per second.
type Line<'a> = (&'a str, Vec<f64>);

/// Writes the page of an experiment into a folder and returns its path.
pub fn write(folder: &Path, experiment: &Experiment, runs: &[Run]) -> Result<PathBuf, Box<dyn Error>> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join(format!("{}.html", experiment.name));
    std::fs::write(&path, page(experiment, runs)?.into_string())?;
    Ok(path)
}

fn page(experiment: &Experiment, runs: &[Run]) -> Result<Markup, Box<dyn Error>> {
    let mut seeds: BTreeMap<u64, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        seeds.entry(run.seed).or_default().push(run);
    }
    let mut plots = Vec::new();
    for (seed, runs) in &seeds {
        plots.push((seed, seed_plots(experiment, runs)?));
    }
    Ok(html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { (experiment.name) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { (experiment.name) }
                p { (experiment.about) }
                p { "Times count from the end of the lead of " (humantime::format_duration(experiment.lead)) ". "
                    "Shaded: faults, as on the schedule." }
                (faults(experiment))
                h2 { "Checks" }
                (checks(runs))
                h2 { "Figures" }
                (figures(runs))
                @for (seed, plots) in &plots {
                    h2 { "Seed " (seed) }
                    @for (title, svg) in plots {
                        h3 { (title) }
                        (PreEscaped(svg))
                    }
                }
                h2 { "Broken rules" }
                (violations(runs))
                h2 { "What the figures mean" }
                dl { @for (name, meaning) in FIGURES { dt { (name) } dd { (meaning) } } }
            }
        }
    })
}

const STYLE: &str = "body{font:14px/1.4 sans-serif;max-width:940px;margin:2em auto;padding:0 1em;color:#222}\
table{border-collapse:collapse;margin:1em 0}th,td{padding:.2em .7em;border-bottom:1px solid #ddd;text-align:right}\
th:first-child,td:first-child{text-align:left}.bad{color:#a00;font-weight:bold}dt{font-weight:bold}svg{max-width:100%}";

fn faults(experiment: &Experiment) -> Markup {
    html! {
        @if !experiment.fault.is_empty() {
            table {
                tr { th { "fault" } th { "from" } th { "to" } th { "part" } th { "size" } }
                @for fault in &experiment.fault {
                    tr {
                        td { (fault_name(fault)) }
                        td { (humantime::format_duration(fault.from)) }
                        td { (humantime::format_duration(fault.to)) }
                        td { (fault.part) }
                        td { (fault.size) }
                    }
                }
            }
        }
    }
}

/// The name of a fault as in experiment files.
fn fault_name(fault: &ScheduledFault) -> String {
    serde_json::to_value(fault.what).ok().and_then(|name| Some(name.as_str()?.to_owned())).unwrap_or_default()
}

fn checks(runs: &[Run]) -> Markup {
    html! {
        table {
            tr { th { "check" } th { "arm" } th { "seed" } th { "figure" } th { "value" } th { "bound" } th { "" } }
            @for run in runs {
                @for check in &run.checks {
                    tr {
                        td { (check.name) } td { (run.arm) } td { (run.seed) } td { (check.figure) }
                        td { (format!("{:.4}", check.value)) } td { (check.bound) }
                        @if check.holds { td { "holds" } } @else { td.bad { "falls short" } }
                    }
                }
                @if let Some(why) = &run.void {
                    tr { td.bad { "void: " (why) } td { (run.arm) } td { (run.seed) } td; td; td; td; }
                }
            }
        }
    }
}

fn figures(runs: &[Run]) -> Markup {
    let known = FIGURES.iter().filter(|(name, _)| runs.iter().any(|run| run.figures.contains_key(name)));
    html! {
        table {
            tr { th { "figure" } @for run in runs { th { (run.arm) ", " (run.seed) } } }
            @for (name, _) in known {
                tr {
                    td { (name) }
                    @for run in runs {
                        td { @if let Some(value) = run.figures.get(name) { (format!("{value:.4}")) } }
                    }
                }
            }
        }
    }
}

fn violations(runs: &[Run]) -> Markup {
    let none = runs.iter().all(|run| run.rules_broken.is_empty());
    html! {
        @if none { p { "None." } } @else {
            ul {
                @for run in runs {
                    @for violation in &run.rules_broken {
                        li { (run.arm) ", seed " (run.seed) ", " (format!("{:.3} s", violation.at_s)) ", "
                             b { (violation.rule) } ": " (violation.what) }
                    }
                }
            }
        }
    }
}

fn seed_plots(experiment: &Experiment, runs: &[&Run]) -> Result<Vec<(String, String)>, Box<dyn Error>> {
    let lines = |value: &dyn Fn(&Second) -> f64| -> Vec<Line> {
        runs.iter().map(|run| (run.arm.as_str(), run.series.iter().map(value).collect())).collect()
    };
    let part = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
    let of_requests = |count: u32, second: &Second| part(count.into(), second.requests.into());
    let plots: [(&str, Vec<Line>); 6] = [
        ("Worth served in time, of what was asked", lines(&|second| part(second.served, second.asked))),
        ("Requests refused, of all", lines(&|second| of_requests(second.refused, second))),
        ("Requests failed or never answered, of all", lines(&|second| of_requests(second.failed, second))),
        ("Median time of what was served, ms", lines(&|second| second.p50_ms)),
        ("99th percentile of it, ms", lines(&|second| second.p99_ms)),
        ("Requests a second", lines(&|second| second.requests.into())),
    ];
    let mut rendered = Vec::new();
    for (title, lines) in plots {
        rendered.push((title.to_owned(), line_plot(experiment, &lines)?));
    }
    for run in runs.iter().filter(|run| !run.spans.is_empty()) {
        rendered.push((
            format!("What nodes did that were not serving, {}", run.arm),
            node_timeline(experiment, run)?,
        ));
    }
    Ok(rendered)
}

fn line_plot(experiment: &Experiment, lines: &[Line]) -> SvgResult {
    let most = lines.iter().flat_map(|(_, values)| values.iter().copied()).fold(0.0, f64::max);
    let height = if most > 0.0 { most * 1.08 } else { 1.0 };
    let length = experiment.length.as_secs_f64();
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (PLOT_WIDTH, PLOT_HEIGHT)).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..length, 0.0..height)?;
        chart.configure_mesh().light_line_style(TRANSPARENT).x_desc("s").draw()?;
        for fault in &experiment.fault {
            let (from, to) = (fault.from.as_secs_f64(), fault.to.as_secs_f64());
            chart.draw_series([Rectangle::new([(from, 0.0), (to, height)], RED.mix(0.08).filled())])?;
        }
        for (i, (name, values)) in lines.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            let points = values.iter().enumerate().map(|(second, value)| (second as f64 + 0.5, *value));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .draw()?;
        root.present()?;
    }
    Ok(svg)
}

fn state_style(state: NodeState) -> (RGBColor, &'static str) {
    match state {
        NodeState::Serving => (RGBColor(200, 220, 200), "serving"),
        NodeState::Leaving => (RGBColor(214, 170, 60), "leaving"),
        NodeState::Paused => (RGBColor(120, 120, 190), "standing still"),
        NodeState::Slow => (RGBColor(160, 190, 220), "slow"),
        NodeState::Down => (RGBColor(170, 50, 50), "down"),
    }
}

fn node_timeline(experiment: &Experiment, run: &Run) -> SvgResult {
    let mut rows: Vec<_> = run.spans.iter().map(|span| span.node).collect();
    rows.sort_unstable();
    rows.dedup();
    let omitted = rows.len().saturating_sub(MAX_ROWS);
    rows.truncate(MAX_ROWS);
    let length = experiment.length.as_secs_f64();
    let height = ROW_HEIGHT * rows.len() as u32 + 60;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (PLOT_WIDTH, height)).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..length, 0.0..rows.len() as f64)?;
        let label = |row: &f64| rows.get(*row as usize).map_or_else(String::new, |node| format!("n{node}"));
        chart
            .configure_mesh()
            .disable_y_mesh()
            .y_labels(rows.len().min(12))
            .y_label_formatter(&label)
            .draw()?;
        for state in [NodeState::Leaving, NodeState::Paused, NodeState::Slow, NodeState::Down] {
            let (fill, name) = state_style(state);
            let spans = run.spans.iter().filter(|span| span.state == state);
            let bars: Vec<_> = spans
                .filter_map(|span| {
                    let row = rows.binary_search(&span.node).ok()? as f64;
                    let (from, to) = (span.from_s.max(0.0), span.to_s.min(length));
                    Some(Rectangle::new([(from, row + 0.15), (to, row + 0.85)], fill.filled()))
                })
                .collect();
            if !bars.is_empty() {
                let legend = move |(x, y)| Rectangle::new([(x, y - 4), (x + 14, y + 4)], fill.filled());
                chart.draw_series(bars)?.label(name).legend(legend);
            }
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.8))
            .draw()?;
        root.present()?;
    }
    if omitted > 0 {
        write!(svg, "<p>and {omitted} nodes more</p>")?;
    }
    Ok(svg)
}
