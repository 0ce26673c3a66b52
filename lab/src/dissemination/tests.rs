//! Failure cases of dissemination at the planned 530 nodes, in simulated time.

use super::cluster::{Cluster, BUDGET};
use super::scenario::{run, seconds, Load};
use super::topology::{address, Topology};
use crate::model::links::Impairment;
use crate::model::{Micros, SECOND};
use walkpick::peers::dissemination::message::{encode, Message};
use walkpick::peers::dissemination::{hash_name, Channel, DisseminationOutput, PublishError};

const NODES: usize = 530;
const PUBLISHER: usize = 265;
/// Each entry reaches all nodes within this time.
const BOUND: Micros = 2_400_000;
/// Each state version reaches all nodes within this time.
const STATE_BOUND: Micros = 3_000_000;
const ENTRY_BYTES: usize = 100;

/// Publishes one publisher's log.
struct LogWriter {
    publisher: usize,
    epoch: u64,
    next: u64,
}

impl LogWriter {
    fn new(cluster: &mut Cluster, publisher: usize) -> Self {
        cluster.open(publisher, 1, 1, Vec::new()).unwrap();
        Self { publisher, epoch: 1, next: 1 }
    }

    /// Publishes six entries per second for this many seconds.
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
        let published = cluster.publish(self.publisher, self.epoch, self.next, ENTRY_BYTES);
        assert_eq!(published, Ok(self.next));
        self.next += 1;
    }

    fn last(&self) -> u64 {
        self.next - 1
    }

    /// Waits until all running nodes have delivered the whole log; returns the time taken.
    fn wait_until_delivered(&self, cluster: &mut Cluster, limit: Micros) -> Option<Micros> {
        let key = cluster.key(self.publisher);
        let last = self.last();
        cluster.run_until(limit, |cluster| cluster.all_delivered(key, last))
    }
}

fn cluster(seed: u64, impairment: Impairment) -> Cluster {
    let mut cluster = Cluster::new(Topology::default(), NODES, seed);
    cluster.impairment = impairment;
    cluster.start_all();
    cluster.run(3 * SECOND);
    cluster
}

/// No delivery was duplicate, out of order or unpublished, no acknowledgement was false, and no node exceeded its budget.
fn assert_guarantees(cluster: &Cluster) {
    assert_eq!(cluster.ledger.faults, []);
    assert_eq!(cluster.false_acknowledgements, []);
    let peak = cluster.traffic.peak_rate(0, SECOND);
    assert!(peak <= f64::from(BUDGET), "{peak} bytes in a second");
}

/// Every running node has received every entry without a reset.
fn assert_complete(cluster: &Cluster, writer: &LogWriter) {
    let key = cluster.key(writer.publisher);
    for node in (0..cluster.len()).filter(|&node| cluster.alive(node)) {
        let subscriber = cluster.subscriber(node, key);
        let resets = cluster.ledger.resets.iter().filter(|reset| reset.subscriber == subscriber);
        assert_eq!(resets.count(), 0, "node {node}");
        assert_eq!(cluster.ledger.last(subscriber), writer.last(), "node {node}");
    }
}

fn max_delivery_time(cluster: &Cluster, since: Micros) -> Micros {
    cluster.ledger.max_delivery_time(since, cluster.now())
}

fn with_loss(loss: f64) -> Impairment {
    Impairment { loss, ..Impairment::default() }
}

#[test]
fn planned_load_meets_its_bounds_at_five_percent_loss() {
    for nodes in [66, NODES] {
        let outcome = run(&Load { seconds: 10, state_every_s: 4, ..Load::planned(nodes, 0.05, 1) });
        assert_eq!(
            (outcome.faults, outcome.lost, outcome.resets, outcome.false_acknowledgements),
            (0, 0, 0, 0)
        );
        assert!(outcome.log_largest_s <= seconds(BOUND), "{outcome:?}");
        assert!(outcome.state_largest_s <= seconds(STATE_BOUND), "{outcome:?}");
        assert!(outcome.peak_1s <= f64::from(BUDGET), "{outcome:?}");
        assert_eq!(outcome.acknowledged, 63, "{outcome:?}");
    }
}

