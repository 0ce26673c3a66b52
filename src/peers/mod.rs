//! Membership among the nodes, sans-I/O: datagrams and time in; datagrams, times and news out. The engine is `foca`
//! (SWIM with suspicion, incarnations and piggybacked dissemination: Das, Gupta, Motivala, "SWIM: Scalable
//! Weakly-consistent Infection-style Process Group Membership Protocol", 2002), the codec `postcard`. What is added here:
//! one cluster's datagrams apart from another's, views that can be compared, a process that was asleep, names claimed
//! twice, and the count of nodes that may be relied on. `docs/membership.md` tells it all.

mod budget;
mod count;
pub mod dissemination;
mod identity;

pub use budget::{ByteBudget, TrafficClass};
pub use count::{Count, CountRules};
pub use identity::Peer;

use foca::{BroadcastHandler, Foca, Invalidates, Notification, PostcardCodec, Runtime, State, Timer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Microseconds on the caller's monotonic clock.
pub type Micros = u64;

/// The version of the envelope. A later one adds to `more`; it never changes what stands before.
const SCHEMA: u16 = 1;
/// Datagrams are no longer than this: what passes any path of the Internet protocol's, version 6, in one piece.
pub const LARGEST: usize = 1_232;
/// Of that, the envelope's own.
const ENVELOPE: usize = 96;
/// Peers that are held at the most; datagrams of others are dropped.
const MOST_PEERS: usize = 20_000;
/// Datagrams that are read in a second at the most, and how many may be saved up.
const MOST_DATAGRAMS: f64 = 4_000.0;
/// A timer that comes later than this was not late: the process stood still, and its own time with it.
const ASLEEP: Micros = 700_000;
/// What a peer said of its view counts for so long.
const FRESH: Micros = 5_000_000;
/// A view is agreed when nothing spoke against it for so long.
const SETTLED: Micros = 1_000_000;
/// A view is agreed with this part of its nodes suspected, or one: where datagrams are lost somebody always is.
const FEW_SUSPECTS: f64 = 0.1;
/// With more than this part of its nodes suspected, a node trusts its own eyes less: suspects have longer to speak up, as
/// those that could vouch for them are missing too (Lifeguard's local health: Dadgar, Phillips, Currey, 2018).
const MANY_SUSPECTS: f64 = 0.1;
/// By so many times.
const PATIENT: f64 = 3.0;
/// A peer whose view differed when it was last heard, that long ago, is asked for its list.
const ASKED_AFTER: Micros = 400_000;
/// So many at once.
const ASK_WIDTH: usize = 3;
/// Views that differ for longer are split.
const SPLIT_AFTER: Micros = 10_000_000;
/// Addresses that are tried when nobody is left, beside the seeds.
const REMEMBERED: usize = 1_024;
/// Farewells that are remembered.
const FAREWELLS: usize = 1_024;
/// Waits before seeds are asked again: the first, doubled up to the most.
const JOIN_FIRST: Duration = Duration::from_millis(250);
const JOIN_MOST: Duration = Duration::from_secs(5);
/// Seeds or remembered peers that are asked at once.
const JOIN_WIDTH: usize = 3;
/// A node that has company still asks a seed this often: two fleets that never met find each other.
const JOIN_ALWAYS: Duration = Duration::from_secs(20);

/// How a peer takes part.
#[derive(Clone, Debug, PartialEq)]
pub struct PeersConfig {
    /// Datagrams of another cluster are dropped.
    pub cluster: String,
    /// Where others may be found; any of them may be down.
    pub seeds: Vec<SocketAddr>,
    /// Each peer probes another one this often.
    pub probe_every: Duration,
    /// An answer that takes longer is asked for by way of others; at the most half of `probe_every`.
    pub probe_timeout: Duration,
    /// Suspects have this many times `probe_every`, and more the more peers there are, to speak up.
    pub suspicion: f64,
    /// When fewer nodes may be believed.
    pub count: CountRules,
    /// The configured number of nodes.
    pub nodes: u32,
}

impl Default for PeersConfig {
    fn default() -> Self {
        Self {
            cluster: "walkpick".to_owned(),
            seeds: Vec::new(),
            probe_every: Duration::from_millis(400),
            probe_timeout: Duration::from_millis(180),
            suspicion: 3.0,
            count: CountRules::default(),
            nodes: 1,
        }
    }
}

impl PeersConfig {
    /// The engine's settings in a cluster of so many.
    fn engine(&self, peers: usize, suspects: usize) -> foca::Config {
        // Rounds until all have heard grow with the logarithm of their number (SWIM, section 4.1).
        let rounds = (peers.max(2) as f64).log10().max(1.0);
        let patience = if suspects as f64 > MANY_SUSPECTS * peers as f64 { PATIENT } else { 1.0 };
        let suspect_for = self.probe_every.mul_f64(self.suspicion * rounds * patience);
        let transmissions = (3.0 * (peers.max(2) as f64).log2().max(2.0)).min(64.0) as u8;
        let number = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let periodic = |every: Duration, width: usize| {
            Some(foca::PeriodicParams { frequency: every, num_members: number(width) })
        };
        foca::Config {
            probe_period: self.probe_every,
            probe_rtt: self.probe_timeout,
            num_indirect_probes: number(3),
            max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: suspect_for,
            remove_down_after: Some(Duration::from_secs(600)),
            max_packet_size: number(LARGEST - ENVELOPE),
            notify_down_members: true,
            // What was lost on the way is repaired by whole lists, from one peer at a time.
            periodic_announce: periodic(Duration::from_secs(5), 1),
            // What was cut off is looked for.
            periodic_announce_to_down_members: periodic(Duration::from_secs(2), 3),
            periodic_gossip: periodic(self.probe_every / 2, 3),
        }
    }
}

/// What every datagram begins with.
#[derive(Debug, Serialize, Deserialize)]
struct Envelope<'a> {
    schema: u16,
    cluster: &'a str,
    /// Of the sender's view: see [`Peers::digest`].
    digest: u64,
    /// Nodes in it.
    nodes: u32,
    /// The engine's message.
    #[serde(borrow)]
    payload: &'a [u8],
    /// What later versions add.
    #[serde(borrow)]
    more: &'a [u8],
}

