//! Unit tests of the parts, and tests of two cores that exchange datagrams.

use super::acknowledgement::{ChannelKey, OwnProgress, Reports, REPORT_TTL};
use super::log::{InsertOutcome, Log, MAX_RETAINED_ENTRIES};
use super::message::{encode, Channel, LaggingNode, LogPosition, Message, Report};
use super::overlay::{mix, set_hash, Overlay, Tree, FANOUT};
use super::state::{States, Verdict};
use super::*;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

const SECOND: Micros = 1_000_000;

fn member(node: usize) -> Member {
    let (site, zone) = (node % 43, node % 43 % 19);
    let address = SocketAddr::from((Ipv4Addr::from_bits(0x0a00_0001 + node as u32), 7_946));
    let (region, zone, site) = (format!("r{}", zone % 8), format!("z{zone}"), format!("s{site}"));
    Member::new(node as u64 + 1, &format!("n{node}"), address, &region, &zone, &site)
}

fn entry(epoch: u64, sequence: u64) -> Entry {
    Entry { epoch, sequence, kind: 0, schema: 1, payload: vec![sequence as u8; 10], extension: Vec::new() }
}

fn budget() -> ByteBudget {
    ByteBudget::new(1_000_000, 1_000_000, 0)
}

#[test]
fn tree_reaches_every_node_with_bounded_fanout_and_enters_each_region_once() {
    for nodes in [1, 2, 66, 530, 2_120] {
        let members: Vec<Member> = (0..nodes).map(member).collect();
        let root = nodes / 2;
        let tree = Tree::new(&members, members[root].key, &BTreeSet::new());
        assert_eq!(tree.subtree(root).len(), nodes);
        assert!((0..nodes).all(|node| tree.children(node).len() <= FANOUT + 1));
        let enters_region = |node: &usize| {
            tree.parent(*node).is_some_and(|parent| !members[parent].shares_region(&members[*node]))
        };
        assert_eq!((0..nodes).filter(enters_region).count(), nodes.min(8) - 1);
        let depth = (0..nodes).map(|node| tree.ancestors(node).count()).max().unwrap();
        assert!(depth <= 14, "{nodes} nodes: {depth}");
    }
}

#[test]
fn nodes_with_the_same_members_compute_the_same_tree() {
    let mut first = Overlay::new(member(0));
    let mut second = Overlay::new(member(1));
    (0..200).for_each(|node| first.insert(member(node)));
    (0..200).rev().for_each(|node| second.insert(member(node)));
    let key = member(7).key;
    for node in 0..200 {
        let parent = |overlay: &mut Overlay| {
            let tree_view = overlay.tree_view(key);
            let index = tree_view.index_of(member(node).address).unwrap();
            tree_view.tree.parent(index).map(|parent| tree_view.members[parent].address)
        };
        assert_eq!(parent(&mut first), parent(&mut second));
    }
    assert_eq!(first.set_hash(), second.set_hash());
}

#[test]
fn suspected_node_receives_entries_but_relays_none() {
    let mut overlay = Overlay::new(member(0));
    (1..60).for_each(|node| overlay.insert(member(node)));
    let publisher = member(0).key;
    let before = overlay.tree_view(publisher).tree.clone();
    let members = overlay.members().to_vec();
    let relay = (0..60).find(|&index| !before.children(index).is_empty() && members[index].key != publisher);
    let relay = members[relay.unwrap()];
    overlay.suspect(&relay);
    let tree_view = overlay.tree_view(publisher);
    let index = tree_view.index_of(relay.address).unwrap();
    assert!(tree_view.tree.children(index).is_empty() && tree_view.tree.parent(index).is_some());
    let reached = tree_view.tree.subtree(tree_view.index_of(member(0).address).unwrap());
    assert_eq!(reached.len(), 60, "the tree reaches all nodes, the suspected one included");
    overlay.insert(relay);
    let after = overlay.tree_view(publisher).tree;
    assert!(
        (0..60).all(|index| after.parent(index) == before.parent(index)),
        "the tree is the same as before the suspicion"
    );
}

