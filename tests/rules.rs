//! The four routing rules, each in isolation and under random valid sequences of events (fixed seeds).

mod common;
use common::*;
use std::time::Duration;
use walkpick::*;

#[test]
fn an_unsafe_request_is_retried_only_if_it_never_ran() {
    let mut node = Node::with_servers(settings(), 3);
    let id = node.request(2, 7, ms(400));
    node.complete(&id, Status::QueueFull);
    let (attempt, _) = node.in_flight(&id).expect("retried, as it never ran");
    assert_eq!(attempt, 1);
    let actions = node.complete(&id, Status::TimedOut);
    assert_eq!(
        actions,
        [Action::Fail { id, reason: EndReason::NoServer }],
        "neither retried nor refused, as it may have run"
    );
}

#[test]
fn a_keyed_request_is_not_retried_after_its_deduplication_window() {
    let mut node = Node::with_servers(settings(), 3);
    let id = node.request(1, 7, ms(5_000));
    node.advance(ms(500));
    node.complete(&id, Status::Failed);
    assert!(node.in_flight(&id).is_some(), "retried within the window");
    node.advance(ms(600));
    node.complete(&id, Status::Failed);
    assert!(node.in_flight(&id).is_none(), "the first attempt was sent 1.1 s ago");
    assert!(node.requests[&id].ended);
}

/// Guards against a refusal (with Retry-After) after the deduplication window: the client would retry when no server
/// drops duplicates any more.
#[test]
fn a_keyed_request_after_its_deduplication_window_fails_instead_of_being_refused() {
    for (age, fails) in [(ms(900), false), (ms(1_000), true), (ms(1_500), true)] {
        let mut node = Node::with_servers(settings(), 1);
        let id = node.request(1, 7, ms(5_000));
        node.advance(age);
        let actions = node.complete(&id, Status::Reset);
        assert_eq!(
            actions.contains(&Action::Fail { id, reason: EndReason::NoServer }),
            fails,
            "after {age:?}: {actions:?}"
        );
    }
}

/// Guards against a retry that starts after the deduplication window because its connection took long to establish.
#[test]
fn a_retry_carries_the_time_left_in_its_deduplication_window() {
    let mut node = Node::with_servers(settings(), 3);
    let within = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { start_within, .. } => Some(*start_within),
            _ => None,
        })
    };
    let first = node.submit(Request { class: Some(ClassId(1)), ..Request::new("k", node.now + ms(5_000)) });
    assert_eq!(within(&node.trace), Some(None), "the first attempt may start at any time");
    node.advance(ms(300));
    let retry = node.complete(&first, Status::Reset);
    assert_eq!(within(&retry), Some(Some(ms(700))), "the window ends 1 s after the first send");
    let never_ran =
        node.submit(Request { class: Some(ClassId(1)), ..Request::new("l", node.now + ms(5_000)) });
    let retry = node.complete(&never_ran, Status::ConnectError);
    assert_eq!(within(&retry), Some(None), "no earlier attempt may have run");
}

#[test]
fn a_keyed_request_with_cell_scope_is_retried_within_its_cell() {
    let mut settings = settings();
    settings.classes[1].effect = Effect::Keyed { scope: DedupScope::Cell, window: ms(1000) };
    let mut node = Node::new(settings, 1);
    node.replace_servers(
        (0..6u64).map(|i| ServerEntry { cell: i % 3, ..ServerEntry::new(&format!("s{i}")) }).collect(),
    );
    let mut retried = 0;
    for key in 0..30 {
        let id = node.request(1, key, ms(400));
        node.complete(&id, Status::Failed);
        // `Node` asserts the cell. This counts retries, so that the rule is not met by never retrying.
        retried += usize::from(node.in_flight(&id).is_some());
        if node.in_flight(&id).is_some() {
            node.complete(&id, Status::Ok);
        }
        node.advance(ms(100));
    }
    assert!(retried > 5, "{retried} of 30 were retried");
}

#[test]
fn a_draining_or_removed_server_gets_no_new_requests() {
    let mut node = Node::with_servers(settings(), 2);
    let own = node.read_key(7, Status::Ok).expect("served");
    let entry = |availability| ServerEntry { availability, ..ServerEntry::new(own.as_str()) };
    node.update_servers(vec![entry(Availability::Draining)]);
    assert_ne!(node.read_key(7, Status::Ok), Some(own.clone()));
    node.update_servers(vec![entry(Availability::Removed)]);
    assert_ne!(node.read_key(7, Status::Ok), Some(own.clone()));
    node.update_servers(vec![entry(Availability::Ready)]);
    // Tries several keys: key 7 makes up all of the load so far and is therefore spread over servers.
    let back = (0..20).any(|key| node.read_key(key, Status::Ok).as_ref() == Some(&own));
    assert!(back, "a server id that is listed again is used again");
}

