use super::*;
use std::time::Duration;
use tokio::time::timeout;

/// Memory of a node whose bodies may occupy 64 KiB together.
const NODE_BYTES: u64 = 256 << 10;
const LARGE_BYTES: usize = 16 << 10;

// Guards against memory that bodies keep counted after they are gone, with which a node would refuse all
// requests.
#[tokio::test]
async fn a_body_is_counted_until_its_last_copy_is_dropped() {
    let memory = BodyMemory::new(NODE_BYTES);
    let mut reservation = memory.reservation(BodyKind::Request);
    reservation.grow(LARGE_BYTES, LARGE_BYTES).await.unwrap();
    let body = reservation.into_bytes(vec![7; 1_000]);
    assert_eq!(memory.used(), 1_000, "the unused part is released");
    let part = body.slice(10..20);
    drop(body);
    assert_eq!(memory.used(), 1_000);
    drop(part);
    assert_eq!(memory.used(), 0);
    let mut broken_off = memory.reservation(BodyKind::Request);
    broken_off.grow(LARGE_BYTES, LARGE_BYTES).await.unwrap();
    drop(broken_off);
    assert_eq!(memory.used(), 0);
}

// Guards against an answer that waits for memory after it has been released, until its client has left.
#[tokio::test(start_paused = true)]
async fn an_answer_is_read_once_memory_is_released() {
    let memory = BodyMemory::new(NODE_BYTES);
    let mut held = Vec::new();
    loop {
        let mut reservation = memory.reservation(BodyKind::Answer);
        let reserved = timeout(Duration::from_secs(1), reservation.begin(LARGE_BYTES)).await;
        if reserved.is_err() {
            break;
        }
        held.push(reservation);
    }
    assert_eq!(held.len(), 3, "an eighth is left for small bodies");
    let mut waiting = memory.reservation(BodyKind::Answer);
    let (reserved, ()) = tokio::join!(timeout(Duration::from_secs(1), waiting.begin(LARGE_BYTES)), async {
        tokio::task::yield_now().await;
        held.pop();
    });
    assert_eq!(reserved, Ok(Ok(())));
    let mut request = memory.reservation(BodyKind::Request);
    assert_eq!(request.grow(LARGE_BYTES, LARGE_BYTES).await, Err(NoMemory), "a request is refused at once");
}