#[test]
fn loss_duplication_and_reordering_skip_no_entries() {
    let impairment = Impairment { loss: 0.2, duplicate: 0.1, reorder: 0.2, ..Impairment::default() };
    let mut cluster = cluster(2, impairment);
    let mut writer = LogWriter::new(&mut cluster, PUBLISHER);
    writer.run(&mut cluster, 8);
    assert!(writer.wait_until_delivered(&mut cluster, 15 * SECOND).is_some());
    assert_guarantees(&cluster);
    assert_complete(&cluster, &writer);
}

#[test]
fn killed_relay_does_not_delay_entries() {
    let mut cluster = cluster(3, Impairment::default());
    let mut writer = LogWriter::new(&mut cluster, PUBLISHER);
    let relay = cluster.relays(PUBLISHER)[0];
    writer.run(&mut cluster, 2);
    cluster.kill(relay);
    writer.run(&mut cluster, 8);
    assert!(writer.wait_until_delivered(&mut cluster, 5 * SECOND).is_some());
    assert_guarantees(&cluster);
    assert_complete(&cluster, &writer);
    assert!(max_delivery_time(&cluster, 0) <= BOUND, "{}", max_delivery_time(&cluster, 0));
}

#[test]
fn paused_relay_does_not_delay_entries_and_is_reported_as_lagging() {
    let mut cluster = cluster(4, Impairment::default());
    let mut writer = LogWriter::new(&mut cluster, PUBLISHER);
    let relay = cluster.relays(PUBLISHER)[0];
    cluster.ledger.exempt.insert(relay);
    writer.run(&mut cluster, 2);
    let paused_at = cluster.now();
    cluster.pause(relay);
    // Other nodes remove it within 4.8 s; until then, a publisher that still sees it is notified that it lacks new entries.
    writer.run(&mut cluster, 10);
    cluster.resume(relay);
    writer.run(&mut cluster, 3);
    assert!(writer.wait_until_delivered(&mut cluster, 15 * SECOND).is_some());
    cluster.run(10 * SECOND);
    assert_guarantees(&cluster);
    assert_complete(&cluster, &writer);
    assert!(max_delivery_time(&cluster, 0) <= BOUND, "{}", max_delivery_time(&cluster, 0));
    let key = cluster.key(relay);
    for event in cluster.publisher_events.iter().filter(|event| event.at > paused_at) {
        if let DisseminationOutput::Unacknowledged { lagging, .. } = &event.output {
            assert!(lagging.iter().all(|lagging| *lagging == key), "{event:?}");
        }
    }
    let acknowledged = |event: &&super::cluster::PublisherEvent| {
        matches!(event.output, DisseminationOutput::Acknowledged { channel: Channel::Log, .. })
    };
    assert_eq!(cluster.publisher_events.iter().filter(acknowledged).count() as u64, writer.last());
}

#[test]
fn slow_relay_does_not_delay_entries() {
    let mut cluster = cluster(5, Impairment::default());
    let mut writer = LogWriter::new(&mut cluster, PUBLISHER);
    let relay = cluster.relays(PUBLISHER)[0];
    writer.run(&mut cluster, 2);
    cluster.set_extra_delay(relay, SECOND);
    writer.run(&mut cluster, 8);
    assert!(writer.wait_until_delivered(&mut cluster, 10 * SECOND).is_some());
    assert_guarantees(&cluster);
    assert_complete(&cluster, &writer);
    assert!(max_delivery_time(&cluster, 0) <= BOUND, "{}", max_delivery_time(&cluster, 0));
}