#[test]
fn fully_suspected_zone_relays_only_within_itself() {
    let mut overlay = Overlay::new(member(0));
    (1..260).for_each(|node| overlay.insert(member(node)));
    let lost: Vec<Member> =
        (1..260).map(member).filter(|other| other.location[1] == member(9).location[1]).collect();
    lost.iter().for_each(|member| overlay.suspect(member));
    let tree_view = overlay.tree_view(member(0).key);
    for member in &lost {
        let index = tree_view.index_of(member.address).unwrap();
        let children = tree_view.tree.children(index).iter().map(|&child| tree_view.members[child]);
        assert!(children.into_iter().all(|child| child.location[1] == member.location[1]));
    }
}

#[test]
fn absent_publisher_still_has_a_tree() {
    let members: Vec<Member> = (0..100).map(member).collect();
    let tree = Tree::new(&members, hash_name("gone"), &BTreeSet::new());
    assert_eq!((0..100).filter(|&node| tree.parent(node).is_none()).count(), 1);
}

#[test]
fn log_delivers_once_and_in_order_despite_reordering_and_duplicates() {
    let mut log = Log::new(0, 1, 1, 0, true);
    assert_eq!(log.insert(1, entry(1, 2)), InsertOutcome::New);
    assert_eq!(log.deliver(1), None);
    assert_eq!(log.position(7).held_ranges, [(2, 2)]);
    assert_eq!(log.insert(2, entry(1, 2)), InsertOutcome::Duplicate);
    assert_eq!(log.insert(2, entry(1, 1)), InsertOutcome::New);
    let delivered: Vec<u64> = std::iter::from_fn(|| log.deliver(2)).map(|entry| entry.sequence).collect();
    assert_eq!(delivered, [1, 2]);
    assert_eq!(log.insert(3, entry(1, 1)), InsertOutcome::Duplicate);
    assert_eq!(log.insert(3, entry(1, 5_000)), InsertOutcome::TooFarAhead);
    assert_eq!(log.highest, 5_000);
}

#[test]
fn later_epoch_voids_earlier_entries_from_its_first_sequence_on() {
    let mut log = Log::new(0, 1, 1, 0, true);
    (1..=5).for_each(|sequence| assert_eq!(log.insert(1, entry(1, sequence)), InsertOutcome::New));
    while log.deliver(1).is_some() {}
    log.adopt_epoch(2, 2, 4);
    assert_eq!((log.epoch(), log.delivered), (2, 3));
    assert_eq!(log.insert(3, entry(1, 4)), InsertOutcome::Fenced);
    assert_eq!(log.insert(3, entry(2, 3)), InsertOutcome::Fenced);
    assert_eq!(log.insert(3, entry(2, 4)), InsertOutcome::New);
    assert_eq!(log.deliver(3).map(|entry| (entry.epoch, entry.sequence)), Some((2, 4)));
    log.adopt_epoch(4, 1, 1);
    assert_eq!(log.epoch(), 2);
}

#[test]
fn log_evicts_beyond_its_limit_and_offers_a_skip_over_evicted_entries() {
    let mut log = Log::new(0, 1, 1, 0, true);
    for sequence in 1..=MAX_RETAINED_ENTRIES as u64 + 100 {
        log.insert(1, entry(1, sequence));
        log.deliver(1);
    }
    assert_eq!(log.entries(), MAX_RETAINED_ENTRIES);
    let at = |delivered: u64, stale: bool| LogPosition {
        publisher: 7,
        epoch: 1,
        first: 1,
        delivered,
        held_ranges: Vec::new(),
        stale,
    };
    assert_eq!(log.skip_target(&at(50, false)), Some(100));
    assert_eq!(log.skip_target(&at(100, false)), None);
    // A node that joined late never held the first entries. That alone is no reason for others to skip them.
    let mut late_joiner = Log::new(0, 1, 1, 10, true);
    late_joiner.insert(1, entry(1, 11));
    late_joiner.deliver(1);
    assert_eq!(late_joiner.skip_target(&at(5, false)), None);
    assert_eq!(late_joiner.skip_target(&at(5, true)), Some(10));
}

#[test]
fn previous_entry_is_repeated_only_while_it_is_recent() {
    let mut log = Log::new(0, 1, 1, 0, true);
    for sequence in 1..=2 {
        log.insert(sequence * 100_000, entry(1, sequence));
    }
    assert_eq!(log.recent_before(300_000, 3).map(|entry| entry.sequence), Some(2));
    assert_eq!(log.recent_before(300_000, 2).map(|entry| entry.sequence), Some(1));
    assert_eq!(log.recent_before(300_000, 1), None, "there is no entry before the first");
    assert_eq!(log.recent_before(700_000, 3), None, "an entry received long ago has been requested since");
}

