//! The lab's side of its hollow processes: started under its hold, told what to do, heard, ended with it.

use super::protocol::{Begin, FromProcess, NodeToOpen, Report, ToProcess, ViewsOfProcess};
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

/// A process has this long to open its sockets.
const OPEN: Duration = Duration::from_secs(30);
/// Words of processes that wait to be heard.
const WAITING: usize = 1_024;
/// A process that has told everything has this long to end.
const END: Duration = Duration::from_secs(10);

/// What went wrong with a hollow process.
#[derive(Debug, Error)]
pub enum ChildError {
    /// It cannot be started.
    #[error(transparent)]
    Start(#[from] ProcessError),
    /// It ended before it had told everything.
    #[error("hollow process {process} ended before it had told everything: {how}")]
    Ended {
        /// Which one.
        process: usize,
        /// How, as far as that is known.
        how: String,
    },
    /// It said what nobody understands.
    #[error("a word of hollow process {process} cannot be read: {error}")]
    Unreadable {
        /// Which one.
        process: usize,
        /// Why.
        error: serde_json::Error,
    },
    /// It cannot be told something.
    #[error("hollow process {process} cannot be told anything: {error}")]
    Deaf {
        /// Which one.
        process: usize,
        /// Why.
        error: io::Error,
    },
    /// It did not open its sockets in time.
    #[error("hollow process {process} did not open its sockets within {}", humantime::format_duration(OPEN))]
    Slow {
        /// Which one.
        process: usize,
    },
}

/// A hollow process. Dropped, it is killed.
pub struct HollowProcess {
    process: usize,
    child: Child,
    input: Option<ChildStdin>,
    lines: Lines<BufReader<ChildStdout>>,
}

/// What a process told, and which one.
pub struct Heard {
    /// Which one.
    pub process: usize,
    /// What.
    pub what: Result<What, ChildError>,
}

/// What a process told.
pub enum What {
    /// What its nodes see.
    Views(ViewsOfProcess),
    /// All that it measured; it has ended.
    Report(Box<Report>),
}

impl HollowProcess {
    /// Starts a process, which has no nodes yet.
    pub fn start(lab: &Path, process: usize) -> Result<Self, ChildError> {
        let mut child = spawn_bound_to_parent(lab, lab, &["hollow-process"])?;
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let Some(output) = output else {
            return Err(ChildError::Ended { process, how: "it has no output".to_owned() });
        };
        Ok(Self { process, child, input, lines: BufReader::new(output).lines() })
    }

    /// Its id.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Has it open its nodes' sockets; where they are reached.
    pub async fn open(&mut self, nodes: Vec<NodeToOpen>) -> Result<Vec<SocketAddr>, ChildError> {
        self.tell(&ToProcess::Open { nodes }).await?;
        let process = self.process;
        match timeout(OPEN, self.hear()).await {
            Err(_) => Err(ChildError::Slow { process }),
            Ok(Ok(FromProcess::Opened { addresses })) => Ok(addresses),
            Ok(Ok(_)) => {
                Err(ChildError::Ended { process, how: "it told something else than addresses".to_owned() })
            }
            Ok(Err(error)) => Err(error),
        }
    }

    /// Has it begin.
    pub async fn begin(&mut self, begin: Begin) -> Result<(), ChildError> {
        self.tell(&ToProcess::Begin(Box::new(begin))).await
    }

    async fn tell(&mut self, message: &ToProcess) -> Result<(), ChildError> {
        let process = self.process;
        let mut line =
            serde_json::to_vec(message).map_err(|error| ChildError::Unreadable { process, error })?;
        line.push(b'\n');
        write(&mut self.input, &line).await.map_err(|error| ChildError::Deaf { process, error })
    }

    async fn hear(&mut self) -> Result<FromProcess, ChildError> {
        let process = self.process;
        match self.lines.next_line().await {
            Ok(Some(line)) => {
                serde_json::from_str(&line).map_err(|error| ChildError::Unreadable { process, error })
            }
            Ok(None) => Err(ChildError::Ended { process, how: self.how_it_ended().await }),
            Err(error) => Err(ChildError::Ended { process, how: error.to_string() }),
        }
    }

    async fn how_it_ended(&mut self) -> String {
        match timeout(END, self.child.wait()).await {
            Ok(Ok(status)) => status.to_string(),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "it says nothing more and does not end".to_owned(),
        }
    }

    /// Hears all that it tells, up to its report or its end.
    async fn listen(mut self, heard: mpsc::Sender<Heard>) {
        loop {
            let (over, what) = match self.hear().await {
                Ok(FromProcess::Views(views)) => (false, Ok(What::Views(views))),
                Ok(FromProcess::Report(report)) => {
                    // It has nothing more to say; dropped, it would be killed.
                    let _ = self.how_it_ended().await;
                    (true, Ok(What::Report(report)))
                }
                // Its sockets are open: said already.
                Ok(FromProcess::Opened { .. }) => continue,
                Err(error) => (true, Err(error)),
            };
            if heard.send(Heard { process: self.process, what }).await.is_err() || over {
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

/// Processes that run and are heard. Dropped, they end.
pub struct Listening {
    inputs: Vec<Option<ChildStdin>>,
    heard: mpsc::Receiver<Heard>,
}

impl Listening {
    /// Hears all processes at once.
    pub fn to(mut processes: Vec<HollowProcess>) -> Self {
        let (sender, heard) = mpsc::channel(WAITING);
        let inputs = processes.iter_mut().map(|process| process.input.take()).collect();
        for process in processes {
            spawn_local(process.listen(sender.clone()));
        }
        Self { inputs, heard }
    }

    /// What comes next; none once all have ended.
    pub async fn next(&mut self) -> Option<Heard> {
        self.heard.recv().await
    }

    /// Has them tell what they measured up to now, and end.
    pub async fn end(&mut self) {
        let Ok(mut line) = serde_json::to_vec(&ToProcess::End) else { return };
        line.push(b'\n');
        for input in &mut self.inputs {
            // One that is gone says so itself.
            let _ = write(input, &line).await;
        }
    }
}
