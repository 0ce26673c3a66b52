//! Process information from `/proc`, and waiting for conditions.

use std::process::Child;
use std::time::{Duration, Instant};

/// Far longer than any wait takes; reaching it is a failure.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls until `found` returns a value.
pub fn wait_for<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = found() {
            return found;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "no {what} within {WAIT_TIMEOUT:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Ids of the child processes.
pub fn children(parent: &Child) -> Vec<u32> {
    let path = format!("/proc/{0}/task", parent.id());
    let tasks = std::fs::read_dir(path).into_iter().flatten().flatten();
    let lists = tasks.filter_map(|task| std::fs::read_to_string(task.path().join("children")).ok());
    lists
        .flat_map(|list| list.split_whitespace().filter_map(|pid| pid.parse().ok()).collect::<Vec<_>>())
        .collect()
}

/// The program name of a process; `None` if it is gone or a zombie.
pub fn program_of(pid: u32) -> Option<String> {
    let status = std::fs::read(format!("/proc/{pid}/status")).ok()?;
    let status = String::from_utf8_lossy(&status);
    let value = |name: &str| status.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let has_ended = value("State:")?.starts_with('Z');
    value("Name:").filter(|_| !has_ended).map(str::to_owned)
}
