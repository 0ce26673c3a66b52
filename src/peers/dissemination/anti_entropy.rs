//! Anti-entropy: sending digests of what this node holds, and sending other nodes what their digests lack.

use super::super::{Micros, TrafficClass};
use super::message::{encode, LogPosition, Message, StatePosition};
use super::overlay::Member;
use super::{Dissemination, DisseminationOutput};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// An entry counts as missing when a later one was received this long ago: until then it may just have been reordered.
const GAP_TIMEOUT: Micros = 50_000;
/// With more than [`CATCH_UP_THRESHOLD`] entries missing, others are asked only after this long without progress: the
/// parent is already forwarding the missing entries.
const CATCH_UP_TIMEOUT: Micros = 500_000;
const CATCH_UP_THRESHOLD: u64 = 64;
/// Without entries for this long, a node asks whether there are any. At 6 entries a second one arrives every 167 ms.
const IDLE_TIMEOUT: Micros = 200_000;
/// Between two digests. By then a reply has probably arrived, within a region or from another one (200 ms each way).
const PULL_INTERVAL_SAME_REGION: Micros = 100_000;
const PULL_INTERVAL_CROSS_REGION: Micros = 250_000;
const PULL_INTERVAL_IDLE: Micros = 200_000;
/// Interval at which a digest of all logs and states is sent to another node.
const FULL_DIGEST_INTERVAL: Micros = 400_000;
/// Longest time that an entry takes for one hop of the tree, within a region and between regions. An entry that is no
/// older need not be sent to a node that lacks it: it is still on its way.
const MAX_HOP_DELAY_SAME_REGION: Micros = 25_000;
const MAX_HOP_DELAY_CROSS_REGION: Micros = 250_000;
/// Hops assumed to a node that is neither an ancestor nor a descendant: half of the tree's depth at 2,120 nodes.
const HOPS_RANDOM_MEMBER: u8 = 6;
/// The parent counts as silent when other nodes delivered new entries this long after its last one.
const PARENT_SILENCE_TIMEOUT: Micros = 500_000;

/// Where a publisher's entries come from, and when to request missing ones.
#[derive(Clone, Debug)]
pub struct PullState {
    next_pull_at: Micros,
    turn: usize,
    /// The log's `progressed_at` and `behind_since` at the last request.
    progress: (Micros, Option<Micros>),
    /// The node that last delivered, or listed in its digest, entries that the parent did not send.
    source: Option<SocketAddr>,
    last_from_parent: Micros,
    next_state_pull_at: Micros,
    last_new_from_others: Micros,
}

impl PullState {
    /// State before anything was received.
    pub fn new(now: Micros) -> Self {
        Self {
            next_pull_at: now,
            turn: 0,
            progress: (now, None),
            source: None,
            last_from_parent: now,
            next_state_pull_at: now,
            last_new_from_others: 0,
        }
    }

    /// Records that entries were received. `any_new`: at least one of them was not held yet.
    pub fn entries_received(&mut self, now: Micros, from: SocketAddr, from_parent: bool, any_new: bool) {
        if from_parent {
            self.last_from_parent = now;
        } else if any_new {
            self.last_new_from_others = now;
            self.source = Some(from);
        }
    }

    fn is_parent_silent(&self) -> bool {
        self.last_new_from_others > self.last_from_parent + PARENT_SILENCE_TIMEOUT
    }
}

/// The node to send a digest to, and the number of hops that an entry takes from there.
#[derive(Clone, Copy, Debug)]
struct PullTarget {
    member: Member,
    hops: u8,
}

/// A digest that another node sent.
#[derive(Clone, Debug)]
pub struct ReceivedDigest {
    /// Logs.
    pub logs: Vec<LogPosition>,
    /// States.
    pub states: Vec<StatePosition>,
    /// Whether the digest covers everything that the sender knows of.
    pub complete: bool,
    /// Hops that an entry takes to the sender.
    pub hops: u8,
}

impl Dissemination {
    /// Sends digests where entries or states may be missing.
    pub(super) fn pull(&mut self, now: Micros) {
        if self.joining_until.is_some() {
            if now >= self.full_digest_at {
                self.full_digest_at = now + PULL_INTERVAL_IDLE;
                self.send_full_digest(true);
            }
            return;
        }
        let publishers: Vec<u64> = self.logs.keys().copied().collect();
        for publisher in publishers {
            self.pull_log(now, publisher);
        }
        if now >= self.full_digest_at {
            self.full_digest_at = now + FULL_DIGEST_INTERVAL;
            self.send_full_digest(false);
        }
    }

