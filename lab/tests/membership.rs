//! Failure cases of membership in simulated time, with and without loss of datagrams.

use walkpick::peers::{Agreement, Output, Peer, PeerStatus, Peers, PeersConfig};
use walkpick_lab::cluster::cases::{self, Case, CaseOutcome, Scenario};
use walkpick_lab::cluster::{address, LinkConditions, SimulatedCluster};
use walkpick_lab::model::SECOND;

fn config(nodes: usize) -> PeersConfig {
    PeersConfig { configured_nodes: nodes as u32, ..PeersConfig::default() }
}

/// A cluster whose nodes have all joined.
fn joined_cluster(nodes: usize, seed: u64) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(config(nodes), nodes, 2, seed);
    (0..nodes).for_each(|node| cluster.start(node));
    assert!(
        cluster.run_until(30 * SECOND, SimulatedCluster::converged).is_some(),
        "the nodes did not all join"
    );
    cluster
}

fn run(case: Case, nodes: usize, loss: f64, seed: u64) -> CaseOutcome {
    cases::run(Scenario { loss, rest: SECOND, ..Scenario::new(case, nodes, seed) }).unwrap()
}

fn present(cluster: &SimulatedCluster, node: usize) -> u32 {
    cluster.view(node).map_or(0, |view| view.nodes)
}

