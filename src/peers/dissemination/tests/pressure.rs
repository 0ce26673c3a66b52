//! What gives way where the budget is short: words, copies and repetitions before entries on their first way.

use super::*;

fn count(pair: &Pair, node: usize, is: impl Fn(&Message) -> bool) -> usize {
    pair.sent.iter().filter(|(by, message)| *by == node && is(message)).count()
}

/// Two nodes of different regions, the first of them a publisher.
fn publishing_pair() -> Pair {
    let mut pair = Pair::new();
    pair.run(3 * SECOND);
    pair.open(1, 1).unwrap();
    pair.run(SECOND);
    pair.sent.clear();
    pair
}

fn publish_state(pair: &mut Pair) {
    let mut out = Vec::new();
    pair.cores[0].publish_state(pair.now, 1, 1, vec![7; 800], &mut out).unwrap();
    pair.cores[0].flush(pair.now, &mut pair.budgets[0], &mut out);
    pair.carry_out(0, out);
}

fn accept_state(pair: &mut Pair) {
    let key = StateKey { publisher: member(0).key, kind: 1 };
    pair.cores[1].decide_state(key, 1, 1, Ok(()), &mut Vec::new());
}

fn is_state(message: &Message) -> bool {
    matches!(message, Message::State { .. })
}

#[test]
fn reports_are_confirmed_at_a_bounded_rate() {
    let mut pair = publishing_pair();
    for _ in 0..30 {
        pair.publish(vec![1]).unwrap();
        pair.run(SECOND / 10);
    }
    let reports = count(&pair, 1, |message| matches!(message, Message::Reports(_)));
    let confirmed = count(&pair, 0, |message| matches!(message, Message::Confirm { .. }));
    assert!(reports >= 15, "{reports} reports in 3 s");
    assert!((5..=11).contains(&confirmed), "{confirmed} confirmations of {reports} reports in 3 s");
}

#[test]
fn no_more_copies_of_a_state_are_sent_to_a_node_that_has_it() {
    let mut pair = publishing_pair();
    publish_state(&mut pair);
    accept_state(&mut pair);
    pair.run(SECOND);
    assert_eq!(count(&pair, 0, is_state), 1);
}

#[test]
fn a_copy_makes_up_for_a_state_that_was_lost() {
    let mut pair = publishing_pair();
    pair.lost = 1;
    publish_state(&mut pair);
    pair.run(SECOND / 5);
    assert_eq!(count(&pair, 0, is_state), 2);
    assert!(pair
        .told
        .iter()
        .any(|(node, output)| { *node == 1 && matches!(output, DisseminationOutput::StateOffered { .. }) }));
}

#[test]
fn copies_of_a_state_take_what_entries_leave() {
    let mut pair = publishing_pair();
    // Three copies of some 880 bytes would go below the 1,638 bytes that what is sent again leaves to others.
    pair.budgets[0] = ByteBudget::new(1, 4_096, pair.now);
    publish_state(&mut pair);
    pair.run(SECOND / 2);
    assert_eq!(count(&pair, 0, is_state), 2);
    pair.publish(vec![1]).unwrap();
    assert_eq!(pair.delivered(), [1], "an entry still goes");
}

#[test]
fn between_regions_nothing_is_repeated_from_what_entries_need() {
    for (tokens, expected) in [(4_096, vec![1, 2]), (1_838, vec![])] {
        let mut pair = publishing_pair();
        pair.lost = 1;
        pair.publish(vec![1; 300]).unwrap();
        // Spent down to some tokens of a bucket of 4,096 bytes.
        let mut budget = ByteBudget::new(1, 4_096, pair.now);
        budget.charge(pair.now, 4_096 - tokens);
        pair.budgets[0] = budget;
        pair.publish(vec![2; 20]).unwrap();
        assert_eq!(pair.delivered(), expected, "{tokens} bytes are left");
    }
}

#[test]
fn reports_wait_while_entries_wait_for_the_budget() {
    for (waiting, expected) in [(false, 3..=5), (true, 1..=1)] {
        let mut pair = publishing_pair();
        pair.publish(vec![1]).unwrap();
        pair.run(2 * SECOND);
        pair.sent.clear();
        if waiting {
            // An entry is for a third node, and the budget allows nothing.
            pair.cores[1].outbox.push_entry(member(0).key, member(9).address, 1);
            pair.budgets[1] = ByteBudget::new(1, 1, pair.now);
        }
        let published = pair.now;
        while pair.now < published + 6 * SECOND / 10 {
            pair.publish(vec![2]).unwrap();
            pair.run(SECOND / 10);
        }
        if waiting {
            // What was held back goes out as soon as the budget allows it.
            pair.budgets[1] = budget();
            let mut out = Vec::new();
            pair.cores[1].flush(pair.now, &mut pair.budgets[1], &mut out);
            pair.carry_out(1, out);
        }
        let reports = count(&pair, 1, |message| matches!(message, Message::Reports(_)));
        assert!(expected.contains(&reports), "{reports} reports; entries wait: {waiting}");
    }
}