    fn pull_log(&mut self, now: Micros, publisher: u64) {
        if self.is_active_publisher(publisher) {
            return;
        }
        let Some(log) = self.logs.get(&publisher).filter(|log| log.base_known) else { return };
        let pull = self.pulls.entry(publisher).or_insert_with(|| PullState::new(now));
        let behind = log.highest.saturating_sub(log.delivered);
        let wait = match behind {
            0 => IDLE_TIMEOUT,
            1..=CATCH_UP_THRESHOLD => GAP_TIMEOUT,
            _ => CATCH_UP_TIMEOUT,
        };
        let since = log.progressed_at.max(log.behind_since.unwrap_or(0));
        if now < pull.next_pull_at || now < since + wait {
            return;
        }
        if pull.progress != (log.progressed_at, log.behind_since) {
            // The parent is the most likely to have what is missing; if it lacks it too, it forwards it once it
            // arrives.
            (pull.progress, pull.turn) = ((log.progressed_at, log.behind_since), 0);
        }
        let urgent = pull.is_parent_silent();
        let source = pull.source.filter(|_| urgent && pull.turn % 2 == 1);
        let turn = pull.turn;
        pull.turn = pull.turn.wrapping_add(1);
        let position = log.position(publisher);
        let states = self.states.positions_of(publisher);
        let source_member = source.and_then(|source| self.overlay.member_at(source).copied());
        let target = source_member
            .map(|member| PullTarget { member, hops: 0 })
            .or_else(|| self.pull_target(publisher, turn));
        let Some(target) = target else { return };
        let hops = if urgent { 0 } else { target.hops };
        let target = target.member;
        let interval = match (behind == 0 && !urgent, target.shares_region(&self.me)) {
            (true, _) => PULL_INTERVAL_IDLE,
            (false, true) => PULL_INTERVAL_SAME_REGION,
            (false, false) => PULL_INTERVAL_CROSS_REGION,
        };
        if let Some(pull) = self.pulls.get_mut(&publisher) {
            pull.next_pull_at = now + interval;
        }
        let digest = Message::Digest { logs: vec![position], states, complete: false, hops, joining: false };
        self.outbox.queue_control(TrafficClass::Log, target.address, digest);
    }

    /// Requests a publisher's states from a node that listed newer versions.
    pub(super) fn pull_states(
        &mut self,
        now: Micros,
        from: SocketAddr,
        publisher: u64,
        theirs: &[StatePosition],
    ) {
        let pull = self.pulls.entry(publisher).or_insert_with(|| PullState::new(now));
        if now < pull.next_state_pull_at || !theirs.iter().any(|position| self.states.is_behind(position)) {
            return;
        }
        pull.next_state_pull_at = now + PULL_INTERVAL_SAME_REGION;
        let unversioned = |position: &StatePosition| StatePosition { epoch: 0, version: 0, ..*position };
        let behind =
            theirs.iter().filter(|position| self.states.is_behind(position)).map(unversioned).collect();
        let digest =
            Message::Digest { logs: Vec::new(), states: behind, complete: false, hops: 1, joining: false };
        self.outbox.queue_control(TrafficClass::Log, from, digest);
    }

    /// Selects the node to ask. Mostly this is the parent or the grandparent, as in most cases one of them has what is
    /// missing; in between it is an ancestor further up or a random node, as a whole zone may be lost.
    fn pull_target(&mut self, publisher: u64, turn: usize) -> Option<PullTarget> {
        /// Level of the ancestor to ask, by turn; `None` selects a random node.
        const LEVEL_BY_TURN: [Option<u8>; 8] =
            [Some(1), Some(1), Some(2), Some(1), Some(3), Some(2), Some(4), None];
        let ancestor = LEVEL_BY_TURN[turn % LEVEL_BY_TURN.len()].and_then(|level| {
            let member =
                self.overlay.tree_view(publisher).ancestors().nth(usize::from(level) - 1).copied()?;
            Some(PullTarget { member, hops: level })
        });
        ancestor.or_else(|| self.random_target((turn / LEVEL_BY_TURN.len()).is_multiple_of(2)))
    }

    /// A random node of this region, or of any.
    fn random_target(&mut self, same_region: bool) -> Option<PullTarget> {
        self.random_member(same_region).map(|member| PullTarget { member, hops: HOPS_RANDOM_MEMBER })
    }

    fn random_member(&mut self, same_region: bool) -> Option<Member> {
        let me = self.me;
        let members = self.overlay.members();
        let allowed = |member: &&Member| member.key != me.key && (!same_region || member.shares_region(&me));
        let count = members.iter().filter(allowed).count();
        if count == 0 {
            return None;
        }
        let chosen = self.random.usize(0..count);
        members.iter().filter(allowed).nth(chosen).copied()
    }

