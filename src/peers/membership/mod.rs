//! Who is present: SWIM by the engine, and what is added to it. This module holds the parts together; each part has its
//! own module and its own state.

pub(super) mod admission;
mod agreement;
mod count;
mod digest;
mod engine;
mod farewells;
mod gossip;
mod inbound;
mod joining;
mod members;
mod names;
mod pacing;
pub(super) mod repair;
mod settings;
mod suspicion;
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
use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::envelope::{encode_extensions, Envelope, Extension, LifeId, EXTENSIONS_SINCE, SCHEMA};
use super::identity::Peer;
use super::{Micros, Output};
use admission::DropReason;
use agreement::{AgreementTracker, MemberCounts, SETTLED};
use engine::{Engine, EngineEffects, EngineMessage, MemberChange};
use farewells::{Farewell, Farewells};
use gossip::{ChangeRate, GossipPlan};
use inbound::{InboundMessage, MemberUpdate};
use joining::{Acquaintance, Joining};
use members::{Member, MemberTable, Word};
use pacing::{Pace, Pacing};
use repair::{LocalView, Repair, RepairMessage, RepairOutcome};
use suspicion::{GoneReport, GoneReports, OwnSuspicions};
use timers::{TimerEvent, TimerQueue};

/// Peers that are held at the most; datagrams of others are dropped.
const MOST_PEERS: usize = 20_000;
/// A timer that comes later than this was not late: the process stood still, and its own time with it.
const ASLEEP: Micros = 700_000;
/// Agreement is reviewed this often.
const REVIEW_EVERY: Micros = SETTLED / 4;
/// Peers whose view differed when they were last heard are asked to compare; so many at once. While much changes, each
/// comparison brings much, and others at the same time would bring the same.
const COMPARE_WIDTH: usize = 8;
const COMPARE_WIDTH_IN_BURST: usize = 2;
/// Of the peers that one message says to be gone, so many are asked.
const GONE_ASKED_AT_ONCE: usize = 3;

/// One process's part in the membership.
pub(super) struct Membership {
    config: PeersConfig,
    me: Peer,
    engine: Engine,
    farewells: Farewells,
    /// How many of them the members were held against.
    farewells_seen: u64,
    random: fastrand::Rng,
    timers: TimerQueue,
    members: MemberTable,
    /// The engine may suspect others than the table says.
    suspicions_changed: bool,
    own_suspicions: OwnSuspicions,
    gone_reports: GoneReports,
    /// Of this process, as the engine last told it.
    incarnation: foca::Incarnation,
    joining: Joining,
    agreement: AgreementTracker,
    count: Count,
    changes: ChangeRate,
    plan: GossipPlan,
    repair: Repair,
    pacing: Pacing,
    traffic: Traffic,
    replaced: Vec<Peer>,
    /// It has left, or gave its name up.
    left: bool,
}

