//! The circuit breaker's state transitions at each boundary, observed through the servers that requests are sent to.

mod common;
use common::*;
use std::cell::Cell;
use walkpick::*;

thread_local!(static LAST_KEY: Cell<u64> = const { Cell::new(7) });

/// The next key that hashes to the same one of two servers as key 7. A single key would make up all of the load and
/// would therefore be spread.
fn next_key() -> u64 {
    let owner = |key| Node::with_servers(settings(), 2).read_key(key, Status::Ok);
    let next = (LAST_KEY.get() + 1..).find(|&key| owner(key) == owner(7)).expect("every second key does");
    LAST_KEY.set(next);
    next
}

/// A node with two servers, and the server that the keys hash to.
fn two_servers() -> (Node, ServerId) {
    let mut node = Node::with_servers(settings(), 2);
    let key_server = node.read_key(next_key(), Status::Ok).expect("served");
    (node, key_server)
}

fn trip(node: &mut Node, key_server: &ServerId) {
    for _ in 0..20 {
        if node.read_key(next_key(), Status::Failed).as_ref() != Some(key_server) {
            return;
        }
    }
    panic!("20 failures did not trip the breaker");
}

#[test]
fn the_breaker_trips_at_three_failures_but_not_at_two() {
    let mut node = Node::with_servers(settings(), 2);
    let key_server = node.read_key(next_key(), Status::Failed).expect("sent");
    assert_eq!(node.read_key(next_key(), Status::Failed), Some(key_server.clone()));
    assert_eq!(
        node.read_key(next_key(), Status::Failed),
        Some(key_server.clone()),
        "the third request is still sent there"
    );
    assert_ne!(
        node.read_key(next_key(), Status::Ok),
        Some(key_server),
        "three failures out of three trip the breaker"
    );
}

#[test]
fn a_failure_rate_below_the_threshold_does_not_trip() {
    let (mut node, key_server) = two_servers();
    for _ in 0..10 {
        // Failures stay at half of the requests.
        assert_eq!(node.read_key(next_key(), Status::Failed), Some(key_server.clone()));
        assert_eq!(node.read_key(next_key(), Status::Ok), Some(key_server.clone()));
    }
}

#[test]
fn failures_of_an_earlier_window_do_not_count() {
    let (mut node, key_server) = two_servers();
    node.read_key(next_key(), Status::Failed);
    node.advance(ms(5_000));
    // If the previous window counted, this failure would trip the breaker at 2 of 3.
    assert_eq!(node.read_key(next_key(), Status::Failed), Some(key_server.clone()));
    assert_eq!(node.read_key(next_key(), Status::Ok), Some(key_server));
}

/// Guards against a breaker that trips by chance on the first three requests of each window, where the server fails
/// half of its requests.
#[test]
fn a_failure_rate_below_the_threshold_does_not_trip_at_the_start_of_a_window() {
    let (mut node, key_server) = two_servers();
    for _ in 0..10 {
        assert_eq!(node.read_key(next_key(), Status::Failed), Some(key_server.clone()));
        assert_eq!(node.read_key(next_key(), Status::Ok), Some(key_server.clone()));
    }
    node.advance(ms(5_000));
    for status in [Status::Failed, Status::Ok, Status::Failed, Status::Ok] {
        assert_eq!(node.read_key(next_key(), status), Some(key_server.clone()));
    }
}

#[test]
fn an_open_breaker_blocks_until_its_cooldown_ends_and_three_trials_close_it() {
    let (mut node, key_server) = two_servers();
    trip(&mut node, &key_server);
    assert_ne!(node.read_key(next_key(), Status::Ok), Some(key_server.clone()));
    node.advance(ms(5_990));
    assert_ne!(
        node.read_key(next_key(), Status::Ok),
        Some(key_server.clone()),
        "just before the cooldown ends"
    );
    node.advance(ms(10));
    for _ in 0..4 {
        assert_eq!(node.read_key(next_key(), Status::Ok), Some(key_server.clone()));
    }
}

