//! Judges: checks of the rules against the lab's own record of a run, and the figures of the run.

pub mod relative;

use crate::experiment::{Check, Driver, Experiment};
use crate::model::clients::{ClientClass, ClientOutcome, ClientRequest};
use crate::model::{micros, Micros, SECOND};
use crate::plan::Plan;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use walkpick::{Class, DedupScope, Effect, ServerId};

/// A crash of a cold server violates the rule on cold servers where at least this share of the work came from nodes that
/// had been notified of its start.
const MIN_NOTIFIED_SHARE: f64 = 2.0 / 3.0;
/// Violations listed one by one; further ones are only counted.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// The figures that a check may name, and their meanings.
pub const FIGURES: &[(&str, &str)] = &[
    ("served", "worth in time over worth asked for, the whole run"),
    ("worst_window", "the same, in the worst 10 s"),
    ("worst_class", "the same, for the worst class with a hundredth of the requests"),
    ("refused", "part of the requests whose last try was refused"),
    ("failed", "part of the requests whose last try failed or was never answered"),
    ("tries", "tries of a client for each request"),
    ("attempts", "attempts at servers for each request"),
    ("misses", "part of the served reads that no server had kept"),
    ("crossings", "attempts to another zone for each request"),
    ("connections", "new connections to servers for each request"),
    ("wasted", "part of the servers' work whose answer nobody used"),
    ("origin_falls", "times that the origin fell over"),
    ("cold_falls", "cold servers that fell over"),
    ("p50_ms", "median time of what was served, from when it was due"),
    ("p99_ms", "99th percentile of that"),
    ("probes", "probes for each request"),
    ("rules", "broken rules"),
    (
        "peers_known_s",
        "real nodes that meet: until 99 in 100 of the others knew of one that was killed, in seconds",
    ),
    ("peers_left_s", "the same for one that was told to go, from when it was told"),
    ("peers_false", "real nodes that meet: words that one is lost that nothing had met"),
    (
        "peers_apart_s",
        "real nodes that meet: until 9 in 10 had said that views differ, from the first fault on",
    ),
    (
        "peers_agreed_s",
        "real nodes that meet: until the last one said that views agree, from the end of the last fault",
    ),
    ("cpu_ms", "real nodes: processor time for each request"),
    ("cpu_share", "real nodes: part of a core that a node used, on the mean"),
    ("memory_mb", "real nodes: the most memory that one held, in MiB"),
    ("late_p99_ms", "real driver: how late the lab itself was, the 99th percentile"),
    ("late_max_ms", "real driver: how late it was at the most"),
];

/// A violation of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The rule: final-answer, resend, refusal, drain, cold-server or crash.
    pub rule: &'static str,
    /// When, in seconds.
    pub at_s: f64,
    /// Description.
    pub what: String,
}

/// Whether a request of a class may be sent to a server again (rule on duplicated effects). `first`: when the first of
/// its attempts that may have been executed, or are in flight, was sent.
fn may_resend(effect: Effect, first: Option<Micros>, now: Micros) -> bool {
    let Some(first) = first else { return true };
    match effect {
        Effect::Safe => true,
        Effect::Unsafe => false,
        Effect::Keyed { window, .. } => now < first + micros(window),
    }
}

/// Whether a request of a class may be refused. `may_have_run`: whether an attempt may have been executed.
fn may_refuse(effect: Effect, may_have_run: bool) -> bool {
    match effect {
        Effect::Safe => true,
        Effect::Unsafe => !may_have_run,
        Effect::Keyed { scope, .. } => !may_have_run || scope == DedupScope::All,
    }
}

/// An action of a node on a request.
#[derive(Clone, Copy, Debug)]
pub struct NodeAction<'a> {
    /// When.
    pub now: Micros,
    /// Index of the node.
    pub node: usize,
    /// Index of the client's try.
    pub try_id: usize,
    /// Class of the request.
    pub class: &'a Class,
}

/// A node's notice that a server is to get no new requests.
#[derive(Clone, Copy, Debug)]
pub struct DrainNotice {
    /// When the node was notified.
    pub notified_at: Micros,
    /// How long after that it may still send.
    pub grace: Micros,
}

