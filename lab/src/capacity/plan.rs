//! The plan file: the operators' figures, read with every fault at once.

use std::fmt;
use std::path::{Path, PathBuf};
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// What a fleet is to be. All figures are numbers that rows compute with; units are in the names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// What it is called.
    pub name: String,
    /// Nodes.
    pub nodes: f64,
    /// Sites that they stand at.
    pub sites: f64,
    /// Cache servers.
    pub servers: f64,
    /// Regions.
    pub regions: f64,
    /// Zones of all regions together.
    pub zones: f64,
    /// Machines that are set aside for control.
    pub control_machines: f64,
    /// Requests a second of all clients at the peak.
    pub peak_requests_per_second: f64,
    /// What all answers come to at the peak.
    pub peak_terabits_per_second: f64,
    /// Objects.
    pub objects: f64,
    /// Purges a second.
    pub purges_per_second: f64,
    /// A purge is done everywhere within this.
    pub purge_within_seconds: f64,
    /// Changes of configuration a day.
    pub configuration_changes_per_day: f64,
    /// A change is in force everywhere within this.
    pub configuration_within_seconds: f64,
    /// What control may take of a node's core.
    pub control_core_fraction: f64,
    /// What control may take of a node's memory.
    pub control_memory_megabytes: f64,
    /// What control of a node may send a second.
    pub control_kilobytes_per_second: f64,
    /// Machines that fail on an ordinary day.
    pub machines_per_day: f64,
    /// Restarts of a day that may come at once.
    pub restarts_at_once: f64,
    /// Nodes that go with a rack or a switch.
    pub rack_nodes: f64,
    /// How long a region is cut off.
    pub region_cut_seconds: f64,
    /// Cores of a node.
    pub node_cores: f64,
    /// Memory of the smallest node.
    pub node_memory_least_megabytes: f64,
    /// Memory of the largest node.
    pub node_memory_most_megabytes: f64,
    /// Descriptors of the smallest node.
    pub node_descriptors_least: f64,
    /// Descriptors of the largest node.
    pub node_descriptors_most: f64,
    /// The largest body.
    pub body_largest_bytes: f64,
    /// Connections that the smallest cache server accepts.
    pub server_connections_least: f64,
    /// What discovery has to tell counts as told after this.
    pub told_within_seconds: f64,
    /// The least time between two renewals of the weights in discovery's list.
    pub weights_every_seconds: f64,
    /// Part of the requests that one pooled cache of the fleet's size would serve.
    pub pooled_hit_share: f64,
    /// What the origin can take, in fetches that a pooled cache would leave.
    pub origin_headroom: f64,
    /// Classes of requests.
    pub classes: f64,
    /// Mean time of an answer.
    pub answer_seconds: f64,
    /// Requests of the busiest node, in means.
    pub hot_node_multiple: f64,
    /// Requests of the least busy node, in means.
    pub cold_node_share: f64,
    /// Nodes that a release restarts at once.
    pub release_nodes_at_once: f64,
    /// The largest entry of the log or of versioned state.
    pub entry_largest_bytes: f64,
    /// The part of control's bytes that membership may take by itself.
    pub membership_part_of_control: f64,
}

impl Plan {
    /// The same plan with another number of nodes.
    pub fn with_nodes(&self, nodes: f64) -> Self {
        Self { nodes, ..self.clone() }
    }

    /// Reads a file.
    pub fn load(path: &Path) -> Result<Self, PlanError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| PlanError::Unreadable { path: path.to_owned(), error })?;
        Self::parse(&text).map_err(|faults| PlanError::Faulty { path: path.to_owned(), faults })
    }

    /// Reads a text; every fault of it at once.
    pub fn parse(text: &str) -> Result<Self, Vec<PlanFault>> {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut reader = Reader { text, faults: Vec::new(), plan: Self::default() };
        for error in errors {
            let at = error.span().map_or(0, |span| span.start);
            reader.fault(at, "the file", error.message().replace('\n', " "), "TOML");
        }
        if reader.faults.is_empty() {
            reader.read(table.get_ref());
        }
        reader.faults.sort_by_key(|fault| fault.line);
        match reader.faults.is_empty() {
            true => Ok(reader.plan),
            false => Err(reader.faults),
        }
    }
}

/// One thing that is wrong with a plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlanFault {
    /// The line, from 1 on.
    pub line: usize,
    /// The value's name.
    pub place: String,
    /// What stands there.
    pub found: String,
    /// What would be right.
    pub expected: String,
}

impl fmt::Display for PlanFault {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { line, place, found, expected } = self;
        write!(to, "line {line}: {place}: found {found}, expected {expected}")
    }
}

/// Why a plan cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file could not be read.
    #[error("{path}: cannot be read: {error}", path = path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// The file is no plan: every fault of it.
    #[error("{}", one_a_line(path, faults))]
    Faulty {
        /// The file.
        path: PathBuf,
        /// All that is wrong.
        faults: Vec<PlanFault>,
    },
}

fn one_a_line(path: &Path, faults: &[PlanFault]) -> String {
    faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect::<Vec<_>>().join("\n")
}

