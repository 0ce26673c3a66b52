use super::*;
use crate::peers::membership::inbound::InboundMessage;

fn peer(host: u8) -> Peer {
    let address = SocketAddr::from(([10, 0, 0, host], 7_946));
    Peer { address, generation: 1, salt: 1, observer: false, name: format!("n{host}"), metadata: Vec::new() }
}

fn notified(notifier: &mut SuspectNotifier, now: Micros) -> Vec<SocketAddr> {
    notifier.notices(now, &peer(1), 3).into_iter().map(|notice| notice.to).collect()
}

#[test]
fn notice_is_a_probe_that_carries_the_suspicion() {
    let mut notifier = SuspectNotifier::default();
    notifier.add(peer(2), 7);
    let notice = notifier.notices(0, &peer(1), 3).remove(0);
    let message = InboundMessage::decode(&notice.payload).unwrap();
    let expected = Header { src: peer(1), src_incarnation: 3, dst: peer(2), message: Message::Ping(0) };
    assert_eq!((notice.to, message.header), (peer(2).address, expected));
    assert_eq!(message.updates, [Member::new(peer(2), 7, State::Suspect)]);
}

#[test]
fn suspects_are_notified_in_turn_until_they_are_removed() {
    let mut notifier = SuspectNotifier::default();
    (2..5).for_each(|host| notifier.add(peer(host), 0));
    assert_eq!(notified(&mut notifier, 0), [peer(2).address, peer(3).address]);
    assert_eq!(notified(&mut notifier, 1), [peer(4).address]);
    assert_eq!(notified(&mut notifier, 2), []);
    notifier.remove(&peer(2).address);
    notifier.retain(|suspect| *suspect != peer(3));
    assert_eq!(notified(&mut notifier, NOTICE_INTERVAL + 1), [peer(4).address]);
}

#[test]
fn reported_peer_is_probed_twice_and_the_report_accepted_after_the_answer_timeout() {
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
        "a later identity needs its own report"
    );
    assert_eq!(
        reports.report(ANSWER_TIMEOUT + DEPARTURE_REPORT_TTL, &later, false, 0),
        DepartureVerdict::Verify
    );
    reports.expire(3 * DEPARTURE_REPORT_TTL);
    assert!(reports.by_address.is_empty());
}

#[test]
fn report_about_a_peer_that_was_not_probed_is_never_accepted() {
    let mut reports = DepartureReports::default();
    for now in (0..DEPARTURE_REPORT_TTL).step_by(100_000) {
        assert_eq!(reports.report(now, &peer(2), false, 0), DepartureVerdict::Verify);
    }
}

#[test]
fn report_about_a_suspect_is_accepted_after_the_answer_timeout() {
    let mut reports = DepartureReports::default();
    assert_eq!(reports.report(0, &peer(2), true, 0), DepartureVerdict::Verify);
    reports.mark_probed(0, &peer(2));
    assert_eq!(reports.report(ANSWER_TIMEOUT - 1, &peer(2), true, 0), DepartureVerdict::Verify);
    assert_eq!(reports.report(ANSWER_TIMEOUT, &peer(2), true, 0), DepartureVerdict::Accept);
}

#[test]
fn departure_notice_is_a_probe_that_carries_the_report() {
    let notice = departure_notice(&peer(1), 3, &peer(2)).unwrap();
    let message = InboundMessage::decode(&notice.payload).unwrap();
    assert_eq!((notice.to, message.updates), (peer(2).address, vec![Member::down(peer(2))]));
}
