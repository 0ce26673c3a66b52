//! Resource usage of a process, from the proc file system.

use procfs::process::Process;

/// Processor time of all threads of a process in seconds, with at least microsecond resolution.
pub fn processor_seconds(process: i32) -> f64 {
    let tasks = Process::new(process).and_then(|process| process.tasks());
    let times = tasks.into_iter().flatten().filter_map(|task| task.ok()?.schedstat().ok());
    times.map(|times| times.sum_exec_runtime as f64 / 1e9).sum()
}

/// Resident memory of a process in bytes.
pub fn resident_bytes(process: i32) -> f64 {
    let status = Process::new(process).and_then(|process| process.status());
    status.ok().and_then(|status| status.vmrss).unwrap_or(0) as f64 * 1_024.0
}