impl Membership {
    /// A process that has not met anybody. `seed`: for its random draws.
    pub fn new(config: PeersConfig, me: Peer, seed: u64, now: Micros) -> Self {
        let random = SmallRng::seed_from_u64(seed);
        let changes = ChangeRate::new(now);
        let plan = changes.plan(now);
        let settings = config.engine(config.nodes as usize, 0, plan);
        let farewells = Farewells::default();
        let handler = farewells.clone();
        let engine =
            Engine::with_custom_broadcast(me.clone(), settings, random, foca::PostcardCodec, handler);
        let memory = config.count.memory.as_micros() as Micros;
        let mut members = MemberTable::new();
        members.set_own(None, &me);
        let mut membership = Self {
            engine,
            farewells,
            farewells_seen: 0,
            random: fastrand::Rng::with_seed(!seed),
            timers: TimerQueue::default(),
            members,
            suspicions_changed: false,
            own_suspicions: OwnSuspicions::default(),
            gone_reports: GoneReports::default(),
            incarnation: 0,
            joining: Joining::new(config.seeds.clone()),
            agreement: AgreementTracker::new(now, memory),
            count: Count::new(config.count, config.nodes),
            changes,
            plan,
            repair: Repair::new(seed.rotate_left(32)),
            pacing: Pacing::new(now),
            traffic: Traffic::default(),
            replaced: Vec::new(),
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

    /// Nodes that are present, itself among them.
    fn nodes(&self) -> u32 {
        let counts = self.members.counts();
        (counts.present + counts.suspected) as u32 + u32::from(!self.me.observer)
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
            return self.receive_without_engine(now, envelope, out);
        }
        // Who sent it is in it: behind a relay or a mapping it comes from elsewhere.
        let message = InboundMessage::decode(envelope.payload).ok_or(DropReason::Malformed)?;
        let sender = message.header.src.address;
        let known = self.members.get(&sender).is_some();
        if self.members.len() >= MOST_PEERS && !known {
            return Err(DropReason::Crowd);
        }
        self.follow_change_rate(now);
        let schema = envelope.schema;
        let handled = self.hand_to_engine(now, message, schema, out);
        if self.members.get(&sender).is_some_and(|held| !held.peer.observer) {
            self.agreement.report(now, sender, envelope.digest);
        }
        handled
    }

    /// Gives the engine the words on members that may be news to it, and then the message itself.
    fn hand_to_engine(
        &mut self,
        now: Micros,
        mut message: InboundMessage,
        schema: u16,
        out: &mut Vec<Output>,
    ) -> Result<(), DropReason> {
        let source = &message.header.src;
        let is_gone = |held: &Member| held.standing.is_gone() && !source.before(&held.peer);
        let sender_is_gone = self.members.get(&source.address).is_some_and(is_gone);
        // The engine would not take them from one that it holds for gone, nor what was meant for another life.
        let accepted = message.header.dst == *self.me() && !sender_is_gone;
        if accepted {
            let word = Word { incarnation: message.header.src_incarnation, suspected: false };
            self.suspicions_changed |= self.members.hear_word(source, word);
        }
        // A list of members is news to its reader alone.
        let pass_on = message.header.message != foca::Message::Feed;
        let own = self.me().address;
        let updates = if accepted { std::mem::take(&mut message.updates) } else { Vec::new() };
        let (of_me, of_others): (Vec<_>, Vec<_>) =
            updates.into_iter().partition(|update| update.id().address == own);
        // A word on this node goes first: the answer to the message clears it.
        self.apply_updates(now, of_me, pass_on, out);
        // One that was taken for gone has another identity since: whoever asks for the earlier one hears that from the
        // answer. Without an answer it would suspect a living process.
        if message.is_probe() && message.header.dst.is_earlier_identity_of(self.me()) {
            message.readdress(self.me().clone());
        }
        let payload = message.without_updates();
        let mut effects = EngineEffects::default();
        let handled = self.engine.handle_data(&payload, &mut effects);
        let answers = std::mem::take(&mut effects.messages);
        self.apply(now, effects, out);
        // What is answered depends on what its reader reads.
        self.members.heard(&message.header.src.address, schema);
        self.send(now, answers, out);
        // Farewells rode on the message: those that they are of are known for having left.
        self.apply_updates(now, of_others, pass_on, out);
        handled.map_err(|_| DropReason::Malformed)
    }

    /// Gives the engine words that may be news. Those beyond what may wait to be passed on are left to repair.
    fn apply_updates(
        &mut self,
        now: Micros,
        updates: Vec<MemberUpdate>,
        pass_on: bool,
        out: &mut Vec<Output>,
    ) {
        let mut effects = EngineEffects::default();
        for update in updates {
            let known = self.members.get(&update.id().address).is_some();
            let room = known || self.members.len() < MOST_PEERS;
            if room && inbound::is_news(&mut self.members, &update) {
                self.suspicions_changed |= update.state() != State::Down;
                let pass_on = pass_on && self.engine.updates_backlog() < self.plan.backlog;
                // Errors would be of its size alone.
                let _ = self.engine.apply_many([update].into_iter(), pass_on, &mut effects);
            }
        }
        self.apply(now, effects, out);
    }

    /// A datagram with extensions alone: it tells its sender's digest, where that one is present.
    fn receive_without_engine(
        &mut self,
        now: Micros,
        envelope: &Envelope,
        out: &mut Vec<Output>,
    ) -> Result<(), DropReason> {
        let mut extensions = envelope.extensions().into_iter();
        let Some(Extension::Sender(sender)) = extensions.next() else { return Err(DropReason::Malformed) };
        if !self.is_present(&sender) {
            return Ok(());
        }
        self.agreement.report(now, sender.address, envelope.digest);
        self.members.heard(&sender.address, envelope.schema);
        for extension in extensions {
            if let Extension::Repair(message) = extension {
                self.receive_repair(now, sender.address, message, out);
            }
        }
        Ok(())
    }

    fn receive_repair(
        &mut self,
        now: Micros,
        from: SocketAddr,
        message: RepairMessage,
        out: &mut Vec<Output>,
    ) {
        if message == RepairMessage::Compare {
            return self.answer_comparison(now, from, out);
        }
        let view = LocalView { me: self.engine.identity(), members: &self.members, nodes: self.nodes() };
        let outcome = self.repair.receive(now, view, message);
        self.carry_out_repair(now, from, outcome, out);
    }

    /// Tells the present digest, and those of parts where the peer's view differed when it asked.
    fn answer_comparison(&mut self, now: Micros, to: SocketAddr, out: &mut Vec<Output>) {
        let mut messages = Vec::new();
        let differs = self.agreement.differs(&to);
        if differs && self.pacing.allows(now, Pace::Comparison) && self.repair.may_answer(now) {
            let view = LocalView { me: self.engine.identity(), members: &self.members, nodes: self.nodes() };
            messages.push(self.repair.digests(view));
        }
        let pace = if messages.is_empty() { Pace::Spare } else { Pace::Comparison };
        self.send_repair(now, to, pace, messages, out);
    }

    fn carry_out_repair(
        &mut self,
        now: Micros,
        from: SocketAddr,
        outcome: RepairOutcome,
        out: &mut Vec<Output>,
    ) {
        for messages in outcome.answers {
            self.send_repair(now, from, Pace::Answer, messages, out);
        }
        for messages in outcome.lists {
            self.send_repair(now, from, Pace::Listing, messages, out);
        }
        let mut updates = Vec::new();
        let mut asked = Vec::new();
        for (peer, left) in outcome.gone {
            if left {
                self.farewells.remember(Farewell { address: peer.address, order: peer.order });
            }
            let own = peer.address == self.me().address;
            let held = self.members.get(&peer.address);
            let suspected = held.is_some_and(|held| held.standing == Standing::Suspected);
            match self.gone_reports.report(now, &peer, suspected) {
                _ if left || own => updates.push(MemberUpdate::down(peer)),
                GoneReport::Believe => updates.push(MemberUpdate::down(peer)),
                GoneReport::Ask => asked.push(peer),
                GoneReport::Wait => {}
            }
        }
        self.ask_whether_gone(now, asked, out);
        let peers: Vec<_> = outcome.alive.iter().map(|record| record.peer.clone()).collect();
        let alive = |record: repair::Record| MemberUpdate::new(record.peer, record.incarnation, State::Alive);
        updates.extend(outcome.alive.into_iter().map(alive));
        if updates.is_empty() {
            return;
        }
        // Others pull it as well: it is not passed on.
        self.apply_updates(now, updates, false, out);
        for peer in peers {
            let taken =
                self.members.get(&peer.address).is_some_and(|held| held.is_counted() && held.peer == peer);
            if !taken {
                self.repair.refused(now, &peer);
            }
        }
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

    /// Peers of which another life took the place since this was last asked, where the standing stayed the same.
    pub fn take_replaced(&mut self) -> Vec<Peer> {
        std::mem::take(&mut self.replaced)
    }

    /// A datagram with one extension, for one that is known to read it.
    pub fn extension_datagram(&self, extension: Extension) -> Option<Vec<u8>> {
        self.datagram(&[], &[Extension::Sender(LifeId::from(self.me())), extension])
    }

    /// Sends extensions without a message of the engine, to one that reads them; whether that was possible.
    #[allow(dead_code)] // The parts that share the socket send by it.
    pub fn send_extensions(&self, to: SocketAddr, extensions: Vec<Extension>, out: &mut Vec<Output>) -> bool {
        let data = self.extensions_datagram(&to, extensions);
        let fits = data.is_some();
        out.extend(data.map(|data| Output::Send { to, data }));
        fits
    }

    /// A datagram of extensions without a message of the engine, for one that reads them.
    fn extensions_datagram(&self, to: &SocketAddr, extensions: Vec<Extension>) -> Option<Vec<u8>> {
        if !self.reads_extensions(to) {
            return None;
        }
        let sender = [Extension::Sender(LifeId::from(self.me()))];
        let all: Vec<_> = sender.into_iter().chain(extensions).collect();
        self.datagram(&[], &all)
    }

    /// Sends messages of the repair, where the budget has room for them.
    fn send_repair(
        &mut self,
        now: Micros,
        to: SocketAddr,
        pace: Pace,
        messages: Vec<RepairMessage>,
        out: &mut Vec<Output>,
    ) {
        let extensions = messages.into_iter().map(Extension::Repair).collect();
        let Some(data) = self.extensions_datagram(&to, extensions) else { return };
        if self.pacing.try_take(now, pace, data.len()) {
            self.traffic.add(TrafficKind::Repair, data.len());
            out.push(Output::Send { to, data });
        }
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
        self.follow_change_rate(now);
        if matches!(timer, Timer::PeriodicGossip(_)) {
            if let Some(wait) = self.pacing.gossip_wait(now, self.plan.fan_out, self.engine.updates_backlog())
            {
                return self.timers.add(now + wait, TimerEvent::Engine(timer));
            }
        }
        let mut effects = EngineEffects::default();
        let suspect = match &timer {
            Timer::ChangeSuspectToDown { member_id, .. } => Some(member_id.address),
            _ => None,
        };
        if let Some(suspect) = &suspect {
            self.own_suspicions.remove(suspect);
        }
        // An error is a probe whose timers came out of order, after a sleep: the next one begins anew.
        let _ = self.engine.handle_timer(timer, &mut effects);
        if !effects.takes_away() {
            // foca 2.0 tells a suspect that it is gone even where that one has cleared itself meanwhile: it would come back
            // under a new identity, and every view with it.
            effects.messages.retain(|message| Some(message.to) != suspect);
        }
        self.apply(now, effects, out);
    }

    /// The engine passes on less while much changes.
    fn follow_change_rate(&mut self, now: Micros) {
        let plan = self.changes.plan(now);
        if plan != self.plan {
            self.plan = plan;
            self.adapt_engine();
        }
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
            nodes: self.nodes(),
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
            nodes: self.nodes(),
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
        let nodes = self.members.iter().filter(|member| !member.peer.observer);
        let acquaintance = |member: &Member| match member.standing {
            Standing::Present => Acquaintance::Present,
            _ => Acquaintance::Past,
        };
        let known: BTreeMap<_, _> = nodes.map(|member| (member.peer.address, acquaintance(member))).collect();
        let attempt = self.joining.attempt(me, alone, &known, &mut self.random);
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
        self.incarnation = effects.incarnation.unwrap_or(self.incarnation);
        for (after, timer) in effects.timers {
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                self.suspicions_changed = true;
                self.own_suspicions.add(member_id.clone(), *incarnation);
            }
            self.timers.add(now + after.as_micros() as Micros, TimerEvent::Engine(timer));
        }
        if effects.rejoined {
            let before = std::mem::replace(&mut self.me, self.engine.identity().clone());
            self.members.set_own(Some(&before), &self.me);
            out.push(Output::CameBack);
        }
        self.changes.add(now, effects.changes.len());
        let mut arrived = Vec::new();
        for change in effects.changes {
            match change {
                MemberChange::Replaced(peer) => {
                    self.members.replace(&peer);
                    self.replaced.push(peer.clone());
                    arrived.push(peer);
                }
                MemberChange::Down(peer) => {
                    let standing = match self.farewells.has(&peer) {
                        true => Standing::Left,
                        false => Standing::Lost,
                    };
                    self.set_standing(now, peer, standing, out);
                }
                MemberChange::Up(peer) => {
                    self.set_standing(now, peer.clone(), Standing::Present, out);
                    arrived.push(peer);
                }
            }
        }
        if changed {
            self.update_view(now);
            self.adapt_engine();
            self.resolve_name_conflict(now, &arrived, out);
        }
        self.send(now, effects.messages, out);
        if changed {
            self.suspicions_changed = true;
            self.judge(now, out);
        }
    }

    fn send(&mut self, now: Micros, messages: Vec<EngineMessage>, out: &mut Vec<Output>) {
        for EngineMessage { to, kind, mut payload } in messages {
            let most = match kind {
                TrafficKind::Feed => {
                    let repairs = self.reads_extensions(&to);
                    let Some(most) = self.pacing.members_in_feed(now, repairs, payload.len()) else {
                        continue;
                    };
                    most
                }
                TrafficKind::Probe | TrafficKind::Gossip => {
                    self.pacing.news_on_message(now).min(self.plan.news_on_message)
                }
                _ => usize::MAX,
            };
            payload = inbound::truncate_updates(&payload, most);
            if let Some(data) = self.datagram(&payload, &[]) {
                self.pacing.take(now, data.len());
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
            nodes: self.nodes(),
            payload,
            more: &more,
        };
        envelope.encode()
    }

    /// The engine's times follow the number of peers, and of those in doubt.
    fn adapt_engine(&mut self) {
        let suspects = self.members.counts().suspected;
        let settings = self.config.engine(self.engine.num_members() + 1, suspects, self.plan);
        // What differs are times and numbers that may change at any moment.
        let _ = self.engine.set_config(settings);
    }

    fn set_standing(&mut self, now: Micros, peer: Peer, standing: Standing, out: &mut Vec<Output>) {
        if standing.is_gone() {
            self.agreement.forget(&peer.address);
        }
        if self.members.set(now, &peer, standing) {
            out.push(Output::Standing { peer, standing });
        }
    }

    fn resolve_name_conflict(&mut self, now: Micros, arrived: &[Peer], out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        let Some(conflict) = names::find_conflict(&self.me, arrived.iter()) else { return };
        let yields = conflict.yields;
        out.push(Output::NameClaimed { by: conflict.by, yields });
        if yields {
            self.leave(now, out);
        }
    }

    fn update_view(&mut self, now: Micros) {
        let digest = self.members.digest().whole();
        debug_assert_eq!(digest, self.summed_digest(), "the digest is kept up with each change");
        self.agreement.set_view(now, digest, self.nodes());
    }

    /// The digest of what the engine holds, summed anew.
    fn summed_digest(&self) -> u64 {
        let nodes = self.engine.iter_members().map(foca::Member::id).chain([self.engine.identity()]);
        let counted = nodes.filter(|peer| !peer.observer);
        counted.fold(0, |sum, peer| sum.wrapping_add(digest::life_hash(peer)))
    }

    /// Asks some of those whose view differed to compare: the answer tells a present digest, and where views differ.
    fn compare_views(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut among = self.agreement.to_be_compared(now);
        among.sort_unstable();
        self.random.shuffle(&mut among);
        let width = if self.changes.is_burst(now) { COMPARE_WIDTH_IN_BURST } else { COMPARE_WIDTH };
        for address in among.into_iter().take(width) {
            self.agreement.asked(now, &address);
            match self.members.get(&address).map(|held| held.schema) {
                Some(schema) if schema >= EXTENSIONS_SINCE => {
                    self.send_repair(now, address, Pace::Comparison, vec![RepairMessage::Compare], out);
                }
                Some(1) => self.ask_for_list(now, address, out),
                // One that was not heard yet will be.
                _ => {}
            }
        }
    }

    /// A peer of the first schema is asked for a list of members.
    fn ask_for_list(&mut self, now: Micros, address: SocketAddr, out: &mut Vec<Output>) {
        let Some(held) = self.members.get(&address) else { return };
        let mut effects = EngineEffects::default();
        // Errors would be of its size alone.
        let _ = self.engine.announce(held.peer.clone(), &mut effects);
        self.send(now, effects.messages, out);
    }

    /// Looks at how far views lie apart, repairs, and judges what may be relied on.
    fn review(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        self.follow_change_rate(now);
        self.follow_suspicions(now, out);
        self.follow_farewells(now, out);
        self.tell_suspects(now, out);
        self.agreement.expire(now);
        self.repair.expire(now);
        self.gone_reports.expire(now);
        self.judge(now, out);
        self.compare_views(now, out);
    }

    /// Says how far views lie apart, and what may be relied on.
    fn judge(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        let counts = self.members.counts();
        let members = MemberCounts { nodes: self.nodes(), suspected: counts.suspected, lost: counts.lost };
        out.extend(self.agreement.review(now, &members).map(Output::Agreement));
        // Fewer may be believed once those that are left agree, whatever became of the others: the count's own rule keeps
        // what follows from it in bounds.
        if self.count.sees(now, members.nodes, self.agreement.is_agreed()) {
            out.push(Output::Count(self.count.in_force()));
        }
    }

    /// Takes over whom the engine suspects, and whom it cleared.
    fn follow_suspicions(&mut self, now: Micros, out: &mut Vec<Output>) {
        if !std::mem::take(&mut self.suspicions_changed) {
            return;
        }
        let mut changed = Vec::new();
        for member in self.engine.iter_members() {
            let standing = self.members.get(&member.id().address).map(|held| held.standing);
            match (member.state(), standing) {
                (State::Suspect, Some(Standing::Present)) => {
                    changed.push((member.id().clone(), Standing::Suspected));
                }
                (State::Alive, Some(Standing::Suspected)) => {
                    changed.push((member.id().clone(), Standing::Present));
                }
                _ => {}
            }
        }
        let any = !changed.is_empty();
        for (peer, standing) in changed {
            self.set_standing(now, peer, standing, out);
        }
        if any {
            self.adapt_engine();
        }
    }

    /// Asks some of those that others take for gone. Other nodes ask others, and hear of their answers by gossip.
    fn ask_whether_gone(&mut self, now: Micros, mut peers: Vec<Peer>, out: &mut Vec<Output>) {
        self.random.shuffle(&mut peers);
        peers.truncate(GONE_ASKED_AT_ONCE);
        peers.iter().for_each(|peer| self.gone_reports.asked(now, peer));
        let me = self.engine.identity();
        let notices = peers.iter();
        let notices = notices.filter_map(|peer| suspicion::gone_notice(me, self.incarnation, peer));
        let messages = notices.map(|notice| EngineMessage {
            to: notice.to,
            kind: TrafficKind::Probe,
            payload: notice.payload,
        });
        let messages = messages.collect();
        self.send(now, messages, out);
    }

    /// Tells those whom this node suspects, so that they can clear themselves.
    fn tell_suspects(&mut self, now: Micros, out: &mut Vec<Output>) {
        let members = &self.members;
        self.own_suspicions.retain(|peer| {
            let held = members.get(&peer.address).filter(|held| held.peer == *peer);
            held.is_some_and(|held| held.standing == Standing::Suspected)
        });
        let notices = self.own_suspicions.notices(now, self.engine.identity(), self.incarnation);
        let messages = notices.into_iter().map(|notice| EngineMessage {
            to: notice.to,
            kind: TrafficKind::Probe,
            payload: notice.payload,
        });
        self.send(now, messages.collect(), out);
    }

    /// A farewell may come after the word that its peer is gone.
    fn follow_farewells(&mut self, now: Micros, out: &mut Vec<Output>) {
        let received = self.farewells.received();
        if received == std::mem::replace(&mut self.farewells_seen, received) {
            return;
        }
        let said_farewell =
            |held: &&Member| held.standing == Standing::Lost && self.farewells.has(&held.peer);
        let left: Vec<_> = self.members.iter().filter(said_farewell).map(|held| held.peer.clone()).collect();
        for peer in left {
            self.set_standing(now, peer, Standing::Left, out);
        }
    }
}

/// Whoever is there, as an announcement names it.
fn unknown_peer(address: SocketAddr) -> Peer {
    Peer { address, order: 0, salt: 0, observer: false, name: String::new(), more: Vec::new() }
}

#[cfg(test)]
mod tests;