#[test]
fn newest_state_wins_and_a_refusal_keeps_the_last_applied_version() {
    let mut states = States::default();
    let key = StateKey { publisher: 7, kind: 0 };
    assert!(states.offer(0, key, &entry(1, 1)));
    assert!(states.decide(key, 1, 1, Verdict::Applied).is_some());
    assert!(states.offer(0, key, &entry(1, 3)));
    assert!(!states.offer(0, key, &entry(1, 2)));
    assert!(states.decide(key, 1, 2, Verdict::Applied).is_none());
    assert!(states.decide(key, 1, 3, Verdict::Refused("no".to_owned())).is_some());
    assert_eq!(states.get(key).unwrap().applied.as_ref().unwrap().sequence, 1);
    assert!(states.offer(0, key, &entry(2, 1)));
    assert!(!states.offer(0, key, &entry(1, 9)));
}

/// A publisher with 30 nodes, and the reports of its children.
struct SubtreeReports {
    overlay: Overlay,
    key: ChannelKey,
    reports: Reports,
}

impl SubtreeReports {
    fn new() -> Self {
        let mut overlay = Overlay::new(member(0));
        (1..30).for_each(|node| overlay.insert(member(node)));
        let key = ChannelKey { publisher: member(0).key, channel: Channel::Log };
        Self { overlay, key, reports: Reports::default() }
    }

    fn children(&mut self) -> Vec<usize> {
        let tree_view = self.overlay.tree_view(self.key.publisher);
        tree_view.tree.children(tree_view.own_index).to_vec()
    }

    /// Inserts a report that all nodes of the subtree at `index` have applied `through`.
    fn report(&mut self, now: Micros, index: usize, through: u64) {
        let tree_view = self.overlay.tree_view(self.key.publisher);
        let below: Vec<&Member> =
            tree_view.tree.subtree(index).into_iter().map(|index| &tree_view.members[index]).collect();
        let report = Report {
            publisher: self.key.publisher,
            channel: Channel::Log,
            epoch: 1,
            through,
            nodes: below.len() as u32,
            set_hash: set_hash(below.iter().copied()),
            lagging: Vec::new(),
            lagging_truncated: false,
            refusals: Vec::new(),
            refusal_count: 0,
        };
        let from = tree_view.members[index].address;
        self.reports.insert(now, from, report);
    }

    fn gather(&mut self, now: Micros, required: u64) -> Report {
        let own = OwnProgress { epoch: 1, through: 9, refused: None };
        let tree_view = self.overlay.tree_view(self.key.publisher);
        self.reports.gather(now, self.key, &own, required, tree_view)
    }
}

#[test]
fn subtree_reports_add_up_to_all_present_members() {
    let mut subtree_reports = SubtreeReports::new();
    let children = subtree_reports.children();
    for (number, &child) in children.iter().enumerate() {
        let partial = subtree_reports.gather(0, 0);
        assert!(
            partial.set_hash != subtree_reports.overlay.set_hash(),
            "{number} subtrees are not all nodes"
        );
        subtree_reports.report(0, child, 8 + number as u64);
    }
    let all = subtree_reports.gather(0, 0);
    assert_eq!((all.nodes, all.through), (30, 8));
    assert_eq!(all.set_hash, subtree_reports.overlay.set_hash());
    assert_eq!(all.lagging, []);
}

#[test]
fn lagging_or_silent_subtree_is_left_out_and_listed() {
    let mut subtree_reports = SubtreeReports::new();
    let children = subtree_reports.children();
    let last = *children.last().unwrap();
    children.iter().for_each(|&child| subtree_reports.report(0, child, if child == last { 3 } else { 9 }));
    let key = subtree_reports.overlay.tree_view(subtree_reports.key.publisher).members[last].key;
    let below = subtree_reports.overlay.tree_view(subtree_reports.key.publisher).tree.subtree(last).len();
    let report = subtree_reports.gather(0, 5);
    assert_eq!(report.through, 9);
    assert_eq!(report.lagging, [LaggingNode { key, whole_subtree: below > 1 }]);
    assert_eq!(report.nodes as usize, 30 - below);
    assert_eq!(subtree_reports.gather(REPORT_TTL, 0).nodes, 1);
}

