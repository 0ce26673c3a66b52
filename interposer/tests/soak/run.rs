//! One play: a node, its servers, its agents, its clients, and the schedule's events in their order.

use crate::clients::{self, value_of, Phases, Setting};
use crate::node_common::agent::Agent;
use crate::node_common::{answer, command, pushed, with_deadlines, CacheServer, Does, Message, Node};
use crate::record::{Arrival, Record};
use crate::schedule::{DiscoveryEvent, DrainMoment, Habit, Schedule};
use fastrand::Rng;
use serde_json::{json, Value};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The kill comes this long after SIGTERM, on top of the longest deadline.
const BEFORE_KILL: Duration = Duration::from_millis(700);
/// What a watch that fell silent misses counts as told then, whether or not it arrived.
const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// After SIGHUP a change counts as told then.
const TOLD_AFTER_SIGHUP: Duration = Duration::from_secs(4);
/// A machine later than this voids a play that breaks a rule.
const MACHINE_LATE: Duration = Duration::from_millis(60);
const CLIENTS: usize = 8;

/// What a play came to.
pub struct Played {
    pub record: Record,
    /// From when each server counts as told to drain.
    pub told: Vec<(usize, Instant)>,
    pub ready_after: Duration,
    pub killed: Instant,
    /// It ended by itself before the kill, and with success.
    pub ended_well: bool,
    /// It was running when it was told to stop.
    pub ran: bool,
    pub stalled: Vec<Duration>,
    pub lateness: Duration,
    pub log: String,
}

impl Played {
    pub fn machine_late(&self) -> bool {
        self.lateness > MACHINE_LATE
    }

    /// A line for whoever looks on.
    pub fn summary(&self) -> String {
        let requests = self.record.requests().len();
        format!(
            "{requests} requests, ready after {:?}, machine late by {:?}",
            self.ready_after, self.lateness
        )
    }
}

fn server(number: usize, habit: Habit, record: &Record, seed: u64) -> CacheServer {
    let record = record.clone();
    let draws = Mutex::new(Rng::with_seed(seed ^ number as u64));
    CacheServer::start(move |message| {
        let (draw, length) = {
            let mut draws = draws.lock().unwrap();
            (draws.f64(), draws.u64(0..60))
        };
        let declined = habit == Habit::Errs && draw < 0.3;
        let at = Instant::now();
        let deadline =
            message.header("req-deadline-ms").and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        if let Some(id) = message.header("req-id").and_then(|id| u64::from_str_radix(id, 16).ok()) {
            record.arrived(id, Arrival { server: number, at, deadline, declined });
        }
        does(habit, message, draw, length)
    })
}

fn does(habit: Habit, message: &Message, draw: f64, length: u64) -> Does {
    let path = message.start.split(' ').nth(1).unwrap_or_default();
    let served = || answer("200 OK", "", &value_of(path));
    match habit {
        Habit::Hangs if draw < 0.3 => Does::Nothing,
        Habit::Errs if draw < 0.3 => {
            Does::Answer(answer("503 Service Unavailable", "Srv-Declined: 1\r\n", ""))
        }
        Habit::Errs if draw < 0.5 => Does::Answer(answer("500 Internal Server Error", "", "")),
        Habit::Closes => Does::Close(served()),
        Habit::Slow => {
            sleep(Duration::from_millis(length));
            Does::Answer(served())
        }
        Habit::Serves | Habit::Hangs | Habit::Errs => Does::Answer(served()),
    }
}

/// A node with the faults of this schedule.
fn faulty(schedule: &Schedule) -> Command {
    let library = std::env::current_exe().unwrap().with_file_name("libwalkpick_interposer.so");
    assert!(library.exists(), "{} is not built", library.display());
    let mut command = command();
    command.env("LD_PRELOAD", library).env("INTERPOSER_RULES", &schedule.rules);
    command.env("INTERPOSER_SEED", schedule.seed.to_string());
    command
}

fn settings(schedule: &Schedule, agent: &Agent, hosts: &[Value]) -> Value {
    let mut config = with_deadlines(pushed(agent.address), schedule.deadline.as_micros() as u64);
    for lane in config["settings"]["lanes"].as_array_mut().unwrap() {
        lane["promise_us"] = (schedule.deadline.as_micros() as u64 / 2).into();
    }
    config["settings"]["limits"]["connect_timeout_us"] = 200_000.into();
    config["limits"]["sockets"] = schedule.descriptors.into();
    config["known"] = json!({"seq": 1, "whole": true, "hosts": hosts});
    config
}

/// The list with these servers draining.
fn listed(servers: &[CacheServer], draining: &[usize]) -> Vec<Value> {
    let state = |i| if draining.contains(&i) { "draining" } else { "ready" };
    servers.iter().enumerate().map(|(i, server)| server.entry(&format!("s-{i}"), state(i))).collect()
}

