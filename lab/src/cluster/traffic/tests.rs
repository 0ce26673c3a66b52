use super::*;

/// Each node sends a datagram of its size in `bytes` ten times a second.
fn send(meter: &mut TrafficMeter, from: Micros, seconds: u64, bytes: &[usize]) -> Micros {
    let mut now = from;
    while now < from + seconds * SECOND {
        meter.advance(now);
        for (node, bytes) in bytes.iter().enumerate().filter(|(_, bytes)| **bytes > 0) {
            meter.sent(node, *bytes);
        }
        now += SECOND / 10;
    }
    meter.advance(now);
    now
}

#[test]
fn steady_rate_has_equal_mean_and_peak() {
    let mut meter = TrafficMeter::new(2, 0);
    let now = send(&mut meter, 0, 20, &[30, 10]);
    let rates = meter.rates(now);
    assert_eq!((rates.bytes_per_s, rates.datagrams_per_s), (200.0, 10.0));
    assert_eq!((rates.peak_bytes_per_s, rates.peak_datagrams_per_s), (300.0, 10.0));
    assert_eq!(rates.peak_mean_bytes_per_s, 200.0);
    assert_eq!(meter.total(), Traffic { datagrams: 400, bytes: 8_000 });
}

#[test]
fn burst_is_averaged_over_five_seconds_wherever_it_starts() {
    for quiet in [0, 3, 7, 12] {
        let mut meter = TrafficMeter::new(2, 0);
        let now = send(&mut meter, 0, quiet, &[0, 0]);
        let now = send(&mut meter, now, 1, &[100, 0]);
        let now = send(&mut meter, now, 10, &[0, 0]);
        let rates = meter.rates(now);
        assert_eq!(rates.peak_bytes_per_s, 200.0, "after {quiet} s");
        assert_eq!(rates.peak_mean_bytes_per_s, 100.0, "after {quiet} s");
    }
}

#[test]
fn peak_is_per_node_and_cleared_by_a_reset() {
    let mut meter = TrafficMeter::new(2, 0);
    let now = send(&mut meter, 0, 5, &[100, 0]);
    let now = send(&mut meter, now, 5, &[0, 80]);
    assert_eq!(meter.rates(now).peak_bytes_per_s, 1_000.0);
    meter.reset(now);
    let now = send(&mut meter, now, 4, &[100, 100]);
    assert_eq!(meter.rates(now).peak_bytes_per_s, 0.0, "no window is complete");
    let now = send(&mut meter, now, 1, &[100, 100]);
    assert_eq!(meter.rates(now).peak_bytes_per_s, 1_000.0);
}

#[test]
fn received_bytes_are_counted_separately() {
    let mut meter = TrafficMeter::new(1, 0);
    meter.received(0, 500);
    meter.advance(6 * SECOND);
    let rates = meter.rates(6 * SECOND);
    assert_eq!((rates.peak_received_bytes_per_s, rates.peak_bytes_per_s), (100.0, 0.0));
}

#[test]
fn consecutive_periods_combine_to_a_weighted_mean_and_the_larger_peak() {
    let rates = |mean: f64, peak: f64| TrafficRates {
        bytes_per_s: mean,
        peak_bytes_per_s: peak,
        ..TrafficRates::default()
    };
    let both = rates(100.0, 900.0).followed_by(3 * SECOND, rates(200.0, 300.0), SECOND);
    assert_eq!((both.bytes_per_s, both.peak_bytes_per_s), (125.0, 900.0));
}
