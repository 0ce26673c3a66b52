use super::*;

fn peer(metadata: Vec<u8>) -> Peer {
    let address = "10.0.0.1:7946".parse().unwrap();
    Peer { address, generation: 1, salt: 1, observer: false, name: "n".into(), metadata }
}

#[test]
fn location_is_encoded_in_few_bytes_and_decoded() {
    let location = Location { region: "eu".into(), zone: "eu1".into(), site: "p4".into() };
    let metadata = location.encode();
    assert_eq!(metadata.len(), 11);
    assert_eq!(peer(metadata.clone()).location(), location);
    // Bytes that a later version appends are ignored.
    assert_eq!(peer([&metadata[..], b"later"].concat()).location(), location);
}

#[test]
fn empty_location_has_no_bytes_and_malformed_metadata_no_location() {
    assert_eq!(Location::default().encode(), []);
    for metadata in [&b""[..], b"region=1", &[1, 200], &[2, 0, 0, 0]] {
        assert_eq!(peer(metadata.to_vec()).location(), Location::default());
    }
}

#[test]
fn earlier_identity_has_the_same_process_and_lower_generation() {
    let first = peer(Vec::new());
    let second = foca::Identity::renew(&first).unwrap();
    assert!(first.is_earlier_identity_of(&second));
    assert!(!second.is_earlier_identity_of(&first) && !first.is_earlier_identity_of(&first));
    let another_process = Peer { salt: 2, ..second };
    assert!(!first.is_earlier_identity_of(&another_process));
}
