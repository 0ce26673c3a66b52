//! What a node spends beside the request path: membership, dissemination and values in force.

use super::{need, within, Mechanism, Need, Resource, Role, Row, DISSEMINATION, LIVE_VALUES};
use crate::capacity::figures::count;
use crate::capacity::values::Needed;
use crate::capacity::{demand, Case, Context, Gap, Plan, Value};

const BYTES: &str = "the plan, all of control";
const CORE: &str = "the plan, all of control";
const MEMORY: &str = "the smaller of plan and smallest node";
/// Headers of UDP and of IP, version 4: budgets and series count datagrams without them.
const HEADERS: f64 = 28.0;
/// The largest datagram between peers.
const DATAGRAM: f64 = walkpick::peers::MAX_DATAGRAM_BYTES as f64;
const LOG_TIME: &str = "dissemination.seconds_to_all.log";
const STATE_TIME: &str = "dissemination.seconds_to_all.state";

pub(super) fn rows() -> Vec<Row> {
    vec![
        membership(),
        whole_list(),
        purges(),
        configuration(),
        values_in_force(),
        together(),
        together_hollow(),
    ]
}

fn row(name: &'static str, state: fn(&Plan) -> String, mechanism: Mechanism, needs: Vec<Need>) -> Row {
    Row { role: Role::Control, name, state, mechanism, leans_on: &[], needs }
}

fn bytes(of: fn(&Context) -> Needed) -> Need {
    within(Resource::Bytes, BYTES, demand::control_bytes_budget, of)
}

fn cores(of: fn(&Context) -> Needed) -> Need {
    within(Resource::Processor, CORE, |plan| plan.control_core_fraction, of)
}

fn memory(of: fn(&Context) -> Needed) -> Need {
    within(Resource::Memory, MEMORY, demand::control_memory_budget, of)
}

fn membership() -> Row {
    row(
        "membership",
        |plan| format!("{} members", count(plan.nodes)),
        Mechanism::Modules("src/peers/, src/net/peers.rs"),
        vec![
            need(Resource::Messages, |context| match context.case {
                Case::OrdinaryDay | Case::Peak => {
                    context.largest("membership.datagrams_per_second.rest", Resource::Messages)
                }
                _ => Err(Gap::NotApplicable),
            })
            .called("datagrams at rest"),
            within(
                Resource::Bytes,
                "membership's part of control",
                demand::membership_bytes_budget,
                membership_bytes,
            )
            .called("largest 5 s mean"),
            need(Resource::Bytes, |context| match context.case {
                Case::OrdinaryDay | Case::Peak => {
                    let sent = context.largest("membership.datagrams_per_second.rest", Resource::Messages)?;
                    Ok(sent.times(HEADERS))
                }
                _ => Err(Gap::NotApplicable),
            })
            .called("headers of UDP and IP beside it"),
            cores(membership_cores).called("its code without sockets"),
            memory(membership_memory),
            need(Resource::Seconds, seconds_to_know).called("until all know"),
            need(Resource::Seconds, seconds_to_agree).called("until views agree"),
        ],
    )
}

fn whole_list() -> Row {
    row(
        "membership, a whole list told once",
        |plan| format!("{} identities, in datagrams of at most {} B", count(plan.nodes), count(DATAGRAM)),
        Mechanism::Modules("src/peers/"),
        vec![
            need(Resource::Memory, |context| context.mean("membership.list_bytes", Resource::Memory))
                .called("bytes of a list"),
            need(Resource::Seconds, |context| {
                let list = context.mean("membership.list_bytes", Resource::Memory)?;
                Ok(list.times(1.0 / demand::control_bytes_budget(context.plan)))
            })
            .called("at the whole budget"),
        ],
    )
}

fn purges() -> Row {
    row(
        "purges, to every node in order",
        |plan| {
            format!(
                "entries of up to {} B for repair; {} of them missed by a region cut off for {} s",
                count(plan.entry_largest_bytes),
                count(demand::purges_missed(plan)),
                count(plan.region_cut_seconds)
            )
        },
        Mechanism::OnceMeasured {
            name: DISSEMINATION,
            modules: "src/peers/dissemination/",
            series: LOG_TIME,
        },
        vec![
            need(Resource::Messages, |context| Ok(Value::plan(context.plan.purges_per_second)))
                .called("entries"),
            bytes(dissemination_bytes).called("largest 5 s mean, membership's with it"),
            memory(|context| context.largest("dissemination.memory", Resource::Memory)),
            within(
                Resource::Seconds,
                "the plan",
                |plan| plan.purge_within_seconds,
                |context| in_calm(context, LOG_TIME, Resource::Seconds),
            )
            .called("to all nodes, the largest"),
        ],
    )
}

