//! Rows of the control functions of a node: membership, dissemination and live configuration.

use super::{need, need_with_budget, Mechanism, Need, Resource, Role, Row, DISSEMINATION, LIVE_VALUES};
use crate::capacity::figures::format_count;
use crate::capacity::values::NeedResult;
use crate::capacity::{demand, Case, Context, Plan, Unavailable, Value};

const BYTES: &str = "the plan, all of control";
const CORE: &str = "the plan, all of control";
const MEMORY: &str = "the smaller of plan and smallest node";
/// Size of the UDP and IPv4 headers; budgets and series count datagrams without them.
const UDP_IP_HEADER_BYTES: f64 = 28.0;
/// The largest datagram between peers.
const MAX_DATAGRAM_BYTES: f64 = walkpick::peers::MAX_DATAGRAM_BYTES as f64;
const LOG_TIME: &str = "dissemination.seconds_to_all.log";
const STATE_TIME: &str = "dissemination.seconds_to_all.state";

pub(super) fn rows() -> Vec<Row> {
    vec![
        membership(),
        whole_list(),
        purges(),
        configuration(),
        live_configuration(),
        combined(),
        combined_hollow(),
    ]
}

fn row(name: &'static str, state: fn(&Plan) -> String, mechanism: Mechanism, needs: Vec<Need>) -> Row {
    Row { role: Role::Control, name, state, mechanism, depends_on: &[], needs }
}

fn bytes(of: fn(&Context) -> NeedResult) -> Need {
    need_with_budget(Resource::Bytes, BYTES, demand::control_bytes_budget, of)
}

fn cores(of: fn(&Context) -> NeedResult) -> Need {
    need_with_budget(Resource::Processor, CORE, |plan| plan.control_core_fraction, of)
}

fn memory(of: fn(&Context) -> NeedResult) -> Need {
    need_with_budget(Resource::Memory, MEMORY, demand::control_memory_budget, of)
}

fn membership() -> Row {
    row(
        "membership",
        |plan| format!("{} members", format_count(plan.nodes)),
        Mechanism::Modules("src/peers/, src/net/peers.rs"),
        vec![
            need(Resource::Messages, |context| match context.case {
                Case::OrdinaryDay | Case::Peak => {
                    context.max("membership.datagrams_per_second.rest", Resource::Messages)
                }
                _ => Err(Unavailable::NotApplicable),
            })
            .labelled("datagrams at rest"),
            need_with_budget(
                Resource::Bytes,
                "membership's part of control",
                demand::membership_bytes_budget,
                membership_bytes,
            )
            .labelled("largest 5 s mean"),
            need(Resource::Bytes, |context| match context.case {
                Case::OrdinaryDay | Case::Peak => {
                    let sent = context.max("membership.datagrams_per_second.rest", Resource::Messages)?;
                    Ok(sent.scaled(UDP_IP_HEADER_BYTES))
                }
                _ => Err(Unavailable::NotApplicable),
            })
            .labelled("headers of UDP and IP beside it"),
            cores(membership_cores).labelled("its code without sockets"),
            memory(membership_memory),
            need(Resource::Seconds, seconds_to_know).labelled("until all know"),
            need(Resource::Seconds, seconds_to_agree).labelled("until views agree"),
        ],
    )
}

fn whole_list() -> Row {
    row(
        "membership, a whole list told once",
        |plan| {
            format!(
                "{} identities, in datagrams of at most {} B",
                format_count(plan.nodes),
                format_count(MAX_DATAGRAM_BYTES)
            )
        },
        Mechanism::Modules("src/peers/"),
        vec![
            need(Resource::Memory, |context| context.mean("membership.list_bytes", Resource::Memory))
                .labelled("bytes of a list"),
            need(Resource::Seconds, |context| {
                let list = context.mean("membership.list_bytes", Resource::Memory)?;
                Ok(list.scaled(1.0 / demand::control_bytes_budget(context.plan)))
            })
            .labelled("at the whole budget"),
        ],
    )
}

fn purges() -> Row {
    row(
        "purges, to every node in order",
        |plan| {
            format!(
                "entries of up to {} B for repair; {} of them missed by a region cut off for {} s",
                format_count(plan.entry_largest_bytes),
                format_count(demand::purges_missed(plan)),
                format_count(plan.region_cut_seconds)
            )
        },
        Mechanism::OnceMeasured {
            name: DISSEMINATION,
            modules: "src/peers/dissemination/",
            series: LOG_TIME,
        },
        vec![
            need(Resource::Messages, |context| Ok(Value::from_plan(context.plan.purges_per_second)))
                .labelled("entries"),
            bytes(dissemination_bytes).labelled("largest 5 s mean, membership's with it"),
            memory(|context| context.max("dissemination.memory", Resource::Memory)),
            need_with_budget(
                Resource::Seconds,
                "the plan",
                |plan| plan.purge_within_seconds,
                |context| without_failure(context, LOG_TIME, Resource::Seconds),
            )
            .labelled("to all nodes, the largest"),
        ],
    )
}