/// The lab's record of a run.
#[derive(Debug, Default)]
pub struct Record {
    outcomes: Vec<(ClientOutcome, Option<Micros>)>,
    /// Tries of clients.
    pub tries: u64,
    /// Attempts at servers.
    pub attempts: u64,
    /// Attempts at servers in another zone.
    pub crossings: u64,
    /// Probes.
    pub probes: u64,
    /// New connections to servers.
    pub connections: u64,
    /// Reads that were served, and how many of them were cache misses.
    pub reads: (u64, u64),
    /// Work done by servers, and how much of it was for answers that nobody used, in microseconds.
    pub work_us: (f64, f64),
    /// Crashes of cold servers.
    pub cold_crashes: u64,
    /// Crashes of the origin.
    pub origin_crashes: u64,
    violations: Vec<Violation>,
    violation_count: u64,
    /// The current state of each node that has changed state, and since when.
    states: BTreeMap<usize, (NodeState, Micros)>,
    /// Past states other than serving: node, state, from, to.
    past_states: Vec<(usize, NodeState, Micros, Micros)>,
}

/// Figures of one second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Worth requested.
    pub asked: f64,
    /// Worth served within the latency target.
    pub served: f64,
    /// Requests.
    pub requests: u32,
    /// Requests that were refused.
    pub refused: u32,
    /// Requests that failed or were never answered.
    pub failed: u32,
    /// Median latency of served requests, from their scheduled arrival, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that latency.
    pub p99_ms: f64,
}

/// State of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeState {
    /// Serving.
    Serving,
    /// Asked to shut down.
    Leaving,
    /// Paused (SIGSTOP).
    Paused,
    /// Limited to a share of the processor time.
    Slow,
    /// Not running.
    Down,
}

/// A period during which a node was in one state.
#[derive(Clone, Debug, Serialize)]
pub struct Span {
    /// Index of the node.
    pub node: usize,
    /// Its state.
    #[serde(rename = "doing")]
    pub state: NodeState,
    /// Start, in seconds since the end of the lead.
    pub from_s: f64,
    /// End, likewise.
    pub to_s: f64,
}

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// The experiment.
    pub experiment: String,
    /// The arm.
    pub arm: String,
    /// The seed.
    pub seed: u64,
    /// Version of the lab.
    pub version: &'static str,
    /// Name of the driver.
    pub driver: &'static str,
    /// Why the run does not count, if so.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub void: Option<String>,
    /// Whether the run was ended early: its figures cover what was measured up to then.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub interrupted: bool,
    /// Requests of clients.
    pub requests: usize,
    /// Digest of all requests as drawn before the run, the same in every arm.
    pub draws: String,
    /// Values by name; see [`FIGURES`].
    pub figures: BTreeMap<&'static str, f64>,
    /// Results of the checks that apply to this arm.
    pub checks: Vec<CheckResult>,
    /// The first violations of rules.
    pub rules_broken: Vec<Violation>,
    /// Figures by second.
    pub series: Vec<Second>,
    /// Periods during which nodes were not serving.
    pub spans: Vec<Span>,
}

/// The result of a check.
#[derive(Clone, Debug, Serialize)]
pub struct CheckResult {
    /// Name of the check.
    pub name: String,
    /// Name of the figure.
    pub figure: String,
    /// Value that is held against the bound.
    pub value: f64,
    /// The bound, in words.
    pub bound: String,
    /// Whether the value is within it.
    pub holds: bool,
}

impl Record {
    /// An empty record of a run with this many requests.
    pub fn new(requests: usize) -> Self {
        Self { outcomes: vec![Default::default(); requests], ..Self::default() }
    }