#[test]
fn kill_leave_and_restart_are_reported_in_time_without_false_reports() {
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

// Guards against the membership library declaring a cleared suspect down, which would make it rejoin under a new identity
// every second.
#[test]
fn datagram_loss_alone_removes_no_node() {
    let mut cluster = joined_cluster(40, 4);
    cluster.links = LinkConditions { loss: 0.1, ..LinkConditions::default() };
    cluster.status_changes.clear();
    cluster.run(40 * SECOND);
    assert_eq!(cluster.rejoined, 0);
    assert!(
        cluster.status_changes.iter().any(|change| change.status == PeerStatus::Suspected),
        "the loss caused no suspicions"
    );
    assert!(!cluster.status_changes.iter().any(|change| change.status == PeerStatus::Lost));
}

#[test]
fn duplicated_delayed_and_reordered_datagrams_remove_no_node() {
    let mut cluster = joined_cluster(8, 5);
    let delay = std::time::Duration::from_millis(60);
    cluster.links =
        LinkConditions { duplicate: 0.3, reorder: 0.2, delay, jitter: delay, ..LinkConditions::default() };
    cluster.status_changes.clear();
    cluster.run(30 * SECOND);
    assert!(!cluster.status_changes.iter().any(|change| change.status == PeerStatus::Lost));
    assert!(cluster.run_until(10 * SECOND, SimulatedCluster::converged).is_some());
}

// Guards against a resumed process that reports all other nodes as lost, and against one that is not readmitted.
#[test]
fn paused_node_rejoins_by_itself_without_reporting_others_as_lost() {
    for (seconds, seed) in [(1, 6), (10, 7), (60, 8)] {
        let mut cluster = joined_cluster(6, seed);
        cluster.pause(5);
        cluster.run(seconds * SECOND);
        cluster.status_changes.clear();
        cluster.resume(5);
        assert!(cluster.run_until(10 * SECOND, SimulatedCluster::converged).is_some(), "after {seconds} s");
        let lost_reports = cluster
            .status_changes
            .iter()
            .filter(|change| change.observer == 5 && change.status == PeerStatus::Lost);
        assert_eq!(lost_reports.count(), 0, "after {seconds} s");
    }
}

#[test]
fn split_halves_report_the_split_and_agree_again_after_it_ends() {
    let mut cluster = joined_cluster(8, 9);
    cluster.agreement_changes.clear();
    cluster.partition(|node| u32::from(node >= 4));
    let begun = cluster.now();
    cluster.run(30 * SECOND);
    for node in 0..8 {
        let report = cluster
            .agreement_changes
            .iter()
            .find(|change| change.observer == node && change.agreement != Agreement::Agreed);
        assert!(
            report.is_some_and(|change| change.at - begun <= 3 * SECOND),
            "n{node} reported the split late or never"
        );
        assert_eq!(cluster.view(node).map(|view| view.agreement), Some(Agreement::Split), "n{node}");
        // Each half sees four nodes, so the shares of all nodes together stay within the documented multiple.
        assert!(cluster.effective_nodes[node] >= 4);
    }
    cluster.partition(|_| 0);
    assert!(
        cluster.run_until(10 * SECOND, SimulatedCluster::converged).is_some(),
        "not within 10 s of the end of the split"
    );
}

#[test]
fn three_partitions_and_a_single_isolated_node_reunite() {
    for (groups, seed) in [(3, 10), (1, 11)] {
        let mut cluster = joined_cluster(9, seed);
        cluster.partition(|node| if groups == 3 { node as u32 % 3 } else { u32::from(node == 0) });
        cluster.run(20 * SECOND);
        assert_eq!(cluster.view(0).map(|view| view.agreement), Some(Agreement::Split));
        let share_sum: f64 = cluster.effective_nodes.iter().map(|count| 1.0 / f64::from(*count)).sum();
        assert!(share_sum <= 2.0, "{share_sum}");
        cluster.partition(|_| 0);
        assert!(cluster.run_until(20 * SECOND, SimulatedCluster::converged).is_some());
    }
}

// Node 7 cannot send to node 1, and node 6 reaches only half of the others. Indirect probes keep both present.
#[test]
fn nodes_behind_one_way_or_partial_links_stay_present() {
    let mut cluster = joined_cluster(8, 12);
    cluster.blocked_links.insert((7, 1));
    (0..4).for_each(|other| {
        cluster.blocked_links.insert((6, other));
        cluster.blocked_links.insert((other, 6));
    });
    cluster.status_changes.clear();
    cluster.run(40 * SECOND);
    let lost = cluster.status_changes.iter().filter(|change| change.status == PeerStatus::Lost).count();
    assert_eq!(lost, 0);
}

#[test]
fn nodes_join_once_a_seed_starts_and_rejoin_without_seeds() {
    let mut cluster = SimulatedCluster::new(config(6), 6, 2, 13);
    (2..6).for_each(|node| cluster.start(node));
    cluster.run(60 * SECOND);
    assert_eq!(present(&cluster, 4), 1, "no seed is running");
    cluster.start(0);
    assert!(cluster.run_until(20 * SECOND, SimulatedCluster::converged).is_some());
    // All seeds are gone; a node that was isolated meanwhile rejoins through the peers that it knew.
    cluster.partition(|node| u32::from(node == 5));
    cluster.run(20 * SECOND);
    cluster.kill(0);
    cluster.run(10 * SECOND);
    cluster.partition(|_| 0);
    assert!(cluster.run_until(20 * SECOND, SimulatedCluster::converged).is_some());
}

#[test]
fn restarted_node_replaces_its_previous_incarnation_whatever_its_clock_offset() {
    for (offset_us, seed) in [(0, 14), (-3_600_000_000, 15), (3_600_000_000, 16)] {
        let mut cluster = joined_cluster(5, seed);
        cluster.kill(4);
        cluster.set_clock_offset(4, offset_us);
        cluster.run(SECOND / 10);
        cluster.start(4);
        assert!(
            cluster.run_until(15 * SECOND, SimulatedCluster::converged).is_some(),
            "clock offset {offset_us} us"
        );
    }
}

#[test]
fn later_of_two_nodes_with_one_name_keeps_it_and_the_other_yields() {
    let mut cluster = joined_cluster(5, 17);
    cluster.kill(4);
    cluster.run(10 * SECOND);
    cluster.start_as(4, "n3");
    cluster.run(5 * SECOND);
    assert_eq!(cluster.yielded, [3]);
    assert_eq!(present(&cluster, 0), 4);
}

#[test]
fn invalid_foreign_and_excess_datagrams_are_dropped_and_counted() {
    let mut cluster = joined_cluster(3, 18);
    let before = cluster.view(0).map(|view| view.nodes);
    let mut random = fastrand::Rng::with_seed(3);
    for length in 0..2_000 {
        let bytes: Vec<u8> = (0..length % 1_500).map(|_| random.u8(..)).collect();
        cluster.inject(0, &bytes);
    }
    // A node of another cluster asks to join.
    let other = PeersConfig { cluster: "other".into(), seeds: vec![address(0)], ..config(2) };
    let metadata = b"later".to_vec();
    let me =
        Peer { address: address(9), generation: 1, salt: 1, observer: false, name: "x".into(), metadata };
    let (mut stranger, mut out) = (Peers::new(other, me, 1, 0), Vec::new());
    stranger.handle_timers(0, &mut out);
    let join_requests = out.iter().filter_map(|output| match output {
        Output::Send { data, .. } => Some(data),
        _ => None,
    });
    // Some of the random datagrams may have carried the name of another cluster.
    let foreign_before = cluster.dropped(0).foreign;
    assert_eq!(join_requests.map(|data| cluster.inject(0, data)).count(), 1);
    let dropped = cluster.dropped(0);
    assert_eq!(dropped.foreign, foreign_before + 1);
    assert!(dropped.malformed >= 1_900, "{dropped:?}");
    // A flood is rate-limited, and membership recovers once it ends.
    for _ in 0..100_000 {
        cluster.inject(0, &[1, 2, 3]);
    }
    assert!(cluster.dropped(0).rate_limited > 90_000, "{:?}", cluster.dropped(0));
    cluster.run(5 * SECOND);
    assert_eq!(cluster.view(0).map(|view| view.nodes), before);
    assert!(cluster.run_until(10 * SECOND, SimulatedCluster::converged).is_some());
}

// Guards against an older version failing on messages of a later one: data appended after an envelope is ignored, and data
// added to an identity is passed on unchanged.
#[test]
fn additions_of_a_later_version_are_ignored_or_passed_on() {
    let mut cluster = joined_cluster(3, 19);
    let config = PeersConfig { seeds: vec![address(0)], ..config(4) };
    let metadata = b"region=1".to_vec();
    let later =
        Peer { address: address(3), generation: 1, salt: 1, observer: false, name: "later".into(), metadata };
    let (mut peers, mut out) = (Peers::new(config, later.clone(), 1, 0), Vec::new());
    peers.handle_timers(0, &mut out);
    let join_requests = out.iter().filter_map(|output| match output {
        Output::Send { data, .. } => Some([&data[..], b"and more"].concat()),
        _ => None,
    });
    let join_requests: Vec<_> = join_requests.collect();
    join_requests.iter().for_each(|data| cluster.inject(0, data));
    let known = |cluster: &SimulatedCluster, node: usize| {
        let view = cluster.view(node);
        view.is_some_and(|view| view.peers.iter().any(|seen| seen.peer == later))
    };
    assert!(known(&cluster, 0));
    assert!(cluster.run_until(2 * SECOND, |cluster| known(cluster, 1) && known(cluster, 2)).is_some());
}

// Guards against repair that sends whole member lists, and against more copies of updates than the budget allows. Membership
// has a budget of 8,000 bytes per second, which it needs when much changes at once; the largest 5 s mean of any node counts.
#[test]
fn join_split_and_mass_restart_stay_within_the_byte_budget() {
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

// Guards against suspects that are not notified of the suspicion: where most peers that could refute it are dead, and updates
// wait for the byte budget, running nodes would be declared lost.
#[test]
fn mass_kill_with_datagram_loss_causes_no_false_reports() {
    for seed in [1, 2] {
        let outcome = run(Case::KillMost, 132, 0.05, seed);
        assert_eq!((outcome.false_reports, outcome.rejoined), (0, 0), "{outcome:?}");
        assert!(outcome.converged_s.is_some(), "{outcome:?}");
    }
}

// Guards against reports of dead nodes that are accepted without verification: after a split each half considers the other
// lost, and tells every node of the other half that its running neighbours are.
#[test]
fn split_of_a_large_cluster_causes_no_false_reports_after_it_ends() {
    for loss in [0.0, 0.05] {
        let outcome = run(Case::Split, 100, loss, 1);
        assert_eq!((outcome.false_reports, outcome.false_reports_after_heal), (0, 0), "{outcome:?}");
        assert!(outcome.converged_s.is_some(), "{outcome:?}");
    }
}