#[test]
fn a_half_open_breaker_admits_three_concurrent_trials_and_reopens_on_one_failure() {
    let (mut node, key_server) = two_servers();
    trip(&mut node, &key_server);
    node.advance(ms(6_000));
    let ids: Vec<RequestId> = (0..4).map(|_| node.request(0, next_key(), ms(400))).collect();
    let at_key_server = ids.iter().filter(|id| node.in_flight(id).expect("sent").1 == key_server).count();
    assert_eq!(at_key_server, 3, "the fourth request is sent to the other server");
    node.complete(&ids[0], Status::Failed);
    assert_ne!(node.read_key(next_key(), Status::Ok), Some(key_server.clone()), "reopened");
    // Successes of earlier trials do not count once the breaker has reopened.
    node.complete(&ids[1], Status::Ok);
    node.complete(&ids[2], Status::Ok);
    assert_ne!(node.read_key(next_key(), Status::Ok), Some(key_server));
}

#[test]
fn a_cancelled_trial_frees_its_slot() {
    let (mut node, key_server) = two_servers();
    trip(&mut node, &key_server);
    node.advance(ms(6_000));
    let ids: Vec<RequestId> = (0..3).map(|_| node.request(0, next_key(), ms(400))).collect();
    for id in &ids {
        node.complete(id, Status::Canceled);
    }
    assert_eq!(node.read_key(next_key(), Status::Ok), Some(key_server));
}

#[test]
fn outcomes_of_requests_sent_in_an_earlier_state_do_not_count() {
    let (mut node, key_server) = two_servers();
    let late = node.request(0, next_key(), ms(30_000));
    trip(&mut node, &key_server);
    node.advance(ms(6_000));
    for _ in 0..3 {
        node.read_key(next_key(), Status::Ok);
    }
    // This request was sent before the breaker tripped: its failure must not count now that the breaker has closed
    // again.
    node.complete(&late, Status::Failed);
    node.read_key(next_key(), Status::Failed);
    node.read_key(next_key(), Status::Failed);
    assert_eq!(node.read_key(next_key(), Status::Ok), Some(key_server));
}

#[test]
fn a_restarted_server_starts_with_a_fresh_breaker() {
    let (mut node, key_server) = two_servers();
    // No server list arrives for 60 s, so a start 60 s ago may have gone unnoticed.
    node.advance(ms(60_000));
    trip(&mut node, &key_server);
    let long_ago = Timestamp::from_micros(node.now.as_micros() - 60_000_000);
    node.update_servers(vec![ServerEntry {
        started: Some(long_ago),
        ..ServerEntry::new(key_server.as_str())
    }]);
    assert_eq!(node.read_key(next_key(), Status::Ok), Some(key_server));
}

#[test]
fn requests_go_to_the_keys_server_when_every_breaker_is_open() {
    let mut node = Node::with_servers(settings(), 1);
    let key_server = node.read_key(next_key(), Status::Ok).expect("served");
    for _ in 0..30 {
        assert_eq!(
            node.read_key(next_key(), Status::ConnectError),
            Some(key_server.clone()),
            "the only server is used even with its breaker open"
        );
    }
}

/// Guards against a common cause that opens every breaker, so that all keys move to the last server.
#[test]
fn most_servers_stay_in_use_when_all_fail() {
    let mut node = Node::with_servers(settings(), 10);
    for key in 0..400 {
        node.read_key(key, Status::Failed);
        node.advance(ms(5));
    }
    let mut used = std::collections::BTreeSet::new();
    for key in 0..400 {
        used.extend(node.read_key(key, Status::Ok));
        node.advance(ms(1));
    }
    assert!(used.len() >= 6, "only {} of 10 servers are in use", used.len());
}

