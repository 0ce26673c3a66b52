//! What the plan asks of one node, one cache server and the origin, by arithmetic alone.

use super::{Case, Plan};

const BITS_PER_BYTE: f64 = 8.0;
const BITS_PER_TERABIT: f64 = 1e12;
const BYTES_PER_MEGABYTE: f64 = 1e6;
const BYTES_PER_KILOBYTE: f64 = 1e3;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Descriptors that a node keeps for itself (`docs/configuration.md`); of the others half are for cache servers.
const DESCRIPTORS_KEPT: f64 = 24.0;
/// The part of a node's descriptors that clients use for requests at the most, by the platform's terms.
const CLIENTS_PART: f64 = 1.0 / 3.0;

/// Nodes that serve, at least one.
pub fn nodes_serving(plan: &Plan, case: Case) -> f64 {
    (plan.nodes - case.nodes_out(plan)).max(1.0)
}

/// Cache servers within reach, at least one.
pub fn servers_serving(plan: &Plan, case: Case) -> f64 {
    (plan.servers - case.servers_out(plan)).max(1.0)
}

/// Requests a second of a node that gets its even part.
pub fn requests_per_node(plan: &Plan, case: Case) -> f64 {
    plan.peak_requests_per_second / nodes_serving(plan, case)
}

/// Requests a second of a cache server that gets its even part.
pub fn requests_per_server(plan: &Plan, case: Case) -> f64 {
    plan.peak_requests_per_second / servers_serving(plan, case)
}

/// Requests a second between one node and one cache server.
pub fn requests_per_pair(plan: &Plan, case: Case) -> f64 {
    requests_per_node(plan, case) / servers_serving(plan, case)
}

/// Requests that a node has open at once.
pub fn in_flight_per_node(plan: &Plan, case: Case) -> f64 {
    requests_per_node(plan, case) * plan.answer_seconds
}

/// Bytes of an answer by the plan.
pub fn planned_answer_bytes(plan: &Plan) -> f64 {
    planned_bytes_per_second(plan) / plan.peak_requests_per_second
}

/// Bytes of an answer as the protocol lets it through.
pub fn answer_bytes(plan: &Plan) -> f64 {
    planned_answer_bytes(plan).min(plan.body_largest_bytes)
}

/// Bytes a second of all answers by the plan.
pub fn planned_bytes_per_second(plan: &Plan) -> f64 {
    plan.peak_terabits_per_second * BITS_PER_TERABIT / BITS_PER_BYTE
}

/// Terabits a second of all answers as the protocol lets them through.
pub fn terabits_within_protocol(plan: &Plan) -> f64 {
    plan.peak_requests_per_second * answer_bytes(plan) * BITS_PER_BYTE / BITS_PER_TERABIT
}

/// Connections from all nodes to all cache servers, one for each pair.
pub fn connections_at_least(plan: &Plan) -> f64 {
    plan.nodes * plan.servers
}

/// Objects of one cache server, where each object is kept once.
pub fn objects_per_server(plan: &Plan) -> f64 {
    plan.objects / plan.servers
}

/// Connections that a node holds to cache servers at the least.
pub fn connections_to_servers(plan: &Plan, case: Case) -> f64 {
    servers_serving(plan, case).max(in_flight_per_node(plan, case))
}

/// Connections that a cache server holds at the least.
pub fn connections_of_server(plan: &Plan, case: Case) -> f64 {
    nodes_serving(plan, case).max(requests_per_server(plan, case) * plan.answer_seconds)
}

/// Fetches a second from the origin: what a pooled cache leaves, and all that cache servers out of reach held.
pub fn fetches(plan: &Plan, case: Case) -> f64 {
    let lost = case.servers_out(plan) / plan.servers;
    plan.peak_requests_per_second * (1.0 - plan.pooled_hit_share * (1.0 - lost))
}

/// Fetches a second that the origin can take.
pub fn fetches_taken(plan: &Plan) -> f64 {
    plan.peak_requests_per_second * (1.0 - plan.pooled_hit_share) * plan.origin_headroom
}

/// Changes of configuration a second.
pub fn configuration_per_second(plan: &Plan) -> f64 {
    plan.configuration_changes_per_day / SECONDS_PER_DAY
}

/// Entries of both kinds a second.
pub fn entries_per_second(plan: &Plan) -> f64 {
    plan.purges_per_second + configuration_per_second(plan)
}

/// Bytes that a day's entries take at the most.
pub fn entry_bytes_per_day(plan: &Plan) -> f64 {
    entries_per_second(plan) * SECONDS_PER_DAY * plan.entry_largest_bytes
}

/// Purges that a region misses while it is cut off.
pub fn purges_missed(plan: &Plan) -> f64 {
    plan.purges_per_second * plan.region_cut_seconds
}

/// What a node's control may send a second.
pub fn control_bytes_budget(plan: &Plan) -> f64 {
    plan.control_kilobytes_per_second * BYTES_PER_KILOBYTE
}

/// What a node's membership may send a second.
pub fn membership_bytes_budget(plan: &Plan) -> f64 {
    control_bytes_budget(plan) * plan.membership_part_of_control
}

/// What a node's control may hold: the smaller of the plan's figure and of the smallest node.
pub fn control_memory_budget(plan: &Plan) -> f64 {
    plan.control_memory_megabytes.min(plan.node_memory_least_megabytes) * BYTES_PER_MEGABYTE
}

/// Memory of the smallest node.
pub fn node_memory_budget(plan: &Plan) -> f64 {
    plan.node_memory_least_megabytes * BYTES_PER_MEGABYTE
}

/// What control leaves of a node's cores.
pub fn request_core_budget(plan: &Plan) -> f64 {
    (plan.node_cores - plan.control_core_fraction).max(f64::MIN_POSITIVE)
}

/// Connections to cache servers that the smallest node may hold.
pub fn server_connections_budget(plan: &Plan) -> f64 {
    server_connections(plan.node_descriptors_least)
}

/// Connections to cache servers that a node with so many descriptors may hold.
pub fn server_connections(descriptors: f64) -> f64 {
    (descriptors - DESCRIPTORS_KEPT) / 2.0
}

/// Clients' connections with a request that the smallest node may have.
pub fn client_connections_budget(plan: &Plan) -> f64 {
    (plan.node_descriptors_least * CLIENTS_PART).floor()
}
