//! The servers as discovery lists them: their capacity, warmth and pace, and their breakers' verdicts.

use super::breaker::{Breaker, State, COMMON_RATE, COOLDOWN, MIN_CALLS};
use super::hash::{hash_text, mix, unit};
use super::zones::Zone;
use super::Balancer;
use crate::api::{Action, Availability, CacheMode, Name, ServerEntry, ServerId, Timestamp};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Answers over which the pace of a kind of server is averaged, and how many at par it starts with.
const PACE_SPAN: f64 = 200.0;
const PACE_PRIOR: f64 = 10.0;
/// Time over which weights that change with load are averaged, the most of it that a single list stands for,
/// and what a weight counts at least, as a part of the largest.
const WEIGHT_SPAN: Duration = Duration::from_secs(4);
const WEIGHT_STEP: Duration = Duration::from_secs(1);
const WEIGHT_LEAST: f64 = 0.01;

/// What the node's own clock says of a server's start.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartSeen {
    /// When a list first told of it.
    first: Timestamp,
    /// How long before that it may have been unseen: since the list before.
    unseen: Duration,
}

/// Starts of servers that have left the list, of which so many are remembered: one that comes back with the
/// start that it had is no new one.
pub(super) const DEPARTED_KNOWN: usize = 4096;

#[derive(Debug)]
pub(super) struct Server {
    pub(super) entry: ServerEntry,
    pub(super) start: StartSeen,
    /// What its weight is cut by, the requests that it holds: the inverse of the weight, over `WEIGHT_SPAN`.
    pub(super) load: f64,
    pub(super) kind: usize,
    pub(super) zone: usize,
    pub(super) hash: u64,
    pub(super) breaker: Breaker,
    /// Slow start: its token bucket while it is cold, the work that it may get from here, in usual requests.
    pub(super) tokens: f64,
    /// The most that one request may be of them.
    pub(super) heaviest: f64,
    pub(super) in_flight: u32,
    pub(super) limit: f64,
    /// When an answer last changed it.
    pub(super) limited: Timestamp,
    /// Its last report told of room: what takes long there is the work itself.
    pub(super) calm: bool,
    /// When it was last sent to, and how long after the send before.
    pub(super) sent: Timestamp,
    pub(super) gap: Duration,
}

impl Server {
    /// How long ago it started; `None` for long ago. Discovery tells starts by the wall clock, which may be
    /// stepped on any machine. The node's own clock runs evenly and bounds what is believed: a server that is
    /// on the list for a minute is a minute old, and a start that the list before did not have is no older
    /// than that list.
    fn age(&self, now: Timestamp) -> Option<Duration> {
        let told = now.since(self.entry.started?);
        let seen = now.since(self.start.first);
        Some(told.clamp(seen, seen.saturating_add(self.start.unseen)))
    }
}

/// What answers of a kind of server take against their forecast work: a logarithm, so that no few decide.
#[derive(Debug)]
pub(super) struct Kind {
    pub(super) name: Option<Name>,
    pub(super) pace: f64,
    pub(super) answers: f64,
}

impl Kind {
    /// Takes in an answer that took so many times what was forecast.
    pub(super) fn note(&mut self, ratio: f64) {
        self.answers = (self.answers + 1.0).min(PACE_SPAN);
        self.pace += (ratio.max(1e-3).ln() - self.pace) / self.answers;
    }
}

/// The start of each server that has left the list, as it was told and as it was seen.
pub(super) type Departed = HashMap<ServerId, (Option<Timestamp>, StartSeen)>;

fn remember(departed: &mut Departed, server: Server) {
    if departed.len() >= DEPARTED_KNOWN {
        departed.clear();
    }
    departed.insert(server.entry.id, (server.entry.started, server.start));
}

impl Balancer {
    /// Takes in a list of discovery's.
    pub(super) fn hear(&mut self, now: Timestamp, entries: &[ServerEntry], full: bool) {
        self.learn(now, entries, full);
        self.heard = Some(now);
    }

