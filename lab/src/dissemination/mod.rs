//! Ordered dissemination at scale, in simulated time: any number of walkpick's dissemination state machines (cores) in regions,
//! zones and sites, with a simulated datagram network and either real or stand-in membership. The same seed gives the same
//! run.

pub mod baseline;
pub mod cluster;
pub mod figures;
pub mod joint;
pub mod ledger;
pub mod scenario;
pub mod topology;
pub mod traffic;

#[cfg(test)]
mod tests;
