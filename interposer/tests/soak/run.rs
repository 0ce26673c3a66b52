//! One run of the soak: a node with its servers, discovery agents and clients, and the events of the schedule.

use crate::clients::{self, value_of, Context, Phases};
use crate::node_common::agent::Agent;
use crate::node_common::memory::{minimum_memory, peak_memory_kib};
use crate::node_common::{
    command, http_response, push_config, with_deadlines, CacheServer, Message, Node, Reaction,
};
use crate::record::{Arrival, Record};
use crate::schedule::{Behaviour, DiscoveryEvent, DrainMoment, Schedule};
use fastrand::Rng;
use serde_json::{json, Value};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The time from SIGTERM to the kill, in addition to the longest deadline.
const BEFORE_KILL: Duration = Duration::from_millis(700);
/// A list missed by a watch whose response stopped part-way counts as delivered after this time, received or not.
const DELIVERED_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// A change at a new address counts as delivered this long after SIGHUP.
const DELIVERED_AFTER_SIGHUP: Duration = Duration::from_secs(4);
/// A larger scheduling delay voids a run that breaks a rule.
const MAX_DELAY: Duration = Duration::from_millis(60);
const CLIENTS: usize = 8;

/// The result of a run.
pub struct Outcome {
    pub record: Record,
    /// The drained servers, and when each drain counts as delivered to the node.
    pub drains: Vec<(usize, Instant)>,
    pub ready_after: Duration,
    pub killed: Instant,
    /// Whether the node exited with success before the kill.
    pub exited_with_success: bool,
    /// Whether the node was running when SIGTERM was sent.
    pub running_at_sigterm: bool,
    /// How long peers with an incomplete request waited for an error or a close.
    pub incomplete_waits: Vec<Duration>,
    /// The peak resident memory of the node until SIGTERM, if it was running then.
    pub peak_memory_kib: Option<u64>,
    /// The largest scheduling delay of the machine.
    pub delay: Duration,
    pub log: String,
}

impl Outcome {
    pub fn has_large_delay(&self) -> bool {
        self.delay > MAX_DELAY
    }

    /// A one-line summary for the test output.
    pub fn summary(&self) -> String {
        let requests = self.record.requests().len();
        let peak_kib = self.peak_memory_kib.unwrap_or(0);
        format!(
            "{requests} requests, ready after {:?}, peak {peak_kib} KiB, scheduling delay {:?}",
            self.ready_after, self.delay
        )
    }
}

fn server(number: usize, behaviour: Behaviour, record: &Record, seed: u64) -> CacheServer {
    let record = record.clone();
    let draws = Mutex::new(Rng::with_seed(seed ^ number as u64));
    CacheServer::start(move |message| {
        let (draw, length) = {
            let mut draws = draws.lock().unwrap();
            (draws.f64(), draws.u64(0..60))
        };
        let declined = behaviour == Behaviour::Errs && draw < 0.3;
        let at = Instant::now();
        let deadline =
            message.header("req-deadline-ms").and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        if let Some(id) = message.header("req-id").and_then(|id| u64::from_str_radix(id, 16).ok()) {
            record.arrived(id, Arrival { server: number, at, deadline, declined });
        }
        react(behaviour, message, draw, length)
    })
}

fn react(behaviour: Behaviour, message: &Message, draw: f64, length: u64) -> Reaction {
    let path = message.start_line.split(' ').nth(1).unwrap_or_default();
    let served = || http_response("200 OK", "", &value_of(path));
    match behaviour {
        Behaviour::Hangs if draw < 0.3 => Reaction::NoResponse,
        Behaviour::Errs if draw < 0.3 => {
            Reaction::Respond(http_response("503 Service Unavailable", "Srv-Declined: 1\r\n", ""))
        }
        Behaviour::Errs if draw < 0.5 => {
            Reaction::Respond(http_response("500 Internal Server Error", "", ""))
        }
        Behaviour::Closes => Reaction::RespondAndClose(served()),
        Behaviour::Slow => {
            sleep(Duration::from_millis(length));
            Reaction::Respond(served())
        }
        Behaviour::Serves | Behaviour::Hangs | Behaviour::Errs => Reaction::Respond(served()),
    }
}

