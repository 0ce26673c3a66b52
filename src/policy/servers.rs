//! The servers as listed by discovery, when they started, and the outcomes for their breakers.

use super::breaker::{Breaker, State, COMMON_RATE, COOLDOWN, MIN_CALLS};
use super::capacity::ServerKind;
use super::hash::{hash_str, mix, unit_interval};
use super::zones::Zone;
use super::Balancer;
use crate::api::{Action, Availability, CacheMode, ServerEntry, ServerId, Timestamp};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// When a server started, by this node's own clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedStart {
    /// When a list first contained this start.
    first_seen: Timestamp,
    /// How much earlier it may have been: the time since the previous list.
    uncertainty: Duration,
}

/// Number of servers for which the start is kept after they left the list: a server that returns with the
/// same start has not restarted.
pub(super) const MAX_REMOVED_SERVERS: usize = 4096;

#[derive(Debug)]
pub(super) struct Server {
    pub(super) entry: ServerEntry,
    pub(super) start: ObservedStart,
    /// Inverse of its weight, averaged over some seconds if it varies with load. It is then proportional to
    /// the requests in the server, which reduce the weight.
    pub(super) inverse_weight: f64,
    pub(super) kind: usize,
    pub(super) zone: usize,
    pub(super) hash: u64,
    pub(super) breaker: Breaker,
    /// Token bucket for slow start: the work that this node may send while the server is cold, in requests of
    /// mean work.
    pub(super) tokens: f64,
    /// Maximum number of tokens for a single request.
    pub(super) max_request_tokens: f64,
    pub(super) in_flight: u32,
    pub(super) limit: f64,
    pub(super) limit_changed_at: Timestamp,
    /// Its last report showed spare capacity, so a slow answer is due to the request's own work.
    pub(super) has_spare_capacity: bool,
    /// When a request was last sent to it, and how long after the one before.
    pub(super) last_sent_at: Timestamp,
    pub(super) send_interval: Duration,
}

impl Server {
    /// Time since its start; `None` if that was long ago. Discovery gives starts by the wall clock, which may
    /// be stepped on any machine, so the node's own monotonic clock bounds them: a server that has been
    /// listed for a minute is at least a minute old, and a start that the previous list lacked is no older
    /// than that list.
    pub(super) fn age(&self, now: Timestamp) -> Option<Duration> {
        let reported = now.since(self.entry.started?);
        let listed_for = now.since(self.start.first_seen);
        Some(reported.clamp(listed_for, listed_for.saturating_add(self.start.uncertainty)))
    }
}

/// The start of each server that has left the list, as reported by discovery and as observed by this node.
pub(super) type RemovedServers = HashMap<ServerId, (Option<Timestamp>, ObservedStart)>;

fn remember_start(removed: &mut RemovedServers, server: Server) {
    if removed.len() >= MAX_REMOVED_SERVERS {
        removed.clear();
    }
    removed.insert(server.entry.id, (server.entry.started, server.start));
}

impl Balancer {
    /// Applies a list that came from discovery.
    pub(super) fn apply_discovery_list(&mut self, now: Timestamp, entries: &[ServerEntry], full: bool) {
        self.apply_list(now, entries, full);
        self.discovery_list_at = Some(now);
    }

    pub(super) fn apply_list(&mut self, now: Timestamp, entries: &[ServerEntry], full: bool) {
        let uncertainty = self.discovery_list_at.map_or(Duration::MAX, |at| now.since(at));
        let observed_now = ObservedStart { first_seen: now, uncertainty };
        if full {
            self.remove_unlisted(entries);
        }
        for entry in entries {
            let position = self.servers.binary_search_by(|server| server.entry.id.cmp(&entry.id));
            match (position, entry.availability) {
                (Ok(i), Availability::Removed) => {
                    remember_start(&mut self.removed_servers, self.servers.remove(i));
                }
                (Ok(i), _) => self.update_server(i, entry, observed_now, now),
                (Err(_), Availability::Removed) => {}
                (Err(i), _) => {
                    let server = self.new_server(entry, observed_now, now);
                    self.servers.insert(i, server);
                }
            }
        }
        self.average_weights(now);
        self.list_applied_at = now;
    }

    /// Removes the servers that a full list lacks.
    fn remove_unlisted(&mut self, entries: &[ServerEntry]) {
        // Never iterated, since the order of a hash set differs between runs.
        let listed: HashSet<&ServerId> = entries.iter().map(|entry| &entry.id).collect();
        let removed = self.servers.extract_if(.., |server| !listed.contains(&server.entry.id));
        removed.for_each(|server| remember_start(&mut self.removed_servers, server));
    }

