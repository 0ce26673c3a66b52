use super::*;

fn peer(host: u8, order: u64) -> Peer {
    let address = SocketAddr::from(([10, 0, 0, host], 7_946));
    Peer { address, order, salt: 1, observer: false, name: format!("n{host}"), more: Vec::new() }
}

#[test]
fn a_standing_is_news_once_and_so_is_another_life() {
    let mut table = MemberTable::default();
    assert!(table.set(1, &peer(1, 1), Standing::Present));
    assert!(!table.set(2, &peer(1, 1), Standing::Present));
    assert!(table.set(3, &peer(1, 2), Standing::Present));
    assert!(table.set(4, &peer(1, 2), Standing::Lost));
    assert_eq!((table.len(), table.count(Standing::Lost)), (1, 1));
}

#[test]
fn an_observer_is_counted_by_nobody_and_gone_when_it_goes() {
    let mut table = MemberTable::default();
    let observer = Peer { observer: true, ..peer(1, 1) };
    table.set(1, &observer, Standing::Present);
    assert_eq!((table.len(), table.count(Standing::Present)), (1, 0));
    table.set(2, &observer, Standing::Lost);
    assert_eq!(table.len(), 0);
}

#[test]
fn the_hash_of_a_life_never_changes_between_builds() {
    assert_eq!(life_hash(&peer(1, 1)), life_hash(&peer(1, 1)));
    assert_ne!(life_hash(&peer(1, 1)), life_hash(&peer(1, 2)));
    assert_ne!(life_hash(&peer(1, 1)), life_hash(&peer(2, 1)));
    assert_eq!(mix(0), 0xe220_a839_7b1d_cdaf, "the first output of SplitMix64 for the seed 0");
}
