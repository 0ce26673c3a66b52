use crate::measure::decisions::{loop_unit, play, Fleet, Shape};
use walkpick::{Action, Event, Request, Timestamp};

#[test]
fn a_shape_gives_a_balancer_that_sends() {
    let shape = Shape { servers: 10, zones: 3, tenants: 5, classes: 2, popular_keys: 4, one_cold: true };
    let mut balancer = shape.balancer(7);
    let now = Timestamp::from_micros(1_000_100_000);
    let mut actions = Vec::new();
    balancer.handle(now, Event::Request(Request::new("r", Timestamp::MAX)), &mut actions);
    assert!(actions.iter().any(|action| matches!(action, Action::Send { .. })), "{actions:?}");
}

#[test]
fn plays_take_time_whatever_the_fleet_does() {
    let shape = Shape { servers: 10, ..Shape::default() };
    for fleet in [Fleet::Answers, Fleet::Silent] {
        let took = play(&mut shape.balancer(1), &shape, fleet, 200, 1);
        assert!(took > 0.0, "{fleet:?}: {took}");
    }
    assert!(loop_unit() > 0.0);
}