#[test]
fn reports_from_below_a_silent_relay_count_directly() {
    let mut subtree_reports = SubtreeReports::new();
    let children = subtree_reports.children();
    let tree_view = subtree_reports.overlay.tree_view(subtree_reports.key.publisher);
    let silent = *children.iter().max_by_key(|&&child| tree_view.tree.subtree(child).len()).unwrap();
    let grandchildren = tree_view.tree.children(silent).to_vec();
    let (key, id) = (tree_view.members[silent].key, tree_view.members[silent].id);
    children.iter().filter(|&&child| child != silent).for_each(|&child| subtree_reports.report(0, child, 9));
    grandchildren.iter().for_each(|&child| subtree_reports.report(0, child, 9));
    let report = subtree_reports.gather(0, 0);
    assert_eq!(report.nodes, 29);
    assert_eq!(report.lagging, [LaggingNode { key, whole_subtree: false }]);
    assert_eq!(report.set_hash.wrapping_add(mix(id)), subtree_reports.overlay.set_hash());
}

/// A publisher and a node that know each other, without loss unless set.
struct Pair {
    now: Micros,
    cores: [Dissemination; 2],
    budgets: [ByteBudget; 2],
    outputs: Vec<(usize, DisseminationOutput)>,
    /// Number of datagrams of the first node that will still be lost.
    datagrams_to_lose: usize,
    /// All messages sent, lost ones included, with the index of the sender.
    sent: Vec<(usize, Message)>,
}

impl Pair {
    fn new() -> Self {
        Self::of([member(0), member(1)])
    }

    fn of(members: [Member; 2]) -> Self {
        let core = |node: usize| {
            let config = DisseminationConfig::default();
            let mut core = Dissemination::new(config, members[node], node as u64, 0);
            core.member_present(members[1 - node]);
            core
        };
        Self {
            now: 0,
            cores: [core(0), core(1)],
            budgets: [budget(), budget()],
            outputs: Vec::new(),
            datagrams_to_lose: 0,
            sent: Vec::new(),
        }
    }

    /// Sequences delivered to the second node's subscriber.
    fn delivered(&self) -> Vec<u64> {
        let delivered = self.outputs.iter().filter_map(|(node, output)| match output {
            DisseminationOutput::Deliver { entry, .. } if *node == 1 => Some(entry.sequence),
            _ => None,
        });
        delivered.collect()
    }

    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += 10_000;
            for node in 0..2 {
                let mut out = Vec::new();
                self.cores[node].run_timers(self.now, &mut self.budgets[node], &mut out);
                self.carry_out(node, out);
            }
        }
    }

    fn carry_out(&mut self, node: usize, out: Vec<DisseminationOutput>) {
        let other = 1 - node;
        for output in out {
            let DisseminationOutput::Send { data, .. } = output else {
                self.outputs.push((node, output));
                continue;
            };
            let cluster = hash_name("walkpick") as u32;
            self.sent.push((node, message::decode(cluster, 1_400, &data).unwrap()));
            if node == 0 && self.datagrams_to_lose > 0 {
                self.datagrams_to_lose -= 1;
                continue;
            }
            let mut out = Vec::new();
            let from = member(node).address;
            self.cores[other].receive(self.now, from, &data, &mut self.budgets[other], &mut out);
            self.carry_out(other, out);
        }
    }

    fn inject(&mut self, node: usize, message: &Message) {
        let data = encode(hash_name("walkpick") as u32, message);
        let mut out = Vec::new();
        let from = member(1 - node).address;
        self.cores[node].receive(self.now, from, &data, &mut self.budgets[node], &mut out);
        self.carry_out(node, out);
    }

    fn publish(&mut self, payload: Vec<u8>) -> Result<u64, PublishError> {
        let mut out = Vec::new();
        let published = self.cores[0].publish_log(self.now, 3, 9, payload, &mut out);
        self.cores[0].flush(self.now, &mut self.budgets[0], &mut out);
        self.carry_out(0, out);
        published
    }

    fn open(&mut self, epoch: u64, first: u64) -> Result<(), PublishError> {
        let mut out = Vec::new();
        let opened = self.cores[0].open_publisher(self.now, epoch, first, Vec::new(), &mut out);
        self.carry_out(0, out);
        opened
    }
}

