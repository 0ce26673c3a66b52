//! Behaviour under overload: the retry budget, fewer requests for slow servers and early refusal of excess requests.

mod common;
use common::*;
use walkpick::*;

/// Guards against retries that multiply the load during an overload because every request is tried on every server.
#[test]
fn retries_stop_when_the_retry_budget_is_spent() {
    let mut node = Node::with_servers(settings(), 8);
    let mut sends = 0;
    for key in 0..300 {
        let id = node.request(0, key, ms(400));
        while node.in_flight(&id).is_some() {
            node.complete(&id, Status::QueueFull);
        }
        sends += node.requests[&id].attempts.len();
        node.advance(ms(2));
    }
    assert!(sends <= 300 + 300 / 5 + 10, "{sends} sends for 300 requests");
}

/// Guards against refusing requests that a healthy server would have served in time, while several servers fail part of
/// their requests, too few to trip their breakers.
#[test]
fn fast_errors_are_retried_beyond_the_budget_for_slow_errors() {
    let served = |error_after_ms: u64| {
        let mut node = Node::with_servers(settings(), 6);
        let (mut served, mut calls) = (0, std::collections::BTreeMap::new());
        for step in 0..1_000u64 {
            let id = node.request(0, step % 300, ms(400));
            while let Some((_, server)) = node.in_flight(&id) {
                // Five of the six servers fail every second attempt.
                let calls = calls.entry(server.clone()).or_insert(0u32);
                *calls += 1;
                let fails = server.as_str() < "f" && *calls % 2 == 0;
                node.now = node.now + ms(if fails { error_after_ms } else { 40 });
                node.complete(&id, if fails { Status::Failed } else { Status::Ok });
                served += usize::from(!fails);
            }
            node.requests.remove(&id);
        }
        served
    };
    let (fast_errors, slow_errors) = (served(4), served(40));
    assert!(fast_errors >= 990, "{fast_errors} of 1000 were served despite fast errors");
    assert!(
        slow_errors < 980,
        "{slow_errors} of 1000 were served despite slow errors: the budget must limit retries"
    );
}

/// Submits one request per millisecond for 3 s, for 300 keys. Each attempt succeeds after `response_ms`, or after
/// 300 ms at the slow server. Returns how many requests were sent, and how many of them to the slow server.
fn run_load(node: &mut Node, response_ms: u64, slow: Option<&ServerId>) -> (usize, usize) {
    run_load_at_interval(node, 1, response_ms, slow)
}

/// Like `run_load`, with one request every `interval_ms`.
fn run_load_at_interval(
    node: &mut Node,
    interval_ms: u64,
    response_ms: u64,
    slow: Option<&ServerId>,
) -> (usize, usize) {
    let (mut sent, mut to_slow) = (0, 0);
    node.requests.clear();
    for step in 0..3_000 {
        if step % interval_ms == 0 {
            node.request(0, step % 300, ms(400));
        }
        node.advance(ms(1));
        let now = node.now;
        let due = node.requests.iter().filter(|(_, request)| {
            let in_flight = request.attempts.first().filter(|sent| sent.status.is_none());
            let latency = |server: &ServerId| ms(if Some(server) == slow { 300 } else { response_ms });
            in_flight.is_some_and(|sent| sent.sent_at + latency(&sent.server.id) <= now)
        });
        for id in due.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            node.complete(&id, Status::Ok);
        }
        node.requests.retain(|_, request| {
            let over = request.ended && request.attempts.iter().all(|sent| sent.status.is_some());
            sent += usize::from(over && !request.attempts.is_empty());
            to_slow += usize::from(over && request.attempts.iter().any(|sent| Some(&sent.server.id) == slow));
            !over
        });
    }
    (sent, to_slow)
}

/// Guards against a slow server that responds within its timeout: its breaker stays closed and its keys would miss the
/// latency target permanently.
#[test]
fn a_slow_server_gets_fewer_requests() {
    let mut node = Node::with_servers(settings(), 6);
    let slow = ServerId::from("c");
    let (sent, before) = run_load(&mut node, 10, None);
    assert!(sent > 2_900 && before == 0, "{sent} of 3000 were sent");
    let (_, to_slow) = run_load(&mut node, 10, Some(&slow));
    assert!(to_slow < 100, "{to_slow} of 3000 went to the slow server; an equal share would be 500");
}

/// Guards against an overload in which every response misses the latency target because no request is refused.
#[test]
fn an_overloaded_fleet_gets_fewer_requests_until_it_recovers() {
    let mut node = Node::with_servers(settings(), 6);
    let (sent, _) = run_load(&mut node, 250, None);
    assert!(sent < 1_000, "{sent} of 3000 were sent");
    node.advance(ms(1_000));
    run_load(&mut node, 10, None);
    let (sent, _) = run_load(&mut node, 10, None);
    assert!(sent > 2_500, "{sent} of 3000 were sent after recovery");
}