/// A peer's word that it leaves. It rides on other messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Farewell {
    address: SocketAddr,
    order: u64,
}

impl Invalidates for Farewell {
    fn invalidates(&self, other: &Self) -> bool {
        self.address == other.address && self.order >= other.order
    }
}

#[derive(Debug, Error)]
#[error("no farewell: {0}")]
struct NoFarewell(#[from] postcard::Error);

/// The latest farewells; the engine hands them over, and [`Peers`] looks them up.
#[derive(Clone, Debug, Default)]
struct Farewells(Rc<RefCell<VecDeque<Farewell>>>);

impl Farewells {
    fn has(&self, peer: &Peer) -> bool {
        self.0.borrow().iter().any(|said| said.address == peer.address && said.order >= peer.order)
    }
}

impl BroadcastHandler<Peer> for Farewells {
    type Key = Farewell;
    type Error = NoFarewell;

    fn receive_item(&mut self, data: &[u8], _: Option<&Peer>) -> Result<Option<Farewell>, NoFarewell> {
        // What stands behind it is a later version's.
        let (said, _) = postcard::take_from_bytes::<Farewell>(data)?;
        let mut known = self.0.borrow_mut();
        if known.contains(&said) {
            return Ok(None);
        }
        if known.len() >= FAREWELLS {
            known.pop_front();
        }
        known.push_back(said);
        Ok(Some(said))
    }
}

/// How far the views of those that are heard lie apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Agreement {
    /// All that are heard have the same view, and nobody is suspected.
    Agreed,
    /// They differ, or somebody is suspected, and not for long.
    Converging,
    /// They differ for long, or half of the nodes are gone without a word: this one may be cut off.
    Split,
}

/// What became of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It answers.
    Present,
    /// It did not answer lately.
    Suspected,
    /// It said that it leaves.
    Left,
    /// It is gone without a word.
    Lost,
}

/// One peer as it is seen.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Seen {
    /// Who.
    pub peer: Peer,
    /// What became of it.
    pub standing: Standing,
    /// For how long, in microseconds.
    pub since: Micros,
}

