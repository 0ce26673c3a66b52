//! Membership in simulated time: the hard cases, each on a network that loses datagrams as well as on a good one.

use walkpick::peers::{Agreement, Output, Peer, PeerStatus, Peers, PeersConfig};
use walkpick_lab::cluster::cases::{self, Case, CaseOutcome, Play};
use walkpick_lab::cluster::{address, LinkConditions, SimulatedCluster};
use walkpick_lab::model::SECOND;

fn config(nodes: usize) -> PeersConfig {
    PeersConfig { configured_nodes: nodes as u32, ..PeersConfig::default() }
}

/// Nodes that have met.
fn met(nodes: usize, seed: u64) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(config(nodes), nodes, 2, seed);
    (0..nodes).for_each(|node| cluster.start(node));
    assert!(cluster.run_until(30 * SECOND, SimulatedCluster::converged).is_some(), "they never met");
    cluster
}

fn run(case: Case, nodes: usize, loss: f64, seed: u64) -> CaseOutcome {
    cases::run(Play { loss, rest: SECOND, ..Play::new(case, nodes, seed) }).unwrap()
}

fn present(cluster: &SimulatedCluster, node: usize) -> u32 {
    cluster.view(node).map_or(0, |view| view.nodes)
}

#[test]
fn a_kill_a_leave_and_a_roll_are_known_in_time_and_nobody_else_is_taken_for_gone() {
    for (nodes, loss) in [(5, 0.0), (5, 0.1), (40, 0.1)] {
        let kill = run(Case::Kill, nodes, loss, 1);
        assert!(kill.known_p99_s.is_some_and(|time| time <= 5.0), "{kill:?}");
        let leave = run(Case::Leave, nodes, loss, 2);
        assert!(leave.known_p99_s.is_some_and(|time| time <= 1.0), "{leave:?}");
        let restart = run(Case::RestartTenth, nodes, loss, 3);
        assert!(restart.converged_s.is_some(), "{restart:?}");
        assert_eq!([&kill, &leave, &restart].map(|outcome| outcome.false_reports), [0; 3]);
    }
}

// Guards against a library that tells a cleared suspect that it is gone: it would come back as another every second.
#[test]
fn lost_datagrams_alone_take_nobody_away() {
    let mut cluster = met(40, 4);
    cluster.links = LinkConditions { loss: 0.1, ..LinkConditions::default() };
    cluster.standing_changes.clear();
    cluster.run(40 * SECOND);
    assert_eq!(cluster.rejoined, 0);
    assert!(
        cluster.standing_changes.iter().any(|change| change.standing == PeerStatus::Suspected),
        "the loss was seen"
    );
    assert!(!cluster.standing_changes.iter().any(|change| change.standing == PeerStatus::Lost));
}

#[test]
fn duplicates_late_and_overtaken_datagrams_change_nothing() {
    let mut cluster = met(8, 5);
    let late = std::time::Duration::from_millis(60);
    cluster.links = LinkConditions {
        duplicate: 0.3,
        reorder: 0.2,
        delay: late,
        jitter: late,
        ..LinkConditions::default()
    };
    cluster.standing_changes.clear();
    cluster.run(30 * SECOND);
    assert!(!cluster.standing_changes.iter().any(|change| change.standing == PeerStatus::Lost));
    assert!(cluster.run_until(10 * SECOND, SimulatedCluster::converged).is_some());
}

// Guards against a sleeper that takes all the others for gone, and against one that nobody takes back.
#[test]
fn one_that_stood_still_is_back_by_itself_and_blames_nobody() {
    for (seconds, seed) in [(1, 6), (10, 7), (60, 8)] {
        let mut cluster = met(6, seed);
        cluster.pause(5);
        cluster.run(seconds * SECOND);
        cluster.standing_changes.clear();
        cluster.resume(5);
        assert!(cluster.run_until(10 * SECOND, SimulatedCluster::converged).is_some(), "after {seconds} s");
        let blamed = cluster
            .standing_changes
            .iter()
            .filter(|change| change.observer == 5 && change.standing == PeerStatus::Lost);
        assert_eq!(blamed.count(), 0, "after {seconds} s");
    }
}

