//! Anti-entropy: two peers whose views differ find where, and each pulls what it lacks.
//!
//! ```text
//! A                                    B
//! Compare                         ->                (A's digest is in every envelope)
//!                                 <-   Digests      of parts of the view, where the whole differs
//! Lives, of parts that differ     ->
//!                                 <-   Wanted, Offered, Gone
//! Records, Wanted, Gone           ->
//!                                 <-   Records
//! ```
//!
//! No message needs another one before it: a lost one is made up for by the next comparison. Lives are told by tags of
//! eight bytes; identities are sent to those alone that ask for them. One that came back after it had been declared gone
//! is told by its tag alone, as its new identity follows from the one before.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::HashMap;

use super::digest::{part_of, LifeTag, Partition};
use super::members::{Member, MemberTable};
use super::view::PeerStatus;
use crate::peers::identity::Peer;
use crate::peers::Micros;

/// Bytes of the messages in one datagram at the most: with the envelope and the sender it stays within its bound.
const MESSAGE_BYTES: usize = 1_100;
/// Of these, what stands before the records of one message: its kind and their number.
const RECORDS_HEAD_BYTES: usize = 3;
/// Lives in one message at the most.
const MOST_LIVES: usize = 120;
/// Lives that are asked for at once: their records are sent in a few datagrams.
const MOST_WANTED: usize = 96;
/// Lives that are said to be gone at once.
const MOST_GONE: usize = 32;
/// A record that was asked for is not asked for again for so long.
const WANTED_FOR: Micros = 400_000;
/// A life that the engine refused, as it knows it for gone, is not asked for again for so long.
const REFUSED_FOR: Micros = 30_000_000;
/// Comparisons are answered with digests this often at the most: where all differ from one, it need not hear it from all.
const ANSWER_EVERY: Micros = 100_000;
/// Where much differs from several peers, one of them at a time is told all of it: each would bring the same.
const LONG_LIST_EVERY: Micros = 100_000;
/// A list of no more lives is not long.
const SHORT_LIST: usize = 30;
/// Renewals of an identity that are tried to find a life that is not known by its tag.
const RENEWALS: usize = 3;

/// Lives by the part of the view that they belong to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::peers) struct LivesByPart {
    partition: Partition,
    parts: Vec<PartLives>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PartLives {
    part: u16,
    lives: Vec<LifeTag>,
}

impl LivesByPart {
    fn new(partition: Partition) -> Self {
        Self { partition, parts: Vec::new() }
    }

    fn add(&mut self, part: u16, tag: LifeTag) {
        match self.parts.last_mut().filter(|last| last.part == part) {
            Some(last) => last.lives.push(tag),
            None => self.parts.push(PartLives { part, lives: vec![tag] }),
        }
    }

    fn len(&self) -> usize {
        self.parts.iter().map(|part| part.lives.len()).sum()
    }

    fn is_valid(&self) -> bool {
        let parts = self.partition.is_valid().then(|| self.partition.parts());
        parts.is_some_and(|parts| self.parts.iter().all(|part| part.part < parts))
    }
}

/// Digests of all parts of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::peers) struct PartDigests {
    partition: Partition,
    nonce: u32,
    digests: Vec<u16>,
}

/// A member that is present.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::peers) struct Record {
    pub peer: Peer,
    pub incarnation: foca::Incarnation,
}

/// Lives that are gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::peers) struct GoneLives {
    /// They said farewell.
    left: bool,
    lives: LivesByPart,
}

/// What peers tell each other to repair their views.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::peers) enum RepairMessage {
    /// Asks for the other one's digests.
    Compare,
    /// Digests of parts of the sender's view.
    Digests(PartDigests),
    /// Nodes of the sender's view in parts that differ.
    Lives(LivesByPart),
    /// Lives whose records the sender asks for.
    Wanted(LivesByPart),
    /// Lives that the sender holds and the other one does not.
    Offered(LivesByPart),
    /// Lives that the sender knows for gone.
    Gone(GoneLives),
    /// Members that were asked for.
    Records(Vec<Record>),
}

