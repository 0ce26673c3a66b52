//! Sites in cache-aside mode: the balancers fetch misses from the origin.

mod common;
use common::*;
use walkpick::*;

fn node() -> Node {
    let (settings, origin) = aside_settings();
    let mut node = Node::new(settings, 1);
    node.replace_servers(vec![ServerEntry::new("a"), ServerEntry::new("b"), origin]);
    node
}

#[test]
fn only_a_miss_is_sent_to_the_origin() {
    let mut node = node();
    let id = node.request(0, 7, ms(400));
    assert_ne!(node.in_flight(&id).expect("sent").1.as_str(), "zz-origin");
    node.complete(&id, Status::Miss);
    assert_eq!(node.in_flight(&id).expect("sent to the origin").1.as_str(), "zz-origin");
    node.complete(&id, Status::Ok);
    assert!(node.requests[&id].ended);
}

#[test]
fn a_write_is_sent_directly_to_the_origin() {
    let mut node = node();
    let request = Request { class: Some(ClassId(1)), write: true, ..Request::new("w", node.now + ms(400)) };
    let id = node.submit(request);
    assert_eq!(node.in_flight(&id).expect("sent").1.as_str(), "zz-origin");
}

#[test]
fn an_open_origin_breaker_refuses_misses_and_writes_with_a_retry_after() {
    let mut node = node();
    for i in 0..3 {
        let request = Request {
            class: Some(ClassId(0)),
            write: true,
            ..Request::new(&format!("w{i}"), node.now + ms(400))
        };
        let id = node.submit(request);
        node.complete(&id, Status::Failed);
    }
    let miss = node.request(0, 7, ms(400));
    let refused = node.complete(&miss, Status::Miss);
    assert!(
        matches!(&refused[..], [Action::Refuse { retry_after, .. }] if *retry_after == ms(1000)),
        "{refused:?}"
    );
    assert!(node.read_key(8, Status::Ok).is_some(), "hits are still served");
}
