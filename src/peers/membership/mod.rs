//! Who is present: SWIM by the engine, and what is added to it. This module holds the parts together; each part has its
//! own module and its own state.

pub(super) mod admission;
mod agreement;
mod applying;
mod count;
mod digest;
mod engine;
mod gossip;
mod inbound;
mod joining;
mod leave_messages;
mod members;
mod name_conflict;
mod pacing;
mod receiving;
pub(super) mod repair;
mod repairing;
mod reviewing;
mod round_trips;
mod sending;
mod settings;
mod suspicion;
mod timers;
mod traffic;
mod view;

pub use admission::DroppedDatagrams;
pub use agreement::Agreement;
pub use count::{EffectiveNodeCount, NodeCountRules};
pub use settings::PeersConfig;
pub use traffic::{Traffic, TrafficCount, TrafficKind, TRAFFIC_KINDS};
pub use view::{PeerRecord, PeerStatus, View, ViewSummary};

use foca::Timer;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::envelope::IdentityKey;
use super::identity::Peer;
use super::{Micros, Output};
use agreement::{AgreementTracker, SETTLE_TIME};
use engine::{Engine, EngineEffects};
use gossip::{ChangeRate, GossipPlan};
use joining::{Joining, KnownNode};
use leave_messages::{LeaveMessage, LeaveMessages};
use members::{Member, MemberTable};
use pacing::Pacing;
use repair::Repair;
use round_trips::RoundTrips;
use suspicion::{DepartureReports, SuspectNotifier};
use timers::{TimerEvent, TimerQueue};

/// Peers that are held at the most; datagrams of others are dropped.
const MAX_PEERS: usize = 20_000;
/// A timer that comes later than this was not late: the process stood still, and its own time with it.
const SUSPEND_THRESHOLD: Micros = 700_000;
/// Agreement is reviewed this often.
const REVIEW_INTERVAL: Micros = SETTLE_TIME / 4;

