//! The nodes of a run: configuration, links and start.

use super::agent;
use super::lab::{Lab, Node, PeerEndpoint};
use super::link::{
    mesh, unique_loopback_address, Destination, Link, PeerImpairment, RelayListener, ReservedPort,
    ReservedUdpPort,
};
use super::process::{Process, ProcessError, ResourceUsage};
use super::PeerAddress;
use crate::draw::{self, Stream};
use crate::model::links::Impairment;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use tokio::sync::watch;
use walkpick::{DedupScope, Effect};

/// Number of nodes, from the first on, that serve as seeds for all.
const SEED_COUNT: usize = 3;
/// Descriptor limit of a node, as in the target deployment.
const MAX_SOCKETS: u32 = 1_024;

/// Creates the nodes with their links, without starting them.
pub fn create(lab: &Rc<Lab>) -> io::Result<()> {
    let count = lab.plan.experiment.deployment.nodes as usize;
    for i in 0..count {
        let (clients, discovery) = (new_link(lab, i, 1), new_link(lab, i, 2));
        let node = Node {
            name: format!("n{i}"),
            zone: lab.plan.node_zone(i),
            address: ReservedPort::tcp()?,
            config: lab.options.folder.join(format!("n{i}.json")),
            log: lab.options.folder.join(format!("n{i}.log")),
            process: None,
            incarnation: 0,
            usage: ResourceUsage::default(),
            ready: false,
            died: None,
            disturbed_until: 0,
            agent: open_agent(lab, i, &discovery)?,
            clients,
            discovery,
            servers: Vec::new(),
            peer_endpoint: None,
            updates: Vec::new(),
            update_count: watch::Sender::new(0),
            notified: HashMap::new(),
            clock_offset_s: 0.0,
            idle_connections: Vec::new(),
        };
        lab.state.borrow_mut().nodes.push(node);
    }
    lab.open_server_links()
}

/// Opens the datagram links between the nodes.
pub async fn connect_peers(lab: &Rc<Lab>) -> io::Result<()> {
    let count = lab.state.borrow().nodes.len();
    let address = unique_loopback_address();
    let own = (0..count).map(|_| ReservedUdpPort::new(address)).collect::<io::Result<Vec<_>>>()?;
    let weak_lab = Rc::downgrade(lab);
    let impairment: PeerImpairment = Rc::new(move |from, to| {
        let lab = weak_lab.upgrade();
        lab.map_or_else(Impairment::default, |lab| lab.state.borrow().links.between_peers(from, to))
    });
    let reached = mesh(own.iter().map(ReservedUdpPort::address).collect(), impairment, lab.plan.seed).await?;
    let state = &mut *lab.state.borrow_mut();
    for (node, (address, advertise)) in state.nodes.iter_mut().zip(own.into_iter().zip(reached)) {
        node.peer_endpoint = Some(PeerEndpoint { address, advertise });
    }
    Ok(())
}

/// Sends the addresses of the nodes to the holder of the external peers.
pub fn report_peer_addresses(lab: &Lab) {
    let Some(external) = &lab.options.external_peers else { return };
    let state = lab.state.borrow();
    let endpoint = state.nodes.iter().filter_map(|node| node.peer_endpoint.as_ref());
    let reached = endpoint
        .map(|endpoint| PeerAddress { advertise: endpoint.advertise, source: endpoint.address.address() });
    // The receiver may have been dropped; the run goes on without it.
    let _ = external.node_addresses.try_send(reached.collect());
}

fn new_link(lab: &Lab, node: usize, which: u64) -> Link {
    Link::new(draw::unit(lab.plan.seed, Stream::Network, (node as u64) << 8 | which | 1 << 50).to_bits())
}

fn open_agent(lab: &Rc<Lab>, node: usize, link: &Link) -> io::Result<RelayListener> {
    let weak_lab = Rc::downgrade(lab);
    let handler = move |stream| {
        if let Some(lab) = weak_lab.upgrade() {
            tokio::task::spawn_local(agent::connection(lab, node, stream));
        }
    };
    RelayListener::open(link, Destination::InProcess(Rc::new(handler)))
}

/// Starts a node with the server list that its agent currently holds.
pub fn start(lab: &Rc<Lab>, node: usize) -> Result<(), ProcessError> {
    let known = lab.state.borrow().discovery.known_entries(node);
    write_config(lab, node)?;
    // The node learns these entries from its configuration.
    lab.record_notified(node, &known);
    let state = &mut *lab.state.borrow_mut();
    let node = &mut state.nodes[node];
    node.incarnation += 1;
    let release = || node.peer_endpoint.iter().for_each(|endpoint| endpoint.address.release());
    node.process = Some(Process::start(
        &lab.options.lab_program,
        &lab.options.program,
        &node.config,
        &node.log,
        release,
    )?);
    Ok(())
}

