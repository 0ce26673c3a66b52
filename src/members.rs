//! `walkpick members`: looks on at a cluster, counted by nobody, and prints what it sees.

use crate::net::peers::Peering;
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
    /// Where a node of the cluster is reached; may be given more than once
    #[arg(long, required = true)]
    seed: Vec<SocketAddr>,
    /// The cluster's name
    #[arg(long, default_value = "walkpick")]
    cluster: String,
    /// Where to listen for answers; nodes must reach it
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// How long to look on at the most
    #[arg(long, default_value = "5s", value_parser = humantime::parse_duration)]
    within: Duration,
    /// Write JSON
    #[arg(long)]
    json: bool,
}

/// Views that agree are looked at for so long, so that what comes by and by is there.
const SETTLES: Duration = Duration::from_millis(1_500);

impl Members {
    /// Writes what it sees. `false` where nobody answered, or views differ.
    pub fn run(self) -> Result<bool, Box<dyn Error>> {
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let view = runtime.block_on(self.look())?;
        let mut out = io::stdout().lock();
        match self.json {
            true => writeln!(out, "{:#}", json!(view))?,
            false => write!(out, "{}", text(&view))?,
        }
        Ok(view.nodes > 0 && view.agreement == Agreement::Agreed)
    }

    async fn look(&self) -> io::Result<View> {
        let config =
            PeersConfig { cluster: self.cluster.clone(), seeds: self.seed.clone(), ..PeersConfig::default() };
        let name = format!("observer-{}", std::process::id());
        let (nowhere, seed) = (Location::default(), fastrand::u64(..));
        let mut peering = Peering::open(self.listen, None, config, &name, &nowhere, true, seed).await?;
        let (end, mut told) = (Instant::now() + self.within, Vec::new());
        loop {
            let over = tokio::select! {
                () = peering.step(&mut told) => false,
                () = sleep_until(end) => true,
            };
            let view = peering.peers().view(peering.now());
            let settled = view.agreement == Agreement::Agreed
                && view.nodes > 0
                && u128::from(view.agreement_age_us) >= SETTLES.as_micros();
            if over || settled {
                peering.leave(&mut told);
                return Ok(view);
            }
        }
    }
}

fn text(view: &View) -> String {
    let seconds =
        |micros: u64| humantime::format_duration(Duration::from_secs(micros / 1_000_000)).to_string();
    let mut lines = vec![format!("{:16} {:22} {:10} {}", "node", "address", "", "seen so for")];
    for seen in view.peers.iter().filter(|seen| !seen.peer.observer) {
        let standing = match seen.status {
            PeerStatus::Present => "present",
            PeerStatus::Suspected => "suspected",
            PeerStatus::Left => "left",
            PeerStatus::Lost => "lost",
        };
        let address = seen.peer.address.to_string();
        lines.push(format!(
            "{:16} {address:22} {standing:10} {}",
            seen.peer.name,
            seconds(seen.status_age_us)
        ));
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
