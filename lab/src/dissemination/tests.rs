//! The hard cases, at the plan's 530 nodes in simulated time.

use super::cluster::{Cluster, BUDGET};
use super::scenario::{run, seconds, Load};
use super::topology::{address, Topology};
use crate::model::links::Impairment;
use crate::model::{Micros, SECOND};
use walkpick::peers::dissemination::message::{encode, Message};
use walkpick::peers::dissemination::{hash_name, Channel, DisseminationOutput, PublishError};

const NODES: usize = 530;
const PUBLISHER: usize = 265;
/// Each entry is everywhere within this time.
const BOUND: Micros = 2_400_000;
/// Each version of a state is.
const STATE_BOUND: Micros = 3_000_000;
const BYTES: usize = 100;

/// One publisher's log in flow.
struct Flow {
    publisher: usize,
    epoch: u64,
    next: u64,
}

impl Flow {
    fn new(cluster: &mut Cluster, publisher: usize) -> Self {
        cluster.open(publisher, 1, 1, Vec::new()).unwrap();
        Self { publisher, epoch: 1, next: 1 }
    }

    /// Six entries a second for so many seconds.
    fn run(&mut self, cluster: &mut Cluster, secs: u64) {
        self.run_at(cluster, 6, secs);
    }

    fn run_at(&mut self, cluster: &mut Cluster, rate: u64, secs: u64) {
        for _ in 0..rate * secs {
            self.publish(cluster);
            cluster.run(SECOND / rate);
        }
    }

    fn publish(&mut self, cluster: &mut Cluster) {
        let published = cluster.publish(self.publisher, self.epoch, self.next, BYTES);
        assert_eq!(published, Ok(self.next));
        self.next += 1;
    }

    fn last(&self) -> u64 {
        self.next - 1
    }

    /// Until all that run have all of it.
    fn finish(&self, cluster: &mut Cluster, limit: Micros) -> Option<Micros> {
        let key = cluster.key(self.publisher);
        let last = self.last();
        cluster.run_until(limit, |cluster| cluster.all_have(key, last))
    }
}

fn cluster(seed: u64, way: Impairment) -> Cluster {
    let mut cluster = Cluster::new(Topology::default(), NODES, seed);
    cluster.way = way;
    cluster.start_all();
    cluster.run(3 * SECOND);
    cluster
}

/// Nothing twice, out of order or made up; nobody was told that all had it while somebody had not; no node over budget.
fn holds(cluster: &Cluster) {
    assert_eq!(cluster.ledger.faults, []);
    assert_eq!(cluster.false_words, []);
    let peak = cluster.traffic.largest(0, SECOND);
    assert!(peak <= f64::from(BUDGET), "{peak} bytes in a second");
}

/// Every node that runs has got every entry, none of them left out.
fn none_left_out(cluster: &Cluster, flow: &Flow) {
    let key = cluster.key(flow.publisher);
    for node in (0..cluster.len()).filter(|&node| cluster.alive(node)) {
        let subscriber = cluster.subscriber(node, key);
        let resets = cluster.ledger.resets.iter().filter(|reset| reset.subscriber == subscriber);
        assert_eq!(resets.count(), 0, "node {node}");
        assert_eq!(cluster.ledger.last(subscriber), flow.last(), "node {node}");
    }
}

fn slowest(cluster: &Cluster, since: Micros) -> Micros {
    cluster.ledger.slowest(since, cluster.now())
}

fn lost(loss: f64) -> Impairment {
    Impairment { loss, ..Impairment::default() }
}

#[test]
fn the_planned_load_is_everywhere_in_time_at_five_in_a_hundred_lost() {
    for nodes in [66, NODES] {
        let outcome = run(&Load { seconds: 10, state_every_s: 4, ..Load::planned(nodes, 0.05, 1) });
        assert_eq!((outcome.faults, outcome.lost, outcome.resets, outcome.false_words), (0, 0, 0, 0));
        assert!(outcome.log_largest_s <= seconds(BOUND), "{outcome:?}");
        assert!(outcome.state_largest_s <= seconds(STATE_BOUND), "{outcome:?}");
        assert!(outcome.peak_1s <= f64::from(BUDGET), "{outcome:?}");
        assert_eq!(outcome.acknowledged, 63, "{outcome:?}");
    }
}

