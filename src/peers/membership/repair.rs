//! Anti-entropy: two peers whose views differ find out where, and each requests the members that it lacks.
//!
//! ```text
//! A                                    B
//! RequestDigests                  ->                (A's digest is in every envelope)
//!                                 <-   Digests      of the buckets of B's view, if the whole digest differs
//! Tags, of buckets that differ    ->
//!                                 <-   RequestRecords, Offer, Departed
//! Records, RequestRecords,        ->
//!   Departed
//!                                 <-   Records
//! ```
//!
//! No message depends on an earlier one: if one is lost, the next comparison repeats what it would have done. Identities
//! are listed as tags of eight bytes; a full identity is sent only on request. An identity that its process renewed after
//! being declared down is never sent in full: it can be derived from the previous identity and is recognized by its tag.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::HashMap;

use super::digest::{leaf_of, Bucketing, IdentityTag};
use super::members::{Member, MemberTable};
use super::view::PeerStatus;
use crate::peers::identity::Peer;
use crate::peers::Micros;

/// Maximum total size of the messages in one datagram; with the envelope and the sender it fits the datagram limit.
const MAX_DATAGRAM_MESSAGE_BYTES: usize = 1_100;
/// The part of that which a `Records` message uses before its first record: the message's kind and the record count.
const RECORDS_HEADER_BYTES: usize = 3;
/// Maximum number of tags in one message.
const MAX_LISTED_TAGS: usize = 120;
/// Maximum number of records requested at once; they fit in a few datagrams.
const MAX_REQUESTED_RECORDS: usize = 96;
/// Maximum number of departed identities reported at once.
const MAX_DEPARTED_TAGS: usize = 32;
/// A record that was requested is not requested again for this long.
const REQUEST_RETRY_AFTER: Micros = 400_000;
/// An identity that the engine rejected, because it holds it as departed, is not requested again for this long.
const REJECTED_RETRY_AFTER: Micros = 30_000_000;
/// Minimum interval between two responses with digests. Where all peers differ from one, it need not get digests from
/// every one of them.
const DIGESTS_INTERVAL: Micros = 100_000;
/// Minimum interval between two long lists of tags. Where the view differs a lot from several peers, each of them would
/// send the same records.
const LONG_LIST_INTERVAL: Micros = 100_000;
/// A list with more entries than this is long.
const MAX_SHORT_LIST: usize = 30;
/// How many renewals of a known identity are tried to recognize an unknown tag.
const MAX_RENEWALS: usize = 3;

/// Identity tags, grouped by the bucket of the view that their address belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::peers) struct TagsByBucket {
    bucketing: Bucketing,
    buckets: Vec<BucketTags>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BucketTags {
    bucket: u16,
    tags: Vec<IdentityTag>,
}

impl TagsByBucket {
    fn new(bucketing: Bucketing) -> Self {
        Self { bucketing, buckets: Vec::new() }
    }

    fn add(&mut self, bucket: u16, tag: IdentityTag) {
        match self.buckets.last_mut().filter(|last| last.bucket == bucket) {
            Some(last) => last.tags.push(tag),
            None => self.buckets.push(BucketTags { bucket, tags: vec![tag] }),
        }
    }

    fn len(&self) -> usize {
        self.buckets.iter().map(|bucket| bucket.tags.len()).sum()
    }

    fn is_valid(&self) -> bool {
        let buckets = self.bucketing.is_valid().then(|| self.bucketing.buckets());
        buckets.is_some_and(|buckets| self.buckets.iter().all(|bucket| bucket.bucket < buckets))
    }
}

/// Digests of all buckets of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::peers) struct BucketDigests {
    bucketing: Bucketing,
    nonce: u32,
    digests: Vec<u16>,
}

/// A member that is present.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::peers) struct Record {
    pub peer: Peer,
    pub incarnation: foca::Incarnation,
}

/// Identities that have departed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::peers) struct DepartedTags {
    /// They sent a leave message.
    left: bool,
    tags: TagsByBucket,
}

/// A message that peers exchange to repair their views.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::peers) enum RepairMessage {
    /// Requests the receiver's digests.
    RequestDigests,
    /// Digests of the buckets of the sender's view.
    Digests(BucketDigests),
    /// The nodes of the sender's view in buckets that differ.
    Tags(TagsByBucket),
    /// Requests the records of these identities.
    RequestRecords(TagsByBucket),
    /// Identities that the sender holds and the receiver lacks.
    Offer(TagsByBucket),
    /// Identities that the receiver holds and that the sender knows to have departed.
    Departed(DepartedTags),
    /// The members that were requested.
    Records(Vec<Record>),
}

