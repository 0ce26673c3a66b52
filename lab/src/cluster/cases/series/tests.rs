use super::*;
use crate::cluster::cases::{run, Scenario};
use crate::model::SECOND;

fn outcome(case: Case, nodes: usize, loss: f64) -> CaseOutcome {
    run(Scenario { loss, settle: SECOND, rest: 6 * SECOND, ..Scenario::new(case, nodes, 1) }).unwrap()
}

#[test]
fn series_have_a_point_for_each_outcome_and_a_name_for_each_loss() {
    let mut outcomes =
        vec![outcome(Case::Rest, 4, 0.0), outcome(Case::Rest, 6, 0.0), outcome(Case::Rest, 4, 0.05)];
    outcomes.push(outcome(Case::Split, 4, 0.0));
    // Pretends that the first outcome is of the reference size, so that ratios can be computed.
    outcomes[0].scenario.nodes = REFERENCE_NODES;
    let all = series(&outcomes, "made by hand");
    let of = |name: &str| all.iter().find(|series| series.name == name);
    let rest = of("membership.bytes_per_second.rest").unwrap();
    assert_eq!(rest.points.iter().map(|point| point.size).collect::<Vec<_>>(), [66.0, 6.0]);
    assert!(rest.points.iter().all(|point| point.value > 0.0 && point.seed == 1));
    assert_eq!((rest.unit.as_str(), rest.command.as_str()), ("B/s", "made by hand"));
    assert_eq!(of("membership.bytes_per_second.rest.loss-5-percent").unwrap().points.len(), 1);
    assert!(of("membership.bytes_per_second.peak.split").is_some());
    assert_eq!(of("membership.processor_ratio.rest").unwrap().points[0].value, 1.0);
    assert!(
        of("membership.processor_ratio.rest.loss-5-percent").is_none(),
        "there is no outcome of the reference size with loss"
    );
}

#[test]
fn measure_names_are_unique() {
    let names: std::collections::BTreeSet<_> = MEASURES.iter().map(|measure| measure.name).collect();
    assert_eq!(names.len(), MEASURES.len());
}
