//! The parts one by one, and two cores side by side.

use super::acknowledgement::{ChannelKey, OwnProgress, Reports, FRESH};
use super::log::{Inserted, Log, RETAINED};
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
fn a_tree_reaches_all_with_few_children_and_enters_each_region_once() {
    for nodes in [1, 2, 66, 530, 2_120] {
        let members: Vec<Member> = (0..nodes).map(member).collect();
        let root = nodes / 2;
        let tree = Tree::new(&members, members[root].key, &BTreeSet::new());
        assert_eq!(tree.subtree(root).len(), nodes);
        assert!((0..nodes).all(|node| tree.children(node).len() <= FANOUT + 1));
        let enters = |node: &usize| {
            tree.parent(*node).is_some_and(|parent| !members[parent].shares_region(&members[*node]))
        };
        assert_eq!((0..nodes).filter(enters).count(), nodes.min(8) - 1);
        let depth = (0..nodes).map(|node| tree.ancestors(node).count()).max().unwrap();
        assert!(depth <= 14, "{nodes} nodes: {depth}");
    }
}

#[test]
fn all_that_see_the_same_members_work_out_the_same_tree() {
    let mut one = Overlay::new(member(0));
    let mut two = Overlay::new(member(1));
    (0..200).for_each(|node| one.insert(member(node)));
    (0..200).rev().for_each(|node| two.insert(member(node)));
    let key = member(7).key;
    for node in 0..200 {
        let parent = |overlay: &mut Overlay| {
            let branch = overlay.tree_view(key);
            let place = branch.index_of(member(node).address).unwrap();
            branch.tree.parent(place).map(|parent| branch.members[parent].address)
        };
        assert_eq!(parent(&mut one), parent(&mut two));
    }
    assert_eq!(one.set_hash(), two.set_hash());
}

#[test]
fn one_that_is_suspected_gets_entries_and_nobody_gets_them_by_way_of_it() {
    let mut overlay = Overlay::new(member(0));
    (1..60).for_each(|node| overlay.insert(member(node)));
    let publisher = member(0).key;
    let before = overlay.tree_view(publisher).tree.clone();
    let members = overlay.members().to_vec();
    let relay = (0..60).find(|&place| !before.children(place).is_empty() && members[place].key != publisher);
    let relay = members[relay.unwrap()];
    overlay.suspect(&relay);
    let branch = overlay.tree_view(publisher);
    let place = branch.index_of(relay.address).unwrap();
    assert!(branch.tree.children(place).is_empty() && branch.tree.parent(place).is_some());
    let reached = branch.tree.subtree(branch.index_of(member(0).address).unwrap());
    assert_eq!(reached.len(), 60, "all are reached, itself among them");
    overlay.insert(relay);
    let after = overlay.tree_view(publisher).tree;
    assert!((0..60).all(|place| after.parent(place) == before.parent(place)), "as it was");
}

#[test]
fn a_zone_that_is_suspected_as_a_whole_relays_for_itself_alone() {
    let mut overlay = Overlay::new(member(0));
    (1..260).for_each(|node| overlay.insert(member(node)));
    let lost: Vec<Member> =
        (1..260).map(member).filter(|other| other.location[1] == member(9).location[1]).collect();
    lost.iter().for_each(|member| overlay.suspect(member));
    let branch = overlay.tree_view(member(0).key);
    for member in &lost {
        let place = branch.index_of(member.address).unwrap();
        let children = branch.tree.children(place).iter().map(|&child| branch.members[child]);
        assert!(children.into_iter().all(|child| child.location[1] == member.location[1]));
    }
}

#[test]
fn a_publisher_that_is_not_present_has_a_tree_all_the_same() {
    let members: Vec<Member> = (0..100).map(member).collect();
    let tree = Tree::new(&members, hash_name("gone"), &BTreeSet::new());
    assert_eq!((0..100).filter(|&node| tree.parent(node).is_none()).count(), 1);
}

