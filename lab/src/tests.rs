use super::*;

fn virtual_driver() -> DriverArgs {
    DriverArgs { driver: Some(Driver::Virtual), node: None, logs: None, lateness: Duration::ZERO }
}

fn play(
    experiment: &Experiment,
    arms: &[String],
    seeds: std::ops::Range<u64>,
    jobs: Option<usize>,
) -> Vec<Run> {
    super::run_arms(experiment, arms, seeds, jobs, &virtual_driver()).unwrap()
}

/// All shipped experiment files, each of which must be of one of the two formats.
fn shipped_of_both_formats() -> (Vec<Experiment>, Vec<ScaleExperiment>) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let (mut experiments, mut scale_experiments) = (Vec::new(), Vec::new());
    for path in std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path()) {
        match ScaleExperiment::load(&path).unwrap_or_else(|error| panic!("{error}")) {
            Some(experiment) => scale_experiments.push(experiment),
            None => experiments.push(Experiment::load(&path).unwrap_or_else(|error| panic!("{error}"))),
        }
    }
    (experiments, scale_experiments)
}

fn shipped() -> Vec<Experiment> {
    shipped_of_both_formats().0
}

#[test]
fn every_shipped_experiment_is_valid_and_has_checks() {
    let (experiments, scale_experiments) = shipped_of_both_formats();
    assert!(experiments.len() >= 9);
    for experiment in experiments {
        assert!(!experiment.check.is_empty(), "{} has no check", experiment.name);
    }
    assert!(!scale_experiments.is_empty());
    for experiment in scale_experiments {
        assert!(!experiment.checks.is_empty(), "{} has no check", experiment.name);
    }
}

// Guards against judges that detect nothing, or too much: they must report violations in each arm that is faulty on
// purpose, and none in the arm of the program.
#[test]
fn judges_report_violations_in_faulty_arms_only() {
    let all = shipped();
    let experiment = all.iter().find(|experiment| experiment.name == "judges").unwrap();
    let arms: Vec<_> = experiment.arms().into_keys().collect();
    for result in play(experiment, &arms, 1..3, None) {
        assert!(!result.checks.is_empty());
        let failed = result.checks.iter().find(|check| !check.holds);
        assert!(failed.is_none(), "{} seed {}: {failed:?}", result.arm, result.seed);
    }
}

#[test]
fn same_seed_gives_identical_runs_and_identical_draws_in_every_arm() {
    let all = shipped();
    let mut experiment = all.into_iter().find(|experiment| experiment.name == "zone-lost").unwrap();
    experiment.length = std::time::Duration::from_secs(18);
    let arms: Vec<_> = experiment.arms().into_keys().collect();
    let json = |results: &[Run]| serde_json::to_string(results).unwrap();
    let (one, two) = (play(&experiment, &arms, 7..8, None), play(&experiment, &arms, 7..8, Some(1)));
    assert_eq!(json(&one), json(&two));
    assert!(one.iter().all(|result| result.draws == one[0].draws));
    assert_ne!(one[0].draws, play(&experiment, &arms[..1], 8..9, None)[0].draws);
}

#[test]
fn confidence_interval_is_infinite_for_one_seed_and_finite_for_several() {
    assert_eq!(interval(&[0.5]), (0.5, f64::INFINITY));
    let (mean, half_width) = interval(&[1.0, 2.0, 3.0]);
    assert!((mean - 2.0).abs() < 1e-9 && (half_width - 2.484).abs() < 0.01, "{mean} {half_width}");
}
