//! Utilities shared by the integration tests. Each test binary uses a part of them.
#![allow(dead_code)]

pub mod folder;
pub mod process;

/// Path of the lab program.
pub const LAB: &str = env!("CARGO_BIN_EXE_walkpick-lab");