#[test]
fn a_fifth_lost_duplicates_and_reorder_leave_nothing_out() {
    let way = Impairment { loss: 0.2, duplicate: 0.1, reorder: 0.2, ..Impairment::default() };
    let mut cluster = cluster(2, way);
    let mut flow = Flow::new(&mut cluster, PUBLISHER);
    flow.run(&mut cluster, 8);
    assert!(flow.finish(&mut cluster, 15 * SECOND).is_some());
    holds(&cluster);
    none_left_out(&cluster, &flow);
}

#[test]
fn a_relay_that_is_killed_holds_nothing_back() {
    let mut cluster = cluster(3, Impairment::default());
    let mut flow = Flow::new(&mut cluster, PUBLISHER);
    let relay = cluster.relays(PUBLISHER)[0];
    flow.run(&mut cluster, 2);
    cluster.kill(relay);
    flow.run(&mut cluster, 8);
    assert!(flow.finish(&mut cluster, 5 * SECOND).is_some());
    holds(&cluster);
    none_left_out(&cluster, &flow);
    assert!(slowest(&cluster, 0) <= BOUND, "{}", slowest(&cluster, 0));
}

#[test]
fn a_relay_that_stands_still_holds_nothing_back_and_is_named() {
    let mut cluster = cluster(4, Impairment::default());
    let mut flow = Flow::new(&mut cluster, PUBLISHER);
    let relay = cluster.relays(PUBLISHER)[0];
    cluster.ledger.exempt.insert(relay);
    flow.run(&mut cluster, 2);
    let paused_at = cluster.now();
    cluster.pause(relay);
    // Others lose sight of it after 4.8 s: those that don't are told that it lacks what was published meanwhile.
    flow.run(&mut cluster, 10);
    cluster.resume(relay);
    flow.run(&mut cluster, 3);
    assert!(flow.finish(&mut cluster, 15 * SECOND).is_some());
    cluster.run(10 * SECOND);
    holds(&cluster);
    none_left_out(&cluster, &flow);
    assert!(slowest(&cluster, 0) <= BOUND, "{}", slowest(&cluster, 0));
    let key = cluster.key(relay);
    for word in cluster.words.iter().filter(|word| word.at > paused_at) {
        if let DisseminationOutput::Unacknowledged { lagging, .. } = &word.output {
            assert!(lagging.iter().all(|lagging| *lagging == key), "{word:?}");
        }
    }
    let acknowledged = |word: &&super::cluster::Word| {
        matches!(word.output, DisseminationOutput::Acknowledged { channel: Channel::Log, .. })
    };
    assert_eq!(cluster.words.iter().filter(acknowledged).count() as u64, flow.last());
}

#[test]
fn a_relay_that_is_slow_holds_nothing_back() {
    let mut cluster = cluster(5, Impairment::default());
    let mut flow = Flow::new(&mut cluster, PUBLISHER);
    let relay = cluster.relays(PUBLISHER)[0];
    flow.run(&mut cluster, 2);
    cluster.slow(relay, SECOND);
    flow.run(&mut cluster, 8);
    assert!(flow.finish(&mut cluster, 10 * SECOND).is_some());
    holds(&cluster);
    none_left_out(&cluster, &flow);
    assert!(slowest(&cluster, 0) <= BOUND, "{}", slowest(&cluster, 0));
}