fn write_config(lab: &Rc<Lab>, node: usize) -> Result<(), ProcessError> {
    let text = config(lab, node).to_string();
    let config = lab.state.borrow().nodes[node].config.clone();
    std::fs::write(&config, text).map_err(|error| ProcessError::Start { program: config, error })
}

/// Moves the discovery agent of a node to another address and rewrites the node's configuration.
pub fn move_agent(lab: &Rc<Lab>, node: usize) -> io::Result<()> {
    let new = new_link(lab, node, 3);
    let agent = open_agent(lab, node, &new)?;
    {
        let state = &mut *lab.state.borrow_mut();
        let held = &mut state.nodes[node];
        held.discovery.update(|now| now.down = true);
        (held.discovery, held.agent) = (new, agent);
    }
    write_config(lab, node).map_err(io::Error::other)
}

fn config(lab: &Rc<Lab>, node: usize) -> Value {
    let known = agent::initial_list(lab, node);
    let state = lab.state.borrow();
    let held = &state.nodes[node];
    let seed = lab.plan.node_seed(node, held.incarnation);
    let mut config = json!({
        "name": held.name, "listen": held.address.address().to_string(), "seed": format!("{seed:016x}"),
        "discovery": held.agent.address().to_string(), "known": known,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": MAX_SOCKETS},
        "settings": settings(lab, held),
    });
    if let Some(endpoint) = &held.peer_endpoint {
        let external = lab.options.external_peers.iter().flat_map(|external| &external.seeds);
        let seeds = state
            .nodes
            .iter()
            .take(SEED_COUNT)
            .filter_map(|node| Some(node.peer_endpoint.as_ref()?.advertise.to_string()))
            .chain(external.map(ToString::to_string));
        config["walkpick"] = json!({"peers": {
            "listen": endpoint.address.address().to_string(), "advertise": endpoint.advertise.to_string(),
            "seeds": seeds.collect::<Vec<_>>(), "cluster": "lab",
        }, "log": {"format": "json"}});
        if let Some(external) = &lab.options.external_peers {
            let time = |time| humantime::format_duration(time).to_string();
            let peers = &mut config["walkpick"]["peers"];
            peers["region"] = external.location.region.clone().into();
            peers["zone"] = external.location.zone.clone().into();
            peers["probe_every"] = time(external.probe_every).into();
            peers["probe_timeout"] = time(external.probe_timeout).into();
            if external.dissemination {
                peers["dissemination"] = "on".into();
                config["walkpick"]["log"]["levels"] = json!({"peers": "debug"});
            }
        }
    }
    config
}

fn settings(lab: &Lab, node: &Node) -> Value {
    let plan = &lab.plan;
    let us = |time: std::time::Duration| time.as_micros() as u64;
    let lanes: Vec<_> = plan
        .settings
        .classes
        .iter()
        .map(|class| {
            let (effect, scope, window) = match class.effect {
                Effect::Safe => ("safe", DedupScope::All, 0),
                Effect::Unsafe => ("unsafe", DedupScope::All, 0),
                Effect::Keyed { scope, window } => ("keyed", scope, us(window)),
            };
            let scope = match scope {
                DedupScope::All => "all",
                DedupScope::Zone => "zone",
                DedupScope::Cell => "cell",
            };
            json!({"name": class.name.as_str(), "effect": effect, "dedup_scope": scope, "repeat_window_us": window,
                   "promise_us": us(class.latency_target), "hard_limit_us": us(class.deadline), "worth": class.worth,
                   "late_value": class.late_worth})
        })
        .collect();
    let zones: Vec<_> = plan.zones.iter().map(|zone| zone.as_str()).collect();
    let (known, reports) = (&plan.settings, plan.experiment.deployment.reports);
    json!({
        "az": zones[node.zone], "zones": zones, "balancers": known.nodes, "membership_mode": "automatic",
        "lanes": lanes, "orgs": [], "weights": "live", "tick_us": 5_000,
        "report": {"fields": ["util", "queue"], "source": if reports { "answers" } else { "none" }},
        "limits": {"cancelling": known.cancelling, "probing": known.probing, "second_copies": known.hedging,
                   "most_tries": known.max_attempts, "retry_after": true,
                   "max_retry_after_us": us(known.max_retry_after),
                   "connect_timeout_us": us(known.connect_timeout), "keepalive_us": us(known.keepalive)},
        "safety": {"cold_share": known.cold_share, "warm_within_us": us(known.warm_within),
                   "fall_multiple": known.overload_multiple, "fall_us": us(known.overload_window),
                   "grace_to_answer_us": 20_000, "stop_sending_within_us": 250_000},
    })
}

impl Node {
    /// Adds the resource usage of the current process; must be called before the process ends.
    pub fn accumulate_usage(&mut self) {
        if let Some(used) = self.process.as_ref().and_then(Process::usage) {
            self.usage.cpu_s += used.cpu_s;
            self.usage.memory_mb = self.usage.memory_mb.max(used.memory_mb);
        }
    }
}
