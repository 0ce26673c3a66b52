use super::*;

fn kinds(queue: &mut TimerQueue, now: Micros) -> Vec<&'static str> {
    std::iter::from_fn(|| queue.pop_due(now))
        .map(|event| match event {
            TimerEvent::Join => "join",
            TimerEvent::Review => "review",
            TimerEvent::Engine(_) => "engine",
        })
        .collect()
}

#[test]
fn events_are_ordered_by_time_and_then_by_insertion() {
    let mut queue = TimerQueue::default();
    queue.add(20, TimerEvent::Join);
    queue.add(10, TimerEvent::Review);
    queue.add(10, TimerEvent::Join);
    assert_eq!(queue.next_due(), Some(10));
    assert_eq!(kinds(&mut queue, 9), [""; 0]);
    assert_eq!(kinds(&mut queue, 20), ["review", "join", "join"]);
    assert_eq!(queue.next_due(), None);
}

#[test]
fn postponed_events_keep_their_order() {
    let mut queue = TimerQueue::default();
    queue.add(10, TimerEvent::Review);
    queue.add(10, TimerEvent::Join);
    queue.postpone_all(100);
    assert_eq!(kinds(&mut queue, 109), [""; 0]);
    assert_eq!(kinds(&mut queue, 110), ["review", "join"]);
}