/// What the publisher is told of an entry when one node's datagrams come a minute late, which is seen as present.
fn named_when_cut_off(seed: u64, rank: usize) {
    let mut cluster = cluster(seed, Impairment::default());
    let mut flow = Flow::new(&mut cluster, PUBLISHER);
    flow.run(&mut cluster, 1);
    let cut_off = cluster.relays(PUBLISHER)[rank];
    cluster.slow(cut_off, 60 * SECOND);
    cluster.run(SECOND);
    flow.publish(&mut cluster);
    cluster.run(9 * SECOND);
    let last = flow.last();
    let named: Vec<_> = cluster
        .words
        .iter()
        .filter_map(|word| match &word.output {
            DisseminationOutput::Unacknowledged { sequence, nodes, lagging, unlisted, .. }
                if *sequence == last =>
            {
                Some((*nodes, lagging.clone(), *unlisted))
            }
            _ => None,
        })
        .collect();
    assert_eq!(named, [(NODES as u32 - 1, vec![cluster.key(cut_off)], 0)]);
    assert_eq!(cluster.false_words, []);
}

#[test]
fn a_node_that_lacks_an_entry_is_named_and_nobody_else() {
    named_when_cut_off(6, NODES - 2);
}

#[test]
fn a_relay_that_lacks_an_entry_is_named_and_nobody_below_it() {
    named_when_cut_off(16, 0);
}

#[test]
fn after_a_zone_is_lost_the_bounds_hold_again_within_five_seconds() {
    let mut cluster = cluster(7, Impairment::default());
    let mut flow = Flow::new(&mut cluster, PUBLISHER);
    let relay = cluster.relays(PUBLISHER)[0];
    let topology = cluster.topology();
    flow.run(&mut cluster, 2);
    for node in (0..NODES).filter(|&node| topology.zone(node) == topology.zone(relay)) {
        cluster.kill(node);
    }
    let lost_at = cluster.now();
    flow.run(&mut cluster, 10);
    assert!(flow.finish(&mut cluster, 10 * SECOND).is_some());
    holds(&cluster);
    none_left_out(&cluster, &flow);
    let after = slowest(&cluster, lost_at + 5 * SECOND);
    assert!(after <= BOUND, "{after}");
}

#[test]
fn a_region_cut_off_for_three_minutes_replays_what_both_sides_published() {
    let mut cluster = cluster(8, Impairment::default());
    let topology = cluster.topology();
    let inside = topology.region(PUBLISHER);
    let outsider = (0..NODES).find(|&node| topology.region(node) != inside).unwrap();
    let mut here = Flow::new(&mut cluster, PUBLISHER);
    let mut there = Flow::new(&mut cluster, outsider);
    here.run(&mut cluster, 1);
    there.run(&mut cluster, 1);
    cluster.cut(|node| u32::from(topology.region(node) == inside));
    for _ in 0..6 * 180 {
        here.publish(&mut cluster);
        there.publish(&mut cluster);
        cluster.run(SECOND / 6);
    }
    cluster.heal();
    let (keys, lasts) = ((cluster.key(PUBLISHER), cluster.key(outsider)), (here.last(), there.last()));
    let took = cluster.run_until(200 * SECOND, |cluster| {
        cluster.all_have(keys.0, lasts.0) && cluster.all_have(keys.1, lasts.1)
    });
    println!("replayed after {:?} s; {:?}", took.map(seconds), cluster.counters());
    assert!(took.is_some());
    holds(&cluster);
    none_left_out(&cluster, &here);
    none_left_out(&cluster, &there);
    assert!(!cluster.stale.is_empty());
}

