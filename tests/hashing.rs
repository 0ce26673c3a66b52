//! Key distribution over servers, and which keys move when the server list changes.

mod common;
use common::*;
use std::collections::BTreeMap;
use walkpick::*;

fn owners(node: &mut Node) -> BTreeMap<u64, ServerId> {
    let mut owners = BTreeMap::new();
    for key in 0..2_000u64 {
        owners.insert(key, node.read_key(key, Status::Ok).expect("served"));
        node.requests.clear();
        node.advance(ms(10));
    }
    owners
}

fn share(owners: &BTreeMap<u64, ServerId>, server: &str) -> f64 {
    owners.values().filter(|id| id.as_str() == server).count() as f64 / owners.len() as f64
}

#[test]
fn only_the_keys_of_a_removed_server_move_and_they_return_with_it() {
    let mut node = Node::with_servers(settings(), 8);
    let before = owners(&mut node);
    let removed = ServerEntry { availability: Availability::Removed, ..ServerEntry::new("d") };
    node.update_servers(vec![removed]);
    let without = owners(&mut node);
    for (key, owner) in &before {
        if owner.as_str() != "d" {
            assert_eq!(&without[key], owner);
        }
    }
    for other in ["a", "h"] {
        assert!(
            share(&without, other) > share(&before, other),
            "the removed server's keys are spread over all the others"
        );
    }
    node.update_servers(vec![ServerEntry::new("d")]);
    assert_eq!(owners(&mut node), before);
}

#[test]
fn key_shares_are_proportional_to_weights() {
    let mut node = Node::new(settings(), 1);
    let entry_with_weight = |id: &str, weight| ServerEntry { weight, ..ServerEntry::new(id) };
    node.replace_servers(vec![
        entry_with_weight("a", 1.0),
        entry_with_weight("b", 1.0),
        entry_with_weight("c", 2.0),
    ]);
    let owners = owners(&mut node);
    assert!((share(&owners, "a") - 0.25).abs() < 0.04);
    assert!((share(&owners, "c") - 0.5).abs() < 0.04);
}

/// Guards against moving keys for short-lived changes of weight: live weights reflect a server's load at one moment
/// and vary from list to list. A server that is slow for seconds must lose most of its keys.
#[test]
fn fluctuating_weights_move_few_keys_but_a_lasting_low_weight_moves_most() {
    let mut node = Node::with_servers(Settings { nominal_weights: false, ..settings() }, 8);
    let mut rng = fastrand::Rng::with_seed(7);
    let update_weights = |node: &mut Node, weights: &mut dyn FnMut(u8) -> f64, count| {
        for _ in 0..count {
            let entry = |i: u8| ServerEntry {
                weight: weights(i),
                ..ServerEntry::new(&char::from(b'a' + i).to_string())
            };
            node.update_servers((0..8).map(entry).collect());
            node.advance(ms(800));
        }
    };
    let mut fluctuating = |_| 3.0 / (1.0 + f64::from(rng.u8(0..4)) / 3.0);
    update_weights(&mut node, &mut fluctuating, 20);
    let before = owners(&mut node);
    update_weights(&mut node, &mut fluctuating, 1);
    let after = owners(&mut node);
    let moved = before.iter().filter(|(key, owner)| after[key] != **owner).count();
    assert!(moved < before.len() / 10, "{moved} of {} keys moved", before.len());
    let mut one_slow = |i| if i == 0 { 0.2 } else { 2.5 };
    update_weights(&mut node, &mut one_slow, 4);
    let shares = owners(&mut node);
    assert!(share(&shares, "a") < share(&before, "a") / 3.0, "{}", share(&shares, "a"));
}

/// A weight of zero counts like a very small one. Its effect ends when the server reports a positive weight again.
#[test]
fn a_server_recovers_its_key_share_after_weights_of_zero() {
    let mut node = Node::new(Settings { nominal_weights: false, ..settings() }, 1);
    let entry_with_weight = |weight| ServerEntry { weight, ..ServerEntry::new("a") };
    node.replace_servers(vec![entry_with_weight(0.0), ServerEntry::new("b")]);
    for weight in [[0.0; 40], [1.0; 40]].concat() {
        node.advance(ms(1_000));
        node.update_servers(vec![entry_with_weight(weight)]);
    }
    assert!((share(&owners(&mut node), "a") - 0.5).abs() < 0.1);
}

#[test]
fn nodes_with_different_seeds_and_list_orders_choose_the_same_servers() {
    let mut first = Node::with_servers(settings(), 5);
    let mut second = Node::new(settings(), 99);
    second.replace_servers(["e", "c", "a", "b", "d"].map(ServerEntry::new).to_vec());
    assert_eq!(owners(&mut first), owners(&mut second));
}
