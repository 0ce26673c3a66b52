use super::*;
use crate::peers::membership::digest::Bucketing;

fn peer(host: u8, order: u64) -> Peer {
    let address = SocketAddr::from(([10, 0, 0, host], 7_946));
    Peer {
        address,
        generation: order,
        salt: 1,
        observer: false,
        name: format!("n{host}"),
        metadata: Vec::new(),
    }
}

fn recomputed_digest(table: &MemberTable) -> u64 {
    table
        .iter()
        .filter(|member| member.is_counted())
        .fold(0, |sum, m| sum.wrapping_add(identity_hash(&m.peer)))
}

#[test]
fn a_standing_is_news_once_and_so_is_another_life() {
    let mut table = MemberTable::new();
    assert!(table.set_status(1, &peer(1, 1), PeerStatus::Present));
    assert!(!table.set_status(2, &peer(1, 1), PeerStatus::Present));
    assert!(table.set_status(3, &peer(1, 2), PeerStatus::Present));
    assert!(table.set_status(4, &peer(1, 2), PeerStatus::Lost));
    assert_eq!((table.len(), table.counts().lost), (1, 1));
}

#[test]
fn an_observer_is_counted_by_nobody_and_gone_when_it_goes() {
    let mut table = MemberTable::new();
    let observer = Peer { observer: true, ..peer(1, 1) };
    table.set_status(1, &observer, PeerStatus::Present);
    assert_eq!((table.len(), table.counts(), table.digest().whole()), (1, StatusCounts::default(), 0));
    table.set_status(2, &observer, PeerStatus::Lost);
    assert_eq!(table.len(), 0);
}

#[test]
fn counts_and_digest_are_kept_up_with_every_change() {
    let mut random = fastrand::Rng::with_seed(1);
    let mut table = MemberTable::new();
    let standings = [PeerStatus::Present, PeerStatus::Suspected, PeerStatus::Left, PeerStatus::Lost];
    for step in 0..5_000 {
        let who = Peer { observer: random.u8(0..10) == 0, ..peer(random.u8(..), random.u64(0..4)) };
        match random.u8(0..4) {
            0 => table.replace_identity(&who),
            _ => drop(table.set_status(step, &who, standings[random.usize(0..4)])),
        }
    }
    assert_eq!(table.digest().whole(), recomputed_digest(&table));
    let counted =
        |standing| table.iter().filter(|member| member.status == standing && !member.peer.observer).count();
    let [present, suspected, left, lost] = standings.map(counted);
    assert_eq!(table.counts(), StatusCounts { present, suspected, left, lost });
    let partition = Bucketing::for_nodes(256);
    let listed: usize =
        (0..partition.buckets()).map(|part| table.in_leaves(partition.leaves(part)).count()).sum();
    assert_eq!(listed, table.len());
}

#[test]
fn a_word_is_news_by_the_order_of_swim() {
    let mut table = MemberTable::new();
    let (it, word) = (peer(1, 5), |incarnation, suspected| ReportedState { incarnation, suspected });
    assert!(table.record_report(&it, word(0, false)), "of one that is unknown");
    table.set_status(1, &it, PeerStatus::Present);
    for (said, news) in [
        (word(0, false), false),
        (word(0, true), true),
        (word(0, true), false),
        (word(1, false), true),
        (word(0, true), false),
        (word(1, true), true),
        (word(1, false), false),
    ] {
        assert_eq!(table.record_report(&it, said), news, "{said:?}");
    }
    assert!(!table.record_report(&peer(1, 4), word(9, true)), "an older life");
    assert!(table.record_report(&peer(1, 6), word(0, false)), "a later life");
    table.set_status(2, &it, PeerStatus::Lost);
    assert!(!table.record_report(&it, word(9, true)), "gone is gone");
}