#[test]
fn all_are_restarted_in_turn_while_entries_flow() {
    let mut cluster = cluster(9, Impairment::default());
    let mut flow = Flow::new(&mut cluster, PUBLISHER);
    flow.run(&mut cluster, 1);
    let others: Vec<usize> = (0..NODES).filter(|&node| node != PUBLISHER).collect();
    for some in others.chunks(53) {
        some.iter().for_each(|&node| cluster.leave(node));
        flow.run(&mut cluster, 1);
        some.iter().for_each(|&node| cluster.start(node));
        flow.run(&mut cluster, 1);
    }
    flow.run(&mut cluster, 2);
    let took = flow.finish(&mut cluster, 15 * SECOND);
    assert!(took.is_some());
    holds(&cluster);
    // Each was told once where its new life begins, and got all from there on in order.
    let key = cluster.key(PUBLISHER);
    for &node in &others {
        let subscriber = cluster.subscriber(node, key);
        let resets = cluster.ledger.resets.iter().filter(|reset| reset.subscriber == subscriber);
        assert_eq!(resets.count(), 1, "node {node}");
        assert_eq!(cluster.ledger.last(subscriber), flow.last(), "node {node}");
    }
}

#[test]
fn a_node_that_joins_in_the_middle_is_told_where_it_begins() {
    let mut cluster = Cluster::new(Topology::default(), NODES, 10);
    cluster.way = lost(0.05);
    cluster.start_all();
    let late = NODES - 1;
    cluster.kill(late);
    cluster.run(6 * SECOND);
    let mut flow = Flow::new(&mut cluster, PUBLISHER);
    cluster.publish_state(PUBLISHER, 800).unwrap();
    flow.run(&mut cluster, 4);
    let before = flow.last();
    cluster.start(late);
    flow.run(&mut cluster, 4);
    assert!(flow.finish(&mut cluster, 5 * SECOND).is_some());
    holds(&cluster);
    let key = cluster.key(PUBLISHER);
    let subscriber = cluster.subscriber(late, key);
    let resets: Vec<_> =
        cluster.ledger.resets.iter().filter(|reset| reset.subscriber == subscriber).collect();
    assert_eq!(resets.len(), 1);
    assert!(resets[0].through + 12 >= before, "{resets:?}");
    assert_eq!(cluster.ledger.last(subscriber), flow.last());
    assert!(cluster.all_in_force(key, 1, 1));
}

#[test]
fn a_publisher_that_restarts_goes_on_under_a_higher_epoch() {
    let mut cluster = cluster(11, lost(0.05));
    let mut flow = Flow::new(&mut cluster, PUBLISHER);
    flow.run(&mut cluster, 3);
    // The last entries are known to nobody but its record.
    cluster.way.silent = true;
    flow.run(&mut cluster, 1);
    cluster.kill(PUBLISHER);
    cluster.way.silent = false;
    cluster.run(SECOND);
    cluster.start(PUBLISHER);
    cluster.run(SECOND);
    let record = (1..flow.next).map(|sequence| cluster.entry(PUBLISHER, 1, sequence, BYTES)).collect();
    assert_eq!(
        cluster.open(PUBLISHER, 1, flow.next, Vec::new()),
        Err(PublishError::Fenced { current_epoch: 1 })
    );
    cluster.open(PUBLISHER, 2, flow.next, record).unwrap();
    flow.epoch = 2;
    flow.run(&mut cluster, 3);
    assert!(flow.finish(&mut cluster, 8 * SECOND).is_some());
    cluster.run(5 * SECOND);
    holds(&cluster);
    let key = cluster.key(PUBLISHER);
    for node in (0..NODES).filter(|&node| node != PUBLISHER) {
        assert_eq!(cluster.ledger.count(cluster.subscriber(node, key), 1), 24, "node {node}");
        assert_eq!(cluster.ledger.count(cluster.subscriber(node, key), 2), 18, "node {node}");
    }
}