/// One process's part in the membership.
pub(super) struct Membership {
    config: PeersConfig,
    local_peer: Peer,
    engine: Engine,
    leave_messages: LeaveMessages,
    /// How many of them the members were held against.
    leave_messages_seen: u64,
    random: fastrand::Rng,
    timers: TimerQueue,
    members: MemberTable,
    /// The engine may suspect others than the table says.
    suspicions_changed: bool,
    suspect_notifier: SuspectNotifier,
    departure_reports: DepartureReports,
    /// Of this process, as the engine last told it.
    incarnation: foca::Incarnation,
    joining: Joining,
    agreement: AgreementTracker,
    node_count: EffectiveNodeCount,
    change_rate: ChangeRate,
    gossip_plan: GossipPlan,
    repair: Repair,
    pacing: Pacing,
    round_trips: RoundTrips,
    /// No probe begins before that.
    next_probe_at: Micros,
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
        let settings = config.engine_config(config.configured_nodes as usize, 0, plan);
        let leave_messages = LeaveMessages::default();
        let handler = leave_messages.clone();
        let engine =
            Engine::with_custom_broadcast(me.clone(), settings, random, foca::PostcardCodec, handler);
        let memory = micros(config.node_count.peak_window);
        let mut members = MemberTable::new();
        members.set_local(None, &me);
        let mut membership = Self {
            engine,
            leave_messages,
            leave_messages_seen: 0,
            random: fastrand::Rng::with_seed(!seed),
            timers: TimerQueue::default(),
            members,
            suspicions_changed: false,
            suspect_notifier: SuspectNotifier::default(),
            departure_reports: DepartureReports::default(),
            incarnation: 0,
            joining: Joining::new(config.seeds.clone()),
            agreement: AgreementTracker::new(now, memory),
            node_count: EffectiveNodeCount::new(config.node_count, config.configured_nodes),
            change_rate: changes,
            gossip_plan: plan,
            repair: Repair::new(seed.rotate_left(32)),
            pacing: Pacing::new(now),
            round_trips: RoundTrips::default(),
            next_probe_at: now,
            traffic: Traffic::default(),
            replaced: Vec::new(),
            left: false,
            config,
            local_peer: me,
        };
        membership.update_view(now);
        membership.timers.add(now, TimerEvent::Join);
        membership.timers.add(now + REVIEW_INTERVAL, TimerEvent::Review);
        membership
    }

    /// When it wants to be called next.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    /// Itself, as others know it.
    pub fn local_peer(&self) -> &Peer {
        self.engine.identity()
    }

    /// Nodes that are present, itself among them.
    fn nodes(&self) -> u32 {
        let counts = self.members.counts();
        (counts.present + counts.suspected) as u32 + u32::from(!self.local_peer.observer)
    }

    /// Whether it has left, or gave its name up.
    pub fn has_left(&self) -> bool {
        self.left
    }

    /// Whether this life of a node is present, as far as is known here.
    pub fn is_present(&self, life: &IdentityKey) -> bool {
        let held = self.members.get(&life.address);
        held.is_some_and(|held| {
            !held.peer.observer && !held.status.is_departed() && IdentityKey::from(&held.peer) == *life
        })
    }

    /// Peers of which another life took the place since this was last asked, where the standing stayed the same.
    pub fn take_replaced(&mut self) -> Vec<Peer> {
        std::mem::take(&mut self.replaced)
    }

    /// Time has come for what is due.
    pub fn run_timers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let late = now.saturating_sub(self.next_timer().unwrap_or(now));
        if late > SUSPEND_THRESHOLD {
            // Its own clock stood still: all that was due is due as much later.
            self.timers.postpone_all(late);
            self.agreement.reset_after_suspend(now);
            self.round_trips.forget_outstanding();
        }
        while let Some(event) = self.timers.pop_due(now) {
            match event {
                TimerEvent::Engine(timer) => self.engine_timer(now, timer, out),
                TimerEvent::Join => self.join(now, out),
                TimerEvent::Review => {
                    self.review(now, out);
                    self.timers.add(now + REVIEW_INTERVAL, TimerEvent::Review);
                }
            }
        }
    }

    fn engine_timer(&mut self, now: Micros, timer: Timer<Peer>, out: &mut Vec<Output>) {
        self.follow_change_rate(now);
        if matches!(timer, Timer::PeriodicGossip(_)) {
            if let Some(wait) =
                self.pacing.gossip_wait(now, self.gossip_plan.fan_out, self.engine.updates_backlog())
            {
                return self.timers.add(now + wait, TimerEvent::Engine(timer));
            }
        }
        if matches!(timer, Timer::ProbeRandomMember(_)) && now < self.next_probe_at {
            return self.timers.add(self.next_probe_at, TimerEvent::Engine(timer));
        }
        let mut effects = EngineEffects::default();
        let suspect = match &timer {
            Timer::ChangeSuspectToDown { member_id, .. } => Some(member_id.address),
            _ => None,
        };
        if let Some(suspect) = &suspect {
            self.suspect_notifier.remove(suspect);
        }
        // An error is a probe whose timers came out of order, after a sleep: the next one begins anew.
        let _ = self.engine.handle_timer(timer, &mut effects);
        if !effects.removes_members() {
            // foca 2.0 tells a suspect that it is gone even where that one has cleared itself meanwhile: it would come back
            // under a new identity, and every view with it.
            effects.messages.retain(|message| Some(message.to) != suspect);
        }
        self.apply(now, effects, out);
    }

    /// The engine passes on less while much changes.
    fn follow_change_rate(&mut self, now: Micros) {
        let plan = self.change_rate.plan(now);
        if plan != self.gossip_plan {
            self.gossip_plan = plan;
            self.adapt_engine();
        }
    }

    /// Says farewell: the others know at once, and suspect nothing.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        let farewell =
            LeaveMessage { address: self.local_peer().address, generation: self.local_peer().generation };
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
            effective_nodes: self.node_count.get(),
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
            peers: self.members.records(now),
            nodes: self.nodes(),
            effective_nodes: self.node_count.get(),
            agreement: self.agreement.agreement(),
            agreement_age_us: self.agreement.agreement_age(now),
            digest: self.agreement.digest(),
            differing: self.agreement.differing(now),
        }
    }

    /// Asks seeds, and peers that it knew, for whoever is there; for as long as it lives.
    fn join(&mut self, now: Micros, out: &mut Vec<Output>) {
        let alone = self.engine.num_members() == 0;
        let me = self.local_peer().address;
        let nodes = self.members.iter().filter(|member| !member.peer.observer);
        let acquaintance = |member: &Member| match member.status {
            PeerStatus::Present => KnownNode::Present,
            _ => KnownNode::Absent,
        };
        let known: BTreeMap<_, _> = nodes.map(|member| (member.peer.address, acquaintance(member))).collect();
        let attempt = self.joining.attempt(me, alone, &known, &mut self.random);
        let mut effects = EngineEffects::default();
        for address in attempt.addresses {
            // Errors would be of its size alone.
            let _ = self.engine.announce(placeholder_peer(address), &mut effects);
        }
        self.apply(now, effects, out);
        self.timers.add(now + micros(attempt.wait), TimerEvent::Join);
    }
}

fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// Whoever is there, as an announcement name_conflict it.
fn placeholder_peer(address: SocketAddr) -> Peer {
    Peer { address, generation: 0, salt: 0, observer: false, name: String::new(), metadata: Vec::new() }
}

#[cfg(test)]
mod tests;
