//! What a decision costs, in time and memory, in one process: against servers, zones, tenants, classes and popular
//! keys. Times stand beside those of a fixed loop in the same run, so that machines and loads can be compared.

use super::memory_child;
use super::series::{Collect, Method, Series};
use super::{MeasureError, Programs};
use crate::draw::{self, Stream};
use std::hint::black_box;
use std::time::{Duration, Instant};
use walkpick::{
    Action, Balancer, Class, ClassId, Effect, Event, LoadReport, Outcome, Request, RequestId, ServerEntry,
    ServerId, ServerList, Settings, Status, Tenant, TenantId, Timestamp,
};

/// Servers of the plan, where another size is varied.
const PLAN_SERVERS: usize = 110;
/// Zones of the plan.
const PLAN_ZONES: usize = 19;
/// Nodes of the plan: the settings carry the number.
const PLAN_NODES: u32 = 530;
/// Objects that requests ask for beside the popular ones.
const KEYS: u64 = 10_000;
/// Between two requests of a node, in microseconds: 755 a second, the plan's mean.
const BETWEEN_US: u64 = 1_325;
/// Requests of a stretch of a play.
const STRETCH: u64 = 100;
/// The loop that times are held against: this many steps of xor, shift and multiplication, each on the last one's result.
const LOOP_STEPS: u64 = 1_000_000;
/// A step of the loop in the ratio: a request is told as thousands of them.
const LOOP_UNIT: f64 = 1_000.0;
/// A server that starts with a play is cold to its end.
const COLD_THROUGHOUT: Duration = Duration::from_secs(3_600);
const START: Timestamp = Timestamp::from_micros(1_000_000_000);

/// How much a measurement does.
#[derive(Clone, Debug)]
pub struct Effort {
    /// Requests of a play, in hundreds: the median is taken over hundreds.
    pub requests: u64,
    /// Requests that each balancer of the memory child meets: more than the keys that it remembers.
    pub held_requests: u64,
    /// Balancers that the memory child holds at once.
    pub held: usize,
    /// Plays of each size, each with a seed of its own.
    pub seeds: u64,
}

impl Default for Effort {
    fn default() -> Self {
        Self { requests: 20_000, held_requests: 6_000, held: 20, seeds: 3 }
    }
}

/// What one balancer meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Cache servers.
    pub servers: usize,
    /// Zones that they are in.
    pub zones: usize,
    /// Tenants in the settings, whose requests come in turn; none at zero.
    pub tenants: usize,
    /// Classes, whose requests come in turn.
    pub classes: usize,
    /// Keys that half of the requests ask for; none at zero.
    pub popular_keys: usize,
    /// Whether one server has only just started: token buckets are filled while any is cold.
    pub one_cold: bool,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            servers: PLAN_SERVERS,
            zones: PLAN_ZONES,
            tenants: 0,
            classes: 4,
            popular_keys: 0,
            one_cold: false,
        }
    }
}

impl Shape {
    /// A balancer that knows its servers and has met no request.
    pub fn balancer(&self, seed: u64) -> Balancer {
        let class = |i: usize| Class {
            name: format!("class-{i}").as_str().into(),
            effect: Effect::Safe,
            latency_target: Duration::from_millis(500),
            ..Class::default()
        };
        let tenant = |i: usize| Tenant { name: format!("tenant-{i}").as_str().into(), quota_per_s: 1_000.0 };
        let settings = Settings {
            zone: Some("zone-0".into()),
            nodes: PLAN_NODES,
            classes: (0..self.classes).map(class).collect(),
            tenants: (0..self.tenants).map(tenant).collect(),
            warm_within: COLD_THROUGHOUT,
            ..Settings::default()
        };
        let mut balancer = Balancer::new(settings, seed);
        let entry = |i: usize| ServerEntry {
            zone: Some(format!("zone-{}", i % self.zones.max(1)).as_str().into()),
            started: (self.one_cold && i == 0).then_some(START),
            ..ServerEntry::new(&format!("s-{i:04}"))
        };
        let entries = (0..self.servers).map(entry).collect();
        balancer.handle(START, Event::Servers(ServerList::Full(entries)), &mut Vec::new());
        balancer
    }

    fn request(&self, number: u64, seed: u64, now: Timestamp) -> Request {
        let popular = self.popular_keys > 0 && draw::unit(seed, Stream::Requests, number << 1) < 0.5;
        let place = draw::unit(seed, Stream::Requests, number << 1 | 1);
        let key = match popular {
            true => (place * self.popular_keys as f64) as u64 | 1 << 40,
            false => (place * KEYS as f64) as u64,
        };
        let turn = number as usize;
        Request {
            class: Some(ClassId(turn % self.classes.max(1))),
            tenant: (self.tenants > 0).then(|| TenantId(turn % self.tenants.max(1))),
            key: Some(key),
            ..Request::new(&format!("r{number}"), now + Duration::from_secs(1))
        }
    }
}

/// How the attempts of a play end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fleet {
    /// Each is answered.
    Answers,
    /// None is: most requests are refused after a while.
    Silent,
}

