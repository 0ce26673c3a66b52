use super::*;
use crate::peers::membership::inbound::InboundMessage;

fn peer(host: u8) -> Peer {
    let address = SocketAddr::from(([10, 0, 0, host], 7_946));
    Peer { address, generation: 1, salt: 1, observer: false, name: format!("n{host}"), metadata: Vec::new() }
}

fn told(suspicions: &mut SuspectNotifier, now: Micros) -> Vec<SocketAddr> {
    suspicions.notices(now, &peer(1), 3).into_iter().map(|notice| notice.to).collect()
}

#[test]
fn a_notice_is_a_probe_with_the_suspicion() {
    let mut suspicions = SuspectNotifier::default();
    suspicions.add(peer(2), 7);
    let notice = suspicions.notices(0, &peer(1), 3).remove(0);
    let message = InboundMessage::decode(&notice.payload).unwrap();
    let expected = Header { src: peer(1), src_incarnation: 3, dst: peer(2), message: Message::Ping(0) };
    assert_eq!((notice.to, message.header), (peer(2).address, expected));
    assert_eq!(message.updates, [Member::new(peer(2), 7, State::Suspect)]);
}

#[test]
fn suspects_are_told_in_turn_until_they_are_none() {
    let mut suspicions = SuspectNotifier::default();
    (2..5).for_each(|host| suspicions.add(peer(host), 0));
    assert_eq!(told(&mut suspicions, 0), [peer(2).address, peer(3).address]);
    assert_eq!(told(&mut suspicions, 1), [peer(4).address]);
    assert_eq!(told(&mut suspicions, 2), []);
    suspicions.remove(&peer(2).address);
    suspicions.retain(|suspect| *suspect != peer(3));
    assert_eq!(told(&mut suspicions, NOTICE_INTERVAL + 1), [peer(4).address]);
}

#[test]
fn one_that_is_said_to_be_gone_is_asked_and_has_time_to_answer() {
    let mut reports = DepartureReports::default();
    assert_eq!(reports.report(0, &peer(2), false, 0), DepartureVerdict::Verify);
    reports.mark_probed(0, &peer(2));
    assert_eq!(reports.report(PROBE_RETRY_AFTER - 1, &peer(2), false, 0), DepartureVerdict::Wait);
    assert_eq!(reports.report(PROBE_RETRY_AFTER, &peer(2), false, 0), DepartureVerdict::Verify);
    reports.mark_probed(PROBE_RETRY_AFTER, &peer(2));
    assert_eq!(reports.report(ANSWER_TIMEOUT - 1, &peer(2), false, 0), DepartureVerdict::Wait);
    assert_eq!(reports.report(ANSWER_TIMEOUT, &peer(2), false, 0), DepartureVerdict::Accept);
    let later = Peer { generation: 2, ..peer(2) };
    assert_eq!(
        reports.report(ANSWER_TIMEOUT, &later, false, 0),
        DepartureVerdict::Verify,
        "a later life is another one"
    );
    assert_eq!(
        reports.report(ANSWER_TIMEOUT + DEPARTURE_REPORT_TTL, &later, false, 0),
        DepartureVerdict::Verify
    );
    reports.expire(3 * DEPARTURE_REPORT_TTL);
    assert!(reports.by_address.is_empty());
}

#[test]
fn one_that_was_not_asked_is_not_believed_gone_however_often_it_is_said() {
    let mut reports = DepartureReports::default();
    for now in (0..DEPARTURE_REPORT_TTL).step_by(100_000) {
        assert_eq!(reports.report(now, &peer(2), false, 0), DepartureVerdict::Verify);
    }
}

#[test]
fn of_a_suspect_it_is_believed_after_its_time() {
    let mut reports = DepartureReports::default();
    assert_eq!(reports.report(0, &peer(2), true, 0), DepartureVerdict::Verify);
    reports.mark_probed(0, &peer(2));
    assert_eq!(reports.report(ANSWER_TIMEOUT - 1, &peer(2), true, 0), DepartureVerdict::Verify);
    assert_eq!(reports.report(ANSWER_TIMEOUT, &peer(2), true, 0), DepartureVerdict::Accept);
}

#[test]
fn the_word_that_it_is_taken_for_gone_reaches_a_peer_with_a_probe() {
    let notice = departure_notice(&peer(1), 3, &peer(2)).unwrap();
    let message = InboundMessage::decode(&notice.payload).unwrap();
    assert_eq!((notice.to, message.updates), (peer(2).address, vec![Member::down(peer(2))]));
}
