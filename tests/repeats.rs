//! Requests that come again with the id of an earlier one.

use std::time::{Duration, Instant};
use walkpick::policy::repeats::RecentRequests;

// Guards against a request that runs twice because its client sent it again, and against one that is held back although
// it has never run.
#[test]
fn an_id_comes_again_only_if_its_request_has_not_run() {
    let (mut recent, start) = (RecentRequests::default(), Instant::now());
    assert!(recent.record(start, b"a"));
    assert!(!recent.record(start, b"a"));
    assert!(recent.record(start, b"b"));
    recent.forget(b"a");
    assert!(recent.record(start + Duration::from_secs(59), b"a"));
    assert!(recent.record(start + Duration::from_secs(60), b"b"), "no longer remembered");
    assert!(!recent.record(start + Duration::from_secs(118), b"a"), "remembered from when it came again");
}

// Guards against memory that grows with the number of ids.
#[test]
fn the_number_of_ids_is_limited() {
    let (mut recent, start) = (RecentRequests::default(), Instant::now());
    for number in 0..100_000_u32 {
        assert!(recent.record(start, &number.to_be_bytes()));
        if number % 2 == 0 {
            recent.forget(&number.to_be_bytes());
        }
    }
    assert!(!recent.is_empty() && recent.len() <= 16_384, "{}", recent.len());
    assert!(!recent.record(start, &99_999_u32.to_be_bytes()), "the latest are remembered");
}
