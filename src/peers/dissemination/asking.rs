//! Anti-entropy: telling what one holds, and answering with what another lacks.

use super::super::{Micros, TrafficClass};
use super::message::{encode, LogPosition, Message, StatePosition};
use super::overlay::Member;
use super::{Dissemination, DisseminationOutput};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// An entry is missing when one behind it came this long ago: what the network reorders arrives meanwhile.
const GAP_WAIT: Micros = 50_000;
/// With more than [`FAR_BEHIND`] entries missing, others are asked only where nothing came for this long: the parent is
/// passing them on already.
const CATCHING_UP_WAIT: Micros = 500_000;
const FAR_BEHIND: u64 = 64;
/// Without entries for so long, a node asks whether there are any. At 6 a second one comes every 167 ms.
const SILENCE: Micros = 200_000;
/// Between two questions: one answer within a region, or from another one (200 ms each way), is likely there.
const ASK_EVERY_NEAR: Micros = 100_000;
const ASK_EVERY_FAR: Micros = 250_000;
const ASK_EVERY_IDLE: Micros = 200_000;
/// All positions, states among them, are told this often to somebody.
const TELL_ALL_EVERY: Micros = 400_000;
/// An entry takes so long for a hop of the tree at the most, within a region and to another one: who lacks one that is no
/// older need not be sent it.
const HOP_NEAR: Micros = 25_000;
const HOP_FAR: Micros = 250_000;
/// Hops to a node that is neither above nor below: half of the tree's depth at 2,120 nodes.
const HOPS_ELSEWHERE: u8 = 6;
/// The parent is silent when others brought entries that it should have brought, this long after its last.
const PARENT_SILENT: Micros = 500_000;

/// What is known of where a publisher's entries come from.
#[derive(Clone, Debug)]
pub struct Asking {
    ask_at: Micros,
    turn: usize,
    /// When an entry last came in order, and since when some are missing, as it was when it last asked.
    progress: (Micros, Option<Micros>),
    /// Who last brought what the parent did not.
    source: Option<SocketAddr>,
    parent_at: Micros,
    states_at: Micros,
    others_at: Micros,
}

impl Asking {
    /// Nothing has come yet.
    pub fn new(now: Micros) -> Self {
        Self {
            ask_at: now,
            turn: 0,
            progress: (now, None),
            source: None,
            parent_at: now,
            states_at: now,
            others_at: 0,
        }
    }

    /// Entries came.
    pub fn heard(&mut self, now: Micros, from: SocketAddr, from_parent: bool, useful: bool) {
        if from_parent {
            self.parent_at = now;
        } else if useful {
            self.others_at = now;
            self.source = Some(from);
        }
    }

    fn parent_silent(&self) -> bool {
        self.others_at > self.parent_at + PARENT_SILENT
    }
}

/// Whom to ask, and how many hops of the tree an entry takes from there.
#[derive(Clone, Copy, Debug)]
struct Target {
    member: Member,
    hops: u8,
}

/// What somebody told that it holds.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Logs.
    pub logs: Vec<LogPosition>,
    /// States.
    pub states: Vec<StatePosition>,
    /// Whether these are all that it knows of.
    pub complete: bool,
    /// How many hops an entry takes to it.
    pub hops: u8,
}

impl Dissemination {
    /// Asks for what is missing.
    pub(super) fn ask(&mut self, now: Micros) {
        if self.joining.is_some() {
            if now >= self.tell_all_at {
                self.tell_all_at = now + ASK_EVERY_IDLE;
                self.tell_all(true);
            }
            return;
        }
        let publishers: Vec<u64> = self.logs.keys().copied().collect();
        for publisher in publishers {
            self.ask_for_log(now, publisher);
        }
        if now >= self.tell_all_at {
            self.tell_all_at = now + TELL_ALL_EVERY;
            self.tell_all(false);
        }
    }

