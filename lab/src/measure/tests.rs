//! What does not depend on time: series are complete, with at least four sizes and values above zero.

mod decisions;
mod stage;
mod trials;
