use super::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;

fn address(host: u16) -> SocketAddr {
    let [a, b] = host.to_be_bytes();
    SocketAddr::from(([10, 0, a, b], 7_946))
}

fn peer(host: u16, generation: u64) -> Peer {
    // A realistic value, as the encoded size depends on it.
    let generation = 1_700_000_000_000_000 + (generation << 30);
    Peer {
        address: address(host),
        generation,
        salt: 1,
        observer: false,
        name: format!("n{host}"),
        metadata: Vec::new(),
    }
}

/// One node's view and repair state.
struct Side {
    me: Peer,
    members: MemberTable,
    repair: Repair,
    bytes: usize,
}

impl Side {
    fn new(host: u16, others: impl Iterator<Item = Peer>) -> Self {
        let me = peer(host, 1);
        let mut members = MemberTable::new();
        members.set_local(None, &me);
        for other in others {
            members.set_status(0, &other, PeerStatus::Present);
        }
        Self { me, members, repair: Repair::new(u64::from(host)), bytes: 0 }
    }

    fn view(&self) -> LocalView<'_> {
        LocalView { local_peer: &self.me, members: &self.members, nodes: self.members.len() as u32 + 1 }
    }

    fn present(&self) -> BTreeSet<(SocketAddr, u64)> {
        let present = self.members.iter().filter(|member| member.is_counted());
        let identities = present.map(|member| (member.peer.address, member.peer.generation));
        identities.chain([(self.me.address, self.me.generation)]).collect()
    }

    fn receive(&mut self, now: Micros, message: RepairMessage) -> Vec<RepairMessage> {
        let view =
            LocalView { local_peer: &self.me, members: &self.members, nodes: self.members.len() as u32 + 1 };
        let outcome = self.repair.receive(now, view, message);
        for record in outcome.alive {
            self.members.set_status(now, &record.peer, PeerStatus::Present);
        }
        for (peer, left) in outcome.departed {
            let status = if left { PeerStatus::Left } else { PeerStatus::Lost };
            self.members.set_status(now, &peer, status);
        }
        for datagram in outcome.responses.iter().chain(&outcome.lists) {
            let bytes: usize = datagram.iter().map(encoded_length).sum();
            assert!(bytes <= MAX_DATAGRAM_MESSAGE_BYTES, "{bytes} bytes in one datagram");
            self.bytes += bytes;
        }
        outcome.responses.into_iter().chain(outcome.lists).flatten().collect()
    }
}

/// Runs one comparison, in which the first side requests the second's digests, until no message is left.
fn compare(now: Micros, first: &mut Side, second: &mut Side) {
    let view = LocalView {
        local_peer: &second.me,
        members: &second.members,
        nodes: second.members.len() as u32 + 1,
    };
    let digests = second.repair.digests(view);
    second.bytes += encoded_length(&digests);
    let mut to_first = vec![digests];
    let mut to_second = Vec::new();
    while !(to_first.is_empty() && to_second.is_empty()) {
        for message in std::mem::take(&mut to_first) {
            to_second.extend(first.receive(now, message));
        }
        for message in std::mem::take(&mut to_second) {
            to_first.extend(second.receive(now, message));
        }
    }
}

fn others(hosts: std::ops::Range<u16>) -> impl Iterator<Item = Peer> {
    hosts.map(|host| peer(host, 1))
}

#[test]
fn one_comparison_transfers_a_few_differences_both_ways() {
    let mut one = Side::new(1, others(2..500));
    let mut two = Side::new(2, others(3..503).chain(others(1..2)));
    one.members.set_status(0, &peer(77, 9), PeerStatus::Present);
    compare(SECOND, &mut one, &mut two);
    assert_eq!(one.present(), two.present());
    assert_eq!(one.present().len(), 502);
    assert!(one.bytes + two.bytes < 1_500, "{} bytes for five differences", one.bytes + two.bytes);
}

#[test]
fn comparing_equal_views_sends_only_digests() {
    let mut one = Side::new(1, others(2..500));
    let mut two = Side::new(2, others(3..500).chain(others(1..2)));
    compare(SECOND, &mut one, &mut two);
    assert_eq!((one.bytes, two.bytes < 300), (0, true), "{} bytes", two.bytes);
}

