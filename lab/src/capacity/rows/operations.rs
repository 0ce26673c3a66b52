//! Rows of control machines and operators.

use super::{
    need, Mechanism, Need, Resource, Role, Row, DISSEMINATION, PUBLISH, REPLICATED_LOG, STAGED_RELEASES,
};
use crate::capacity::figures::{format_count, format_number};
use crate::capacity::{demand, Context, Plan, Unavailable, Value};

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
    Row { role, name, state, mechanism, depends_on: &[], needs }
}

fn entries_of(context: &Context) -> Result<Value, Unavailable> {
    Ok(Value::from_plan(demand::entries_per_second(context.plan)))
}

fn entries() -> Row {
    row(
        Role::ControlMachine,
        "entries, ordered and kept",
        |plan| {
            let entries = demand::max_entry_bytes_per_day(plan) / plan.entry_largest_bytes;
            let megabytes = demand::max_entry_bytes_per_day(plan) / 1e6;
            format!(
                "{} entries a day, at most {} MB, on {} machines",
                format_count(entries),
                format_count(megabytes),
                format_count(plan.control_machines)
            )
        },
        Mechanism::Missing(REPLICATED_LOG),
        vec![
            need(Resource::Messages, entries_of).labelled("entries"),
            need(
                Resource::Bytes,
                |context| Ok(entries_of(context)?.scaled(context.plan.entry_largest_bytes)),
            )
            .labelled("entries, at the most"),
        ],
    )
}

fn acknowledgements() -> Row {
    row(
        Role::ControlMachine,
        "acknowledgements, should each node send its own",
        |plan| format!("{} nodes, by name", format_count(plan.nodes)),
        Mechanism::OnceMeasured {
            name: DISSEMINATION,
            modules: "src/peers/dissemination/",
            series: LOG_TIME,
        },
        vec![need(Resource::Messages, |context| Ok(entries_of(context)?.scaled(context.plan.nodes)))
            .labelled("acknowledgements")],
    )
}

fn publish() -> Row {
    let row = row(
        Role::Operator,
        "purges and changes, given in",
        |_| "none".to_owned(),
        Mechanism::Missing(PUBLISH),
        vec![need(Resource::Messages, entries_of).labelled("entries")],
    );
    Row { depends_on: &[DISSEMINATION, REPLICATED_LOG], ..row }
}

fn release() -> Row {
    let row = row(
        Role::Operator,
        "a release over all nodes",
        |plan| {
            let batches = (plan.nodes / plan.release_nodes_at_once.max(1.0)).ceil();
            format!(
                "{} steps of {} nodes (assumed)",
                format_count(batches),
                format_number(plan.release_nodes_at_once.max(1.0))
            )
        },
        Mechanism::Missing(STAGED_RELEASES),
        Vec::new(),
    );
    Row { depends_on: &[DISSEMINATION], ..row }
}

fn failed_machines() -> Row {
    row(
        Role::Operator,
        "machines that fail or are replaced",
        |plan| {
            format!(
                "{} fail on an ordinary day, {} restarts or replacements",
                format_count(plan.machines_per_day),
                format_count(plan.restarts_at_once)
            )
        },
        Mechanism::Modules("src/peers/"),
        vec![need(Resource::Seconds, |context| {
            let kill = ["hollow.seconds_to_know.kill", "membership.seconds_to_know.kill"];
            context.max_of_first_measured(&kill, Resource::Seconds)
        })
        .labelled("until all know of one")],
    )
}

fn view() -> Row {
    row(
        Role::Operator,
        "a look at all nodes",
        |plan| format!("{} members and their views", format_count(plan.nodes)),
        Mechanism::Modules("src/members.rs"),
        vec![need(Resource::Seconds, |context| {
            context.max_of_first_measured(
                &["membership.seconds_to_agree.join", "hollow.seconds_to_meet"],
                Resource::Seconds,
            )
        })
        .labelled("until a view is whole")],
    )
}
