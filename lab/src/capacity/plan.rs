//! The plan file: the operators' figures for the fleet. Reading it reports all errors at once.

use std::fmt;
use std::path::{Path, PathBuf};
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// The planned fleet. All figures are `f64`, as rows compute with them; units are in the names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The name of the plan.
    pub name: String,
    /// Number of nodes.
    pub nodes: f64,
    /// Number of sites that host nodes.
    pub sites: f64,
    /// Number of cache servers.
    pub servers: f64,
    /// Number of regions.
    pub regions: f64,
    /// Number of zones in all regions together.
    pub zones: f64,
    /// Number of machines dedicated to control.
    pub control_machines: f64,
    /// Peak request rate of all clients.
    pub peak_requests_per_second: f64,
    /// Peak bit rate of all responses.
    pub peak_terabits_per_second: f64,
    /// Number of cached objects.
    pub objects: f64,
    /// Purges per second.
    pub purges_per_second: f64,
    /// The time within which a purge must take effect on all nodes.
    pub purge_within_seconds: f64,
    /// Configuration changes per day.
    pub configuration_changes_per_day: f64,
    /// The time within which a configuration change must take effect on all nodes.
    pub configuration_within_seconds: f64,
    /// The fraction of a node's core that control may use.
    pub control_core_fraction: f64,
    /// Memory of a node that control may use.
    pub control_memory_megabytes: f64,
    /// Bandwidth that the control traffic of a node may use.
    pub control_kilobytes_per_second: f64,
    /// Machines that fail on an ordinary day.
    pub machines_per_day: f64,
    /// Restarts of an ordinary day that may coincide.
    pub restarts_at_once: f64,
    /// Nodes lost when a rack or a switch fails.
    pub rack_nodes: f64,
    /// Duration of a partition that isolates a region.
    pub region_cut_seconds: f64,
    /// Number of cores of a node.
    pub node_cores: f64,
    /// Memory of the smallest node.
    pub node_memory_least_megabytes: f64,
    /// Memory of the largest node.
    pub node_memory_most_megabytes: f64,
    /// File descriptors of the smallest node.
    pub node_descriptors_least: f64,
    /// File descriptors of the largest node.
    pub node_descriptors_most: f64,
    /// The largest response body that the protocol allows.
    pub body_largest_bytes: f64,
    /// Connections that the smallest cache server accepts.
    pub server_connections_least: f64,
    /// The time after which an update from discovery is assumed to have reached a node.
    pub told_within_seconds: f64,
    /// The shortest interval between updates of the weights in discovery's list.
    pub weights_every_seconds: f64,
    /// Hit ratio of a single pooled cache of the fleet's total size.
    pub pooled_hit_share: f64,
    /// Capacity of the origin, as a multiple of the misses of a pooled cache.
    pub origin_headroom: f64,
    /// Number of request classes.
    pub classes: f64,
    /// Mean response time.
    pub answer_seconds: f64,
    /// Request rate of the busiest node, as a multiple of the mean.
    pub hot_node_multiple: f64,
    /// Request rate of the least busy node, as a fraction of the mean.
    pub cold_node_share: f64,
    /// Nodes that a release restarts at a time.
    pub release_nodes_at_once: f64,
    /// The largest entry of the log or of versioned state.
    pub entry_largest_bytes: f64,
    /// The share of the control bandwidth that membership may use.
    pub membership_part_of_control: f64,
}

impl Plan {
    /// The same plan with another number of nodes.
    pub fn with_nodes(&self, nodes: f64) -> Self {
        Self { nodes, ..self.clone() }
    }

    /// Reads a plan file.
    pub fn load(path: &Path) -> Result<Self, PlanError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| PlanError::Unreadable { path: path.to_owned(), error })?;
        Self::parse(&text).map_err(|faults| PlanError::Invalid { path: path.to_owned(), faults })
    }

    /// Parses a plan; reports all errors at once.
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

/// An error in a plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlanFault {
    /// The line number, from 1.
    pub line: usize,
    /// The full key of the value.
    pub key: String,
    /// The value found.
    pub found: String,
    /// A description of valid values.
    pub expected: String,
}

impl fmt::Display for PlanFault {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { line, key, found, expected } = self;
        write!(to, "line {line}: {key}: found {found}, expected {expected}")
    }
}

