use super::*;

#[test]
fn what_stands_by_default_is_right() {
    assert_eq!(Hollow::default().faults(), []);
}

#[test]
fn every_value_that_is_wrong_is_told_at_once() {
    let fault = |lasts_ms| HollowFault {
        what: FaultKind::Kill,
        lasts: Duration::from_millis(lasts_ms),
        after: Duration::from_secs(1),
    };
    let hollow = Hollow {
        nodes: vec![1],
        processes: 17,
        complete: 1_000,
        loss: vec![],
        rest: Duration::ZERO,
        probe_timeout: Duration::from_millis(300),
        map: Map { regions: 0, zones: 0, farthest: Duration::from_secs(20) },
        fault: vec![fault(1), fault(1_000)],
        ..Hollow::default()
    };
    let faults = hollow.faults();
    let keys: Vec<_> = faults.iter().map(|wrong| wrong.key.as_str()).collect();
    assert_eq!(
        keys,
        [
            "nodes",
            "processes",
            "complete",
            "loss",
            "rest",
            "probe_timeout",
            "map.regions",
            "map.zones",
            "map.farthest",
            "fault 1: lasts",
            "fault 2: what"
        ]
    );
}
