//! Load per node, per cache server and on the origin, computed from the plan alone.

use super::{Case, Plan};

const BITS_PER_BYTE: f64 = 8.0;
const BITS_PER_TERABIT: f64 = 1e12;
const BYTES_PER_MEGABYTE: f64 = 1e6;
const BYTES_PER_KILOBYTE: f64 = 1e3;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// File descriptors that a node reserves for itself (`docs/configuration.md`); half of the rest are for cache servers.
const RESERVED_DESCRIPTORS: f64 = 24.0;
/// The largest share of a node's descriptors that client requests may use, by the terms of the platform.
const MAX_CLIENT_SHARE: f64 = 1.0 / 3.0;

/// Nodes that serve requests; at least one, to avoid division by zero.
pub fn nodes_serving(plan: &Plan, case: Case) -> f64 {
    (plan.nodes - case.nodes_unavailable(plan)).max(1.0)
}

/// Reachable cache servers; at least one, to avoid division by zero.
pub fn servers_serving(plan: &Plan, case: Case) -> f64 {
    (plan.servers - case.servers_unavailable(plan)).max(1.0)
}

/// Requests per second of a node, with the load spread evenly.
pub fn requests_per_node(plan: &Plan, case: Case) -> f64 {
    plan.peak_requests_per_second / nodes_serving(plan, case)
}

/// Requests per second of a cache server, with the load spread evenly.
pub fn requests_per_server(plan: &Plan, case: Case) -> f64 {
    plan.peak_requests_per_second / servers_serving(plan, case)
}

/// Requests per second from one node to one cache server.
pub fn requests_per_pair(plan: &Plan, case: Case) -> f64 {
    requests_per_node(plan, case) / servers_serving(plan, case)
}

/// Concurrent requests of a node, by Little's law.
pub fn in_flight_per_node(plan: &Plan, case: Case) -> f64 {
    requests_per_node(plan, case) * plan.answer_seconds
}

/// Mean response size that the plan implies.
pub fn planned_answer_bytes(plan: &Plan) -> f64 {
    planned_bytes_per_second(plan) / plan.peak_requests_per_second
}

/// Response size, limited to the largest body that the protocol allows.
pub fn answer_bytes(plan: &Plan) -> f64 {
    planned_answer_bytes(plan).min(plan.body_largest_bytes)
}

/// Bytes per second of all responses that the plan implies.
pub fn planned_bytes_per_second(plan: &Plan) -> f64 {
    plan.peak_terabits_per_second * BITS_PER_TERABIT / BITS_PER_BYTE
}

/// Terabits per second of all responses, with the body size limited by the protocol.
pub fn terabits_within_protocol(plan: &Plan) -> f64 {
    plan.peak_requests_per_second * answer_bytes(plan) * BITS_PER_BYTE / BITS_PER_TERABIT
}

/// Connections of the whole fleet when each node has one connection to each cache server.
pub fn node_server_pairs(plan: &Plan) -> f64 {
    plan.nodes * plan.servers
}

/// Objects per cache server when each object is stored once.
pub fn objects_per_server(plan: &Plan) -> f64 {
    plan.objects / plan.servers
}

/// The fewest connections that a node needs to cache servers: one per server, or one per concurrent request.
pub fn min_connections_to_servers(plan: &Plan, case: Case) -> f64 {
    servers_serving(plan, case).max(in_flight_per_node(plan, case))
}

/// The fewest connections that a cache server needs: one per node, or one per concurrent request.
pub fn min_connections_of_server(plan: &Plan, case: Case) -> f64 {
    nodes_serving(plan, case).max(requests_per_server(plan, case) * plan.answer_seconds)
}

/// Origin fetches per second: misses of a pooled cache, plus all hits lost with the unreachable cache servers.
pub fn origin_fetches(plan: &Plan, case: Case) -> f64 {
    let lost = case.servers_unavailable(plan) / plan.servers;
    plan.peak_requests_per_second * (1.0 - plan.pooled_hit_share * (1.0 - lost))
}

/// Fetches per second that the origin can serve.
pub fn origin_fetch_capacity(plan: &Plan) -> f64 {
    plan.peak_requests_per_second * (1.0 - plan.pooled_hit_share) * plan.origin_headroom
}

/// Configuration changes per second.
pub fn configuration_per_second(plan: &Plan) -> f64 {
    plan.configuration_changes_per_day / SECONDS_PER_DAY
}

/// Purges and configuration changes per second.
pub fn entries_per_second(plan: &Plan) -> f64 {
    plan.purges_per_second + configuration_per_second(plan)
}

/// The largest size of a day's entries.
pub fn max_entry_bytes_per_day(plan: &Plan) -> f64 {
    entries_per_second(plan) * SECONDS_PER_DAY * plan.entry_largest_bytes
}

/// Purges that a region misses during a partition.
pub fn purges_missed(plan: &Plan) -> f64 {
    plan.purges_per_second * plan.region_cut_seconds
}

/// Bytes per second that the control traffic of a node may use.
pub fn control_bytes_budget(plan: &Plan) -> f64 {
    plan.control_kilobytes_per_second * BYTES_PER_KILOBYTE
}

/// Bytes per second that the membership traffic of a node may use.
pub fn membership_bytes_budget(plan: &Plan) -> f64 {
    control_bytes_budget(plan) * plan.membership_part_of_control
}

/// Memory for control functions: the smaller of the plan's limit and the memory of the smallest node.
pub fn control_memory_budget(plan: &Plan) -> f64 {
    plan.control_memory_megabytes.min(plan.node_memory_least_megabytes) * BYTES_PER_MEGABYTE
}

/// Memory of the smallest node, in bytes.
pub fn node_memory_budget(plan: &Plan) -> f64 {
    plan.node_memory_least_megabytes * BYTES_PER_MEGABYTE
}

/// Cores of a node that remain for requests after the share of control.
pub fn request_core_budget(plan: &Plan) -> f64 {
    (plan.node_cores - plan.control_core_fraction).max(f64::MIN_POSITIVE)
}

/// The largest number of connections to cache servers on the smallest node.
pub fn server_connections_budget(plan: &Plan) -> f64 {
    max_server_connections(plan.node_descriptors_least)
}

/// The largest number of connections to cache servers on a node with `descriptors` file descriptors.
pub fn max_server_connections(descriptors: f64) -> f64 {
    (descriptors - RESERVED_DESCRIPTORS) / 2.0
}

/// The largest number of client connections with a request in flight on the smallest node.
pub fn client_connections_budget(plan: &Plan) -> f64 {
    (plan.node_descriptors_least * MAX_CLIENT_SHARE).floor()
}
