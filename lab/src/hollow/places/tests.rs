use super::*;

#[test]
fn zones_of_530_nodes_hold_27_or_28_nodes_and_lie_in_one_region_each() {
    let map = Map::default();
    let sizes: Vec<_> = (0..19).map(|zone| map.in_zone(zone, 530).len()).collect();
    assert_eq!(sizes.iter().sum::<usize>(), 530);
    assert!(sizes.iter().all(|size| (27..=28).contains(size)), "{sizes:?}");
    let regions: Vec<_> = (0..8).map(|region| map.in_region(region, 530).len()).collect();
    assert_eq!(regions.iter().sum::<usize>(), 530);
    assert_eq!(map.in_rack(0, 530).len(), 12);
    for node in 0..530 {
        assert_eq!(map.place(node).region, map.place(node + 19).region, "a zone lies in one region");
    }
}

#[test]
fn delays_are_symmetric_and_within_bounds() {
    let map = Map::default();
    let (mut min, mut max) = (Duration::MAX, Duration::ZERO);
    for one in 0..19 {
        for two in 0..19 {
            let (from, to) = (map.place(one), map.place(two));
            let delay = map.delay(from, to);
            assert_eq!(delay, map.delay(to, from));
            match (from.zone == to.zone, from.region == to.region) {
                (true, _) => assert!(delay < Duration::from_millis(1)),
                (false, true) => assert_eq!(delay, ZONE_DELAY),
                (false, false) => (min, max) = (min.min(delay), max.max(delay)),
            }
        }
    }
    assert_eq!((min, max), (Duration::from_millis(20), Duration::from_millis(200)));
}

#[test]
fn delays_scale_with_the_longest_delay_and_regions_can_be_reduced() {
    let map = Map { farthest: Duration::from_millis(100), ..Map::default() };
    assert_eq!(map.delay(map.place(0), map.place(7)), Duration::from_millis(100));
    assert_eq!(map.delay(map.place(0), map.place(1)), Duration::from_millis(10));
    let one = Map { regions: 1, ..map };
    assert_eq!(one.delay(one.place(0), one.place(1)), ZONE_DELAY);
}

#[test]
fn location_names_the_region_and_the_zone() {
    let location = Map::default().place(10).location();
    assert_eq!((location.region.as_str(), location.zone.as_str()), ("r2", "z10"));
}
