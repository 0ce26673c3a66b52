//! Which server a key goes to: rendezvous hashing, copies of popular keys, and the way past blocked servers.

use super::hash::{key_of, mix, unit};
use super::servers::Server;
use super::{Balancer, Held};
use crate::api::{Availability, CacheMode, Status, Timestamp};

/// Requests over which a key's share of them is averaged, and how many servers serve it for each server's
/// mean share that it makes.
const POPULAR_SPAN: f64 = 1024.0;
const COPIES: f64 = 2.0;
/// Servers of a key's order that may take it; for want of room at the first, up to this share of their bound.
const SPREAD: usize = 3;
const SPILL: f64 = 0.5;
/// Keys whose last answer is remembered.
const KEYS_KNOWN: usize = 4096;

/// What this node knows of a key.
#[derive(Debug, Default)]
pub(super) struct Key {
    /// Its last answer here was held by its server.
    pub(super) kept: bool,
    /// Requests for it before the present one, over about the last `POPULAR_SPAN` of all, and the number of
    /// this node's request when that was counted.
    pub(super) before: f64,
    pub(super) drawn: u64,
}

impl Balancer {
    pub(super) fn pick(&self, now: Timestamp, held: &Held) -> Option<usize> {
        if held.attempts.len() >= self.settings.max_attempts as usize {
            return None;
        }
        let usable = |i: &usize| {
            let entry = &self.servers[*i].entry;
            entry.availability == Availability::Ready
                && self.may_send(now, held, entry)
                && self.servers[*i].breaker.admits(now)
                && self.may_try(*i, now)
                && self.has_tokens(*i, &held.request, now)
                && !held.attempts.iter().any(|a| a.entry.id == entry.id)
        };
        let room = |i: usize, share: f64| {
            f64::from(self.servers[i].in_flight) + held.luck
                < self.servers[i].limit(self.limit_start, now) * share
        };
        let aside = matches!(self.settings.mode, CacheMode::Aside { .. });
        let missed = held.attempts.iter().any(|a| a.status == Some(Status::Miss));
        if aside && (held.request.write || missed) {
            let mut origins = (0..self.servers.len()).filter(|&i| self.is_origin(&self.servers[i].entry));
            return origins.find(usable).filter(|i| room(*i, 1.0));
        }
        let key = key_of(&held.request);
        let mut order = self.order(key, now).peekable();
        let own = *order.peek()?;
        // For want of room to the next few and no further: over a slow fleet, hits would turn to misses.
        let copies = self.copies(key);
        let mut open: Vec<_> = order.filter(usable).take(SPREAD.max(copies)).collect();
        if !open.is_empty() {
            // Those that serve the key come first, each request beginning at one of them.
            let copies = copies.min(open.len());
            open[..copies].rotate_left((unit(mix(held.luck.to_bits())) * copies as f64) as usize);
            let share = |n| if n < copies { 1.0 } else { SPILL };
            return open.into_iter().enumerate().find(|&(n, i)| room(i, share(n))).map(|(_, i)| i);
        }
        // Every server is blocked: the key's own server then, rather than none.
        (self.has_tokens(own, &held.request, now) && held.attempts.is_empty() && room(own, 1.0))
            .then_some(own)
    }

    /// Counts a request for a key. Keys that were not asked for lately give way when too many are known.
    pub(super) fn meet(&mut self, key: u64) {
        let drawn = self.drawn;
        if self.keys.len() >= KEYS_KNOWN {
            self.keys.retain(|_, known| drawn - known.drawn < KEYS_KNOWN as u64 / 2);
        }
        let known = self.keys.entry(key).or_insert(Key { drawn, before: -1.0, kept: false });
        let faded = (-((drawn - known.drawn) as f64) / POPULAR_SPAN).exp();
        (known.before, known.drawn) = ((known.before + 1.0) * faded, drawn);
    }

    /// How many servers of its order serve a key: one does unless its requests make much of a server's share.
    /// The more servers there are the less of all traffic it takes for one key to jam the one it hashes to.
    pub(super) fn copies(&self, key: u64) -> usize {
        let (before, servers) =
            (self.keys.get(&key).map_or(0.0, |known| known.before), self.servers.len() as f64);
        let met = POPULAR_SPAN * (1.0 - (-(self.drawn as f64) / POPULAR_SPAN).exp());
        // The first few requests tell little: as if there had been one more for each server, of other keys.
        let share = before / (met + servers).max(1.0);
        1 + (COPIES * servers * share).round() as usize
    }

    /// The ready cache servers in the key's own order, by weighted rendezvous: a leaver moves only its keys.
    pub(super) fn order(&self, key: u64, now: Timestamp) -> impl Iterator<Item = usize> + use<> {
        let rank = |(i, server): (usize, &Server)| {
            let distance = -unit(mix(key ^ server.hash)).ln() / self.capacity(server, now);
            // The bits of positive numbers sort as the numbers do.
            (distance.to_bits(), i)
        };
        let in_use = self.servers.iter().enumerate().filter(|(_, server)| self.in_use(server));
        let mut ranked: Vec<_> = in_use.map(rank).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, i)| i)
    }
}