/// What follows from a message.
#[derive(Default)]
pub(super) struct RepairOutcome {
    /// Messages in answer, each list for a datagram of its own.
    pub answers: Vec<Vec<RepairMessage>>,
    /// Lists of lives, which may wait for another comparison.
    pub lists: Vec<Vec<RepairMessage>>,
    /// Members that are present.
    pub alive: Vec<Record>,
    /// Members that are gone, and whether they said farewell.
    pub gone: Vec<(Peer, bool)>,
}

/// The node's view, as the repair reads it.
#[derive(Clone, Copy)]
pub(super) struct LocalView<'a> {
    pub me: &'a Peer,
    pub members: &'a MemberTable,
    pub nodes: u32,
}

impl LocalView<'_> {
    /// The tags of the nodes of a part, the node itself among them.
    fn tags(&self, partition: Partition, part: u16) -> Vec<LifeTag> {
        let range = partition.finest(part);
        let own = !self.me.observer && range.contains(&part_of(self.me.address));
        let own = own.then(|| LifeTag::of(self.me));
        let members = self.members.in_parts(range).filter(|member| member.is_counted());
        members.map(|member| member.tag).chain(own).collect()
    }

    fn record(&self, partition: Partition, part: u16, tag: LifeTag) -> Option<Record> {
        let range = partition.finest(part);
        if range.contains(&part_of(self.me.address)) && LifeTag::of(self.me) == tag {
            return Some(Record { peer: self.me.clone(), incarnation: 0 });
        }
        let member = self.members.in_parts(range).find(|member| member.tag == tag)?;
        let record = Record { peer: member.peer.clone(), incarnation: member.word.incarnation };
        member.is_counted().then_some(record)
    }
}

/// How a life that another one holds stands here.
enum LocalKnowledge<'a> {
    Held,
    Gone(&'a Member),
    /// It is what a known life becomes after it was declared gone.
    Renewed(Peer),
    /// A later life of its address is known.
    Superseded,
    Unknown,
}

/// One side of the exchanges.
pub(super) struct Repair {
    random: fastrand::Rng,
    /// Lives that are not asked for until then.
    not_before: HashMap<LifeTag, Micros>,
    /// Digests are not told again until then.
    answers_from: Micros,
    /// A long list of lives is not sent again until then.
    lists_from: Micros,
}