/// A breaker trips only for a server that fails while the others succeed: a failure of all servers has a common cause.
#[test]
fn a_server_is_ejected_only_if_the_other_servers_succeed() {
    let trips = |others: Status| {
        let mut node = Node::with_servers(settings(), 10);
        for key in 0..60 {
            let id = node.request(0, key, ms(400));
            let (_, server) = node.in_flight(&id).expect("sent");
            node.complete(&id, if server.as_str() == "a" { Status::Failed } else { others });
            if node.in_flight(&id).is_some() {
                node.complete(&id, Status::Ok);
            }
            node.advance(ms(5));
        }
        let tripped = |action: &&Action| matches!(action, Action::Log(line) if line.contains(" a tripped"));
        node.trace.iter().filter(tripped).count()
    };
    assert_eq!(trips(Status::Ok), 1);
    assert_eq!(trips(Status::Failed), 0);
}

/// Fetches that fail at every server are a failure of the origin. Its breaker refuses misses and writes until the
/// origin has drained its queue. Meanwhile keys that are known to be cached are served, and no server is ejected.
#[test]
fn failed_fetches_trip_the_origins_breaker_but_no_servers_breaker() {
    let mut node = Node::with_servers(settings(), 4);
    let read = |node: &mut Node, key, status, cache_status| {
        let id = node.request(0, key, ms(400));
        while let Some((attempt, _)) = node.in_flight(&id) {
            node.end_attempt_with_cache_status(&id, attempt, status, Some(cache_status));
        }
        !node.requests[&id].attempts.is_empty()
    };
    for key in 0..8 {
        assert!(read(&mut node, key, Status::Ok, CacheStatus::Hit));
    }
    for key in 100..108 {
        read(&mut node, key, Status::Failed, CacheStatus::Miss);
        node.advance(ms(10));
    }
    let count_logs = |node: &Node, text: &str| {
        let matching = |action: &&Action| matches!(action, Action::Log(line) if line.contains(text));
        node.trace.iter().filter(matching).count()
    };
    assert_eq!((count_logs(&node, "origin tripped"), count_logs(&node, "tripped")), (1, 1));
    assert!(!read(&mut node, 200, Status::Ok, CacheStatus::Miss), "a likely miss is refused");
    assert!(read(&mut node, 3, Status::Ok, CacheStatus::Hit), "a cached key is served");
    let write = Request { write: true, class: Some(ClassId(1)), ..Request::new("w", node.now + ms(400)) };
    let write = node.submit(write);
    assert!(node.requests[&write].ended, "a write is refused");
    node.advance(ms(9_000));
    for key in 300..303 {
        assert!(read(&mut node, key, Status::Ok, CacheStatus::Miss), "a trial after the cooldown");
    }
    assert!(read(&mut node, 303, Status::Ok, CacheStatus::Miss), "the breaker has closed");
}

/// Guards against an origin breaker that stays half-open forever because trials that time out keep their slots. Such a
/// trial says nothing about the origin.
#[test]
fn timed_out_trials_do_not_block_the_origin_permanently() {
    let mut node = Node::with_servers(settings(), 4);
    for key in 100..108 {
        let id = node.request(0, key, ms(400));
        while let Some((attempt, _)) = node.in_flight(&id) {
            node.end_attempt_with_cache_status(&id, attempt, Status::Failed, Some(CacheStatus::Miss));
        }
    }
    node.advance(ms(9_000));
    for key in 0..9 {
        node.request(0, key, ms(400));
        node.advance(ms(1_000));
    }
    let id = node.request(0, 77, ms(400));
    assert!(node.in_flight(&id).is_some());
}

/// Guards against a breaker that trips under overload, when the first few requests of a window are all overdue,
/// although they succeed in the end.
#[test]
fn late_successes_do_not_trip_the_breaker() {
    let (mut node, key_server) = two_servers();
    let ids: Vec<RequestId> = (0..4).map(|_| node.request(0, next_key(), ms(400))).collect();
    assert!(ids.iter().all(|id| node.in_flight(id).expect("sent").1 == key_server));
    node.advance(ms(120));
    for id in &ids {
        node.complete(id, Status::Ok);
    }
    assert_eq!(node.read_key(next_key(), Status::Ok), Some(key_server));
}
