//! Processes as the system tells of them, and waiting for what they do.

use std::process::Child;
use std::time::{Duration, Instant};

/// Far longer than anything here takes: a wait that reaches it has failed.
const PATIENCE: Duration = Duration::from_secs(120);
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Waits until something is found.
pub fn wait_for<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = found() {
            return found;
        }
        assert!(start.elapsed() < PATIENCE, "no {what} within {PATIENCE:?}");
        std::thread::sleep(LOOK_EVERY);
    }
}

/// Processes that a process has started.
pub fn children(parent: &Child) -> Vec<u32> {
    let path = format!("/proc/{0}/task", parent.id());
    let tasks = std::fs::read_dir(path).into_iter().flatten().flatten();
    let lists = tasks.filter_map(|task| std::fs::read_to_string(task.path().join("children")).ok());
    lists
        .flat_map(|list| list.split_whitespace().filter_map(|pid| pid.parse().ok()).collect::<Vec<_>>())
        .collect()
}

/// The name of a process's program; none where it is gone, or has ended and was not waited for.
pub fn program_of(pid: u32) -> Option<String> {
    let status = std::fs::read(format!("/proc/{pid}/status")).ok()?;
    let status = String::from_utf8_lossy(&status);
    let value = |name: &str| status.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let has_ended = value("State:")?.starts_with('Z');
    value("Name:").filter(|_| !has_ended).map(str::to_owned)
}
