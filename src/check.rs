//! `walkpick check-config`: reports what a node would do with a configuration, or all faults of it.

use crate::net::config::fault::{ConfigError, Fault};
use crate::net::config::section::{LogConfig, PeersSection, OPTIONS};
use crate::net::config::{self, Config, BYTES_PER_MIB};
use crate::net::lifecycle::ShutdownPlan;
use clap::Args;
use humantime::format_duration;
use serde::Serialize;
use serde_json::json;
use std::io::{self, Write};
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::Instant;
use walkpick::policy::memory::MemoryBudget;
use walkpick::{Class, Effect};

/// Longer times are reported as a probable mistake of the unit.
const MAX_PLAUSIBLE_TIME: Duration = Duration::from_secs(24 * 3600);

#[derive(Debug, Args)]
pub struct CheckConfig {
    /// Path of the configuration file that a node finds through LB_CONFIG
    #[arg(required_unless_present = "options")]
    file: Option<PathBuf>,
    /// List all options of the section `walkpick` with their possible values and defaults
    #[arg(long, conflicts_with = "file")]
    options: bool,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// What a node would do with a configuration.
#[derive(Debug, Serialize)]
struct Plan {
    name: String,
    listen: String,
    discovery: String,
    /// Maximum number of connections to clients.
    connections: usize,
    /// Maximum number of connections to cache servers.
    server_connections: usize,
    /// In MiB.
    memory_mib: u64,
    /// How much of the memory the bodies of requests and answers may occupy together, in MiB.
    body_memory_mib: u64,
    known_servers: usize,
    nodes: u32,
    zone: Option<String>,
    classes: Vec<ClassPlan>,
    /// Times after SIGTERM.
    stop: ShutdownTimes,
    log: LogConfig,
    /// Settings of the membership, if it is on.
    peers: Option<PeersSection>,
    /// Valid settings that are probably mistakes.
    remarks: Vec<String>,
}

#[derive(Debug, Serialize)]
struct ClassPlan {
    name: String,
    effect: String,
    aim: String,
    deadline: String,
}

#[derive(Debug, Serialize)]
struct ShutdownTimes {
    closes: String,
    all_answered: String,
    gone: String,
}

impl CheckConfig {
    /// Prints the result. Returns `false` if the configuration has faults.
    pub fn run(self) -> io::Result<bool> {
        let mut out = io::stdout().lock();
        let Some(file) = self.file else {
            return options(self.json, &mut out).map(|()| true);
        };
        // The environment of this command is not that of the node.
        match config::load(&file, |_| None) {
            Ok(config) => {
                let plan = Plan::of(&config);
                match self.json {
                    true => writeln!(out, "{:#}", json!({"file": file, "ok": true, "plan": plan}))?,
                    false => write!(out, "{}", plan.text(&file.display().to_string()))?,
                }
                Ok(true)
            }
            Err(error) => {
                if self.json {
                    let faults = json!({"file": file, "ok": false, "faults": faults(&error)});
                    writeln!(out, "{faults:#}")?;
                } else {
                    writeln!(io::stderr(), "{error}")?;
                }
                Ok(false)
            }
        }
    }
}

fn faults(error: &ConfigError) -> Vec<serde_json::Value> {
    let as_json =
        |fault: &Fault| json!({"place": fault.place, "found": fault.found, "expected": fault.expected});
    match error {
        ConfigError::Invalid { faults, .. } => faults.iter().map(as_json).collect(),
        other => vec![as_json(&Fault::new("the file", other.to_string(), "a readable file"))],
    }
}

fn options(as_json: bool, out: &mut impl Write) -> io::Result<()> {
    let rows = OPTIONS.iter().map(|item| (format!("walkpick.{}", item.path), item));
    if as_json {
        let row = |(path, item): (String, &config::section::OptionSpec)| json!({"path": path, "expected": item.kind.expected(), "default": item.default, "about": item.description});
        return writeln!(out, "{:#}", serde_json::Value::Array(rows.map(row).collect()));
    }
    for (path, item) in rows {
        writeln!(out, "{path} = {}\n    {}\n    {}", item.default, item.kind.expected(), item.description)?;
    }
    Ok(())
}

impl Plan {
    fn of(config: &Config) -> Self {
        let settings = &config.settings;
        let class = |class: &Class| ClassPlan {
            name: class.name.to_string(),
            effect: effect(class.effect),
            aim: format_duration(class.latency_target).to_string(),
            deadline: format_duration(class.deadline).to_string(),
        };
        let signalled_at = Instant::now();
        let shutdown =
            ShutdownPlan::new(signalled_at, signalled_at, Duration::ZERO, config.longest_deadline());
        let after = |at: Instant| format_duration(at - signalled_at).to_string();
        Self {
            name: config.name.clone(),
            listen: config.listen.to_string(),
            discovery: config.discovery.to_string(),
            connections: config.max_client_connections(),
            server_connections: config.max_server_connections(),
            memory_mib: config.memory_bytes / BYTES_PER_MIB,
            body_memory_mib: MemoryBudget::new(config.memory_bytes).body_capacity() as u64 / BYTES_PER_MIB,
            known_servers: config.known.hosts.len(),
            nodes: settings.nodes,
            zone: settings.zone.as_ref().map(ToString::to_string),
            classes: settings.classes.iter().map(class).collect(),
            stop: ShutdownTimes {
                closes: after(shutdown.close_at),
                all_answered: after(shutdown.answer_by),
                gone: after(shutdown.exit_by),
            },
            log: config.section.log.clone(),
            peers: Some(config.section.peers.clone()).filter(|peers| peers.listen.is_some()),
            remarks: remarks(config),
        }
    }