/// The largest overshoot of a short sleep, for as long as the play runs.
fn sample_lateness(over: Arc<AtomicBool>) -> thread::JoinHandle<Duration> {
    const STEP: Duration = Duration::from_millis(5);
    thread::spawn(move || {
        let mut most = Duration::ZERO;
        while !over.load(Ordering::SeqCst) {
            let start = Instant::now();
            sleep(STEP);
            most = most.max(start.elapsed().saturating_sub(STEP));
        }
        most
    })
}

/// Holds the node up again and again, until the node is gone.
fn hold_up(pid: u32, over: Arc<AtomicBool>, (length, every): (Duration, Duration)) -> thread::JoinHandle<()> {
    let signal = move |which: &str| {
        let _ =
            Command::new("kill").args([which, &pid.to_string()]).stderr(std::process::Stdio::null()).status();
    };
    thread::spawn(move || {
        while !over.load(Ordering::SeqCst) {
            sleep(every);
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

/// Plays a schedule.
pub fn play(schedule: &Schedule) -> Played {
    let record = Record::default();
    let habits = schedule.habits.iter().enumerate();
    let servers: Vec<_> = habits.map(|(i, habit)| server(i, *habit, &record, schedule.seed)).collect();
    let over = Arc::new(AtomicBool::new(false));
    let lateness = sample_lateness(over.clone());
    let mut agent = Agent::start(&listed(&servers, &[]), None);
    let start = Instant::now();
    let mut config = settings(schedule, &agent, &listed(&servers, &[]));
    let mut node = Node::start_by(faulty(schedule), &config);
    while node.health() != Some(200) && start.elapsed() < Duration::from_secs(30) {
        sleep(Duration::from_millis(10));
    }
    let ready_after = start.elapsed();

    let phases = Arc::new(Phases::default());
    let ids = Arc::new((schedule.seed << 32 | 1).into());
    let setting = Setting {
        node: node.address,
        record: record.clone(),
        phases: phases.clone(),
        ids,
        deadline: schedule.deadline,
    };
    let idle = clients::crowd(node.address, schedule.crowd);
    let stalled: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let mut threads: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let (setting, rng) = (setting.clone(), Rng::with_seed(schedule.seed << 8 | i as u64));
            thread::spawn(move || clients::ask_on(&setting, rng, i % 3 == 0))
        })
        .collect();
    let (stalls, waited) = (setting.clone(), stalled.clone());
    threads.push(thread::spawn(move || clients::stall(&stalls, &waited)));
    let held = schedule.hold_up.map(|hold| hold_up(node.child.id(), over.clone(), hold));

    let mut told = Vec::new();
    // The last server is never drained.
    let mut draining: Vec<usize> = Vec::new();
    for (i, step) in schedule.steps.iter().enumerate() {
        sleep(step.calm);
        draining.push(i + 1);
        let hosts = listed(&servers, &draining);
        let mut counts_from = Instant::now();
        let mut published = false;
        match step.event {
            DiscoveryEvent::Quiet => {}
            DiscoveryEvent::Outage(outage, length) => {
                agent.goes_down(outage);
                sleep(length);
                if step.drain == DrainMoment::During {
                    // An agent that is down learns nothing: it has this at its return.
                    published = true;
                    agent.publish_at_return(&hosts);
                }
                agent.comes_back();
                counts_from = Instant::now();
            }
            DiscoveryEvent::Move { signals } => {
                agent = Agent::start(&listed(&servers, &draining[..i]), None);
                config["discovery"] = agent.address.to_string().into();
                for _ in 0..signals {
                    node.reload(&config.to_string());
                }
                counts_from = Instant::now() + TOLD_AFTER_SIGHUP;
            }
        }
        match step.drain {
            DrainMoment::During => {}
            DrainMoment::Unwatched(most) => {
                let back = Instant::now();
                while agent.is_watched() && back.elapsed() < most {
                    sleep(Duration::from_micros(200));
                }
            }
            DrainMoment::After(length) => sleep(length),
        }
        if !published {
            counts_from = counts_from.max(agent.publish(&hosts));
        }
        if let Some(silent) = agent.half_answered() {
            counts_from = counts_from.max(silent + TOLD_AFTER_SILENCE);
        }
        told.push((i + 1, counts_from));
    }
    sleep(Duration::from_secs(2));

    let ran = node.child.try_wait().unwrap().is_none();
    if schedule.reload_at_stop {
        node.reload(&config.to_string());
    }
    let stopped = Instant::now();
    *phases.told_to_stop.lock().unwrap() = Some(stopped);
    node.terminate();
    if schedule.reload_at_stop {
        node.reload(&config.to_string());
        node.terminate();
    }
    let kill = stopped + BEFORE_KILL + schedule.deadline.min(Duration::from_secs(3));
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
        thread.join().expect("a client that ends");
    }
    drop(idle);
    if let Some(held) = held {
        held.join().expect("a hold-up that ends");
    }
    let log = node.log.lock().unwrap().clone();
    let stalled = stalled.lock().unwrap().clone();
    Played {
        record,
        told,
        ready_after,
        killed,
        ended_well: status.is_some_and(|status| status.success()),
        ran,
        stalled,
        lateness: lateness.join().unwrap(),
        log,
    }
}
