//! Judges: the rules, checked from the lab's own record, and the figures of a run.

pub mod relative;

use crate::experiment::{Check, Driver, Experiment};
use crate::model::clients::{Ask, End, Kind};
use crate::model::{micros, Micros, SECOND};
use crate::plan::Plan;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use walkpick::{Class, DedupScope, Effect, ServerId};

/// Rule on cold servers: it is broken where this part of the work came from nodes that knew of the start.
const TOLD_PART: f64 = 2.0 / 3.0;
/// Broken rules that are told one by one; the others are counted.
const TOLD: usize = 20;

/// The figures that a check may name, with what each means.
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

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Broken {
    /// Which: final-answer, resend, refusal, drain, cold-server, crash.
    pub rule: &'static str,
    /// When, in seconds.
    pub at_s: f64,
    /// What happened.
    pub what: String,
}

/// Whether a request of a class may be sent on again, or refused (rule on duplicated effects). `first`: when the
/// first of its attempts that may have run, or are still out, was sent.
fn may_repeat(effect: Effect, first: Option<Micros>, now: Micros) -> bool {
    let Some(first) = first else { return true };
    match effect {
        Effect::Safe => true,
        Effect::Unsafe => false,
        Effect::Keyed { window, .. } => now < first + micros(window),
    }
}

/// Whether a request of a class may be refused, where an attempt may have run or not.
fn may_refuse(effect: Effect, may_have_run: bool) -> bool {
    match effect {
        Effect::Safe => true,
        Effect::Unsafe => !may_have_run,
        Effect::Keyed { scope, .. } => !may_have_run || scope == DedupScope::All,
    }
}

/// What a node does about a request.
#[derive(Clone, Copy, Debug)]
pub struct Deed<'a> {
    /// When.
    pub now: Micros,
    /// The node.
    pub node: usize,
    /// The client's try.
    pub ticket: usize,
    /// Its class.
    pub class: &'a Class,
}

/// Since when a node knows that a server is to get nothing new, and the time that it has to stop.
#[derive(Clone, Copy, Debug)]
pub struct Off {
    /// When it was told.
    pub told: Micros,
    /// How long it has.
    pub grace: Micros,
}

/// What a run is told while it goes on.
#[derive(Debug, Default)]
pub struct Record {
    ends: Vec<(End, Option<Micros>)>,
    /// Tries of clients.
    pub tries: u64,
    /// Attempts at servers.
    pub attempts: u64,
    /// Attempts to another zone.
    pub crossings: u64,
    /// Probes.
    pub probes: u64,
    /// New connections to servers.
    pub connections: u64,
    /// Reads that were served, and those of them that no server had kept.
    pub reads: (u64, u64),
    /// Work done, and what of it nobody used, in microseconds.
    pub work_us: (f64, f64),
    /// Cold servers that fell over.
    pub cold_falls: u64,
    /// Times that the origin fell over.
    pub origin_falls: u64,
    broken: Vec<Broken>,
    broken_count: u64,
    /// Since when a node does what it does, and what it did before.
    doing: BTreeMap<usize, (Doing, Micros)>,
    done: Vec<(usize, Doing, Micros, Micros)>,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Worth asked for.
    pub asked: f64,
    /// Worth served in time.
    pub served: f64,
    /// Requests.
    pub requests: u32,
    /// Those refused.
    pub refused: u32,
    /// Those failed or never answered.
    pub failed: u32,
    /// Median time of what was served, from when it was due, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that.
    pub p99_ms: f64,
}

/// What a node was doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Doing {
    /// Serving.
    Serving,
    /// Told to go.
    Leaving,
    /// Standing still.
    Paused,
    /// Getting a part of its time.
    Slow,
    /// Gone.
    Down,
}

/// A time over which a node did one thing.
#[derive(Clone, Debug, Serialize)]
pub struct Span {
    /// The node's number.
    pub node: usize,
    /// What it did.
    pub doing: Doing,
    /// From when, in seconds since faults count their time.
    pub from_s: f64,
    /// Until when.
    pub to_s: f64,
}

/// What a run came to.
#[derive(Clone, Debug, Serialize)]
pub struct Result {
    /// The experiment.
    pub experiment: String,
    /// The arm.
    pub arm: String,
    /// The seed.
    pub seed: u64,
    /// The build.
    pub version: &'static str,
    /// How it was carried out.
    pub driver: &'static str,
    /// Why it counts for nothing, if so.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub void: Option<String>,
    /// It was ended early: figures are of what was measured up to then.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub interrupted: bool,
    /// Requests asked.
    pub requests: usize,
    /// The same in every arm: of all that was drawn ahead.
    pub draws: String,
    /// By name; see [`FIGURES`].
    pub figures: BTreeMap<&'static str, f64>,
    /// Of this arm.
    pub checks: Vec<Checked>,
    /// The first ones.
    pub rules_broken: Vec<Broken>,
    /// By second.
    pub series: Vec<Second>,
    /// What nodes did that were not serving.
    pub spans: Vec<Span>,
}

