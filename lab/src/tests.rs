use super::*;

fn virtually() -> How {
    How { driver: Some(Driver::Virtual), node: None, logs: None, lateness: Duration::ZERO }
}

fn play(
    experiment: &Experiment,
    arms: &[String],
    seeds: std::ops::Range<u64>,
    jobs: Option<usize>,
) -> Vec<Run> {
    super::play(experiment, arms, seeds, jobs, &virtually()).unwrap()
}

/// Every shipped file is an experiment of one sort or the other.
fn shipped_of_both_sorts() -> (Vec<Experiment>, Vec<ScaleExperiment>) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let (mut experiments, mut of_scale) = (Vec::new(), Vec::new());
    for path in std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path()) {
        match ScaleExperiment::load(&path).unwrap_or_else(|error| panic!("{error}")) {
            Some(experiment) => of_scale.push(experiment),
            None => experiments.push(Experiment::load(&path).unwrap_or_else(|error| panic!("{error}"))),
        }
    }
    (experiments, of_scale)
}

fn shipped() -> Vec<Experiment> {
    shipped_of_both_sorts().0
}

#[test]
fn every_shipped_experiment_can_be_read_and_can_fall_short() {
    let (all, of_scale) = shipped_of_both_sorts();
    assert!(all.len() >= 9);
    for experiment in all {
        assert!(!experiment.check.is_empty(), "{} has no check", experiment.name);
    }
    assert!(!of_scale.is_empty());
    for experiment in of_scale {
        assert!(!experiment.checks.is_empty(), "{} has no check", experiment.name);
    }
}

// Guards against a judge that sees nothing: each arm that is broken on purpose is caught, the program is not.
#[test]
fn the_judges_catch_what_is_broken_and_nothing_else() {
    let all = shipped();
    let experiment = all.iter().find(|experiment| experiment.name == "judges").unwrap();
    let arms: Vec<_> = experiment.arms().into_keys().collect();
    for result in play(experiment, &arms, 1..3, None) {
        assert!(!result.checks.is_empty());
        let short = result.checks.iter().find(|check| !check.holds);
        assert!(short.is_none(), "{} seed {}: {short:?}", result.arm, result.seed);
    }
}

#[test]
fn the_same_seed_gives_the_same_run_to_the_byte_and_the_same_draws_in_every_arm() {
    let all = shipped();
    let mut experiment = all.into_iter().find(|experiment| experiment.name == "zone-lost").unwrap();
    experiment.length = std::time::Duration::from_secs(18);
    let arms: Vec<_> = experiment.arms().into_keys().collect();
    let text = |results: &[Run]| serde_json::to_string(results).unwrap();
    let (one, two) = (play(&experiment, &arms, 7..8, None), play(&experiment, &arms, 7..8, Some(1)));
    assert_eq!(text(&one), text(&two));
    assert!(one.iter().all(|result| result.draws == one[0].draws));
    assert_ne!(one[0].draws, play(&experiment, &arms[..1], 8..9, None)[0].draws);
}

#[test]
fn an_interval_narrows_with_more_seeds_and_tells_nothing_from_one() {
    assert_eq!(interval(&[0.5]), (0.5, f64::INFINITY));
    let (mean, half) = interval(&[1.0, 2.0, 3.0]);
    assert!((mean - 2.0).abs() < 1e-9 && (half - 2.484).abs() < 0.01, "{mean} {half}");
}