/// Guards against client timeouts shorter than the usual response time that count as overload, so that clients with
/// longer timeouts are refused.
#[test]
fn short_client_timeouts_do_not_block_healthy_servers() {
    let mut node = Node::with_servers(settings(), 6);
    let (mut long_timeout, mut served) = (0, 0);
    for step in 0..3_000u64 {
        // Every response takes 40 ms; two clients in three time out after 25 ms.
        let client_timeout_ms = if step % 3 == 0 { 400 } else { 25 };
        node.request(0, step % 300, ms(client_timeout_ms));
        node.advance(ms(1));
        let now = node.now;
        for id in node.all_in_flight() {
            if now.since(node.requests[&id].attempts[0].sent_at) >= ms(40) {
                node.complete(&id, Status::Ok);
            }
        }
        node.requests.retain(|_, request| {
            let over = request.ended && request.attempts.iter().all(|sent| sent.status.is_some());
            let has_long_timeout = request.request.valid_until >= now + ms(100);
            long_timeout += u32::from(over && has_long_timeout);
            served += u32::from(
                over && has_long_timeout && request.attempts.iter().any(|s| s.status == Some(Status::Ok)),
            );
            !over
        });
    }
    assert!(long_timeout > 900, "{long_timeout} of 1000 requests with long timeouts have ended");
    assert!(
        served * 100 >= long_timeout * 95,
        "{served} of {long_timeout} requests with long timeouts were served"
    );
}

/// Guards against refusing requests of a burst of a few milliseconds although their latency target leaves time to
/// queue.
#[test]
fn a_burst_is_queued_for_capacity_and_refused_within_the_latency_target() {
    let mut node = Node::with_servers(Settings { nodes: 16, ..settings() }, 1);
    for _ in 0..200 {
        node.read_key(7, Status::Ok);
        node.advance(ms(1));
    }
    let ids: Vec<RequestId> = (0..8).map(|_| node.request(0, 7, ms(400))).collect();
    let queued = ids.iter().filter(|id| !node.requests[*id].ended && node.in_flight(id).is_none()).count();
    assert!(queued >= 4, "{queued} of 8 are queued");
    for id in &ids {
        if node.in_flight(id).is_some() {
            node.complete(id, Status::Ok);
        }
    }
    node.advance(ms(20));
    let sent = ids.iter().filter(|id| !node.requests[*id].attempts.is_empty()).count();
    assert!(sent > 8 - queued, "queued requests are sent when capacity is free");
    node.advance(ms(150));
    assert!(
        ids.iter().all(|id| node.requests[id].ended || node.in_flight(id).is_some()),
        "no request is queued past its latency target"
    );
}

/// Guards against long service times of heavy requests that count as queueing, so that requests for an idle server are
/// refused.
#[test]
fn heavy_requests_within_the_latency_target_do_not_block_a_server() {
    let sent_with_hint = |hint_ms: u64| {
        let mut node = Node::with_servers(settings(), 1);
        let mut sent = 0;
        for step in 0..400u64 {
            // Every second request takes 120 ms of its 150 ms target; `hint_ms` is the work that its hint announces.
            let heavy = step % 2 == 0;
            let request = Request {
                class: Some(ClassId(0)),
                key: Some(7),
                expected_work: Some(ms(if heavy { hint_ms } else { 20 })),
                ..Request::new(&format!("h{step}"), node.now + ms(400))
            };
            let id = node.submit(request);
            node.advance(ms(if heavy { 120 } else { 20 }));
            if node.in_flight(&id).is_some() {
                sent += 1;
                node.complete(&id, Status::Ok);
            }
        }
        sent
    };
    assert_eq!(sent_with_hint(120), 400, "the hints explain the response times");
    assert!(sent_with_hint(20) < 350, "without accurate hints the response times indicate a queue");
}

