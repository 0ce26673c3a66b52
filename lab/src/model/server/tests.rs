use super::*;

fn parts() -> ServerParts {
    ServerParts {
        cores: 2.0,
        slots: 4,
        room: 2,
        speed: 1.0,
        thrash_at: 100.0,
        thrash: 0.0,
        cold_share: 0.25,
        warm_us: 10 * SECOND,
        memory: NonZeroUsize::new(2).unwrap(),
        coalesces: true,
        fetch_us: SECOND,
        handshake_us: 0.0,
        connections: 10,
        fall_multiple: 3.0,
        fall_us: SECOND,
    }
}

fn job(id: JobId, key: u64) -> Job {
    Job { id, key, work_us: 100_000.0, write: false, fresh: false, spoilt: false, told: true }
}

/// Runs it until it wants no more, and gives back who was answered when.
fn answers(server: &mut Server, mut does: Vec<Does>) -> Vec<(Micros, JobId, Said)> {
    let (mut now, mut told) = (0, Vec::new());
    loop {
        let next = does.iter().rev().find_map(|d| match d {
            Does::Wakes { at, turn } => Some((*at, *turn)),
            _ => None,
        });
        told.extend(does.drain(..).filter_map(|d| match d {
            Does::Says { job, said } => Some((now, job, said)),
            _ => None,
        }));
        let Some((at, turn)) = next else { return told };
        now = at;
        server.wakes(now, turn, &mut does);
    }
}

#[test]
fn cores_are_shared_and_what_is_over_is_turned_away_unseen() {
    let (mut server, mut does) = (Server::new(parts(), None), Vec::new());
    server.keep(7);
    (0..8).for_each(|id| server.take(0, job(id, 7), &mut does));
    assert_eq!(server.held(), 6);
    let told = answers(&mut server, does);
    let full = told.iter().filter(|(_, _, said)| *said == Said::Full).count();
    assert_eq!(full, 2);
    // Four share two cores: 200 ms; then two have a core each.
    let ends: Vec<_> = told.iter().filter(|t| t.2 == Said::Hit).map(|t| t.0 / 1_000).collect();
    assert_eq!(ends, [200, 200, 200, 200, 300, 300]);
}

#[test]
fn misses_of_a_key_share_a_fetch_and_the_least_recently_used_gives_way() {
    let (mut server, mut does) = (Server::new(parts(), None), Vec::new());
    (0..3).for_each(|id| server.take(0, job(id, 7), &mut does));
    assert_eq!(does.iter().filter(|d| matches!(d, Does::Asks { .. })).count(), 1);
    server.fetched(50_000, 0, true, &mut does);
    let told = answers(&mut server, does);
    assert_eq!(told.iter().filter(|t| t.2 == Said::Miss).count(), 3);
    server.keep(8);
    server.keep(9);
    let mut does = Vec::new();
    server.take(SECOND, job(9, 7), &mut does);
    assert!(does.contains(&Does::Asks { job: 9 }), "7 has been dropped");
}

#[test]
fn a_fetch_that_takes_too_long_is_an_error_and_a_late_answer_to_it_is_nobodys() {
    let (mut server, mut does) = (Server::new(parts(), None), Vec::new());
    server.take(0, job(1, 7), &mut does);
    let told = answers(&mut server, does);
    assert_eq!(told, [(SECOND, 1, Said::Error)]);
    let mut does = Vec::new();
    server.fetched(2 * SECOND, 1, true, &mut does);
    assert_eq!(does, []);
}

#[test]
fn a_cold_server_that_is_sent_too_much_falls_and_a_warm_one_does_not() {
    for (started, falls) in [(Some(0), true), (None, false)] {
        let (mut server, mut does) = (Server::new(parts(), started), Vec::new());
        // Half a core for a second is what it has at its start: three times that is 1.5 s of work.
        (0..20).for_each(|id| server.take(1_000, job(id, 7), &mut does));
        assert_eq!((server.fallen(), does.contains(&Does::Falls { told: 1.0 })), (falls, falls));
    }
}
