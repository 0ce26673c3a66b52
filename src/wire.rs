//! The simulator's text protocol: parses input lines into events, and formats actions as output lines.

use crate::api::*;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::{self, Write};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// A line that cannot be processed, after which the host must stop.
#[derive(Debug)]
pub struct WireError(String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

/// A parsed input line.
#[derive(Debug)]
pub enum Input {
    /// A batch starts at this time.
    Tick(Timestamp),
    /// A batch ends and the reply to it is due.
    ReplyDue,
    /// An instance starts.
    Start {
        /// Number of the instance.
        instance: u32,
        /// Seed for its random draws.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance was killed.
    Stop {
        /// Number of the instance.
        instance: u32,
    },
    /// An event for an instance.
    Event {
        /// Number of the instance.
        instance: u32,
        /// The event.
        event: Event,
    },
}

/// A start-up setting that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Dotted path of the setting.
    pub path: String,
    /// The value that was given; `None` if it is missing.
    pub found: Option<String>,
    /// Description of a valid value.
    pub expected: &'static str,
}

/// The `name=value` fields of a line, or the settings of a configuration.
struct Fields<'a> {
    line: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
    /// Collects all invalid settings; `None` if the first invalid value is an error.
    invalid_settings: Option<RefCell<Vec<InvalidSetting>>>,
}

impl<'a> Fields<'a> {
    fn new(line: &'a str, rest: &'a str) -> Self {
        Self {
            line,
            pairs: rest.split(' ').filter_map(|part| part.split_once('=')).collect(),
            invalid_settings: None,
        }
    }

    fn malformed(&self, what: &str) -> WireError {
        let excerpt: String = self.line.chars().take(200).collect();
        WireError(format!("malformed line, {what}: {excerpt}"))
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|pair| pair.0 == name).map(|pair| pair.1)
    }

    /// Handles an invalid value: if all of them are collected, it counts as missing after that.
    fn invalid<T>(&self, name: &str, expected: &'static str) -> Result<Option<T>, WireError> {
        let Some(invalid) = &self.invalid_settings else {
            return Err(self.malformed(&format!("unreadable {name}")));
        };
        let found = self.text(name).map(str::to_owned);
        invalid.borrow_mut().push(InvalidSetting { path: name.to_owned(), found, expected });
        Ok(None)
    }

    fn parse<T: FromStr>(&self, name: &str, expected: &'static str) -> Result<Option<T>, WireError> {
        match self.text(name).map(str::parse) {
            None => Ok(None),
            Some(Ok(value)) => Ok(Some(value)),
            Some(Err(_)) => self.invalid(name, expected),
        }
    }

    fn optional<T: FromStr>(&self, name: &str) -> Result<Option<T>, WireError> {
        self.parse(name, "a whole number")
    }

    /// A name that must be given. If all invalid settings are collected, a missing one is read as empty.
    fn required_name(&self, name: &str) -> Result<Name, WireError> {
        match (self.text(name), &self.invalid_settings) {
            (Some(text), _) => Ok(text.into()),
            (None, None) => Err(self.malformed(&format!("no {name}"))),
            (None, Some(_)) => Ok(self.invalid(name, "a name")?.unwrap_or_else(|| "".into())),
        }
    }

    fn required<T: FromStr>(&self, name: &str) -> Result<T, WireError> {
        self.optional(name)?.ok_or_else(|| self.malformed(&format!("no {name}")))
    }

    /// A number from 0 to `max`. A value that is not finite or out of range counts as missing.
    fn number(&self, name: &str, max: f64) -> Result<Option<f64>, WireError> {
        Ok(self.parse::<f64>(name, "a number")?.filter(|value| (0.0..=max).contains(value)))
    }

    fn micros(&self, name: &str) -> Result<Option<Duration>, WireError> {
        Ok(self.parse(name, "a whole number of microseconds")?.map(Duration::from_micros))
    }

    fn flag(&self, name: &str) -> Result<Option<bool>, WireError> {
        match self.text(name) {
            None => Ok(None),
            Some("1" | "true") => Ok(Some(true)),
            Some("0" | "false") => Ok(Some(false)),
            Some(_) => self.invalid(name, "true or false"),
        }
    }

    fn request_id(&self) -> Result<RequestId, WireError> {
        self.text("request_id").map(RequestId::from).ok_or_else(|| self.malformed("no request_id"))
    }
}

/// Parses lines into [`Input`]s. It keeps the numbered server lists and, for each instance, the names of the
/// classes and tenants in its settings.
#[derive(Debug, Default)]
pub struct Parser {
    server_lists: HashMap<u32, Arc<[ServerEntry]>>,
    open_list: Option<(u32, usize, Vec<ServerEntry>)>,
    server_ids: HashMap<String, ServerId>,
    instance_names: HashMap<u32, (Vec<Name>, Vec<Name>)>,
}