#[test]
fn a_log_delivers_once_and_in_order_whatever_comes() {
    let mut log = Log::new(0, 1, 1, 0, true);
    assert_eq!(log.insert(1, entry(1, 2)), Inserted::New);
    assert_eq!(log.deliver(1), None);
    assert_eq!(log.position(7).held_ranges, [(2, 2)]);
    assert_eq!(log.insert(2, entry(1, 2)), Inserted::Duplicate);
    assert_eq!(log.insert(2, entry(1, 1)), Inserted::New);
    let delivered: Vec<u64> = std::iter::from_fn(|| log.deliver(2)).map(|entry| entry.sequence).collect();
    assert_eq!(delivered, [1, 2]);
    assert_eq!(log.insert(3, entry(1, 1)), Inserted::Duplicate);
    assert_eq!(log.insert(3, entry(1, 5_000)), Inserted::TooFar);
    assert_eq!(log.highest, 5_000);
}

#[test]
fn a_later_epoch_makes_void_what_an_earlier_one_issued_from_there_on() {
    let mut log = Log::new(0, 1, 1, 0, true);
    (1..=5).for_each(|sequence| assert_eq!(log.insert(1, entry(1, sequence)), Inserted::New));
    while log.deliver(1).is_some() {}
    log.adopt(2, 2, 4);
    assert_eq!((log.epoch(), log.delivered), (2, 3));
    assert_eq!(log.insert(3, entry(1, 4)), Inserted::Fenced);
    assert_eq!(log.insert(3, entry(2, 3)), Inserted::Fenced);
    assert_eq!(log.insert(3, entry(2, 4)), Inserted::New);
    assert_eq!(log.deliver(3).map(|entry| (entry.epoch, entry.sequence)), Some((2, 4)));
    log.adopt(4, 1, 1);
    assert_eq!(log.epoch(), 2);
}

#[test]
fn a_log_keeps_so_much_and_offers_a_snapshot_for_what_is_gone() {
    let mut log = Log::new(0, 1, 1, 0, true);
    for sequence in 1..=RETAINED as u64 + 100 {
        log.insert(1, entry(1, sequence));
        log.deliver(1);
    }
    assert_eq!(log.entries(), RETAINED);
    let at = |delivered: u64, stale: bool| LogPosition {
        publisher: 7,
        epoch: 1,
        first: 1,
        delivered,
        held_ranges: Vec::new(),
        stale,
    };
    assert_eq!(log.snapshot_for(&at(50, false)), Some(100));
    assert_eq!(log.snapshot_for(&at(100, false)), None);
    // One that joined later has never held the beginning: that alone is no reason to leave it out.
    let mut joined = Log::new(0, 1, 1, 10, true);
    joined.insert(1, entry(1, 11));
    joined.deliver(1);
    assert_eq!(joined.snapshot_for(&at(5, false)), None);
    assert_eq!(joined.snapshot_for(&at(5, true)), Some(10));
}

#[test]
fn the_entry_before_another_one_is_repeated_while_it_is_recent() {
    let mut log = Log::new(0, 1, 1, 0, true);
    for sequence in 1..=2 {
        log.insert(sequence * 100_000, entry(1, sequence));
    }
    assert_eq!(log.recent_before(300_000, 3).map(|entry| entry.sequence), Some(2));
    assert_eq!(log.recent_before(300_000, 2).map(|entry| entry.sequence), Some(1));
    assert_eq!(log.recent_before(300_000, 1), None, "there is none before the first");
    assert_eq!(log.recent_before(700_000, 3), None, "what came long ago was asked for since");
}

