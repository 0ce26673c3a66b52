//! The program's commands that have modules of their own.

pub mod hollow;
