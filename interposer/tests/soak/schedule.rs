//! The schedule of a seed: the deployment, the faults and their times.

use crate::node_common::agent::Outage;
use fastrand::Rng;
use std::time::Duration;

/// An event at discovery.
#[derive(Clone, Copy, Debug)]
pub enum DiscoveryEvent {
    /// It is down for this time.
    Outage(Outage, Duration),
    /// It moves to a new address, and the node gets this number of SIGHUPs in a row.
    Move { signals: usize },
    /// No event besides the drain.
    NoEvent,
}

/// When a drain is published, relative to the end of the event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainMoment {
    /// While discovery is down: it counts from the end of the outage.
    During,
    /// At the first moment after the event without a call in flight, or after this time.
    WithoutCall(Duration),
    /// This time after the event.
    After(Duration),
}

/// One step of a run: an event and a drain, after a pause.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub pause: Duration,
    pub event: DiscoveryEvent,
    pub drain: DrainMoment,
}

/// How a server treats connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Serves,
    /// Closes its connection after each response.
    Closes,
    /// Leaves some requests without a response.
    Hangs,
    /// Answers some requests with 500, or declines them.
    Errs,
    /// Delays its responses.
    Slow,
}

/// The schedule of one run.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    /// Rules of the interposer.
    pub rules: String,
    pub deadline: Duration,
    pub behaviours: Vec<Behaviour>,
    pub steps: Vec<Step>,
    /// The length of each stall of the node, and the pause before it.
    pub stalls: Option<(Duration, Duration)>,
    /// Idle clients that use up the descriptors.
    pub idle_clients: usize,
    pub descriptors: usize,
    /// Whether SIGHUPs are sent around SIGTERM.
    pub reload_at_shutdown: bool,
    /// Clients that stop within a large body, again and again.
    pub stopped_clients: usize,
}

const RULES: [&str; 16] = [
    "recv=short:0.5",
    "send=short:0.5",
    "recv=short; send=short",
    "recv=EINTR:0.2",
    "send=EINTR:0.2",
    "wait=EINTR:0.3",
    "accept=ECONNABORTED:0.3",
    "accept=ENFILE:0.3@0..4000",
    "accept=ENOBUFS:0.2",
    "connect=ENOBUFS:0.2",
    "connect=EADDRNOTAVAIL:0.2@2000..8000",
    "connect=ENETUNREACH:0.2",
    "socket=ENFILE:0.2@0..6000",
    "bind=EADDRINUSE@0..400",
    "clock=3600000@3000..",
    "clock=-5000@3000..9000; clock=7000@9000..",
];

fn ms(rng: &mut Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.u64(from..=to))
}

fn choose<T: Copy>(rng: &mut Rng, items: &[T]) -> T {
    items[rng.usize(..items.len())]
}

impl Schedule {
    /// Draws the schedule of a seed, the same one every time.
    pub fn draw(seed: u64) -> Self {
        let rng = &mut Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let rules: Vec<_> = (0..rng.usize(0..=3)).map(|_| choose(rng, &RULES)).collect();
        let behaviours = [
            Behaviour::Serves,
            Behaviour::Serves,
            Behaviour::Closes,
            Behaviour::Hangs,
            Behaviour::Errs,
            Behaviour::Slow,
        ];
        let servers = rng.usize(5..=9);
        let idle_clients = if rng.bool() { rng.usize(60..=140) } else { 0 };
        Self {
            seed,
            rules: rules.join("; "),
            deadline: ms(rng, 400, 2_500),
            // The first server always serves and is never drained.
            behaviours: (0..servers)
                .map(|i| if i == 0 { Behaviour::Serves } else { choose(rng, &behaviours) })
                .collect(),
            steps: (0..3).map(|_| Self::step(rng)).collect(),
            stalls: rng.bool().then(|| (ms(rng, 20, 150), ms(rng, 700, 2_500))),
            idle_clients,
            descriptors: if idle_clients > 0 { 160 } else { 1_024 },
            reload_at_shutdown: rng.bool(),
            stopped_clients: if idle_clients == 0 && rng.bool() { rng.usize(100..=200) } else { 0 },
        }
    }

    fn step(rng: &mut Rng) -> Step {
        let outages = [Outage::Silent, Outage::PartialResponse, Outage::Unavailable, Outage::Reset];
        let event = match rng.u8(..5) {
            0 => DiscoveryEvent::NoEvent,
            1 => DiscoveryEvent::Move { signals: rng.usize(1..=3) },
            _ => DiscoveryEvent::Outage(choose(rng, &outages), ms(rng, 200, 7_000)),
        };
        let drain = match rng.u8(..3) {
            0 => DrainMoment::During,
            1 => DrainMoment::WithoutCall(ms(rng, 200, 3_000)),
            _ => DrainMoment::After(ms(rng, 0, 2_500)),
        };
        Step { pause: ms(rng, 200, 2_500), event, drain }
    }

    /// A one-line summary for the test output.
    pub fn summary(&self) -> String {
        let events: Vec<_> =
            self.steps.iter().map(|step| format!("{:?} {:?}", step.event, step.drain)).collect();
        format!(
            "[{}] {} servers, {}, {} idle clients, {} that stop",
            self.rules,
            self.behaviours.len(),
            events.join(", "),
            self.idle_clients,
            self.stopped_clients
        )
    }
}
