//! Ordered dissemination at scale, in simulated time: any number of the program's cores over regions, zones and sites,
//! with a network of datagrams between them and a membership that is told what happens. The same seed gives the same run.

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
