//! The program: its commands, and the node, which runs the decision module on sockets. Start-up, wiring,
//! signals and exit codes.
#![forbid(unsafe_code)]

mod check;
mod cli;
mod log;
mod members;
mod net {
    pub mod body;
    pub mod config;
    pub mod discovery;
    pub mod driver;
    pub mod lifecycle;
    pub mod memory;
    pub mod peers;
    pub mod read_ahead;
    pub mod resources;
    pub mod server;
    pub mod stream;
    pub mod transient;
    pub mod upstream;
    pub mod watched;
}

use clap::Parser;
use cli::{Cli, Command};
use net::config::fault::ConfigError;
use net::config::{self, Config};
use net::discovery::DiscoveryClient;
use net::driver::{Driver, Input};
use net::lifecycle::{LagMonitor, ShutdownPlan, Stage};
use net::memory::Memory;
use net::peers::PeerSocket;
use net::resources::ResourceMonitor;
use net::server::{serve, Frontend};
use net::transient::{retry, retry_while, RELOAD_TIMEOUT, STARTUP_TIMEOUT};
use net::upstream::Upstream;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep_until, timeout_at, Instant};
use tracing::{info, warn};
use walkpick::policy::subscription::Subscription;
use walkpick::Balancer;

/// Exit code for an invalid configuration or command line.
const EXIT_INVALID_INPUT: u8 = 2;
/// Length of the listener's accept backlog.
const ACCEPT_BACKLOG: u32 = 1024;

fn main() -> ExitCode {
    // Without arguments the program is a node, and skips setting up the command line parser: many nodes may
    // start at the same time.
    let command = if std::env::args_os().len() > 1 { Cli::parse().command } else { None };
    let result = match command {
        None | Some(Command::Node) => node().map(|()| true),
        Some(Command::CheckConfig(check)) => check.run().map_err(Into::into),
        Some(Command::Members(members)) => members.run(),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_INVALID_INPUT),
        Err(error) => {
            for line in error.to_string().lines() {
                eprintln!("walkpick: {line}");
            }
            match error.downcast_ref::<ConfigError>() {
                Some(_) => ExitCode::from(EXIT_INVALID_INPUT),
                None => ExitCode::FAILURE,
            }
        }
    }
}

fn node() -> Result<(), Box<dyn Error>> {
    // A node has one core, so one thread is enough, and its parts need no locks.
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run())
}

