//! A hollow process: many hollow nodes on one thread. It is told what to do on its standard input, tells what it measured
//! on its standard output, and ends when either is closed.

use super::clock::Clock;
use super::meters::{memory, queue_full, Meters};
use super::network::Network;
use super::node::{HollowNode, Order, Seen, Shared};
use super::protocol::{
    Begin, Event, FromProcess, Happening, Micros, NodeToOpen, Report, ToProcess, ViewsOfProcess,
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

/// How often the views of its nodes are told.
const LOOK: Duration = Duration::from_millis(100);
/// Looks between two notes of processor time and memory.
const LOOKS_PER_USAGE: u64 = 10;

/// Why a process ends before its run is over.
#[derive(Debug, Error)]
pub enum ProcessFault {
    /// The system refused something.
    #[error("{what}: {error}")]
    System {
        /// What was tried.
        what: &'static str,
        /// Why it failed.
        error: io::Error,
    },
    /// The lab sent what it does not understand.
    #[error("a message of the lab cannot be read: {0}")]
    Message(#[from] serde_json::Error),
    /// The lab sent something out of turn.
    #[error("a message of the lab came out of turn, expected: {expected}")]
    OutOfTurn {
        /// What was expected.
        expected: &'static str,
    },
}

fn system(what: &'static str) -> impl FnOnce(io::Error) -> ProcessFault {
    move |error| ProcessFault::System { what, error }
}

/// Serves the lab that started this process, to the end of the run or of the lab.
pub fn serve() -> Result<(), ProcessFault> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().map_err(system("a runtime"))?;
    let lines = read_lines();
    LocalSet::new().block_on(&runtime, serve_lines(lines))
}

/// The lines of the standard input; the channel closes with it.
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

async fn serve_lines(mut lines: mpsc::UnboundedReceiver<String>) -> Result<(), ProcessFault> {
    // Without a word of the lab there is nothing to do, and nobody to tell.
    let Some(line) = lines.recv().await else { return Ok(()) };
    let ToProcess::Open { nodes } = serde_json::from_str(&line)? else {
        return Err(ProcessFault::OutOfTurn { expected: "open" });
    };
    let sockets = open(&nodes).await.map_err(system("the nodes' sockets"))?;
    let addresses = sockets.iter().map(|socket| socket.local_addr()).collect::<io::Result<Vec<_>>>();
    say(&FromProcess::Opened { addresses: addresses.map_err(system("a socket's address"))? })?;
    let Some(line) = lines.recv().await else { return Ok(()) };
    let ToProcess::Begin(begin) = serde_json::from_str(&line)? else {
        return Err(ProcessFault::OutOfTurn { expected: "begin" });
    };
    let run = Run::new(*begin, &nodes, sockets)?;
    let end = run.shared.clock.moment(run.shared.begin.end);
    let over = tokio::select! {
        ended = run.go() => ended.map(|()| true),
        () = sleep_until(end) => Ok(true),
        // The lab has seen enough, or is gone.
        line = lines.recv() => Ok(line.is_some()),
    };
    if over? {
        say(&FromProcess::Report(Box::new(run.report())))?;
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

fn say(message: &FromProcess) -> Result<(), ProcessFault> {
    let mut line = serde_json::to_vec(message)?;
    line.push(b'\n');
    let mut out = io::stdout().lock();
    out.write_all(&line).and_then(|()| out.flush()).map_err(system("a word to the lab"))
}

/// A run as this process has it.
struct Run {
    shared: Rc<Shared>,
    orders: HashMap<usize, mpsc::UnboundedSender<Order>>,
    seen: Vec<Rc<Seen>>,
    memory_before: u64,
}

impl Run {
    fn new(begin: Begin, nodes: &[NodeToOpen], sockets: Vec<Rc<UdpSocket>>) -> Result<Self, ProcessFault> {
        let clock = Clock::new(begin.origin);
        let draws = nodes.first().map_or(0, |node| node.node as u64);
        let advertised: Vec<SocketAddr> = begin.complete.iter().map(|node| node.advertise).collect();
        let reached = begin.addresses.iter().chain(&advertised);
        let shared = Rc::new(Shared {
            by_address: reached.enumerate().map(|(node, address)| (*address, node)).collect(),
            network: Network::new(&begin, clock, draws),
            meters: Meters::new().map_err(system("a histogram"))?,
            words: RefCell::default(),
            published: RefCell::default(),
            clock,
            begin,
        });
        let mut run = Self { shared, orders: HashMap::new(), seen: Vec::new(), memory_before: memory() };
        for (node, socket) in nodes.iter().zip(sockets) {
            let (sender, orders) = mpsc::unbounded_channel();
            let hollow = HollowNode::new(run.shared.clone(), node.node, socket, orders);
            run.seen.push(hollow.seen());
            run.orders.insert(node.node, sender);
            spawn_local(hollow.run());
        }
        Ok(run)
    }

    /// Runs the schedule, and tells what the nodes see.
    async fn go(&self) -> Result<(), ProcessFault> {
        let held = self.shared.clone();
        spawn_local(async move { held.network.deliver(|late| held.meters.late(late)).await });
        let mut events = self.shared.begin.events.iter().peekable();
        let mut look = interval(LOOK);
        look.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut looks = 0;
        loop {
            let next = events.peek().map_or(Micros::MAX / 2, |event| event.at);
            tokio::select! {
                () = sleep_until(self.shared.clock.moment(next)), if events.peek().is_some() => {
                    if let Some(event) = events.next() {
                        self.shared.meters.late(self.shared.clock.now().saturating_sub(event.at));
                        self.happen(event);
                    }
                }
                _ = look.tick() => {
                    self.tell_views()?;
                    if looks % LOOKS_PER_USAGE == 0 {
                        self.shared.meters.look(self.shared.clock.now());
                    }
                    looks += 1;
                }
            }
        }
    }

    fn happen(&self, event: &Event) {
        match event.what {
            Happening::Start(node) => self.order(node, Order::Start),
            Happening::Kill(node) => self.order(node, Order::Kill),
            Happening::Leave(node) => self.order(node, Order::Leave),
            Happening::Cut(region) => self.shared.network.cut(region, true),
            Happening::Heal(region) => self.shared.network.cut(region, false),
            Happening::OpenPublisher(node) => self.order(node, Order::OpenPublisher),
            Happening::PublishEntry { node, bytes } => self.order(node, Order::PublishEntry(bytes)),
            Happening::PublishState { node, bytes } => self.order(node, Order::PublishState(bytes)),
        }
    }

    /// Orders of nodes that other processes hold are not this one's.
    fn order(&self, node: usize, order: Order) {
        if let Some(orders) = self.orders.get(&node) {
            // Nodes take orders for as long as the process runs.
            let _ = orders.send(order);
        }
    }

    fn tell_views(&self) -> Result<(), ProcessFault> {
        let views = self.seen.iter().filter_map(|seen| seen.view.get());
        say(&FromProcess::Views(ViewsOfProcess::new(self.shared.clock.now(), views)))
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.seen.iter().map(|seen| self.shared.begin.addresses[seen.node]).collect()
    }

    fn report(&self) -> Report {
        let shared = &self.shared;
        shared.meters.look(shared.clock.now());
        let (late_p99, late_most) = shared.meters.lateness();
        let undelivered = shared.network.undelivered();
        Report {
            nodes: self.seen.iter().map(|seen| seen.report()).collect(),
            words: shared.words.borrow().clone(),
            published: shared.published.borrow().clone(),
            usage: shared.meters.usage(),
            memory_before: self.memory_before,
            late_p99,
            late_most,
            lost: undelivered.lost,
            not_carried: undelivered.not_carried,
            refused: undelivered.refused,
            queue_full: queue_full(&self.addresses()),
        }
    }
}