/// Delays the datagrams of one node by a minute while it is still seen as present, and checks that the publisher is notified
/// of this node as the only lagging one.
fn assert_only_delayed_node_lags(seed: u64, rank: usize) {
    let mut cluster = cluster(seed, Impairment::default());
    let mut writer = LogWriter::new(&mut cluster, PUBLISHER);
    writer.run(&mut cluster, 1);
    let delayed = cluster.relays(PUBLISHER)[rank];
    cluster.set_extra_delay(delayed, 60 * SECOND);
    cluster.run(SECOND);
    writer.publish(&mut cluster);
    cluster.run(9 * SECOND);
    let last = writer.last();
    let reports: Vec<_> = cluster
        .publisher_events
        .iter()
        .filter_map(|event| match &event.output {
            DisseminationOutput::Unacknowledged { sequence, nodes, lagging, unlisted, .. }
                if *sequence == last =>
            {
                Some((*nodes, lagging.clone(), *unlisted))
            }
            _ => None,
        })
        .collect();
    assert_eq!(reports, [(NODES as u32 - 1, vec![cluster.key(delayed)], 0)]);
    assert_eq!(cluster.false_acknowledgements, []);
}

#[test]
fn only_the_leaf_that_lacks_an_entry_is_reported_as_lagging() {
    assert_only_delayed_node_lags(6, NODES - 2);
}

#[test]
fn relay_that_lacks_an_entry_is_reported_as_lagging_without_its_subtree() {
    assert_only_delayed_node_lags(16, 0);
}

#[test]
fn bounds_hold_again_within_five_seconds_of_the_loss_of_a_zone() {
    let mut cluster = cluster(7, Impairment::default());
    let mut writer = LogWriter::new(&mut cluster, PUBLISHER);
    let relay = cluster.relays(PUBLISHER)[0];
    let topology = cluster.topology();
    writer.run(&mut cluster, 2);
    for node in (0..NODES).filter(|&node| topology.zone(node) == topology.zone(relay)) {
        cluster.kill(node);
    }
    let lost_at = cluster.now();
    writer.run(&mut cluster, 10);
    assert!(writer.wait_until_delivered(&mut cluster, 10 * SECOND).is_some());
    assert_guarantees(&cluster);
    assert_complete(&cluster, &writer);
    let after = max_delivery_time(&cluster, lost_at + 5 * SECOND);
    assert!(after <= BOUND, "{after}");
}

#[test]
fn region_isolated_for_three_minutes_receives_what_both_sides_published() {
    let mut cluster = cluster(8, Impairment::default());
    let topology = cluster.topology();
    let inside = topology.region(PUBLISHER);
    let outsider = (0..NODES).find(|&node| topology.region(node) != inside).unwrap();
    let mut inside_writer = LogWriter::new(&mut cluster, PUBLISHER);
    let mut outside_writer = LogWriter::new(&mut cluster, outsider);
    inside_writer.run(&mut cluster, 1);
    outside_writer.run(&mut cluster, 1);
    cluster.partition(|node| u32::from(topology.region(node) == inside));
    for _ in 0..6 * 180 {
        inside_writer.publish(&mut cluster);
        outside_writer.publish(&mut cluster);
        cluster.run(SECOND / 6);
    }
    cluster.heal();
    let (keys, lasts) =
        ((cluster.key(PUBLISHER), cluster.key(outsider)), (inside_writer.last(), outside_writer.last()));
    let took = cluster.run_until(200 * SECOND, |cluster| {
        cluster.all_delivered(keys.0, lasts.0) && cluster.all_delivered(keys.1, lasts.1)
    });
    println!("caught up after {:?} s; {:?}", took.map(seconds), cluster.counters());
    assert!(took.is_some());
    assert_guarantees(&cluster);
    assert_complete(&cluster, &inside_writer);
    assert_complete(&cluster, &outside_writer);
    assert!(!cluster.stale.is_empty());
}

