//! Hollow nodes: the control part of many nodes in few processes, in real time on real sockets. Each has its own
//! address in 127.0.0.0/8, its real membership, UDP socket and timers, but no request path. Delay and loss between
//! regions are added before the datagram is sent. Complete nodes can take part in the same cluster.

pub mod batch;
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
pub mod process;
pub mod protocol;
pub mod run;
pub mod schedule;
pub mod series;
pub mod settings;
