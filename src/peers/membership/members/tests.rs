use super::*;
use crate::peers::membership::digest::Bucketing;

fn peer(host: u8, generation: u64) -> Peer {
    let address = SocketAddr::from(([10, 0, 0, host], 7_946));
    Peer { address, generation, salt: 1, observer: false, name: format!("n{host}"), metadata: Vec::new() }
}

fn recomputed_digest(table: &MemberTable) -> u64 {
    table
        .iter()
        .filter(|member| member.is_counted())
        .fold(0, |sum, m| sum.wrapping_add(identity_hash(&m.peer)))
}

#[test]
fn setting_status_reports_each_new_status_and_identity_once() {
    let mut table = MemberTable::new();
    assert!(table.set_status(1, &peer(1, 1), PeerStatus::Present));
    assert!(!table.set_status(2, &peer(1, 1), PeerStatus::Present));
    assert!(table.set_status(3, &peer(1, 2), PeerStatus::Present));
    assert!(table.set_status(4, &peer(1, 2), PeerStatus::Lost));
    assert_eq!((table.len(), table.counts().lost), (1, 1));
}

#[test]
fn observer_is_not_counted_and_is_removed_when_it_departs() {
    let mut table = MemberTable::new();
    let observer = Peer { observer: true, ..peer(1, 1) };
    table.set_status(1, &observer, PeerStatus::Present);
    assert_eq!((table.len(), table.counts(), table.digest().whole()), (1, StatusCounts::default(), 0));
    table.set_status(2, &observer, PeerStatus::Lost);
    assert_eq!(table.len(), 0);
}

#[test]
fn counts_and_digest_match_the_table_after_random_changes() {
    let mut random = fastrand::Rng::with_seed(1);
    let mut table = MemberTable::new();
    let statuses = [PeerStatus::Present, PeerStatus::Suspected, PeerStatus::Left, PeerStatus::Lost];
    for step in 0..5_000 {
        let who = Peer { observer: random.u8(0..10) == 0, ..peer(random.u8(..), random.u64(0..4)) };
        match random.u8(0..4) {
            0 => table.replace_identity(&who),
            _ => drop(table.set_status(step, &who, statuses[random.usize(0..4)])),
        }
    }
    assert_eq!(table.digest().whole(), recomputed_digest(&table));
    let counted =
        |status| table.iter().filter(|member| member.status == status && !member.peer.observer).count();
    let [present, suspected, left, lost] = statuses.map(counted);
    assert_eq!(table.counts(), StatusCounts { present, suspected, left, lost });
    let bucketing = Bucketing::for_nodes(256);
    let listed: usize =
        (0..bucketing.buckets()).map(|bucket| table.in_leaves(bucketing.leaves(bucket)).count()).sum();
    assert_eq!(listed, table.len());
}

#[test]
fn reports_are_new_in_the_precedence_order_of_swim() {
    let mut table = MemberTable::new();
    let (known, report) = (peer(1, 5), |incarnation, suspected| ReportedState { incarnation, suspected });
    assert!(table.record_report(&known, report(0, false)), "the peer is unknown");
    table.set_status(1, &known, PeerStatus::Present);
    for (reported, is_new) in [
        (report(0, false), false),
        (report(0, true), true),
        (report(0, true), false),
        (report(1, false), true),
        (report(0, true), false),
        (report(1, true), true),
        (report(1, false), false),
    ] {
        assert_eq!(table.record_report(&known, reported), is_new, "{reported:?}");
    }
    assert!(!table.record_report(&peer(1, 4), report(9, true)), "an older identity");
    assert!(table.record_report(&peer(1, 6), report(0, false)), "a later identity");
    table.set_status(2, &known, PeerStatus::Lost);
    assert!(!table.record_report(&known, report(9, true)), "the peer has departed");
}
