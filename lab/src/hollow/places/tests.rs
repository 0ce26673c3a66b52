use super::*;

fn map() -> Map {
    let ms = Duration::from_millis;
    Map { regions: 8, zones: 19, nearest: ms(20), farthest: ms(200) }
}

#[test]
fn zones_of_530_nodes_hold_28_and_lie_in_one_region_each() {
    let map = map();
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
fn delays_are_the_same_both_ways_and_within_their_bounds() {
    let map = map();
    let (mut least, mut most) = (Duration::MAX, Duration::ZERO);
    for one in 0..19 {
        for two in 0..19 {
            let (from, to) = (map.place(one), map.place(two));
            let delay = map.delay(from, to);
            assert_eq!(delay, map.delay(to, from));
            match (from.zone == to.zone, from.region == to.region) {
                (true, _) => assert!(delay < Duration::from_millis(1)),
                (false, true) => assert_eq!(delay, BETWEEN_ZONES),
                (false, false) => (least, most) = (least.min(delay), most.max(delay)),
            }
        }
    }
    assert_eq!((least, most), (map.nearest, map.farthest));
}

#[test]
fn one_region_or_two_have_delays_too() {
    let map = Map { regions: 2, ..map() };
    assert_eq!(map.delay(map.place(0), map.place(1)), map.nearest);
    let map = Map { regions: 1, ..map };
    assert_eq!(map.delay(map.place(0), map.place(1)), BETWEEN_ZONES);
}