/// A check and what came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Checked {
    /// Its name.
    pub name: String,
    /// The figure's name.
    pub figure: String,
    /// What it came to.
    pub value: f64,
    /// What it should be.
    pub bound: String,
    /// Whether it is.
    pub holds: bool,
}

impl Record {
    /// Of so many requests.
    pub fn new(requests: usize) -> Self {
        Self { ends: vec![Default::default(); requests], ..Self::default() }
    }

    /// Notes a broken rule.
    pub fn breaks(&mut self, now: Micros, rule: &'static str, what: impl FnOnce() -> String) {
        self.broken_count += 1;
        if self.broken.len() < TOLD {
            self.broken.push(Broken { rule, at_s: now as f64 / SECOND as f64, what: what() });
        }
    }

    /// A cold server was sent more than it could bear, this part of it by nodes that knew of its start.
    pub fn cold_fall(&mut self, now: Micros, server: &ServerId, told: f64) {
        self.cold_falls += 1;
        if told >= TOLD_PART {
            self.breaks(now, "cold-server", || format!("{server} was pushed over while cold"));
        }
    }

    /// A request runs, for the so many-th time.
    pub fn runs(&mut self, now: Micros, ticket: usize, class: &Class, times: u32) {
        if class.effect == Effect::Unsafe && times > 1 {
            let name = class.name.as_str();
            self.breaks(now, "resend", || format!("request {ticket} ({name}) ran twice"));
        }
    }

    /// A node sends a request to a server. `off`: where it knows that the server drains or is gone. `first`: when the
    /// first of the request's attempts that may have run, or are still out, was sent.
    pub fn sends(&mut self, deed: Deed, server: &ServerId, off: Option<Off>, first: Option<Micros>) {
        let Deed { now, node, ticket, class } = deed;
        if let Some(off) = off.filter(|off| now > off.told + off.grace) {
            let after = (now - off.told) / 1_000;
            self.breaks(now, "drain", || {
                format!("request {ticket} went to {server} {after} ms after n{node} was told that it drains or is gone")
            });
        }
        if !may_repeat(class.effect, first, now) {
            let name = class.name.as_str();
            self.breaks(now, "resend", || {
                format!("request {ticket} ({name}) was sent again by n{node} though it may have run")
            });
        }
    }

    /// A node refuses a request.
    pub fn refuses(&mut self, deed: Deed, may_have_run: bool) {
        let Deed { now, node, ticket, class } = deed;
        if !may_refuse(class.effect, may_have_run) {
            let name = class.name.as_str();
            self.breaks(now, "refusal", || {
                format!("request {ticket} ({name}) was refused by n{node} though it may have run")
            });
        }
    }

    /// A node does something else from now on; all of them serve at first.
    pub fn does(&mut self, node: usize, doing: Doing, now: Micros) {
        let (was, since) = self.doing.insert(node, (doing, now)).unwrap_or((Doing::Serving, 0));
        if was != Doing::Serving {
            self.done.push((node, was, since, now));
        }
    }

    fn spans(&self, lead: Micros, end: Micros) -> Vec<Span> {
        let going_on = self.doing.iter().filter(|(_, (doing, _))| *doing != Doing::Serving);
        let going_on = going_on.map(|(&node, &(doing, since))| (node, doing, since, end));
        let seconds = |at: Micros| (at as f64 - lead as f64) / SECOND as f64;
        let all = self.done.iter().copied().chain(going_on);
        all.map(|(node, doing, from, to)| Span { node, doing, from_s: seconds(from), to_s: seconds(to) })
            .collect()
    }

    /// A client's request has come to this end; what is served stays served.
    pub fn end(&mut self, ask: usize, end: End, at: Micros) {
        let known = &mut self.ends[ask];
        if known.0 != End::Served {
            *known = (end, Some(at));
        }
    }

