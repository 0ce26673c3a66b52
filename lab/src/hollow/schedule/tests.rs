use super::*;
use crate::hollow::settings::Hollow;

fn hollow(faults: &[FaultKind]) -> Hollow {
    let fault = |what: &FaultKind| HollowFault {
        what: *what,
        lasts: Duration::from_secs(12),
        after: Duration::from_secs(10),
    };
    Hollow { fault: faults.iter().map(fault).collect(), ..Hollow::default() }
}

#[test]
fn phases_are_contiguous_and_events_are_in_time_order() {
    let kinds = [FaultKind::Kill, FaultKind::Rack, FaultKind::Zone, FaultKind::Restart, FaultKind::Region];
    let schedule = Schedule::new(&hollow(&kinds), 530);
    let names: Vec<_> = schedule.phases.iter().map(|phase| phase.name).collect();
    assert_eq!(names, ["join", "rest", "kill", "rack", "zone", "restart", "region"]);
    for pair in schedule.phases.windows(2) {
        assert_eq!(pair[0].to, pair[1].from);
    }
    assert_eq!(schedule.end, schedule.phases[6].to);
    assert!(schedule.events.windows(2).all(|pair| pair[0].at <= pair[1].at));
    let down: Vec<_> = schedule.phases.iter().map(|phase| phase.down.len()).collect();
    assert_eq!(down, [0, 0, 1, 12, 28, 32, 0]);
    assert!(schedule.phases[5].graceful);
    assert!((56..=84).contains(&schedule.phases[6].cut.len()));
}

#[test]
fn every_stopped_node_and_cut_region_is_restored() {
    let kinds = [FaultKind::Rack, FaultKind::Restart, FaultKind::Region];
    for nodes in [4, 20, 66, 530] {
        let schedule = Schedule::new(&hollow(&kinds), nodes);
        let (mut running, mut cut) = (BTreeSet::new(), BTreeSet::new());
        for event in &schedule.events {
            match event.kind {
                EventKind::Start(node) => assert!(running.insert(node), "n{node} runs already"),
                EventKind::Kill(node) | EventKind::Leave(node) => assert!(running.remove(&node)),
                EventKind::Cut(region) => assert!(cut.insert(region)),
                EventKind::Heal(region) => assert!(cut.remove(&region)),
                _ => unreachable!("nothing is published"),
            }
        }
        assert_eq!(running.len(), nodes);
        assert!(cut.is_empty());
    }
}

#[test]
fn one_node_unaffected_by_faults_publishes_everything() {
    let kinds = [FaultKind::Kill, FaultKind::Rack, FaultKind::Zone, FaultKind::Restart, FaultKind::Region];
    for with_faults in [false, true] {
        let publish = Some(Publish { with_faults, ..Publish::default() });
        let schedule = Schedule::new(&Hollow { publish, ..hollow(&kinds) }, 530);
        let publishers: BTreeSet<_> = schedule
            .events
            .iter()
            .filter_map(|event| match event.kind {
                EventKind::OpenPublisher(node)
                | EventKind::PublishEntry { node, .. }
                | EventKind::PublishState { node, .. } => Some(node),
                _ => None,
            })
            .collect();
        let publisher = *publishers.first().unwrap();
        assert_eq!(publishers.len(), 1);
        assert!(schedule.phases.iter().all(|phase| !phase.down.contains(&publisher)));
        assert!(schedule.phases.iter().all(|phase| !phase.cut.contains(&publisher)));
        let entries =
            schedule.events.iter().filter(|event| matches!(event.kind, EventKind::PublishEntry { .. }));
        let times: Vec<_> = entries.map(|event| event.at).collect();
        assert!((360..=361).contains(&times.len()), "{}", times.len());
        let publishing = &schedule.phases[2];
        assert!(times.iter().all(|at| (publishing.from..publishing.to).contains(at)));
        let first_fault = schedule.phases[3].from;
        assert_eq!(first_fault < publishing.to, with_faults);
        assert!(schedule.end >= publishing.to);
    }
}
