use super::*;

#[test]
fn datagrams_over_the_rate_are_dropped_until_tokens_refill() {
    let mut admission = Admission::new(0);
    let admitted = (0..10_000).filter(|_| admission.admit(0)).count();
    assert_eq!((admitted, admission.dropped().rate_limited), (4_000, 6_000));
    let admitted = (0..10_000).filter(|_| admission.admit(500_000)).count();
    assert_eq!((admitted, admission.dropped().rate_limited), (2_000, 14_000));
}

#[test]
fn each_drop_reason_has_its_own_count() {
    let mut admission = Admission::new(0);
    admission.drop(DropReason::Foreign);
    admission.drop(DropReason::Malformed);
    admission.drop(DropReason::Malformed);
    admission.drop(DropReason::TooManyPeers);
    assert_eq!(
        admission.dropped(),
        DroppedDatagrams { foreign: 1, malformed: 2, rate_limited: 0, too_many_peers: 1 }
    );
}