#[test]
fn rolling_restart_while_entries_are_published_delivers_all_entries_in_order() {
    let mut cluster = cluster(9, Impairment::default());
    let mut writer = LogWriter::new(&mut cluster, PUBLISHER);
    writer.run(&mut cluster, 1);
    let others: Vec<usize> = (0..NODES).filter(|&node| node != PUBLISHER).collect();
    for some in others.chunks(53) {
        some.iter().for_each(|&node| cluster.leave(node));
        writer.run(&mut cluster, 1);
        some.iter().for_each(|&node| cluster.start(node));
        writer.run(&mut cluster, 1);
    }
    writer.run(&mut cluster, 2);
    let took = writer.wait_until_delivered(&mut cluster, 15 * SECOND);
    assert!(took.is_some());
    assert_guarantees(&cluster);
    // Each node was notified once where its new incarnation begins, and received everything after that in order.
    let key = cluster.key(PUBLISHER);
    for &node in &others {
        let subscriber = cluster.subscriber(node, key);
        let resets = cluster.ledger.resets.iter().filter(|reset| reset.subscriber == subscriber);
        assert_eq!(resets.count(), 1, "node {node}");
        assert_eq!(cluster.ledger.last(subscriber), writer.last(), "node {node}");
    }
}

#[test]
fn node_that_joins_late_is_notified_where_its_log_begins() {
    let mut cluster = Cluster::new(Topology::default(), NODES, 10);
    cluster.impairment = with_loss(0.05);
    cluster.start_all();
    let late = NODES - 1;
    cluster.kill(late);
    cluster.run(6 * SECOND);
    let mut writer = LogWriter::new(&mut cluster, PUBLISHER);
    cluster.publish_state(PUBLISHER, 800).unwrap();
    writer.run(&mut cluster, 4);
    let before = writer.last();
    cluster.start(late);
    writer.run(&mut cluster, 4);
    assert!(writer.wait_until_delivered(&mut cluster, 5 * SECOND).is_some());
    assert_guarantees(&cluster);
    let key = cluster.key(PUBLISHER);
    let subscriber = cluster.subscriber(late, key);
    let resets: Vec<_> =
        cluster.ledger.resets.iter().filter(|reset| reset.subscriber == subscriber).collect();
    assert_eq!(resets.len(), 1);
    assert!(resets[0].through + 12 >= before, "{resets:?}");
    assert_eq!(cluster.ledger.last(subscriber), writer.last());
    assert!(cluster.all_applied(key, 1, 1));
}

#[test]
fn restarted_publisher_continues_under_a_higher_epoch() {
    let mut cluster = cluster(11, with_loss(0.05));
    let mut writer = LogWriter::new(&mut cluster, PUBLISHER);
    writer.run(&mut cluster, 3);
    // No other node receives the last entries; only the publisher's record has them.
    cluster.impairment.silent = true;
    writer.run(&mut cluster, 1);
    cluster.kill(PUBLISHER);
    cluster.impairment.silent = false;
    cluster.run(SECOND);
    cluster.start(PUBLISHER);
    cluster.run(SECOND);
    let record =
        (1..writer.next).map(|sequence| cluster.entry(PUBLISHER, 1, sequence, ENTRY_BYTES)).collect();
    assert_eq!(
        cluster.open(PUBLISHER, 1, writer.next, Vec::new()),
        Err(PublishError::Fenced { current_epoch: 1 })
    );
    cluster.open(PUBLISHER, 2, writer.next, record).unwrap();
    writer.epoch = 2;
    writer.run(&mut cluster, 3);
    assert!(writer.wait_until_delivered(&mut cluster, 8 * SECOND).is_some());
    cluster.run(5 * SECOND);
    assert_guarantees(&cluster);
    let key = cluster.key(PUBLISHER);
    for node in (0..NODES).filter(|&node| node != PUBLISHER) {
        assert_eq!(cluster.ledger.count(cluster.subscriber(node, key), 1), 24, "node {node}");
        assert_eq!(cluster.ledger.count(cluster.subscriber(node, key), 2), 18, "node {node}");
    }
}