    pub(super) fn learn(&mut self, now: Timestamp, entries: &[ServerEntry], full: bool) {
        let newest = match self.settings.nominal_weights {
            true => 1.0,
            false => {
                1.0 - (-now.since(self.listed).min(WEIGHT_STEP).as_secs_f64() / WEIGHT_SPAN.as_secs_f64())
                    .exp()
            }
        };
        self.listed = now;
        let unseen = self.heard.map_or(Duration::MAX, |heard| now.since(heard));
        let seen_now = StartSeen { first: now, unseen };
        if full {
            // Looked up only, never walked: its order differs from run to run.
            let listed: HashSet<&ServerId> = entries.iter().map(|entry| &entry.id).collect();
            let left = self.servers.extract_if(.., |server| !listed.contains(&server.entry.id));
            left.for_each(|server| remember(&mut self.departed, server));
        }
        for entry in entries {
            let place = self.servers.binary_search_by(|server| server.entry.id.cmp(&entry.id));
            match place {
                Ok(i) if entry.availability == Availability::Removed => {
                    remember(&mut self.departed, self.servers.remove(i));
                }
                Ok(i) => {
                    if entry.started != self.servers[i].entry.started {
                        self.servers[i].breaker.enter(State::Closed, now);
                        self.servers[i].tokens = unit(mix(self.seed ^ self.servers[i].hash));
                        let zone = &mut self.zones[self.servers[i].zone];
                        (zone.shut, zone.calls) = (false, 0);
                        self.servers[i].start = seen_now;
                    }
                    self.servers[i].entry = entry.clone();
                }
                Err(_) if entry.availability == Availability::Removed => {}
                Err(i) => {
                    let hash = mix(hash_text(entry.id.as_str()));
                    let kind = self.kinds.iter().position(|kind| kind.name == entry.kind);
                    let kind = kind.unwrap_or_else(|| {
                        self.kinds.push(Kind { name: entry.kind.clone(), pace: 0.0, answers: PACE_PRIOR });
                        self.kinds.len() - 1
                    });
                    // The origin fares otherwise than the cache servers beside it.
                    let name = entry.zone.clone().filter(|_| !self.is_origin(entry));
                    let zone = self.zones.iter().position(|zone| zone.name == name);
                    let zone = zone.unwrap_or_else(|| {
                        let heard = now;
                        self.zones.push(Zone {
                            name,
                            calls: 0,
                            failing: 0.0,
                            heard,
                            shut: false,
                            tried: heard,
                        });
                        self.zones.len() - 1
                    });
                    let (entry, breaker, gap) = (entry.clone(), Breaker::new(now), Duration::MAX);
                    let (in_flight, limit, calm, sent) = (0, self.limit_start, false, now);
                    // Not a whole send: many nodes would use it at once.
                    let (tokens, heaviest) = (unit(mix(self.seed ^ hash)), 1.0);
                    let limited = now;
                    let load = 0.0;
                    let before = self.departed.remove(&entry.id);
                    let start = before.filter(|(started, _)| *started == entry.started);
                    let start = start.map_or(seen_now, |(_, start)| start);
                    let fresh = Server {
                        entry,
                        start,
                        load,
                        kind,
                        zone,
                        hash,
                        breaker,
                        tokens,
                        heaviest,
                        in_flight,
                        limit,
                        limited,
                        calm,
                        sent,
                        gap,
                    };
                    self.servers.insert(i, fresh);
                }
            }
        }
        // A live weight shows the few requests held at one moment. All nodes are told the same: taken as it
        // comes, each list moves keys to and fro at all of them in step, and each move is a miss.
        let largest = self.servers.iter().map(|server| server.entry.weight).fold(f64::MIN_POSITIVE, f64::max);
        for server in &mut self.servers {
            let told = 1.0 / server.entry.weight.max(largest * WEIGHT_LEAST);
            server.load += (told - server.load) * if server.load > 0.0 { newest } else { 1.0 };
        }
    }

    pub(super) fn is_origin(&self, entry: &ServerEntry) -> bool {
        let CacheMode::Aside { origin_kind } = &self.settings.mode else { return false };
        entry.kind.as_ref() == Some(origin_kind)
    }

    pub(super) fn warmth(&self, server: &Server, now: Timestamp) -> f64 {
        let warm = self.settings.warm_within.as_secs_f64().max(1e-6);
        let age = server.age(now).map_or(warm, |age| age.as_secs_f64());
        let cold = self.settings.cold_share;
        (cold + (1.0 - cold) * age / warm).min(1.0)
    }

    pub(super) fn capacity(&self, server: &Server, now: Timestamp) -> f64 {
        let speed = if self.settings.nominal_weights { 1.0 } else { (-self.kinds[server.kind].pace).exp() };
        (speed / server.load * self.warmth(server, now)).max(1e-9)
    }

    pub(super) fn is_cold(&self, server: &Server, now: Timestamp) -> bool {
        !self.is_origin(&server.entry) && self.warmth(server, now) < 1.0
    }

    pub(super) fn in_use(&self, server: &Server) -> bool {
        server.entry.availability == Availability::Ready && !self.is_origin(&server.entry)
    }

    /// Many servers failing together have a common cause: ejecting them would push their keys onto the rest.
    pub(super) fn is_outlier(&self, i: usize, now: Timestamp) -> bool {
        let others = self.servers.iter().filter(|other| other.hash != self.servers[i].hash);
        let recent = others.map(|other| &other.breaker).filter(|breaker| now < breaker.window_ends);
        let (calls, failed) = recent.fold((0, 0), |(c, f), b| (c + b.calls, f + b.failures));
        calls < MIN_CALLS || f64::from(failed) < COMMON_RATE * f64::from(calls)
    }

    /// Counts an outcome for the server's breaker and opens it where it trips.
    pub(super) fn judge(
        &mut self,
        i: usize,
        epoch: u32,
        ok: Option<bool>,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let z = self.servers[i].zone;
        let apart = self.apart(z, now);
        let others = self.zones[z].rate(now).filter(|rate| apart || *rate < COMMON_RATE);
        let tripped = self.servers[i].breaker.on_outcome(epoch, ok, others, now);
        if tripped && (apart || self.is_outlier(i, now)) {
            self.servers[i].breaker.enter(State::Open { until: now + COOLDOWN }, now);
            actions.push(Action::Log(format!("breaker of {} tripped", self.servers[i].entry.id)));
        }
    }
}
