//! Node processes: started under a hold that ends them with this process, signalled, watched, ended by their id.

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

/// Processes are started one at a time.
static STARTS: Mutex<()> = Mutex::new(());

/// What went wrong with a process.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// It cannot be started.
    #[error("{}: cannot be started: {error}", program.display())]
    Start {
        /// The program.
        program: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// It ended before it was ready.
    #[error("{name} ended before it was ready: {status}; its log says: {log}")]
    Died {
        /// The node.
        name: String,
        /// How it ended.
        status: ExitStatus,
        /// The end of its log.
        log: String,
    },
    /// It was not ready in time.
    #[error("{name} was not ready within {}; its log says: {log}", humantime::format_duration(*limit))]
    Unready {
        /// The node.
        name: String,
        /// The time it had.
        limit: Duration,
        /// The end of its log.
        log: String,
    },
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Used {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// The most memory it held, in MiB.
    pub memory_mb: f64,
}

/// A running process. Dropped, it is killed.
#[derive(Debug)]
pub struct Process {
    child: Child,
    pid: Option<Pid>,
    log: PathBuf,
}

/// The command by which the lab starts a child: `hold PARENT PROGRAM ARGS...`. The process asks to be killed when its
/// parent is gone, and becomes the program.
pub fn hold(parent: i32, program: &OsString, arguments: &[OsString]) -> io::Error {
    if let Err(error) = set_pdeathsig(Signal::SIGKILL) {
        return error.into();
    }
    // Its parent may have gone before it asked.
    if getppid().as_raw() != parent {
        return io::Error::other("whoever started it is gone");
    }
    std::process::Command::new(program).args(arguments).exec()
}

/// Starts a program under the lab's hold, with pipes for its standard input and output. Dropped, it is killed.
pub fn start_held(lab: &Path, program: &Path, arguments: &[&str]) -> Result<Child, ProcessError> {
    let mut command = held(lab, program);
    command.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped());
    let alone = STARTS.lock();
    let child = command.spawn();
    drop(alone);
    child.map_err(|error| ProcessError::Start { program: program.to_owned(), error })
}

/// The command that becomes a program which ends with this process.
fn held(lab: &Path, program: &Path) -> Command {
    let mut command = Command::new(lab);
    command.arg("hold").arg(std::process::id().to_string()).arg(program).kill_on_drop(true);
    command
}

impl Process {
    /// Starts a node with a configuration; its log goes to a file, after what an earlier life wrote there. `let_go`: lets
    /// go of what only the node may hold.
    pub fn start(
        lab: &Path,
        program: &Path,
        config: &Path,
        log: &Path,
        let_go: impl FnOnce(),
    ) -> Result<Self, ProcessError> {
        let failed = |error| ProcessError::Start { program: program.to_owned(), error };
        let file = File::options().create(true).append(true).open(log).map_err(failed)?;
        let mut command = held(lab, program);
        command.arg("node");
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
            command.env_remove(name);
        }
        command.env("LB_CONFIG", config).stdin(Stdio::null());
        command.stdout(file.try_clone().map_err(failed)?).stderr(file);
        // A child of another run's, forked and not yet its own program, holds all that this process holds: none may be
        // on its way when something is let go. Nothing panics under the lock.
        let alone = STARTS.lock();
        let_go();
        let child = command.spawn().map_err(failed)?;
        drop(alone);
        let pid = child.id().and_then(|id| i32::try_from(id).ok()).map(Pid::from_raw);
        Ok(Self { child, pid, log: log.to_owned() })
    }

    /// Its id; `None` where the system gave none.
    pub fn id(&self) -> Option<i32> {
        self.pid.map(Pid::as_raw)
    }

    /// Sends it a signal. One that has ended gets none.
    pub fn signal(&self, signal: Signal) {
        if let (Some(_), Some(pid)) = (self.child.id(), self.pid) {
            let _ = kill(pid, signal);
        }
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills it and waits for its end.
    pub async fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill().await;
    }

    /// Waits until it ends, and kills it when it has not within `limit`. `None`: it had to be killed.
    pub async fn finish(&mut self, limit: Duration) -> Option<ExitStatus> {
        match timeout(limit, self.child.wait()).await {
            Ok(status) => status.ok(),
            Err(_) => {
                self.kill().await;
                None
            }
        }
    }

    /// What it has used up to now; `None` once it is gone.
    pub fn used(&self) -> Option<Used> {
        let info = Info::new(self.pid?.as_raw()).ok()?;
        let (stat, status) = (info.stat().ok()?, info.status().ok()?);
        let cpu_s = (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64;
        Some(Used { cpu_s, memory_mb: status.vmhwm.unwrap_or(0) as f64 / 1_024.0 })
    }

    /// The end of its log.
    pub fn last_words(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<_> = text.lines().rev().take(3).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" / ")
    }
}
