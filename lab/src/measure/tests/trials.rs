use crate::measure::trials::node_play::{play, Met, Setting, Trouble, BIN};
use crate::model::{Micros, SECOND};

fn setting(trouble: Trouble, ends: Micros) -> Setting {
    Setting {
        nodes: 100,
        servers: 6,
        zones: 2,
        rate: 60.0,
        trouble,
        begins: 4 * SECOND,
        ends,
        length: 24 * SECOND,
    }
}

fn count(bins: &[u32], from: Micros, to: Micros) -> u32 {
    bins[(from / BIN) as usize..(to / BIN) as usize].iter().sum()
}

#[test]
fn equal_seeds_give_equal_plays() {
    let setting = setting(Trouble::Silent, 16 * SECOND);
    assert_eq!(play(&setting, 3), play(&setting, 3));
    assert_ne!(play(&setting, 3), play(&setting, 4));
}

#[test]
fn a_silent_server_is_shut_and_only_tried_until_it_is_back() {
    let Met { requests, shut_after, .. } = play(&setting(Trouble::Silent, 16 * SECOND), 1);
    let shut_after = shut_after.expect("sixty requests a second over six servers are enough to tell");
    assert!(shut_after < 10 * SECOND, "{shut_after}");
    let calm = count(&requests, 0, 4 * SECOND);
    let down = count(&requests, 12 * SECOND, 16 * SECOND);
    assert!(down * 4 < calm, "{down} of {calm}");
    let back = count(&requests, 20 * SECOND, 24 * SECOND);
    assert!(back > down, "{back} after its return, {down} before");
}

#[test]
fn a_restart_breaks_the_connections_and_nothing_is_shut() {
    let met = play(&setting(Trouble::Restarted, 4 * SECOND), 1);
    assert_eq!(met.shut_after, None);
    assert!(count(&met.connections, 4 * SECOND, 6 * SECOND) > 0);
    assert!(count(&met.requests, 4 * SECOND, 24 * SECOND) > 0);
}