/// A value of the file: where it stands, what it may be, and where it goes.
struct Field {
    table: &'static str,
    name: &'static str,
    kind: Kind,
    least: f64,
    most: f64,
    to: fn(&mut Plan) -> &mut f64,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Kind {
    Whole,
    Number,
}

macro_rules! field {
    ($table:literal, $name:literal, $kind:ident, $least:expr, $most:expr, $field:ident) => {
        Field {
            table: $table,
            name: $name,
            kind: Kind::$kind,
            least: $least,
            most: $most,
            to: |plan| &mut plan.$field,
        }
    };
}

const FIELDS: [Field; 38] = [
    field!("fleet", "nodes", Whole, 1.0, 1e6, nodes),
    field!("fleet", "sites", Whole, 1.0, 1e6, sites),
    field!("fleet", "servers", Whole, 1.0, 1e6, servers),
    field!("fleet", "regions", Whole, 1.0, 1e4, regions),
    field!("fleet", "zones", Whole, 1.0, 1e5, zones),
    field!("fleet", "control_machines", Whole, 0.0, 1e4, control_machines),
    field!("load", "peak_requests_per_second", Number, 1.0, 1e12, peak_requests_per_second),
    field!("load", "peak_terabits_per_second", Number, 1e-9, 1e6, peak_terabits_per_second),
    field!("load", "objects", Whole, 1.0, 1e15, objects),
    field!("load", "purges_per_second", Number, 0.0, 1e6, purges_per_second),
    field!("load", "purge_within_seconds", Number, 0.001, 1e6, purge_within_seconds),
    field!("load", "configuration_changes_per_day", Number, 0.0, 1e9, configuration_changes_per_day),
    field!("load", "configuration_within_seconds", Number, 0.001, 1e6, configuration_within_seconds),
    field!("control_budget", "core_fraction", Number, 1e-6, 1e3, control_core_fraction),
    field!("control_budget", "memory_megabytes", Number, 0.001, 1e6, control_memory_megabytes),
    field!("control_budget", "kilobytes_per_second", Number, 0.001, 1e9, control_kilobytes_per_second),
    field!("failures", "machines_per_day", Number, 0.0, 1e6, machines_per_day),
    field!("failures", "restarts_at_once", Whole, 0.0, 1e6, restarts_at_once),
    field!("failures", "rack_nodes", Whole, 0.0, 1e6, rack_nodes),
    field!("failures", "region_cut_seconds", Number, 0.0, 1e6, region_cut_seconds),
    field!("pages", "node_cores", Number, 0.001, 1e3, node_cores),
    field!("pages", "node_memory_least_megabytes", Number, 1.0, 1e6, node_memory_least_megabytes),
    field!("pages", "node_memory_most_megabytes", Number, 1.0, 1e6, node_memory_most_megabytes),
    field!("pages", "node_descriptors_least", Whole, 32.0, 1e7, node_descriptors_least),
    field!("pages", "node_descriptors_most", Whole, 32.0, 1e7, node_descriptors_most),
    field!("pages", "body_largest_bytes", Whole, 1.0, 1e12, body_largest_bytes),
    field!("pages", "server_connections_least", Whole, 1.0, 1e7, server_connections_least),
    field!("pages", "told_within_seconds", Number, 0.001, 1e6, told_within_seconds),
    field!("pages", "weights_every_seconds", Number, 0.001, 1e6, weights_every_seconds),
    field!("pages", "pooled_hit_share", Number, 0.0, 0.9999, pooled_hit_share),
    field!("pages", "origin_headroom", Number, 0.001, 1e6, origin_headroom),
    field!("pages", "classes", Whole, 1.0, 1e6, classes),
    field!("assumed", "answer_seconds", Number, 1e-6, 1e4, answer_seconds),
    field!("assumed", "hot_node_multiple", Number, 1.0, 1e6, hot_node_multiple),
    field!("assumed", "cold_node_share", Number, 0.0, 1.0, cold_node_share),
    field!("assumed", "release_nodes_at_once", Whole, 0.0, 1e6, release_nodes_at_once),
    field!("assumed", "entry_largest_bytes", Whole, 1.0, 1e9, entry_largest_bytes),
    field!("assumed", "membership_part_of_control", Number, 0.001, 1.0, membership_part_of_control),
];

struct Reader<'a> {
    text: &'a str,
    faults: Vec<PlanFault>,
    plan: Plan,
}