    fn text(&self, file: &str) -> String {
        let zone = self.zone.as_deref().unwrap_or("no zone");
        let ShutdownTimes { closes, all_answered, gone } = &self.stop;
        let log = serde_json::to_string(&self.log).unwrap_or_default();
        let mut text = format!(
            "{file}: valid configuration\n\
             name       {}, one of {} in {zone}\n\
             listens    {}, at most {} connections to clients and {} to cache servers\n\
             memory     {} MiB, of which bodies may occupy {} MiB together\n\
             discovery  {}, {} cache servers known at start-up\n\
             stop       closes {closes} after SIGTERM, last answers after {all_answered}, exits after {gone}\n\
             log        {log}\n",
            self.name, self.nodes, self.listen, self.connections, self.server_connections, self.memory_mib, self.body_memory_mib, self.discovery, self.known_servers,
        );
        match &self.peers {
            Some(peers) => {
                text += &format!("peers      {}\n", serde_json::to_string(peers).unwrap_or_default())
            }
            None => text += "peers      off: uses the configured number of nodes\n",
        }
        for ClassPlan { name, effect, aim, deadline } in &self.classes {
            text += &format!("class      {name}: {effect}, latency target {aim}, deadline {deadline}\n");
        }
        for remark in &self.remarks {
            text += &format!("remark     {remark}\n");
        }
        text
    }
}

fn effect(effect: Effect) -> String {
    match effect {
        Effect::Safe => "safe to repeat".to_owned(),
        Effect::Unsafe => "never runs twice".to_owned(),
        Effect::Keyed { window, .. } => format!("repeats are discarded for {}", format_duration(window)),
    }
}

fn remarks(config: &Config) -> Vec<String> {
    let mut remarks = Vec::new();
    let settings = &config.settings;
    if settings.classes.is_empty() {
        remarks.push("settings.lanes is empty: every request is answered with 400".to_owned());
    }
    for (i, class) in settings.classes.iter().enumerate() {
        if class.latency_target > class.deadline {
            remarks.push(format!("settings.lanes.{i}: the latency target is longer than the deadline"));
        }
    }
    let lanes = settings.classes.iter().enumerate();
    let lanes = lanes.map(|(i, class)| (format!("settings.lanes.{i}.hard_limit_us"), class.deadline));
    let limits = [
        ("settings.limits.connect_timeout_us".to_owned(), settings.connect_timeout),
        ("settings.limits.keepalive_us".to_owned(), settings.keepalive),
        ("settings.safety.warm_within_us".to_owned(), settings.warm_within),
    ];
    for (place, time) in lanes.chain(limits).filter(|(_, time)| *time > MAX_PLAUSIBLE_TIME) {
        remarks.push(format!("{place} is over a day ({} s): is it in microseconds?", time.as_secs()));
    }
    remarks
}