/// The command of a node with the faults of this schedule.
fn faulty_node(schedule: &Schedule) -> Command {
    let library = std::env::current_exe().unwrap().with_file_name("libwalkpick_interposer.so");
    assert!(library.exists(), "{} is not built", library.display());
    let mut command = command();
    command.env("LD_PRELOAD", library).env("INTERPOSER_RULES", &schedule.rules);
    command.env("INTERPOSER_SEED", schedule.seed.to_string());
    command
}

fn node_config(schedule: &Schedule, agent: &Agent, hosts: &[Value]) -> Value {
    let mut config = with_deadlines(push_config(agent.address), schedule.deadline.as_micros() as u64);
    for lane in config["settings"]["lanes"].as_array_mut().unwrap() {
        lane["promise_us"] = (schedule.deadline.as_micros() as u64 / 2).into();
    }
    config["settings"]["limits"]["connect_timeout_us"] = 200_000.into();
    let mut config = minimum_memory(config, schedule.descriptors);
    config["known"] = json!({"seq": 1, "whole": true, "hosts": hosts});
    config
}

/// The discovery list with these servers draining.
fn host_list(servers: &[CacheServer], draining: &[usize]) -> Vec<Value> {
    let state = |i| if draining.contains(&i) { "draining" } else { "ready" };
    servers.iter().enumerate().map(|(i, server)| server.entry(&format!("s-{i}"), state(i))).collect()
}

/// Measures the scheduling delay during the run: the largest overshoot of a short sleep.
fn sample_delay(over: Arc<AtomicBool>) -> thread::JoinHandle<Duration> {
    const STEP: Duration = Duration::from_millis(5);
    thread::spawn(move || {
        let mut max = Duration::ZERO;
        while !over.load(Ordering::SeqCst) {
            let start = Instant::now();
            sleep(STEP);
            max = max.max(start.elapsed().saturating_sub(STEP));
        }
        max
    })
}

/// Stalls the node with SIGSTOP again and again, until the run ends.
fn stall_repeatedly(
    pid: u32,
    over: Arc<AtomicBool>,
    (length, pause): (Duration, Duration),
) -> thread::JoinHandle<()> {
    let signal = move |signal: &str| {
        let _ = Command::new("kill")
            .args([signal, &pid.to_string()])
            .stderr(std::process::Stdio::null())
            .status();
    };
    thread::spawn(move || {
        while !over.load(Ordering::SeqCst) {
            sleep(pause);
            if over.load(Ordering::SeqCst) {
                return;
            }
            let start = Instant::now();
            signal("-STOP");
            sleep(length.saturating_sub(start.elapsed()));
            signal("-CONT");
        }
    })
}

