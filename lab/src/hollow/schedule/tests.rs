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
fn phases_follow_each_other_and_events_are_in_order() {
    let kinds = [FaultKind::Kill, FaultKind::Rack, FaultKind::Zone, FaultKind::Restart, FaultKind::Region];
    let schedule = Schedule::new(&hollow(&kinds), 530);
    let names: Vec<_> = schedule.phases.iter().map(|phase| phase.name).collect();
    assert_eq!(names, ["join", "rest", "kill", "rack", "zone", "restart", "region"]);
    for pair in schedule.phases.windows(2) {
        assert_eq!(pair[0].to, pair[1].from);
    }
    assert_eq!(schedule.end, schedule.phases[6].to);
    assert!(schedule.events.windows(2).all(|pair| pair[0].at <= pair[1].at));
    let gone: Vec<_> = schedule.phases.iter().map(|phase| phase.gone.len()).collect();
    assert_eq!(gone, [0, 0, 1, 12, 28, 32, 0]);
    assert!(schedule.phases[5].with_farewell);
    assert!((56..=84).contains(&schedule.phases[6].cut.len()));
}

#[test]
fn all_that_is_gone_comes_back() {
    let kinds = [FaultKind::Rack, FaultKind::Restart, FaultKind::Region];
    for nodes in [4, 20, 66, 530] {
        let schedule = Schedule::new(&hollow(&kinds), nodes);
        let (mut running, mut cut) = (BTreeSet::new(), BTreeSet::new());
        for event in &schedule.events {
            match event.what {
                Happening::Start(node) => assert!(running.insert(node), "n{node} runs already"),
                Happening::Kill(node) | Happening::Leave(node) => assert!(running.remove(&node)),
                Happening::Cut(region) => assert!(cut.insert(region)),
                Happening::Heal(region) => assert!(cut.remove(&region)),
            }
        }
        assert_eq!(running.len(), nodes);
        assert!(cut.is_empty());
    }
}
