use super::admission::DropReason;
use super::inbound::{InboundMessage, MemberUpdate};
use super::*;
use crate::peers::envelope::{encode_extensions, Envelope, Extension, SCHEMA};

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_946))
}

fn membership(host: u8) -> Membership {
    let me = Peer { name: format!("n{host}"), generation: 1, ..placeholder_peer(address(host)) };
    let config = PeersConfig { seeds: vec![address(1)], configured_nodes: 2, ..PeersConfig::default() };
    Membership::new(config, me, u64::from(host), 0)
}

fn datagrams(out: &mut Vec<Output>) -> Vec<(SocketAddr, Vec<u8>)> {
    let sent = out.drain(..).filter_map(|output| match output {
        Output::Send { to, data } => Some((to, data)),
        _ => None,
    });
    sent.collect()
}

/// Two processes that have joined each other at time 0, on a network without delay.
fn pair() -> [Membership; 2] {
    let mut both = [membership(1), membership(2)];
    let mut out = Vec::new();
    both.iter_mut().for_each(|one| one.run_timers(0, &mut out));
    let mut in_flight = datagrams(&mut out);
    while let Some((to, data)) = in_flight.pop() {
        let to = usize::from(to == address(2));
        let _ = both[to].receive(0, &Envelope::decode(&data).unwrap(), &mut out);
        in_flight.extend(datagrams(&mut out));
    }
    assert_eq!(both.each_ref().map(|one| one.summary().nodes), [2, 2]);
    both
}

#[test]
fn extension_only_datagram_reports_the_digest_of_its_sender() {
    let [mut one, two] = pair();
    let mut out = Vec::new();
    let sent = Extension::Dissemination(vec![7]);
    let data = two.extension_only_datagram(&address(1), vec![sent.clone()]).unwrap();
    let mut envelope = Envelope::decode(&data).unwrap();
    assert!(envelope.payload.is_empty());
    assert_eq!(envelope.extensions(), [Extension::Sender(IdentityKey::from(two.local_peer())), sent]);
    envelope.digest = 99;
    assert_eq!(one.receive(1, &envelope, &mut out), Ok(()));
    assert_eq!(one.view(1).differing.get(&99), Some(&vec![address(2)]));
}

#[test]
fn extension_only_datagram_needs_a_sender_and_counts_only_if_it_is_present() {
    let [mut one, _] = pair();
    let mut out = Vec::new();
    let stranger =
        encode_extensions(&[Extension::Sender(IdentityKey { address: address(2), generation: 9, salt: 9 })]);
    for (schema, extension_bytes, expected) in [
        (SCHEMA, &[][..], Err(DropReason::Malformed)),
        (SCHEMA, &stranger, Ok(())),
        (1, &stranger, Err(DropReason::Malformed)),
    ] {
        let envelope =
            Envelope { schema, cluster: "walkpick", digest: 5, nodes: 2, payload: &[], extension_bytes };
        assert_eq!(one.receive(1, &envelope, &mut out), expected);
        assert!(!one.view(1).differing.contains_key(&5), "digests from another identity are ignored");
    }
}

#[test]
fn schema_one_peer_is_sent_no_extension_only_datagram() {
    let [mut one, two] = pair();
    assert!(two.reads_extensions(&address(1)) && one.reads_extensions(&address(2)));
    one.members.set_schema(&address(2), 1);
    assert_eq!(one.extension_only_datagram(&address(2), vec![Extension::Dissemination(vec![7])]), None);
}

/// Passes a process the probe by which a peer notifies it that this identity is reported as departed.
fn notify_of_departure(process: &mut Membership, from: &Peer, identity: &Peer) -> Vec<(SocketAddr, Vec<u8>)> {
    let notice = suspicion::departure_notice(from, 0, identity).unwrap();
    let mut out = Vec::new();
    receive_payload(process, &notice.payload, &mut out);
    datagrams(&mut out)
}

fn receive_payload(process: &mut Membership, payload: &[u8], out: &mut Vec<Output>) {
    let envelope =
        Envelope { schema: SCHEMA, cluster: "walkpick", digest: 0, nodes: 2, payload, extension_bytes: &[] };
    assert_eq!(process.receive(1, &envelope, out), Ok(()));
}

fn header(data: &[u8]) -> foca::Header<Peer> {
    InboundMessage::decode(Envelope::decode(data).unwrap().payload).unwrap().header
}

// Guards against declaring a living process down after it renewed its identity: probes of the earlier identity, which were
// in flight or come from peers that do not know the new one, must be answered.
#[test]
fn probe_of_an_earlier_identity_is_answered_under_the_present_one() {
    let [one, mut two] = pair();
    let (prober, earlier) = (one.local_peer().clone(), two.local_peer().clone());
    for _ in 0..2 {
        let responses = notify_of_departure(&mut two, &prober, &earlier);
        let headers = responses.iter().map(|(to, data)| (*to, header(data)));
        let acknowledgements = headers.filter(|(to, header)| {
            *to == address(1)
                && matches!(header.message, foca::Message::Ack(_))
                && header.src == *two.local_peer()
        });
        assert_eq!(acknowledgements.count(), 1);
        // The second notice is about an identity that is no longer used, and does not renew the identity again.
        assert_eq!(Some(two.local_peer()), foca::Identity::renew(&earlier).as_ref());
    }
}

#[test]
fn notice_to_an_earlier_identity_does_not_renew_the_present_one() {
    let [one, mut two] = pair();
    let (prober, earlier) = (one.local_peer().clone(), two.local_peer().clone());
    notify_of_departure(&mut two, &prober, &earlier);
    let present = two.local_peer().clone();
    let undead =
        foca::Header { src: prober, src_incarnation: 0, dst: earlier, message: foca::Message::TurnUndead };
    receive_payload(&mut two, &postcard::to_stdvec(&undead).unwrap(), &mut Vec::new());
    assert_eq!(*two.local_peer(), present);
}

// Guards against suspecting a living peer indefinitely after the update that refutes the suspicion was lost: only the node
// whose probe failed ends a suspicion by timeout.
#[test]
fn suspect_without_outcome_is_notified_and_refutes_the_suspicion() {
    let [mut one, mut two] = pair();
    let mut out = Vec::new();
    let suspicion = MemberUpdate::new(two.local_peer().clone(), 0, foca::State::Suspect);
    one.apply_updates(1, vec![suspicion], false, &mut out);
    one.review(2, &mut out);
    let status = |one: &Membership| one.members.get(&address(2)).unwrap().status;
    assert_eq!(status(&one), PeerStatus::Suspected);
    out.clear();
    for (now, expected) in [(11_000_000, 0), (13_000_000, 1)] {
        one.review(now, &mut out);
        assert_eq!(datagrams(&mut out).len(), expected, "after {now} us");
        one.suspect_notifier.remove(&address(2));
    }
    one.review(14_000_000, &mut out);
    while let Some((to, data)) = datagrams(&mut out).pop() {
        let receiver = if to == address(2) { &mut two } else { &mut one };
        let _ = receiver.receive(14_000_000, &Envelope::decode(&data).unwrap(), &mut out);
    }
    one.review(15_000_000, &mut out);
    assert_eq!(status(&one), PeerStatus::Present);
}
