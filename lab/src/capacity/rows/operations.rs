//! What control machines and operators do.

use super::{
    need, Mechanism, Need, Resource, Role, Row, DISSEMINATION, PUBLISH, REPLICATED_LOG, STAGED_RELEASES,
};
use crate::capacity::figures::{count, number};
use crate::capacity::{demand, Context, Gap, Plan, Value};

const LOG_TIME: &str = "dissemination.seconds_to_all.log";

pub(super) fn rows() -> Vec<Row> {
    vec![entries(), acknowledgements(), publish(), release(), failed_machines(), view()]
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

fn entries_of(context: &Context) -> Result<Value, Gap> {
    Ok(Value::plan(demand::entries_per_second(context.plan)))
}

fn entries() -> Row {
    row(
        Role::ControlMachine,
        "entries, ordered and kept",
        |plan| {
            let entries = demand::entry_bytes_per_day(plan) / plan.entry_largest_bytes;
            let megabytes = demand::entry_bytes_per_day(plan) / 1e6;
            format!(
                "{} entries a day, at most {} MB, on {} machines",
                count(entries),
                count(megabytes),
                count(plan.control_machines)
            )
        },
        Mechanism::Missing(REPLICATED_LOG),
        vec![
            need(Resource::Messages, entries_of).called("entries"),
            need(Resource::Bytes, |context| Ok(entries_of(context)?.times(context.plan.entry_largest_bytes)))
                .called("entries, at the most"),
        ],
    )
}

fn acknowledgements() -> Row {
    row(
        Role::ControlMachine,
        "acknowledgements, should each node send its own",
        |plan| format!("{} nodes, by name", count(plan.nodes)),
        Mechanism::OnceMeasured {
            name: DISSEMINATION,
            modules: "src/peers/dissemination/",
            series: LOG_TIME,
        },
        vec![need(Resource::Messages, |context| Ok(entries_of(context)?.times(context.plan.nodes)))
            .called("acknowledgements")],
    )
}

fn publish() -> Row {
    let row = row(
        Role::Operator,
        "purges and changes, given in",
        |_| "none".to_owned(),
        Mechanism::Missing(PUBLISH),
        vec![need(Resource::Messages, entries_of).called("entries")],
    );
    Row { leans_on: &[DISSEMINATION, REPLICATED_LOG], ..row }
}

fn release() -> Row {
    let row = row(
        Role::Operator,
        "a release over all nodes",
        |plan| {
            let batches = (plan.nodes / plan.release_nodes_at_once.max(1.0)).ceil();
            format!(
                "{} steps of {} nodes (assumed)",
                count(batches),
                number(plan.release_nodes_at_once.max(1.0))
            )
        },
        Mechanism::Missing(STAGED_RELEASES),
        Vec::new(),
    );
    Row { leans_on: &[DISSEMINATION], ..row }
}

fn failed_machines() -> Row {
    row(
        Role::Operator,
        "machines that fail or are replaced",
        |plan| {
            format!(
                "{} fail on an ordinary day, {} restarts or replacements",
                count(plan.machines_per_day),
                count(plan.restarts_at_once)
            )
        },
        Mechanism::Modules("src/peers/"),
        vec![need(Resource::Seconds, |context| {
            let kill = ["hollow.seconds_to_know.kill", "membership.seconds_to_know.kill"];
            context.first_of(&kill, Resource::Seconds)
        })
        .called("until all know of one")],
    )
}

fn view() -> Row {
    row(
        Role::Operator,
        "a look at all nodes",
        |plan| format!("{} members and their views", count(plan.nodes)),
        Mechanism::Modules("src/members.rs"),
        vec![need(Resource::Seconds, |context| {
            context
                .first_of(&["membership.seconds_to_agree.join", "hollow.seconds_to_meet"], Resource::Seconds)
        })
        .called("until a view is whole")],
    )
}
