//! Rows of the request path of a node.

use super::{need, need_with_budget, Mechanism, Need, Resource, Role, Row};
use crate::capacity::figures::{format_count, format_number};
use crate::capacity::values::NeedResult;
use crate::capacity::{demand, Case, Context, Plan, Unavailable, Value};

const CORE: &str = "the core, less control's part";
const MEMORY: &str = "the smallest node";
/// Series of the cost of a request; the first one measured is used.
const REQUEST_COST: [&str; 2] =
    ["request.processor_seconds_per_request.rate", "request.processor_seconds_per_request"];
/// Series of the cost of a refusal; the first one measured is used.
const REFUSAL_COST: [&str; 2] = ["refusal.processor_seconds.rate", "refusal.processor_seconds"];

pub(super) fn rows() -> Vec<Row> {
    vec![
        requests(),
        hot_node(),
        decisions(),
        refusals(),
        to_servers(),
        to_clients(),
        time_to_open_breaker(),
        log(),
    ]
}

fn row(name: &'static str, state: fn(&Plan) -> String, mechanism: &'static str, needs: Vec<Need>) -> Row {
    Row {
        role: Role::RequestPath,
        name,
        state,
        mechanism: Mechanism::Modules(mechanism),
        depends_on: &[],
        needs,
    }
}

fn requests() -> Row {
    row(
        "requests, an even part",
        |plan| {
            let pair = demand::requests_per_pair(plan, Case::Peak);
            let cold = format_number(pair * plan.cold_node_share);
            format!(
                "{} requests open; {} a second to each server, {cold} from a cold node",
                format_count(demand::in_flight_per_node(plan, Case::Peak)),
                format_number(pair)
            )
        },
        "src/net/server.rs, src/net/driver.rs, src/net/upstream.rs",
        vec![
            need(Resource::Messages, |context| Ok(Value::from_plan(rate(context)))).labelled("requests"),
            need(Resource::Bytes, |context| {
                Ok(Value::from_plan(rate(context) * demand::answer_bytes(context.plan)))
            })
            .labelled("answers within the protocol"),
            need(Resource::Bytes, |context| {
                Ok(Value::from_plan(rate(context) * demand::planned_answer_bytes(context.plan)))
            })
            .labelled("answers as planned"),
            need_with_budget(Resource::Processor, CORE, demand::request_core_budget, |context| {
                request_cores(context, rate(context))
            }),
            need_with_budget(Resource::Processor, CORE, demand::request_core_budget, |context| {
                let cost = context.mean("request.processor_seconds_by_answer_bytes", Resource::Seconds)?;
                Ok(cost.scaled(rate(context)))
            })
            .labelled("with the largest answers"),
            need_with_budget(Resource::Memory, MEMORY, demand::node_memory_budget, request_memory),
        ],
    )
}

fn hot_node() -> Row {
    row(
        "requests, the busiest node",
        |plan| format!("{} times the mean (assumed)", format_number(plan.hot_node_multiple)),
        "src/net/server.rs, src/net/driver.rs, src/net/upstream.rs",
        vec![
            need(Resource::Messages, |context| Ok(Value::from_plan(hot_rate(context)))).labelled("requests"),
            need_with_budget(Resource::Processor, CORE, demand::request_core_budget, |context| {
                request_cores(context, hot_rate(context))
            }),
        ],
    )
}

fn decisions() -> Row {
    row(
        "decisions",
        |plan| {
            format!(
                "{} servers in {} zones, popular keys up to a bound",
                format_count(plan.servers),
                format_count(plan.zones)
            )
        },
        "src/policy/",
        vec![
            need_with_budget(Resource::Processor, CORE, demand::request_core_budget, |context| {
                decision_cores(context, "decision.microseconds.servers")
            }),
            need_with_budget(Resource::Memory, MEMORY, demand::node_memory_budget, |context| {
                context.mean("decision.memory.servers", Resource::Memory)
            }),
        ],
    )
}

fn refusals() -> Row {
    row(
        "refusals, should every request be refused",
        |_| "none".to_owned(),
        "src/policy/admission.rs, src/net/server.rs",
        vec![
            need(Resource::Messages, |context| Ok(Value::from_plan(rate(context)))).labelled("refusals"),
            need_with_budget(Resource::Processor, CORE, demand::request_core_budget, |context| {
                let cost = cost_at(context, &REFUSAL_COST, rate(context))?;
                Ok(cost.scaled(rate(context)))
            }),
        ],
    )
}

