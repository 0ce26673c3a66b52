//! An SVG plot of need over budget against the number of nodes.

use super::rows::{all_rows, Need};
use super::solve::budget_ratio;
use super::Plan;
use crate::slopes::SlopesFile;
use plotters::prelude::*;
use std::error::Error;

const SIZE: (u32, u32) = (1_100, 640);
const MIN_NODES: f64 = 10.0;
const MAX_NODES: f64 = 10_000.0;
const STEPS: i32 = 120;
/// Only the needs with the highest ratio at the plan's size are drawn; more lines are indistinguishable.
const MAX_LINES: usize = 12;
const MIN_RATIO: f64 = 0.001;
const MAX_RATIO: f64 = 1_000.0;

struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Draws the needs with the highest ratio of need to budget at the plan's size.
pub fn plot(plan: &Plan, slopes: &SlopesFile) -> Result<String, Box<dyn Error>> {
    let lines = lines(plan, slopes);
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(format!("Need over budget, worst case, plan {}", plan.name), ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d((MIN_NODES..MAX_NODES).log_scale(), (MIN_RATIO..MAX_RATIO).log_scale())?;
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .x_desc("nodes")
            .y_desc("need over budget")
            .draw()?;
        chart.draw_series(LineSeries::new([(MIN_NODES, 1.0), (MAX_NODES, 1.0)], BLACK.stroke_width(1)))?;
        chart.draw_series(LineSeries::new(
            [(plan.nodes, MIN_RATIO), (plan.nodes, MAX_RATIO)],
            BLACK.mix(0.3).stroke_width(1),
        ))?;
        for (i, line) in lines.into_iter().enumerate() {
            let colour = Palette99::pick(i).to_rgba();
            chart
                .draw_series(LineSeries::new(line.points, colour.stroke_width(2)))?
                .label(line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.8))
            .draw()?;
        root.present()?;
    }
    Ok(svg)
}

fn lines(plan: &Plan, slopes: &SlopesFile) -> Vec<Line> {
    let mut found = Vec::new();
    for row in all_rows() {
        for need in &row.needs {
            if let Some(ratio) = budget_ratio(need, plan, slopes) {
                let name = format!("{}, {}, {}", row.role, row.name, need.resource);
                found.push((ratio, Line { name, points: points(need, plan, slopes) }));
            }
        }
    }
    found.sort_by(|one, other| other.0.total_cmp(&one.0));
    found.into_iter().take(MAX_LINES).map(|(_, line)| line).collect()
}

fn points(need: &Need, plan: &Plan, slopes: &SlopesFile) -> Vec<(f64, f64)> {
    let at =
        |step: i32| (MIN_NODES * (MAX_NODES / MIN_NODES).powf(f64::from(step) / f64::from(STEPS))).round();
    (0..=STEPS)
        .filter_map(|step| {
            let nodes = at(step);
            let ratio = budget_ratio(need, &plan.with_nodes(nodes), slopes)?;
            Some((nodes, ratio.clamp(MIN_RATIO, MAX_RATIO)))
        })
        .collect()
}
