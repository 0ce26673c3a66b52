use super::*;
use crate::peers::membership::view::PeerStatus;
use std::net::SocketAddr;

fn peer(host: u8, generation: u64) -> Peer {
    let address = SocketAddr::from(([10, 0, 0, host], 7_946));
    Peer { address, generation, salt: 1, observer: false, name: format!("n{host}"), metadata: Vec::new() }
}

fn message(message: Message<Peer>, updates: &[MemberUpdate], tail: &[u8]) -> Vec<u8> {
    let header = Header { src: peer(1, 1), src_incarnation: 2, dst: peer(2, 1), message };
    let mut bytes = postcard::to_stdvec(&header).unwrap();
    bytes.extend((updates.len() as u16).to_be_bytes());
    updates.iter().for_each(|update| bytes.extend(postcard::to_stdvec(update).unwrap()));
    bytes.extend(tail);
    bytes
}

fn alive(hosts: std::ops::Range<u8>) -> Vec<MemberUpdate> {
    hosts.map(|host| Member::alive(peer(host, 1))).collect()
}

#[test]
fn message_is_decoded_and_encoded_again_without_its_updates() {
    let bytes = message(Message::Ping(7), &alive(3..9), &[0, 1, 5]);
    let inbound = InboundMessage::decode(&bytes).unwrap();
    assert_eq!((inbound.header.src.clone(), &inbound.updates), (peer(1, 1), &alive(3..9)));
    assert_eq!(inbound.without_updates(), message(Message::Ping(7), &[], &[0, 1, 5]));
}

#[test]
fn message_without_updates_is_unchanged_and_truncated_bytes_are_malformed() {
    let header = Header { src: peer(1, 1), src_incarnation: 2, dst: peer(2, 1), message: Message::Announce };
    let bytes = postcard::to_stdvec(&header).unwrap();
    assert_eq!(InboundMessage::decode(&bytes).unwrap().without_updates(), bytes);
    let bytes = message(Message::Gossip, &alive(3..9), &[]);
    assert!(InboundMessage::decode(&bytes[..bytes.len() - 3]).is_none());
    assert!(InboundMessage::decode(&bytes[..10]).is_none());
}

#[test]
fn message_with_truncated_updates_keeps_the_first_ones() {
    let bytes = message(Message::Feed, &alive(3..9), &[0, 1, 5]);
    assert_eq!(truncate_updates(&bytes, 6), bytes);
    assert_eq!(truncate_updates(&bytes, 2), message(Message::Feed, &alive(3..5), &[]));
    assert_eq!(truncate_updates(&bytes, 0), message(Message::Feed, &[], &[]));
    assert_eq!(truncate_updates(&[1, 2], 0), [1, 2]);
}

#[test]
fn updates_that_the_engine_knows_are_not_new() {
    let mut table = MemberTable::new();
    table.set_status(1, &peer(1, 5), PeerStatus::Present);
    table.set_status(1, &peer(2, 5), PeerStatus::Lost);
    let down = |host, generation| Member::down(peer(host, generation));
    for (update, is_new) in [
        (Member::alive(peer(1, 5)), false),
        (Member::alive(peer(1, 4)), false),
        (Member::alive(peer(1, 6)), true),
        (Member::alive(peer(3, 1)), true),
        (down(1, 4), false),
        (down(1, 5), true),
        (down(2, 5), false),
        (down(3, 5), true),
        (Member::alive(peer(2, 5)), false),
        (Member::new(peer(1, 5), 0, State::Suspect), true),
        (Member::new(peer(1, 5), 0, State::Suspect), false),
    ] {
        assert_eq!(is_new_update(&mut table, &update), is_new, "{update:?}");
    }
}

#[test]
fn message_to_an_earlier_identity_can_be_readdressed_to_the_present_one() {
    let bytes = message(Message::Ping(7), &alive(3..9), &[0, 1, 5]);
    let mut inbound = InboundMessage::decode(&bytes).unwrap();
    inbound.readdress(peer(2, 5));
    let payload = inbound.without_updates();
    let read = InboundMessage::decode(&payload).unwrap();
    let expected = Header { src: peer(1, 1), src_incarnation: 2, dst: peer(2, 5), message: Message::Ping(7) };
    assert_eq!((read.header, read.updates), (expected, Vec::new()));
}
