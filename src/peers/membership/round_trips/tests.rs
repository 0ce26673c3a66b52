use super::*;

const LEAST: Micros = 180_000;

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_946))
}

/// Probes of a region that are answered after these times.
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
fn near_peers_have_the_configured_time_and_far_ones_longer_than_their_round_trip() {
    let near = measured("east", &[900; 20]);
    assert_eq!(near.timeout("east", LEAST), LEAST);
    let far = measured("west", &[400_000; 20]);
    assert!((450_000..600_000).contains(&far.timeout("west", LEAST)), "{}", far.timeout("west", LEAST));
}

#[test]
fn peers_of_one_name_at_different_distances_wait_for_the_farthest() {
    // No regions are configured: all peers are told as of one.
    let times: Vec<Micros> = (0..200).map(|probe| 1_000 + probe % 9 * 50_000).collect();
    let mixed = measured("", &times);
    assert!(mixed.timeout("", LEAST) > 401_000, "{}", mixed.timeout("", LEAST));
}

#[test]
fn a_region_that_was_never_measured_waits_for_the_farthest_that_may_be() {
    assert_eq!(RoundTrips::default().timeout("east", LEAST), UNMEASURED_TIMEOUT);
    assert_eq!(measured("east", &[900; 20]).timeout("west", LEAST), UNMEASURED_TIMEOUT);
    assert!(measured("east", &[700_000; 20]).timeout("west", LEAST) > UNMEASURED_TIMEOUT);
    assert_eq!(measured("east", &[60_000_000; 20]).timeout("west", LEAST), MAX_TIMEOUT);
}

#[test]
fn an_answer_that_comes_after_the_next_probe_has_begun_tells_the_time() {
    let mut round_trips = RoundTrips::default();
    round_trips.sent(0, address(1), 1);
    round_trips.sent(400_000, address(2), 2);
    round_trips.acknowledged(450_000, address(1), 1, "west");
    assert!(round_trips.timeout("west", LEAST) > 450_000);
}

#[test]
fn answers_to_what_was_not_asked_tell_nothing() {
    let mut round_trips = RoundTrips::default();
    round_trips.sent(0, address(1), 1);
    round_trips.acknowledged(900, address(2), 1, "east");
    round_trips.acknowledged(900, address(1), 2, "east");
    assert_eq!(round_trips.timeout("east", LEAST), UNMEASURED_TIMEOUT);
    round_trips.forget_outstanding();
    round_trips.acknowledged(900, address(1), 1, "east");
    assert_eq!(round_trips.timeout("east", LEAST), UNMEASURED_TIMEOUT);
}

#[test]
fn what_is_kept_is_bounded() {
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
