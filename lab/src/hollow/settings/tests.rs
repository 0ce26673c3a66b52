use super::*;

#[test]
fn default_settings_are_valid() {
    assert_eq!(Hollow::default().validate(), []);
}

#[test]
fn all_invalid_settings_are_reported_at_once() {
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
    let invalid_settings = hollow.validate();
    let keys: Vec<_> = invalid_settings.iter().map(|invalid| invalid.key.as_str()).collect();
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