impl Parser {
    /// Parses a line. `None` for a line that needs no action by the host, or whose message is unknown.
    pub fn parse_line(&mut self, line: &str) -> Result<Option<Input>, WireError> {
        let line = line.trim_end_matches(['\r', '\n']);
        let (message, rest) = line.split_once(' ').unwrap_or((line, ""));
        if message == "m" {
            self.add_entry(&Fields::new(line, rest))?;
            return Ok(None);
        }
        if let Some((_, remaining, _)) = self.open_list.take() {
            return Err(WireError(format!(
                "malformed line, {remaining} roster entries missing before: {message}"
            )));
        }
        let fields = match message {
            "tick" | "power_on" | "roster" | "peers_known" | "submit" | "timer" | "retire" | "sampled"
            | "first_byte" | "abandoned" | "returned" => Fields::new(line, rest),
            "your_turn" => return Ok(Some(Input::ReplyDue)),
            _ => return Ok(None),
        };
        if message == "tick" {
            return Ok(Some(Input::Tick(Timestamp::from_micros(fields.required("t_us")?))));
        }
        if message == "roster" {
            let (bank, hosts) = (fields.required("bank")?, fields.required("hosts")?);
            self.open_list = (hosts > 0).then_some((bank, hosts, Vec::new()));
            self.server_lists.insert(bank, Vec::new().into());
            return Ok(None);
        }
        let instance = fields.required("who")?;
        let event = match message {
            "power_on" => {
                let settings = Box::new(settings(&fields)?);
                let classes = settings.classes.iter().map(|class| class.name.clone()).collect();
                let tenants = settings.tenants.iter().map(|tenant| tenant.name.clone()).collect();
                self.instance_names.insert(instance, (classes, tenants));
                return Ok(Some(Input::Start { instance, seed: fields.required("prng")?, settings }));
            }
            "retire" => return Ok(Some(Input::Stop { instance })),
            "peers_known" => match fields.required::<String>("how")?.as_str() {
                "unavailable" => Event::Servers(ServerList::Unavailable),
                how @ ("update" | "replace" | "restored") => {
                    let bank = self.server_lists.get(&fields.required("bank")?);
                    let entries = bank.ok_or_else(|| fields.malformed("unknown bank"))?.clone();
                    match how {
                        "update" => Event::Servers(ServerList::Changes(entries)),
                        "replace" => Event::Servers(ServerList::Full(entries)),
                        _ => Event::Restored(entries),
                    }
                }
                _ => return Ok(None),
            },
            "submit" => {
                let options: u32 = fields.optional("options")?.unwrap_or(0);
                let (classes, tenants) =
                    self.instance_names.get(&instance).map_or((&[][..], &[][..]), |n| (&n.0, &n.1));
                let find = |names: &[Name], field: &str| {
                    fields.text(field).and_then(|text| names.iter().position(|n| n.as_str() == text))
                };
                Event::Request(Request {
                    id: fields.request_id()?,
                    class: find(classes, "cls").map(ClassId),
                    tenant: find(tenants, "party").map(TenantId),
                    key: fields.optional("object")?,
                    valid_until: Timestamp::from_micros(fields.required("valid_until_us")?),
                    expected_work: fields.micros("expected_us")?.filter(|_| options & 1 != 0),
                    write: options & 4 != 0,
                    client_retry: options & 2 != 0,
                })
            }
            "timer" => Event::Timer,
            "abandoned" => Event::Abandoned(fields.request_id()?),
            "first_byte" => Event::FirstByte { id: fields.request_id()? },
            "returned" => {
                let status = status(&fields)?;
                Event::Outcome(Outcome {
                    id: fields.request_id()?,
                    attempt: fields.required("hop")?,
                    server: self.server(&fields)?,
                    status,
                    cache_status: match fields.optional::<i64>("info")? {
                        Some(1) => Some(CacheStatus::Hit),
                        Some(2) => Some(CacheStatus::Miss),
                        Some(3) => Some(CacheStatus::MissFetching),
                        _ => None,
                    },
                    took: fields.micros("spent_us")?.unwrap_or_default(),
                    finished: fields.flag("finished")?.unwrap_or(false),
                    load: load_report(&fields),
                })
            }
            _ => {
                let status = status(&fields)?;
                let took = fields.micros("spent_us")?.unwrap_or_default();
                Event::Probed { server: self.server(&fields)?, status, took, load: load_report(&fields) }
            }
        };
        Ok(Some(Input::Event { instance, event }))
    }

