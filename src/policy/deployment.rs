//! Figures of the deployment that no setting carries; a configuration should provide them eventually.

/// Idle connections that all nodes together may keep to a server: well below the smallest connection table
/// of any server that the operators have named (1,800 entries).
pub(super) const MAX_IDLE_CONNECTIONS: f64 = 1000.0;
/// Requests that a server processes at once, for all nodes together. The in-flight limits start here.
pub(super) const SERVER_CONCURRENCY: f64 = 16.0;
/// Up to this number of nodes, each node sends to a server often enough for its queue reports to be current.
pub(super) const MAX_NODES_FOR_QUEUE_REPORTS: u32 = 100;
