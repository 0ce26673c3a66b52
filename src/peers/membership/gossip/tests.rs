use super::*;

#[test]
fn burst_is_detected_by_rate_and_expires() {
    let mut rate = ChangeRate::new(0);
    for second in 0..60 {
        rate.add(second * 1_000_000, 5);
        assert!(!rate.is_burst(second * 1_000_000), "five changes per second are no burst");
    }
    rate.add(60_000_000, 40);
    assert!(rate.is_burst(60_000_000));
    assert!(rate.plan(60_000_000).max_transmissions < rate.plan(70_000_000).max_transmissions);
    assert!(!rate.is_burst(70_000_000));
}