#[test]
fn resumed_publisher_of_an_old_epoch_is_ignored_and_fenced() {
    let spare = NODES - 1;
    let mut cluster = Cluster::new(Topology::default(), NODES, 12);
    cluster.start_all();
    cluster.kill(spare);
    cluster.run(6 * SECOND);
    let mut writer = LogWriter::new(&mut cluster, PUBLISHER);
    writer.run(&mut cluster, 2);
    cluster.run(2 * SECOND);
    cluster.pause(PUBLISHER);
    cluster.run(6 * SECOND);
    cluster.start_as_replacement(spare, PUBLISHER);
    cluster.run(2 * SECOND);
    let mut replacement = LogWriter { publisher: spare, epoch: 2, next: writer.next };
    let record =
        (1..writer.next).map(|sequence| cluster.entry(PUBLISHER, 1, sequence, ENTRY_BYTES)).collect();
    cluster.open(spare, 2, replacement.next, record).unwrap();
    replacement.run(&mut cluster, 2);
    cluster.resume_replaced(PUBLISHER);
    // Entries that it publishes before it learns of its replacement reach no node, even those with higher sequence numbers
    // than the replacement has published so far.
    (0..40).for_each(|_| writer.publish(&mut cluster));
    assert!(writer.last() > replacement.last());
    replacement.run(&mut cluster, 3);
    assert!(replacement.wait_until_delivered(&mut cluster, 5 * SECOND).is_some());
    assert_eq!(cluster.ledger.faults, []);
    assert!(cluster.publisher_events.iter().any(|event| {
        event.node == PUBLISHER && event.output == DisseminationOutput::Fenced { epoch: 2 }
    }));
    assert!(matches!(
        cluster.publish(PUBLISHER, 1, 99, ENTRY_BYTES),
        Err(PublishError::Fenced { current_epoch: 2 })
    ));
    let key = cluster.key(PUBLISHER);
    for node in (0..NODES).filter(|&node| node != PUBLISHER && node != spare) {
        assert_eq!(cluster.ledger.count(cluster.subscriber(node, key), 1), 12, "node {node}");
        assert_eq!(cluster.ledger.last(cluster.subscriber(node, key)), replacement.last(), "node {node}");
    }
}

#[test]
fn invalid_datagrams_are_dropped_and_counted() {
    let mut cluster = cluster(13, Impairment::default());
    let mut writer = LogWriter::new(&mut cluster, PUBLISHER);
    writer.run(&mut cluster, 1);
    let own = hash_name("walkpick") as u32;
    let entry = cluster.entry(PUBLISHER, 1, 3, ENTRY_BYTES);
    let entries = |payload: usize| Message::Entries {
        publisher: cluster.key(PUBLISHER),
        epoch: 1,
        first: 1,
        entries: vec![walkpick::peers::dissemination::Entry { payload: vec![1; payload], ..entry.clone() }],
        states: Vec::new(),
    };
    let good = encode(own, &entries(ENTRY_BYTES));
    let foreign = encode(own + 1, &entries(ENTRY_BYTES));
    let oversized_entry = encode(own, &entries(1_060));
    let mut later_schema = good.clone();
    later_schema[0] = 9;
    let mut random = fastrand::Rng::with_seed(13);
    for node in 0..NODES {
        let from = address(random.usize(0..NODES));
        cluster.inject(from, node, (0..random.usize(0..200)).map(|_| random.u8(..)).collect());
        cluster.inject(from, node, good[..random.usize(1..good.len())].to_vec());
        cluster.inject(from, node, vec![0; 1_400]);
        cluster.inject(from, node, foreign.clone());
        cluster.inject(from, node, oversized_entry.clone());
        cluster.inject(from, node, later_schema.clone());
    }
    let counters = cluster.counters();
    assert!(counters.malformed >= NODES as u64, "{counters:?}");
    assert_eq!(counters.oversized, 2 * NODES as u64);
    assert!(counters.foreign >= NODES as u64 && counters.later_schema >= NODES as u64, "{counters:?}");
    writer.run(&mut cluster, 2);
    assert!(writer.wait_until_delivered(&mut cluster, 3 * SECOND).is_some());
    assert_complete(&cluster, &writer);
    assert_eq!(cluster.ledger.faults, []);
}

