//! The membership protocol: SWIM, which the engine implements, and the extensions to it. This module connects the parts;
//! each has its own module and its own state.

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

/// Maximum number of known peers; datagrams from further ones are dropped.
const MAX_PEERS: usize = 20_000;
/// If a timer runs later than this, the process is taken to have been suspended, and its timers are postponed.
const SUSPEND_THRESHOLD: Micros = 700_000;
/// The interval of the periodic review.
const REVIEW_INTERVAL: Micros = SETTLE_TIME / 4;

/// The membership state of one process.
pub(super) struct Membership {
    config: PeersConfig,
    local_peer: Peer,
    engine: Engine,
    leave_messages: LeaveMessages,
    /// The number of received leave messages when they were last applied to the members.
    leave_messages_seen: u64,
    random: fastrand::Rng,
    timers: TimerQueue,
    members: MemberTable,
    /// Whether the suspicions of the engine may differ from those in the table.
    suspicions_changed: bool,
    suspect_notifier: SuspectNotifier,
    departure_reports: DepartureReports,
    /// The incarnation of this process, as last seen in a message of the engine.
    incarnation: foca::Incarnation,
    joining: Joining,
    agreement: AgreementTracker,
    node_count: EffectiveNodeCount,
    change_rate: ChangeRate,
    gossip_plan: GossipPlan,
    repair: Repair,
    pacing: Pacing,
    round_trips: RoundTrips,
    /// No probe starts before this time.
    next_probe_at: Micros,
    traffic: Traffic,
    replaced: Vec<Peer>,
    /// It has left the cluster, or yielded its name.
    left: bool,
}

impl Membership {
    /// A process that knows no other one yet. `seed`: seeds its random number generators.
    pub fn new(config: PeersConfig, local_peer: Peer, seed: u64, now: Micros) -> Self {
        let random = SmallRng::seed_from_u64(seed);
        let change_rate = ChangeRate::new(now);
        let gossip_plan = change_rate.plan(now);
        let settings = config.engine_config(config.configured_nodes as usize, 0, gossip_plan);
        let leave_messages = LeaveMessages::default();
        let handler = leave_messages.clone();
        let engine =
            Engine::with_custom_broadcast(local_peer.clone(), settings, random, foca::PostcardCodec, handler);
        let peak_window = micros(config.node_count.peak_window);
        let mut members = MemberTable::new();
        members.set_local(None, &local_peer);
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
            agreement: AgreementTracker::new(now, peak_window),
            node_count: EffectiveNodeCount::new(config.node_count, config.configured_nodes),
            change_rate,
            gossip_plan,
            repair: Repair::new(seed.rotate_left(32)),
            pacing: Pacing::new(now),
            round_trips: RoundTrips::default(),
            next_probe_at: now,
            traffic: Traffic::default(),
            replaced: Vec::new(),
            left: false,
            config,
            local_peer,
        };
        membership.update_view(now);
        membership.timers.add(now, TimerEvent::Join);
        membership.timers.add(now + REVIEW_INTERVAL, TimerEvent::Review);
        membership
    }

    /// When the next timer is due.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    /// The identity under which other nodes know this process.
    pub fn local_peer(&self) -> &Peer {
        self.engine.identity()
    }

    /// The number of nodes that are present, including this one.
    fn nodes(&self) -> u32 {
        let counts = self.members.counts();
        (counts.present + counts.suspected) as u32 + u32::from(!self.local_peer.observer)
    }

    /// Whether it has left the cluster, or yielded its name.
    pub fn has_left(&self) -> bool {
        self.left
    }

    /// Whether a node with this identity is present.
    pub fn is_present(&self, identity: &IdentityKey) -> bool {
        let held = self.members.get(&identity.address);
        held.is_some_and(|held| {
            !held.peer.observer && !held.status.is_departed() && IdentityKey::from(&held.peer) == *identity
        })
    }

    /// Peers whose identity was replaced, with the same status, since the last call. Returns the new identities.
    pub fn take_replaced(&mut self) -> Vec<Peer> {
        std::mem::take(&mut self.replaced)
    }

    /// Runs the timers that are due.
    pub fn run_timers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let late = now.saturating_sub(self.next_timer().unwrap_or(now));
        if late > SUSPEND_THRESHOLD {
            // The process was suspended: all timers are delayed by that time.
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
        // It fails if timers of a probe run out of order, after a suspension; the next probe starts afresh.
        let _ = self.engine.handle_timer(timer, &mut effects);
        if !effects.removes_members() {
            // foca 2.0 notifies a suspect that it is down even if it has refuted the suspicion meanwhile. It would rejoin
            // under a new identity, and every view would change.
            effects.messages.retain(|message| Some(message.to) != suspect);
        }
        self.apply(now, effects, out);
    }

    /// Adapts the gossip limits of the engine to the rate of changes.
    fn follow_change_rate(&mut self, now: Micros) {
        let plan = self.change_rate.plan(now);
        if plan != self.gossip_plan {
            self.gossip_plan = plan;
            self.adapt_engine();
        }
    }

    /// Sends leave messages, so that the other nodes know at once and need not suspect this one.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        let message =
            LeaveMessage { address: self.local_peer().address, generation: self.local_peer().generation };
        let mut effects = EngineEffects::default();
        if let Ok(data) = postcard::to_stdvec(&message) {
            // It only fails for a message that is too long, and the length is bounded.
            let _ = self.engine.add_broadcast(&data);
            let _ = self.engine.broadcast(&mut effects);
        }
        let _ = self.engine.leave_cluster(&mut effects);
        self.apply(now, effects, out);
        self.left = true;
        self.timers.clear();
    }

    /// A summary of the view, without the list of peers.
    pub fn summary(&self) -> ViewSummary {
        ViewSummary {
            nodes: self.nodes(),
            effective_nodes: self.node_count.get(),
            agreement: self.agreement.agreement(),
            digest: self.agreement.digest(),
        }
    }

    /// The traffic sent so far, by kind.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// The view of the cluster.
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

    /// Contacts seeds, and nodes known earlier, for their member lists. It repeats for the lifetime of the process.
    fn join(&mut self, now: Micros, out: &mut Vec<Output>) {
        let isolated = self.engine.num_members() == 0;
        let own = self.local_peer().address;
        let nodes = self.members.iter().filter(|member| !member.peer.observer);
        let known_node = |member: &Member| match member.status {
            PeerStatus::Present => KnownNode::Present,
            _ => KnownNode::Absent,
        };
        let known: BTreeMap<_, _> = nodes.map(|member| (member.peer.address, known_node(member))).collect();
        let attempt = self.joining.attempt(own, isolated, &known, &mut self.random);
        let mut effects = EngineEffects::default();
        for address in attempt.addresses {
            // It only fails for a message that is too long, which cannot occur.
            let _ = self.engine.announce(placeholder_peer(address), &mut effects);
        }
        self.apply(now, effects, out);
        self.timers.add(now + micros(attempt.wait), TimerEvent::Join);
    }
}

fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// A placeholder for the unknown identity at an address, which an announce is sent to.
fn placeholder_peer(address: SocketAddr) -> Peer {
    Peer { address, generation: 0, salt: 0, observer: false, name: String::new(), metadata: Vec::new() }
}

#[cfg(test)]
mod tests;
