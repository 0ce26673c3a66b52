//! Capacity planning: computes what each role needs at a given fleet size from the operators' plan and the measured
//! cost series, and renders the result as tables, a page and a plot.

mod cases;
mod demand;
mod encoded;
mod figures;
mod page;
mod plan;
mod plot;
mod render;
mod rows;
mod solve;
mod values;

pub use cases::Case;
pub use encoded::encoded_sizes;
pub use figures::format_number;
pub use page::{check, write, PageError};
pub use plan::{Plan, PlanError, PlanFault};
pub use plot::plot;
pub use render::{render, Sources};
pub use rows::{all_rows, Need, Resource, Role, Row};
pub use solve::{exhausted_at, worst_case, Exhaustion, WorstCase, MAX_NODES};
pub use values::{Context, Unavailable, Value};

#[cfg(test)]
mod tests;