/// Guards against an overload of the whole fleet that persists: requests join queues longer than any client waits and
/// keep them full. A node that gets no response in time must refuse nearly all requests and resume as responses
/// arrive.
#[test]
fn an_overloaded_fleet_gets_few_requests_until_it_responds_in_time() {
    // With 3000 servers the node seldom uses one twice, so limits per server could not adapt.
    let mut node = Node::new(Settings { nodes: 300, ..settings() }, 1);
    node.replace_servers((0..3_000).map(|i| ServerEntry::new(&format!("s{i}"))).collect());
    let mut rng = fastrand::Rng::with_seed(2);
    let mut sent = |node: &mut Node, status: Status, count: u64| {
        let mut sent = 0;
        for _ in 0..count {
            let id = node.request(0, rng.u64(..), ms(400));
            sent += usize::from(!node.requests[&id].attempts.is_empty());
            while node.in_flight(&id).is_some() {
                node.complete(&id, status);
            }
            node.advance(ms(10));
        }
        node.requests.retain(|_, request| !request.ended);
        sent
    };
    assert_eq!(sent(&mut node, Status::Ok, 100), 100);
    sent(&mut node, Status::QueueFull, 300);
    let during = sent(&mut node, Status::QueueFull, 100);
    assert!(during < 60, "{during} of 100 were sent during the overload");
    sent(&mut node, Status::Ok, 500);
    let after = sent(&mut node, Status::Ok, 100);
    assert!(after > 80, "{after} of 100 were sent after recovery");
}

/// Guards against an overload that persists because most requests sent into it fail and keep the queues of the
/// servers and of the origin full. The fleet serves one request in five in time.
#[test]
fn an_overloaded_fleet_gets_few_more_requests_than_it_serves() {
    let mut node = Node::new(Settings { nodes: 300, ..settings() }, 1);
    node.replace_servers((0..3_000).map(|i| ServerEntry::new(&format!("s{i}"))).collect());
    let mut rng = fastrand::Rng::with_seed(3);
    let (mut sent, mut served, mut tokens) = (0.0, 0.0, 0.0);
    for step in 0..4_000 {
        tokens = (tokens + 0.2f64).min(5.0);
        let id = node.request(0, rng.u64(..), ms(400));
        while node.in_flight(&id).is_some() {
            let in_time = tokens >= 1.0;
            tokens -= if in_time { 1.0 } else { 0.0 };
            node.complete(&id, if in_time { Status::Ok } else { Status::QueueFull });
            if step >= 1_000 {
                sent += 1.0;
                served += if in_time { 1.0 } else { 0.0 };
            }
        }
        node.advance(ms(10));
        node.requests.retain(|_, request| !request.ended);
    }
    assert!(served > 0.9 * 0.2 * 3_000.0, "{served} of the 600 that the fleet could serve were served");
    assert!(sent < 1.9 * served, "{sent} attempts were sent for {served} served requests");
}

/// Guards against heavy requests that miss the latency target by their own work and lower the limits of a lightly
/// loaded fleet until requests are refused.
#[test]
fn late_responses_without_a_queue_hardly_lower_a_servers_limit() {
    let sent_with = |nodes, queue_length| {
        let mut node = Node::with_servers(Settings { nodes, ..settings() }, 6);
        node.load.queue_length = Some(queue_length);
        run_load_at_interval(&mut node, 30, 140, None).0
    };
    assert!(sent_with(2, 0.0) >= 95, "{} of 100 were sent", sent_with(2, 0.0));
    assert!(sent_with(2, 4.0) < 80, "{} of 100 were sent with a queue", sent_with(2, 4.0));
    // With many nodes, each node has only outdated load reports.
    assert!(sent_with(300, 0.0) < 80, "{} of 100 were sent by one of 300 nodes", sent_with(300, 0.0));
}

/// Guards against a server that stays blocked for minutes: one late response blocks it for a node whose limit there
/// is one, and with a request every few seconds the limit would recover long after the server has free capacity.
#[test]
fn a_late_response_of_a_rarely_used_server_expires() {
    let mut sent = 0;
    for key in 0..40 {
        let mut node = Node::with_servers(Settings { nodes: 100, ..settings() }, 1);
        let id = node.request(0, key, ms(400));
        node.advance(ms(148));
        node.complete(&id, Status::Ok);
        let id = node.request(0, key, ms(20));
        assert!(node.requests[&id].attempts.is_empty(), "the late response still counts");
        for _ in 0..2 {
            node.advance(ms(10_000));
            let id = node.request(0, key, ms(400));
            sent += node.requests[&id].attempts.len();
        }
    }
    assert!(sent >= 76, "{sent} of 80 were sent after the late response had expired");
}

/// Guards against a measurement window of many latency targets: a burst would fill all queues before the node refuses
/// any request, and the node would refuse for as long after the servers have drained their queues.
#[test]
fn an_overload_is_detected_and_its_end_noticed_within_a_few_latency_targets() {
    let mut node = Node::with_servers(Settings { nodes: 100, ..settings() }, 20);
    let mut rng = fastrand::Rng::with_seed(11);
    let mut run = |node: &mut Node, count: u32, status: Status| {
        let mut sent = 0;
        for _ in 0..count {
            let id = node.request(0, rng.u64(..), ms(400));
            if node.in_flight(&id).is_some() {
                sent += 1;
                node.advance(ms(if status == Status::Ok { 20 } else { 110 }));
                while node.in_flight(&id).is_some() {
                    node.complete(&id, status);
                }
            }
            node.advance(ms(30));
            node.requests.retain(|_, request| !request.ended);
        }
        sent
    };
    assert_eq!(run(&mut node, 100, Status::Ok), 100);
    run(&mut node, 10, Status::TimedOut);
    let during = run(&mut node, 20, Status::TimedOut);
    assert!(during < 14, "{during} of 20 were sent during the overload");
    run(&mut node, 30, Status::Ok);
    let after = run(&mut node, 20, Status::Ok);
    assert!(after > 15, "{after} of 20 were sent after the overload");
}

