//! Rows of cache servers, discovery agents and the origin.

use super::{need, need_with_budget, Mechanism, Need, Resource, Role, Row, DISSEMINATION, SERVER_PURGE};
use crate::capacity::figures::{format_count, format_number};
use crate::capacity::{demand, Context, Plan, Value};

pub(super) fn rows() -> Vec<Row> {
    vec![requests(), connections(), purge(), trials(), whole_list(), weights(), watches(), fetches()]
}

fn row(
    role: Role,
    name: &'static str,
    state: fn(&Plan) -> String,
    mechanism: Mechanism,
    needs: Vec<Need>,
) -> Row {
    Row { role, name, state, mechanism, depends_on: &[], needs }
}

fn rate(context: &Context) -> f64 {
    demand::requests_per_server(context.plan, context.case)
}

fn requests() -> Row {
    row(
        Role::CacheServer,
        "requests, an even part",
        |plan| format!("{} objects, each kept once", format_count(demand::objects_per_server(plan))),
        Mechanism::Modules("src/policy/placement.rs, src/policy/admission.rs"),
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
        ],
    )
}

fn connections() -> Row {
    row(
        Role::CacheServer,
        "connections, at the least",
        |plan| format!("one for each of {} nodes", format_count(plan.nodes)),
        Mechanism::Modules("src/net/upstream.rs"),
        vec![need_with_budget(
            Resource::Connections,
            "the smallest cache server of today",
            |plan| plan.server_connections_least,
            |context| Ok(Value::from_plan(demand::min_connections_of_server(context.plan, context.case))),
        )],
    )
}

fn purge() -> Row {
    let row = row(
        Role::CacheServer,
        "purges, done at the server",
        |plan| format!("the kept copies of {} objects", format_count(demand::objects_per_server(plan))),
        Mechanism::Missing(SERVER_PURGE),
        vec![need(Resource::Messages, |context| Ok(Value::from_plan(context.plan.purges_per_second)))
            .labelled("purges")],
    );
    Row { depends_on: &[DISSEMINATION], ..row }
}

fn trials() -> Row {
    row(
        Role::CacheServer,
        "what all nodes together ask of one",
        |_| "breakers and room of each node by itself".to_owned(),
        Mechanism::Modules("src/policy/breaker.rs, src/policy/admission.rs"),
        vec![
            need(Resource::Messages, |context| {
                context.max("trials.requests_per_second.down", Resource::Messages)
            })
            .labelled("trials of one that is down"),
            need(Resource::Messages, |context| {
                context.max("trials.requests_per_second.cold", Resource::Messages)
            })
            .labelled("requests to a cold one"),
            need(Resource::Messages, |context| {
                context.max("trials.requests_per_second.returning", Resource::Messages)
            })
            .labelled("requests to a returning one"),
            need(Resource::Messages, |context| {
                context.max("trials.requests_per_second.returning.largest", Resource::Messages)
            })
            .labelled("the same, in the largest second"),
            need(Resource::Messages, |context| {
                context.max("trials.connections_per_second.returning.largest", Resource::Messages)
            })
            .labelled("new connections to it, in the largest second"),
        ],
    )
}

fn whole_list() -> Row {
    row(
        Role::DiscoveryAgent,
        "the whole list, at a node's start",
        |plan| format!("{} servers", format_count(plan.servers)),
        Mechanism::Modules("src/net/discovery.rs"),
        vec![
            need(Resource::Memory, |context| context.mean("discovery.list_bytes", Resource::Memory))
                .labelled("bytes of a list"),
            need_with_budget(
                Resource::Seconds,
                "counts as told",
                |plan| plan.told_within_seconds,
                |context| context.max("discovery.list_seconds", Resource::Seconds),
            )
            .labelled("until it is in use"),
        ],
    )
}

fn weights() -> Row {
    row(
        Role::DiscoveryAgent,
        "weights, renewed for every server",
        |plan| {
            format!(
                "{} weights, every {} s",
                format_count(plan.servers),
                format_number(plan.weights_every_seconds)
            )
        },
        Mechanism::Modules("src/net/discovery.rs"),
        vec![
            need(Resource::Messages, |context| {
                Ok(Value::from_plan(1.0 / context.plan.weights_every_seconds))
            })
            .labelled("renewals"),
            need(Resource::Bytes, |context| {
                let list = context.mean("discovery.list_bytes", Resource::Memory)?;
                Ok(list.scaled(1.0 / context.plan.weights_every_seconds))
            })
            .labelled("a list's bytes each time"),
        ],
    )
}

fn watches() -> Row {
    row(
        Role::DiscoveryAgent,
        "watches of all nodes together",
        |plan| format!("{} watches", format_count(plan.nodes)),
        Mechanism::Modules("src/net/discovery.rs"),
        vec![
            need(Resource::Messages, |context| {
                context.mean("discovery.watch_calls_per_second", Resource::Messages)
            })
            .labelled("calls"),
            need(Resource::Memory, |context| context.mean("discovery.change_bytes", Resource::Memory))
                .labelled("bytes of a change"),
        ],
    )
}

fn fetches() -> Row {
    row(
        Role::Origin,
        "fetches, at the most",
        |plan| {
            let lost = 1.0 / plan.zones;
            let zone = format_count(plan.objects * lost);
            format!("each node its own verdict; a zone's loss takes the kept copies of {zone} objects")
        },
        Mechanism::Modules("src/policy/origin.rs"),
        vec![need_with_budget(
            Resource::Messages,
            "headroom of today's origin",
            demand::origin_fetch_capacity,
            |context| Ok(Value::from_plan(demand::origin_fetches(context.plan, context.case))),
        )
        .labelled("fetches, all lost copies missed at once")],
    )
}