#[test]
fn an_old_epochs_publisher_that_wakes_is_ignored_and_told() {
    let spare = NODES - 1;
    let mut cluster = Cluster::new(Topology::default(), NODES, 12);
    cluster.start_all();
    cluster.kill(spare);
    cluster.run(6 * SECOND);
    let mut flow = Flow::new(&mut cluster, PUBLISHER);
    flow.run(&mut cluster, 2);
    cluster.run(2 * SECOND);
    cluster.pause(PUBLISHER);
    cluster.run(6 * SECOND);
    cluster.start_in_place_of(spare, PUBLISHER);
    cluster.run(2 * SECOND);
    let mut next = Flow { publisher: spare, epoch: 2, next: flow.next };
    let record = (1..flow.next).map(|sequence| cluster.entry(PUBLISHER, 1, sequence, BYTES)).collect();
    cluster.open(spare, 2, next.next, record).unwrap();
    next.run(&mut cluster, 2);
    cluster.resume_unseen(PUBLISHER);
    // What it issues before it hears of the other one reaches nobody, also where the other one has not got so far yet.
    (0..40).for_each(|_| flow.publish(&mut cluster));
    assert!(flow.last() > next.last());
    next.run(&mut cluster, 3);
    assert!(next.finish(&mut cluster, 5 * SECOND).is_some());
    assert_eq!(cluster.ledger.faults, []);
    assert!(cluster
        .words
        .iter()
        .any(|word| { word.node == PUBLISHER && word.output == DisseminationOutput::Fenced { epoch: 2 } }));
    assert!(matches!(
        cluster.publish(PUBLISHER, 1, 99, BYTES),
        Err(PublishError::Fenced { current_epoch: 2 })
    ));
    let key = cluster.key(PUBLISHER);
    for node in (0..NODES).filter(|&node| node != PUBLISHER && node != spare) {
        assert_eq!(cluster.ledger.count(cluster.subscriber(node, key), 1), 12, "node {node}");
        assert_eq!(cluster.ledger.last(cluster.subscriber(node, key)), next.last(), "node {node}");
    }
}

#[test]
fn what_cannot_be_read_is_dropped_and_counted() {
    let mut cluster = cluster(13, Impairment::default());
    let mut flow = Flow::new(&mut cluster, PUBLISHER);
    flow.run(&mut cluster, 1);
    let own = hash_name("walkpick") as u32;
    let entry = cluster.entry(PUBLISHER, 1, 3, BYTES);
    let entries = |payload: usize| Message::Entries {
        publisher: cluster.key(PUBLISHER),
        epoch: 1,
        first: 1,
        entries: vec![walkpick::peers::dissemination::Entry { payload: vec![1; payload], ..entry.clone() }],
        states: Vec::new(),
    };
    let good = encode(own, &entries(BYTES));
    let foreign = encode(own + 1, &entries(BYTES));
    let oversized_entry = encode(own, &entries(1_060));
    let mut later = good.clone();
    later[0] = 9;
    let mut random = fastrand::Rng::with_seed(13);
    for node in 0..NODES {
        let from = address(random.usize(0..NODES));
        cluster.inject(from, node, (0..random.usize(0..200)).map(|_| random.u8(..)).collect());
        cluster.inject(from, node, good[..random.usize(1..good.len())].to_vec());
        cluster.inject(from, node, vec![0; 1_400]);
        cluster.inject(from, node, foreign.clone());
        cluster.inject(from, node, oversized_entry.clone());
        cluster.inject(from, node, later.clone());
    }
    let counters = cluster.counters();
    assert!(counters.malformed >= NODES as u64, "{counters:?}");
    assert_eq!(counters.oversized, 2 * NODES as u64);
    assert!(counters.foreign >= NODES as u64 && counters.later_schema >= NODES as u64, "{counters:?}");
    flow.run(&mut cluster, 2);
    assert!(flow.finish(&mut cluster, 3 * SECOND).is_some());
    none_left_out(&cluster, &flow);
    assert_eq!(cluster.ledger.faults, []);
}

