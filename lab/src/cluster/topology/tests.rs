use super::*;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::BTreeSet;

#[test]
fn planned_cluster_size_fills_every_location_and_region_delays_are_symmetric() {
    let locations: Vec<_> = (0..530).map(|node| Topology::Regions.location(node)).collect();
    let count = |of: fn(&Location) -> usize| locations.iter().map(of).collect::<BTreeSet<_>>().len();
    assert_eq!(count(|location| location.site), SITES);
    assert_eq!(count(|location| location.zone), ZONES);
    assert_eq!(count(|location| location.region), REGIONS);
    for (from, row) in BETWEEN_REGIONS_MS.iter().enumerate() {
        for (to, delay) in row.iter().enumerate() {
            assert_eq!(*delay, BETWEEN_REGIONS_MS[to][from]);
            assert!(from == to && *delay == 0 || (20..=200).contains(delay), "{from} to {to}");
        }
    }
}

#[test]
fn latency_is_short_within_a_zone_and_long_between_regions() {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(1);
    // Node 0 is in site 0. Site 19 is in the same zone, zone 8 in the same region, zone 7 in region 7.
    for (to, least, most) in [(19, 150, 900), (8, 1_150, 1_900), (7, 200_150, 200_900)] {
        let latency = Topology::Regions.latency(0, to, &mut random);
        assert!((least..most).contains(&latency), "to {to}: {latency}");
    }
    assert!(Topology::Flat.latency(0, 7, &mut random) < 900);
}