/// What a node sees of its cluster.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct View {
    /// All peers that it knows of, itself apart, by name.
    pub peers: Vec<Seen>,
    /// Nodes that are present, itself among them.
    pub nodes: u32,
    /// The count that it relies on.
    pub in_force: u32,
    /// How far views lie apart.
    pub agreement: Agreement,
    /// For how long, in microseconds.
    pub since: Micros,
    /// Its own view's digest.
    pub digest: u64,
    /// Digests of others that differ, with those that have them.
    pub differing: BTreeMap<u64, Vec<SocketAddr>>,
}

/// The figures of a [`View`] that cost nothing to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewSummary {
    /// Nodes that are present, the node itself among them.
    pub nodes: u32,
    /// The count that it relies on.
    pub in_force: u32,
    /// How far views lie apart.
    pub agreement: Agreement,
    /// The digest of its view.
    pub digest: u64,
}

/// Datagrams that were dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Dropped {
    /// Of another cluster.
    pub foreign: u64,
    /// That cannot be read, or that nobody would send.
    pub malformed: u64,
    /// Over the bound on what is read.
    pub flood: u64,
    /// Of peers over the bound on how many are held.
    pub crowd: u64,
}

/// What the caller must do, or hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// Its bytes.
        data: Vec<u8>,
    },
    /// A peer stands differently.
    Standing {
        /// Who.
        peer: Peer,
        /// How.
        standing: Standing,
    },
    /// Views lie apart, or together, differently.
    Agreement(Agreement),
    /// The count that may be relied on has changed.
    Count(u32),
    /// Another process claims this name. `yields`: this one leaves the cluster to it, for good.
    NameClaimed {
        /// The other one.
        by: Peer,
        /// Whether this process gives way.
        yields: bool,
    },
    /// Others had declared this process gone; it has come back under a new identity.
    CameBack,
}

/// What the engine asks for, as it comes.
#[derive(Default)]
struct Asked {
    sends: Vec<(SocketAddr, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Peer>)>,
    up: Vec<Peer>,
    down: Vec<Peer>,
    renamed: Vec<(Peer, Peer)>,
    came_back: bool,
}

impl Runtime<Peer> for Asked {
    fn notify(&mut self, notification: Notification<'_, Peer>) {
        match notification {
            Notification::MemberUp(peer) => self.up.push(peer.clone()),
            Notification::MemberDown(peer) => self.down.push(peer.clone()),
            Notification::Rename(before, after) => self.renamed.push((before.clone(), after.clone())),
            Notification::Rejoin(_) => self.came_back = true,
            _ => {}
        }
    }

    fn send_to(&mut self, to: Peer, data: &[u8]) {
        self.sends.push((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Peer>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// What is due at a time.
#[derive(Debug)]
enum Due {
    Engine(Timer<Peer>),
    Join,
    Look,
}

struct Pending {
    at: Micros,
    place: u64,
    due: Due,
}

impl PartialEq for Pending {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.place) == (other.at, other.place)
    }
}
impl Eq for Pending {}
impl PartialOrd for Pending {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Pending {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.place).cmp(&(other.at, other.place))
    }
}

/// What a peer said of its view.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Micros,
    digest: u64,
}

/// One process's part in the membership.
pub struct Peers {
    config: PeersConfig,
    me: Peer,
    foca: Foca<Peer, PostcardCodec, SmallRng, Farewells>,
    farewells: Farewells,
    random: fastrand::Rng,
    pending: BinaryHeap<Reverse<Pending>>,
    place: u64,
    /// By address.
    standing: HashMap<SocketAddr, (Peer, Standing, Micros)>,
    heard: HashMap<SocketAddr, Heard>,
    remembered: VecDeque<SocketAddr>,
    digest: u64,
    nodes: u32,
    /// Since when the view is what it is.
    unchanged: Micros,
    agreement: (Agreement, Micros),
    /// Since when views differ.
    differ: Option<Micros>,
    /// The largest number of nodes of late, and until when it is remembered.
    largest: (u32, Micros),
    count: Count,
    wait: Duration,
    /// Datagrams that may still be read, and when that was reckoned.
    allowance: (f64, Micros),
    dropped: Dropped,
    /// It has left, or gave its name up.
    out: bool,
}

