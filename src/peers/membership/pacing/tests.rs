use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn deferrable_bytes_stay_within_the_limit_over_any_five_seconds() {
    let mut pacing = Pacing::new(0);
    let mut sent = Vec::new();
    for tick in 0..2_000u64 {
        let now = tick * SECOND / 100;
        // The bucket fills up during an idle time, before a storm of requests.
        if now > 8 * SECOND && pacing.try_take(now, RepairPriority::Response, 1_000) {
            sent.push((now, 1_000));
        }
    }
    for &(from, _) in &sent {
        let within = sent.iter().filter(|(at, _)| (from..from + 5 * SECOND).contains(at));
        let bytes: usize = within.map(|(_, bytes)| bytes).sum();
        assert!(bytes <= 40_000, "{bytes} bytes in 5 s");
    }
    assert!(sent.len() > 70, "{}", sent.len());
}

#[test]
fn comparisons_are_held_back_before_gossip_and_gossip_before_responses() {
    let mut pacing = Pacing::new(0);
    while pacing.try_take(0, RepairPriority::Comparison, 100) {}
    assert_eq!(pacing.gossip_wait(0, 1, 10), None);
    while pacing.gossip_wait(0, 1, 10).is_none() {
        pacing.charge(0, 480);
    }
    assert!(pacing.try_take(0, RepairPriority::Response, 100));
    assert!(pacing.gossip_wait(0, 1, 10) >= Some(GOSSIP_WAIT_RANGE.0));
    assert_eq!(pacing.gossip_wait(0, 1, 0), None, "without updates nothing is sent");
}

#[test]
fn member_lists_are_reduced_and_then_dropped_as_the_budget_runs_out() {
    let mut pacing = Pacing::new(0);
    assert_eq!(pacing.members_in_feed(0, false, 1_200), Some(usize::MAX));
    pacing.charge(0, BURST_BYTES as usize - 1_000);
    assert_eq!(pacing.members_in_feed(0, false, 1_200), Some(REDUCED_LIST_MEMBERS));
    pacing.charge(0, 1_000);
    assert_eq!(pacing.members_in_feed(0, false, 1_200), None);
    assert_eq!(pacing.members_in_feed(2 * SECOND, false, 1_200), Some(usize::MAX));
    assert_eq!(
        pacing.members_in_feed(2 * SECOND, true, 1_200),
        Some(REDUCED_LIST_MEMBERS),
        "the receiver requests what it lacks"
    );
}