    fn ask_for_log(&mut self, now: Micros, publisher: u64) {
        if self.publishes(publisher) {
            return;
        }
        let Some(log) = self.logs.get(&publisher).filter(|log| log.based) else { return };
        let asking = self.asking.entry(publisher).or_insert_with(|| Asking::new(now));
        let behind = log.highest.saturating_sub(log.delivered);
        let wait = match behind {
            0 => SILENCE,
            1..=FAR_BEHIND => GAP_WAIT,
            _ => CATCHING_UP_WAIT,
        };
        let since = log.progressed_at.max(log.behind_since.unwrap_or(0));
        if now < asking.ask_at || now < since + wait {
            return;
        }
        if asking.progress != (log.progressed_at, log.behind_since) {
            // The parent is the likeliest to have what is missing, and where it lacks it too it passes it on.
            (asking.progress, asking.turn) = ((log.progressed_at, log.behind_since), 0);
        }
        let urgent = asking.parent_silent();
        let source = asking.source.filter(|_| urgent && asking.turn % 2 == 1);
        let turn = asking.turn;
        asking.turn = asking.turn.wrapping_add(1);
        let position = log.position(publisher);
        let states = self.states.positions_of(publisher);
        let known = source.and_then(|source| self.overlay.member_at(source).copied());
        let target = known.map(|member| Target { member, hops: 0 }).or_else(|| self.target(publisher, turn));
        let Some(target) = target else { return };
        let hops = if urgent { 0 } else { target.hops };
        let target = target.member;
        let every = match (behind == 0 && !urgent, target.shares_region(&self.me)) {
            (true, _) => ASK_EVERY_IDLE,
            (false, true) => ASK_EVERY_NEAR,
            (false, false) => ASK_EVERY_FAR,
        };
        if let Some(asking) = self.asking.get_mut(&publisher) {
            asking.ask_at = now + every;
        }
        let positions =
            Message::Digest { logs: vec![position], states, complete: false, hops, joining: false };
        self.outbox.small(TrafficClass::Log, target.address, positions);
    }

    /// Asks a node that told of newer versions of a publisher's states for them.
    pub(super) fn ask_for_states(
        &mut self,
        now: Micros,
        from: SocketAddr,
        publisher: u64,
        theirs: &[StatePosition],
    ) {
        let asking = self.asking.entry(publisher).or_insert_with(|| Asking::new(now));
        if now < asking.states_at || !theirs.iter().any(|one| self.states.is_behind(one)) {
            return;
        }
        asking.states_at = now + ASK_EVERY_NEAR;
        let older = |one: &StatePosition| StatePosition { epoch: 0, version: 0, ..*one };
        let behind = theirs.iter().filter(|one| self.states.is_behind(one)).map(older).collect();
        let positions =
            Message::Digest { logs: Vec::new(), states: behind, complete: false, hops: 1, joining: false };
        self.outbox.small(TrafficClass::Log, from, positions);
    }

    /// Whom to ask: the parent and the node above it most often, as one of them has it in most cases; in between those
    /// further up and others, as a whole zone may be gone.
    fn target(&mut self, publisher: u64, turn: usize) -> Option<Target> {
        /// Levels above, by turn; none: elsewhere.
        const TURNS: [Option<u8>; 8] = [Some(1), Some(1), Some(2), Some(1), Some(3), Some(2), Some(4), None];
        let above = TURNS[turn % TURNS.len()].and_then(|level| {
            let member =
                self.overlay.tree_view(publisher).ancestors().nth(usize::from(level) - 1).copied()?;
            Some(Target { member, hops: level })
        });
        above.or_else(|| self.elsewhere((turn / TURNS.len()).is_multiple_of(2)))
    }

    /// Any node, or any of the region.
    fn elsewhere(&mut self, of_region: bool) -> Option<Target> {
        self.random_member(of_region).map(|member| Target { member, hops: HOPS_ELSEWHERE })
    }

    fn random_member(&mut self, of_region: bool) -> Option<Member> {
        let me = self.me;
        let members = self.overlay.members();
        let allowed = |member: &&Member| member.key != me.key && (!of_region || member.shares_region(&me));
        let count = members.iter().filter(allowed).count();
        if count == 0 {
            return None;
        }
        let chosen = self.random.usize(0..count);
        members.iter().filter(allowed).nth(chosen).copied()
    }

