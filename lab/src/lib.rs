//! An emulator of a whole deployment of walkpick: a model of everything around the nodes, two drivers of it (simulated
//! time, and real nodes on loopback sockets), faults on a schedule, and judges. The program is `walkpick-lab`.

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
