use super::*;

#[test]
fn a_connection_is_retired_shortly_before_its_server_closes_it() {
    let ms = Duration::from_millis;
    assert_eq!(idle_limit(ms(15_000), ms(200)), ms(14_600));
    // Where a connection may take longer to come up than servers keep one, half of that time is left.
    assert_eq!(idle_limit(ms(1_000), ms(5_000)), ms(500));
    assert_eq!(idle_limit(ms(0), ms(200)), ms(0));
}