    fn update_server(&mut self, i: usize, entry: &ServerEntry, observed_now: ObservedStart, now: Timestamp) {
        let server = &mut self.servers[i];
        if entry.started != server.entry.started {
            server.breaker.enter(State::Closed, now);
            server.tokens = unit_interval(mix(self.seed ^ server.hash));
            server.start = observed_now;
            let zone = &mut self.zones[server.zone];
            (zone.down, zone.calls) = (false, 0);
        }
        server.entry = entry.clone();
    }

    /// The state of a server that was not listed before.
    fn new_server(&mut self, entry: &ServerEntry, observed_now: ObservedStart, now: Timestamp) -> Server {
        let hash = mix(hash_str(entry.id.as_str()));
        let removed = self.removed_servers.remove(&entry.id);
        let same_start = removed.filter(|(started, _)| *started == entry.started);
        Server {
            entry: entry.clone(),
            start: same_start.map_or(observed_now, |(_, start)| start),
            inverse_weight: 0.0,
            kind: self.kind_of(entry),
            zone: self.zone_of(entry, now),
            hash,
            breaker: Breaker::new(now),
            // Less than a whole token, since many nodes would use it at the same time.
            tokens: unit_interval(mix(self.seed ^ hash)),
            max_request_tokens: 1.0,
            in_flight: 0,
            limit: self.initial_limit,
            limit_changed_at: now,
            has_spare_capacity: false,
            last_sent_at: now,
            send_interval: Duration::MAX,
        }
    }

    /// The index of a server's kind, which is added if it is new.
    fn kind_of(&mut self, entry: &ServerEntry) -> usize {
        let known = self.kinds.iter().position(|kind| kind.name == entry.kind);
        known.unwrap_or_else(|| {
            self.kinds.push(ServerKind::new(entry.kind.clone()));
            self.kinds.len() - 1
        })
    }

    /// The index of a server's zone, which is added if it is new. The origin does not count towards the zone
    /// of the cache servers beside it.
    fn zone_of(&mut self, entry: &ServerEntry, now: Timestamp) -> usize {
        let name = entry.zone.clone().filter(|_| !self.is_origin(entry));
        let known = self.zones.iter().position(|zone| zone.name == name);
        known.unwrap_or_else(|| {
            self.zones.push(Zone {
                name,
                calls: 0,
                failure_rate: 0.0,
                last_outcome_at: now,
                down: false,
                last_trial_at: now,
            });
            self.zones.len() - 1
        })
    }

    pub(super) fn is_origin(&self, entry: &ServerEntry) -> bool {
        let CacheMode::Aside { origin_kind } = &self.settings.mode else { return false };
        entry.kind.as_ref() == Some(origin_kind)
    }

    pub(super) fn in_use(&self, server: &Server) -> bool {
        server.entry.availability == Availability::Ready && !self.is_origin(&server.entry)
    }

    /// Whether a server fails while the others, taken together, do not. If many servers fail together, the
    /// cause is a common one, and ejecting them would move their keys to the remaining servers.
    pub(super) fn is_outlier(&self, i: usize, now: Timestamp) -> bool {
        let others = self.servers.iter().filter(|other| other.hash != self.servers[i].hash);
        let recent = others.map(|other| &other.breaker).filter(|breaker| now < breaker.window_ends);
        let (calls, failed) = recent.fold((0, 0), |(c, f), b| (c + b.calls, f + b.failures));
        calls < MIN_CALLS || f64::from(failed) < COMMON_RATE * f64::from(calls)
    }

    /// Records an outcome for the server's breaker and opens the breaker if it trips.
    pub(super) fn record_server_outcome(
        &mut self,
        i: usize,
        epoch: u32,
        ok: Option<bool>,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let z = self.servers[i].zone;
        let other_healthy = self.other_zone_healthy(z, now);
        let zone_rate = self.zones[z].recent_rate(now).filter(|rate| other_healthy || *rate < COMMON_RATE);
        let tripped = self.servers[i].breaker.on_outcome(epoch, ok, zone_rate, now);
        if tripped && (other_healthy || self.is_outlier(i, now)) {
            self.servers[i].breaker.enter(State::Open { until: now + COOLDOWN }, now);
            actions.push(Action::Log(format!("breaker of {} tripped", self.servers[i].entry.id)));
        }
    }
}
