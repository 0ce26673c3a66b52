//! Membership at scale: any number of the program's peers in simulated time, cases of trouble, and what is measured.

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
pub use record::{AgreementChange, StandingChange};
pub use simulated::{address, Disseminated, SimulatedCluster};
pub use topology::{Location, Topology};
pub use traffic::{Traffic, TrafficMeter, TrafficRates};