impl Repair {
    pub fn new(seed: u64) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
            not_before: HashMap::new(),
            answers_from: 0,
            lists_from: 0,
        }
    }

    /// Forgets what no longer holds.
    pub fn expire(&mut self, now: Micros) {
        self.not_before.retain(|_, until| now < *until);
    }

    /// Whether another comparison may be answered with digests.
    pub fn may_answer(&mut self, now: Micros) -> bool {
        let may = now >= self.answers_from;
        if may {
            self.answers_from = now + ANSWER_EVERY;
        }
        may
    }

    /// The engine did not take over a life.
    pub fn refused(&mut self, now: Micros, peer: &Peer) {
        self.not_before.insert(LifeTag::of(peer), now + REFUSED_FOR);
    }

    /// The digests of all parts of a view.
    pub fn digests(&mut self, view: LocalView) -> RepairMessage {
        let (partition, nonce) = (Partition::for_nodes(view.nodes), self.random.u32(..));
        let short = |part| view.members.digest().short(partition, part, nonce);
        let digests = (0..partition.parts()).map(short).collect();
        RepairMessage::Digests(PartDigests { partition, nonce, digests })
    }

    /// A message has come.
    pub fn receive(&mut self, now: Micros, view: LocalView, message: RepairMessage) -> RepairOutcome {
        match message {
            RepairMessage::Compare => RepairOutcome::default(),
            RepairMessage::Digests(digests) => self.compare_digests(now, view, &digests),
            RepairMessage::Lives(lives) if lives.is_valid() => self.compare_lives(now, view, &lives),
            RepairMessage::Wanted(lives) if lives.is_valid() => send_records(view, &lives),
            RepairMessage::Offered(lives) if lives.is_valid() => self.take_offer(now, view, &lives),
            RepairMessage::Gone(gone) if gone.lives.is_valid() => bury(view, &gone),
            RepairMessage::Records(alive) => RepairOutcome { alive, ..RepairOutcome::default() },
            _ => RepairOutcome::default(),
        }
    }

    /// Lists the nodes of parts that differ, from a random one on: another comparison lists others.
    fn compare_digests(&mut self, now: Micros, view: LocalView, theirs: &PartDigests) -> RepairOutcome {
        let (partition, mut outcome) = (theirs.partition, RepairOutcome::default());
        if !partition.is_valid() || theirs.digests.len() != usize::from(partition.parts()) {
            return outcome;
        }
        let differing = (0..)
            .zip(&theirs.digests)
            .filter(|(part, digest)| view.members.digest().short(partition, *part, theirs.nonce) != **digest);
        let mut differing: Vec<u16> = differing.map(|(part, _)| part).collect();
        if !differing.is_empty() {
            let start = self.random.usize(0..differing.len());
            differing.rotate_left(start);
        }
        let mut lives = LivesByPart::new(partition);
        let mut listed = 0;
        for part in differing {
            let tags = view.tags(partition, part);
            if listed > 0 && listed + tags.len() > MOST_LIVES {
                break;
            }
            listed += tags.len() + 1;
            lives.parts.push(PartLives { part, lives: tags });
        }
        let is_long = listed > SHORT_LIST;
        if lives.parts.is_empty() || (is_long && now < self.lists_from) {
            return outcome;
        }
        if is_long {
            self.lists_from = now + LONG_LIST_EVERY;
        }
        outcome.lists.push(vec![RepairMessage::Lives(lives)]);
        outcome
    }

    /// Compares the other one's nodes with those of this view.
    fn compare_lives(&mut self, now: Micros, view: LocalView, theirs: &LivesByPart) -> RepairOutcome {
        let mut offered = LivesByPart::new(theirs.partition);
        for part in &theirs.parts {
            let missing = view.tags(theirs.partition, part.part);
            let missing = missing.into_iter().filter(|tag| !part.lives.contains(tag));
            missing
                .take(MOST_LIVES.saturating_sub(offered.len()))
                .for_each(|tag| offered.add(part.part, tag));
        }
        let (mut outcome, messages) = self.take_lives(now, view, theirs);
        outcome.answer(messages);
        if offered.len() > 0 {
            outcome.lists.push(vec![RepairMessage::Offered(offered)]);
        }
        outcome
    }

    fn take_offer(&mut self, now: Micros, view: LocalView, theirs: &LivesByPart) -> RepairOutcome {
        let (mut outcome, messages) = self.take_lives(now, view, theirs);
        outcome.answer(messages);
        outcome
    }

    /// What follows from lives that another one holds.
    fn take_lives(
        &mut self,
        now: Micros,
        view: LocalView,
        theirs: &LivesByPart,
    ) -> (RepairOutcome, Vec<RepairMessage>) {
        let partition = theirs.partition;
        let mut outcome = RepairOutcome::default();
        let mut wanted = LivesByPart::new(partition);
        let mut lost = LivesByPart::new(partition);
        let mut left = LivesByPart::new(partition);
        for part in &theirs.parts {
            for &tag in &part.lives {
                match knowledge(view, partition, part.part, tag) {
                    LocalKnowledge::Held | LocalKnowledge::Superseded => {}
                    LocalKnowledge::Renewed(peer) => outcome.alive.push(Record { peer, incarnation: 0 }),
                    LocalKnowledge::Gone(member) => {
                        let gone = if member.standing == PeerStatus::Left { &mut left } else { &mut lost };
                        if gone.len() < MOST_GONE {
                            gone.add(part.part, tag);
                        }
                    }
                    LocalKnowledge::Unknown if wanted.len() < MOST_WANTED && self.may_want(now, tag) => {
                        wanted.add(part.part, tag);
                    }
                    LocalKnowledge::Unknown => {}
                }
            }
        }
        let mut messages = Vec::new();
        if wanted.len() > 0 {
            messages.push(RepairMessage::Wanted(wanted));
        }
        for (lives, left) in [(lost, false), (left, true)] {
            if lives.len() > 0 {
                messages.push(RepairMessage::Gone(GoneLives { left, lives }));
            }
        }
        (outcome, messages)
    }

    fn may_want(&mut self, now: Micros, tag: LifeTag) -> bool {
        let may = self.not_before.get(&tag).is_none_or(|until| now >= *until);
        if may {
            self.not_before.insert(tag, now + WANTED_FOR);
        }
        may
    }
}

