//! Clients that send a request again with the id that it had.

mod node_common;

use node_common::*;
use std::sync::atomic::{AtomicU32, Ordering};

/// A node with these cache servers.
fn start_node(server: &CacheServer) -> Node {
    let names = ["s-1", "s-2", "s-3"];
    let discovery = Discovery::start(&names.map(|name| server.entry(name, "ready")));
    Node::ready(&config(discovery.address))
}

// Guards against a request that runs twice because its client left, came again and sent it once more.
#[test]
fn a_request_that_comes_again_after_its_client_left_runs_once() {
    for class in ["once", "keyed"] {
        let server = CacheServer::start(|_| Reaction::NoResponse);
        let node = start_node(&server);
        let request = get_request(class, 7, 20_000);
        let mut client = node.client();
        client.send(&request);
        wait_for("the attempt", || server.request_count() == 1);
        // While the first attempt is out, after its client has left, and once more.
        let statuses = [
            node.client().request(&request).status(),
            {
                drop(client);
                node.client().request(&request).status()
            },
            node.client().request(&request).status(),
        ];
        assert_eq!((statuses, server.request_count()), ([502; 3], 1), "{class}");
    }
}

// Guards against holding back a request that has never run, and one whose class allows repeats.
#[test]
fn a_request_that_has_not_run_or_may_run_again_is_forwarded_again() {
    let declines = AtomicU32::new(3);
    let declined = http_response("503 Service Unavailable", "Srv-Declined: 1\r\n", "");
    let server = CacheServer::start(move |_| {
        let declines = declines.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
        match declines {
            Ok(_) => Reaction::Respond(declined.clone()),
            Err(_) => Reaction::Respond(http_response("200 OK", "", "value")),
        }
    });
    let node = start_node(&server);
    wait_for("the answer", || match node.read("once", 7).status() {
        200 => true,
        // Refused: all servers have declined it.
        503 => false,
        other => panic!("status {other}"),
    });
    assert_eq!(node.read("once", 7).status(), 502);
    let server = CacheServer::serving("value");
    let node = start_node(&server);
    let statuses = [(); 3].map(|()| node.read("read", 7).status());
    assert_eq!((statuses, server.request_count()), ([200; 3], 3));
}