impl Peers {
    /// A process that has not met anybody. `seed`: for its random draws.
    pub fn new(config: PeersConfig, me: Peer, seed: u64, now: Micros) -> Self {
        let random = SmallRng::seed_from_u64(seed);
        let engine = config.engine(config.nodes as usize, 0);
        let farewells = Farewells::default();
        let handler = farewells.clone();
        let foca = Foca::with_custom_broadcast(me.clone(), engine, random, PostcardCodec, handler);
        let mut peers = Self {
            count: Count::new(config.count, config.nodes),
            largest: (1, 0),
            random: fastrand::Rng::with_seed(!seed),
            pending: BinaryHeap::new(),
            place: 0,
            standing: HashMap::new(),
            heard: HashMap::new(),
            remembered: VecDeque::new(),
            digest: 0,
            nodes: 0,
            unchanged: now,
            agreement: (Agreement::Converging, now),
            differ: Some(now),
            wait: JOIN_FIRST,
            allowance: (MOST_DATAGRAMS, now),
            dropped: Dropped::default(),
            out: false,
            config,
            foca,
            farewells,
            me,
        };
        peers.recount(now);
        peers.later(now, Due::Join);
        peers.later(now + SETTLED / 4, Due::Look);
        peers
    }

    /// When it wants to be called next.
    pub fn next(&self) -> Option<Micros> {
        self.pending.peek().map(|Reverse(pending)| pending.at)
    }

    /// Datagrams that were dropped up to now.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// Itself, as others know it.
    pub fn me(&self) -> &Peer {
        self.foca.identity()
    }

    fn later(&mut self, at: Micros, due: Due) {
        self.place += 1;
        self.pending.push(Reverse(Pending { at, place: self.place, due }));
    }

    /// A datagram has come.
    pub fn datagram(&mut self, now: Micros, data: &[u8], out: &mut Vec<Output>) {
        let (left, at) = self.allowance;
        let refilled = left + now.saturating_sub(at) as f64 * MOST_DATAGRAMS / 1e6;
        self.allowance = (refilled.min(MOST_DATAGRAMS), now);
        if self.allowance.0 < 1.0 {
            self.dropped.flood += 1;
            return;
        }
        self.allowance.0 -= 1.0;
        if self.out {
            return;
        }
        let Ok((envelope, _)) = postcard::take_from_bytes::<Envelope>(data) else {
            self.dropped.malformed += 1;
            return;
        };
        if envelope.cluster != self.config.cluster {
            self.dropped.foreign += 1;
            return;
        }
        // Who sent it is in it: behind a relay or a mapping it comes from elsewhere.
        let Ok((header, _)) = postcard::take_from_bytes::<foca::Header<Peer>>(envelope.payload) else {
            self.dropped.malformed += 1;
            return;
        };
        let sender = header.src.address;
        if self.standing.len() >= MOST_PEERS && !self.standing.contains_key(&sender) {
            self.dropped.crowd += 1;
            return;
        }
        let mut asked = Asked::default();
        if self.foca.handle_data(envelope.payload, &mut asked).is_err() {
            self.dropped.malformed += 1;
        }
        let digest = envelope.digest;
        self.carry_out(now, asked, out);
        if self.standing.get(&sender).is_some_and(|(peer, ..)| !peer.observer) {
            self.heard.insert(sender, Heard { at: now, digest });
        }
    }