impl Reader<'_> {
    fn read(&mut self, table: &DeTable) {
        self.name(table);
        self.unknown(table);
        let mut missing: Vec<&str> = Vec::new();
        for field in &FIELDS {
            let Some(section) = table.get(field.table) else {
                if !missing.contains(&field.table) {
                    missing.push(field.table);
                    let expected = format!("the table [{}]", field.table);
                    self.fault(self.text.len(), field.table, "nothing".to_owned(), &expected);
                }
                continue;
            };
            // A section that is no table is told among the unknown names.
            if let DeValue::Table(section_table) = section.get_ref() {
                self.value(field, section_table, section.span().start);
            }
        }
        if self.faults.is_empty() {
            self.relations(table);
        }
    }

    fn name(&mut self, table: &DeTable) {
        let expected = "a text that is not empty";
        match table.get("name").map(|value| (value.span().start, value.get_ref())) {
            Some((_, DeValue::String(name))) if !name.trim().is_empty() => self.plan.name = name.to_string(),
            Some((at, found)) => self.fault(at, "name", shown(found), expected),
            None => self.fault(0, "name", "nothing".to_owned(), expected),
        }
    }

    fn unknown(&mut self, table: &DeTable) {
        for (key, value) in table {
            let name = key.get_ref().as_ref();
            let known = FIELDS.iter().any(|field| field.table == name);
            match value.get_ref() {
                DeValue::Table(section) if known => self.unknown_within(name, section),
                found if known => self.fault(value.span().start, name, shown(found), "a table"),
                _ if name == "name" => {}
                _ => {
                    let mut tables: Vec<_> = FIELDS.iter().map(|field| field.table).collect();
                    tables.dedup();
                    let expected = format!("name or one of the tables {}", tables.join(", "));
                    self.fault(key.span().start, name, "a name that is not known".to_owned(), &expected);
                }
            }
        }
    }

    fn unknown_within(&mut self, table: &str, section: &DeTable) {
        let known: Vec<_> =
            FIELDS.iter().filter(|field| field.table == table).map(|field| field.name).collect();
        for key in section.keys().filter(|key| !known.contains(&key.get_ref().as_ref())) {
            let place = format!("{table}.{}", key.get_ref());
            let expected = format!("one of {}", known.join(", "));
            self.fault(key.span().start, &place, "a name that is not known".to_owned(), &expected);
        }
    }

    fn value(&mut self, field: &Field, section: &DeTable, section_at: usize) {
        let place = format!("{}.{}", field.table, field.name);
        let kind = if field.kind == Kind::Whole { "a whole number" } else { "a number" };
        let expected = format!("{kind} from {} to {}", field.least, field.most);
        let Some(value) = section.get(field.name) else {
            return self.fault(section_at, &place, "nothing".to_owned(), &expected);
        };
        let number = number(value);
        let fits = |number: &f64| {
            (field.least..=field.most).contains(number)
                && (field.kind == Kind::Number || number.fract() == 0.0)
        };
        match number.filter(fits) {
            Some(number) => *(field.to)(&mut self.plan) = number,
            None => self.fault(value.span().start, &place, shown(value.get_ref()), &expected),
        }
    }

    /// What holds between values that are right by themselves.
    fn relations(&mut self, table: &DeTable) {
        let plan = self.plan.clone();
        let at_most = [
            ("fleet", "sites", plan.sites, "fleet.nodes", plan.nodes),
            ("fleet", "regions", plan.regions, "fleet.zones", plan.zones),
            ("fleet", "zones", plan.zones, "fleet.nodes", plan.nodes),
            ("failures", "restarts_at_once", plan.restarts_at_once, "fleet.nodes", plan.nodes),
            ("failures", "rack_nodes", plan.rack_nodes, "fleet.nodes", plan.nodes),
            ("assumed", "release_nodes_at_once", plan.release_nodes_at_once, "fleet.nodes", plan.nodes),
            (
                "pages",
                "node_memory_least_megabytes",
                plan.node_memory_least_megabytes,
                "pages.node_memory_most_megabytes",
                plan.node_memory_most_megabytes,
            ),
            (
                "pages",
                "node_descriptors_least",
                plan.node_descriptors_least,
                "pages.node_descriptors_most",
                plan.node_descriptors_most,
            ),
        ];
        for (section, name, value, bound, most) in at_most {
            if value > most {
                let at = place_of(table, section, name);
                let expected = format!("at most {bound}, which is {most}");
                self.fault(at, &format!("{section}.{name}"), value.to_string(), &expected);
            }
        }
    }

    fn fault(&mut self, at: usize, place: &str, found: String, expected: &str) {
        let before = self.text.get(..at).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        self.faults.push(PlanFault { line, place: place.to_owned(), found, expected: expected.to_owned() });
    }
}

fn place_of(table: &DeTable, section: &str, name: &str) -> usize {
    match table.get(section).map(Spanned::get_ref) {
        Some(DeValue::Table(section)) => section.get(name).map_or(0, |value| value.span().start),
        _ => 0,
    }
}

fn number(value: &Spanned<DeValue>) -> Option<f64> {
    match value.get_ref() {
        DeValue::Integer(whole) => {
            i64::from_str_radix(whole.as_str(), whole.radix()).ok().map(|whole| whole as f64)
        }
        DeValue::Float(float) => float.as_str().parse().ok().filter(|float: &f64| float.is_finite()),
        _ => None,
    }
}

fn shown(value: &DeValue) -> String {
    match value {
        DeValue::String(text) => format!("\"{text}\""),
        DeValue::Integer(whole) => whole.as_str().to_owned(),
        DeValue::Float(float) => float.as_str().to_owned(),
        DeValue::Boolean(word) => word.to_string(),
        DeValue::Datetime(time) => time.to_string(),
        DeValue::Array(_) => "a list".to_owned(),
        DeValue::Table(_) => "a table".to_owned(),
    }
}
