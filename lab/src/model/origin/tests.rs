use super::*;
use crate::draw::Stream;

fn origin(places: usize) -> Origin {
    let parts = OriginParts {
        places,
        mean_us: 100_000.0,
        fall_multiple: 3.0,
        fall_us: 3 * SECOND,
        down_us: 5 * SECOND,
    };
    Origin::new(parts, draw::stream(1, Stream::Origin))
}

#[test]
fn it_works_on_as_many_as_it_has_places_and_on_the_others_in_their_order() {
    let (mut origin, mut begun) = (origin(2), Vec::new());
    (0..4).for_each(|fetch| origin.ask(0, fetch, &mut begun));
    assert_eq!(begun.iter().map(|begun| begun.fetch).collect::<Vec<_>>(), [0, 1]);
    assert!(origin.end(begun[0].at, &mut begun));
    assert_eq!(begun[2].fetch, 2);
}

#[test]
fn asked_far_too_much_it_falls_and_comes_back() {
    let (mut origin, mut begun) = (origin(1), Vec::new());
    // Ten a second is what it can do: three times that for three seconds is too much.
    (0..100).for_each(|i| origin.ask(i * 20_000, i, &mut begun));
    assert_eq!(origin.falls(), 1);
    let first = begun[0];
    assert!(origin.end(first.at.max(2 * SECOND), &mut begun) || origin.down_until.is_some());
    // What begins while it is down ends after it is back.
    let last = *begun.last().unwrap();
    assert!(last.at > first.at);
}
