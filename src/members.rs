//! `walkpick members`: observes a cluster without being counted as a node, and prints its view.

use crate::net::peers::PeerSocket;
use clap::Args;
use serde_json::json;
use std::error::Error;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::runtime;
use tokio::time::{sleep_until, Instant};
use walkpick::peers::{Agreement, Location, PeerStatus, PeersConfig, View};

#[derive(Debug, Args)]
pub struct Members {
    /// Address of a node of the cluster; may be given more than once
    #[arg(long, required = true)]
    seed: Vec<SocketAddr>,
    /// Name of the cluster
    #[arg(long, default_value = "walkpick")]
    cluster: String,
    /// Address to listen on for answers; the nodes must be able to reach it
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Maximum time to observe the cluster
    #[arg(long, default_value = "5s", value_parser = humantime::parse_duration)]
    within: Duration,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// How long views must agree before the result is printed, so that late changes are included.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

impl Members {
    /// Prints the view. Returns `false` if no node answered or the views differ.
    pub fn run(self) -> Result<bool, Box<dyn Error>> {
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let view = runtime.block_on(self.observe())?;
        let mut out = io::stdout().lock();
        match self.json {
            true => writeln!(out, "{:#}", json!(view))?,
            false => write!(out, "{}", text(&view))?,
        }
        Ok(view.nodes > 0 && view.agreement == Agreement::Agreed)
    }

    async fn observe(&self) -> io::Result<View> {
        let config =
            PeersConfig { cluster: self.cluster.clone(), seeds: self.seed.clone(), ..PeersConfig::default() };
        let name = format!("observer-{}", std::process::id());
        let (location, seed) = (Location::default(), fastrand::u64(..));
        let mut peer_socket =
            PeerSocket::open(self.listen, None, config, &name, &location, true, seed).await?;
        let (end, mut outputs) = (Instant::now() + self.within, Vec::new());
        loop {
            let timed_out = tokio::select! {
                () = peer_socket.step(&mut outputs) => false,
                () = sleep_until(end) => true,
            };
            let view = peer_socket.peers().view(peer_socket.now());
            let settled = view.agreement == Agreement::Agreed
                && view.nodes > 0
                && u128::from(view.agreement_age_us) >= SETTLE_TIME.as_micros();
            if timed_out || settled {
                peer_socket.leave(&mut outputs);
                return Ok(view);
            }
        }
    }
}

fn text(view: &View) -> String {
    let seconds =
        |micros: u64| humantime::format_duration(Duration::from_secs(micros / 1_000_000)).to_string();
    let mut lines = vec![format!("{:16} {:22} {:10} {}", "node", "address", "status", "for")];
    for seen in view.peers.iter().filter(|seen| !seen.peer.observer) {
        let status = match seen.status {
            PeerStatus::Present => "present",
            PeerStatus::Suspected => "suspected",
            PeerStatus::Left => "left",
            PeerStatus::Lost => "lost",
        };
        let address = seen.peer.address.to_string();
        lines.push(format!("{:16} {address:22} {status:10} {}", seen.peer.name, seconds(seen.status_age_us)));
    }
    let agreement = match view.agreement {
        Agreement::Agreed => "views agree",
        Agreement::Converging => "views differ, or peers are suspected",
        Agreement::Split => "views are split",
    };
    lines.push(format!("{} nodes present; {agreement}", view.nodes));
    for (digest, addresses) in &view.differing {
        let named: Vec<_> = addresses.iter().map(SocketAddr::to_string).collect();
        lines.push(format!("another view ({digest:016x}): {}", named.join(", ")));
    }
    lines.join("\n") + "\n"
}
