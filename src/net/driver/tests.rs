use super::*;
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::Method;
use serde_json::json;
use std::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::oneshot::Receiver;
use tokio::task::LocalSet;
use walkpick::{Class, ClassId, Effect, LoadReport, Settings};

/// A driver whose cache servers take connections and say nothing: what attempts come to is made up.
struct Rig {
    driver: Driver,
    events: UnboundedSender<Input>,
    inputs: UnboundedReceiver<Input>,
    _servers: Vec<TcpListener>,
    tickets: u64,
    behind: Duration,
}

const LONG: Duration = Duration::from_secs(600);

impl Rig {
    fn new(servers: usize) -> Self {
        let class = |effect| Class { effect, latency_target: LONG, deadline: LONG, ..Class::default() };
        let classes = vec![class(Effect::Safe), class(Effect::Unsafe)];
        let settings = Settings { nodes: 16, classes, ..Settings::default() };
        let (events, inputs) = unbounded_channel();
        let upstream = Rc::new(Upstream::new(100, LONG, LONG));
        let ready = Rc::default();
        let mut driver = Driver::new(Balancer::new(settings, 1), upstream, ready, events.clone());
        let servers: Vec<_> = (0..servers).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        let hosts = servers.iter().enumerate().map(|(i, server)| {
                json!({"host": format!("s-{i}"), "dial": server.local_addr().unwrap(), "health": "ready"})
            });
        let known = json!({"seq": 1, "whole": true, "hosts": hosts.collect::<Vec<_>>()});
        driver.restore(serde_json::from_value(known).unwrap());
        Self { driver, events, inputs, _servers: servers, tickets: 0, behind: Duration::ZERO }
    }

    fn ask(&mut self, class: usize) -> (RequestId, Receiver<Answer>) {
        self.tickets += 1;
        let (answer, receiver) = oneshot::channel();
        let message = crate::net::upstream::Message {
            method: Method::GET,
            target: "/api/7".parse().unwrap(),
            id: HeaderValue::from(self.tickets),
            idempotency_key: None,
            body: Bytes::new(),
        };
        self.driver.take(Input::Client(Word::Taken(Box::new(Taken {
            ticket: self.tickets,
            at: Instant::now(),
            behind: self.behind,
            patience: LONG,
            class: ClassId(class),
            kind: "read".into(),
            aim: LONG,
            tenant: None,
            key: Some(7),
            expected_work: None,
            write: false,
            client_retry: false,
            message,
            over: Rc::default(),
            answer,
        }))));
        self.driver.handle_due();
        (request_id(self.tickets), receiver)
    }

    fn end(&mut self, id: &RequestId, status: Status) {
        let attempt = self.driver.in_flight[id].attempts.len() as u32 - 1;
        let body = (status == Status::Ok).then(Bytes::new);
        let ended = Ended { status, note: None, load: LoadReport::default(), body };
        self.driver.take(Input::Ended { id: id.clone(), attempt, ended });
        self.driver.handle_due();
    }

    fn attempts(&self, id: &RequestId) -> usize {
        self.driver.in_flight[id].attempts.len()
    }
}

// Guards against a request that is still out when the kill comes: a client's own patience may be longer.
#[tokio::test(start_paused = true)]
async fn whatever_is_out_when_the_node_stops_is_answered_before_its_end() {
    LocalSet::new().run_until(stop_with_all_kinds_out()).await;
}

