use super::*;
use crate::draw::Stream;

fn origin(slots: usize) -> Origin {
    let config = OriginConfig {
        slots,
        mean_service_us: 100_000.0,
        overload_multiple: 3.0,
        overload_window_us: 3 * SECOND,
        down_us: 5 * SECOND,
    };
    Origin::new(config, draw::stream(1, Stream::Origin))
}

#[test]
fn requests_beyond_the_slots_are_served_in_order() {
    let (mut origin, mut started) = (origin(2), Vec::new());
    (0..4).for_each(|fetch| origin.request(0, fetch, &mut started));
    assert_eq!(started.iter().map(|started| started.fetch).collect::<Vec<_>>(), [0, 1]);
    assert!(origin.complete(started[0].ends_at, &mut started));
    assert_eq!(started[2].fetch, 2);
}

#[test]
fn origin_crashes_under_sustained_overload_and_recovers() {
    let (mut origin, mut started) = (origin(1), Vec::new());
    // Its capacity is ten requests per second; it crashes at three times that over three seconds.
    (0..100).for_each(|i| origin.request(i * 20_000, i, &mut started));
    assert_eq!(origin.crashes(), 1);
    let first = started[0];
    assert!(origin.complete(first.ends_at.max(2 * SECOND), &mut started) || origin.down_until.is_some());
    // A request that starts during the outage ends after it.
    let last = *started.last().unwrap();
    assert!(last.ends_at > first.ends_at);
}
