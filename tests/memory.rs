//! How the memory of a node is divided.

use walkpick::policy::memory::{max_connections, BodyBudget, BodyKind, Decision, SMALL_BODY_BYTES};

const MIB: u64 = 1 << 20;
const LARGE: usize = 64 << 10;

/// Adds bodies of this size until one is not granted, and returns how many were and what the last one was told.
fn fill(budget: &mut BodyBudget, kind: BodyKind, size: usize) -> (usize, Decision) {
    let mut granted = 0;
    loop {
        match budget.resize(kind, 0, size) {
            Decision::Granted => granted += 1,
            other => return (granted, other),
        }
    }
}

// Guards against large requests that take the memory of answers, and against both taking that of ordinary requests.
#[test]
fn answers_come_before_large_requests_and_small_bodies_before_both() {
    let mut budget = BodyBudget::new(32 * MIB);
    assert_eq!(fill(&mut budget, BodyKind::Request, LARGE), (80, Decision::Refused));
    assert_eq!(fill(&mut budget, BodyKind::Answer, LARGE), (32, Decision::Wait));
    assert_eq!(fill(&mut budget, BodyKind::Request, SMALL_BODY_BYTES), (256, Decision::Refused));
    assert_eq!(fill(&mut budget, BodyKind::Answer, SMALL_BODY_BYTES), (0, Decision::Wait));
    assert_eq!((budget.used(), budget.capacity()), (8 << 20, 8 << 20));
    assert_eq!(budget.resize(BodyKind::Request, LARGE, 0), Decision::Granted);
    assert_eq!(budget.used(), (8 << 20) - LARGE);
}

// Guards against partial answers that wait for each other, and against clients that reserve memory by announcing a body.
#[test]
fn an_answer_reserves_its_largest_size_and_a_request_what_has_arrived() {
    assert_eq!(BodyBudget::charge(BodyKind::Answer, SMALL_BODY_BYTES + 1, LARGE), LARGE);
    assert_eq!(BodyBudget::charge(BodyKind::Answer, SMALL_BODY_BYTES, LARGE), SMALL_BODY_BYTES);
    assert_eq!(BodyBudget::charge(BodyKind::Request, SMALL_BODY_BYTES + 1, LARGE), SMALL_BODY_BYTES + 1);
    assert_eq!(BodyBudget::initial_charge(BodyKind::Answer, LARGE), LARGE);
    assert_eq!(BodyBudget::initial_charge(BodyKind::Request, LARGE), 0);
}

// Guards against a limit on connections below what the descriptors of the smallest node allow.
#[test]
fn the_smallest_memory_suffices_for_the_connections_of_1024_descriptors() {
    assert!(max_connections(32 * MIB) >= 500);
    assert_eq!(max_connections(0), 1);
}