async fn stop_with_all_kinds_out() {
    let mut rig = Rig::new(3);
    let silent = rig.ask(1);
    let again = rig.ask(0);
    rig.end(&again.0, Status::ConnectError);
    assert_eq!((rig.attempts(&silent.0), rig.attempts(&again.0)), (1, 2), "sent, and sent again");
    // A server that answered quickly so far and has no room now: what comes waits for a place.
    let mut crowded = Rig::new(1);
    for _ in 0..300 {
        let quick = crowded.ask(0);
        crowded.end(&quick.0, Status::Ok);
    }
    let waiting: Vec<_> = (0..10).map(|_| crowded.ask(0)).collect();
    let held = waiting.iter().filter(|(id, _)| crowded.attempts(id) == 0).count();
    assert!(held > 0, "none was held for room");
    let (told, end) = (Instant::now(), Instant::now() + Duration::from_secs(2));
    for rig in [&rig, &crowded] {
        rig.events.send(Input::Stopping { answer_by: end }).unwrap();
    }
    rig.driver.step(&mut rig.inputs).await;
    crowded.driver.step(&mut crowded.inputs).await;
    let (late, mut owed) = (rig.ask(0), vec![silent.1, again.1]);
    assert_eq!(rig.attempts(&late.0), 1, "sent after the node was told");
    owed.extend([late.1]);
    owed.extend(waiting.into_iter().map(|(_, answer)| answer));
    while !rig.driver.in_flight.values().all(|open| open.answer.is_none()) {
        rig.driver.step(&mut rig.inputs).await;
    }
    while !crowded.driver.in_flight.values().all(|open| open.answer.is_none()) {
        crowded.driver.step(&mut crowded.inputs).await;
    }
    assert!(Instant::now() <= end, "answered {:?} after the node was told", told.elapsed());
    assert!(owed.iter_mut().all(|answer| answer.try_recv().is_ok()), "each has its answer");
    let after = rig.ask(0);
    assert!(
        !rig.driver.in_flight.contains_key(&after.0),
        "what comes after the last moment is answered at once"
    );
}

// Guards against an answer that is given in time by a node that is too late to write it.
#[tokio::test(start_paused = true)]
async fn a_node_that_is_behind_gives_its_answers_sooner_by_as_much() {
    LocalSet::new()
        .run_until(async {
            let mut rig = Rig::new(1);
            rig.behind = Duration::from_millis(400);
            let (start, (_, mut answer)) = (Instant::now(), rig.ask(1));
            while answer.try_recv().is_err() {
                rig.driver.step(&mut rig.inputs).await;
            }
            assert!(start.elapsed() <= LONG - rig.behind, "answered after {:?}", start.elapsed());
            // Nothing is left of a client's patience: what can't be answered in time is given up at once.
            rig.behind = LONG;
            assert!(rig.ask(1).1.try_recv().is_ok());
        })
        .await;
}

// Guards against a second final answer, a request that stays open, or a panic, where its deadline, its server's answer
// and its client's leaving come in one turn, in any order.
#[tokio::test(start_paused = true)]
async fn a_deadline_an_answer_and_a_leaving_in_one_turn_end_the_request_once() {
    LocalSet::new()
        .run_until(async {
            for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
                for class in [0, 1] {
                    let mut rig = Rig::new(2);
                    let (id, mut answer) = rig.ask(class);
                    let over = rig.driver.in_flight[&id].over.clone();
                    for event in order {
                        match event {
                            0 => rig.driver.guard(id.clone()),
                            1 if rig.driver.in_flight.contains_key(&id) => rig.end(&id, Status::Ok),
                            1 => {}
                            _ => rig.driver.take(Input::Client(Word::Left(rig.tickets))),
                        }
                        assert!(over.get(), "nothing begins for it any more: {order:?}");
                    }
                    rig.driver.handle_due();
                    let served = matches!(answer.try_recv(), Ok(Answer::Served(_)));
                    assert_eq!(served, order[0] == 1, "{order:?}");
                    assert!(rig.driver.in_flight.is_empty(), "{order:?}");
                    // What it held is given back: as many again find room.
                    let again = rig.ask(class).0;
                    assert_eq!(rig.attempts(&again), 1, "{order:?}");
                }
            }
        })
        .await;
}

// Guards against an attempt that has not begun and goes on for a client that left, and against one that has begun and
// is no longer waited for: it may run, and tells of its server.
#[tokio::test(start_paused = true)]
async fn a_leaving_takes_back_what_has_not_begun_and_nothing_else() {
    LocalSet::new()
        .run_until(async {
            for begun in [false, true] {
                let mut rig = Rig::new(2);
                let (id, _answer) = rig.ask(1);
                rig.driver.in_flight[&id].attempts[0].begun.set(begun);
                rig.driver.take(Input::Client(Word::Left(rig.tickets)));
                rig.driver.handle_due();
                assert_eq!(rig.driver.in_flight.contains_key(&id), begun);
            }
        })
        .await;
}
