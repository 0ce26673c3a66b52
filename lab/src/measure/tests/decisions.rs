use crate::measure::decisions::{loop_unit, run_requests, Scenario, ServerBehavior};
use walkpick::{Action, Event, Request, Timestamp};

#[test]
fn scenario_balancer_sends_a_request() {
    let scenario =
        Scenario { servers: 10, zones: 3, tenants: 5, classes: 2, popular_keys: 4, one_cold: true };
    let mut balancer = scenario.balancer(7);
    let now = Timestamp::from_micros(1_000_100_000);
    let mut actions = Vec::new();
    balancer.handle(now, Event::Request(Request::new("r", Timestamp::MAX)), &mut actions);
    assert!(actions.iter().any(|action| matches!(action, Action::Send { .. })), "{actions:?}");
}

#[test]
fn run_time_is_positive_for_responsive_and_unresponsive_servers() {
    let scenario = Scenario { servers: 10, ..Scenario::default() };
    for behavior in [ServerBehavior::Responsive, ServerBehavior::Unresponsive] {
        let took = run_requests(&mut scenario.balancer(1), &scenario, behavior, 200, 1);
        assert!(took > 0.0, "{behavior:?}: {took}");
    }
    assert!(loop_unit() > 0.0);
}
