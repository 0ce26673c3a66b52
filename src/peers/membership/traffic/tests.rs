use super::*;

#[test]
fn each_traffic_kind_has_its_own_count() {
    let mut traffic = Traffic::default();
    for (place, kind) in TRAFFIC_KINDS.into_iter().enumerate() {
        traffic.add(kind, 100 * (place + 1));
        traffic.add(kind, 1);
    }
    for (place, kind) in TRAFFIC_KINDS.into_iter().enumerate() {
        let expected = TrafficCount { datagrams: 2, bytes: 100 * (place as u64 + 1) + 1 };
        assert_eq!(traffic.sent(kind), expected, "{kind:?}");
    }
}
