use super::*;

fn peer(more: Vec<u8>) -> Peer {
    let address = "10.0.0.1:7946".parse().unwrap();
    Peer { address, generation: 1, salt: 1, observer: false, name: "n".into(), metadata: more }
}

#[test]
fn a_location_is_carried_in_few_bytes_and_read_back() {
    let location = Location { region: "eu".into(), zone: "eu1".into(), site: "p4".into() };
    let more = location.encode();
    assert_eq!(more.len(), 11);
    assert_eq!(peer(more.clone()).location(), location);
    // What a later version adds behind it is carried, and passed over.
    assert_eq!(peer([&more[..], b"later"].concat()).location(), location);
}

#[test]
fn without_a_location_nothing_is_carried_and_garbage_is_none() {
    assert_eq!(Location::default().encode(), []);
    for more in [&b""[..], b"region=1", &[1, 200], &[2, 0, 0, 0]] {
        assert_eq!(peer(more.to_vec()).location(), Location::default());
    }
}

#[test]
fn an_earlier_identity_is_one_of_the_same_process() {
    let first = peer(Vec::new());
    let second = foca::Identity::renew(&first).unwrap();
    assert!(first.is_earlier_identity_of(&second));
    assert!(!second.is_earlier_identity_of(&first) && !first.is_earlier_identity_of(&first));
    let another_process = Peer { salt: 2, ..second };
    assert!(!first.is_earlier_identity_of(&another_process));
}
