//! Membership at scale: any number of walkpick peers in simulated time, failure cases, and the figures measured on them.

pub mod cases;
mod links;
pub mod memory;
mod processor;
mod record;
mod simulated;
pub mod topology;
mod traffic;

pub use links::LinkConditions;
pub use processor::ProcessorMeter;
pub use record::{AgreementChange, StatusChange};
pub use simulated::{address, Disseminated, SimulatedCluster};
pub use topology::{Location, Topology};
pub use traffic::{Traffic, TrafficMeter, TrafficRates};