#[test]
fn sixty_purges_a_second_for_ten_seconds_are_late_and_whole() {
    let mut cluster = cluster(14, Impairment::default());
    let mut flow = Flow::new(&mut cluster, PUBLISHER);
    flow.run_at(&mut cluster, 60, 10);
    let took = flow.finish(&mut cluster, 60 * SECOND);
    assert!(took.is_some());
    holds(&cluster);
    none_left_out(&cluster, &flow);
    // Behind it, the bounds hold again.
    let after = cluster.now();
    flow.run(&mut cluster, 4);
    assert!(flow.finish(&mut cluster, 5 * SECOND).is_some());
    assert!(slowest(&cluster, after) <= BOUND, "{}", slowest(&cluster, after));
}

#[test]
fn a_refused_state_leaves_the_last_good_one_in_force_and_is_named() {
    let mut cluster = cluster(15, lost(0.05));
    cluster.open(PUBLISHER, 1, 1, Vec::new()).unwrap();
    let key = cluster.key(PUBLISHER);
    cluster.publish_state(PUBLISHER, 1_000).unwrap();
    assert!(cluster.run_until(STATE_BOUND, |cluster| cluster.all_in_force(key, 1, 1)).is_some());
    cluster.run(4 * SECOND);
    let refusing = 77;
    cluster.refusing.push(refusing);
    cluster.publish_state(PUBLISHER, 1_000).unwrap();
    cluster.run(10 * SECOND);
    let state = walkpick::peers::dissemination::StateKey { publisher: key, kind: super::cluster::STATE };
    for node in 0..NODES {
        let version =
            cluster.core(node).and_then(|core| core.applied_state(state)).map(|entry| entry.sequence);
        assert_eq!(version, Some(if node == refusing { 1 } else { 2 }), "node {node}");
    }
    let refused: Vec<_> = cluster
        .words
        .iter()
        .filter_map(|word| match &word.output {
            DisseminationOutput::StateRefused { refusal, .. } => {
                Some((refusal.key, refusal.version, refusal.reason.clone()))
            }
            _ => None,
        })
        .collect();
    assert_eq!(refused, [(cluster.key(refusing), 2, "node 77 does not take it".to_owned())]);
    let all = |version: u64| {
        cluster.words.iter().any(|word| {
            matches!(word.output, DisseminationOutput::Acknowledged { channel: Channel::State(_), sequence, .. }
                if sequence == version)
        })
    };
    assert!(all(1) && !all(2));
    assert!(cluster.in_force.iter().all(|told| told.whole));
    holds(&cluster);
}

#[test]
fn the_planned_load_holds_its_bounds_over_real_membership() {
    let outcome = super::joint::run(&Load { seconds: 10, state_every_s: 4, ..Load::planned(66, 0.05, 1) });
    assert_eq!((outcome.faults, outcome.lost, outcome.resets, outcome.false_words), (0, 0, 0, 0));
    assert!(outcome.log_largest_s <= seconds(BOUND), "{outcome:?}");
    assert!(outcome.state_largest_s <= seconds(STATE_BOUND), "{outcome:?}");
    assert!(outcome.peak_1s <= f64::from(BUDGET), "{outcome:?}");
    assert_eq!(outcome.acknowledged, 63, "{outcome:?}");
}

#[test]
fn the_engines_own_broadcasts_reach_all_out_of_order() {
    let outcome = super::baseline::run(&Load { seconds: 10, ..Load::planned(66, 0.05, 1) });
    assert_eq!(outcome.never, 0);
    assert!(outcome.out_of_order > 0);
}

#[test]
fn outcomes_are_written_as_series_by_loss() {
    let loads = [0.0, 0.05].map(|loss| Load { seconds: 1, ..Load::planned(4, loss, 1) });
    let outcomes = super::figures::run_all(&loads, super::figures::Membership::StandIn, 2, || {});
    let series = super::figures::series(&outcomes, "a command");
    let names: Vec<&str> = series.iter().map(|series| series.name.as_str()).collect();
    assert!(names.contains(&"dissemination.bytes_per_second.peak"));
    assert!(names.contains(&"dissemination.seconds_to_all.log.loss_5"));
    assert!(series.iter().all(|series| series.points.len() == 1 && series.points[0].size == 4.0));
}
