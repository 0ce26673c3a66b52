//! The program: its commands, and the node, which is the decision module on sockets. Start-up, wiring, signals
//! and the exit code.
#![forbid(unsafe_code)]

mod check;
mod cli;
mod log;
mod members;
mod net {
    pub mod config;
    pub mod discovery;
    pub mod driver;
    pub mod lifecycle;
    pub mod peers;
    pub mod read_ahead;
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
use net::peers::Peering;
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

/// The exit code where a configuration, or a command line, is wrong.
const BAD_INPUT: u8 = 2;
/// Connections that the machine accepts ahead of the node.
const BACKLOG: u32 = 1024;

fn main() -> ExitCode {
    // With no command it is a node: a fleet that starts need not set up what reads a command line.
    let command = if std::env::args_os().len() > 1 { Cli::parse().command } else { None };
    let done = match command {
        None | Some(Command::Node) => node().map(|()| true),
        Some(Command::CheckConfig(check)) => check.run().map_err(Into::into),
        Some(Command::Members(members)) => members.run(),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BAD_INPUT),
        Err(error) => {
            for line in error.to_string().lines() {
                eprintln!("walkpick: {line}");
            }
            match error.downcast_ref::<ConfigError>() {
                Some(_) => ExitCode::from(BAD_INPUT),
                None => ExitCode::FAILURE,
            }
        }
    }
}

fn node() -> Result<(), Box<dyn Error>> {
    // A node has one core: one thread, and no locks between its parts.
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run())
}

async fn run() -> Result<(), Box<dyn Error>> {
    // First of all: a signal that comes while the node starts waits for it.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let lag_monitor = Rc::new(LagMonitor::start());
    let path = config::path(variable)?;
    // No log yet: its levels stand in the file.
    let config =
        retry(STARTUP_TIMEOUT, "reading the configuration", || config::load(&path, variable)).await?;
    let (most, longest_deadline) = (config.max_connections(), config.longest_deadline());
    let Config { name, listen, discovery, seed, known, settings, delivery, section, .. } = config;
    let limit = log::start(&section.log);
    let listener = retry(STARTUP_TIMEOUT, "listening for clients", || listen_on(listen)).await;
    let listener = listener.map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    info!(target: "node", "node {name} listens on {}", listener.local_addr()?);
    info!(target: "discovery", ?delivery, address = %discovery, known = known.hosts.len(), seq = known.seq, "lists come");
    let peering = match section.peers.listen {
        None => None,
        Some(listen) => {
            let (config, advertise) = (section.peers.peers_config(settings.nodes), section.peers.advertise);
            let location = section.peers.location();
            let opened = Peering::open(listen, advertise, config, &name, &location, false, seed).await;
            let opened = opened.map_err(|error| format!("cannot listen on {listen} for peers: {error}"))?;
            info!(target: "peers", address = %opened.address(), "node {name} meets its peers");
            Some(opened)
        }
    };

    // Unbounded, and bounded all the same by the connections: each has one request, or one attempt, in it.
    let (events, inputs) = mpsc::unbounded_channel();
    let (stages, stage) = watch::channel(Stage::Serving);
    let (moves, discovery) = watch::channel(discovery);
    let ready = Rc::default();
    let upstream = Rc::new(Upstream::new(most, settings.connect_timeout, settings.keepalive));
    // The driver only goes when the node does: nothing is lost by what it is told after that.
    let (sender, news) = (events.clone(), events.clone());
    let tell = Rc::new(move |word| drop(sender.send(Input::Client(word))));
    let frontend = Rc::new(Frontend::new(&settings, Rc::clone(&ready), lag_monitor.clone(), stage, tell));
    let seq = (!known.hosts.is_empty()).then_some(known.seq);
    let subscription = Subscription::new(delivery, seq, seed, Instant::now().into_std());
    let publish = move |listing| news.send(Input::Servers(listing)).is_ok();
    let watching = DiscoveryClient::new(discovery, subscription, publish);

    spawn_local(upstream.clone().sweep());
    spawn_local(watching.run());
    spawn_local(limit.clone().watch());
    spawn_local(reload(hangup, path, moves));
    let balancer = Balancer::new(settings, seed);
    spawn_local(Driver::new(balancer, upstream, ready, events.clone()).run(known, inputs));
    if let Some(peering) = peering {
        let events = events.clone();
        let tell = move |nodes| drop(events.send(Input::Nodes(nodes)));
        spawn_local(net::peers::run(peering, stages.subscribe(), tell));
    }
    let mut serving = spawn_local(serve(listener, frontend.clone(), most));

    let monitor = lag_monitor.clone();
    spawn_local(async move { monitor.run().await });

    terminate.recv().await;
    let (told, noticed) = (lag_monitor.earliest_signal_at(), Instant::now());
    let stop = ShutdownPlan::new(told, noticed, lag_monitor.recent_max_lag(), longest_deadline);
    info!(
        target: "node",
        closes_in_ms = ms_until(stop.close_at),
        gone_in_ms = ms_until(stop.exit_by),
        "node {name} is told to stop"
    );
    // The driver only goes when the node does.
    let _ = events.send(Input::Stopping { answer_by: stop.answer_by });
    stages.send_replace(Stage::NotReady);
    sleep_until(stop.close_at).await;
    stages.send_replace(Stage::Closing);
    let ended = match timeout_at(stop.exit_by, &mut serving).await {
        Ok(ended) => Some(ended),
        Err(_) => {
            // Whoever is owed an answer still gets it, unless the client does not read what it is sent.
            stages.send_replace(Stage::Exiting);
            timeout_at(stop.exit_deadline(Instant::now()), serving).await.ok()
        }
    };
    ended.transpose()?;
    let last = frontend.last_answer_at.get().filter(|last| *last >= told);
    let spare_ms = last.map(|last| (stop.kill_at - last).as_millis() as u64);
    info!(
        target: "node",
        before_kill_ms = ms_until(stop.kill_at),
        last_answer_before_kill_ms = spare_ms,
        "node {name} is gone"
    );
    limit.tell();
    Ok(())
}

/// Opens the socket for clients, also where connections of an earlier process are still closing.
fn listen_on(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

fn ms_until(then: Instant) -> u64 {
    then.saturating_duration_since(Instant::now()).as_millis() as u64
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// At each SIGHUP the configuration is read anew for where discovery is. A file that cannot be read, or does not say, may
/// be one that is just being replaced; where it stays so nothing changes, and the node goes on with what it has.
async fn reload(mut hangup: Signal, path: PathBuf, moves: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        let read = || config::reload_discovery(&path);
        match retry_while(RELOAD_TIMEOUT, "reading the configuration", |_| true, read).await {
            Ok(address) => {
                info!(target: "node", %address, "told to reload: this is where discovery is");
                // The whole list is asked for also where the address stays: another process may listen there.
                moves.send_replace(address);
            }
            Err(error) => warn!(target: "node", %error, "told to reload, and nothing changes"),
        }
    }
}