/// The result of handling a message.
#[derive(Default)]
pub(super) struct RepairOutcome {
    /// Messages to respond with; each inner list is one datagram.
    pub responses: Vec<Vec<RepairMessage>>,
    /// Lists of tags to send; if they are dropped, a later comparison sends them.
    pub lists: Vec<Vec<RepairMessage>>,
    /// Members that are present.
    pub alive: Vec<Record>,
    /// Members that have departed, and whether they sent a leave message.
    pub departed: Vec<(Peer, bool)>,
}

/// The node's own view, as repair reads it.
#[derive(Clone, Copy)]
pub(super) struct LocalView<'a> {
    pub local_peer: &'a Peer,
    pub members: &'a MemberTable,
    pub nodes: u32,
}

impl LocalView<'_> {
    /// The tags of the nodes of a bucket, including the node itself.
    fn tags(&self, bucketing: Bucketing, bucket: u16) -> Vec<IdentityTag> {
        let range = bucketing.leaves(bucket);
        let own = !self.local_peer.observer && range.contains(&leaf_of(self.local_peer.address));
        let own = own.then(|| IdentityTag::of(self.local_peer));
        let members = self.members.in_leaves(range).filter(|member| member.is_counted());
        members.map(|member| member.tag).chain(own).collect()
    }

    fn record(&self, bucketing: Bucketing, bucket: u16, tag: IdentityTag) -> Option<Record> {
        let range = bucketing.leaves(bucket);
        if range.contains(&leaf_of(self.local_peer.address)) && IdentityTag::of(self.local_peer) == tag {
            return Some(Record { peer: self.local_peer.clone(), incarnation: 0 });
        }
        let member = self.members.in_leaves(range).find(|member| member.tag == tag)?;
        let record = Record { peer: member.peer.clone(), incarnation: member.reported.incarnation };
        member.is_counted().then_some(record)
    }
}

/// What this node knows about an identity that another node holds.
enum LocalKnowledge<'a> {
    Held,
    Departed(&'a Member),
    /// It is a renewal of a known identity, which its process made after it was declared down.
    Renewed(Peer),
    /// A later identity with this address is known.
    Superseded,
    Unknown,
}

/// The repair state of one node.
pub(super) struct Repair {
    random: fastrand::Rng,
    /// Identities that are not requested until the given time.
    not_before: HashMap<IdentityTag, Micros>,
    /// Digests are not sent again before this time.
    next_digests_at: Micros,
    /// No long list of tags is sent before this time.
    next_long_list_at: Micros,
}

