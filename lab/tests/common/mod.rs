//! What the tests of the lab's programs share. Each of them uses a part of it.
#![allow(dead_code)]

pub mod folder;
pub mod process;

/// The lab's program.
pub const LAB: &str = env!("CARGO_BIN_EXE_walkpick-lab");
