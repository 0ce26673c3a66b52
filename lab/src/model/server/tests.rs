use super::*;

fn config() -> ServerConfig {
    ServerConfig {
        cores: 2.0,
        slots: 4,
        queue_capacity: 2,
        speed: 1.0,
        thrash_at: 100.0,
        thrash: 0.0,
        cold_share: 0.25,
        warm_us: 10 * SECOND,
        cache_objects: NonZeroUsize::new(2).unwrap(),
        coalesces_fetches: true,
        fetch_timeout_us: SECOND,
        handshake_work_us: 0.0,
        max_connections: 10,
        overload_multiple: 3.0,
        overload_window_us: SECOND,
    }
}

fn job(id: JobId, key: u64) -> Job {
    Job { id, key, work_us: 100_000.0, write: false, new_connection: false, fails: false, notified: true }
}

/// Runs the server until it sets no more timers, and returns its responses with their times.
fn responses(server: &mut Server, mut actions: Vec<ServerAction>) -> Vec<(Micros, JobId, ServerResponse)> {
    let (mut now, mut responses) = (0, Vec::new());
    loop {
        let timer = actions.iter().rev().find_map(|action| match action {
            ServerAction::SetTimer { at, timer_id } => Some((*at, *timer_id)),
            _ => None,
        });
        responses.extend(actions.drain(..).filter_map(|action| match action {
            ServerAction::Respond { job, response } => Some((now, job, response)),
            _ => None,
        }));
        let Some((at, timer_id)) = timer else { return responses };
        now = at;
        server.on_timer(now, timer_id, &mut actions);
    }
}

#[test]
fn jobs_share_the_cores_and_are_rejected_when_the_queue_is_full() {
    let (mut server, mut actions) = (Server::new(config(), None), Vec::new());
    server.cache(7);
    (0..8).for_each(|id| server.receive(0, job(id, 7), &mut actions));
    assert_eq!(server.outstanding(), 6);
    let responses = responses(&mut server, actions);
    let rejected = responses.iter().filter(|(_, _, response)| *response == ServerResponse::QueueFull).count();
    assert_eq!(rejected, 2);
    // Four jobs share two cores for 200 ms; then the other two have a core each.
    let ends_ms: Vec<_> =
        responses.iter().filter(|r| r.2 == ServerResponse::Hit).map(|r| r.0 / 1_000).collect();
    assert_eq!(ends_ms, [200, 200, 200, 200, 300, 300]);
}

#[test]
fn concurrent_misses_share_one_fetch_and_the_cache_evicts_the_least_recently_used() {
    let (mut server, mut actions) = (Server::new(config(), None), Vec::new());
    (0..3).for_each(|id| server.receive(0, job(id, 7), &mut actions));
    assert_eq!(actions.iter().filter(|a| matches!(a, ServerAction::Fetch { .. })).count(), 1);
    server.complete_fetch(50_000, 0, true, &mut actions);
    let responses = responses(&mut server, actions);
    assert_eq!(responses.iter().filter(|r| r.2 == ServerResponse::Miss).count(), 3);
    server.cache(8);
    server.cache(9);
    let mut actions = Vec::new();
    server.receive(SECOND, job(9, 7), &mut actions);
    assert!(actions.contains(&ServerAction::Fetch { job: 9 }), "object 7 was not evicted");
}

#[test]
fn fetch_times_out_with_an_error_and_a_late_answer_is_ignored() {
    let (mut server, mut actions) = (Server::new(config(), None), Vec::new());
    server.receive(0, job(1, 7), &mut actions);
    let responses = responses(&mut server, actions);
    assert_eq!(responses, [(SECOND, 1, ServerResponse::Error)]);
    let mut actions = Vec::new();
    server.complete_fetch(2 * SECOND, 1, true, &mut actions);
    assert_eq!(actions, []);
}

#[test]
fn overload_crashes_a_cold_server_but_not_a_warm_one() {
    for (started, crashes) in [(Some(0), true), (None, false)] {
        let (mut server, mut actions) = (Server::new(config(), started), Vec::new());
        // At its start it has half a core: three times that over the window of one second is 1.5 s of work.
        (0..20).for_each(|id| server.receive(1_000, job(id, 7), &mut actions));
        let crashed = actions.contains(&ServerAction::Crash { notified_share: 1.0 });
        assert_eq!((server.crashed(), crashed), (crashes, crashes));
    }
}
