//! Time and memory that a decision costs, in process, against the number of servers, zones, tenants, classes and
//! popular keys. Times are also given as a ratio to a fixed loop timed in the same run, so that results from
//! different machines and under different load can be compared.

use super::memory_child;
use super::series::{Method, Series, SeriesExt};
use super::{MeasureError, Programs};
use crate::draw::{self, Stream};
use std::hint::black_box;
use std::time::{Duration, Instant};
use walkpick::{
    Action, Balancer, Class, ClassId, Effect, Event, LoadReport, Outcome, Request, RequestId, ServerEntry,
    ServerId, ServerList, Settings, Status, Tenant, TenantId, Timestamp,
};

/// Servers of the planned fleet, used where another size is varied.
const PLAN_SERVERS: usize = 110;
/// Zones of the planned fleet.
const PLAN_ZONES: usize = 19;
/// Nodes of the planned fleet, passed in the settings.
const PLAN_NODES: u32 = 530;
/// Number of keys that requests draw from, beside the popular ones.
const COMMON_KEYS: u64 = 10_000;
/// Interval between two requests of a node, in microseconds: 755 a second, the mean rate in the planned fleet.
const INTERVAL_US: u64 = 1_325;
/// Requests per timed batch.
const BATCH: u64 = 100;
/// Steps of the reference loop; each is an xor, a shift and a multiplication that depends on the previous step's
/// result.
const LOOP_STEPS: u64 = 1_000_000;
/// Loop steps per unit of the ratio: a request is expressed in thousands of steps.
const LOOP_UNIT_STEPS: f64 = 1_000.0;
/// Slow-start time that exceeds any run: a server that starts with the run stays cold to its end.
const SLOW_START: Duration = Duration::from_secs(3_600);
const START: Timestamp = Timestamp::from_micros(1_000_000_000);

/// Parameters of the measurement.
#[derive(Clone, Debug)]
pub struct Params {
    /// Requests of a run; the time is the median over batches of a hundred.
    pub requests: u64,
    /// Requests handled by each balancer of the memory child: more than the number of keys that a balancer remembers.
    pub memory_requests: u64,
    /// Balancers that the memory child holds at once.
    pub balancers: usize,
    /// Runs of each size, each with its own seed.
    pub seeds: u64,
}

impl Default for Params {
    fn default() -> Self {
        Self { requests: 20_000, memory_requests: 6_000, balancers: 20, seeds: 3 }
    }
}

/// The environment and load of one balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// Cache servers.
    pub servers: usize,
    /// Zones that the servers are spread over.
    pub zones: usize,
    /// Tenants in the settings; requests cycle through them. Zero sends requests without a tenant.
    pub tenants: usize,
    /// Classes in the settings; requests cycle through them.
    pub classes: usize,
    /// Popular keys, which half of the requests ask for. Zero draws all keys from the common set.
    pub popular_keys: usize,
    /// Whether one server has just started: token buckets are in use while any server is cold.
    pub one_cold: bool,
}

impl Default for Scenario {
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

impl Scenario {
    /// Creates a balancer that has received its server list and no request yet.
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
            warm_within: SLOW_START,
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
        let position = draw::unit(seed, Stream::Requests, number << 1 | 1);
        let key = match popular {
            true => (position * self.popular_keys as f64) as u64 | 1 << 40,
            false => (position * COMMON_KEYS as f64) as u64,
        };
        let index = number as usize;
        Request {
            class: Some(ClassId(index % self.classes.max(1))),
            tenant: (self.tenants > 0).then(|| TenantId(index % self.tenants.max(1))),
            key: Some(key),
            ..Request::new(&format!("r{number}"), now + Duration::from_secs(1))
        }
    }
}

/// How the attempts of a run end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    /// Every attempt is answered.
    Responsive,
    /// No attempt is answered: after a while most requests are refused.
    Unresponsive,
}