/// Runs a schedule.
pub fn run(schedule: &Schedule) -> Outcome {
    let record = Record::default();
    let behaviours = schedule.behaviours.iter().enumerate();
    let servers: Vec<_> =
        behaviours.map(|(i, behaviour)| server(i, *behaviour, &record, schedule.seed)).collect();
    let over = Arc::new(AtomicBool::new(false));
    let delay_sampler = sample_delay(over.clone());
    let mut agent = Agent::start(&host_list(&servers, &[]), None);
    let start = Instant::now();
    let mut config = node_config(schedule, &agent, &host_list(&servers, &[]));
    let mut node = Node::start_with(faulty_node(schedule), &config);
    while node.health() != Some(200) && start.elapsed() < Duration::from_secs(30) {
        sleep(Duration::from_millis(10));
    }
    let ready_after = start.elapsed();

    let phases = Arc::new(Phases::default());
    let ids = Arc::new((schedule.seed << 32 | 1).into());
    let context = Context {
        node: node.address,
        record: record.clone(),
        phases: phases.clone(),
        ids,
        deadline: schedule.deadline,
    };
    let idle = clients::open_idle_connections(node.address, schedule.idle_clients);
    let incomplete_waits: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let mut threads: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let (context, rng) = (context.clone(), Rng::with_seed(schedule.seed << 8 | i as u64));
            thread::spawn(move || clients::send_requests(&context, rng, i % 3 == 0))
        })
        .collect();
    let (shared_context, waits) = (context.clone(), incomplete_waits.clone());
    threads.push(thread::spawn(move || clients::send_incomplete_requests(&shared_context, &waits)));
    let (shared_context, stopped_clients) = (context.clone(), schedule.stopped_clients);
    threads.push(thread::spawn(move || clients::stop_within_requests(&shared_context, stopped_clients)));
    let stalls = schedule.stalls.map(|stalls| stall_repeatedly(node.child.id(), over.clone(), stalls));

    let mut drains = Vec::new();
    let mut draining: Vec<usize> = Vec::new();
    for (i, step) in schedule.steps.iter().enumerate() {
        sleep(step.pause);
        draining.push(i + 1);
        let hosts = host_list(&servers, &draining);
        let mut delivered = Instant::now();
        let mut published = false;
        match step.event {
            DiscoveryEvent::NoEvent => {}
            DiscoveryEvent::Outage(outage, length) => {
                agent.start_outage(outage);
                sleep(length);
                if step.drain == DrainMoment::During {
                    // An agent that is down receives nothing: it gets this list at the end of the outage.
                    published = true;
                    agent.publish_after_outage(&hosts);
                }
                agent.end_outage();
                delivered = Instant::now();
            }
            DiscoveryEvent::Move { signals } => {
                agent = Agent::start(&host_list(&servers, &draining[..i]), None);
                config["discovery"] = agent.address.to_string().into();
                for _ in 0..signals {
                    node.reload(&config.to_string());
                }
                delivered = Instant::now() + DELIVERED_AFTER_SIGHUP;
            }
        }
        match step.drain {
            DrainMoment::During => {}
            DrainMoment::WithoutCall(max_wait) => {
                let ended = Instant::now();
                while agent.has_call_in_flight() && ended.elapsed() < max_wait {
                    sleep(Duration::from_micros(200));
                }
            }
            DrainMoment::After(length) => sleep(length),
        }
        if !published {
            delivered = delivered.max(agent.publish(&hosts));
        }
        if let Some(silent) = agent.last_partial_response() {
            delivered = delivered.max(silent + DELIVERED_AFTER_SILENCE);
        }
        drains.push((i + 1, delivered));
    }
    sleep(Duration::from_secs(2));

    let running_at_sigterm = node.child.try_wait().unwrap().is_none();
    let peak_memory_kib = running_at_sigterm.then(|| peak_memory_kib(&node));
    if schedule.reload_at_shutdown {
        node.reload(&config.to_string());
    }
    let terminated = Instant::now();
    *phases.terminated_at.lock().unwrap() = Some(terminated);
    node.terminate();
    if schedule.reload_at_shutdown {
        node.reload(&config.to_string());
        node.terminate();
    }
    let kill = terminated + BEFORE_KILL + schedule.deadline.min(Duration::from_secs(3));
    let mut status = None;
    while status.is_none() && Instant::now() < kill {
        status = node.child.try_wait().unwrap();
        sleep(Duration::from_millis(1));
    }
    over.store(true, Ordering::SeqCst);
    let killed = Instant::now();
    let _ = node.child.kill();
    *phases.over.lock().unwrap() = true;
    for thread in threads {
        thread.join().expect("the client ends");
    }
    drop(idle);
    if let Some(stalls) = stalls {
        stalls.join().expect("the stalls end");
    }
    let log = node.log.lock().unwrap().clone();
    let incomplete_waits = incomplete_waits.lock().unwrap().clone();
    Outcome {
        record,
        drains,
        ready_after,
        killed,
        exited_with_success: status.is_some_and(|status| status.success()),
        running_at_sigterm,
        incomplete_waits,
        peak_memory_kib,
        delay: delay_sampler.join().unwrap(),
        log,
    }
}