fn to_servers() -> Row {
    row(
        "connections to cache servers, at the least",
        |plan| {
            let all = format_count(demand::node_server_pairs(plan));
            let most = format_count(demand::max_server_connections(plan.node_descriptors_most));
            format!("{all} from all nodes together; the largest node may hold {most}")
        },
        "src/net/upstream.rs",
        vec![need_with_budget(
            Resource::Connections,
            "half of the smallest node's descriptors",
            demand::server_connections_budget,
            |context| Ok(Value::from_plan(demand::min_connections_to_servers(context.plan, context.case))),
        )],
    )
}

fn to_clients() -> Row {
    row(
        "clients' connections with a request",
        |plan| format!("answers take {} s in the mean (assumed)", format_number(plan.answer_seconds)),
        "src/net/server.rs",
        vec![need_with_budget(
            Resource::Connections,
            "a third of the smallest node's descriptors",
            demand::client_connections_budget,
            |context| Ok(Value::from_plan(demand::in_flight_per_node(context.plan, context.case))),
        )
        .labelled("at the assumed time")],
    )
}

fn time_to_open_breaker() -> Row {
    row(
        "time until a failing server is shut",
        |plan| format!("a breaker for each of {} servers", format_count(plan.servers)),
        "src/policy/breaker.rs",
        vec![
            need(Resource::Seconds, |context| context.max("trials.seconds_to_shut.hot", Resource::Seconds))
                .labelled("at a hot node"),
            need(Resource::Seconds, |context| context.max("trials.seconds_to_shut.cold", Resource::Seconds))
                .labelled("at a cold node"),
        ],
    )
}

fn log() -> Row {
    row(
        "the log",
        |_| "none; like lines are bounded".to_owned(),
        "src/log.rs",
        vec![need(Resource::Bytes, |context| match context.case {
            Case::OrdinaryDay | Case::Peak => {
                context.max_of_first_measured(&["log.bytes_per_second.calm"], Resource::Bytes)
            }
            Case::ZoneLost => log_during_zone_loss(context),
            _ => Err(Unavailable::NotApplicable),
        })],
    )
}

/// A zone fails with its servers and nodes: the sum of the peak log rates of both losses, or that of the servers alone if
/// the loss of peers was not measured.
fn log_during_zone_loss(context: &Context) -> NeedResult {
    let largest = |what: &str| {
        let name = format!("log.bytes_per_second.{what}");
        context.max_of_first_measured(&[&format!("{name}.largest"), &name], Resource::Bytes)
    };
    let servers = largest("zone_lost")?;
    match largest("peers_lost") {
        Ok(peers) => Ok(servers.plus(peers)),
        Err(_) => Ok(servers),
    }
}

fn rate(context: &Context) -> f64 {
    demand::requests_per_node(context.plan, context.case)
}

fn hot_rate(context: &Context) -> f64 {
    rate(context) * context.plan.hot_node_multiple
}

/// Processor seconds per message at this rate, from the first of these series that was measured.
fn cost_at(context: &Context, names: &[&str], rate: f64) -> NeedResult {
    let known = names.iter().find(|name| context.is_measured(name));
    let name = known.or(names.last()).copied().unwrap_or_default();
    context.mean_at_rate(name, Resource::Seconds, rate)
}

fn request_cores(context: &Context, rate: f64) -> NeedResult {
    Ok(cost_at(context, &REQUEST_COST, rate)?.scaled(rate))
}

fn request_memory(context: &Context) -> NeedResult {
    let open = demand::in_flight_per_node(context.plan, context.case);
    // The memory per request in flight includes its connection to the server; the client connection and idle
    // connections to servers are added.
    let idle = (demand::min_connections_to_servers(context.plan, context.case) - open).max(0.0);
    let connections = open + idle;
    let per_request = context.mean("request.memory_per_in_flight", Resource::Memory)?;
    let per_connection = context.mean("request.memory_per_connection", Resource::Memory)?;
    Ok(per_request.scaled(open).plus(per_connection.scaled(connections)))
}

fn decision_cores(context: &Context, name: &str) -> NeedResult {
    Ok(context.mean(name, Resource::Seconds)?.scaled(rate(context)))
}
