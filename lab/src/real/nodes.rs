//! The nodes of a run: their folder, configuration, links, start and end.

use super::agent;
use super::lab::{Lab, Meets, Node};
use super::link::{mesh, own_address, Door, Far, Link, Reserved, ReservedDatagrams, WayOf};
use super::process::{Process, ProcessError, Used};
use super::Reached;
use crate::draw::{self, Stream};
use crate::model::links::Impairment;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use tokio::sync::watch;
use walkpick::{DedupScope, Effect};

/// The first nodes are everybody's seeds.
const SEEDS: usize = 3;
/// Descriptors of a node, as on the scored days.
const SOCKETS: u32 = 1_024;

/// Puts the nodes in place, each with links of its own; none is started.
pub fn place(lab: &Rc<Lab>) -> io::Result<()> {
    let count = lab.plan.experiment.deployment.nodes as usize;
    for i in 0..count {
        let (clients, discovery) = (link(lab, i, 1), link(lab, i, 2));
        let node = Node {
            name: format!("n{i}"),
            zone: lab.plan.node_zone(i),
            address: Reserved::tcp()?,
            config: lab.options.folder.join(format!("n{i}.json")),
            log: lab.options.folder.join(format!("n{i}.log")),
            process: None,
            life: 0,
            used: Used::default(),
            ready: false,
            died: None,
            troubled: 0,
            agent: open_agent(lab, i, &discovery)?,
            clients,
            discovery,
            servers: Vec::new(),
            meets: None,
            heard: Vec::new(),
            news: watch::Sender::new(0),
            told: HashMap::new(),
            clock_s: 0.0,
            idle: Vec::new(),
        };
        lab.state.borrow_mut().nodes.push(node);
    }
    lab.open_doors()
}

/// Lays the links between nodes, where they meet their peers.
pub async fn meet(lab: &Rc<Lab>) -> io::Result<()> {
    let count = lab.state.borrow().nodes.len();
    let address = own_address();
    let own = (0..count).map(|_| ReservedDatagrams::new(address)).collect::<io::Result<Vec<_>>>()?;
    let held = Rc::downgrade(lab);
    let ways: WayOf = Rc::new(move |one, two| {
        let lab = held.upgrade();
        lab.map_or_else(Impairment::default, |lab| lab.state.borrow().links.between_peers(one, two))
    });
    let reached = mesh(own.iter().map(ReservedDatagrams::address).collect(), ways, lab.plan.seed).await?;
    let state = &mut *lab.state.borrow_mut();
    for (node, (address, advertise)) in state.nodes.iter_mut().zip(own.into_iter().zip(reached)) {
        node.meets = Some(Meets { address, advertise });
    }
    Ok(())
}

/// Tells those who hold further peers where the nodes are.
pub fn tell_company(lab: &Lab) {
    let Some(company) = &lab.options.company else { return };
    let state = lab.state.borrow();
    let meets = state.nodes.iter().filter_map(|node| node.meets.as_ref());
    let reached = meets.map(|meets| Reached { advertise: meets.advertise, source: meets.address.address() });
    // Whoever asked may have gone; the nodes' run is not theirs alone.
    let _ = company.nodes.try_send(reached.collect());
}

fn link(lab: &Lab, node: usize, which: u64) -> Link {
    Link::new(draw::unit(lab.plan.seed, Stream::Network, (node as u64) << 8 | which | 1 << 50).to_bits())
}

fn open_agent(lab: &Rc<Lab>, node: usize, link: &Link) -> io::Result<Door> {
    let held = Rc::downgrade(lab);
    let take = move |stream| {
        if let Some(lab) = held.upgrade() {
            tokio::task::spawn_local(agent::connection(lab, node, stream));
        }
    };
    Door::open(link, Far::Here(Rc::new(take)))
}

/// Starts a node under its name and address, with the list that its agent holds.
pub fn start(lab: &Rc<Lab>, node: usize) -> Result<(), ProcessError> {
    let known = lab.state.borrow().discovery.known_entries(node);
    write_config(lab, node)?;
    // What stands in its configuration was told to it.
    lab.told(node, &known);
    let state = &mut *lab.state.borrow_mut();
    let node = &mut state.nodes[node];
    node.life += 1;
    let let_go = || node.meets.iter().for_each(|meets| meets.address.let_go());
    node.process =
        Some(Process::start(&lab.options.lab, &lab.options.program, &node.config, &node.log, let_go)?);
    Ok(())
}

fn write_config(lab: &Rc<Lab>, node: usize) -> Result<(), ProcessError> {
    let text = config(lab, node).to_string();
    let config = lab.state.borrow().nodes[node].config.clone();
    std::fs::write(&config, text).map_err(|error| ProcessError::Start { program: config, error })
}

/// Discovery's agent of a node moves to another address, which its configuration names from now on.
pub fn move_agent(lab: &Rc<Lab>, node: usize) -> io::Result<()> {
    let new = link(lab, node, 3);
    let agent = open_agent(lab, node, &new)?;
    {
        let state = &mut *lab.state.borrow_mut();
        let held = &mut state.nodes[node];
        held.discovery.set(|now| now.down = true);
        (held.discovery, held.agent) = (new, agent);
    }
    write_config(lab, node).map_err(io::Error::other)
}

fn config(lab: &Rc<Lab>, node: usize) -> Value {
    let known = agent::known(lab, node);
    let state = lab.state.borrow();
    let held = &state.nodes[node];
    let seed = lab.plan.node_seed(node, held.life);
    let mut config = json!({
        "name": held.name, "listen": held.address.address().to_string(), "seed": format!("{seed:016x}"),
        "discovery": held.agent.address().to_string(), "known": known,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
        "settings": settings(lab, held),
    });
    if let Some(meets) = &held.meets {
        let company = lab.options.company.iter().flat_map(|company| &company.seeds);
        let seeds = state
            .nodes
            .iter()
            .take(SEEDS)
            .filter_map(|node| Some(node.meets.as_ref()?.advertise.to_string()))
            .chain(company.map(ToString::to_string));
        config["walkpick"] = json!({"peers": {
            "listen": meets.address.address().to_string(), "advertise": meets.advertise.to_string(),
            "seeds": seeds.collect::<Vec<_>>(), "cluster": "lab",
        }, "log": {"format": "json"}});
        if let Some(company) = &lab.options.company {
            let time = |time| humantime::format_duration(time).to_string();
            let peers = &mut config["walkpick"]["peers"];
            peers["region"] = company.location.region.clone().into();
            peers["zone"] = company.location.zone.clone().into();
            peers["probe_every"] = time(company.probe_every).into();
            peers["probe_timeout"] = time(company.probe_timeout).into();
            if company.dissemination {
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
    /// Adds what its process has used up to now; to be called before that ends.
    pub fn account(&mut self) {
        if let Some(used) = self.process.as_ref().and_then(Process::used) {
            self.used.cpu_s += used.cpu_s;
            self.used.memory_mb = self.used.memory_mb.max(used.memory_mb);
        }
    }
}
