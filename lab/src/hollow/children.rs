//! The lab's side of hollow processes: starts them as child processes that end with the lab, sends them messages and
//! receives theirs.

use super::protocol::{Begin, FromProcess, NodeToOpen, ProcessViews, Report, ToProcess};
use crate::real::process::{spawn_bound_to_parent, ProcessError};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time limit for a process to open its sockets.
const OPEN_TIMEOUT: Duration = Duration::from_secs(30);
/// Capacity of the channel of received messages.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Time limit for a process to exit after its report.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Failure of a hollow process.
#[derive(Debug, Error)]
pub enum ChildError {
    /// The process could not be started.
    #[error(transparent)]
    Start(#[from] ProcessError),
    /// The process ended before it sent its report.
    #[error("hollow process {process} ended before it had told everything: {reason}")]
    Ended {
        /// Number of the process.
        process: usize,
        /// Exit status or read error, as far as known.
        reason: String,
    },
    /// A message could not be encoded or decoded.
    #[error("cannot encode or decode a message of hollow process {process}: {error}")]
    Json {
        /// Number of the process.
        process: usize,
        /// The JSON error.
        error: serde_json::Error,
    },
    /// Writing to the process failed.
    #[error("cannot write to hollow process {process}: {error}")]
    Write {
        /// Number of the process.
        process: usize,
        /// The I/O error.
        error: io::Error,
    },
    /// The process did not open its sockets in time.
    #[error(
        "hollow process {process} did not open its sockets within {}",
        humantime::format_duration(OPEN_TIMEOUT)
    )]
    OpenTimeout {
        /// Number of the process.
        process: usize,
    },
}

/// A hollow process. It is killed when dropped.
pub struct HollowProcess {
    process: usize,
    child: Child,
    input: Option<ChildStdin>,
    lines: Lines<BufReader<ChildStdout>>,
}

/// A message or a failure of a process.
pub struct ProcessEvent {
    /// Number of the process.
    pub process: usize,
    /// The message, or why none can follow.
    pub message: Result<ProcessMessage, ChildError>,
}

/// A message of a running process.
pub enum ProcessMessage {
    /// Views of its nodes.
    Views(ProcessViews),
    /// All measurements; the process has ended.
    Report(Box<Report>),
}

impl HollowProcess {
    /// Starts a process, which has no nodes yet.
    pub fn start(lab: &Path, process: usize) -> Result<Self, ChildError> {
        let mut child = spawn_bound_to_parent(lab, lab, &["hollow-process"])?;
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let Some(output) = output else {
            return Err(ChildError::Ended {
                process,
                reason: "its standard output is not connected".to_owned(),
            });
        };
        Ok(Self { process, child, input, lines: BufReader::new(output).lines() })
    }

    /// The process id.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Opens the sockets of these nodes; returns their addresses.
    pub async fn open(&mut self, nodes: Vec<NodeToOpen>) -> Result<Vec<SocketAddr>, ChildError> {
        self.send(&ToProcess::Open { nodes }).await?;
        let process = self.process;
        match timeout(OPEN_TIMEOUT, self.receive()).await {
            Err(_) => Err(ChildError::OpenTimeout { process }),
            Ok(Ok(FromProcess::Opened { addresses })) => Ok(addresses),
            Ok(Ok(_)) => Err(ChildError::Ended {
                process,
                reason: "it sent another message than its addresses".to_owned(),
            }),
            Ok(Err(error)) => Err(error),
        }
    }

    /// Starts the run.
    pub async fn begin(&mut self, begin: Begin) -> Result<(), ChildError> {
        self.send(&ToProcess::Begin(Box::new(begin))).await
    }

    async fn send(&mut self, message: &ToProcess) -> Result<(), ChildError> {
        let process = self.process;
        let mut line = serde_json::to_vec(message).map_err(|error| ChildError::Json { process, error })?;
        line.push(b'\n');
        match write(&mut self.input, &line).await {
            // Nobody reads any more: how the process ended says more than the write.
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => {
                Err(ChildError::Ended { process, reason: self.exit_status().await })
            }
            result => result.map_err(|error| ChildError::Write { process, error }),
        }
    }

    async fn receive(&mut self) -> Result<FromProcess, ChildError> {
        let process = self.process;
        match self.lines.next_line().await {
            Ok(Some(line)) => {
                serde_json::from_str(&line).map_err(|error| ChildError::Json { process, error })
            }
            Ok(None) => Err(ChildError::Ended { process, reason: self.exit_status().await }),
            Err(error) => Err(ChildError::Ended { process, reason: error.to_string() }),
        }
    }

    async fn exit_status(&mut self) -> String {
        match timeout(EXIT_TIMEOUT, self.child.wait()).await {
            Ok(Ok(status)) => status.to_string(),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "it closed its output but did not exit".to_owned(),
        }
    }

    /// Forwards all messages of the process until its report or its end.
    async fn forward_messages(mut self, messages: mpsc::Sender<ProcessEvent>) {
        loop {
            let (is_last, message) = match self.receive().await {
                Ok(FromProcess::Views(views)) => (false, Ok(ProcessMessage::Views(views))),
                Ok(FromProcess::Report(report)) => {
                    // Waits for the exit, because dropping the process would kill it.
                    let _ = self.exit_status().await;
                    (true, Ok(ProcessMessage::Report(report)))
                }
                // The addresses were received before.
                Ok(FromProcess::Opened { .. }) => continue,
                Err(error) => (true, Err(error)),
            };
            if messages.send(ProcessEvent { process: self.process, message }).await.is_err() || is_last {
                return;
            }
        }
    }
}

async fn write(input: &mut Option<ChildStdin>, line: &[u8]) -> io::Result<()> {
    let input = input.as_mut().ok_or(io::ErrorKind::BrokenPipe)?;
    input.write_all(line).await?;
    input.flush().await
}

/// Running processes and their messages. The processes end when it is dropped.
pub struct ProcessGroup {
    inputs: Vec<Option<ChildStdin>>,
    messages: mpsc::Receiver<ProcessEvent>,
}

impl ProcessGroup {
    /// Receives from all processes at once.
    pub fn new(mut processes: Vec<HollowProcess>) -> Self {
        let (sender, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let inputs = processes.iter_mut().map(|process| process.input.take()).collect();
        for process in processes {
            spawn_local(process.forward_messages(sender.clone()));
        }
        Self { inputs, messages }
    }

    /// The next message; `None` once all processes have ended.
    pub async fn next(&mut self) -> Option<ProcessEvent> {
        self.messages.recv().await
    }

    /// Asks all processes to send what they have measured so far and to end.
    pub async fn end(&mut self) {
        let Ok(mut line) = serde_json::to_vec(&ToProcess::End) else { return };
        line.push(b'\n');
        for input in &mut self.inputs {
            // A process that has ended is reported by its own message.
            let _ = write(input, &line).await;
        }
    }
}

#[cfg(test)]
mod tests;
