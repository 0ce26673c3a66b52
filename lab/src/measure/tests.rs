//! Tests of the measurements' parts, without assertions on how long anything takes.

mod decisions;
mod testbed;
mod trials;