fn configuration() -> Row {
    row(
        "configuration, the newest to every node",
        |plan| format!("one version; {} changes a day", format_count(plan.configuration_changes_per_day)),
        Mechanism::OnceMeasured {
            name: DISSEMINATION,
            modules: "src/peers/dissemination/",
            series: STATE_TIME,
        },
        vec![
            need(Resource::Messages, |context| {
                Ok(Value::from_plan(demand::configuration_per_second(context.plan)))
            })
            .labelled("changes"),
            bytes(|context| {
                let rate = demand::configuration_per_second(context.plan);
                Ok(Value::from_plan(rate * context.plan.entry_largest_bytes))
            })
            .labelled("each change once, in the mean"),
            need_with_budget(
                Resource::Seconds,
                "the plan",
                |plan| plan.configuration_within_seconds,
                |context| without_failure(context, STATE_TIME, Resource::Seconds),
            )
            .labelled("to all nodes, the largest"),
        ],
    )
}

fn live_configuration() -> Row {
    let row = row(
        "configuration, put in force while running",
        |_| "one value: discovery's address, read anew at SIGHUP (src/net/config/)".to_owned(),
        Mechanism::Missing(LIVE_VALUES),
        vec![need(Resource::Messages, |context| {
            Ok(Value::from_plan(demand::configuration_per_second(context.plan)))
        })
        .labelled("changes")],
    );
    Row { depends_on: &[DISSEMINATION], ..row }
}

fn combined() -> Row {
    row(
        "membership and dissemination together",
        |_| "as above".to_owned(),
        Mechanism::Modules("src/peers/budget.rs"),
        vec![
            bytes(combined_bytes).labelled("should both peaks fall together"),
            memory(|context| {
                let dissemination = context.max("dissemination.memory", Resource::Memory)?;
                Ok(membership_memory(context)?.plus(dissemination))
            }),
        ],
    )
}

fn combined_hollow() -> Row {
    row(
        "all of control, hollow nodes on UDP sockets",
        |plan| format!("{} members, and what dissemination keeps", format_count(plan.nodes)),
        Mechanism::Modules("src/peers/, src/net/peers.rs"),
        vec![
            bytes(hollow_bytes).labelled("largest 5 s mean"),
            cores(hollow_cores),
            memory(|context| without_failure(context, "hollow.memory_bytes", Resource::Memory)),
            need_with_budget(
                Resource::Seconds,
                "the plan",
                |plan| plan.purge_within_seconds,
                |context| without_failure(context, "hollow.seconds_to_all.log", Resource::Seconds),
            )
            .labelled("a purge to all nodes"),
            need_with_budget(
                Resource::Seconds,
                "the plan",
                |plan| plan.configuration_within_seconds,
                |context| without_failure(context, "hollow.seconds_to_all.state", Resource::Seconds),
            )
            .labelled("a change to all nodes"),
        ],
    )
}

/// A series measured without failures; it applies to the ordinary day and the peak only.
fn without_failure(context: &Context, name: &str, resource: Resource) -> NeedResult {
    match context.case {
        Case::OrdinaryDay | Case::Peak => context.max(name, resource),
        _ => Err(Unavailable::NotApplicable),
    }
}

fn membership_bytes(context: &Context) -> NeedResult {
    let rest = || {
        context.max_of_first_measured(
            &["membership.bytes_per_second.peak.rest", "membership.bytes_per_second.rest"],
            Resource::Bytes,
        )
    };
    match context.case {
        Case::OrdinaryDay => {
            let kill = context.max("membership.bytes_per_second.peak.kill", Resource::Bytes);
            max_of_idle_and_loss(rest(), kill)
        }
        Case::Peak => rest(),
        _ => case_series(context, "membership.bytes_per_second.peak.", Resource::Bytes),
    }
}

/// The larger of idle traffic and, if measured, of the loss of one node: single machines fail on an ordinary day.
fn max_of_idle_and_loss(rest: NeedResult, loss: NeedResult) -> NeedResult {
    match loss {
        Ok(loss) => Ok(rest?.max(loss)),
        Err(_) => rest,
    }
}

