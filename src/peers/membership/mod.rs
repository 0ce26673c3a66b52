//! Who is present: SWIM by the engine, and what is added to it. This module holds the parts together; each part has its
//! own module and its own state.

pub(super) mod admission;
mod agreement;
mod count;
mod engine;
mod farewells;
mod joining;
mod names;
mod settings;
mod timers;
mod traffic;
mod view;

pub use admission::Dropped;
pub use agreement::Agreement;
pub use count::{Count, CountRules};
pub use settings::PeersConfig;
pub use traffic::{Traffic, TrafficCount, TrafficKind, TRAFFIC_KINDS};
pub use view::{Seen, Standing, View, ViewSummary};

use foca::{State, Timer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::net::SocketAddr;

use super::envelope::{encode_extensions, Envelope, Extension, LifeId, EXTENSIONS_SINCE, SCHEMA};
use super::identity::Peer;
use super::{Micros, Output};
use admission::DropReason;
use agreement::{AgreementTracker, MemberCounts, SETTLED};
use engine::{Engine, EngineEffects, EngineMessage};
use farewells::{Farewell, Farewells};
use joining::Joining;
use timers::{TimerEvent, TimerQueue};
use view::{life_hash, MemberTable};

/// Peers that are held at the most; datagrams of others are dropped.
const MOST_PEERS: usize = 20_000;
/// A timer that comes later than this was not late: the process stood still, and its own time with it.
const ASLEEP: Micros = 700_000;
/// Agreement is reviewed this often.
const REVIEW_EVERY: Micros = SETTLED / 4;
/// A peer whose view differed when it was last heard, that long ago, is asked for its list.
const ASK_AFTER: Micros = 400_000;
/// So many at once.
const ASK_WIDTH: usize = 3;

/// One process's part in the membership.
pub(super) struct Membership {
    config: PeersConfig,
    me: Peer,
    engine: Engine,
    farewells: Farewells,
    random: fastrand::Rng,
    timers: TimerQueue,
    members: MemberTable,
    /// Nodes that are present, itself among them.
    nodes: u32,
    joining: Joining,
    agreement: AgreementTracker,
    count: Count,
    traffic: Traffic,
    /// It has left, or gave its name up.
    left: bool,
}

impl Membership {
    /// A process that has not met anybody. `seed`: for its random draws.
    pub fn new(config: PeersConfig, me: Peer, seed: u64, now: Micros) -> Self {
        let random = SmallRng::seed_from_u64(seed);
        let settings = config.engine(config.nodes as usize, 0);
        let farewells = Farewells::default();
        let handler = farewells.clone();
        let engine =
            Engine::with_custom_broadcast(me.clone(), settings, random, foca::PostcardCodec, handler);
        let memory = config.count.memory.as_micros() as Micros;
        let mut membership = Self {
            engine,
            farewells,
            random: fastrand::Rng::with_seed(!seed),
            timers: TimerQueue::default(),
            members: MemberTable::default(),
            nodes: 0,
            joining: Joining::new(config.seeds.clone()),
            agreement: AgreementTracker::new(now, memory),
            count: Count::new(config.count, config.nodes),
            traffic: Traffic::default(),
            left: false,
            config,
            me,
        };
        membership.update_view(now);
        membership.timers.add(now, TimerEvent::Join);
        membership.timers.add(now + REVIEW_EVERY, TimerEvent::Review);
        membership
    }

    /// When it wants to be called next.
    pub fn next(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Itself, as others know it.
    pub fn me(&self) -> &Peer {
        self.engine.identity()
    }

    /// Whether it has left, or gave its name up.
    pub fn has_left(&self) -> bool {
        self.left
    }

    /// A datagram of this cluster has come.
    pub fn receive(
        &mut self,
        now: Micros,
        envelope: &Envelope,
        out: &mut Vec<Output>,
    ) -> Result<(), DropReason> {
        if envelope.schema >= EXTENSIONS_SINCE && envelope.payload.is_empty() {
            return self.receive_without_engine(now, envelope);
        }
        // Who sent it is in it: behind a relay or a mapping it comes from elsewhere.
        let (header, _) = postcard::take_from_bytes::<foca::Header<Peer>>(envelope.payload)
            .map_err(|_| DropReason::Malformed)?;
        let sender = header.src.address;
        let known = self.members.get(&sender).is_some();
        if self.members.len() >= MOST_PEERS && !known {
            return Err(DropReason::Crowd);
        }
        let mut effects = EngineEffects::default();
        let handled = self.engine.handle_data(envelope.payload, &mut effects);
        self.apply(now, effects, out);
        if self.members.get(&sender).is_some_and(|held| !held.peer.observer) {
            self.agreement.report(now, sender, envelope.digest);
        }
        self.members.heard(&sender, envelope.schema);
        handled.map_err(|_| DropReason::Malformed)
    }

    /// A datagram with extensions alone: it tells its sender's digest, where that one is present.
    fn receive_without_engine(&mut self, now: Micros, envelope: &Envelope) -> Result<(), DropReason> {
        let sender = envelope.sender().ok_or(DropReason::Malformed)?;
        if self.is_present(&sender) {
            self.agreement.report(now, sender.address, envelope.digest);
            self.members.heard(&sender.address, envelope.schema);
        }
        Ok(())
    }

    /// Whether this life of a node is present, as far as is known here.
    pub fn is_present(&self, life: &LifeId) -> bool {
        let held = self.members.get(&life.address);
        held.is_some_and(|held| {
            !held.peer.observer && !held.standing.is_gone() && LifeId::from(&held.peer) == *life
        })
    }

    /// Whether a peer reads extensions.
    pub fn reads_extensions(&self, address: &SocketAddr) -> bool {
        self.members.get(address).is_some_and(|held| held.schema >= EXTENSIONS_SINCE)
    }

    /// Sends extensions without a message of the engine, to one that reads them; whether that was possible.
    #[allow(dead_code)] // The parts that share the socket send by it.
    pub fn send_extensions(&self, to: SocketAddr, extensions: Vec<Extension>, out: &mut Vec<Output>) -> bool {
        if !self.reads_extensions(&to) {
            return false;
        }
        let sender = [Extension::Sender(LifeId::from(self.me()))];
        let all: Vec<_> = sender.into_iter().chain(extensions).collect();
        let data = self.datagram(&[], &all);
        let fits = data.is_some();
        out.extend(data.map(|data| Output::Send { to, data }));
        fits
    }

    /// Time has come for what is due.
    pub fn run_timers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let late = now.saturating_sub(self.next().unwrap_or(now));
        if late > ASLEEP {
            // Its own clock stood still: all that was due is due as much later.
            self.timers.postpone_all(late);
            self.agreement.after_sleep(now);
        }
        while let Some(event) = self.timers.pop_due(now) {
            match event {
                TimerEvent::Engine(timer) => self.engine_timer(now, timer, out),
                TimerEvent::Join => self.join(now, out),
                TimerEvent::Review => {
                    self.review(now, out);
                    self.timers.add(now + REVIEW_EVERY, TimerEvent::Review);
                }
            }
        }
    }

    fn engine_timer(&mut self, now: Micros, timer: Timer<Peer>, out: &mut Vec<Output>) {
        let mut effects = EngineEffects::default();
        let suspect = match &timer {
            Timer::ChangeSuspectToDown { member_id, .. } => Some(member_id.address),
            _ => None,
        };
        // An error is a probe whose timers came out of order, after a sleep: the next one begins anew.
        let _ = self.engine.handle_timer(timer, &mut effects);
        if effects.down.is_empty() {
            // foca 2.0 tells a suspect that it is gone even where that one has cleared itself meanwhile: it would come back
            // under a new identity, and every view with it.
            effects.messages.retain(|message| Some(message.to) != suspect);
        }
        self.apply(now, effects, out);
    }

    /// Says farewell: the others know at once, and suspect nothing.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        let farewell = Farewell { address: self.me().address, order: self.me().order };
        let mut effects = EngineEffects::default();
        if let Ok(data) = postcard::to_stdvec(&farewell) {
            // Errors would be of its size alone, which is bounded.
            let _ = self.engine.add_broadcast(&data);
            let _ = self.engine.broadcast(&mut effects);
        }
        let _ = self.engine.leave_cluster(&mut effects);
        self.apply(now, effects, out);
        self.left = true;
        self.timers.clear();
    }

    /// The figures of its view, without the list of peers.
    pub fn summary(&self) -> ViewSummary {
        ViewSummary {
            nodes: self.nodes,
            in_force: self.count.in_force(),
            agreement: self.agreement.agreement(),
            digest: self.agreement.digest(),
        }
    }

    /// What it sent up to now.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// What it sees.
    pub fn view(&self, now: Micros) -> View {
        View {
            peers: self.members.seen(now),
            nodes: self.nodes,
            in_force: self.count.in_force(),
            agreement: self.agreement.agreement(),
            since: self.agreement.lasts(now),
            digest: self.agreement.digest(),
            differing: self.agreement.differing(now),
        }
    }

    /// Asks seeds, and peers that it knew, for whoever is there; for as long as it lives.
    fn join(&mut self, now: Micros, out: &mut Vec<Output>) {
        let alone = self.engine.num_members() == 0;
        let me = self.me().address;
        let members = &self.members;
        let is_present =
            |address: &SocketAddr| members.get(address).is_some_and(|m| m.standing == Standing::Present);
        let attempt = self.joining.attempt(me, alone, is_present, &mut self.random);
        let mut effects = EngineEffects::default();
        for address in attempt.addresses {
            // Errors would be of its size alone.
            let _ = self.engine.announce(unknown_peer(address), &mut effects);
        }
        self.apply(now, effects, out);
        self.timers.add(now + attempt.wait.as_micros() as Micros, TimerEvent::Join);
    }

    /// Carries out what the engine asked for.
    fn apply(&mut self, now: Micros, effects: EngineEffects, out: &mut Vec<Output>) {
        let changed = effects.changes_members();
        for (after, timer) in effects.timers {
            self.timers.add(now + after.as_micros() as Micros, TimerEvent::Engine(timer));
        }
        if effects.rejoined {
            self.me = self.engine.identity().clone();
            out.push(Output::CameBack);
        }
        effects.replaced.iter().for_each(|peer| self.members.replace(peer));
        for peer in effects.down {
            let standing = match self.farewells.has(&peer) {
                true => Standing::Left,
                false => Standing::Lost,
            };
            self.set_standing(now, peer, standing, out);
        }
        for peer in effects.up {
            self.set_standing(now, peer, Standing::Present, out);
        }
        if changed {
            self.update_view(now);
            self.adapt_engine();
            self.resolve_name_conflict(now, out);
        }
        self.send(effects.messages, out);
        if changed {
            self.review(now, out);
        }
    }

    fn send(&mut self, messages: Vec<EngineMessage>, out: &mut Vec<Output>) {
        for EngineMessage { to, kind, payload } in messages {
            if let Some(data) = self.datagram(&payload, &[]) {
                self.traffic.add(kind, data.len());
                out.push(Output::Send { to, data });
            }
        }
    }

    /// A datagram of these parts, where it is not too long.
    fn datagram(&self, payload: &[u8], extensions: &[Extension]) -> Option<Vec<u8>> {
        let more = encode_extensions(extensions);
        let envelope = Envelope {
            schema: SCHEMA,
            cluster: &self.config.cluster,
            digest: self.agreement.digest(),
            nodes: self.nodes,
            payload,
            more: &more,
        };
        envelope.encode()
    }

    /// The engine's times follow the number of peers, and of those in doubt.
    fn adapt_engine(&mut self) {
        let suspects = self.members.iter().filter(|held| held.standing == Standing::Suspected).count();
        let settings = self.config.engine(self.engine.num_members() + 1, suspects);
        // What differs are times and numbers that may change at any moment.
        let _ = self.engine.set_config(settings);
    }

    fn set_standing(&mut self, now: Micros, peer: Peer, standing: Standing, out: &mut Vec<Output>) {
        if standing == Standing::Present && !peer.observer {
            self.joining.remember(peer.address);
        }
        if standing.is_gone() {
            self.agreement.forget(&peer.address);
        }
        if self.members.set(now, &peer, standing) {
            out.push(Output::Standing { peer, standing });
        }
    }

    fn resolve_name_conflict(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        let members = self.engine.iter_members().map(foca::Member::id);
        let Some(conflict) = names::find_conflict(&self.me, members) else { return };
        let yields = conflict.yields;
        out.push(Output::NameClaimed { by: conflict.by, yields });
        if yields {
            self.leave(now, out);
        }
    }

    fn update_view(&mut self, now: Micros) {
        let nodes = self.engine.iter_members().map(foca::Member::id).chain([self.engine.identity()]);
        let (mut digest, mut count) = (0u64, 0u32);
        for peer in nodes.filter(|peer| !peer.observer) {
            digest = digest.wrapping_add(life_hash(peer));
            count += 1;
        }
        self.nodes = count;
        self.agreement.set_view(now, digest, count);
    }

    /// Asks some of those whose view differed for their lists: the answer tells a present digest, and what was missed.
    fn ask_for_lists(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(until) = now.checked_sub(ASK_AFTER) else { return };
        let mut among = self.agreement.differing_until(until);
        among.sort_unstable();
        self.random.shuffle(&mut among);
        let mut effects = EngineEffects::default();
        for address in among.into_iter().take(ASK_WIDTH) {
            if let Some(held) = self.members.get(&address) {
                // Errors would be of its size alone.
                let _ = self.engine.announce(held.peer.clone(), &mut effects);
            }
        }
        self.send(effects.messages, out);
    }

    /// Looks at how far views lie apart, and at what may be relied on.
    fn review(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        self.follow_suspicions(now, out);
        let members = MemberCounts {
            nodes: self.nodes,
            suspected: self.members.count(Standing::Suspected),
            lost: self.members.count(Standing::Lost),
        };
        let news = self.agreement.review(now, &members);
        self.ask_for_lists(now, out);
        out.extend(news.map(Output::Agreement));
        // Fewer may be believed once those that are left agree, whatever became of the others: the count's own rule keeps
        // what follows from it in bounds.
        if self.count.sees(now, self.nodes, self.agreement.is_agreed()) {
            out.push(Output::Count(self.count.in_force()));
        }
    }

    /// Takes over whom the engine suspects and cleared, and farewells that came after the word that their peer is gone.
    fn follow_suspicions(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut suspected = Vec::new();
        let mut cleared = Vec::new();
        for member in self.engine.iter_members() {
            let standing = self.members.get(&member.id().address).map(|held| held.standing);
            match (member.state(), standing) {
                (State::Suspect, Some(Standing::Present)) => suspected.push(member.id().clone()),
                (State::Alive, Some(Standing::Suspected)) => cleared.push(member.id().clone()),
                _ => {}
            }
        }
        let said_farewell =
            |held: &&view::Member| held.standing == Standing::Lost && self.farewells.has(&held.peer);
        let left: Vec<_> = self.members.iter().filter(said_farewell).map(|held| held.peer.clone()).collect();
        for peer in left {
            self.set_standing(now, peer, Standing::Left, out);
        }
        let doubts = !(suspected.is_empty() && cleared.is_empty());
        for peer in suspected {
            self.set_standing(now, peer, Standing::Suspected, out);
        }
        for peer in cleared {
            self.set_standing(now, peer, Standing::Present, out);
        }
        if doubts {
            self.adapt_engine();
        }
    }
}

/// Whoever is there, as an announcement names it.
fn unknown_peer(address: SocketAddr) -> Peer {
    Peer { address, order: 0, salt: 0, observer: false, name: String::new(), more: Vec::new() }
}

#[cfg(test)]
mod tests;
