//! Membership at scale: any number of the program's peers in simulated time, cases of trouble, and what is measured.

pub mod cases;
mod links;
mod record;
mod simulated;

pub use links::LinkConditions;
pub use record::{AgreementChange, StandingChange, Traffic};
pub use simulated::{address, SimulatedCluster};
