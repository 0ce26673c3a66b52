//! What is dropped or delayed when the byte budget is short: control messages, copies and repeated entries before
//! entries that are sent for the first time.

use super::*;

fn count_sent(pair: &Pair, node: usize, predicate: impl Fn(&Message) -> bool) -> usize {
    pair.sent.iter().filter(|(sender, message)| *sender == node && predicate(message)).count()
}

/// Two nodes of different regions; the first is a publisher.
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
    let reports = count_sent(&pair, 1, |message| matches!(message, Message::Reports(_)));
    let confirmed = count_sent(&pair, 0, |message| matches!(message, Message::Confirm { .. }));
    assert!(reports >= 15, "{reports} reports in 3 s");
    assert!((5..=11).contains(&confirmed), "{confirmed} confirmations of {reports} reports in 3 s");
}

#[test]
fn no_further_copies_of_a_state_are_sent_to_a_node_that_applied_it() {
    let mut pair = publishing_pair();
    publish_state(&mut pair);
    accept_state(&mut pair);
    pair.run(SECOND);
    assert_eq!(count_sent(&pair, 0, is_state), 1);
}

#[test]
fn second_copy_makes_up_for_a_lost_state() {
    let mut pair = publishing_pair();
    pair.datagrams_to_lose = 1;
    publish_state(&mut pair);
    pair.run(SECOND / 5);
    assert_eq!(count_sent(&pair, 0, is_state), 2);
    assert!(pair
        .outputs
        .iter()
        .any(|(node, output)| { *node == 1 && matches!(output, DisseminationOutput::StateOffered { .. }) }));
}

#[test]
fn repeated_state_copies_use_only_budget_that_entries_leave() {
    let mut pair = publishing_pair();
    // Three copies of some 880 bytes would draw the bucket below the 1,638 bytes that repairs must leave to other
    // traffic.
    pair.budgets[0] = ByteBudget::new(1, 4_096, pair.now);
    publish_state(&mut pair);
    pair.run(SECOND / 2);
    assert_eq!(count_sent(&pair, 0, is_state), 2);
    pair.publish(vec![1]).unwrap();
    assert_eq!(pair.delivered(), [1], "an entry is still sent");
}

#[test]
fn entries_are_not_repeated_between_regions_when_budget_is_short() {
    for (tokens, expected) in [(4_096, vec![1, 2]), (1_838, vec![])] {
        let mut pair = publishing_pair();
        pair.datagrams_to_lose = 1;
        pair.publish(vec![1; 300]).unwrap();
        // A bucket of 4,096 bytes, drawn down to `tokens`.
        let mut budget = ByteBudget::new(1, 4_096, pair.now);
        budget.charge(pair.now, 4_096 - tokens);
        pair.budgets[0] = budget;
        pair.publish(vec![2; 20]).unwrap();
        assert_eq!(pair.delivered(), expected, "{tokens} bytes left in the bucket");
    }
}

#[test]
fn reports_are_delayed_while_entries_wait_for_byte_budget() {
    for (queued, expected) in [(false, 3..=5), (true, 1..=1)] {
        let mut pair = publishing_pair();
        pair.publish(vec![1]).unwrap();
        pair.run(2 * SECOND);
        pair.sent.clear();
        if queued {
            // An entry for a third node is queued, and the budget allows nothing.
            pair.cores[1].outbox.queue_entry(member(0).key, member(9).address, 1);
            pair.budgets[1] = ByteBudget::new(1, 1, pair.now);
        }
        let published = pair.now;
        while pair.now < published + 6 * SECOND / 10 {
            pair.publish(vec![2]).unwrap();
            pair.run(SECOND / 10);
        }
        if queued {
            // What was delayed is sent as soon as the budget allows it.
            pair.budgets[1] = budget();
            let mut out = Vec::new();
            pair.cores[1].flush(pair.now, &mut pair.budgets[1], &mut out);
            pair.carry_out(1, out);
        }
        let reports = count_sent(&pair, 1, |message| matches!(message, Message::Reports(_)));
        assert!(expected.contains(&reports), "{reports} reports; entries queued: {queued}");
    }
}
