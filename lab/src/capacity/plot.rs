//! Need over budget against the number of nodes, as an SVG.

use super::rows::{all_rows, Need};
use super::solve::over_budget;
use super::Plan;
use crate::slopes::SlopesFile;
use plotters::prelude::*;
use std::error::Error;

const SIZE: (u32, u32) = (1_100, 640);
const FEWEST: f64 = 10.0;
const MOST: f64 = 10_000.0;
const POINTS: i32 = 120;
/// The rows that are nearest to their budget at the plan's size; more lines can't be told apart.
const LINES: usize = 12;
const LEAST_PART: f64 = 0.001;
const MOST_PART: f64 = 1_000.0;

struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Draws the needs that are nearest to their budget at the plan's size.
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
            .build_cartesian_2d((FEWEST..MOST).log_scale(), (LEAST_PART..MOST_PART).log_scale())?;
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .x_desc("nodes")
            .y_desc("need over budget")
            .draw()?;
        chart.draw_series(LineSeries::new([(FEWEST, 1.0), (MOST, 1.0)], BLACK.stroke_width(1)))?;
        chart.draw_series(LineSeries::new(
            [(plan.nodes, LEAST_PART), (plan.nodes, MOST_PART)],
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
            if let Some(now) = over_budget(need, plan, slopes) {
                let name = format!("{}, {}, {}", row.role, row.name, need.resource);
                found.push((now, Line { name, points: points(need, plan, slopes) }));
            }
        }
    }
    found.sort_by(|one, other| other.0.total_cmp(&one.0));
    found.into_iter().take(LINES).map(|(_, line)| line).collect()
}

fn points(need: &Need, plan: &Plan, slopes: &SlopesFile) -> Vec<(f64, f64)> {
    let at = |step: i32| (FEWEST * (MOST / FEWEST).powf(f64::from(step) / f64::from(POINTS))).round();
    (0..=POINTS)
        .filter_map(|step| {
            let nodes = at(step);
            let part = over_budget(need, &plan.with_nodes(nodes), slopes)?;
            Some((nodes, part.clamp(LEAST_PART, MOST_PART)))
        })
        .collect()
}