fn configuration() -> Row {
    row(
        "configuration, the newest to every node",
        |plan| format!("one version; {} changes a day", count(plan.configuration_changes_per_day)),
        Mechanism::OnceMeasured {
            name: DISSEMINATION,
            modules: "src/peers/dissemination/",
            series: STATE_TIME,
        },
        vec![
            need(Resource::Messages, |context| {
                Ok(Value::plan(demand::configuration_per_second(context.plan)))
            })
            .called("changes"),
            bytes(|context| {
                let rate = demand::configuration_per_second(context.plan);
                Ok(Value::plan(rate * context.plan.entry_largest_bytes))
            })
            .called("each change once, in the mean"),
            within(
                Resource::Seconds,
                "the plan",
                |plan| plan.configuration_within_seconds,
                |context| in_calm(context, STATE_TIME, Resource::Seconds),
            )
            .called("to all nodes, the largest"),
        ],
    )
}

fn values_in_force() -> Row {
    let row = row(
        "configuration, put in force while running",
        |_| "one value: discovery's address, read anew at SIGHUP (src/net/config/)".to_owned(),
        Mechanism::Missing(LIVE_VALUES),
        vec![need(Resource::Messages, |context| {
            Ok(Value::plan(demand::configuration_per_second(context.plan)))
        })
        .called("changes")],
    );
    Row { leans_on: &[DISSEMINATION], ..row }
}

fn together() -> Row {
    row(
        "membership and dissemination together",
        |_| "as above".to_owned(),
        Mechanism::Modules("src/peers/budget.rs"),
        vec![
            bytes(bytes_together).called("should both peaks fall together"),
            memory(|context| {
                let dissemination = context.largest("dissemination.memory", Resource::Memory)?;
                Ok(membership_memory(context)?.plus(dissemination))
            }),
        ],
    )
}

fn together_hollow() -> Row {
    row(
        "all of control, hollow nodes on UDP sockets",
        |plan| format!("{} members, and what dissemination keeps", count(plan.nodes)),
        Mechanism::Modules("src/peers/, src/net/peers.rs"),
        vec![
            bytes(hollow_bytes).called("largest 5 s mean"),
            cores(hollow_cores),
            memory(|context| in_calm(context, "hollow.memory_bytes", Resource::Memory)),
            within(
                Resource::Seconds,
                "the plan",
                |plan| plan.purge_within_seconds,
                |context| in_calm(context, "hollow.seconds_to_all.log", Resource::Seconds),
            )
            .called("a purge to all nodes"),
            within(
                Resource::Seconds,
                "the plan",
                |plan| plan.configuration_within_seconds,
                |context| in_calm(context, "hollow.seconds_to_all.state", Resource::Seconds),
            )
            .called("a change to all nodes"),
        ],
    )
}

/// What is measured without a failure counts for the ordinary day and the peak.
fn in_calm(context: &Context, name: &str, resource: Resource) -> Needed {
    match context.case {
        Case::OrdinaryDay | Case::Peak => context.largest(name, resource),
        _ => Err(Gap::NotApplicable),
    }
}

fn membership_bytes(context: &Context) -> Needed {
    let rest = || {
        context.first_of(
            &["membership.bytes_per_second.peak.rest", "membership.bytes_per_second.rest"],
            Resource::Bytes,
        )
    };
    match context.case {
        Case::OrdinaryDay => {
            let kill = context.largest("membership.bytes_per_second.peak.kill", Resource::Bytes);
            with_a_loss(rest(), kill)
        }
        Case::Peak => rest(),
        _ => by_case(context, "membership.bytes_per_second.peak.", Resource::Bytes),
    }
}

/// Single machines fail on an ordinary day: rest, or the loss of one where that was measured and is more.
fn with_a_loss(rest: Needed, loss: Needed) -> Needed {
    match loss {
        Ok(loss) => Ok(rest?.largest(loss)),
        Err(_) => rest,
    }
}