    fn server(&mut self, fields: &Fields) -> Result<ServerId, WireError> {
        let name = fields.text("server").ok_or_else(|| fields.malformed("no server"))?;
        if let Some(id) = self.server_ids.get(name) {
            return Ok(id.clone());
        }
        let id = ServerId::from(name);
        self.server_ids.insert(name.to_owned(), id.clone());
        Ok(id)
    }

    fn add_entry(&mut self, fields: &Fields) -> Result<(), WireError> {
        let entry = ServerEntry {
            id: self.server(fields)?,
            zone: fields.text("region_part").map(Name::from),
            kind: fields.text("machine").map(Name::from),
            cell: fields.optional("group")?.unwrap_or(0),
            availability: match fields.text("availability") {
                Some("U") => Availability::Ready,
                Some("D") => Availability::Removed,
                // An unknown state: no requests are sent to that server.
                Some(_) => Availability::Draining,
                None => return Err(fields.malformed("no availability")),
            },
            weight: fields.number("capacity_hint", f64::MAX)?.unwrap_or(1.0),
            started: fields.optional("born_us")?.filter(|&at| at > 0).map(Timestamp::from_micros),
        };
        let Some((bank, remaining, entries)) = &mut self.open_list else {
            return Err(fields.malformed("an entry outside a roster"));
        };
        entries.push(entry);
        *remaining -= 1;
        if *remaining == 0 {
            self.server_lists.insert(*bank, std::mem::take(entries).into());
            self.open_list = None;
        }
        Ok(())
    }
}

fn status(fields: &Fields) -> Result<Status, WireError> {
    Ok(match fields.text("result").ok_or_else(|| fields.malformed("no result"))? {
        "Ok" => Status::Ok,
        "QueueFull" => Status::QueueFull,
        "TimedOut" => Status::TimedOut,
        "ConnectError" => Status::ConnectError,
        "ResetByPeer" => Status::Reset,
        "Canceled" => Status::Canceled,
        "Ignored" => Status::Ignored,
        "Miss" => Status::Miss,
        // An unknown outcome still ends its attempt; the conservative reading is a failure that may have run.
        _ => Status::Failed,
    })
}

fn load_report(fields: &Fields) -> LoadReport {
    fields.text("server_stats").map_or_else(LoadReport::default, |text| parse_load_report(text, ':'))
}

/// Parses a load report: a comma-separated list of names and values, with `separator` between a name and its
/// value. Both the names of this protocol and those of the HTTP header are known. A value that is negative or
/// not finite counts as missing.
pub fn parse_load_report(text: &str, separator: char) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|part| part.split_once(separator)) {
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        match name.trim() {
            "avg_ms" | "latency_ms" => {
                report.service_time = value.map(|ms| Duration::from_micros((ms * 1000.0) as u64));
            }
            "cpu" | "util" => report.utilization = value,
            "waiting" | "queue" => report.queue_length = value,
            _ => {}
        }
    }
    report
}

/// Parses start-up settings from pairs of path and value, or returns all invalid ones.
pub fn parse_settings(pairs: &[(String, String)]) -> Result<Settings, Vec<InvalidSetting>> {
    let pairs = pairs.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
    let fields = Fields { line: "settings", pairs, invalid_settings: Some(RefCell::default()) };
    let read = settings(&fields);
    let mut invalid = fields.invalid_settings.map(RefCell::into_inner).unwrap_or_default();
    match read {
        Ok(settings) if invalid.is_empty() => Ok(settings),
        Ok(_) => Err(invalid),
        Err(WireError(found)) => {
            invalid.push(InvalidSetting { path: String::new(), found: Some(found), expected: "settings" });
            Err(invalid)
        }
    }
}

