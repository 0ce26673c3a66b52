//! Commands of the lab's program that have a module of their own.

pub mod measure;