impl RepairOutcome {
    /// Adds messages to be sent, in as many datagrams as they need.
    fn answer(&mut self, messages: Vec<RepairMessage>) {
        let mut bytes = usize::MAX;
        for message in messages {
            let length = encoded_length(&message);
            bytes = bytes.saturating_add(length);
            if bytes > MESSAGE_BYTES {
                (bytes, _) = (length, self.answers.push(Vec::new()));
            }
            self.answers.last_mut().into_iter().for_each(|datagram| datagram.push(message.clone()));
        }
    }
}

fn knowledge(view: LocalView<'_>, partition: Partition, part: u16, tag: LifeTag) -> LocalKnowledge<'_> {
    if LifeTag::of(view.me).same_address(&tag) && partition.finest(part).contains(&part_of(view.me.address)) {
        return LocalKnowledge::Held;
    }
    let mut members = view.members.in_parts(partition.finest(part));
    let Some(member) = members.find(|member| member.tag.same_address(&tag)) else {
        return LocalKnowledge::Unknown;
    };
    if member.tag == tag {
        return match member.is_counted() {
            true => LocalKnowledge::Held,
            false => LocalKnowledge::Gone(member),
        };
    }
    if tag.compare_order(&member.tag) == Ordering::Less {
        return LocalKnowledge::Superseded;
    }
    let renewals = std::iter::successors(foca::Identity::renew(&member.peer), foca::Identity::renew);
    let renewed = renewals.take(RENEWALS).find(|peer| LifeTag::of(peer) == tag);
    renewed.map_or(LocalKnowledge::Unknown, LocalKnowledge::Renewed)
}

fn send_records(view: LocalView, wanted: &LivesByPart) -> RepairOutcome {
    let mut outcome = RepairOutcome::default();
    let (mut records, mut bytes) = (Vec::new(), 0);
    let lives = wanted.parts.iter().flat_map(|part| part.lives.iter().map(|tag| (part.part, *tag)));
    for (part, tag) in lives.take(MOST_WANTED) {
        let Some(record) = view.record(wanted.partition, part, tag) else { continue };
        let length = postcard::to_stdvec(&record).map_or(0, |data| data.len());
        if RECORDS_HEAD_BYTES + bytes + length > MESSAGE_BYTES {
            outcome.answers.push(vec![RepairMessage::Records(std::mem::take(&mut records))]);
            bytes = 0;
        }
        bytes += length;
        records.push(record);
    }
    if !records.is_empty() {
        outcome.answers.push(vec![RepairMessage::Records(records)]);
    }
    outcome
}

/// Members of this view that the other one knows for gone.
fn bury(view: LocalView, gone: &GoneLives) -> RepairOutcome {
    let mut outcome = RepairOutcome::default();
    for part in &gone.lives.parts {
        let range = gone.lives.partition.finest(part.part);
        let held = |member: &&Member| member.is_counted() && part.lives.contains(&member.tag);
        let members = view.members.in_parts(range).filter(held);
        outcome.gone.extend(members.map(|member| (member.peer.clone(), gone.left)));
        if part.lives.contains(&LifeTag::of(view.me)) {
            outcome.gone.push((view.me.clone(), false));
        }
    }
    outcome
}

fn encoded_length(message: &RepairMessage) -> usize {
    postcard::to_stdvec(message).map_or(0, |data| data.len())
}

#[cfg(test)]
mod tests;
