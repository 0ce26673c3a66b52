//! Child processes: start with a parent-death signal, signals, resource usage and shutdown.

use nix::sys::prctl::set_pdeathsig;
use nix::sys::signal::{kill, Signal};
use nix::unistd::{getppid, Pid};
use procfs::process::Process as Info;
use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::Mutex;
use std::time::Duration;
use thiserror::Error;
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// Serializes process starts.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// A process failure.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The program cannot be started.
    #[error("{}: cannot be started: {error}", program.display())]
    Start {
        /// The program.
        program: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// The process exited before it was ready.
    #[error("{name} ended before it was ready: {status}; its log says: {log}")]
    ExitedEarly {
        /// Name of the node.
        name: String,
        /// Exit status.
        status: ExitStatus,
        /// The last lines of its log.
        log: String,
    },
    /// The process was not ready within the time limit.
    #[error("{name} was not ready within {}; its log says: {log}", humantime::format_duration(*limit))]
    NotReady {
        /// Name of the node.
        name: String,
        /// The time limit.
        limit: Duration,
        /// The last lines of its log.
        log: String,
    },
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Peak resident memory, in MiB.
    pub memory_mb: f64,
}

/// A running process. It is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    pid: Option<Pid>,
    log: PathBuf,
}

/// Implements `hold PARENT PROGRAM ARGS...`, by which the lab starts a child: requests SIGKILL on the death of the
/// parent, then executes the program. Returns only on failure.
pub fn exec_bound_to_parent(parent: i32, program: &OsString, arguments: &[OsString]) -> io::Error {
    if let Err(error) = set_pdeathsig(Signal::SIGKILL) {
        return error.into();
    }
    // The parent may have exited before the request.
    if getppid().as_raw() != parent {
        return io::Error::other("the parent process has exited");
    }
    std::process::Command::new(program).args(arguments).exec()
}

/// Starts a program that ends with this process, with piped standard input and output. It is killed on drop.
pub fn spawn_bound_to_parent(lab: &Path, program: &Path, arguments: &[&str]) -> Result<Child, ProcessError> {
    let mut command = bound_command(lab, program);
    command.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped());
    let guard = SPAWN_LOCK.lock();
    let child = command.spawn();
    drop(guard);
    child.map_err(|error| ProcessError::Start { program: program.to_owned(), error })
}

/// A command for a program that ends with this process.
fn bound_command(lab: &Path, program: &Path) -> Command {
    let mut command = Command::new(lab);
    command.arg("hold").arg(std::process::id().to_string()).arg(program).kill_on_drop(true);
    command
}

impl Process {
    /// Starts a node with a configuration and appends its output to the log file. `release` frees the resources that only
    /// the node may hold.
    pub fn start(
        lab: &Path,
        program: &Path,
        config: &Path,
        log: &Path,
        release: impl FnOnce(),
    ) -> Result<Self, ProcessError> {
        let failed = |error| ProcessError::Start { program: program.to_owned(), error };
        let file = File::options().create(true).append(true).open(log).map_err(failed)?;
        let mut command = bound_command(lab, program);
        command.arg("node");
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
            command.env_remove(name);
        }
        command.env("LB_CONFIG", config).stdin(Stdio::null());
        command.stdout(file.try_clone().map_err(failed)?).stderr(file);
        // A child of another run that has forked but not yet executed its program holds all descriptors of this process,
        // so none may be starting while resources are released. Nothing panics while holding the lock.
        let guard = SPAWN_LOCK.lock();
        release();
        let child = command.spawn().map_err(failed)?;
        drop(guard);
        let pid = child.id().and_then(|id| i32::try_from(id).ok()).map(Pid::from_raw);
        Ok(Self { child, pid, log: log.to_owned() })
    }

    /// Process id; `None` if the system reported none.
    pub fn id(&self) -> Option<i32> {
        self.pid.map(Pid::as_raw)
    }

    /// Sends a signal unless the process has ended.
    pub fn signal(&self, signal: Signal) {
        if let (Some(_), Some(pid)) = (self.child.id(), self.pid) {
            let _ = kill(pid, signal);
        }
    }

    /// Exit status, if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process and waits for its exit.
    pub async fn kill(&mut self) {
        // The process may already have exited.
        let _ = self.child.kill().await;
    }

    /// Waits for the exit, and kills the process after `limit`. `None` if it was killed.
    pub async fn wait_or_kill(&mut self, limit: Duration) -> Option<ExitStatus> {
        match timeout(limit, self.child.wait()).await {
            Ok(status) => status.ok(),
            Err(_) => {
                self.kill().await;
                None
            }
        }
    }

    /// Resource usage so far; `None` once the process is gone.
    pub fn usage(&self) -> Option<ResourceUsage> {
        let info = Info::new(self.pid?.as_raw()).ok()?;
        let (stat, status) = (info.stat().ok()?, info.status().ok()?);
        let cpu_s = (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64;
        Some(ResourceUsage { cpu_s, memory_mb: status.vmhwm.unwrap_or(0) as f64 / 1_024.0 })
    }

    /// The last three lines of its log.
    pub fn log_tail(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<_> = text.lines().rev().take(3).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" / ")
    }
}
