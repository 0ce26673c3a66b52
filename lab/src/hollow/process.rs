//! A hollow process: many hollow nodes on one thread. It receives messages on standard input, sends its measurements on
//! standard output, and ends when either is closed.

use super::clock::Clock;
use super::meters::{queue_full, resident_bytes, Meters};
use super::network::Network;
use super::node::{HollowNode, NodeCommand, NodeState, Shared};
use super::protocol::{
    Begin, Event, EventKind, FromProcess, Micros, NodeToOpen, ProcessViews, Report, ToProcess,
};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{interval, sleep_until, MissedTickBehavior};

/// Interval between reports of the nodes' views.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);
/// View reports between two samples of CPU time and memory.
const VIEWS_PER_USAGE_SAMPLE: u64 = 10;

/// Failure that ends a process before the end of its run.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// A system call failed.
    #[error("{what}: {error}")]
    System {
        /// What the call was for.
        what: &'static str,
        /// The I/O error.
        error: io::Error,
    },
    /// A message of the lab could not be decoded.
    #[error("cannot decode a message of the lab: {0}")]
    Message(#[from] serde_json::Error),
    /// A message of the lab came out of order.
    #[error("unexpected message of the lab, expected: {expected}")]
    UnexpectedMessage {
        /// The expected message.
        expected: &'static str,
    },
}

fn system(what: &'static str) -> impl FnOnce(io::Error) -> ProcessError {
    move |error| ProcessError::System { what, error }
}

/// Serves the lab that started this process until the run or the lab ends.
pub fn serve() -> Result<(), ProcessError> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(system("cannot create the runtime"))?;
    let lines = read_lines();
    LocalSet::new().block_on(&runtime, serve_lines(lines))
}

/// The lines of standard input; the channel closes at its end.
fn read_lines() -> mpsc::UnboundedReceiver<String> {
    let (sender, receiver) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    receiver
}

async fn serve_lines(mut lines: mpsc::UnboundedReceiver<String>) -> Result<(), ProcessError> {
    // The lab has ended: there is nothing to do and nobody to report to.
    let Some(line) = lines.recv().await else { return Ok(()) };
    let ToProcess::Open { nodes } = serde_json::from_str(&line)? else {
        return Err(ProcessError::UnexpectedMessage { expected: "open" });
    };
    let sockets = open(&nodes).await.map_err(system("cannot open the nodes' sockets"))?;
    let addresses = sockets.iter().map(|socket| socket.local_addr()).collect::<io::Result<Vec<_>>>();
    send(&FromProcess::Opened { addresses: addresses.map_err(system("cannot read a socket's address"))? })?;
    let Some(line) = lines.recv().await else { return Ok(()) };
    let ToProcess::Begin(begin) = serde_json::from_str(&line)? else {
        return Err(ProcessError::UnexpectedMessage { expected: "begin" });
    };
    let run = Run::new(*begin, &nodes, sockets)?;
    let end = run.shared.clock.instant_at(run.shared.begin.end);
    let finished = tokio::select! {
        ended = run.run_events() => ended.map(|()| true),
        () = sleep_until(end) => Ok(true),
        // The lab asks for an early end, or has ended itself.
        line = lines.recv() => Ok(line.is_some()),
    };
    if finished? {
        send(&FromProcess::Report(Box::new(run.report())))?;
    }
    Ok(())
}

async fn open(nodes: &[NodeToOpen]) -> io::Result<Vec<Rc<UdpSocket>>> {
    let mut sockets = Vec::new();
    for node in nodes {
        sockets.push(Rc::new(UdpSocket::bind((node.address, 0)).await?));
    }
    Ok(sockets)
}

fn send(message: &FromProcess) -> Result<(), ProcessError> {
    let mut line = serde_json::to_vec(message)?;
    line.push(b'\n');
    let mut out = io::stdout().lock();
    out.write_all(&line).and_then(|()| out.flush()).map_err(system("cannot write to the lab"))
}

/// The part of a run that this process executes.
struct Run {
    shared: Rc<Shared>,
    commands: HashMap<usize, mpsc::UnboundedSender<NodeCommand>>,
    nodes: Vec<Rc<NodeState>>,
    memory_before: u64,
}

