use super::*;

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_946))
}

#[test]
fn isolated_node_contacts_seeds_and_known_nodes_with_growing_waits() {
    let mut joining = Joining::new(vec![address(1), address(2)]);
    let known = BTreeMap::from([(address(3), KnownNode::Absent)]);
    let mut random = fastrand::Rng::with_seed(1);
    let mut nominal = Duration::from_millis(500);
    for _ in 0..8 {
        let attempt = joining.attempt(address(1), true, &known, &mut random);
        let mut addresses = attempt.addresses;
        addresses.sort();
        assert_eq!(addresses, [address(2), address(3)]);
        assert!((nominal / 2..nominal * 3 / 2).contains(&attempt.wait), "{:?}", attempt.wait);
        nominal = (nominal * 2).min(MAX_WAIT);
    }
}

#[test]
fn connected_node_contacts_only_absent_seeds() {
    let mut joining = Joining::new(vec![address(1), address(2)]);
    let known = [(address(1), KnownNode::Present), (address(3), KnownNode::Absent)].into();
    let mut random = fastrand::Rng::with_seed(1);
    let attempt = joining.attempt(address(9), false, &known, &mut random);
    assert_eq!(attempt.addresses, [address(2)]);
    assert!(attempt.wait >= CONNECTED_WAIT / 2);
}
