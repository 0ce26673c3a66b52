use super::*;

fn load() -> Load {
    Load {
        rate: 200.0,
        swing: 0.1,
        zones: 2,
        first_zone: 0.6,
        keys: 1_000,
        zipf: 0.9,
        drift: 0.0,
        try_share: (0.5, 0.6),
        heeds: 0.5,
    }
}

// Guards against clients that do what the protocol's clients never do: a charge sent again by its client would
// look like a node's.
#[test]
fn clients_repeat_what_does_no_harm_alone() {
    let keyed = kinds()[3].class.effect;
    let all = [Effect::Safe, Effect::Unsafe, keyed];
    assert!(all.iter().all(|&effect| repeats(effect, End::Refused, 0)));
    assert!(all.iter().all(|&effect| repeats(effect, End::Unreached, 0)));
    assert!(all.iter().all(|&effect| !repeats(effect, End::Served, 0)));
    assert_eq!(all.map(|effect| repeats(effect, End::None, 2 * SECOND)), [true, false, true]);
    assert_eq!(all.map(|effect| repeats(effect, End::Failed, 4 * SECOND)), [true, false, false]);
}

#[test]
fn arrivals_keep_their_rate_their_classes_and_their_zones() {
    let asks = arrivals(1, 60 * SECOND, &load(), &kinds());
    assert!((11_000..13_000).contains(&asks.len()), "{}", asks.len());
    let part =
        |of: &dyn Fn(&Ask) -> bool| asks.iter().filter(|ask| of(ask)).count() as f64 / asks.len() as f64;
    assert!((part(&|ask| ask.kind == 0) - 0.605).abs() < 0.02);
    assert!((part(&|ask| ask.zone == 0) - 0.6).abs() < 0.02);
    let work = asks.iter().filter(|ask| ask.kind == 0).map(|ask| ask.work_us);
    let mean = work.sum::<f64>() / (part(&|ask| ask.kind == 0) * asks.len() as f64);
    assert!((mean / 86_000.0 - 1.0).abs() < 0.06, "{mean}");
    assert!(asks.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

// Guards against a drift that moves every rank at once: no object would be popular for longer than an instant.
#[test]
fn each_second_the_drift_moves_that_part_of_the_ranks_and_leaves_the_others() {
    let load = Load { drift: 0.05, ..load() };
    let moved = |to: Micros| (0..1_000).filter(|&r| object(r, 0, &load) != object(r, to, &load)).count();
    assert!((30..70).contains(&moved(SECOND)), "{}", moved(SECOND));
    assert!((430..570).contains(&moved(10 * SECOND)), "{}", moved(10 * SECOND));
}

#[test]
fn the_same_seed_draws_the_same_and_another_one_others() {
    let drawn = |seed| arrivals(seed, SECOND, &load(), &kinds()).iter().map(|a| a.key).collect::<Vec<_>>();
    assert_eq!(drawn(1), drawn(1));
    assert_ne!(drawn(1), drawn(2));
}
