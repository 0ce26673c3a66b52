//! A node's request path.

use super::{need, within, Mechanism, Need, Resource, Role, Row};
use crate::capacity::figures::{count, number};
use crate::capacity::values::Needed;
use crate::capacity::{demand, Case, Context, Gap, Plan, Value};

const CORE: &str = "the core, less control's part";
const MEMORY: &str = "the smallest node";
/// Names under which the cost of a request may have been measured.
const REQUEST_COST: [&str; 2] =
    ["request.processor_seconds_per_request.rate", "request.processor_seconds_per_request"];
const REFUSAL_COST: [&str; 2] = ["refusal.processor_seconds.rate", "refusal.processor_seconds"];

pub(super) fn rows() -> Vec<Row> {
    vec![requests(), hot_node(), decisions(), refusals(), to_servers(), to_clients(), shut_failing(), log()]
}

fn row(name: &'static str, state: fn(&Plan) -> String, mechanism: &'static str, needs: Vec<Need>) -> Row {
    Row {
        role: Role::RequestPath,
        name,
        state,
        mechanism: Mechanism::Modules(mechanism),
        leans_on: &[],
        needs,
    }
}

fn requests() -> Row {
    row(
        "requests, an even part",
        |plan| {
            let pair = demand::requests_per_pair(plan, Case::Peak);
            let cold = number(pair * plan.cold_node_share);
            format!(
                "{} requests open; {} a second to each server, {cold} from a cold node",
                count(demand::in_flight_per_node(plan, Case::Peak)),
                number(pair)
            )
        },
        "src/net/server.rs, src/net/driver.rs, src/net/upstream.rs",
        vec![
            need(Resource::Messages, |context| Ok(Value::plan(rate(context)))).called("requests"),
            need(Resource::Bytes, |context| {
                Ok(Value::plan(rate(context) * demand::answer_bytes(context.plan)))
            })
            .called("answers within the protocol"),
            need(Resource::Bytes, |context| {
                Ok(Value::plan(rate(context) * demand::planned_answer_bytes(context.plan)))
            })
            .called("answers as planned"),
            within(Resource::Processor, CORE, demand::request_core_budget, |context| {
                request_cores(context, rate(context))
            }),
            within(Resource::Processor, CORE, demand::request_core_budget, |context| {
                let cost = context.mean("request.processor_seconds_by_answer_bytes", Resource::Seconds)?;
                Ok(cost.times(rate(context)))
            })
            .called("with the largest answers"),
            within(Resource::Memory, MEMORY, demand::node_memory_budget, request_memory),
        ],
    )
}

fn hot_node() -> Row {
    row(
        "requests, the busiest node",
        |plan| format!("{} times the mean (assumed)", number(plan.hot_node_multiple)),
        "src/net/server.rs, src/net/driver.rs, src/net/upstream.rs",
        vec![
            need(Resource::Messages, |context| Ok(Value::plan(hot_rate(context)))).called("requests"),
            within(Resource::Processor, CORE, demand::request_core_budget, |context| {
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
                count(plan.servers),
                count(plan.zones)
            )
        },
        "src/policy/",
        vec![
            within(Resource::Processor, CORE, demand::request_core_budget, |context| {
                decision_cores(context, "decision.microseconds.servers")
            }),
            within(Resource::Memory, MEMORY, demand::node_memory_budget, |context| {
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
            need(Resource::Messages, |context| Ok(Value::plan(rate(context)))).called("refusals"),
            within(Resource::Processor, CORE, demand::request_core_budget, |context| {
                let cost = cost_at(context, &REFUSAL_COST, rate(context))?;
                Ok(cost.times(rate(context)))
            }),
        ],
    )
}

fn to_servers() -> Row {
    row(
        "connections to cache servers, at the least",
        |plan| {
            let all = count(demand::connections_at_least(plan));
            let most = count(demand::server_connections(plan.node_descriptors_most));
            format!("{all} from all nodes together; the largest node may hold {most}")
        },
        "src/net/upstream.rs",
        vec![within(
            Resource::Connections,
            "half of the smallest node's descriptors",
            demand::server_connections_budget,
            |context| Ok(Value::plan(demand::connections_to_servers(context.plan, context.case))),
        )],
    )
}

fn to_clients() -> Row {
    row(
        "clients' connections with a request",
        |plan| format!("answers take {} s in the mean (assumed)", number(plan.answer_seconds)),
        "src/net/server.rs",
        vec![within(
            Resource::Connections,
            "a third of the smallest node's descriptors",
            demand::client_connections_budget,
            |context| Ok(Value::plan(demand::in_flight_per_node(context.plan, context.case))),
        )
        .called("at the assumed time")],
    )
}

fn shut_failing() -> Row {
    row(
        "time until a failing server is shut",
        |plan| format!("a breaker for each of {} servers", count(plan.servers)),
        "src/policy/breaker.rs",
        vec![
            need(Resource::Seconds, |context| {
                context.largest("trials.seconds_to_shut.hot", Resource::Seconds)
            })
            .called("at a hot node"),
            need(Resource::Seconds, |context| {
                context.largest("trials.seconds_to_shut.cold", Resource::Seconds)
            })
            .called("at a cold node"),
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
                context.first_of(&["log.bytes_per_second.calm"], Resource::Bytes)
            }
            Case::ZoneLost => log_in_a_loss(context),
            _ => Err(Gap::NotApplicable),
        })],
    )
}

/// A zone's servers are lost and its nodes with them: the largest second of both, where both were measured.
fn log_in_a_loss(context: &Context) -> Needed {
    let largest = |what: &str| {
        let name = format!("log.bytes_per_second.{what}");
        context.first_of(&[&format!("{name}.largest"), &name], Resource::Bytes)
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

/// Seconds of the core for one message at this rate, by the first of the names that was measured.
fn cost_at(context: &Context, names: &[&str], rate: f64) -> Needed {
    let known = names.iter().find(|name| context.is_measured(name));
    let name = known.or(names.last()).copied().unwrap_or_default();
    context.at_rate(name, Resource::Seconds, rate)
}

fn request_cores(context: &Context, rate: f64) -> Needed {
    Ok(cost_at(context, &REQUEST_COST, rate)?.times(rate))
}

fn request_memory(context: &Context) -> Needed {
    let open = demand::in_flight_per_node(context.plan, context.case);
    // A request in flight has its server's connection with it: what is left are its client's and those that rest.
    let resting = (demand::connections_to_servers(context.plan, context.case) - open).max(0.0);
    let connections = open + resting;
    let per_request = context.mean("request.memory_per_in_flight", Resource::Memory)?;
    let per_connection = context.mean("request.memory_per_connection", Resource::Memory)?;
    Ok(per_request.times(open).plus(per_connection.times(connections)))
}

fn decision_cores(context: &Context, name: &str) -> Needed {
    Ok(context.mean(name, Resource::Seconds)?.times(rate(context)))
}