    /// Records a violation of a rule.
    pub fn violation(&mut self, now: Micros, rule: &'static str, what: impl FnOnce() -> String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_LISTED_VIOLATIONS {
            self.violations.push(Violation { rule, at_s: now as f64 / SECOND as f64, what: what() });
        }
    }

    /// Records the crash of a cold server, and checks the rule on cold servers. `notified_share`: share of the work from
    /// nodes that had been notified of its start.
    pub fn cold_crash(&mut self, now: Micros, server: &ServerId, notified_share: f64) {
        self.cold_crashes += 1;
        if notified_share >= MIN_NOTIFIED_SHARE {
            self.violation(now, "cold-server", || format!("{server} was pushed over while cold"));
        }
    }

    /// A server starts to execute a request. `times`: how often it was started, this time included.
    pub fn execution_started(&mut self, now: Micros, try_id: usize, class: &Class, times: u32) {
        if class.effect == Effect::Unsafe && times > 1 {
            let name = class.name.as_str();
            self.violation(now, "resend", || format!("request {try_id} ({name}) ran twice"));
        }
    }

    /// A node sends an attempt to a server. `notice`: present where the node was notified that the server drains or was
    /// removed. `first`: when the first of the request's attempts that may have been executed, or are in flight, was
    /// sent.
    pub fn attempt_sent(
        &mut self,
        action: NodeAction,
        server: &ServerId,
        notice: Option<DrainNotice>,
        first: Option<Micros>,
    ) {
        let NodeAction { now, node, try_id, class } = action;
        if let Some(notice) = notice.filter(|notice| now > notice.notified_at + notice.grace) {
            let after_ms = (now - notice.notified_at) / 1_000;
            self.violation(now, "drain", || {
                format!("request {try_id} went to {server} {after_ms} ms after n{node} was told that it drains or is gone")
            });
        }
        if !may_resend(class.effect, first, now) {
            let name = class.name.as_str();
            self.violation(now, "resend", || {
                format!("request {try_id} ({name}) was sent again by n{node} though it may have run")
            });
        }
    }

    /// A node refuses a request.
    pub fn request_refused(&mut self, action: NodeAction, may_have_run: bool) {
        let NodeAction { now, node, try_id, class } = action;
        if !may_refuse(class.effect, may_have_run) {
            let name = class.name.as_str();
            self.violation(now, "refusal", || {
                format!("request {try_id} ({name}) was refused by n{node} though it may have run")
            });
        }
    }

    /// A node changes state. All nodes serve at the start of the run.
    pub fn node_state_changed(&mut self, node: usize, state: NodeState, now: Micros) {
        let (previous, since) = self.states.insert(node, (state, now)).unwrap_or((NodeState::Serving, 0));
        if previous != NodeState::Serving {
            self.past_states.push((node, previous, since, now));
        }
    }

    fn spans(&self, lead: Micros, end: Micros) -> Vec<Span> {
        let current = self.states.iter().filter(|(_, (state, _))| *state != NodeState::Serving);
        let current = current.map(|(&node, &(state, since))| (node, state, since, end));
        let seconds = |at: Micros| (at as f64 - lead as f64) / SECOND as f64;
        let all = self.past_states.iter().copied().chain(current);
        all.map(|(node, state, from, to)| Span { node, state, from_s: seconds(from), to_s: seconds(to) })
            .collect()
    }

    /// A try of a client's request ended. A request that was served counts as served whatever follows.
    pub fn request_ended(&mut self, request: usize, outcome: ClientOutcome, at: Micros) {
        let recorded = &mut self.outcomes[request];
        if recorded.0 != ClientOutcome::Served {
            *recorded = (outcome, Some(at));
        }
    }

    /// Computes the figures of the run and of its seconds. Only requests that arrive after the lead count.
    fn figures(
        &self,
        requests: &[ClientRequest],
        classes: &[ClientClass],
        lead: Micros,
    ) -> (BTreeMap<&'static str, f64>, Vec<Second>) {
        let mut series = Vec::new();
        // For each class: worth requested, worth served in time, requests.
        let mut class_totals = vec![(0.0, 0.0, 0usize); classes.len()];
        let (mut refused, mut failed, mut counted) = (0u64, 0u64, 0u64);
        // Up to a minute, with three significant digits.
        let histogram = || Histogram::<u64>::new_with_bounds(1, 60 * SECOND, 3).ok();
        let (mut latencies, mut second_latencies) = (histogram(), histogram());
        for (request, &(outcome, at)) in
            requests.iter().zip(&self.outcomes).filter(|(request, _)| request.at >= lead)
        {
            let class = &classes[request.class];
            let worth = class.config.worth * request.work_us / SECOND as f64;
            let latency = at.map(|at| at.saturating_sub(request.at));
            let in_time = outcome == ClientOutcome::Served
                && latency.is_some_and(|latency| latency <= micros(class.config.latency_target));
            let served = if in_time { worth } else { 0.0 };
            let index = ((request.at - lead) / SECOND) as usize;
            if series.len() <= index {
                finish_second(series.last_mut(), &mut second_latencies);
                series.resize(index + 1, Second::default());
            }
            let second = &mut series[index];
            second.asked += worth;
            second.served += served;
            second.requests += 1;
            second.refused += u32::from(outcome == ClientOutcome::Refused);
            second.failed += u32::from(matches!(
                outcome,
                ClientOutcome::Failed | ClientOutcome::Unreachable | ClientOutcome::Unanswered
            ));
            let totals = &mut class_totals[request.class];
            *totals = (totals.0 + worth, totals.1 + served, totals.2 + 1);
            counted += 1;
            refused += u64::from(outcome == ClientOutcome::Refused);
            failed += u64::from(matches!(
                outcome,
                ClientOutcome::Failed | ClientOutcome::Unreachable | ClientOutcome::Unanswered
            ));
            if let (ClientOutcome::Served, Some(latency), Some(latencies), Some(second_latencies)) =
                (outcome, latency, &mut latencies, &mut second_latencies)
            {
                latencies.saturating_record(latency.max(1));
                second_latencies.saturating_record(latency.max(1));
            }
        }
        finish_second(series.last_mut(), &mut second_latencies);
        let served_share = |seconds: &[Second]| {
            let asked: f64 = seconds.iter().map(|second| second.asked).sum();
            ratio(seconds.iter().map(|second| second.served).sum(), asked)
        };
        let worst_window = series.windows(10.min(series.len().max(1))).map(served_share).fold(1.0, f64::min);
        let frequent = class_totals.iter().filter(|totals| totals.2 as u64 * 100 >= counted);
        let worst_class = frequent.map(|totals| ratio(totals.1, totals.0)).fold(1.0, f64::min);
        let per_request = |count: u64| ratio(count as f64, requests.len() as f64);
        let quantile_ms =
            |q| latencies.as_ref().map_or(0.0, |latencies| latencies.value_at_quantile(q) as f64 / 1_000.0);
        let figures = [
            ("served", served_share(&series)),
            ("worst_window", worst_window),
            ("worst_class", worst_class),
            ("refused", ratio(refused as f64, counted as f64)),
            ("failed", ratio(failed as f64, counted as f64)),
            ("tries", per_request(self.tries)),
            ("attempts", per_request(self.attempts)),
            ("misses", ratio(self.reads.1 as f64, self.reads.0 as f64)),
            ("crossings", per_request(self.crossings)),
            ("connections", per_request(self.connections)),
            ("wasted", ratio(self.work_us.1, self.work_us.0)),
            ("origin_falls", self.origin_crashes as f64),
            ("cold_falls", self.cold_crashes as f64),
            ("p50_ms", quantile_ms(0.5)),
            ("p99_ms", quantile_ms(0.99)),
            ("probes", per_request(self.probes)),
            ("rules", self.violation_count as f64),
        ];
        (figures.into(), series)
    }

    /// The result of the run in the arm `arm`. `further`: figures that only this driver has.
    pub fn result<const N: usize>(
        &self,
        plan: &Plan,
        arm: &str,
        further: [(&'static str, f64); N],
    ) -> RunResult {
        let (mut figures, series) = self.figures(&plan.requests, &plan.classes, plan.lead());
        figures.extend(further);
        let driver = if N == 0 { Driver::Virtual } else { Driver::Real };
        RunResult {
            experiment: plan.experiment.name.clone(),
            arm: arm.to_owned(),
            seed: plan.seed,
            version: env!("CARGO_PKG_VERSION"),
            driver: driver.name(),
            void: None,
            interrupted: false,
            requests: plan.requests.len(),
            draws: plan.draws_digest(),
            checks: evaluate_checks(&plan.experiment, arm, driver, &figures),
            figures,
            rules_broken: self.violations.clone(),
            series,
            spans: self.spans(plan.lead(), plan.length()),
        }
    }
}

/// Computes the latencies of a second. Requests are in order of arrival, so a second ends with the first request of a
/// later one.
fn finish_second(second: Option<&mut Second>, latencies: &mut Option<Histogram<u64>>) {
    if let (Some(second), Some(latencies)) = (second, latencies) {
        let ms = |q| latencies.value_at_quantile(q) as f64 / 1_000.0;
        (second.p50_ms, second.p99_ms) = (ms(0.5), ms(0.99));
        latencies.reset();
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        0.0
    }
}

/// Evaluates an experiment's checks on the figures of an arm, except checks that compare it with another arm: see
/// [`relative`].
pub fn evaluate_checks(
    experiment: &Experiment,
    arm: &str,
    driver: Driver,
    figures: &BTreeMap<&'static str, f64>,
) -> Vec<CheckResult> {
    let applies = |check: &&Check| {
        check.relative_to.is_none()
            && check.arm.as_ref().is_none_or(|name| name == arm)
            && check.driver.is_none_or(|required| required == driver)
    };
    let results = experiment.check.iter().filter(applies).map(|check| {
        let value = figures.get(check.figure.as_str()).copied().unwrap_or(f64::NAN);
        CheckResult {
            name: check.name.clone(),
            figure: check.figure.clone(),
            value,
            bound: bounds(check)
                .map(|(word, bound)| format!("{word} {bound}"))
                .collect::<Vec<_>>()
                .join(", "),
            holds: within(check, value),
        }
    });
    results.collect()
}

/// The bounds of a check, with the words that describe them.
fn bounds(check: &Check) -> impl Iterator<Item = (&'static str, f64)> {
    let bounds = [("at least", check.at_least), ("at most", check.at_most)];
    bounds.into_iter().filter_map(|(word, bound)| bound.map(|bound| (word, bound)))
}

/// Whether a value lies within a check's bounds. `NaN` lies within none.
fn within(check: &Check, value: f64) -> bool {
    check.at_least.is_none_or(|min| value >= min) && check.at_most.is_none_or(|max| value <= max)
}