    /// Puts the figures together: what is asked from `lead` on counts.
    fn figures(
        &self,
        asks: &[Ask],
        kinds: &[Kind],
        lead: Micros,
    ) -> (BTreeMap<&'static str, f64>, Vec<Second>) {
        let mut series = Vec::new();
        let mut classes = vec![(0.0, 0.0, 0usize); kinds.len()];
        let (mut refused, mut failed, mut counted) = (0u64, 0u64, 0u64);
        // To a minute, with three digits.
        let histogram = || Histogram::<u64>::new_with_bounds(1, 60 * SECOND, 3).ok();
        let (mut times, mut of_second) = (histogram(), histogram());
        for (ask, &(end, at)) in asks.iter().zip(&self.ends).filter(|(ask, _)| ask.at >= lead) {
            let kind = &kinds[ask.kind];
            let worth = kind.class.worth * ask.work_us / SECOND as f64;
            let took = at.map(|at| at.saturating_sub(ask.at));
            let in_time =
                end == End::Served && took.is_some_and(|took| took <= micros(kind.class.latency_target));
            let served = if in_time { worth } else { 0.0 };
            let place = ((ask.at - lead) / SECOND) as usize;
            if series.len() <= place {
                end_second(series.last_mut(), &mut of_second);
                series.resize(place + 1, Second::default());
            }
            let second = &mut series[place];
            second.asked += worth;
            second.served += served;
            second.requests += 1;
            second.refused += u32::from(end == End::Refused);
            second.failed += u32::from(matches!(end, End::Failed | End::Unreached | End::None));
            let class = &mut classes[ask.kind];
            *class = (class.0 + worth, class.1 + served, class.2 + 1);
            counted += 1;
            refused += u64::from(end == End::Refused);
            failed += u64::from(matches!(end, End::Failed | End::Unreached | End::None));
            if let (End::Served, Some(took), Some(times), Some(of_second)) =
                (end, took, &mut times, &mut of_second)
            {
                times.saturating_record(took.max(1));
                of_second.saturating_record(took.max(1));
            }
        }
        end_second(series.last_mut(), &mut of_second);
        let sum = |seconds: &[Second]| {
            let asked: f64 = seconds.iter().map(|second| second.asked).sum();
            ratio(seconds.iter().map(|second| second.served).sum(), asked)
        };
        let worst_window = series.windows(10.min(series.len().max(1))).map(sum).fold(1.0, f64::min);
        let many = classes.iter().filter(|class| class.2 as u64 * 100 >= counted);
        let worst_class = many.map(|class| ratio(class.1, class.0)).fold(1.0, f64::min);
        let per = |count: u64| ratio(count as f64, asks.len() as f64);
        let quantile = |q| times.as_ref().map_or(0.0, |times| times.value_at_quantile(q) as f64 / 1_000.0);
        let figures = [
            ("served", sum(&series)),
            ("worst_window", worst_window),
            ("worst_class", worst_class),
            ("refused", ratio(refused as f64, counted as f64)),
            ("failed", ratio(failed as f64, counted as f64)),
            ("tries", per(self.tries)),
            ("attempts", per(self.attempts)),
            ("misses", ratio(self.reads.1 as f64, self.reads.0 as f64)),
            ("crossings", per(self.crossings)),
            ("connections", per(self.connections)),
            ("wasted", ratio(self.work_us.1, self.work_us.0)),
            ("origin_falls", self.origin_falls as f64),
            ("cold_falls", self.cold_falls as f64),
            ("p50_ms", quantile(0.5)),
            ("p99_ms", quantile(0.99)),
            ("probes", per(self.probes)),
            ("rules", self.broken_count as f64),
        ];
        (figures.into(), series)
    }

    /// What the run came to, in the arm of this name, with further figures that a driver has.
    pub fn result<const N: usize>(
        &self,
        plan: &Plan,
        arm: &str,
        further: [(&'static str, f64); N],
    ) -> Result {
        let (mut figures, series) = self.figures(&plan.asks, &plan.kinds, plan.lead());
        figures.extend(further);
        let driver = if N == 0 { Driver::Virtual } else { Driver::Real };
        Result {
            experiment: plan.experiment.name.clone(),
            arm: arm.to_owned(),
            seed: plan.seed,
            version: env!("CARGO_PKG_VERSION"),
            driver: driver.name(),
            void: None,
            interrupted: false,
            requests: plan.asks.len(),
            draws: plan.draws(),
            checks: check(&plan.experiment, arm, driver, &figures),
            figures,
            rules_broken: self.broken.clone(),
            series,
            spans: self.spans(plan.lead(), plan.length()),
        }
    }
}

/// Requests come in their order: a second is over when one of the next has come.
fn end_second(second: Option<&mut Second>, times: &mut Option<Histogram<u64>>) {
    if let (Some(second), Some(times)) = (second, times) {
        let ms = |q| times.value_at_quantile(q) as f64 / 1_000.0;
        (second.p50_ms, second.p99_ms) = (ms(0.5), ms(0.99));
        times.reset();
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        0.0
    }
}

/// Holds the figures of an arm against an experiment's checks, but for those that need another arm's: see [`relative`].
pub fn check(
    experiment: &Experiment,
    arm: &str,
    driver: Driver,
    figures: &BTreeMap<&'static str, f64>,
) -> Vec<Checked> {
    let of_arm = |check: &&Check| {
        check.relative_to.is_none()
            && check.arm.as_ref().is_none_or(|name| name == arm)
            && check.driver.is_none_or(|named| named == driver)
    };
    let checked = experiment.check.iter().filter(of_arm).map(|check| {
        let value = figures.get(check.figure.as_str()).copied().unwrap_or(f64::NAN);
        Checked {
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
    checked.collect()
}

/// The bounds that a check has, with the words for them.
fn bounds(check: &Check) -> impl Iterator<Item = (&'static str, f64)> {
    let bounds = [("at least", check.at_least), ("at most", check.at_most)];
    bounds.into_iter().filter_map(|(word, bound)| bound.map(|bound| (word, bound)))
}

/// Whether a value lies within a check's bounds. What is no number lies within none.
fn within(check: &Check, value: f64) -> bool {
    check.at_least.is_none_or(|least| value >= least) && check.at_most.is_none_or(|most| value <= most)
}
