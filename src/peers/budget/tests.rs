use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn bytes_sent_stay_within_depth_and_rate() {
    let mut budget = ByteBudget::new(1_000, 2_000, 0);
    let mut sent = 0;
    for tick in 0..1_000 {
        let now = tick * SECOND / 100;
        if budget.try_take(now, TrafficClass::Membership, 100) {
            sent += 100;
        }
    }
    assert!((11_800..=12_000).contains(&sent), "{sent} bytes in 10 s");
}

#[test]
fn lower_classes_leave_a_reserve_to_higher_ones() {
    let mut budget = ByteBudget::new(1_000, 2_000, 0);
    while budget.try_take(0, TrafficClass::Repair, 100) {}
    assert!(budget.try_take(0, TrafficClass::Log, 100));
    while budget.try_take(0, TrafficClass::Log, 100) {}
    assert!(budget.try_take(0, TrafficClass::Configuration, 100));
    while budget.try_take(0, TrafficClass::Configuration, 100) {}
    assert!(budget.try_take(0, TrafficClass::Membership, 100));
}

#[test]
fn bytes_are_available_exactly_after_the_returned_wait() {
    let mut budget = ByteBudget::new(1_000, 2_000, 0);
    budget.charge(0, 2_500);
    let wait = budget.time_until_available(0, TrafficClass::Log, 300).expect("deep enough");
    assert!(!budget.try_take(wait - 1, TrafficClass::Log, 300));
    assert!(budget.try_take(wait, TrafficClass::Log, 300));
    assert_eq!(budget.time_until_available(wait, TrafficClass::Repair, 1_300), None);
}
