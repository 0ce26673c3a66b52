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
fn increases_apply_at_once_and_decreases_after_agreement_and_not_below_half() {
    let mut count = EffectiveNodeCount::new(rules(), 4);
    assert!(count.observe(0, 8, false));
    assert_eq!(count.get(), 8);
    for at in 0..9 {
        assert!(!count.observe(at * SECOND, 2, true));
    }
    // An interruption of the agreement restarts the delay.
    assert!(!count.observe(9 * SECOND, 2, false));
    assert!(!count.observe(10 * SECOND, 2, true));
    assert!(!count.observe(19 * SECOND, 2, true));
    assert!(count.observe(20 * SECOND, 2, true));
    assert_eq!(count.get(), 4, "half of 8");
    assert!(!count.observe(200 * SECOND, 2, true), "the earlier count of 8 is still remembered");
    // Once that has expired the count decreases again, by at most half.
    assert!(count.observe(330 * SECOND, 2, true));
    assert_eq!(count.get(), 2);
    assert!(count.observe(331 * SECOND, 9, true));
}

/// Under any network partition, the shares of all nodes add up to at most the inverse of `min_fraction` for as long as the
/// full count is remembered.
#[test]
fn shares_of_all_nodes_stay_bounded_under_random_network_partitions() {
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..500 {
        let nodes = random.u32(2..200);
        let mut counts: Vec<_> = (0..nodes).map(|_| EffectiveNodeCount::new(rules(), nodes)).collect();
        let mut group: Vec<u32> = vec![0; nodes as usize];
        let mut max_sum: f64 = 0.0;
        for second in 0..290 {
            if random.u32(0..20) == 0 {
                // A new partition, into anything from one group to as many groups as nodes.
                let groups = random.u32(1..=nodes);
                group.iter_mut().for_each(|group| *group = random.u32(0..groups));
            }
            for node in 0..nodes as usize {
                let seen = group.iter().filter(|other| **other == group[node]).count() as u32;
                let agreed = random.u32(0..50) > 0;
                counts[node].observe(second * SECOND, seen, agreed);
            }
            max_sum = max_sum.max(counts.iter().map(|count| 1.0 / f64::from(count.get())).sum());
        }
        assert!(max_sum <= 2.0 + 1e-9, "{nodes} nodes used {max_sum} times the whole");
    }
}
