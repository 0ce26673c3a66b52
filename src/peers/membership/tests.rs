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

/// Two that have met, at one moment, on a network without delay.
fn pair() -> [Membership; 2] {
    let mut both = [membership(1), membership(2)];
    let mut out = Vec::new();
    both.iter_mut().for_each(|one| one.run_timers(0, &mut out));
    let mut waiting = datagrams(&mut out);
    while let Some((to, data)) = waiting.pop() {
        let to = usize::from(to == address(2));
        let _ = both[to].receive(0, &Envelope::decode(&data).unwrap(), &mut out);
        waiting.extend(datagrams(&mut out));
    }
    assert_eq!(both.each_ref().map(|one| one.summary().nodes), [2, 2]);
    both
}

#[test]
fn extensions_travel_alone_and_tell_their_senders_digest() {
    let [mut one, two] = pair();
    let mut out = Vec::new();
    let sent = Extension::Dissemination(vec![7]);
    let data = two.repair_datagram(&address(1), vec![sent.clone()]).unwrap();
    let mut envelope = Envelope::decode(&data).unwrap();
    assert!(envelope.payload.is_empty());
    assert_eq!(envelope.extensions(), [Extension::Sender(IdentityKey::from(two.local_peer())), sent]);
    envelope.digest = 99;
    assert_eq!(one.receive(1, &envelope, &mut out), Ok(()));
    assert_eq!(one.view(1).differing.get(&99), Some(&vec![address(2)]));
}

#[test]
fn without_the_engine_a_datagram_names_its_sender_or_is_malformed() {
    let [mut one, _] = pair();
    let mut out = Vec::new();
    let stranger =
        encode_extensions(&[Extension::Sender(IdentityKey { address: address(2), generation: 9, salt: 9 })]);
    for (schema, more, expected) in [
        (SCHEMA, &[][..], Err(DropReason::Malformed)),
        (SCHEMA, &stranger, Ok(())),
        (1, &stranger, Err(DropReason::Malformed)),
    ] {
        let envelope = Envelope {
            schema,
            cluster: "walkpick",
            digest: 5,
            nodes: 2,
            payload: &[],
            extension_bytes: more,
        };
        assert_eq!(one.receive(1, &envelope, &mut out), expected);
        assert!(!one.view(1).differing.contains_key(&5), "another life's word is none");
    }
}

#[test]
fn one_heard_in_schema_one_is_sent_no_datagram_without_the_engine() {
    let [mut one, two] = pair();
    assert!(two.reads_extensions(&address(1)) && one.reads_extensions(&address(2)));
    one.members.set_schema(&address(2), 1);
    assert_eq!(one.repair_datagram(&address(2), vec![Extension::Dissemination(vec![7])]), None);
}

/// Tells a process that it is gone, by a probe as one that holds it for gone would send it.
fn tell_it_is_gone(process: &mut Membership, from: &Peer, life: &Peer) -> Vec<(SocketAddr, Vec<u8>)> {
    let notice = suspicion::departure_notice(from, 0, life).unwrap();
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

// Guards against a living process that has another identity and is taken for gone, as probes of the earlier one that are
// under way or come from those that have not heard of it find no answer.
#[test]
fn a_probe_of_an_earlier_identity_is_answered_under_the_present_one() {
    let [one, mut two] = pair();
    let (asker, earlier) = (one.local_peer().clone(), two.local_peer().clone());
    for _ in 0..2 {
        let answers = tell_it_is_gone(&mut two, &asker, &earlier);
        let headers = answers.iter().map(|(to, data)| (*to, header(data)));
        let answered = headers.filter(|(to, header)| {
            *to == address(1)
                && matches!(header.message, foca::Message::Ack(_))
                && header.src == *two.local_peer()
        });
        assert_eq!(answered.count(), 1);
        // The second one is about a life that is over: it takes no third identity.
        assert_eq!(Some(two.local_peer()), foca::Identity::renew(&earlier).as_ref());
    }
}

#[test]
fn the_word_that_an_earlier_identity_is_gone_does_not_renew_the_present_one() {
    let [one, mut two] = pair();
    let (asker, earlier) = (one.local_peer().clone(), two.local_peer().clone());
    tell_it_is_gone(&mut two, &asker, &earlier);
    let present = two.local_peer().clone();
    let undead =
        foca::Header { src: asker, src_incarnation: 0, dst: earlier, message: foca::Message::TurnUndead };
    receive_payload(&mut two, &postcard::to_stdvec(&undead).unwrap(), &mut Vec::new());
    assert_eq!(*two.local_peer(), present);
}

// Guards against a living peer that is suspected here for as long as it is not probed, since the word that it cleared
// itself was lost: only the node whose probe failed ends a suspicion by time.
#[test]
fn one_whose_suspicion_has_no_outcome_is_asked_and_clears_itself() {
    let [mut one, mut two] = pair();
    let mut out = Vec::new();
    let suspicion = MemberUpdate::new(two.local_peer().clone(), 0, foca::State::Suspect);
    one.apply_updates(1, vec![suspicion], false, &mut out);
    one.review(2, &mut out);
    let standing = |one: &Membership| one.members.get(&address(2)).unwrap().status;
    assert_eq!(standing(&one), PeerStatus::Suspected);
    out.clear();
    for (now, expected) in [(11_000_000, 0), (13_000_000, 1)] {
        one.review(now, &mut out);
        assert_eq!(datagrams(&mut out).len(), expected, "after {now} us");
        one.suspect_notifier.remove(&address(2));
    }
    one.review(14_000_000, &mut out);
    while let Some((to, data)) = datagrams(&mut out).pop() {
        let reader = if to == address(2) { &mut two } else { &mut one };
        let _ = reader.receive(14_000_000, &Envelope::decode(&data).unwrap(), &mut out);
    }
    one.review(15_000_000, &mut out);
    assert_eq!(standing(&one), PeerStatus::Present);
}
