//! What cache servers, discovery's agents and the origin bear.

use super::{need, within, Mechanism, Need, Resource, Role, Row, DISSEMINATION, SERVER_PURGE};
use crate::capacity::figures::{count, number};
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
    Row { role, name, state, mechanism, leans_on: &[], needs }
}

fn rate(context: &Context) -> f64 {
    demand::requests_per_server(context.plan, context.case)
}

fn requests() -> Row {
    row(
        Role::CacheServer,
        "requests, an even part",
        |plan| format!("{} objects, each kept once", count(demand::objects_per_server(plan))),
        Mechanism::Modules("src/policy/placement.rs, src/policy/admission.rs"),
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
        ],
    )
}

fn connections() -> Row {
    row(
        Role::CacheServer,
        "connections, at the least",
        |plan| format!("one for each of {} nodes", count(plan.nodes)),
        Mechanism::Modules("src/net/upstream.rs"),
        vec![within(
            Resource::Connections,
            "the smallest cache server of today",
            |plan| plan.server_connections_least,
            |context| Ok(Value::plan(demand::connections_of_server(context.plan, context.case))),
        )],
    )
}

fn purge() -> Row {
    let row = row(
        Role::CacheServer,
        "purges, done at the server",
        |plan| format!("the kept copies of {} objects", count(demand::objects_per_server(plan))),
        Mechanism::Missing(SERVER_PURGE),
        vec![need(Resource::Messages, |context| Ok(Value::plan(context.plan.purges_per_second)))
            .called("purges")],
    );
    Row { leans_on: &[DISSEMINATION], ..row }
}

fn trials() -> Row {
    row(
        Role::CacheServer,
        "what all nodes together ask of one",
        |_| "breakers and room of each node by itself".to_owned(),
        Mechanism::Modules("src/policy/breaker.rs, src/policy/admission.rs"),
        vec![
            need(Resource::Messages, |context| {
                context.largest("trials.requests_per_second.down", Resource::Messages)
            })
            .called("trials of one that is down"),
            need(Resource::Messages, |context| {
                context.largest("trials.requests_per_second.cold", Resource::Messages)
            })
            .called("requests to a cold one"),
            need(Resource::Messages, |context| {
                context.largest("trials.requests_per_second.returning", Resource::Messages)
            })
            .called("requests to a returning one"),
            need(Resource::Messages, |context| {
                context.largest("trials.requests_per_second.returning.largest", Resource::Messages)
            })
            .called("the same, in the largest second"),
            need(Resource::Messages, |context| {
                context.largest("trials.connections_per_second.returning.largest", Resource::Messages)
            })
            .called("new connections to it, in the largest second"),
        ],
    )
}

fn whole_list() -> Row {
    row(
        Role::DiscoveryAgent,
        "the whole list, at a node's start",
        |plan| format!("{} servers", count(plan.servers)),
        Mechanism::Modules("src/net/discovery.rs"),
        vec![
            need(Resource::Memory, |context| context.mean("discovery.list_bytes", Resource::Memory))
                .called("bytes of a list"),
            within(
                Resource::Seconds,
                "counts as told",
                |plan| plan.told_within_seconds,
                |context| context.largest("discovery.list_seconds", Resource::Seconds),
            )
            .called("until it is in use"),
        ],
    )
}

fn weights() -> Row {
    row(
        Role::DiscoveryAgent,
        "weights, renewed for every server",
        |plan| format!("{} weights, every {} s", count(plan.servers), number(plan.weights_every_seconds)),
        Mechanism::Modules("src/net/discovery.rs"),
        vec![
            need(Resource::Messages, |context| Ok(Value::plan(1.0 / context.plan.weights_every_seconds)))
                .called("renewals"),
            need(Resource::Bytes, |context| {
                let list = context.mean("discovery.list_bytes", Resource::Memory)?;
                Ok(list.times(1.0 / context.plan.weights_every_seconds))
            })
            .called("a list's bytes each time"),
        ],
    )
}

fn watches() -> Row {
    row(
        Role::DiscoveryAgent,
        "watches of all nodes together",
        |plan| format!("{} watches", count(plan.nodes)),
        Mechanism::Modules("src/net/discovery.rs"),
        vec![
            need(Resource::Messages, |context| {
                context.mean("discovery.watch_calls_per_second", Resource::Messages)
            })
            .called("calls"),
            need(Resource::Memory, |context| context.mean("discovery.change_bytes", Resource::Memory))
                .called("bytes of a change"),
        ],
    )
}

fn fetches() -> Row {
    row(
        Role::Origin,
        "fetches, at the most",
        |plan| {
            let lost = 1.0 / plan.zones;
            let zone = count(plan.objects * lost);
            format!("each node its own verdict; a zone's loss takes the kept copies of {zone} objects")
        },
        Mechanism::Modules("src/policy/origin.rs"),
        vec![within(Resource::Messages, "headroom of today's origin", demand::fetches_taken, |context| {
            Ok(Value::plan(demand::fetches(context.plan, context.case)))
        })
        .called("fetches, all lost copies missed at once")],
    )
}