/// Seconds a request, with all that follows from it: the median over stretches of the play, which other work on the
/// same cores moves little.
pub fn play(balancer: &mut Balancer, shape: &Shape, fleet: Fleet, requests: u64, seed: u64) -> f64 {
    let (status, answered_after) = match fleet {
        Fleet::Answers => (Status::Ok, Duration::from_millis(4)),
        Fleet::Silent => (Status::TimedOut, Duration::from_secs(1)),
    };
    let (mut actions, mut took) = (Vec::new(), Duration::ZERO);
    let mut stretches = Vec::new();
    for number in 0..requests {
        let now = START + Duration::from_micros((number + 1) * BETWEEN_US);
        let request = shape.request(number, seed, now);
        let start = Instant::now();
        balancer.handle(now, Event::Request(request), &mut actions);
        let mut attempt = 0;
        while let Some((id, server)) = sent(&mut actions) {
            let outcome = Outcome {
                id,
                attempt,
                server,
                status,
                cache_status: None,
                took: answered_after,
                finished: status == Status::Ok,
                load: LoadReport::default(),
            };
            attempt += 1;
            balancer.handle(now, Event::Outcome(outcome), &mut actions);
        }
        took += start.elapsed();
        if (number + 1) % STRETCH == 0 {
            stretches.push(std::mem::take(&mut took));
        }
    }
    median(stretches).as_secs_f64() / STRETCH as f64
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or_default()
}

/// Where the request goes next, if it does.
fn sent(actions: &mut Vec<Action>) -> Option<(RequestId, ServerId)> {
    actions.drain(..).find_map(|action| match action {
        Action::Send { id, server, .. } => Some((id, server)),
        _ => None,
    })
}

/// Seconds that a thousand steps of the fixed loop take now.
pub fn loop_unit() -> f64 {
    let start = Instant::now();
    let mut state = black_box(0x9e37_79b9_7f4a_7c15_u64);
    for _ in 0..LOOP_STEPS {
        state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    black_box(state);
    start.elapsed().as_secs_f64() / LOOP_STEPS as f64 * LOOP_UNIT
}

/// One size that is varied.
struct Axis {
    name: &'static str,
    /// What the sizes count.
    against: &'static str,
    sizes: &'static [usize],
    shape: fn(usize) -> Shape,
}

const AXES: [Axis; 6] = [
    Axis {
        name: "servers",
        against: "servers",
        sizes: &[10, 32, 100, 320, 1_024],
        shape: |servers| Shape { servers, ..Shape::default() },
    },
    Axis {
        name: "servers_one_cold",
        against: "servers",
        sizes: &[10, 32, 100, 320, 1_024],
        shape: |servers| Shape { servers, one_cold: true, ..Shape::default() },
    },
    Axis {
        name: "zones",
        against: "zones",
        sizes: &[1, 5, 10, 20, 40],
        shape: |zones| Shape { zones, ..Shape::default() },
    },
    Axis {
        name: "tenants",
        against: "tenants",
        sizes: &[1, 10, 100, 1_000],
        shape: |tenants| Shape { tenants, ..Shape::default() },
    },
    Axis {
        name: "classes",
        against: "classes",
        sizes: &[1, 4, 16, 64],
        shape: |classes| Shape { classes, ..Shape::default() },
    },
    Axis {
        name: "popular_keys",
        against: "popular keys",
        sizes: &[1, 8, 64, 512, 4_096],
        shape: |popular_keys| Shape { popular_keys, ..Shape::default() },
    },
];

/// All series of decisions.
pub fn measure(effort: &Effort, programs: &Programs) -> Result<Vec<Series>, MeasureError> {
    let mut all = Vec::new();
    for axis in &AXES {
        all.extend(time(axis, effort));
    }
    all.extend(refusals(effort));
    all.push(memory(effort, programs)?);
    Ok(all)
}

/// Microseconds a request, and the same as a ratio to the loop.
fn time(axis: &Axis, effort: &Effort) -> [Series; 2] {
    let names = ["microseconds", "ratio_to_loop"];
    play_sizes(axis, Fleet::Answers, names.map(|name| format!("decision.{name}.{}", axis.name)), effort)
}

/// The same while no server answers, so that most are refused.
fn refusals(effort: &Effort) -> [Series; 2] {
    let axis = &AXES[0];
    let names = ["refusal_microseconds", "refusal_ratio_to_loop"];
    play_sizes(axis, Fleet::Silent, names.map(|name| format!("decision.{name}.{}", axis.name)), effort)
}

/// One play for each size and seed; `names`: of the series of microseconds and of ratios.
fn play_sizes(axis: &Axis, fleet: Fleet, names: [String; 2], effort: &Effort) -> [Series; 2] {
    let mut micros = Series::new(&names[0], "us", axis.against, Method::InProcess);
    let mut ratio = Series::new(&names[1], "thousand steps of the loop", axis.against, Method::InProcess);
    for seed in 1..=effort.seeds {
        for &size in axis.sizes {
            let shape = (axis.shape)(size);
            let unit = loop_unit();
            let took = play(&mut shape.balancer(seed), &shape, fleet, effort.requests, seed);
            micros.push(size as f64, took * 1e6, seed);
            ratio.push(size as f64, took / unit, seed);
        }
    }
    [micros, ratio]
}

/// Bytes that a balancer holds after as many requests as fill its table of keys.
fn memory(effort: &Effort, programs: &Programs) -> Result<Series, MeasureError> {
    let axis = &AXES[0];
    let mut series = Series::new("decision.memory.servers", "B", axis.against, Method::InProcess);
    for seed in 1..=effort.seeds {
        for &size in axis.sizes {
            let requests = effort.held_requests;
            let asked = memory_child::Asked { servers: size, held: effort.held, requests, seed };
            series.push(size as f64, memory_child::ask(programs, &asked)?, seed);
        }
    }
    Ok(series)
}
