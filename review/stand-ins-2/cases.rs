//! The cases, one module each, and what they share.

mod cold_join;
mod crowded_out;
mod long_messages;
mod minute_rest;
mod quick_reloads;

use crate::cache_server::{CacheServer, SentIds, Work};
use crate::discovery::Discovery;
use crate::node::{Node, NodeConfig};
use crate::record::Record;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Whether the rule held, with what was seen.
pub enum Verdict {
    Held(String),
    Broken(String),
}

impl Verdict {
    /// The rule was broken if there are findings.
    fn from_findings(findings: &[String], held: String) -> Self {
        match findings {
            [] => Self::Held(held),
            _ => Self::Broken(findings.join("; ")),
        }
    }
}

/// How a case is played.
pub struct Case {
    /// The deploy file's command for a node.
    pub run: String,
    /// An empty temporary folder.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
    pub record: Record,
}

impl Case {
    /// Plays the case with this name.
    pub fn play(&self, name: &str) -> io::Result<Verdict> {
        match name {
            "cold-join" => cold_join::play(self),
            "crowded-out" => crowded_out::play(self),
            "long-messages" => long_messages::play(self),
            "minute-rest" => minute_rest::play(self),
            "quick-reloads" => quick_reloads::play(self),
            _ => Err(io::Error::other(format!("there is no case {name}"))),
        }
    }

    /// Starts a node that knows what this discovery lists, and waits until it is ready.
    fn start_node(
        &self,
        discovery: &Discovery,
        address: SocketAddr,
        deployment: Deployment,
    ) -> io::Result<Node> {
        let Deployment { membership_mode, weights, memory_mb, sockets } = deployment;
        let (settings, known) = (settings(membership_mode, weights), discovery.whole_list());
        let config = NodeConfig { memory_mb, sockets, settings, known };
        let mut node = Node::start(&self.run, &self.folder, address, config, &self.record)?;
        node.wait_until_ready()?;
        Ok(node)
    }
}

/// What differs between the deployments of the cases.
struct Deployment {
    /// `automatic` or `subscribe`.
    membership_mode: &'static str,
    /// `nominal` or `live`.
    weights: &'static str,
    memory_mb: u32,
    sockets: u32,
}

/// Starts some cache servers and lists them.
fn start_servers(
    count: usize,
    work: Work,
    discovery: &Discovery,
    sent_ids: &SentIds,
    record: &Record,
) -> io::Result<Vec<CacheServer>> {
    let start = |number: usize| {
        let server = CacheServer::start(&format!("s-{number}"), work, sent_ids, record)?;
        discovery.add(&server, 0);
        Ok(server)
    };
    (0..count).map(start).collect()
}

/// Settings of a small deployment: one node, one zone, a class of reads and one that must not run twice.
fn settings(membership_mode: &str, weights: &str) -> String {
    format!(
        r#"{{"az":"a","zones":["a"],"balancers":1,"stage":0,"tiers":["cache-fleet"],"shapes":["m2"],
  "weights":"{weights}","value_by":"request","membership_mode":"{membership_mode}",
  "family":"cache","family_info":{{"mode":"through"}},
  "lanes":[
    {{"name":"read","effect":"safe","promise_us":500000,"hard_limit_us":2000000,"worth":1.0}},
    {{"name":"catalogue","effect":"safe","promise_us":1200000,"hard_limit_us":4000000,"worth":1.0}},
    {{"name":"plan-change","effect":"keyed","dedup_scope":"all","repeat_window_us":3000000,
      "promise_us":1500000,"hard_limit_us":5000000,"worth":2.0}},
    {{"name":"charge","effect":"unsafe","promise_us":1200000,"hard_limit_us":3000000,"worth":8.0}}],
  "limits":{{"cancelling":true,"connect_timeout_us":200000,"keepalive_us":15000000,"most_tries":5,
    "probing":false,"second_copies":false,"streams_per_conn":1,"max_retry_after_us":2000000}},
  "safety":{{"ask_within_us":10000000,"cold_share":0.15,"fall_multiple":3.0,"fall_us":1500000,
    "grace_to_answer_us":20000,"stop_sending_within_us":250000,"warm_within_us":23000000}}}}"#
    )
}