impl Repair {
    pub fn new(seed: u64) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
            not_before: HashMap::new(),
            next_digests_at: 0,
            next_long_list_at: 0,
        }
    }

    /// Removes entries whose time has passed.
    pub fn expire(&mut self, now: Micros) {
        self.not_before.retain(|_, until| now < *until);
    }

    /// Whether digests may be sent now; if so, the interval until the next ones begins.
    pub fn try_send_digests(&mut self, now: Micros) -> bool {
        let may = now >= self.next_digests_at;
        if may {
            self.next_digests_at = now + DIGESTS_INTERVAL;
        }
        may
    }

    /// Records that the engine rejected an identity.
    pub fn mark_rejected(&mut self, now: Micros, peer: &Peer) {
        self.not_before.insert(IdentityTag::of(peer), now + REJECTED_RETRY_AFTER);
    }

    /// The digests of all buckets of a view.
    pub fn digests(&mut self, view: LocalView) -> RepairMessage {
        let (bucketing, nonce) = (Bucketing::for_nodes(view.nodes), self.random.u32(..));
        let digest = |bucket| view.members.digest().bucket(bucketing, bucket, nonce);
        let digests = (0..bucketing.buckets()).map(digest).collect();
        RepairMessage::Digests(BucketDigests { bucketing, nonce, digests })
    }

    /// Handles a received message.
    pub fn receive(&mut self, now: Micros, view: LocalView, message: RepairMessage) -> RepairOutcome {
        match message {
            RepairMessage::RequestDigests => RepairOutcome::default(),
            RepairMessage::Digests(digests) => self.compare_digests(now, view, &digests),
            RepairMessage::Tags(tags) if tags.is_valid() => self.compare_tags(now, view, &tags),
            RepairMessage::RequestRecords(tags) if tags.is_valid() => records_response(view, &tags),
            RepairMessage::Offer(tags) if tags.is_valid() => self.receive_offer(now, view, &tags),
            RepairMessage::Departed(departed) if departed.tags.is_valid() => {
                departed_members(view, &departed)
            }
            RepairMessage::Records(alive) => RepairOutcome { alive, ..RepairOutcome::default() },
            _ => RepairOutcome::default(),
        }
    }

    /// Lists the nodes of the buckets that differ, starting at a random one so that another comparison lists others.
    fn compare_digests(&mut self, now: Micros, view: LocalView, theirs: &BucketDigests) -> RepairOutcome {
        let (bucketing, mut outcome) = (theirs.bucketing, RepairOutcome::default());
        if !bucketing.is_valid() || theirs.digests.len() != usize::from(bucketing.buckets()) {
            return outcome;
        }
        let differing = (0..).zip(&theirs.digests).filter(|(bucket, digest)| {
            view.members.digest().bucket(bucketing, *bucket, theirs.nonce) != **digest
        });
        let mut differing: Vec<u16> = differing.map(|(bucket, _)| bucket).collect();
        if !differing.is_empty() {
            let start = self.random.usize(0..differing.len());
            differing.rotate_left(start);
        }
        let mut list = TagsByBucket::new(bucketing);
        let mut listed = 0;
        for bucket in differing {
            let tags = view.tags(bucketing, bucket);
            if listed > 0 && listed + tags.len() > MAX_LISTED_TAGS {
                break;
            }
            listed += tags.len() + 1;
            list.buckets.push(BucketTags { bucket, tags });
        }
        let is_long = listed > MAX_SHORT_LIST;
        if list.buckets.is_empty() || (is_long && now < self.next_long_list_at) {
            return outcome;
        }
        if is_long {
            self.next_long_list_at = now + LONG_LIST_INTERVAL;
        }
        outcome.lists.push(vec![RepairMessage::Tags(list)]);
        outcome
    }

    /// Compares the sender's nodes with those of this view, in both directions.
    fn compare_tags(&mut self, now: Micros, view: LocalView, theirs: &TagsByBucket) -> RepairOutcome {
        let mut offered = TagsByBucket::new(theirs.bucketing);
        for bucket in &theirs.buckets {
            let missing = view.tags(theirs.bucketing, bucket.bucket);
            let missing = missing.into_iter().filter(|tag| !bucket.tags.contains(tag));
            missing
                .take(MAX_LISTED_TAGS.saturating_sub(offered.len()))
                .for_each(|tag| offered.add(bucket.bucket, tag));
        }
        let (mut outcome, messages) = self.classify_tags(now, view, theirs);
        outcome.add_responses(messages);
        if offered.len() > 0 {
            outcome.lists.push(vec![RepairMessage::Offer(offered)]);
        }
        outcome
    }

    fn receive_offer(&mut self, now: Micros, view: LocalView, theirs: &TagsByBucket) -> RepairOutcome {
        let (mut outcome, messages) = self.classify_tags(now, view, theirs);
        outcome.add_responses(messages);
        outcome
    }

    /// Classifies the identities that the sender holds: unknown ones are requested, departed ones reported to it.
    fn classify_tags(
        &mut self,
        now: Micros,
        view: LocalView,
        theirs: &TagsByBucket,
    ) -> (RepairOutcome, Vec<RepairMessage>) {
        let bucketing = theirs.bucketing;
        let mut outcome = RepairOutcome::default();
        let mut requested = TagsByBucket::new(bucketing);
        let mut lost = TagsByBucket::new(bucketing);
        let mut left = TagsByBucket::new(bucketing);
        for bucket in &theirs.buckets {
            for &tag in &bucket.tags {
                match local_knowledge(view, bucketing, bucket.bucket, tag) {
                    LocalKnowledge::Held | LocalKnowledge::Superseded => {}
                    LocalKnowledge::Renewed(peer) => outcome.alive.push(Record { peer, incarnation: 0 }),
                    LocalKnowledge::Departed(member) => {
                        let departed = if member.status == PeerStatus::Left { &mut left } else { &mut lost };
                        if departed.len() < MAX_DEPARTED_TAGS {
                            departed.add(bucket.bucket, tag);
                        }
                    }
                    LocalKnowledge::Unknown
                        if requested.len() < MAX_REQUESTED_RECORDS && self.try_request(now, tag) =>
                    {
                        requested.add(bucket.bucket, tag);
                    }
                    LocalKnowledge::Unknown => {}
                }
            }
        }
        let mut messages = Vec::new();
        if requested.len() > 0 {
            messages.push(RepairMessage::RequestRecords(requested));
        }
        for (tags, left) in [(lost, false), (left, true)] {
            if tags.len() > 0 {
                messages.push(RepairMessage::Departed(DepartedTags { left, tags }));
            }
        }
        (outcome, messages)
    }

    fn try_request(&mut self, now: Micros, tag: IdentityTag) -> bool {
        let may = self.not_before.get(&tag).is_none_or(|until| now >= *until);
        if may {
            self.not_before.insert(tag, now + REQUEST_RETRY_AFTER);
        }
        may
    }
}

