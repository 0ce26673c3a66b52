//! An emulator of a complete walkpick deployment: a model of the systems around the nodes, two drivers that run it
//! (simulated time, and real nodes on loopback sockets), scheduled faults, and judges. The binary is `walkpick-lab`.

pub mod capacity;
pub mod cluster;
pub mod commands;
pub mod dissemination;
pub mod draw;
pub mod experiment;
pub mod hollow;
pub mod judge;
pub mod measure;
pub mod model;
pub mod plan;
pub mod policies;
pub mod real;
pub mod report;
pub mod scale;
pub mod slopes;
pub mod world;
