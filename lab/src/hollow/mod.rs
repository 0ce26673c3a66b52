//! Hollow nodes: the control part of many nodes in few processes, in real time on real sockets. Each has an address of
//! its own in 127.0.0.0/8, its real membership, its UDP socket and its timers, and no request path. A table of regions
//! adds delay and loss before the real send. Complete nodes may stand beside them in the same cluster.

pub mod children;
pub mod clock;
pub mod complete;
mod deliveries;
mod experiment;
pub mod figures;
pub mod machine;
mod meters;
mod network;
mod node;
pub mod places;
pub mod play;
pub mod process;
pub mod protocol;
pub mod run;
pub mod schedule;
pub mod series;
pub mod settings;