    /// Tells somebody all positions.
    fn tell_all(&mut self, joining: bool) {
        self.tell_turn = self.tell_turn.wrapping_add(1);
        let turn = self.tell_turn;
        let publishers = self.publishers();
        let chosen = publishers.iter().nth(turn / 4 % publishers.len().max(1)).copied();
        let target = match (joining, chosen) {
            (false, Some(publisher)) if turn.is_multiple_of(2) => self.target(publisher, turn / 2 % 2),
            _ => self.elsewhere(turn % 4 < 2),
        };
        let Some(target) = target.or_else(|| self.elsewhere(false)) else { return };
        let logs =
            self.logs.iter().filter(|(_, log)| log.based).map(|(&key, log)| log.position(key)).collect();
        let states = self.states.positions();
        let (to, hops) = (target.member.address, target.hops);
        let all = Message::Digest { logs, states, complete: true, hops, joining };
        if encode(self.cluster, &all).len() <= self.config.max_datagram_bytes {
            self.outbox.small(TrafficClass::Log, to, all);
            return;
        }
        // Many states, and logs with many holes: in two parts, neither of which is all.
        let Message::Digest { logs, states, .. } = all else { return };
        let part = |logs, states| Message::Digest { logs, states, complete: false, hops, joining };
        self.outbox.small(TrafficClass::Log, to, part(logs, Vec::new()));
        self.outbox.small(TrafficClass::Log, to, part(Vec::new(), states));
    }

    /// Answers with what the other one lacks, and notes what it has.
    pub(super) fn answer(
        &mut self,
        now: Micros,
        from: SocketAddr,
        asked: Asked,
        out: &mut Vec<DisseminationOutput>,
    ) {
        let me = self.me;
        let near = self.overlay.member_at(from).is_some_and(|member| member.shares_region(&me));
        let hop = if near { HOP_NEAR } else { HOP_FAR };
        let grown_before = now.saturating_sub(hop * Micros::from(asked.hops));
        let mut seen = BTreeSet::new();
        for position in asked.logs.iter().cloned() {
            let publisher = position.publisher;
            if !seen.insert(publisher)
                || !self.goes_by(now, from, publisher, position.epoch, position.first, out)
            {
                continue;
            }
            let Some(log) = self.logs.get_mut(&publisher) else { continue };
            if position.epoch != log.epoch() && position.delivered >= log.first() {
                // What it holds beyond the change is void; it is told of the epoch first.
                continue;
            }
            let highest = position.held_ranges.iter().map(|range| range.1).fold(position.delivered, u64::max);
            if position.epoch == log.epoch() {
                log.knows_of(now, highest);
                self.outbox.has(publisher, from, position.delivered);
            }
            let log_ahead = log.highest > log.delivered && highest > log.delivered;
            if log_ahead {
                let asking = self.asking.entry(publisher).or_insert_with(|| Asking::new(now));
                asking.source = Some(from);
            }
            // The two above fill a gap at once; further up, whatever is new is on its way to a whole branch.
            let before = if position.held_ranges.is_empty() || asked.hops > 2 { grown_before } else { now };
            let lacks = log.lacked_at(&position).any(|held| held.at <= before);
            if lacks || log.snapshot_for(&position).is_some() {
                self.counters.abandoned += self.outbox.repair(from, position, before);
            }
        }
        if asked.complete && self.joining.is_none() {
            self.answer_with_unknown_logs(from, &seen, grown_before);
        }
        self.answer_with_states(now, from, &asked, grown_before);
    }

    fn answer_with_unknown_logs(&mut self, from: SocketAddr, seen: &BTreeSet<u64>, grown_before: Micros) {
        for (&publisher, log) in self.logs.iter().filter(|(key, log)| log.based && !seen.contains(key)) {
            let (epoch, first) = (log.epoch(), log.first());
            let nothing = LogPosition {
                publisher,
                epoch,
                first,
                delivered: first - 1,
                held_ranges: Vec::new(),
                stale: false,
            };
            if log.lacked_at(&nothing).any(|held| held.at <= grown_before) {
                self.counters.abandoned += self.outbox.repair(from, nothing, grown_before);
            }
        }
    }

    fn answer_with_states(&mut self, now: Micros, from: SocketAddr, asked: &Asked, grown_before: Micros) {
        let asks_for = |publisher: u64| asked.logs.iter().any(|log| log.publisher == publisher);
        let mut lacked = Vec::new();
        for (key, slot) in self.states.iter().filter(|(_, slot)| slot.at <= grown_before) {
            let held = asked.states.iter().find(|one| (one.publisher, one.kind) == (key.publisher, key.kind));
            let newest = (slot.newest.epoch, slot.newest.sequence);
            match held {
                Some(held) if (held.epoch, held.version) < newest => lacked.push(key),
                None if asked.complete || asks_for(key.publisher) => lacked.push(key),
                _ => {}
            }
        }
        for key in lacked {
            self.outbox.push_state(now, from, key, 1);
        }
    }
}