#[test]
fn halves_know_that_they_are_cut_and_agree_again_when_they_are_not() {
    let mut cluster = met(8, 9);
    cluster.agreement_changes.clear();
    cluster.partition(|node| u32::from(node >= 4));
    let begun = cluster.now();
    cluster.run(30 * SECOND);
    for node in 0..8 {
        let said = cluster
            .agreement_changes
            .iter()
            .find(|said| said.observer == node && said.agreement != Agreement::Agreed);
        assert!(said.is_some_and(|said| said.at - begun <= 3 * SECOND), "n{node} said it late or never");
        assert_eq!(cluster.view(node).map(|view| view.agreement), Some(Agreement::Split), "n{node}");
        // Four are seen, and the parts of all together are within the stated multiple.
        assert!(cluster.counts[node] >= 4);
    }
    cluster.partition(|_| 0);
    assert!(
        cluster.run_until(10 * SECOND, SimulatedCluster::converged).is_some(),
        "not within 10 s of the end of the split"
    );
}

#[test]
fn three_parts_and_a_minority_of_one_come_together_again() {
    for (groups, seed) in [(3, 10), (1, 11)] {
        let mut cluster = met(9, seed);
        cluster.partition(|node| if groups == 3 { node as u32 % 3 } else { u32::from(node == 0) });
        cluster.run(20 * SECOND);
        assert_eq!(cluster.view(0).map(|view| view.agreement), Some(Agreement::Split));
        let most: f64 = cluster.counts.iter().map(|count| 1.0 / f64::from(*count)).sum();
        assert!(most <= 2.0, "{most}");
        cluster.partition(|_| 0);
        assert!(cluster.run_until(20 * SECOND, SimulatedCluster::converged).is_some());
    }
}

// A node that hears and is not heard, and one that sees half of the others: those between vouch for both.
#[test]
fn one_way_links_and_half_seen_nodes_keep_their_place() {
    let mut cluster = met(8, 12);
    cluster.blocked.insert((7, 1));
    (0..4).for_each(|other| {
        cluster.blocked.insert((6, other));
        cluster.blocked.insert((other, 6));
    });
    cluster.standing_changes.clear();
    cluster.run(40 * SECOND);
    let gone = cluster.standing_changes.iter().filter(|change| change.standing == PeerStatus::Lost).count();
    assert_eq!(gone, 0);
}

#[test]
fn a_fleet_whose_seeds_are_all_dead_at_first_meets_when_one_is_back() {
    let mut cluster = SimulatedCluster::new(config(6), 6, 2, 13);
    (2..6).for_each(|node| cluster.start(node));
    cluster.run(60 * SECOND);
    assert_eq!(present(&cluster, 4), 1, "nobody to ask");
    cluster.start(0);
    assert!(cluster.run_until(20 * SECOND, SimulatedCluster::converged).is_some());
    // All seeds go for good; a node that is cut off meanwhile comes back by those that it knew.
    cluster.partition(|node| u32::from(node == 5));
    cluster.run(20 * SECOND);
    cluster.kill(0);
    cluster.run(10 * SECOND);
    cluster.partition(|_| 0);
    assert!(cluster.run_until(20 * SECOND, SimulatedCluster::converged).is_some());
}

#[test]
fn a_restart_takes_its_older_selfs_place_whatever_its_clock_says() {
    for (off, seed) in [(0, 14), (-3_600_000_000, 15), (3_600_000_000, 16)] {
        let mut cluster = met(5, seed);
        cluster.kill(4);
        cluster.clock(4, off);
        cluster.run(SECOND / 10);
        cluster.start(4);
        assert!(
            cluster.run_until(15 * SECOND, SimulatedCluster::converged).is_some(),
            "clock off by {off} us"
        );
    }
}

#[test]
fn of_two_that_claim_one_name_the_later_keeps_it_and_the_other_steps_out() {
    let mut cluster = met(5, 17);
    cluster.kill(4);
    cluster.run(10 * SECOND);
    cluster.start_as(4, "n3");
    cluster.run(5 * SECOND);
    assert_eq!(cluster.yielded, [3]);
    assert_eq!(present(&cluster, 0), 4);
}