/// Runs the workload and returns the processing time of a request in seconds, including its attempts: the median over
/// batches, which other work on the same cores affects little.
pub fn run_requests(
    balancer: &mut Balancer,
    scenario: &Scenario,
    behavior: ServerBehavior,
    requests: u64,
    seed: u64,
) -> f64 {
    let (status, answered_after) = match behavior {
        ServerBehavior::Responsive => (Status::Ok, Duration::from_millis(4)),
        ServerBehavior::Unresponsive => (Status::TimedOut, Duration::from_secs(1)),
    };
    let (mut actions, mut took) = (Vec::new(), Duration::ZERO);
    let mut batches = Vec::new();
    for number in 0..requests {
        let now = START + Duration::from_micros((number + 1) * INTERVAL_US);
        let request = scenario.request(number, seed, now);
        let start = Instant::now();
        balancer.handle(now, Event::Request(request), &mut actions);
        let mut attempt = 0;
        while let Some((id, server)) = next_attempt(&mut actions) {
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
        if (number + 1) % BATCH == 0 {
            batches.push(std::mem::take(&mut took));
        }
    }
    median(batches).as_secs_f64() / BATCH as f64
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or_default()
}

/// Takes the request's next attempt from the actions, if there is one.
fn next_attempt(actions: &mut Vec<Action>) -> Option<(RequestId, ServerId)> {
    actions.drain(..).find_map(|action| match action {
        Action::Send { id, server, .. } => Some((id, server)),
        _ => None,
    })
}

/// Current time of a thousand steps of the reference loop, in seconds.
pub fn loop_unit() -> f64 {
    let start = Instant::now();
    let mut state = black_box(0x9e37_79b9_7f4a_7c15_u64);
    for _ in 0..LOOP_STEPS {
        state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    black_box(state);
    start.elapsed().as_secs_f64() / LOOP_STEPS as f64 * LOOP_UNIT_STEPS
}

/// A size that is varied.
struct Axis {
    name: &'static str,
    /// What the size counts.
    against: &'static str,
    sizes: &'static [usize],
    scenario: fn(usize) -> Scenario,
}

const AXES: [Axis; 6] = [
    Axis {
        name: "servers",
        against: "servers",
        sizes: &[10, 32, 100, 320, 1_024],
        scenario: |servers| Scenario { servers, ..Scenario::default() },
    },
    Axis {
        name: "servers_one_cold",
        against: "servers",
        sizes: &[10, 32, 100, 320, 1_024],
        scenario: |servers| Scenario { servers, one_cold: true, ..Scenario::default() },
    },
    Axis {
        name: "zones",
        against: "zones",
        sizes: &[1, 5, 10, 20, 40],
        scenario: |zones| Scenario { zones, ..Scenario::default() },
    },
    Axis {
        name: "tenants",
        against: "tenants",
        sizes: &[1, 10, 100, 1_000],
        scenario: |tenants| Scenario { tenants, ..Scenario::default() },
    },
    Axis {
        name: "classes",
        against: "classes",
        sizes: &[1, 4, 16, 64],
        scenario: |classes| Scenario { classes, ..Scenario::default() },
    },
    Axis {
        name: "popular_keys",
        against: "popular keys",
        sizes: &[1, 8, 64, 512, 4_096],
        scenario: |popular_keys| Scenario { popular_keys, ..Scenario::default() },
    },
];

/// Measures all series of decisions.
pub fn measure(params: &Params, programs: &Programs) -> Result<Vec<Series>, MeasureError> {
    let mut all = Vec::new();
    for axis in &AXES {
        all.extend(measure_time(axis, params));
    }
    all.extend(measure_refusals(params));
    all.push(measure_memory(params, programs)?);
    Ok(all)
}

/// Time per request, in microseconds and as a ratio to the reference loop.
fn measure_time(axis: &Axis, params: &Params) -> [Series; 2] {
    let names = ["microseconds", "ratio_to_loop"];
    run_sizes(
        axis,
        ServerBehavior::Responsive,
        names.map(|name| format!("decision.{name}.{}", axis.name)),
        params,
    )
}

/// The same while no server answers, so that most requests are refused.
fn measure_refusals(params: &Params) -> [Series; 2] {
    let axis = &AXES[0];
    let names = ["refusal_microseconds", "refusal_ratio_to_loop"];
    run_sizes(
        axis,
        ServerBehavior::Unresponsive,
        names.map(|name| format!("decision.{name}.{}", axis.name)),
        params,
    )
}

/// Runs each size with each seed. `names` are those of the series in microseconds and of the ratio.
fn run_sizes(axis: &Axis, behavior: ServerBehavior, names: [String; 2], params: &Params) -> [Series; 2] {
    let mut micros = Series::new(&names[0], "us", axis.against, Method::InProcess);
    let mut ratio = Series::new(&names[1], "thousand steps of the loop", axis.against, Method::InProcess);
    for seed in 1..=params.seeds {
        for &size in axis.sizes {
            let scenario = (axis.scenario)(size);
            let unit = loop_unit();
            let took = run_requests(&mut scenario.balancer(seed), &scenario, behavior, params.requests, seed);
            micros.push(size as f64, took * 1e6, seed);
            ratio.push(size as f64, took / unit, seed);
        }
    }
    [micros, ratio]
}

/// Memory of a balancer after enough requests to fill its table of keys.
fn measure_memory(params: &Params, programs: &Programs) -> Result<Series, MeasureError> {
    let axis = &AXES[0];
    let mut series = Series::new("decision.memory.servers", "B", axis.against, Method::InProcess);
    for seed in 1..=params.seeds {
        for &size in axis.sizes {
            let requests = params.memory_requests;
            let child_params =
                memory_child::Params { servers: size, balancers: params.balancers, requests, seed };
            series.push(size as f64, memory_child::run(programs, &child_params)?, seed);
        }
    }
    Ok(series)
}