fn settings(fields: &Fields) -> Result<Settings, WireError> {
    let default = Settings::default();
    let mut classes = Vec::new();
    for i in 0..fields.optional::<usize>("lanes.count")?.unwrap_or(0) {
        let path = |name: &str| format!("lanes.{i}.{name}");
        let default = Class::default();
        let window = fields.micros(&path("repeat_window_us"))?.unwrap_or_default();
        let scope = match fields.text(&path("dedup_scope")) {
            Some("all") => DedupScope::All,
            Some("zone") => DedupScope::Zone,
            _ => DedupScope::Cell,
        };
        classes.push(Class {
            name: fields.required_name(&path("name"))?,
            effect: match fields.text(&path("effect")) {
                Some("safe") => Effect::Safe,
                Some("keyed") => Effect::Keyed { scope, window },
                _ => Effect::Unsafe,
            },
            latency_target: fields.micros(&path("promise_us"))?.unwrap_or(default.latency_target),
            deadline: fields.micros(&path("hard_limit_us"))?.unwrap_or(default.deadline),
            worth: fields.number(&path("worth"), f64::MAX)?.unwrap_or(default.worth),
            late_worth: fields.number(&path("late_value"), 1.0)?.unwrap_or(default.late_worth),
        });
    }
    let mut tenants = Vec::new();
    for i in 0..fields.optional::<usize>("orgs.count")?.unwrap_or(0) {
        tenants.push(Tenant {
            name: fields.required_name(&format!("orgs.{i}.name"))?,
            quota_per_s: fields.number(&format!("orgs.{i}.quota_per_s"), f64::MAX)?.unwrap_or(f64::INFINITY),
        });
    }
    let origin = fields.optional::<i64>("family_info.origin_kind")?.unwrap_or(-1);
    let kinds = fields.text("shapes").unwrap_or("");
    let origin_kind = usize::try_from(origin).ok().and_then(|kind| kinds.split(',').nth(kind));
    let retry_after = fields.flag("limits.retry_after")?.unwrap_or(false);
    let micros_or =
        |name: &str, default: Duration| Ok::<_, WireError>(fields.micros(name)?.unwrap_or(default));
    Ok(Settings {
        zone: fields.text("az").map(Name::from),
        nodes: fields.optional("balancers")?.unwrap_or(default.nodes),
        classes,
        tenants,
        over_share_worth: fields.number("over_share_worth", 1.0)?.unwrap_or(default.over_share_worth),
        mode: match (fields.text("family_info.mode"), origin_kind) {
            (Some("aside"), Some(kind)) => CacheMode::Aside { origin_kind: kind.into() },
            _ => CacheMode::Through,
        },
        nominal_weights: matches!(fields.text("weights"), None | Some("nominal")),
        must_subscribe: fields.text("membership_mode") == Some("subscribe"),
        max_attempts: fields.optional("limits.most_tries")?.unwrap_or(default.max_attempts),
        hedging: fields.flag("limits.second_copies")?.unwrap_or(default.hedging),
        cancelling: fields.flag("limits.cancelling")?.unwrap_or(default.cancelling),
        probing: fields.flag("limits.probing")?.unwrap_or(default.probing),
        max_retry_after: micros_or("limits.max_retry_after_us", default.max_retry_after)?
            .saturating_mul(retry_after.into()),
        connect_timeout: micros_or("limits.connect_timeout_us", default.connect_timeout)?,
        keepalive: micros_or("limits.keepalive_us", default.keepalive)?,
        cold_share: fields.number("safety.cold_share", 1.0)?.unwrap_or(default.cold_share),
        warm_within: micros_or("safety.warm_within_us", default.warm_within)?,
        overload_multiple: fields
            .number("safety.fall_multiple", f64::MAX)?
            .unwrap_or(default.overload_multiple),
        overload_window: micros_or("safety.fall_us", default.overload_window)?,
    })
}

/// Appends an action of an instance to a reply.
pub fn write_action(out: &mut String, instance: u32, action: &Action) {
    let result = match action {
        Action::Send { id, server, timeout, .. } => {
            // 0 would mean no timeout at all.
            let timeout_us = timeout.as_micros().max(1);
            writeln!(out, "send who={instance} request_id={id} server={server} allow_for_us={timeout_us}")
        }
        Action::Cancel { id, attempt } => {
            writeln!(out, "abort_attempt who={instance} request_id={id} hop={attempt}")
        }
        Action::Refuse { id, retry_after, .. } => {
            writeln!(out, "busy who={instance} request_id={id} hold_off_us={}", retry_after.as_micros())
        }
        Action::Fail { id, .. } => writeln!(out, "report_failure who={instance} request_id={id}"),
        Action::Wake { after } => {
            writeln!(out, "wake_at who={instance} nonce=w sleep_for_us={}", after.as_micros())
        }
        Action::Probe { server } => writeln!(out, "health_check who={instance} server={server}"),
        Action::Close { server } => writeln!(out, "close who={instance} server={server}"),
        Action::Subscribe => writeln!(out, "follow who={instance} on=1"),
        Action::Log(text) => writeln!(out, "write_log who={instance} body_text={}", one_line(text)),
    };
    result.expect("writing to a String cannot fail");
}

/// Appends the message that the decision code of an instance panicked.
pub fn write_panic(out: &mut String, instance: u32, text: &str) {
    writeln!(out, "bail_out who={instance} body_text={}", one_line(text))
        .expect("writing to a String cannot fail");
}

/// Appends the end of a reply.
pub fn end_reply(out: &mut String) {
    out.push_str("ack\n");
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
