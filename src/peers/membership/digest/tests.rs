use super::*;

fn address(host: u32) -> SocketAddr {
    SocketAddr::from((std::net::Ipv4Addr::from_bits(0x0a00_0000 + host), 7_946))
}

#[test]
fn identity_hash_is_the_same_in_every_build() {
    let hash = identity_hash_of(address(1), 1, 1);
    assert_eq!(hash, identity_hash_of(address(1), 1, 1));
    assert_ne!(hash, identity_hash_of(address(1), 2, 1));
    assert_ne!(hash, identity_hash_of(address(2), 1, 1));
    assert_eq!(mix(0), 0xe220_a839_7b1d_cdaf, "the first output of SplitMix64 for the seed 0");
}

#[test]
fn digest_depends_on_members_and_not_on_order_of_changes() {
    let hash = |host| identity_hash_of(address(host), 1, 1);
    let (mut one, mut two) = (ViewDigest::new(), ViewDigest::new());
    (0..100).for_each(|host| one.add(address(host), hash(host)));
    (0..101).rev().for_each(|host| two.add(address(host), hash(host)));
    assert_ne!(one.whole(), two.whole());
    two.remove(address(100), hash(100));
    assert_eq!((one.whole(), &one.leaves), (two.whole(), &two.leaves));
}

#[test]
fn one_difference_changes_only_the_bucket_of_its_address() {
    let hash = |host| identity_hash_of(address(host), 1, 1);
    let mut one = ViewDigest::new();
    (0..500).for_each(|host| one.add(address(host), hash(host)));
    let mut two = one.clone();
    two.remove(address(77), hash(77));
    let bucketing = Bucketing::for_nodes(500);
    assert_eq!(bucketing.buckets(), 64);
    for nonce in 0..20 {
        let differs =
            |bucket: &u16| one.bucket(bucketing, *bucket, nonce) != two.bucket(bucketing, *bucket, nonce);
        let differing: Vec<u16> = (0..bucketing.buckets()).filter(differs).collect();
        assert_eq!(differing.len(), 1);
        assert!(bucketing.leaves(differing[0]).contains(&leaf_of(address(77))));
    }
}

#[test]
fn every_bucketing_covers_each_leaf_once() {
    for nodes in [1, 5, 66, 2_120, 1_000_000] {
        let bucketing = Bucketing::for_nodes(nodes);
        assert!(bucketing.is_valid());
        let leaves: Vec<u16> = (0..bucketing.buckets()).flat_map(|bucket| bucketing.leaves(bucket)).collect();
        assert_eq!(leaves, (0..1 << MAX_DEPTH).collect::<Vec<_>>(), "{nodes} nodes");
    }
    assert!(!Bucketing { depth: MAX_DEPTH + 1 }.is_valid());
}

#[test]
fn tags_show_same_address_and_later_generation() {
    let peer = |host, generation| Peer {
        address: address(host),
        generation,
        salt: 1,
        observer: false,
        name: String::new(),
        metadata: Vec::new(),
    };
    let now = 1_700_000_000_000_000;
    let (one, later) = (IdentityTag::of(&peer(1, now)), IdentityTag::of(&peer(1, now + 60_000_000)));
    assert!(one.same_address(&later) && !one.same_address(&IdentityTag::of(&peer(2, now))));
    assert_eq!(one.compare_generation(&later), std::cmp::Ordering::Less);
    let renewed = foca::Identity::renew(&peer(1, now)).unwrap();
    assert_eq!(IdentityTag::of(&renewed).compare_generation(&later), std::cmp::Ordering::Greater);
    assert_ne!(one, IdentityTag::of(&peer(1, now + 1)));
}
