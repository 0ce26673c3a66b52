//! A node that is told to stop at every moment of a request's life, with servers that answer ill, on loopback sockets.

mod node_common;

use node_common::*;
use std::thread;
use std::time::{Duration, Instant};

/// What a server does with any request.
type Habit = fn() -> Does;

/// The servers that a stop may meet, by what they do with a request.
const SERVERS: [(&str, Habit); 6] = [
    ("answers", || Does::Answer(answer("200 OK", "", "value"))),
    ("is slow", || {
        thread::sleep(Duration::from_millis(200));
        Does::Answer(answer("200 OK", "", "value"))
    }),
    ("hangs", || Does::Nothing),
    ("hangs within its answer", || {
        Does::Answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nval".to_owned())
    }),
    ("never ends its answer", || Does::Endless),
    ("closes within its answer", || {
        Does::Close("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nval".to_owned())
    }),
];

/// After SIGTERM, within a quick stop.
const CLOSED: Duration = Duration::from_millis(1_150);
const ALMOST_GONE: Duration = Duration::from_millis(1_400);

// Guards against a request that was taken and ends without one whole answer, whenever the node is told to stop.
#[test]
fn whatever_was_taken_has_one_whole_answer_when_the_node_is_gone() {
    let stops = SERVERS.map(|(name, does)| (name, thread::spawn(move || (0..20).any(|_| stop_beside(does)))));
    for (name, stop) in stops {
        let shown = stop.join();
        assert!(shown.is_ok(), "a stop beside a server that {name}");
        assert!(shown.unwrap(), "the machine was too slow in each try");
    }
}

/// `false` where the machine was too slow to send what was to be sent while the node could still take it.
fn stop_beside(does: Habit) -> bool {
    let server = CacheServer::start(move |_| does());
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&quick_stop(discovery.address));
    for class in ["read", "once", "keyed"] {
        ask_one(&node, class, &server);
    }
    let whole = read("once", 9, MINUTES);
    let put = "PUT /api/9 HTTP/1.1\r\nHost: s\r\nReq-Id: 8\r\nReq-Kind: once\r\nReq-Deadline-Ms: 600000\r\n\
               Content-Length: 4\r\n\r\n";
    let mut kept = node.client();
    kept.ask(&read("read", 10, 100));
    let begun = Instant::now();
    let (mut written, mut fresh) = (node.client(), node.client());
    let (mut half, mut half_body) = (node.client(), node.client());
    let before = server.count();
    written.send(&whole);
    half.send(&whole[..20]);
    half_body.send(&format!("{put}ab"));
    kept.send(&whole[..20]);
    wait_for("the request at its server", || server.count() > before);
    let comes_again = come_again(node.client());
    let told = Instant::now();
    node.terminate();
    wait_for("the node's word that it stops", || node.log.lock().unwrap().contains("is told to stop"));
    if begun.elapsed() > Duration::from_millis(600) {
        return false;
    }
    fresh.send(&whole);
    half.send(&whole[20..]);
    half_body.send("cd");
    // The rest of this one comes when connections at rest are closed already.
    thread::sleep(CLOSED.saturating_sub(told.elapsed()));
    if told.elapsed() > ALMOST_GONE {
        return false;
    }
    kept.send(&whole[20..]);
    // None of these connections was at rest for the node to close.
    for (which, mut client) in (1..).zip([written, fresh, half, half_body, kept]) {
        let status = client.answer().unwrap_or_else(|| panic!("no answer to client {which}")).status();
        assert!([200, 502, 503].contains(&status), "{status}");
        assert_eq!(client.answer(), None, "and no other");
    }
    comes_again.join().expect("a client that comes again");
    assert!(node.exit().success());
    true
}

/// A request of each class runs its course while nothing stops, in the client's own time.
fn ask_one(node: &Node, class: &str, server: &CacheServer) {
    let before = server.count();
    let status = node.client().ask(&read(class, 7, 400)).status();
    assert!([200, 502, 503].contains(&status), "{status}");
    let sent = server.count() - before;
    assert!(class == "read" || sent <= 1 || class == "keyed", "{class} was sent {sent} times");
}

/// A client that asks again as soon as it is answered, on the connection that it has, for as long as the node lets it.
fn come_again(mut client: Client) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        for id in 100.. {
            // A close that crosses a request tells the client to ask elsewhere.
            let Some(answer) = client.try_ask(&read("read", id, 100)) else { return };
            assert!([200, 502, 503].contains(&answer.status()), "{}", answer.status());
            if answer.header("connection") == Some("close") {
                assert_eq!(client.answer(), None);
                return;
            }
        }
    })
}
