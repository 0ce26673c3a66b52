use crate::measure::trials::node_simulation::{simulate, Fault, Scenario, ServerLoad, BIN};
use crate::model::{Micros, SECOND};

fn scenario(fault: Fault, fault_end: Micros) -> Scenario {
    Scenario {
        nodes: 100,
        servers: 6,
        zones: 2,
        rate: 60.0,
        fault,
        fault_start: 4 * SECOND,
        fault_end,
        length: 24 * SECOND,
    }
}

fn count(bins: &[u32], from: Micros, to: Micros) -> u32 {
    bins[(from / BIN) as usize..(to / BIN) as usize].iter().sum()
}

#[test]
fn equal_seeds_give_equal_results() {
    let scenario = scenario(Fault::Silent, 16 * SECOND);
    assert_eq!(simulate(&scenario, 3), simulate(&scenario, 3));
    assert_ne!(simulate(&scenario, 3), simulate(&scenario, 4));
}

#[test]
fn breaker_of_a_silent_server_opens_and_admits_only_trials_until_it_returns() {
    let ServerLoad { requests, opened_after, .. } = simulate(&scenario(Fault::Silent, 16 * SECOND), 1);
    let opened_after =
        opened_after.expect("sixty requests per second over six servers suffice to open the breaker");
    assert!(opened_after < 10 * SECOND, "{opened_after}");
    let calm = count(&requests, 0, 4 * SECOND);
    let down = count(&requests, 12 * SECOND, 16 * SECOND);
    assert!(down * 4 < calm, "{down} requests during the outage, {calm} before");
    let back = count(&requests, 20 * SECOND, 24 * SECOND);
    assert!(back > down, "{back} requests after the return, {down} during the outage");
}

#[test]
fn restart_breaks_connections_without_opening_the_breaker() {
    let load = simulate(&scenario(Fault::Restarted, 4 * SECOND), 1);
    assert_eq!(load.opened_after, None);
    assert!(count(&load.connections, 4 * SECOND, 6 * SECOND) > 0);
    assert!(count(&load.requests, 4 * SECOND, 24 * SECOND) > 0);
}
