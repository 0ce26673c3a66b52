use super::*;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::BTreeSet;

#[test]
fn the_plans_size_fills_every_site_zone_and_region_and_links_go_both_ways_alike() {
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
fn a_way_within_a_zone_is_short_and_one_between_regions_long() {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(1);
    // Site 0 and, in the same zone, site 19; zone 8 is in region 0 as well; zone 7 is in region 7.
    for (to, least, most) in [(19, 150, 900), (8, 1_150, 1_900), (7, 200_150, 200_900)] {
        let latency = Topology::Regions.latency(0, to, &mut random);
        assert!((least..most).contains(&latency), "to {to}: {latency}");
    }
    assert!(Topology::Flat.latency(0, 7, &mut random) < 900);
}
