//! How fast a connection's requests are answered that no cache server sees.

use std::time::{Duration, Instant};
use walkpick::policy::pacing::{AnswerPace, PacedAnswer};

// Guards against a client that uses the processor time of all others, and against closing the connection of one that
// asks now and then.
#[test]
fn a_burst_is_answered_at_once_and_the_connection_closes_after_it() {
    let (mut pace, start) = (AnswerPace::default(), Instant::now());
    let at_once = PacedAnswer { delay: Duration::ZERO, last: false };
    assert!((0..16).all(|_| pace.next_answer(start) == at_once));
    assert_eq!(pace.next_answer(start), PacedAnswer { delay: Duration::from_millis(20), last: true });
    // After a pause there is room for a burst again, and no more than that.
    let later = start + Duration::from_secs(60);
    assert!((0..16).all(|_| pace.next_answer(later) == at_once));
    assert!(pace.next_answer(later).last);
    // A health check each second never closes its connection.
    let mut checks = AnswerPace::default();
    assert!((0..100).all(|second| checks.next_answer(start + Duration::from_secs(second)) == at_once));
}