#[test]
fn a_request_ends_immediately_without_any_server() {
    let mut node = Node::new(settings(), 1);
    for class in 0..3 {
        let id = node.request(class, 7, ms(400));
        assert!(node.requests[&id].ended);
    }
    node.replace_servers(Vec::new());
    let id = node.request(0, 7, ms(400));
    assert!(node.requests[&id].ended);
}

#[test]
fn a_request_past_its_deadline_on_arrival_fails_immediately() {
    let mut node = Node::with_servers(settings(), 2);
    let id = node.request(0, 7, Duration::ZERO);
    assert!(node.requests[&id].ended && node.requests[&id].attempts.is_empty());
}

#[test]
fn a_request_without_a_class_is_treated_as_unsafe() {
    let mut node = Node::with_servers(settings(), 2);
    let id = node.submit(Request::new("odd", node.now + ms(400)));
    assert_eq!(node.complete(&id, Status::Failed), [Action::Fail { id, reason: EndReason::NoServer }]);
}

#[test]
fn events_for_ended_or_unknown_requests_are_ignored() {
    let mut node = Node::with_servers(settings(), 2);
    let id = node.request(0, 7, ms(400));
    node.requests.get_mut(&id).expect("a known request").ended = true;
    assert_eq!(node.feed(Event::Abandoned(id.clone())), []);
    assert_eq!(node.feed(Event::Abandoned(id.clone())), []);
    // An outcome after the end must not reactivate the request.
    assert_eq!(node.complete(&id, Status::Failed), []);
    // A timer that was set for its response may still be due.
    let later = node.feed(Event::Timer);
    assert!(later.iter().all(|action| matches!(action, Action::Wake { .. })), "{later:?}");
    node.trace.clear();
    node.advance(ms(1_000));
    assert_eq!(node.trace, []);
    assert_eq!(node.feed(Event::FirstByte { id: "unheard-of".into() }), []);
}

#[test]
fn a_failed_subscription_is_retried_after_a_delay() {
    let mut node = Node::new(Settings { must_subscribe: true, ..settings() }, 1);
    assert!(node.feed(Event::Restored(Vec::new().into())).contains(&Action::Subscribe));
    assert_eq!(node.feed(Event::Timer), [], "one subscription is pending already");
    let retry = node.feed(Event::Servers(ServerList::Unavailable));
    assert!(matches!(&retry[..], [Action::Wake { .. }]), "delayed, not immediate: {retry:?}");
    node.advance(ms(5_000));
    assert_eq!(node.trace.iter().filter(|action| **action == Action::Subscribe).count(), 2);
}

/// Guards against slow-start overload. Independently of the implementation's counters, the test checks that one node's
/// sends to a cold server within any overload window stay under `overload_multiple` times that server's capacity. The
/// capacity is estimated from the fleet's load per server.
#[test]
fn a_cold_server_is_not_overloaded_by_one_node() {
    let mut node = Node::with_servers(settings(), 10);
    let started_at = node.now + ms(4_000);
    let (mut to_cold, mut all) = (Vec::new(), 0.0);
    let mut rng = fastrand::Rng::with_seed(11);
    for step in 0..20_000u64 {
        if step == 5_000 {
            let mut list: Vec<ServerEntry> = node.servers.values().cloned().collect();
            list[0].started = Some(started_at);
            node.update_servers(list);
        }
        // Half of the requests are for one hot key; one response in eight triggers another attempt.
        let key = if rng.bool() { 3 } else { rng.u64(..) };
        let id = node.request(0, key, ms(400));
        for status in [Status::QueueFull, Status::Ok] {
            if let Some((attempt, server)) = node.in_flight(&id) {
                if step >= 5_000 {
                    all += 1.0;
                    if server.as_str() == "a" {
                        to_cold.push(node.now);
                    }
                }
                node.end_attempt(&id, attempt, if rng.u8(0..8) == 0 { status } else { Status::Ok });
            }
        }
        node.advance(ms(1));
        for id in node.all_in_flight() {
            if step >= 5_000 && node.in_flight(&id).expect("in flight").1.as_str() == "a" {
                to_cold.push(node.now);
            }
            node.complete(&id, Status::Ok);
        }
        node.requests.retain(|_, request| !request.ended);
    }
    assert!(to_cold.len() > 100, "the cold server must get some requests: {}", to_cold.len());
    let per_server = all / 15.0 / 10.0;
    for (i, at) in to_cold.iter().enumerate() {
        let within =
            to_cold[i..].iter().take_while(|later| later.since(*at) <= node.settings.overload_window).count();
        let age = at.since(started_at).as_secs_f64() / node.settings.warm_within.as_secs_f64();
        if age < 0.9 {
            let capacity = per_server * (node.settings.cold_share + (1.0 - node.settings.cold_share) * age);
            let max_allowed = node.settings.overload_multiple * capacity * 1.2 + 2.0;
            assert!(
                (within as f64) < max_allowed,
                "{within} requests in a window, {max_allowed} allowed at relative age {age}"
            );
        }
    }
}

