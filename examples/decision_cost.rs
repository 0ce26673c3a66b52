//! What a decision costs, and what a node holds, by the number of servers: ratios within one run.
//!
//! `cargo run --release --example decision_cost`

use std::time::{Duration, Instant};
use walkpick::{
    Action, Balancer, Class, ClassId, Event, LoadReport, Outcome, Request, RequestId, ServerEntry, ServerId,
    ServerList, Settings, Status, Timestamp,
};

const REQUESTS: u64 = 50_000;
const KEYS: u64 = 10_000;
/// Balancers that are held at once to tell what one takes.
const HELD: usize = 50;

fn main() {
    println!("servers  us a request  ratio   KiB a node  ratio   us a refusal");
    let mut first = None;
    for servers in [10, 100, 1_024] {
        let before = resident();
        let mut held: Vec<_> = (0..HELD as u64).map(|seed| balancer(servers, seed)).collect();
        let memory = resident().saturating_sub(before) as f64 / HELD as f64;
        let mut balancer = held.pop().expect("one of them");
        let served = play(&mut balancer, Status::Ok, Duration::from_millis(100));
        // A fleet that answers nobody in time: most of what comes is refused.
        let refused = play(&mut balancer, Status::TimedOut, Duration::from_secs(1));
        let (time, space) = *first.get_or_insert((served, memory.max(1.0)));
        println!(
            "{servers:>7}  {:>12.2}  {:>5.1}   {memory:>10.0}  {:>5.1}   {:>12.2}",
            served * 1e6,
            served / time,
            memory / space,
            refused * 1e6
        );
    }
}

fn balancer(servers: usize, seed: u64) -> Balancer {
    let class = Class { aim: Duration::from_millis(500), ..Class::default() };
    let class = Class { effect: walkpick::Effect::Safe, deadline: Duration::from_secs(1), ..class };
    let settings = Settings { nodes: 300, classes: vec![class], ..Settings::default() };
    let mut balancer = Balancer::new(settings, seed);
    let entries = (0..servers).map(|i| ServerEntry::new(&format!("s-{i:04}"))).collect();
    balancer.handle(START, Event::Servers(ServerList::Full(entries)), &mut Vec::new());
    balancer
}

const START: Timestamp = Timestamp::from_micros(1_000_000_000);

/// Seconds that a request took with all that follows from it, each attempt ending so.
fn play(balancer: &mut Balancer, status: Status, answered_after: Duration) -> f64 {
    let (mut actions, mut took) = (Vec::new(), Duration::ZERO);
    let begin = START + Duration::from_secs(if status == Status::Ok { 1 } else { 100 });
    for n in 0..REQUESTS {
        let now = begin + Duration::from_micros(n * 500);
        let key = n.wrapping_mul(0x9e37_79b9_7f4a_7c15) % KEYS;
        let name = format!("{status:?}-{n}");
        let request = Request {
            class: Some(ClassId(0)),
            key: Some(key),
            ..Request::new(&name, now + Duration::from_secs(1))
        };
        let start = Instant::now();
        balancer.handle(now, Event::Request(request), &mut actions);
        let mut attempt = 0;
        while let Some((id, server)) = sent(&mut actions) {
            let outcome = Outcome {
                id,
                attempt,
                server,
                status,
                note: None,
                took: answered_after,
                finished: status == Status::Ok,
                load: LoadReport::default(),
            };
            attempt += 1;
            balancer.handle(now, Event::Outcome(outcome), &mut actions);
        }
        took += start.elapsed();
    }
    took.as_secs_f64() / REQUESTS as f64
}

/// Where the request goes next, if it does.
fn sent(actions: &mut Vec<Action>) -> Option<(RequestId, ServerId)> {
    actions.drain(..).find_map(|action| match action {
        Action::Send { id, server, .. } => Some((id, server)),
        _ => None,
    })
}

/// Memory of this process, in KiB; 0 where the system does not tell it.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}