#[test]
fn the_newest_state_wins_and_a_refused_one_leaves_the_last_good_one() {
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

/// A publisher with 30 nodes, and what each child of its says of its branch.
struct Gathering {
    overlay: Overlay,
    key: ChannelKey,
    reports: Reports,
}

impl Gathering {
    fn new() -> Self {
        let mut overlay = Overlay::new(member(0));
        (1..30).for_each(|node| overlay.insert(member(node)));
        let key = ChannelKey { publisher: member(0).key, channel: Channel::Log };
        Self { overlay, key, reports: Reports::default() }
    }

    fn children(&mut self) -> Vec<usize> {
        let branch = self.overlay.tree_view(self.key.publisher);
        branch.tree.children(branch.own_index).to_vec()
    }

    /// A report on the branch at a place, as all nodes there have applied `through`.
    fn report(&mut self, now: Micros, place: usize, through: u64) {
        let branch = self.overlay.tree_view(self.key.publisher);
        let below: Vec<&Member> =
            branch.tree.subtree(place).into_iter().map(|place| &branch.members[place]).collect();
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
        let from = branch.members[place].address;
        self.reports.insert(now, from, report);
    }

    fn gather(&mut self, now: Micros, needed: u64) -> Report {
        let own = OwnProgress { epoch: 1, through: 9, refused: None };
        let branch = self.overlay.tree_view(self.key.publisher);
        self.reports.gather(now, self.key, &own, needed, branch)
    }
}

#[test]
fn branches_add_up_to_all_that_are_present() {
    let mut gathering = Gathering::new();
    let children = gathering.children();
    for (number, &child) in children.iter().enumerate() {
        let short = gathering.gather(0, 0);
        assert!(short.set_hash != gathering.overlay.set_hash(), "{number} branches are not all");
        gathering.report(0, child, 8 + number as u64);
    }
    let all = gathering.gather(0, 0);
    assert_eq!((all.nodes, all.through), (30, 8));
    assert_eq!(all.set_hash, gathering.overlay.set_hash());
    assert_eq!(all.lagging, []);
}

#[test]
fn a_branch_that_lags_or_is_silent_is_left_out_and_named() {
    let mut gathering = Gathering::new();
    let children = gathering.children();
    let last = *children.last().unwrap();
    children.iter().for_each(|&child| gathering.report(0, child, if child == last { 3 } else { 9 }));
    let key = gathering.overlay.tree_view(gathering.key.publisher).members[last].key;
    let below = gathering.overlay.tree_view(gathering.key.publisher).tree.subtree(last).len();
    let report = gathering.gather(0, 5);
    assert_eq!(report.through, 9);
    assert_eq!(report.lagging, [LaggingNode { key, whole_subtree: below > 1 }]);
    assert_eq!(report.nodes as usize, 30 - below);
    assert_eq!(gathering.gather(FRESH, 0).nodes, 1);
}

#[test]
fn those_below_a_silent_relay_speak_for_themselves() {
    let mut gathering = Gathering::new();
    let children = gathering.children();
    let branch = gathering.overlay.tree_view(gathering.key.publisher);
    let silent = *children.iter().max_by_key(|&&child| branch.tree.subtree(child).len()).unwrap();
    let grandchildren = branch.tree.children(silent).to_vec();
    let (key, id) = (branch.members[silent].key, branch.members[silent].id);
    children.iter().filter(|&&child| child != silent).for_each(|&child| gathering.report(0, child, 9));
    grandchildren.iter().for_each(|&child| gathering.report(0, child, 9));
    let report = gathering.gather(0, 0);
    assert_eq!(report.nodes, 29);
    assert_eq!(report.lagging, [LaggingNode { key, whole_subtree: false }]);
    assert_eq!(report.set_hash.wrapping_add(mix(id)), gathering.overlay.set_hash());
}

/// A publisher and a node that know each other, with nothing lost between them.
struct Pair {
    now: Micros,
    cores: [Dissemination; 2],
    budgets: [ByteBudget; 2],
    told: Vec<(usize, DisseminationOutput)>,
    /// Datagrams of the first one that are lost from now on.
    lost: usize,
    /// By which node, and what, those that were lost among them.
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
            told: Vec::new(),
            lost: 0,
            sent: Vec::new(),
        }
    }

    /// The entries that the second one's subscriber got.
    fn delivered(&self) -> Vec<u64> {
        let delivered = self.told.iter().filter_map(|(node, output)| match output {
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
                self.told.push((node, output));
                continue;
            };
            let cluster = hash_name("walkpick") as u32;
            self.sent.push((node, message::decode(cluster, 1_400, &data).unwrap()));
            if node == 0 && self.lost > 0 {
                self.lost -= 1;
                continue;
            }
            let mut out = Vec::new();
            let from = member(node).address;
            self.cores[other].receive(self.now, from, &data, &mut self.budgets[other], &mut out);
            self.carry_out(other, out);
        }
    }

    fn hand(&mut self, node: usize, message: &Message) {
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
fn an_entry_reaches_both_and_the_publisher_is_told() {
    let mut pair = Pair::new();
    pair.run(3 * SECOND);
    pair.open(1, 1).unwrap();
    assert_eq!(pair.publish(vec![1; MAX_PAYLOAD_BYTES]), Ok(1));
    pair.run(SECOND);
    let delivered = |node: usize| {
        let of = |told: &&(usize, DisseminationOutput)| {
            told.0 == node && matches!(told.1, DisseminationOutput::Deliver { .. })
        };
        pair.told.iter().filter(of).count()
    };
    assert_eq!((delivered(0), delivered(1)), (1, 1));
    let acknowledged = pair.told.iter().filter_map(|(_, output)| match output {
        DisseminationOutput::Acknowledged { sequence, nodes, .. } => Some((*sequence, *nodes)),
        _ => None,
    });
    assert_eq!(acknowledged.collect::<Vec<_>>(), [(1, 2)]);
}

#[test]
fn between_regions_an_entry_that_was_lost_comes_with_the_next_one() {
    let near = Member { location: member(0).location, ..member(1) };
    for (second, expected) in [(member(1), vec![1, 2]), (near, vec![])] {
        let mut pair = Pair::of([member(0), second]);
        pair.run(3 * SECOND);
        pair.open(1, 1).unwrap();
        pair.run(SECOND);
        pair.lost = 1;
        pair.publish(vec![1]).unwrap();
        pair.publish(vec![2]).unwrap();
        assert_eq!(pair.delivered(), expected, "without a question");
        pair.run(SECOND);
        assert_eq!(pair.delivered(), [1, 2]);
    }
}

#[test]
fn what_cannot_be_published_is_refused_with_its_reason() {
    let mut pair = Pair::new();
    assert_eq!(pair.publish(vec![1]), Err(PublishError::NotOpen));
    assert_eq!(pair.open(1, 0), Err(PublishError::ZeroSequence));
    pair.open(4, 1).unwrap();
    assert_eq!(pair.open(4, 1), Err(PublishError::Fenced { current_epoch: 4 }));
    let bytes = MAX_PAYLOAD_BYTES + 1;
    assert_eq!(pair.publish(vec![1; bytes]), Err(PublishError::PayloadTooLarge { bytes }));
    // Nobody answers: what waits for its acknowledgement is bounded.
    pair.cores[1] = Dissemination::new(DisseminationConfig::default(), member(1), 1, 0);
    let published = (0..5_000).map(|_| pair.publish(vec![1])).find_map(Result::err);
    assert_eq!(published, Some(PublishError::TooManyPending(1_024)));
}

#[test]
fn what_a_later_version_adds_to_an_entry_is_carried() {
    let mut pair = Pair::new();
    pair.run(3 * SECOND);
    let later = Entry { schema: 77, extension: vec![5; 20], ..entry(1, 1) };
    let publisher = member(5).key;
    let entries =
        Message::Entries { publisher, epoch: 1, first: 1, entries: vec![later.clone()], states: Vec::new() };
    pair.hand(0, &entries);
    // It may have come to the one that is lower in the tree: the other one asks for it then.
    pair.run(4 * SECOND);
    let got = |node: usize| {
        pair.told.iter().any(|(at, output)| {
            *at == node && *output == DisseminationOutput::Deliver { publisher, entry: later.clone() }
        })
    };
    assert!(got(0) && got(1));
}

#[test]
fn a_log_that_stays_behind_is_told_to_be_stale() {
    let mut pair = Pair::new();
    pair.run(3 * SECOND);
    let publisher = member(5).key;
    let entries =
        Message::Entries { publisher, epoch: 1, first: 1, entries: vec![entry(1, 4)], states: Vec::new() };
    pair.hand(0, &entries);
    pair.run(9 * SECOND);
    let stale = |pair: &Pair| {
        let stale = DisseminationOutput::Stale { publisher, behind: 4 };
        pair.told.iter().any(|told| *told == (0, stale.clone()))
    };
    assert!(!stale(&pair));
    pair.run(2 * SECOND);
    assert!(stale(&pair));
}

#[test]
fn many_publishers_are_held_to_a_bound() {
    let mut pair = Pair::new();
    pair.run(3 * SECOND);
    for publisher in 0..100 {
        let entries = vec![entry(1, 1)];
        pair.hand(0, &Message::Entries { publisher, epoch: 1, first: 1, entries, states: Vec::new() });
    }
    assert_eq!(pair.cores[0].held_entries(), MOST_PUBLISHERS);
    assert!(pair.cores[0].counters().refused >= 92);
}

mod pressure;
