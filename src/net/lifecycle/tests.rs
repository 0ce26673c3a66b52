use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[tokio::test(start_paused = true)]
async fn every_shutdown_plan_ends_before_the_earliest_kill() {
    let signalled_at = Instant::now();
    for deadline in [0, 1, 400, 1_000, 1_900, 3_000, 5_000, 60_000] {
        for noticed_at in [0, 40, 700, 2_000, 10_000] {
            for late in [0, 10, 300, 5_000] {
                let noticed_at = signalled_at + ms(noticed_at);
                let plan = ShutdownPlan::new(signalled_at, noticed_at, ms(late), ms(deadline));
                let kill = signalled_at + KILL_DELAY + ms(deadline.min(3_000));
                assert_eq!(plan.kill_at, kill);
                assert!(noticed_at <= plan.close_at && plan.close_at <= plan.answer_by, "{plan:?}");
                assert!(plan.answer_by <= plan.exit_by, "{plan:?}");
                assert!(plan.exit_by + ms(late) < kill || plan.exit_by == noticed_at, "{plan:?}");
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_shutdown_without_lag_serves_while_usual_requests_can_still_be_answered() {
    let signalled_at = Instant::now();
    let plan = ShutdownPlan::new(signalled_at, signalled_at, Duration::ZERO, ms(1_900));
    assert_eq!(plan.close_at - signalled_at, ms(1_260));
    assert_eq!((plan.answer_by - signalled_at, plan.exit_by - signalled_at), (ms(2_400), ms(2_550)));
}

#[tokio::test(start_paused = true)]
async fn a_busy_node_assumes_the_earliest_possible_signal_time() {
    let start = Instant::now();
    let lag_monitor = LagMonitor::start();
    // Busy from 100 ms to 900 ms: the signal may have arrived at any time since then.
    for at in [50, 100, 900] {
        lag_monitor.sample(lag_monitor.last_sample.get() + SAMPLE_INTERVAL, start + ms(at));
    }
    assert_eq!(lag_monitor.earliest_signal_at(), start + ms(100));
    assert_eq!(lag_monitor.recent_max_lag(), ms(750));
    assert_eq!(lag_monitor.current_lag(start + ms(901)), ms(750), "the lag of the latest sample");
    assert_eq!(lag_monitor.current_lag(start + ms(1_900)), ms(950), "an overdue sample counts as lag");
    lag_monitor.sample(start + ms(5_900), start + ms(5_900));
    assert_eq!(lag_monitor.recent_max_lag(), ms(375));
}