impl RepairOutcome {
    /// Adds messages to respond with, split into as many datagrams as they need.
    fn add_responses(&mut self, messages: Vec<RepairMessage>) {
        let mut bytes = usize::MAX;
        for message in messages {
            let length = encoded_length(&message);
            bytes = bytes.saturating_add(length);
            if bytes > MAX_DATAGRAM_MESSAGE_BYTES {
                (bytes, _) = (length, self.responses.push(Vec::new()));
            }
            self.responses.last_mut().into_iter().for_each(|datagram| datagram.push(message.clone()));
        }
    }
}

fn local_knowledge(
    view: LocalView<'_>,
    bucketing: Bucketing,
    bucket: u16,
    tag: IdentityTag,
) -> LocalKnowledge<'_> {
    if IdentityTag::of(view.local_peer).same_address(&tag)
        && bucketing.leaves(bucket).contains(&leaf_of(view.local_peer.address))
    {
        return LocalKnowledge::Held;
    }
    let mut members = view.members.in_leaves(bucketing.leaves(bucket));
    let Some(member) = members.find(|member| member.tag.same_address(&tag)) else {
        return LocalKnowledge::Unknown;
    };
    if member.tag == tag {
        return match member.is_counted() {
            true => LocalKnowledge::Held,
            false => LocalKnowledge::Departed(member),
        };
    }
    if tag.compare_generation(&member.tag) == Ordering::Less {
        return LocalKnowledge::Superseded;
    }
    let renewals = std::iter::successors(foca::Identity::renew(&member.peer), foca::Identity::renew);
    let renewed = renewals.take(MAX_RENEWALS).find(|peer| IdentityTag::of(peer) == tag);
    renewed.map_or(LocalKnowledge::Unknown, LocalKnowledge::Renewed)
}

fn records_response(view: LocalView, requested: &TagsByBucket) -> RepairOutcome {
    let mut outcome = RepairOutcome::default();
    let (mut records, mut bytes) = (Vec::new(), 0);
    let tags =
        requested.buckets.iter().flat_map(|bucket| bucket.tags.iter().map(|tag| (bucket.bucket, *tag)));
    for (bucket, tag) in tags.take(MAX_REQUESTED_RECORDS) {
        let Some(record) = view.record(requested.bucketing, bucket, tag) else { continue };
        let length = postcard::to_stdvec(&record).map_or(0, |data| data.len());
        if RECORDS_HEADER_BYTES + bytes + length > MAX_DATAGRAM_MESSAGE_BYTES {
            outcome.responses.push(vec![RepairMessage::Records(std::mem::take(&mut records))]);
            bytes = 0;
        }
        bytes += length;
        records.push(record);
    }
    if !records.is_empty() {
        outcome.responses.push(vec![RepairMessage::Records(records)]);
    }
    outcome
}

/// Members of this view that the sender reports as departed.
fn departed_members(view: LocalView, departed: &DepartedTags) -> RepairOutcome {
    let mut outcome = RepairOutcome::default();
    for bucket in &departed.tags.buckets {
        let range = departed.tags.bucketing.leaves(bucket.bucket);
        let held = |member: &&Member| member.is_counted() && bucket.tags.contains(&member.tag);
        let members = view.members.in_leaves(range).filter(held);
        outcome.departed.extend(members.map(|member| (member.peer.clone(), departed.left)));
        if bucket.tags.contains(&IdentityTag::of(view.local_peer)) {
            outcome.departed.push((view.local_peer.clone(), false));
        }
    }
    outcome
}

fn encoded_length(message: &RepairMessage) -> usize {
    postcard::to_stdvec(message).map_or(0, |data| data.len())
}

#[cfg(test)]
mod tests;
