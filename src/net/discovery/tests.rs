use super::*;

#[test]
fn no_backoff_grows_past_what_the_greatest_time_is_made_of() {
    for failures in [0, 1, 2, 3, 9, 10, 1_000, u32::MAX] {
        let most = backoff(failures).mul_f64(1.5);
        assert!(most <= BACKOFF_MOST.mul_f64(1.5) && most >= BACKOFF, "{failures}: {most:?}");
    }
    assert!(backoff(1) < backoff(u32::MAX));
}

// The page's own words: told 6 s after discovery had it and could be reached, and half of a second is left for a node
// that is behind.
#[test]
fn the_greatest_time_until_a_change_is_heard_is_under_what_counts_as_told() {
    let ms = |time: Duration| time.as_millis();
    let call = ms(CONNECT) + ms(WATCH) + ms(OVERDUE);
    let answered = ms(CONNECT) + ms(OVERDUE);
    let sum = call + ms(FOLLOW_AGAIN) + ms(BACKOFF_MOST) * 3 / 2 + answered;
    assert_eq!(ms(TOLD_WITHIN), sum);
    assert!(sum <= 5_700, "{sum} ms");
}