#[test]
fn entry_reaches_both_nodes_and_the_publisher_is_notified() {
    let mut pair = Pair::new();
    pair.run(3 * SECOND);
    pair.open(1, 1).unwrap();
    assert_eq!(pair.publish(vec![1; MAX_PAYLOAD_BYTES]), Ok(1));
    pair.run(SECOND);
    let delivered = |node: usize| {
        let is_delivery = |item: &&(usize, DisseminationOutput)| {
            item.0 == node && matches!(item.1, DisseminationOutput::Deliver { .. })
        };
        pair.outputs.iter().filter(is_delivery).count()
    };
    assert_eq!((delivered(0), delivered(1)), (1, 1));
    let acknowledged = pair.outputs.iter().filter_map(|(_, output)| match output {
        DisseminationOutput::Acknowledged { sequence, nodes, .. } => Some((*sequence, *nodes)),
        _ => None,
    });
    assert_eq!(acknowledged.collect::<Vec<_>>(), [(1, 2)]);
}

#[test]
fn lost_entry_between_regions_is_repeated_with_the_next_one() {
    let near = Member { location: member(0).location, ..member(1) };
    for (second, expected) in [(member(1), vec![1, 2]), (near, vec![])] {
        let mut pair = Pair::of([member(0), second]);
        pair.run(3 * SECOND);
        pair.open(1, 1).unwrap();
        pair.run(SECOND);
        pair.datagrams_to_lose = 1;
        pair.publish(vec![1]).unwrap();
        pair.publish(vec![2]).unwrap();
        assert_eq!(pair.delivered(), expected, "before any digest was sent");
        pair.run(SECOND);
        assert_eq!(pair.delivered(), [1, 2]);
    }
}

#[test]
fn publishing_fails_with_a_specific_error() {
    let mut pair = Pair::new();
    assert_eq!(pair.publish(vec![1]), Err(PublishError::NotOpen));
    assert_eq!(pair.open(1, 0), Err(PublishError::ZeroSequence));
    pair.open(4, 1).unwrap();
    assert_eq!(pair.open(4, 1), Err(PublishError::Fenced { current_epoch: 4 }));
    let bytes = MAX_PAYLOAD_BYTES + 1;
    assert_eq!(pair.publish(vec![1; bytes]), Err(PublishError::PayloadTooLarge { bytes }));
    // The other node does not answer, so acknowledgements stay pending; their number is limited.
    pair.cores[1] = Dissemination::new(DisseminationConfig::default(), member(1), 1, 0);
    let published = (0..5_000).map(|_| pair.publish(vec![1])).find_map(Result::err);
    assert_eq!(published, Some(PublishError::TooManyPending(1_024)));
}

#[test]
fn extension_added_by_a_later_version_is_forwarded() {
    let mut pair = Pair::new();
    pair.run(3 * SECOND);
    let later = Entry { schema: 77, extension: vec![5; 20], ..entry(1, 1) };
    let publisher = member(5).key;
    let entries =
        Message::Entries { publisher, epoch: 1, first: 1, entries: vec![later.clone()], states: Vec::new() };
    pair.inject(0, &entries);
    // If the lower node of the tree got the entry first, the other one requests it.
    pair.run(4 * SECOND);
    let has_delivered = |node: usize| {
        pair.outputs.iter().any(|(at, output)| {
            *at == node && *output == DisseminationOutput::Deliver { publisher, entry: later.clone() }
        })
    };
    assert!(has_delivered(0) && has_delivered(1));
}

#[test]
fn log_that_stays_behind_is_reported_as_stale() {
    let mut pair = Pair::new();
    pair.run(3 * SECOND);
    let publisher = member(5).key;
    let entries =
        Message::Entries { publisher, epoch: 1, first: 1, entries: vec![entry(1, 4)], states: Vec::new() };
    pair.inject(0, &entries);
    pair.run(9 * SECOND);
    let stale = |pair: &Pair| {
        let stale = DisseminationOutput::Stale { publisher, behind: 4 };
        pair.outputs.iter().any(|item| *item == (0, stale.clone()))
    };
    assert!(!stale(&pair));
    pair.run(2 * SECOND);
    assert!(stale(&pair));
}

#[test]
fn number_of_publishers_is_limited() {
    let mut pair = Pair::new();
    pair.run(3 * SECOND);
    for publisher in 0..100 {
        let entries = vec![entry(1, 1)];
        pair.inject(0, &Message::Entries { publisher, epoch: 1, first: 1, entries, states: Vec::new() });
    }
    assert_eq!(pair.cores[0].held_entries(), MAX_PUBLISHERS);
    assert!(pair.cores[0].counters().refused >= 92);
}

mod pressure;