    /// Sends a digest of everything to one other node.
    fn send_full_digest(&mut self, joining: bool) {
        self.full_digest_turn = self.full_digest_turn.wrapping_add(1);
        let turn = self.full_digest_turn;
        let publishers = self.publishers();
        let chosen = publishers.iter().nth(turn / 4 % publishers.len().max(1)).copied();
        let target = match (joining, chosen) {
            (false, Some(publisher)) if turn.is_multiple_of(2) => self.pull_target(publisher, turn / 2 % 2),
            _ => self.random_target(turn % 4 < 2),
        };
        let Some(target) = target.or_else(|| self.random_target(false)) else { return };
        let logs =
            self.logs.iter().filter(|(_, log)| log.base_known).map(|(&key, log)| log.position(key)).collect();
        let states = self.states.positions();
        let (to, hops) = (target.member.address, target.hops);
        let digest = Message::Digest { logs, states, complete: true, hops, joining };
        if encode(self.cluster_hash, &digest).len() <= self.config.max_datagram_bytes {
            self.outbox.queue_control(TrafficClass::Log, to, digest);
            return;
        }
        // Many states, or logs with many gaps, exceed one datagram: two digests are sent, both marked as incomplete.
        let Message::Digest { logs, states, .. } = digest else { return };
        let part = |logs, states| Message::Digest { logs, states, complete: false, hops, joining };
        self.outbox.queue_control(TrafficClass::Log, to, part(logs, Vec::new()));
        self.outbox.queue_control(TrafficClass::Log, to, part(Vec::new(), states));
    }

    /// Queues what the sender of a digest lacks, and records what it holds.
    pub(super) fn handle_digest(
        &mut self,
        now: Micros,
        from: SocketAddr,
        digest: ReceivedDigest,
        out: &mut Vec<DisseminationOutput>,
    ) {
        let me = self.me;
        let same_region = self.overlay.member_at(from).is_some_and(|member| member.shares_region(&me));
        let hop_delay = if same_region { MAX_HOP_DELAY_SAME_REGION } else { MAX_HOP_DELAY_CROSS_REGION };
        let cutoff = now.saturating_sub(hop_delay * Micros::from(digest.hops));
        let mut listed = BTreeSet::new();
        for position in digest.logs.iter().cloned() {
            let publisher = position.publisher;
            if !listed.insert(publisher)
                || !self.observe_epoch(now, from, publisher, position.epoch, position.first, out)
            {
                continue;
            }
            let Some(log) = self.logs.get_mut(&publisher) else { continue };
            if position.epoch != log.epoch() && position.delivered >= log.first() {
                // What the sender holds past the epoch change is void; it has to adopt the epoch first.
                continue;
            }
            let highest = position.held_ranges.iter().map(|range| range.1).fold(position.delivered, u64::max);
            if position.epoch == log.epoch() {
                log.observe_sequence(now, highest);
                self.outbox.drop_pushes_through(publisher, from, position.delivered);
            }
            let sender_has_missing = log.highest > log.delivered && highest > log.delivered;
            if sender_has_missing {
                let pull = self.pulls.entry(publisher).or_insert_with(|| PullState::new(now));
                pull.source = Some(from);
            }
            // Parent and grandparent fill a gap at once. Ancestors further up leave out recent entries, which are still
            // on their way to a whole subtree.
            let log_cutoff = if position.held_ranges.is_empty() || digest.hops > 2 { cutoff } else { now };
            let has_missing = log.missing_at(&position).any(|held| held.received_at <= log_cutoff);
            if has_missing || log.skip_target(&position).is_some() {
                self.counters.abandoned += self.outbox.queue_repair(from, position, log_cutoff);
            }
        }
        if digest.complete && self.joining_until.is_none() {
            self.repair_unlisted_logs(from, &listed, cutoff);
        }
        self.push_newer_states(now, from, &digest, cutoff);
    }

    fn repair_unlisted_logs(&mut self, from: SocketAddr, listed: &BTreeSet<u64>, cutoff: Micros) {
        for (&publisher, log) in self.logs.iter().filter(|(key, log)| log.base_known && !listed.contains(key))
        {
            let (epoch, first) = (log.epoch(), log.first());
            let empty_position = LogPosition {
                publisher,
                epoch,
                first,
                delivered: first - 1,
                held_ranges: Vec::new(),
                stale: false,
            };
            if log.missing_at(&empty_position).any(|held| held.received_at <= cutoff) {
                self.counters.abandoned += self.outbox.queue_repair(from, empty_position, cutoff);
            }
        }
    }

    fn push_newer_states(&mut self, now: Micros, from: SocketAddr, digest: &ReceivedDigest, cutoff: Micros) {
        let asks_for = |publisher: u64| digest.logs.iter().any(|log| log.publisher == publisher);
        let mut outdated = Vec::new();
        for (key, slot) in self.states.iter().filter(|(_, slot)| slot.received_at <= cutoff) {
            let held = digest
                .states
                .iter()
                .find(|position| (position.publisher, position.kind) == (key.publisher, key.kind));
            let newest = (slot.newest.epoch, slot.newest.sequence);
            match held {
                Some(held) if (held.epoch, held.version) < newest => outdated.push(key),
                None if digest.complete || asks_for(key.publisher) => outdated.push(key),
                _ => {}
            }
        }
        for key in outdated {
            self.outbox.queue_state(now, from, key, 1);
        }
    }
}