/// The series of membership that was measured for the case.
fn case_series(context: &Context, prefix: &str, resource: Resource) -> NeedResult {
    let of = |case: &str| context.max(&format!("{prefix}{case}"), resource);
    match context.case {
        Case::OrdinaryDay | Case::Peak => Err(Unavailable::NotApplicable),
        Case::RestartsAtOnce => of("restarts32"),
        Case::RackLost => of("rack"),
        Case::ZoneLost => of("zone"),
        Case::RegionCut => of("region_cut"),
        Case::RegionReturn => of("region_return"),
        Case::Release => of("release"),
        Case::OtherFailures => {
            let others = ["join", "split", "tenth_restarted", "seven_in_ten_killed"];
            let names = others.map(|case| format!("{prefix}{case}"));
            context.max_of_measured(&names.each_ref().map(String::as_str), resource)
        }
    }
}

/// Time until all nodes know of a loss; applies to nodes that depart without a leave message and must be detected.
fn seconds_to_know(context: &Context) -> NeedResult {
    const NAME: &str = "membership.seconds_to_know.";
    match context.case {
        Case::OrdinaryDay => context.max(&format!("{NAME}kill"), Resource::Seconds),
        Case::RackLost | Case::ZoneLost | Case::RegionCut => case_series(context, NAME, Resource::Seconds),
        _ => Err(Unavailable::NotApplicable),
    }
}

/// Time until all views agree; views cannot agree during a partition.
fn seconds_to_agree(context: &Context) -> NeedResult {
    match context.case {
        Case::RegionCut => Err(Unavailable::NotApplicable),
        _ => case_series(context, "membership.seconds_to_agree.", Resource::Seconds),
    }
}

fn membership_cores(context: &Context) -> NeedResult {
    let of =
        |case: &str| context.mean(&format!("membership.processor_core_fraction.{case}"), Resource::Processor);
    match context.case {
        Case::OrdinaryDay | Case::Peak => of("rest"),
        Case::RestartsAtOnce => of("restarts32"),
        Case::ZoneLost => of("zone"),
        Case::Release => of("release"),
        Case::OtherFailures => of("join"),
        Case::RackLost | Case::RegionCut | Case::RegionReturn => Err(Unavailable::NotApplicable),
    }
}

fn membership_memory(context: &Context) -> NeedResult {
    let each = context.max("membership.memory_per_member", Resource::Memory)?;
    Ok(each.scaled(context.plan.nodes))
}

fn dissemination_bytes(context: &Context) -> NeedResult {
    context.max("dissemination.bytes_per_second.peak", Resource::Bytes)
}

/// Dissemination is measured with idle membership traffic included, so that part is subtracted once.
fn combined_bytes(context: &Context) -> NeedResult {
    let both = dissemination_bytes(context)?;
    match context.case {
        Case::OrdinaryDay | Case::Peak => Ok(both),
        _ => {
            let rest = context.mean("membership.bytes_per_second.rest", Resource::Bytes)?;
            Ok(membership_bytes(context)?.plus(both).plus(rest.scaled(-1.0)))
        }
    }
}

fn hollow_cores(context: &Context) -> NeedResult {
    match context.case {
        Case::OrdinaryDay => context.max("hollow.processor_core_fraction", Resource::Processor),
        Case::Peak => context.max_of_first_measured(
            &["hollow.processor_core_fraction.publish", "hollow.processor_core_fraction"],
            Resource::Processor,
        ),
        _ => Err(Unavailable::NotApplicable),
    }
}

fn hollow_bytes(context: &Context) -> NeedResult {
    let peak = |case: &str| context.max(&format!("hollow.bytes_per_second.peak.{case}"), Resource::Bytes);
    match context.case {
        Case::OrdinaryDay => max_of_idle_and_loss(peak("rest"), peak("kill")),
        Case::Peak => context.max_of_first_measured(
            &["hollow.bytes_per_second.peak.publish", "hollow.bytes_per_second.peak.rest"],
            Resource::Bytes,
        ),
        Case::RestartsAtOnce => peak("restart"),
        Case::RackLost => peak("rack"),
        Case::ZoneLost => peak("zone"),
        Case::RegionCut => peak("region"),
        Case::OtherFailures => {
            let others = ["hollow.bytes_per_second.peak.join", "hollow.bytes_per_second.peak.kill"];
            context.max_of_measured(&others, Resource::Bytes)
        }
        Case::RegionReturn | Case::Release => Err(Unavailable::NotApplicable),
    }
}
