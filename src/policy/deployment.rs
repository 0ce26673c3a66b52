//! Figures of the deployment that no setting carries: stand-ins for what a configuration should tell.

/// Idle connections that all nodes together may keep to a server: well under the table of the smallest one
/// that the operators have told of (1,800).
pub(super) const SERVER_CONNECTIONS: f64 = 1000.0;
/// Requests that a server works on at once, for all nodes together: where the in-flight limits start.
pub(super) const SERVER_SLOTS: f64 = 16.0;
/// Up to so many nodes, each meets a server often enough for the queue that it reports to be worth heeding.
pub(super) const NODES_MEETING_OFTEN: u32 = 100;
