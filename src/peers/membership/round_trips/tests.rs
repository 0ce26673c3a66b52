use super::*;

const MIN_TIMEOUT: Micros = 180_000;

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_946))
}

/// Round trips after probes of a region were answered after these times.
fn measured(region: &str, times: &[Micros]) -> RoundTrips {
    let mut round_trips = RoundTrips::default();
    for (number, &took) in times.iter().enumerate() {
        let number = number as foca::ProbeNumber;
        round_trips.sent(0, address(1), number);
        round_trips.acknowledged(took, address(1), number, region);
    }
    round_trips
}

#[test]
fn near_region_has_the_configured_timeout_and_far_region_more_than_its_round_trip() {
    let near = measured("east", &[900; 20]);
    assert_eq!(near.timeout("east", MIN_TIMEOUT), MIN_TIMEOUT);
    let far = measured("west", &[400_000; 20]);
    assert!(
        (450_000..600_000).contains(&far.timeout("west", MIN_TIMEOUT)),
        "{}",
        far.timeout("west", MIN_TIMEOUT)
    );
}

#[test]
fn timeout_covers_the_farthest_peer_of_a_region_with_mixed_distances() {
    // Without configured regions, all peers are in the unnamed one.
    let times: Vec<Micros> = (0..200).map(|probe| 1_000 + probe % 9 * 50_000).collect();
    let mixed = measured("", &times);
    assert!(mixed.timeout("", MIN_TIMEOUT) > 401_000, "{}", mixed.timeout("", MIN_TIMEOUT));
}

#[test]
fn unmeasured_region_has_the_longest_measured_timeout_or_the_default() {
    assert_eq!(RoundTrips::default().timeout("east", MIN_TIMEOUT), UNMEASURED_TIMEOUT);
    assert_eq!(measured("east", &[900; 20]).timeout("west", MIN_TIMEOUT), UNMEASURED_TIMEOUT);
    assert!(measured("east", &[700_000; 20]).timeout("west", MIN_TIMEOUT) > UNMEASURED_TIMEOUT);
    assert_eq!(measured("east", &[60_000_000; 20]).timeout("west", MIN_TIMEOUT), MAX_TIMEOUT);
}

#[test]
fn answer_after_the_next_probe_has_started_is_a_valid_sample() {
    let mut round_trips = RoundTrips::default();
    round_trips.sent(0, address(1), 1);
    round_trips.sent(400_000, address(2), 2);
    round_trips.acknowledged(450_000, address(1), 1, "west");
    assert!(round_trips.timeout("west", MIN_TIMEOUT) > 450_000);
}

#[test]
fn answers_that_match_no_outstanding_probe_are_ignored() {
    let mut round_trips = RoundTrips::default();
    round_trips.sent(0, address(1), 1);
    round_trips.acknowledged(900, address(2), 1, "east");
    round_trips.acknowledged(900, address(1), 2, "east");
    assert_eq!(round_trips.timeout("east", MIN_TIMEOUT), UNMEASURED_TIMEOUT);
    round_trips.forget_outstanding();
    round_trips.acknowledged(900, address(1), 1, "east");
    assert_eq!(round_trips.timeout("east", MIN_TIMEOUT), UNMEASURED_TIMEOUT);
}

#[test]
fn regions_and_outstanding_probes_are_bounded() {
    let mut round_trips = RoundTrips::default();
    for probe in 0..1_000u16 {
        let number = probe as foca::ProbeNumber;
        round_trips.sent(0, address(1), number);
        round_trips.sent(0, address(2), number);
        round_trips.acknowledged(1, address(1), number, &format!("region {probe}"));
    }
    assert_eq!(round_trips.by_region.len(), MAX_REGIONS);
    assert!(round_trips.outstanding.len() <= MAX_OUTSTANDING);
}