/// Why a plan cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file could not be read.
    #[error("{path}: cannot be read: {error}", path = path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// The file is not a valid plan.
    #[error("{}", one_per_line(path, faults))]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// All errors in the file.
        faults: Vec<PlanFault>,
    },
}

fn one_per_line(path: &Path, faults: &[PlanFault]) -> String {
    faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect::<Vec<_>>().join("\n")
}

/// A value of the file: its table and key, its valid range and the field of [`Plan`] it sets.
struct Field {
    table: &'static str,
    name: &'static str,
    kind: Kind,
    min: f64,
    max: f64,
    to: fn(&mut Plan) -> &mut f64,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Kind {
    Whole,
    Number,
}

macro_rules! field {
    ($table:literal, $name:literal, $kind:ident, $min:expr, $max:expr, $field:ident) => {
        Field {
            table: $table,
            name: $name,
            kind: Kind::$kind,
            min: $min,
            max: $max,
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
        self.read_name(table);
        self.check_unknown_keys(table);
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
            // A section that is not a table is reported by `check_unknown_keys`.
            if let DeValue::Table(section_table) = section.get_ref() {
                self.read_value(field, section_table, section.span().start);
            }
        }
        if self.faults.is_empty() {
            self.check_relations(table);
        }
    }

    fn read_name(&mut self, table: &DeTable) {
        let expected = "a non-empty string";
        match table.get("name").map(|value| (value.span().start, value.get_ref())) {
            Some((_, DeValue::String(name))) if !name.trim().is_empty() => self.plan.name = name.to_string(),
            Some((at, found)) => self.fault(at, "name", describe(found), expected),
            None => self.fault(0, "name", "nothing".to_owned(), expected),
        }
    }

    fn check_unknown_keys(&mut self, table: &DeTable) {
        for (key, value) in table {
            let name = key.get_ref().as_ref();
            let known = FIELDS.iter().any(|field| field.table == name);
            match value.get_ref() {
                DeValue::Table(section) if known => self.check_unknown_keys_in(name, section),
                found if known => self.fault(value.span().start, name, describe(found), "a table"),
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

    fn check_unknown_keys_in(&mut self, table: &str, section: &DeTable) {
        let known: Vec<_> =
            FIELDS.iter().filter(|field| field.table == table).map(|field| field.name).collect();
        for key in section.keys().filter(|key| !known.contains(&key.get_ref().as_ref())) {
            let full_key = format!("{table}.{}", key.get_ref());
            let expected = format!("one of {}", known.join(", "));
            self.fault(key.span().start, &full_key, "a name that is not known".to_owned(), &expected);
        }
    }

    fn read_value(&mut self, field: &Field, section: &DeTable, section_at: usize) {
        let key = format!("{}.{}", field.table, field.name);
        let kind = if field.kind == Kind::Whole { "a whole number" } else { "a number" };
        let expected = format!("{kind} from {} to {}", field.min, field.max);
        let Some(value) = section.get(field.name) else {
            return self.fault(section_at, &key, "nothing".to_owned(), &expected);
        };
        let number = number(value);
        let fits = |number: &f64| {
            (field.min..=field.max).contains(number) && (field.kind == Kind::Number || number.fract() == 0.0)
        };
        match number.filter(fits) {
            Some(number) => *(field.to)(&mut self.plan) = number,
            None => self.fault(value.span().start, &key, describe(value.get_ref()), &expected),
        }
    }

    /// Checks constraints between values; called only when each value is valid on its own.
    fn check_relations(&mut self, table: &DeTable) {
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
        for (section, name, value, bound, max) in at_most {
            if value > max {
                let at = offset_of(table, section, name);
                let expected = format!("at most {bound}, which is {max}");
                self.fault(at, &format!("{section}.{name}"), value.to_string(), &expected);
            }
        }
    }

    fn fault(&mut self, at: usize, key: &str, found: String, expected: &str) {
        let before = self.text.get(..at).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        self.faults.push(PlanFault { line, key: key.to_owned(), found, expected: expected.to_owned() });
    }
}

fn offset_of(table: &DeTable, section: &str, name: &str) -> usize {
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

fn describe(value: &DeValue) -> String {
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