    /// Time has come for what is due. Datagrams that wait are to be handed over first: after a sleep they say who is
    /// there, while timers would only say who did not answer a process that stood still.
    pub fn timers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let first = self.next().unwrap_or(now);
        let late = now.saturating_sub(first);
        if late > ASLEEP {
            // Its own clock stood still: all that was due is due as much later.
            let pending: Vec<_> = std::mem::take(&mut self.pending).into_vec();
            let moved = pending.into_iter().map(|Reverse(p)| Reverse(Pending { at: p.at + late, ..p }));
            self.pending = moved.collect();
            self.heard.clear();
            self.unchanged = now;
        }
        while self.next().is_some_and(|at| at <= now) {
            let Some(Reverse(Pending { due, .. })) = self.pending.pop() else { return };
            match due {
                Due::Engine(timer) => {
                    let mut asked = Asked::default();
                    let suspect = match &timer {
                        Timer::ChangeSuspectToDown { member_id, .. } => Some(member_id.address),
                        _ => None,
                    };
                    // An error is a probe whose timers came out of order, after a sleep: the next one begins anew.
                    let _ = self.foca.handle_timer(timer, &mut asked);
                    if asked.down.is_empty() {
                        // foca 2.0 tells a suspect that it is gone even where that one has cleared itself meanwhile: it
                        // would come back under a new identity, and every view with it.
                        asked.sends.retain(|(to, _)| Some(*to) != suspect);
                    }
                    self.carry_out(now, asked, out);
                }
                Due::Join => self.join(now, out),
                Due::Look => {
                    self.look(now, out);
                    self.later(now + SETTLED / 4, Due::Look);
                }
            }
        }
    }

    /// Says farewell: the others know at once, and suspect nothing.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.out {
            return;
        }
        let said = Farewell { address: self.me().address, order: self.me().order };
        let mut asked = Asked::default();
        if let Ok(data) = postcard::to_stdvec(&said) {
            // Errors would be of its size alone, which is bounded.
            let _ = self.foca.add_broadcast(&data);
            let _ = self.foca.broadcast(&mut asked);
        }
        let _ = self.foca.leave_cluster(&mut asked);
        self.carry_out(now, asked, out);
        self.out = true;
        self.pending.clear();
    }

    /// The figures of its view, without the list of peers.
    pub fn summary(&self) -> ViewSummary {
        ViewSummary {
            nodes: self.nodes,
            in_force: self.count.in_force(),
            agreement: self.agreement.0,
            digest: self.digest,
        }
    }

    /// What it sees.
    pub fn view(&self, now: Micros) -> View {
        let mut peers: Vec<_> = self.standing.values().collect();
        peers.sort_by(|a, b| (&a.0.name, a.0.address).cmp(&(&b.0.name, b.0.address)));
        let seen = peers.into_iter().map(|(peer, standing, since)| Seen {
            peer: peer.clone(),
            standing: *standing,
            since: now.saturating_sub(*since),
        });
        let mut differing: BTreeMap<u64, Vec<SocketAddr>> = BTreeMap::new();
        for (address, heard) in self.fresh(now).filter(|(_, heard)| heard.digest != self.digest) {
            differing.entry(heard.digest).or_default().push(*address);
        }
        differing.values_mut().for_each(|addresses| addresses.sort());
        View {
            peers: seen.collect(),
            nodes: self.nodes,
            in_force: self.count.in_force(),
            agreement: self.agreement.0,
            since: now.saturating_sub(self.agreement.1),
            digest: self.digest,
            differing,
        }
    }

    fn fresh(&self, now: Micros) -> impl Iterator<Item = (&SocketAddr, &Heard)> {
        self.heard.iter().filter(move |(_, heard)| now < heard.at + FRESH)
    }

    /// Asks seeds, and peers that it knew, for whoever is there; for as long as it lives.
    fn join(&mut self, now: Micros, out: &mut Vec<Output>) {
        let alone = self.foca.num_members() == 0;
        let mut among: Vec<_> = self.config.seeds.clone();
        if alone {
            among.extend(self.remembered.iter().copied());
        }
        among.retain(|address| *address != self.me().address);
        if !alone {
            // One that is there already has nothing to tell.
            among.retain(|address| self.standing.get(address).is_none_or(|held| held.1 != Standing::Present));
        }
        self.random.shuffle(&mut among);
        let mut asked = Asked::default();
        for address in among.into_iter().take(JOIN_WIDTH) {
            let unknown =
                Peer { address, order: 0, salt: 0, observer: false, name: String::new(), more: Vec::new() };
            // Errors would be of its size alone.
            let _ = self.foca.announce(unknown, &mut asked);
        }
        self.carry_out(now, asked, out);
        self.wait = if alone { (self.wait * 2).min(JOIN_MOST) } else { JOIN_ALWAYS };
        // Drawn apart: peers that start together don't ask together.
        let wait = self.wait.mul_f64(0.5 + self.random.f64());
        self.later(now + wait.as_micros() as Micros, Due::Join);
    }

    fn carry_out(&mut self, now: Micros, asked: Asked, out: &mut Vec<Output>) {
        let Asked { sends, timers, up, down, renamed, came_back } = asked;
        for (after, timer) in timers {
            self.later(now + after.as_micros() as Micros, Due::Engine(timer));
        }
        let changed = !(up.is_empty() && down.is_empty() && renamed.is_empty() && !came_back);
        if came_back {
            self.me = self.foca.identity().clone();
            out.push(Output::CameBack);
        }
        for (_, after) in &renamed {
            if let Some(held) = self.standing.get_mut(&after.address) {
                held.0 = after.clone();
            }
        }
        for peer in down {
            let standing = match self.farewells.has(&peer) {
                true => Standing::Left,
                false => Standing::Lost,
            };
            self.stands(now, peer, standing, out);
        }
        for peer in up {
            self.stands(now, peer, Standing::Present, out);
        }
        if changed {
            self.recount(now);
            self.adapt();
            self.look_for_claims(now, out);
        }
        self.send(sends, out);
        if changed {
            self.look(now, out);
        }
    }

    fn send(&self, sends: Vec<(SocketAddr, Vec<u8>)>, out: &mut Vec<Output>) {
        for (to, payload) in sends {
            let envelope = Envelope {
                schema: SCHEMA,
                cluster: &self.config.cluster,
                digest: self.digest,
                nodes: self.nodes,
                payload: &payload,
                more: &[],
            };
            if let Ok(data) = postcard::to_stdvec(&envelope) {
                out.push(Output::Send { to, data });
            }
        }
    }

    /// The engine's times follow the number of peers, and of those in doubt.
    fn adapt(&mut self) {
        let suspects = self.standing.values().filter(|held| held.1 == Standing::Suspected).count();
        let engine = self.config.engine(self.foca.num_members() + 1, suspects);
        // What differs are times and numbers that may change at any moment.
        let _ = self.foca.set_config(engine);
    }

    fn stands(&mut self, now: Micros, peer: Peer, standing: Standing, out: &mut Vec<Output>) {
        if standing == Standing::Present && !peer.observer {
            self.remembered.retain(|address| *address != peer.address);
            self.remembered.push_front(peer.address);
            self.remembered.truncate(REMEMBERED);
        }
        if matches!(standing, Standing::Left | Standing::Lost) {
            self.heard.remove(&peer.address);
        }
        let before = self.standing.insert(peer.address, (peer.clone(), standing, now));
        // An observer that goes is nobody's loss.
        if peer.observer && standing != Standing::Present {
            self.standing.remove(&peer.address);
        }
        if before.is_none_or(|(held, was, _)| (held, was) != (peer.clone(), standing)) {
            out.push(Output::Standing { peer, standing });
        }
    }

    /// Two processes of one name: both say so, and the one that goes before keeps it.
    fn look_for_claims(&mut self, now: Micros, out: &mut Vec<Output>) {
        let claims = |peer: &&Peer| !peer.observer && peer.name == self.me.name;
        let by = self.foca.iter_members().map(foca::Member::id).find(claims).cloned();
        let Some(by) = by.filter(|_| !self.me.observer && !self.out) else { return };
        let yields = by.before(&self.me);
        out.push(Output::NameClaimed { by, yields });
        if yields {
            self.leave(now, out);
        }
    }

    /// The digest of a view: the sum, without regard to order, of a hash for each life of a node in it.
    fn recount(&mut self, now: Micros) {
        let nodes = self.foca.iter_members().map(foca::Member::id).chain([self.foca.identity()]);
        let (mut digest, mut count) = (0u64, 0u32);
        for peer in nodes.filter(|peer| !peer.observer) {
            digest = digest.wrapping_add(hash(peer));
            count += 1;
        }
        if digest != self.digest {
            (self.digest, self.unchanged) = (digest, now);
        }
        self.nodes = count;
        let memory = self.config.count.memory.as_micros() as Micros;
        if count >= self.largest.0 || now >= self.largest.1 {
            self.largest = (count, now + memory);
        }
    }

    /// Asks some of those whose view differed for their lists: the answer tells a present digest, and what was missed.
    fn ask_some(&mut self, now: Micros, out: &mut Vec<Output>) {
        let differs = |heard: &Heard| heard.digest != self.digest && now >= heard.at + ASKED_AFTER;
        let mut among: Vec<_> =
            self.heard.iter().filter(|(_, heard)| differs(heard)).map(|(at, _)| *at).collect();
        among.sort_unstable();
        self.random.shuffle(&mut among);
        let mut asked = Asked::default();
        for address in among.into_iter().take(ASK_WIDTH) {
            if let Some((peer, ..)) = self.standing.get(&address) {
                // Errors would be of its size alone.
                let _ = self.foca.announce(peer.clone(), &mut asked);
            }
        }
        self.send(asked.sends, out);
    }

    /// Looks at how far views lie apart, and at what may be relied on.
    fn look(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.out {
            return;
        }
        let mut suspected = Vec::new();
        let mut cleared = Vec::new();
        for member in self.foca.iter_members() {
            let standing = self.standing.get(&member.id().address).map(|held| held.1);
            match (member.state(), standing) {
                (State::Suspect, Some(Standing::Present)) => suspected.push(member.id().clone()),
                (State::Alive, Some(Standing::Suspected)) => cleared.push(member.id().clone()),
                _ => {}
            }
        }
        // A farewell may come after the word that its peer is gone.
        let late =
            self.standing.values().filter(|held| held.1 == Standing::Lost && self.farewells.has(&held.0));
        let late: Vec<_> = late.map(|held| held.0.clone()).collect();
        for peer in late {
            self.stands(now, peer, Standing::Left, out);
        }
        let doubts = !(suspected.is_empty() && cleared.is_empty());
        for peer in suspected {
            self.stands(now, peer, Standing::Suspected, out);
        }
        for peer in cleared {
            self.stands(now, peer, Standing::Present, out);
        }
        if doubts {
            self.adapt();
        }
        self.heard.retain(|_, heard| now < heard.at + FRESH);
        let suspects =
            self.standing.values().filter(|held| held.1 == Standing::Suspected && !held.0.observer);
        let suspects = suspects.count() as f64 > FEW_SUSPECTS * f64::from(self.nodes);
        // What was said before this view was is no word against it.
        let since = self.unchanged;
        let mut later = self.heard.values().filter(|heard| heard.at >= since).peekable();
        let heard = later.peek().is_some();
        let differs = later.any(|heard| heard.digest != self.digest);
        self.ask_some(now, out);
        // Alone, it agrees with itself: with those that it lost it does not.
        let quiet = (heard || self.nodes <= 1) && now >= since + SETTLED;
        if differs || suspects || !quiet {
            self.differ.get_or_insert(now);
        } else {
            self.differ = None;
        }
        if now >= self.largest.1 {
            self.largest = (self.nodes, now + self.config.count.memory.as_micros() as Micros);
        }
        // With no more than half of those that were there lately, it may be the one cut off.
        let lost = self.standing.values().filter(|held| held.1 == Standing::Lost && !held.0.observer);
        let lost = lost.count() as u32 >= self.largest.0.div_ceil(2) && self.nodes * 2 <= self.largest.0;
        let agreement = match self.differ {
            _ if lost => Agreement::Split,
            None => Agreement::Agreed,
            Some(since) if now < since + SPLIT_AFTER => Agreement::Converging,
            Some(_) => Agreement::Split,
        };
        if agreement != self.agreement.0 {
            self.agreement = (agreement, now);
            out.push(Output::Agreement(agreement));
        }
        // Fewer may be believed once those that are left agree, whatever became of the others: the count's own rule
        // keeps what follows from it in bounds.
        if self.count.sees(now, self.nodes, self.differ.is_none()) {
            out.push(Output::Count(self.count.in_force()));
        }
    }
}

/// The same at every node and in every build.
fn hash(peer: &Peer) -> u64 {
    let mix = |mut x: u64| {
        x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    };
    let address = match peer.address {
        SocketAddr::V4(address) => u64::from(address.ip().to_bits()) << 16 | u64::from(address.port()),
        SocketAddr::V6(address) => {
            let bits = address.ip().to_bits();
            mix(bits as u64) ^ (bits >> 64) as u64 ^ u64::from(address.port())
        }
    };
    mix(address ^ mix(peer.order ^ mix(u64::from(peer.salt))))
}
