use super::*;

fn address(host: u32) -> SocketAddr {
    SocketAddr::from((std::net::Ipv4Addr::from_bits(0x0a00_0000 + host), 7_946))
}

#[test]
fn the_hash_of_a_life_never_changes_between_builds() {
    let life = life_hash_of(address(1), 1, 1);
    assert_eq!(life, life_hash_of(address(1), 1, 1));
    assert_ne!(life, life_hash_of(address(1), 2, 1));
    assert_ne!(life, life_hash_of(address(2), 1, 1));
    assert_eq!(mix(0), 0xe220_a839_7b1d_cdaf, "the first output of SplitMix64 for the seed 0");
}

#[test]
fn a_digest_depends_on_who_is_in_the_view_and_not_on_the_way_there() {
    let life = |host| life_hash_of(address(host), 1, 1);
    let (mut one, mut two) = (ViewDigest::new(), ViewDigest::new());
    (0..100).for_each(|host| one.add(address(host), life(host)));
    (0..101).rev().for_each(|host| two.add(address(host), life(host)));
    assert_ne!(one.whole(), two.whole());
    two.remove(address(100), life(100));
    assert_eq!((one.whole(), &one.parts), (two.whole(), &two.parts));
}

#[test]
fn one_difference_shows_in_the_part_of_its_address_alone() {
    let life = |host| life_hash_of(address(host), 1, 1);
    let mut one = ViewDigest::new();
    (0..500).for_each(|host| one.add(address(host), life(host)));
    let mut two = one.clone();
    two.remove(address(77), life(77));
    let partition = Partition::for_nodes(500);
    assert_eq!(partition.parts(), 64);
    for nonce in 0..20 {
        let differs = |part: &u16| one.short(partition, *part, nonce) != two.short(partition, *part, nonce);
        let differing: Vec<u16> = (0..partition.parts()).filter(differs).collect();
        assert_eq!(differing.len(), 1);
        assert!(partition.finest(differing[0]).contains(&part_of(address(77))));
    }
}

#[test]
fn every_partition_covers_the_view_once() {
    for nodes in [1, 5, 66, 2_120, 1_000_000] {
        let partition = Partition::for_nodes(nodes);
        assert!(partition.is_valid());
        let finest: Vec<u16> = (0..partition.parts()).flat_map(|part| partition.finest(part)).collect();
        assert_eq!(finest, (0..1 << FINEST).collect::<Vec<_>>(), "{nodes} nodes");
    }
    assert!(!Partition { depth: FINEST + 1 }.is_valid());
}

#[test]
fn tags_tell_lives_of_one_address_and_the_later_of_them() {
    let peer = |host, order| Peer {
        address: address(host),
        generation: order,
        salt: 1,
        observer: false,
        name: String::new(),
        metadata: Vec::new(),
    };
    let now = 1_700_000_000_000_000;
    let (one, later) = (LifeTag::of(&peer(1, now)), LifeTag::of(&peer(1, now + 60_000_000)));
    assert!(one.same_address(&later) && !one.same_address(&LifeTag::of(&peer(2, now))));
    assert_eq!(one.compare_order(&later), std::cmp::Ordering::Less);
    let renewed = foca::Identity::renew(&peer(1, now)).unwrap();
    assert_eq!(LifeTag::of(&renewed).compare_order(&later), std::cmp::Ordering::Greater);
    assert_ne!(one, LifeTag::of(&peer(1, now + 1)));
}