#[test]
fn what_no_peer_would_send_is_dropped_and_counted() {
    let mut cluster = met(3, 18);
    let before = cluster.view(0).map(|view| view.nodes);
    let mut random = fastrand::Rng::with_seed(3);
    for length in 0..2_000 {
        let bytes: Vec<u8> = (0..length % 1_500).map(|_| random.u8(..)).collect();
        cluster.inject(0, &bytes);
    }
    // One of another cluster asks to join.
    let other = PeersConfig { cluster: "other".into(), seeds: vec![address(0)], ..config(2) };
    let more = b"later".to_vec();
    let me = Peer {
        address: address(9),
        generation: 1,
        salt: 1,
        observer: false,
        name: "x".into(),
        metadata: more,
    };
    let (mut stranger, mut out) = (Peers::new(other, me, 1, 0), Vec::new());
    stranger.handle_timers(0, &mut out);
    let asks = out.iter().filter_map(|output| match output {
        Output::Send { data, .. } => Some(data),
        _ => None,
    });
    // Some of the garbage may have named a cluster, and not this one.
    let before_it = cluster.dropped(0).foreign;
    assert_eq!(asks.map(|data| cluster.inject(0, data)).count(), 1);
    let dropped = cluster.dropped(0);
    assert_eq!(dropped.foreign, before_it + 1);
    assert!(dropped.malformed >= 1_900, "{dropped:?}");
    // A flood is cut off, and does not keep it from its peers for longer than it lasts.
    for _ in 0..100_000 {
        cluster.inject(0, &[1, 2, 3]);
    }
    assert!(cluster.dropped(0).rate_limited > 90_000, "{:?}", cluster.dropped(0));
    cluster.run(5 * SECOND);
    assert_eq!(cluster.view(0).map(|view| view.nodes), before);
    assert!(cluster.run_until(10 * SECOND, SimulatedCluster::converged).is_some());
}

// Guards against a later version that an older one chokes on: what it adds behind an envelope is passed over, and what it
// adds to an identity goes on to those that know it.
#[test]
fn what_a_later_version_adds_is_passed_over_or_carried() {
    let mut cluster = met(3, 19);
    let config = PeersConfig { seeds: vec![address(0)], ..config(4) };
    let more = b"region=1".to_vec();
    let later = Peer {
        address: address(3),
        generation: 1,
        salt: 1,
        observer: false,
        name: "later".into(),
        metadata: more,
    };
    let (mut peers, mut out) = (Peers::new(config, later.clone(), 1, 0), Vec::new());
    peers.handle_timers(0, &mut out);
    let asks = out.iter().filter_map(|output| match output {
        Output::Send { data, .. } => Some([&data[..], b"and more"].concat()),
        _ => None,
    });
    let asks: Vec<_> = asks.collect();
    asks.iter().for_each(|data| cluster.inject(0, data));
    let known = |cluster: &SimulatedCluster, node: usize| {
        let view = cluster.view(node);
        view.is_some_and(|view| view.peers.iter().any(|seen| seen.peer == later))
    };
    assert!(known(&cluster, 0));
    assert!(cluster.run_until(2 * SECOND, |cluster| known(cluster, 1) && known(cluster, 2)).is_some());
}

// Guards against repair by whole lists, and news in more copies than there are bytes for: membership has 8,000 bytes a
// second, and needs them when much changes at once. It is the largest 5 s mean of any node.
#[test]
fn joining_a_split_and_a_restart_of_many_stay_within_the_budget_of_bytes() {
    const NODES: usize = 80;
    const BUDGET: f64 = 8_000.0;
    for loss in [0.0, 0.05] {
        for case in [Case::Join, Case::RestartTenth, Case::KillMost, Case::Split] {
            let outcome = run(case, NODES, loss, 20);
            assert!(outcome.joining.peak_bytes_per_s <= BUDGET, "{outcome:?}");
            assert!(outcome.traffic.peak_bytes_per_s <= BUDGET, "{outcome:?}");
            assert!(outcome.converged_s.is_some(), "{outcome:?}");
        }
    }
}

// Guards against suspects that are not told: where most of those that might vouch for them are dead, and news waits for
// bytes, they would be taken for gone.
#[test]
fn where_most_are_killed_and_datagrams_are_lost_nobody_living_is_taken_for_gone() {
    for seed in [1, 2] {
        let outcome = run(Case::KillMost, 132, 0.05, seed);
        assert_eq!((outcome.false_reports, outcome.rejoined), (0, 0), "{outcome:?}");
        assert!(outcome.converged_s.is_some(), "{outcome:?}");
    }
}

// Guards against words on the dead that are believed unasked: after a split each half holds the other one for gone, and
// tells every node of it that its living neighbours are.
#[test]
fn after_a_split_of_many_nobody_living_is_taken_for_gone() {
    for loss in [0.0, 0.05] {
        let outcome = run(Case::Split, 100, loss, 1);
        assert_eq!((outcome.false_reports, outcome.false_reports_after_heal), (0, 0), "{outcome:?}");
        assert!(outcome.converged_s.is_some(), "{outcome:?}");
    }
}