async fn run() -> Result<(), Box<dyn Error>> {
    // Registered first, so that a signal sent during the start is not lost.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let lag_monitor = Rc::new(LagMonitor::start());
    let path = config::path(variable)?;
    // There is no log yet: its settings are in the file.
    let config =
        retry(STARTUP_TIMEOUT, "reading the configuration", || config::load(&path, variable)).await?;
    let max_client_connections = config.max_client_connections();
    let max_server_connections = config.max_server_connections();
    let longest_deadline = config.longest_deadline();
    let Config { name, listen, discovery, seed, memory_bytes, known, settings, delivery, section, .. } =
        config;
    let limiter = log::start(&section.log);
    let listener = retry(STARTUP_TIMEOUT, "listening for clients", || listen_on(listen)).await;
    let listener = listener.map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    info!(target: "node", "node {name} listens on {}", listener.local_addr()?);
    info!(target: "discovery", ?delivery, address = %discovery, known = known.hosts.len(), seq = known.seq, "receiving server lists");
    let peer_socket = match section.peers.listen {
        None => None,
        Some(listen) => {
            let (config, advertise) = (section.peers.peers_config(settings.nodes), section.peers.advertise);
            let location = section.peers.location();
            let socket = PeerSocket::open(listen, advertise, config, &name, &location, false, seed).await;
            let socket = socket.map_err(|error| format!("cannot listen on {listen} for peers: {error}"))?;
            info!(target: "peers", address = %socket.address(), "node {name} listens for peers");
            Some(socket)
        }
    };

    // The channel is unbounded, but limited by the number of connections: each has at most one request or
    // attempt.
    let (events, inputs) = mpsc::unbounded_channel();
    let (stages, stage) = watch::channel(Stage::Serving);
    let (address_changes, discovery) = watch::channel(discovery);
    let ready = Rc::default();
    let memory = Memory::new(memory_bytes);
    let upstream = Rc::new(Upstream::new(
        max_server_connections,
        settings.connect_timeout,
        settings.keepalive,
        memory.clone(),
    ));
    // The driver lives as long as the node: events sent after it has ended do not matter.
    let (client_events, lists) = (events.clone(), events.clone());
    let on_client_event = Rc::new(move |event| drop(client_events.send(Input::Client(event))));
    let frontend = Rc::new(Frontend::new(
        &settings,
        Rc::clone(&ready),
        lag_monitor.clone(),
        stage,
        on_client_event,
        memory,
        Rc::new({
            let upstream = upstream.clone();
            move || upstream.close_longest_idle()
        }),
    ));
    let seq = (!known.hosts.is_empty()).then_some(known.seq);
    let subscription = Subscription::new(delivery, seq, seed, Instant::now().into_std());
    let publish = move |listing| lists.send(Input::Servers(listing)).is_ok();
    let discovery_client = DiscoveryClient::new(discovery, subscription, publish);

    let resources = Rc::new(ResourceMonitor::new(memory_bytes, frontend.clone(), upstream.clone()));
    spawn_local(resources.clone().run());
    spawn_local(upstream.clone().sweep());
    spawn_local(discovery_client.run());
    spawn_local(limiter.clone().run());
    spawn_local(reload(hangup, path, address_changes));
    let balancer = Balancer::new(settings, seed);
    spawn_local(Driver::new(balancer, upstream, ready, events.clone()).run(known, inputs));
    if let Some(peer_socket) = peer_socket {
        let events = events.clone();
        let on_node_count = move |nodes| drop(events.send(Input::Nodes(nodes)));
        spawn_local(net::peers::run(peer_socket, stages.subscribe(), on_node_count));
    }
    let mut serving = spawn_local(serve(listener, frontend.clone(), max_client_connections));

    let monitor = lag_monitor.clone();
    spawn_local(async move { monitor.run().await });

    terminate.recv().await;
    let (signalled_at, now) = (lag_monitor.earliest_signal_at(), Instant::now());
    let shutdown = ShutdownPlan::new(signalled_at, now, lag_monitor.recent_max_lag(), longest_deadline);
    info!(
        target: "node",
        closes_in_ms = ms_until(shutdown.close_at),
        gone_in_ms = ms_until(shutdown.exit_by),
        "node {name} is told to stop"
    );
    // The driver lives as long as the node.
    let _ = events.send(Input::ShuttingDown { answer_by: shutdown.answer_by });
    stages.send_replace(Stage::NotReady);
    sleep_until(shutdown.close_at).await;
    stages.send_replace(Stage::Closing);
    let served = match timeout_at(shutdown.exit_by, &mut serving).await {
        Ok(result) => Some(result),
        Err(_) => {
            // Clients that are owed an answer still get it, unless they do not read it.
            stages.send_replace(Stage::Exiting);
            timeout_at(shutdown.exit_deadline(Instant::now()), serving).await.ok()
        }
    };
    served.transpose()?;
    let last = frontend.last_answer_at.get().filter(|last| *last >= signalled_at);
    let spare_ms = last.map(|last| (shutdown.kill_at - last).as_millis() as u64);
    info!(
        target: "node",
        before_kill_ms = ms_until(shutdown.kill_at),
        last_answer_before_kill_ms = spare_ms,
        "node {name} is gone"
    );
    resources.report();
    limiter.report();
    Ok(())
}

/// Opens the socket for clients, even while connections of an earlier process are still closing.
fn listen_on(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

fn ms_until(then: Instant) -> u64 {
    then.saturating_duration_since(Instant::now()).as_millis() as u64
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Rereads discovery's address from the configuration on each SIGHUP. A file that cannot be read, or is
/// invalid, may be in the middle of being replaced, so it is retried; if that does not help, the node keeps
/// the current address.
async fn reload(mut hangup: Signal, path: PathBuf, address_changes: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        let read_address = || config::reload_discovery(&path);
        match retry_while(RELOAD_TIMEOUT, "reading the configuration", |_| true, read_address).await {
            Ok(address) => {
                info!(target: "node", %address, "told to reload; discovery is at this address");
                // The full list is requested even if the address is the same: another process may listen
                // there.
                address_changes.send_replace(address);
            }
            Err(error) => {
                warn!(target: "node", %error, "told to reload, but the configuration is unusable; keeping the current discovery address")
            }
        }
    }
}