#[test]
fn sixty_purges_per_second_for_ten_seconds_are_delivered_late_but_completely() {
    let mut cluster = cluster(14, Impairment::default());
    let mut writer = LogWriter::new(&mut cluster, PUBLISHER);
    writer.run_at(&mut cluster, 60, 10);
    let took = writer.wait_until_delivered(&mut cluster, 60 * SECOND);
    assert!(took.is_some());
    assert_guarantees(&cluster);
    assert_complete(&cluster, &writer);
    // After the burst, the bounds hold again.
    let after = cluster.now();
    writer.run(&mut cluster, 4);
    assert!(writer.wait_until_delivered(&mut cluster, 5 * SECOND).is_some());
    assert!(max_delivery_time(&cluster, after) <= BOUND, "{}", max_delivery_time(&cluster, after));
}

#[test]
fn refused_state_leaves_the_previous_version_applied_and_is_reported() {
    let mut cluster = cluster(15, with_loss(0.05));
    cluster.open(PUBLISHER, 1, 1, Vec::new()).unwrap();
    let key = cluster.key(PUBLISHER);
    cluster.publish_state(PUBLISHER, 1_000).unwrap();
    assert!(cluster.run_until(STATE_BOUND, |cluster| cluster.all_applied(key, 1, 1)).is_some());
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
        .publisher_events
        .iter()
        .filter_map(|event| match &event.output {
            DisseminationOutput::StateRefused { refusal, .. } => {
                Some((refusal.key, refusal.version, refusal.reason.clone()))
            }
            _ => None,
        })
        .collect();
    assert_eq!(refused, [(cluster.key(refusing), 2, "node 77 does not take it".to_owned())]);
    let acknowledged_by_all = |version: u64| {
        cluster.publisher_events.iter().any(|event| {
            matches!(event.output, DisseminationOutput::Acknowledged { channel: Channel::State(_), sequence, .. }
                if sequence == version)
        })
    };
    assert!(acknowledged_by_all(1) && !acknowledged_by_all(2));
    assert!(cluster.applied_states.iter().all(|applied| applied.intact));
    assert_guarantees(&cluster);
}

#[test]
fn planned_load_meets_its_bounds_over_real_membership() {
    let outcome = super::joint::run(&Load { seconds: 10, state_every_s: 4, ..Load::planned(66, 0.05, 1) });
    assert_eq!((outcome.faults, outcome.lost, outcome.resets, outcome.false_acknowledgements), (0, 0, 0, 0));
    assert!(outcome.log_largest_s <= seconds(BOUND), "{outcome:?}");
    assert!(outcome.state_largest_s <= seconds(STATE_BOUND), "{outcome:?}");
    assert!(outcome.peak_1s <= f64::from(BUDGET), "{outcome:?}");
    assert_eq!(outcome.acknowledged, 63, "{outcome:?}");
}

#[test]
fn library_broadcasts_reach_all_nodes_out_of_order() {
    let outcome = super::baseline::run(&Load { seconds: 10, ..Load::planned(66, 0.05, 1) });
    assert_eq!(outcome.incomplete, 0);
    assert!(outcome.out_of_order > 0);
}

#[test]
fn outcomes_are_written_as_separate_series_by_loss() {
    let loads = [0.0, 0.05].map(|loss| Load { seconds: 1, ..Load::planned(4, loss, 1) });
    let outcomes = super::figures::run_all(&loads, super::figures::Membership::StandIn, 2, || {});
    let series = super::figures::series(&outcomes, "a command");
    let names: Vec<&str> = series.iter().map(|series| series.name.as_str()).collect();
    assert!(names.contains(&"dissemination.bytes_per_second.peak"));
    assert!(names.contains(&"dissemination.seconds_to_all.log.loss_5"));
    assert!(series.iter().all(|series| series.points.len() == 1 && series.points[0].size == 4.0));
}