/// Series of membership that were measured in a case of their own.
fn by_case(context: &Context, prefix: &str, resource: Resource) -> Needed {
    let of = |case: &str| context.largest(&format!("{prefix}{case}"), resource);
    match context.case {
        Case::OrdinaryDay | Case::Peak => Err(Gap::NotApplicable),
        Case::RestartsAtOnce => of("restarts32"),
        Case::RackLost => of("rack"),
        Case::ZoneLost => of("zone"),
        Case::RegionCut => of("region_cut"),
        Case::RegionReturn => of("region_return"),
        Case::Release => of("release"),
        Case::OtherTrouble => {
            let others = ["join", "split", "tenth_restarted", "seven_in_ten_killed"];
            let names = others.map(|case| format!("{prefix}{case}"));
            context.largest_of(&names.each_ref().map(String::as_str), resource)
        }
    }
}

/// What is lost without a farewell has to be noticed.
fn seconds_to_know(context: &Context) -> Needed {
    const NAME: &str = "membership.seconds_to_know.";
    match context.case {
        Case::OrdinaryDay => context.largest(&format!("{NAME}kill"), Resource::Seconds),
        Case::RackLost | Case::ZoneLost | Case::RegionCut => by_case(context, NAME, Resource::Seconds),
        _ => Err(Gap::NotApplicable),
    }
}

/// While a region is cut off, views cannot agree.
fn seconds_to_agree(context: &Context) -> Needed {
    match context.case {
        Case::RegionCut => Err(Gap::NotApplicable),
        _ => by_case(context, "membership.seconds_to_agree.", Resource::Seconds),
    }
}

fn membership_cores(context: &Context) -> Needed {
    let of =
        |case: &str| context.mean(&format!("membership.processor_core_fraction.{case}"), Resource::Processor);
    match context.case {
        Case::OrdinaryDay | Case::Peak => of("rest"),
        Case::RestartsAtOnce => of("restarts32"),
        Case::ZoneLost => of("zone"),
        Case::Release => of("release"),
        Case::OtherTrouble => of("join"),
        Case::RackLost | Case::RegionCut | Case::RegionReturn => Err(Gap::NotApplicable),
    }
}

fn membership_memory(context: &Context) -> Needed {
    let each = context.largest("membership.memory_per_member", Resource::Memory)?;
    Ok(each.times(context.plan.nodes))
}

fn dissemination_bytes(context: &Context) -> Needed {
    context.largest("dissemination.bytes_per_second.peak", Resource::Bytes)
}

/// Dissemination is measured with a membership at rest beside it, which is not to count twice.
fn bytes_together(context: &Context) -> Needed {
    let both = dissemination_bytes(context)?;
    match context.case {
        Case::OrdinaryDay | Case::Peak => Ok(both),
        _ => {
            let rest = context.mean("membership.bytes_per_second.rest", Resource::Bytes)?;
            Ok(membership_bytes(context)?.plus(both).plus(rest.times(-1.0)))
        }
    }
}

fn hollow_cores(context: &Context) -> Needed {
    match context.case {
        Case::OrdinaryDay => context.largest("hollow.processor_core_fraction", Resource::Processor),
        Case::Peak => context.first_of(
            &["hollow.processor_core_fraction.publish", "hollow.processor_core_fraction"],
            Resource::Processor,
        ),
        _ => Err(Gap::NotApplicable),
    }
}

fn hollow_bytes(context: &Context) -> Needed {
    let peak = |case: &str| context.largest(&format!("hollow.bytes_per_second.peak.{case}"), Resource::Bytes);
    match context.case {
        Case::OrdinaryDay => with_a_loss(peak("rest"), peak("kill")),
        Case::Peak => context.first_of(
            &["hollow.bytes_per_second.peak.publish", "hollow.bytes_per_second.peak.rest"],
            Resource::Bytes,
        ),
        Case::RestartsAtOnce => peak("restart"),
        Case::RackLost => peak("rack"),
        Case::ZoneLost => peak("zone"),
        Case::RegionCut => peak("region"),
        Case::OtherTrouble => {
            let others = ["hollow.bytes_per_second.peak.join", "hollow.bytes_per_second.peak.kill"];
            context.largest_of(&others, Resource::Bytes)
        }
        Case::RegionReturn | Case::Release => Err(Gap::NotApplicable),
    }
}
