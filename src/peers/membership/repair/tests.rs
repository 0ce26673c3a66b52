use super::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;

fn address(host: u16) -> SocketAddr {
    let [a, b] = host.to_be_bytes();
    SocketAddr::from(([10, 0, a, b], 7_946))
}

fn peer(host: u16, order: u64) -> Peer {
    // As long as a real one.
    let order = 1_700_000_000_000_000 + (order << 30);
    Peer {
        address: address(host),
        generation: order,
        salt: 1,
        observer: false,
        name: format!("n{host}"),
        metadata: Vec::new(),
    }
}

/// One node's view, and its side of the repair.
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
        members.set_own(None, &me);
        for other in others {
            members.set(0, &other, PeerStatus::Present);
        }
        Self { me, members, repair: Repair::new(u64::from(host)), bytes: 0 }
    }

    fn view(&self) -> LocalView<'_> {
        LocalView { me: &self.me, members: &self.members, nodes: self.members.len() as u32 + 1 }
    }

    fn present(&self) -> BTreeSet<(SocketAddr, u64)> {
        let present = self.members.iter().filter(|member| member.is_counted());
        let lives = present.map(|member| (member.peer.address, member.peer.generation));
        lives.chain([(self.me.address, self.me.generation)]).collect()
    }

    fn receive(&mut self, now: Micros, message: RepairMessage) -> Vec<RepairMessage> {
        let view = LocalView { me: &self.me, members: &self.members, nodes: self.members.len() as u32 + 1 };
        let outcome = self.repair.receive(now, view, message);
        for record in outcome.alive {
            self.members.set(now, &record.peer, PeerStatus::Present);
        }
        for (peer, left) in outcome.gone {
            let standing = if left { PeerStatus::Left } else { PeerStatus::Lost };
            self.members.set(now, &peer, standing);
        }
        for datagram in outcome.answers.iter().chain(&outcome.lists) {
            let bytes: usize = datagram.iter().map(encoded_length).sum();
            assert!(bytes <= MESSAGE_BYTES, "{bytes} bytes in one datagram");
            self.bytes += bytes;
        }
        outcome.answers.into_iter().chain(outcome.lists).flatten().collect()
    }
}

/// One comparison: the first asks the second, and all that follows from it.
fn compare(now: Micros, first: &mut Side, second: &mut Side) {
    let view = LocalView { me: &second.me, members: &second.members, nodes: second.members.len() as u32 + 1 };
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
fn one_comparison_brings_a_few_differences_both_ways() {
    let mut one = Side::new(1, others(2..500));
    let mut two = Side::new(2, others(3..503).chain(others(1..2)));
    one.members.set(0, &peer(77, 9), PeerStatus::Present);
    compare(SECOND, &mut one, &mut two);
    assert_eq!(one.present(), two.present());
    assert_eq!(one.present().len(), 502);
    assert!(one.bytes + two.bytes < 1_500, "{} bytes for five differences", one.bytes + two.bytes);
}

#[test]
fn views_that_are_alike_cost_their_digests_alone() {
    let mut one = Side::new(1, others(2..500));
    let mut two = Side::new(2, others(3..500).chain(others(1..2)));
    compare(SECOND, &mut one, &mut two);
    assert_eq!((one.bytes, two.bytes < 300), (0, true), "{} bytes", two.bytes);
}

#[test]
fn who_is_gone_is_told_with_whether_it_said_farewell() {
    let mut one = Side::new(1, others(2..100));
    let mut two = Side::new(2, others(3..100).chain(others(1..2)));
    two.members.set(0, &peer(50, 1), PeerStatus::Lost);
    two.members.set(0, &peer(60, 1), PeerStatus::Left);
    compare(SECOND, &mut one, &mut two);
    let standing = |host| one.members.get(&address(host)).map(|member| member.standing);
    assert_eq!((standing(50), standing(60)), (Some(PeerStatus::Lost), Some(PeerStatus::Left)));
    // The other way round, too.
    one.members.set(0, &peer(70, 1), PeerStatus::Lost);
    compare(2 * SECOND, &mut one, &mut two);
    assert_eq!(two.members.get(&address(70)).map(|member| member.standing), Some(PeerStatus::Lost));
}

#[test]
fn renewed_identities_are_told_by_their_tags_alone() {
    let renewed = |peer: Peer| foca::Identity::renew(&peer).unwrap();
    let mut one = Side::new(1, others(2..300));
    let mut two = Side::new(2, others(3..300).map(renewed).chain(others(1..2)));
    for host in 3..300 {
        one.members.set(0, &peer(host, 1), PeerStatus::Lost);
    }
    for round in 0..20 {
        compare(round * SECOND, &mut one, &mut two);
    }
    assert_eq!(one.present(), two.present());
    assert!(one.bytes + two.bytes < 297 * 25, "{} bytes", one.bytes + two.bytes);
}

#[test]
fn one_that_knows_nobody_else_learns_all_with_little_more_than_their_bytes() {
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
fn an_older_life_is_not_asked_for_and_its_holder_learns_the_later_one() {
    let mut one = Side::new(1, others(2..100));
    let mut two = Side::new(2, others(3..100).chain(others(1..2)));
    for host in 50..60 {
        two.members.set(0, &peer(host, 5), PeerStatus::Present);
    }
    let lives = LivesByPart {
        partition: Partition::for_nodes(0),
        parts: vec![PartLives { part: 0, lives: one.view().tags(Partition::for_nodes(0), 0) }],
    };
    let answers = two.receive(SECOND, RepairMessage::Lives(lives));
    assert!(matches!(&answers[..], [RepairMessage::Offered(offered)] if offered.len() == 10), "{answers:?}");
    compare(SECOND, &mut one, &mut two);
    assert_eq!(one.present(), two.present());
}

#[test]
fn what_the_engine_refused_is_not_asked_for_again_for_long() {
    let mut one = Side::new(1, others(2..3));
    let tag = LifeTag::of(&peer(9, 1));
    assert!(one.repair.may_want(0, tag));
    assert!(!one.repair.may_want(WANTED_FOR - 1, tag), "it is on its way");
    assert!(one.repair.may_want(WANTED_FOR, tag));
    one.repair.refused(WANTED_FOR, &peer(9, 1));
    assert!(!one.repair.may_want(REFUSED_FOR, tag));
    one.repair.expire(2 * REFUSED_FOR);
    assert!(one.repair.not_before.is_empty());
}

#[test]
fn what_no_peer_would_send_has_no_answer() {
    let mut one = Side::new(1, others(2..100));
    let partition = Partition::for_nodes(100);
    let out_of_range = || LivesByPart {
        partition,
        parts: vec![PartLives { part: partition.parts(), lives: vec![LifeTag::of(&peer(9, 1))] }],
    };
    let too_many = PartDigests { partition, nonce: 1, digests: vec![1; 1_000] };
    for message in [
        RepairMessage::Digests(too_many),
        RepairMessage::Lives(out_of_range()),
        RepairMessage::Wanted(out_of_range()),
        RepairMessage::Offered(out_of_range()),
        RepairMessage::Gone(GoneLives { left: false, lives: out_of_range() }),
    ] {
        assert_eq!(one.receive(SECOND, message), []);
    }
    assert_eq!(one.present().len(), 99);
}