impl Run {
    fn new(begin: Begin, nodes: &[NodeToOpen], sockets: Vec<Rc<UdpSocket>>) -> Result<Self, ProcessError> {
        let clock = Clock::new(begin.origin);
        let stream = nodes.first().map_or(0, |node| node.node as u64);
        let advertised: Vec<SocketAddr> = begin.complete.iter().map(|node| node.advertise).collect();
        let addresses = begin.addresses.iter().chain(&advertised);
        let shared = Rc::new(Shared {
            by_address: addresses.enumerate().map(|(node, address)| (*address, node)).collect(),
            network: Network::new(&begin, clock, stream),
            meters: Meters::new().map_err(system("cannot create the histogram of lateness"))?,
            status_changes: RefCell::default(),
            published: RefCell::default(),
            clock,
            begin,
        });
        let mut run =
            Self { shared, commands: HashMap::new(), nodes: Vec::new(), memory_before: resident_bytes() };
        for (node, socket) in nodes.iter().zip(sockets) {
            let (sender, commands) = mpsc::unbounded_channel();
            let hollow = HollowNode::new(run.shared.clone(), node.node, socket, commands);
            run.nodes.push(hollow.state());
            run.commands.insert(node.node, sender);
            spawn_local(hollow.run());
        }
        Ok(run)
    }

    /// Executes the events of the schedule, and reports the nodes' views.
    async fn run_events(&self) -> Result<(), ProcessError> {
        let shared = self.shared.clone();
        spawn_local(async move {
            shared.network.deliver(|lateness| shared.meters.record_lateness(lateness)).await
        });
        let mut events = self.shared.begin.events.iter().peekable();
        let mut view_timer = interval(VIEW_INTERVAL);
        view_timer.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut ticks = 0;
        loop {
            let next = events.peek().map_or(Micros::MAX / 2, |event| event.at);
            tokio::select! {
                () = sleep_until(self.shared.clock.instant_at(next)), if events.peek().is_some() => {
                    if let Some(event) = events.next() {
                        self.shared.meters.record_lateness(self.shared.clock.now().saturating_sub(event.at));
                        self.apply_event(event);
                    }
                }
                _ = view_timer.tick() => {
                    self.send_views()?;
                    if ticks % VIEWS_PER_USAGE_SAMPLE == 0 {
                        self.shared.meters.sample_usage(self.shared.clock.now());
                    }
                    ticks += 1;
                }
            }
        }
    }

    fn apply_event(&self, event: &Event) {
        match event.kind {
            EventKind::Start(node) => self.send_command(node, NodeCommand::Start),
            EventKind::Kill(node) => self.send_command(node, NodeCommand::Kill),
            EventKind::Leave(node) => self.send_command(node, NodeCommand::Leave),
            EventKind::Cut(region) => self.shared.network.set_region_cut(region, true),
            EventKind::Heal(region) => self.shared.network.set_region_cut(region, false),
            EventKind::OpenPublisher(node) => self.send_command(node, NodeCommand::OpenPublisher),
            EventKind::PublishEntry { node, bytes } => {
                self.send_command(node, NodeCommand::PublishEntry(bytes))
            }
            EventKind::PublishState { node, bytes } => {
                self.send_command(node, NodeCommand::PublishState(bytes))
            }
        }
    }

    /// Sends a command to a node; does nothing if another process holds the node.
    fn send_command(&self, node: usize, command: NodeCommand) {
        if let Some(commands) = self.commands.get(&node) {
            // Nodes receive commands for as long as the process runs.
            let _ = commands.send(command);
        }
    }

    fn send_views(&self) -> Result<(), ProcessError> {
        let views = self.nodes.iter().filter_map(|node| node.view.get());
        send(&FromProcess::Views(ProcessViews::new(self.shared.clock.now(), views)))
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| self.shared.begin.addresses[node.node]).collect()
    }

    fn report(&self) -> Report {
        let shared = &self.shared;
        shared.meters.sample_usage(shared.clock.now());
        let (lateness_p99_us, lateness_max_us) = shared.meters.lateness_p99_and_max();
        let undelivered = shared.network.undelivered();
        Report {
            nodes: self.nodes.iter().map(|node| node.report()).collect(),
            status_changes: shared.status_changes.borrow().clone(),
            published: shared.published.borrow().clone(),
            usage: shared.meters.usage(),
            memory_before: self.memory_before,
            lateness_p99_us,
            lateness_max_us,
            lost: undelivered.lost,
            overflowed: undelivered.overflowed,
            refused: undelivered.refused,
            queue_full: queue_full(&self.addresses()),
        }
    }
}
