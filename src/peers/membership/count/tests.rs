use super::*;

const SECOND: Micros = 1_000_000;

fn rules() -> NodeCountRules {
    NodeCountRules {
        decrease_delay: Duration::from_secs(10),
        peak_window: Duration::from_secs(300),
        min_fraction: 0.5,
    }
}

#[test]
fn more_count_at_once_and_fewer_only_when_agreed_for_long_and_never_below_half() {
    let mut count = EffectiveNodeCount::new(rules(), 4);
    assert!(count.observe(0, 8, false));
    assert_eq!(count.get(), 8);
    for at in 0..9 {
        assert!(!count.observe(at * SECOND, 2, true));
    }
    // What breaks the agreement begins the time anew, and so does a node more.
    assert!(!count.observe(9 * SECOND, 2, false));
    assert!(!count.observe(10 * SECOND, 2, true));
    assert!(!count.observe(19 * SECOND, 2, true));
    assert!(count.observe(20 * SECOND, 2, true));
    assert_eq!(count.get(), 4, "half of 8");
    assert!(!count.observe(200 * SECOND, 2, true), "8 is remembered");
    // Once it is forgotten, the next step; it is again half at the most.
    assert!(count.observe(330 * SECOND, 2, true));
    assert_eq!(count.get(), 2);
    assert!(count.observe(331 * SECOND, 9, true));
}

/// Under any partition: the sum of all nodes' parts, for as long as the whole is remembered, stays within the
/// inverse of the floor.
#[test]
fn under_generated_partitions_all_parts_together_stay_within_the_stated_multiple() {
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..500 {
        let nodes = random.u32(2..200);
        let mut counts: Vec<_> = (0..nodes).map(|_| EffectiveNodeCount::new(rules(), nodes)).collect();
        let mut group: Vec<u32> = vec![0; nodes as usize];
        let mut most: f64 = 0.0;
        for second in 0..290 {
            if random.u32(0..20) == 0 {
                // A new partition, from one group to all alone.
                let groups = random.u32(1..=nodes);
                group.iter_mut().for_each(|group| *group = random.u32(0..groups));
            }
            for node in 0..nodes as usize {
                let seen = group.iter().filter(|other| **other == group[node]).count() as u32;
                let agreed = random.u32(0..50) > 0;
                counts[node].observe(second * SECOND, seen, agreed);
            }
            most = most.max(counts.iter().map(|count| 1.0 / f64::from(count.get())).sum());
        }
        assert!(most <= 2.0 + 1e-9, "{nodes} nodes took {most} times the whole");
    }
}