/// Guards against an overloaded origin that gets at least twice the fetches, none of which succeeds: an error
/// response does not say that it stems from a failed fetch, so each would be retried at other servers that fetch from
/// the same origin.
#[test]
fn errors_that_recur_at_other_servers_are_not_retried() {
    let sends_per_request = |retry_status: Status| {
        let mut node = Node::with_servers(Settings { nodes: 100, ..settings() }, 40);
        let mut rng = fastrand::Rng::with_seed(12);
        let (mut sends, mut requests) = (0, 0);
        for step in 0..60 {
            node.read_key(rng.u64(..), Status::Ok);
            let id = node.request(0, rng.u64(..), ms(400));
            let mut status = Status::Failed;
            while node.in_flight(&id).is_some() {
                node.advance(ms(10));
                node.complete(&id, status);
                status = retry_status;
            }
            node.advance(ms(40));
            let sent = node.requests[&id].attempts.len();
            if step >= 20 && sent > 0 {
                (sends, requests) = (sends + sent, requests + 1);
            }
            node.requests.clear();
        }
        sends as f64 / f64::from(requests)
    };
    let (server_errors, origin_errors) = (sends_per_request(Status::Ok), sends_per_request(Status::Failed));
    assert!(
        server_errors > 1.6,
        "{server_errors} sends per request: errors of single servers must be retried"
    );
    assert!(
        origin_errors < 1.3,
        "{origin_errors} sends per request: errors of the origin must not be retried"
    );
}

/// Guards against an origin whose queue stays full permanently because requests for uncached keys continue while all
/// fetches fail. The errors carry no cache status.
#[test]
fn likely_misses_pause_after_errors_without_a_cache_status() {
    let mut node = Node::with_servers(Settings { nodes: 100, ..settings() }, 40);
    let read = |node: &mut Node, key, status, cache_status| {
        let id = node.request(0, key, ms(400));
        let sent = node.in_flight(&id).is_some();
        while let Some((attempt, _)) = node.in_flight(&id) {
            node.end_attempt_with_cache_status(&id, attempt, status, cache_status);
        }
        node.advance(ms(10));
        sent
    };
    for key in 0..20 {
        read(&mut node, key, Status::Ok, Some(CacheStatus::Hit));
    }
    for key in 100..130 {
        read(&mut node, key, Status::Failed, None);
    }
    let sent = (200..220).filter(|&key| read(&mut node, key, Status::Ok, Some(CacheStatus::Miss))).count();
    assert!(sent <= 3, "{sent} of 20 likely misses were sent");
    assert!(read(&mut node, 3, Status::Ok, Some(CacheStatus::Hit)), "a cached key is served");
    // The origin drains its queue within a few latency targets.
    node.advance(ms(2_400));
    let sent = (300..320).filter(|&key| read(&mut node, key, Status::Ok, Some(CacheStatus::Miss))).count();
    assert!(sent >= 15, "{sent} of 20 were sent after the pause");
}

/// An attempt can end unsent because its client disconnects or its server starts to drain while its connection is being
/// established. It must not count as a failure of the server, as a retry or against the retry budget.
#[test]
fn unsent_attempts_count_neither_as_failures_nor_against_the_retry_budget() {
    let mut node = Node::with_servers(settings(), 8);
    for key in 0..200 {
        let id = node.request(0, key, ms(400));
        node.complete(&id, Status::Ignored);
        assert!(node.in_flight(&id).is_some(), "sent to another server");
        node.complete(&id, Status::Ok);
    }
    let tripped = |action: &Action| matches!(action, Action::Log(text) if text.contains("breaker"));
    assert!(!node.trace.iter().any(tripped), "no breaker tripped");
    // Twice as many retries as the budget holds, each withdrawn before it is sent: the budget must stay unused.
    for key in 0..20 {
        let id = node.request(0, key, ms(400));
        node.complete(&id, Status::Reset);
        assert!(node.in_flight(&id).is_some(), "not retried: {key}");
        node.feed(Event::Abandoned(id.clone()));
        node.complete(&id, Status::Ignored);
        node.requests.clear();
    }
}
