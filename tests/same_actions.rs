//! The module's two texts side by side, on the same generated event streams: every action must be the same.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use walkpick::*;

/// Worlds played and events in each: 1.2 million in all.
const WORLDS: u64 = 60;
const EVENTS: u64 = 20_000;

/// What is still to happen, in the order of time, then of making.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Arrival,
    Timer,
    List,
    End { id: String, attempt: u32, server: String },
    Leave(String),
}

struct Open {
    sent: Vec<bool>,
    over: bool,
    patience: u64,
}

struct World {
    random: fastrand::Rng,
    old: balance::Balancer,
    new: policy::Balancer,
    now: u64,
    count: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Next)>>,
    open: BTreeMap<String, Open>,
    servers: Vec<ServerEntry>,
    /// Share of attempts that fail, and microseconds that one takes, by server.
    health: BTreeMap<String, (f64, u64)>,
    classes: usize,
    gap: u64,
    actions: u64,
}

fn settings(random: &mut fastrand::Rng) -> Settings {
    let effects = [
        Effect::Safe,
        Effect::Unsafe,
        Effect::Keyed { scope: Scope::All, window: Duration::from_millis(800) },
        Effect::Keyed { scope: Scope::Zone, window: Duration::from_millis(300) },
    ];
    let classes = effects.iter().enumerate().map(|(i, &effect)| Class {
        name: format!("c{i}").as_str().into(),
        effect,
        aim: Duration::from_millis(50 + 100 * i as u64),
        deadline: Duration::from_millis(400 + 400 * i as u64),
        worth: 1.0 + i as f64,
        late_worth: 0.0,
    });
    Settings {
        nodes: [1, 2, 3, 30, 100, 101, 300][random.usize(..7)],
        classes: classes.collect(),
        mode: match random.u32(..4) {
            0 => CacheMode::Aside { origin_kind: "origin".into() },
            _ => CacheMode::Through,
        },
        sized: random.bool(),
        must_follow: random.bool(),
        max_attempts: random.u32(1..6),
        second_copies: random.bool(),
        max_retry_after: Duration::from_millis(random.u64(..3000)),
        keepalive: Duration::from_secs(random.u64(1..30)),
        fall_multiple: random.f64() * 4.0 + 1.0,
        ..Settings::default()
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let settings = settings(&mut random);
        let (old, new) =
            (balance::Balancer::new(settings.clone(), seed), policy::Balancer::new(settings.clone(), seed));
        let zones = ["a", "b", "c"];
        let most = [4, 12, 60, 150][random.usize(..4)];
        let servers = (0..most).map(|i| {
            let mut entry = ServerEntry::new(&format!("s-{i:03}"));
            entry.zone = Some(zones[random.usize(..3)].into());
            entry.kind = Some(if i == 0 { "origin".into() } else { "std".into() });
            entry
        });
        let servers: Vec<_> = servers.collect();
        let gap = random.u64(200..30_000);
        let mut world = Self {
            random,
            old,
            new,
            now: 5_000_000,
            count: 0,
            queue: BinaryHeap::new(),
            open: BTreeMap::new(),
            servers,
            health: BTreeMap::new(),
            classes: settings.classes.len() + 1,
            gap,
            actions: 0,
        };
        world.change_health();
        let list = world.servers.clone();
        world.feed(Event::Restored(list.into()));
        world.after(0, Next::Arrival);
        world.after(1, Next::List);
        world
    }

    fn after(&mut self, time: u64, next: Next) {
        self.count += 1;
        self.queue.push(Reverse((self.now + time, self.count, next)));
    }

    /// Some servers, or a whole zone, fare badly for a while.
    fn change_health(&mut self) {
        let zone = &self.servers[self.random.usize(..self.servers.len())].zone.clone();
        let (lost, slow) = (self.random.f64() < 0.3, self.random.f64() < 0.3);
        for entry in &self.servers {
            let bad = self.random.f64() < 0.15 || lost && entry.zone == *zone;
            let fails = if bad { self.random.f64() } else { 0.01 };
            let takes = if bad || slow { self.random.u64(10_000..900_000) } else { 15_000 };
            self.health.insert(entry.id.to_string(), (fails, takes));
        }
    }

    fn feed(&mut self, event: Event) {
        let now = Timestamp::from_micros(self.now);
        let (mut before, mut after) = (Vec::new(), Vec::new());
        self.old.handle(now, event.clone(), &mut before);
        self.new.handle(now, event, &mut after);
        assert_eq!(before, after, "at {} us", self.now);
        self.actions += after.len() as u64;
        for action in after {
            match action {
                Action::Send { id, server, timeout } => {
                    self.send(id.to_string(), server.to_string(), timeout)
                }
                Action::Refuse { id, .. } | Action::Fail { id } => self.over(id.as_str()),
                Action::Wake { after } => self.after(after.as_micros() as u64, Next::Timer),
                Action::Follow if self.random.bool() => {
                    let list = self.servers.clone();
                    self.feed(Event::Servers(ServerList::Full(list.into())));
                }
                Action::Follow => self.feed(Event::Servers(ServerList::Unavailable)),
                _ => {}
            }
        }
    }

    fn send(&mut self, id: String, server: String, timeout: Duration) {
        let (_, takes) = self.health[&server];
        let takes = (takes as f64 * -self.random.f64().max(1e-9).ln()) as u64 + 300;
        let open = self.open.get_mut(&id).expect("a send for an unknown request");
        open.sent.push(true);
        let attempt = open.sent.len() as u32 - 1;
        self.after(takes.min(timeout.as_micros() as u64), Next::End { id, attempt, server });
    }

    fn over(&mut self, id: &str) {
        let open = self.open.get_mut(id).expect("known");
        open.over = true;
        if !open.sent.contains(&true) {
            self.open.remove(id);
        }
    }

    fn step(&mut self) {
        let Some(Reverse((at, _, next))) = self.queue.pop() else { panic!("arrivals go on") };
        self.now = at;
        match next {
            Next::Arrival => self.arrival(),
            Next::Timer => self.feed(Event::Timer),
            Next::List => self.list(),
            Next::End { id, attempt, server } => self.end(&id, attempt, &server),
            Next::Leave(id) => {
                if self.open.get(&id).is_some_and(|open| !open.over) {
                    self.feed(Event::Abandoned(id.as_str().into()));
                    self.over(&id);
                }
            }
        }
    }

    fn arrival(&mut self) {
        self.count += 1;
        let id = format!("r{}", self.count);
        let patience = self.random.u64(20_000..2_000_000);
        self.open.insert(id.clone(), Open { sent: Vec::new(), over: false, patience });
        let class = self.random.usize(..self.classes);
        // One key in four requests is among a few popular ones.
        let key = if self.random.u8(..4) == 0 { self.random.u64(..3) } else { self.random.u64(..20_000) };
        let mut request = Request::new(&id, Timestamp::from_micros(self.now + patience));
        request.class = (class + 1 < self.classes).then_some(ClassId(class));
        request.key = Some(key);
        request.write = class == 1;
        request.expected_work =
            self.random.bool().then(|| Duration::from_micros(self.random.u64(1_000..300_000)));
        self.after(patience, Next::Leave(id));
        // Now and then a burst, or silence.
        let pace = [0.2, 1.0, 1.0, 3.0][(self.now / 3_000_000 % 4) as usize];
        let gap = (self.gap as f64 * pace * -self.random.f64().max(1e-9).ln()) as u64;
        self.after(gap, Next::Arrival);
        self.feed(Event::Request(request));
    }

    fn list(&mut self) {
        let pause = self.random.u64(50_000..2_000_000);
        self.after(pause, Next::List);
        if self.random.u8(..4) == 0 {
            self.change_health();
        }
        let mut changed = Vec::new();
        for entry in &mut self.servers {
            if self.random.f64() < 0.2 {
                entry.weight = 0.2 + self.random.f64();
                entry.availability = match self.random.u8(..20) {
                    0 => Availability::Draining,
                    1 => Availability::Gone,
                    _ => Availability::Ready,
                };
                if self.random.u8(..20) == 0 {
                    entry.started = Some(Timestamp::from_micros(self.now - self.random.u64(..3_000_000)));
                }
                changed.push(entry.clone());
            }
        }
        let list = match self.random.u8(..3) {
            0 => ServerList::Full(self.servers.clone().into()),
            _ => ServerList::Changes(changed.into()),
        };
        self.feed(Event::Servers(list));
    }

    fn end(&mut self, id: &str, attempt: u32, server: &str) {
        let (fails, _) = self.health[server];
        let Some(open) = self.open.get_mut(id) else { return };
        open.sent[attempt as usize] = false;
        let status = match self.random.f64() < fails {
            false if open.over => Status::TimedOut,
            false => [Status::Ok, Status::Ok, Status::Ok, Status::Ok, Status::Miss][self.random.usize(..5)],
            true => [
                Status::Failed,
                Status::Failed,
                Status::QueueFull,
                Status::TimedOut,
                Status::ConnectError,
                Status::Reset,
                Status::Canceled,
                Status::Ignored,
            ][self.random.usize(..8)],
        };
        let note = [None, Some(Note::Hit), Some(Note::Hit), Some(Note::Miss), Some(Note::MissFetching)];
        let note = note[self.random.usize(..5)];
        let load = LoadReport {
            service_time: None,
            busy: self.random.bool().then(|| self.random.f64()),
            waiting: self.random.bool().then(|| self.random.u8(..4).into()),
        };
        open.over |= status == Status::Ok;
        let (finished, took) = (open.over, Duration::from_micros(self.random.u64(300..open.patience)));
        let (id, server) = (RequestId::from(id), ServerId::from(server));
        self.feed(Event::Outcome(Outcome {
            id: id.clone(),
            attempt,
            server,
            status,
            note,
            took,
            finished,
            load,
        }));
        if self.open.get(id.as_str()).is_some_and(|open| open.over && !open.sent.contains(&true)) {
            self.open.remove(id.as_str());
        }
    }
}

#[test]
fn both_texts_of_the_module_act_alike() {
    let (mut events, mut actions, mut kinds) = (0, 0, 0);
    for seed in 0..WORLDS {
        let mut world = World::new(seed);
        for _ in 0..EVENTS {
            world.step();
        }
        events += EVENTS;
        actions += world.actions;
        kinds += u64::from(world.actions > EVENTS / 10);
    }
    println!("{events} events, {actions} actions, no difference");
    assert_eq!(kinds, WORLDS, "every world brings actions to compare");
}