fn play_random_events(seed: u64) -> Vec<Action> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let scopes = [DedupScope::All, DedupScope::Zone, DedupScope::Cell];
    let (mut settings, origin) =
        if rng.bool() { aside_settings() } else { (settings(), ServerEntry::new("zz")) };
    settings.classes[1].effect =
        Effect::Keyed { scope: scopes[rng.usize(0..3)], window: ms(rng.u64(1..900)) };
    settings.hedging = rng.bool();
    settings.cancelling = rng.bool();
    settings.probing = rng.bool();
    settings.must_subscribe = rng.bool();
    settings.max_attempts = rng.u32(1..7);
    let mut node = Node::new(settings, seed);
    let entry = |rng: &mut fastrand::Rng, i: u64, now: Timestamp| ServerEntry {
        zone: Some(Name::from(["x", "y"][rng.usize(0..2)])),
        cell: rng.u64(0..3),
        weight: [0.0, 0.5, 1.0, 4.0, f64::NAN][rng.usize(0..5)],
        availability: [Availability::Ready, Availability::Draining, Availability::Removed]
            [rng.usize(0..9).max(6) - 6],
        started: rng.bool().then_some(Timestamp::from_micros(now.as_micros() - rng.u64(0..9_000_000))),
        ..ServerEntry::new(&format!("s{i}"))
    };
    for _ in 0..600 {
        match rng.u32(0..20) {
            0 => {
                let mut list = vec![origin.clone()];
                for i in 0..rng.u64(0..9) {
                    let entry = entry(&mut rng, i, node.now);
                    list.extend((entry.availability != Availability::Removed).then_some(entry));
                }
                node.replace_servers(list);
            }
            1 => {
                let i = rng.u64(0..9);
                let changed = entry(&mut rng, i, node.now);
                node.update_servers(vec![changed]);
            }
            2..=8 => {
                let mut request = Request::new("", node.now);
                request.id = format!("q{}", node.requests.len()).as_str().into();
                request.class = rng.usize(0..4).checked_sub(1).map(ClassId);
                request.key = rng.bool().then(|| rng.u64(0..6));
                request.valid_until = node.now + ms(rng.u64(0..600));
                request.write = rng.u8(0..5) == 0;
                request.client_retry = rng.bool();
                request.expected_work = rng.bool().then(|| ms(rng.u64(0..100)));
                node.submit(request);
            }
            9..=14 => {
                let in_flight = node.all_in_flight();
                if !in_flight.is_empty() {
                    use Status::*;
                    let all = [Ok, Miss, Failed, QueueFull, TimedOut, ConnectError, Reset, Canceled, Ignored];
                    node.complete(&in_flight[rng.usize(0..in_flight.len())], all[rng.usize(0..9)]);
                }
            }
            15 => {
                let open_ids =
                    node.requests.iter().filter(|(_, request)| !request.ended).map(|(id, _)| id.clone());
                if let Some(id) = open_ids.collect::<Vec<_>>().first() {
                    node.requests.get_mut(id).expect("known").ended = true;
                    node.feed(Event::Abandoned(id.clone()));
                }
            }
            16 => {
                node.feed(Event::Servers(ServerList::Unavailable));
            }
            _ => node.advance(ms(rng.u64(0..120))),
        }
    }
    node.advance(ms(1_000));
    node.trace
}

#[test]
fn arbitrary_legal_events_break_no_rule() {
    for seed in 0..150 {
        play_random_events(seed);
    }
}

#[test]
fn equal_events_give_equal_actions() {
    for seed in [3, 58] {
        assert_eq!(play_random_events(seed), play_random_events(seed));
    }
}

#[test]
fn an_outcome_for_an_attempt_that_was_never_sent_does_not_lose_the_request() {
    let mut node = Node::with_servers(settings(), 2);
    let id = node.request(0, 7, ms(400));
    let (_, server) = node.in_flight(&id).expect("sent");
    let (cache_status, load) = (None, LoadReport::default());
    let (status, took, finished) = (Status::Failed, ms(1), false);
    let unexpected =
        Outcome { id: id.clone(), attempt: 9, server, status, cache_status, took, finished, load };
    assert_eq!(node.feed(Event::Outcome(unexpected)), []);
    node.advance(ms(500));
    assert!(node.requests[&id].ended);
}