#[test]
fn departed_members_are_reported_as_left_or_lost() {
    let mut one = Side::new(1, others(2..100));
    let mut two = Side::new(2, others(3..100).chain(others(1..2)));
    two.members.set_status(0, &peer(50, 1), PeerStatus::Lost);
    two.members.set_status(0, &peer(60, 1), PeerStatus::Left);
    compare(SECOND, &mut one, &mut two);
    let status = |host| one.members.get(&address(host)).map(|member| member.status);
    assert_eq!((status(50), status(60)), (Some(PeerStatus::Lost), Some(PeerStatus::Left)));
    // In the opposite direction as well.
    one.members.set_status(0, &peer(70, 1), PeerStatus::Lost);
    compare(2 * SECOND, &mut one, &mut two);
    assert_eq!(two.members.get(&address(70)).map(|member| member.status), Some(PeerStatus::Lost));
}

#[test]
fn renewed_identities_are_recognized_by_tag_without_records() {
    let renewed = |peer: Peer| foca::Identity::renew(&peer).unwrap();
    let mut one = Side::new(1, others(2..300));
    let mut two = Side::new(2, others(3..300).map(renewed).chain(others(1..2)));
    for host in 3..300 {
        one.members.set_status(0, &peer(host, 1), PeerStatus::Lost);
    }
    for round in 0..20 {
        compare(round * SECOND, &mut one, &mut two);
    }
    assert_eq!(one.present(), two.present());
    assert!(one.bytes + two.bytes < 297 * 25, "{} bytes", one.bytes + two.bytes);
}

#[test]
fn empty_view_is_filled_with_less_than_twice_the_bytes_of_the_records() {
    let mut one = Side::new(1, others(2..3));
    let mut two = Side::new(2, others(3..1_000).chain(others(1..2)));
    let mut rounds = 0;
    while one.present() != two.present() {
        rounds += 1;
        compare(rounds * SECOND, &mut one, &mut two);
        assert!(rounds < 40, "{} of {}", one.present().len(), two.present().len());
    }
    let records: usize = two.members.iter().map(|m| postcard::to_stdvec(&m.peer).unwrap().len() + 2).sum();
    assert!(one.bytes + two.bytes < records * 2, "{} bytes for {records}", one.bytes + two.bytes);
}

#[test]
fn older_identity_is_not_requested_and_its_holder_receives_the_later_one() {
    let mut one = Side::new(1, others(2..100));
    let mut two = Side::new(2, others(3..100).chain(others(1..2)));
    for host in 50..60 {
        two.members.set_status(0, &peer(host, 5), PeerStatus::Present);
    }
    let tags = TagsByBucket {
        bucketing: Bucketing::for_nodes(0),
        buckets: vec![BucketTags { bucket: 0, tags: one.view().tags(Bucketing::for_nodes(0), 0) }],
    };
    let responses = two.receive(SECOND, RepairMessage::Tags(tags));
    assert!(
        matches!(&responses[..], [RepairMessage::Offer(offered)] if offered.len() == 10),
        "{responses:?}"
    );
    compare(SECOND, &mut one, &mut two);
    assert_eq!(one.present(), two.present());
}

#[test]
fn identity_rejected_by_the_engine_is_not_requested_again_for_long() {
    let mut one = Side::new(1, others(2..3));
    let tag = IdentityTag::of(&peer(9, 1));
    assert!(one.repair.try_request(0, tag));
    assert!(!one.repair.try_request(REQUEST_RETRY_AFTER - 1, tag), "a record was already requested");
    assert!(one.repair.try_request(REQUEST_RETRY_AFTER, tag));
    one.repair.mark_rejected(REQUEST_RETRY_AFTER, &peer(9, 1));
    assert!(!one.repair.try_request(REJECTED_RETRY_AFTER, tag));
    one.repair.expire(2 * REJECTED_RETRY_AFTER);
    assert!(one.repair.not_before.is_empty());
}

#[test]
fn invalid_messages_get_no_response() {
    let mut one = Side::new(1, others(2..100));
    let bucketing = Bucketing::for_nodes(100);
    let out_of_range = || TagsByBucket {
        bucketing,
        buckets: vec![BucketTags { bucket: bucketing.buckets(), tags: vec![IdentityTag::of(&peer(9, 1))] }],
    };
    let too_many = BucketDigests { bucketing, nonce: 1, digests: vec![1; 1_000] };
    for message in [
        RepairMessage::Digests(too_many),
        RepairMessage::Tags(out_of_range()),
        RepairMessage::RequestRecords(out_of_range()),
        RepairMessage::Offer(out_of_range()),
        RepairMessage::Departed(DepartedTags { left: false, tags: out_of_range() }),
    ] {
        assert_eq!(one.receive(SECOND, message), []);
    }
    assert_eq!(one.present().len(), 99);
}
