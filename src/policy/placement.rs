//! Which server a request goes to: rendezvous hashing, copies of popular keys, and fallback servers.

use super::hash::{key_of, mix, unit_interval};
use super::servers::Server;
use super::{Balancer, PendingRequest};
use crate::api::{Availability, CacheMode, Status, Timestamp};

/// Number of requests over which a key's share of all requests is averaged, and the number of additional
/// servers for a key per mean server share that it makes up.
const POPULARITY_WINDOW: f64 = 1024.0;
const COPIES_PER_SERVER_SHARE: f64 = 2.0;
/// Number of servers in a key's order that may take a request, and the share of their in-flight limits up to
/// which they take requests for lack of capacity at the servers of the key.
const MAX_CANDIDATES: usize = 3;
const FALLBACK_LIMIT_SHARE: f64 = 0.5;
/// Number of keys for which statistics are kept.
const MAX_KEYS: usize = 4096;

/// What this node knows about a key.
#[derive(Debug, Default)]
pub(super) struct KeyStats {
    /// Whether the last answer that this node got for it came from the server's cache.
    pub(super) cached: bool,
    /// Requests for it before the current one, decayed over `POPULARITY_WINDOW` requests of this node, and
    /// this node's request count at the time of that decay.
    pub(super) prior_requests: f64,
    pub(super) request_count: u64,
}

impl Balancer {
    /// The server for the next attempt; `None` if no server can take it or no attempt is left.
    pub(super) fn pick_server(&self, now: Timestamp, pending: &PendingRequest) -> Option<usize> {
        if pending.attempts.len() >= self.settings.max_attempts as usize {
            return None;
        }
        let usable = |i: &usize| {
            let entry = &self.servers[*i].entry;
            entry.availability == Availability::Ready
                && self.may_send(now, pending, entry)
                && self.servers[*i].breaker.admits(now)
                && self.zone_admits(*i, now)
                && self.has_tokens(*i, &pending.request, now)
                && !pending.attempts.iter().any(|a| a.entry.id == entry.id)
        };
        // The random draw rounds a fractional limit up or down.
        let below_limit = |i: usize, share: f64| {
            f64::from(self.servers[i].in_flight) + pending.random_draw
                < self.servers[i].limit(self.initial_limit, now) * share
        };
        let aside = matches!(self.settings.mode, CacheMode::Aside { .. });
        let missed = pending.attempts.iter().any(|a| a.status == Some(Status::Miss));
        if aside && (pending.request.write || missed) {
            let mut origins = (0..self.servers.len()).filter(|&i| self.is_origin(&self.servers[i].entry));
            return origins.find(usable).filter(|i| below_limit(*i, 1.0));
        }
        let key = key_of(&pending.request);
        let mut ranked = self.ranked_servers(key, now).peekable();
        let first = *ranked.peek()?;
        // Falls back to the next few servers only: further ones would turn hits into misses on a slow fleet.
        let copies = self.copies(key);
        let mut candidates: Vec<_> = ranked.filter(usable).take(MAX_CANDIDATES.max(copies)).collect();
        if !candidates.is_empty() {
            // The servers that hold the key come first, each request starting at a random one of them.
            let copies = copies.min(candidates.len());
            candidates[..copies]
                .rotate_left((unit_interval(mix(pending.random_draw.to_bits())) * copies as f64) as usize);
            let share = |rank| if rank < copies { 1.0 } else { FALLBACK_LIMIT_SHARE };
            return candidates
                .into_iter()
                .enumerate()
                .find(|&(rank, i)| below_limit(i, share(rank)))
                .map(|(_, i)| i);
        }
        // If all servers are blocked, the first in the key's order is better than none.
        (self.has_tokens(first, &pending.request, now)
            && pending.attempts.is_empty()
            && below_limit(first, 1.0))
        .then_some(first)
    }

    /// Counts a request for a key. Evicts keys without recent requests when there are too many.
    pub(super) fn count_key_request(&mut self, key: u64) {
        let request_count = self.request_count;
        if self.keys.len() >= MAX_KEYS {
            self.keys.retain(|_, stats| request_count - stats.request_count < MAX_KEYS as u64 / 2);
        }
        let stats =
            self.keys.entry(key).or_insert(KeyStats { request_count, prior_requests: -1.0, cached: false });
        let decay = (-((request_count - stats.request_count) as f64) / POPULARITY_WINDOW).exp();
        (stats.prior_requests, stats.request_count) = ((stats.prior_requests + 1.0) * decay, request_count);
    }

    /// How many servers serve a key: one, unless its requests make up much of a server's mean share. The more
    /// servers there are, the smaller the part of all traffic with which one key overloads its server.
    pub(super) fn copies(&self, key: u64) -> usize {
        let (prior_requests, servers) =
            (self.keys.get(&key).map_or(0.0, |stats| stats.prior_requests), self.servers.len() as f64);
        let counted = POPULARITY_WINDOW * (1.0 - (-(self.request_count as f64) / POPULARITY_WINDOW).exp());
        // The first few requests say little, so one more request per server is assumed, for other keys.
        let share = prior_requests / (counted + servers).max(1.0);
        1 + (COPIES_PER_SERVER_SHARE * servers * share).round() as usize
    }

    /// The ready cache servers in the key's order, by weighted rendezvous hashing: when a server leaves, only
    /// its own keys move.
    pub(super) fn ranked_servers(&self, key: u64, now: Timestamp) -> impl Iterator<Item = usize> + use<> {
        let rank = |(i, server): (usize, &Server)| {
            let distance = -unit_interval(mix(key ^ server.hash)).ln() / self.capacity(server, now);
            // Positive floating-point numbers sort like their bit patterns.
            (distance.to_bits(), i)
        };
        let in_use = self.servers.iter().enumerate().filter(|(_, server)| self.in_use(server));
        let mut ranked: Vec<_> = in_use.map(rank).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, i)| i)
    }
}
