//! What each role needs at a size: the operators' plan, measured slopes, and the tables, page and plot that come of them.

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
pub use figures::number;
pub use page::{check, write, PageError};
pub use plan::{Plan, PlanError, PlanFault};
pub use plot::plot;
pub use render::{render, Sources};
pub use rows::{all_rows, Need, Resource, Role, Row};
pub use solve::{used_up_at, worst, UsedUp, Worst, MOST_NODES};
pub use values::{Context, Gap, Value};

#[cfg(test)]
mod tests;
