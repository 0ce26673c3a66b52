//! Renders the tables as Markdown.

use super::figures::{format_amount, format_count, format_number};
use super::rows::{all_rows, Need, Role, Row};
use super::solve::{budget_ratio, exhausted_at, worst_case};
use super::values::{plan_size, NeedResult};
use super::{demand, Case, Context, Plan, Resource, Unavailable, Value};
use crate::slopes::{Recorded, SlopesFile};

const NOT_APPLICABLE: &str = "-";
const NOT_MEASURED: &str = "not measured";
const NONE: &str = "none";

/// Paths of the plan and slopes files as shown on the page.
#[derive(Clone, Copy, Debug)]
pub struct Sources<'a> {
    /// The path of the plan file.
    pub plan: &'a str,
    /// The path of the slopes file.
    pub slopes: &'a str,
}

/// Renders all tables of a plan, as lines.
pub fn render(plan: &Plan, slopes: &SlopesFile, sources: Sources) -> Vec<String> {
    let tables = Tables { plan, slopes, rows: all_rows() };
    let mut lines = tables.heading(sources);
    lines.extend(tables.shortfall_table());
    lines.extend(tables.missing_mechanisms());
    lines.extend(tables.not_measured());
    lines.extend(tables.arithmetic());
    for role in Role::ALL {
        lines.extend(tables.role(role));
    }
    lines.extend(tables.series_table());
    lines.extend(tables.run_table());
    lines
}

struct Tables<'a> {
    plan: &'a Plan,
    slopes: &'a SlopesFile,
    rows: Vec<Row>,
}

/// A row without a mechanism (`need` is `None`) or with a need over its budget.
struct Shortfall<'a> {
    row: &'a Row,
    need: Option<&'a Need>,
    ratio: f64,
}

impl Tables<'_> {
    fn heading(&self, sources: Sources) -> Vec<String> {
        let Plan { name, nodes, sites, servers, regions, zones, .. } = self.plan;
        let fleet = [
            (nodes, "nodes"),
            (sites, "sites"),
            (servers, "cache servers"),
            (regions, "regions"),
            (zones, "zones"),
        ];
        let fleet: Vec<_> =
            fleet.iter().map(|(many, what)| format!("{} {what}", format_count(**many))).collect();
        vec![
            format!(
                "Plan `{name}` ({}): {}. Slopes: {} ({} series).",
                sources.plan,
                fleet.join(", "),
                sources.slopes,
                self.slopes.recorded().len()
            ),
            String::new(),
            "`~`: outside the measured sizes (the table of series says how far). `>=`: some of what it covers was not \
             measured. `not measured`: no series yet. `-`: the case does not concern it. A role's first table stands at the peak, its second has every case. Need over budget is that of the \
             worst case. Used up at: the number of nodes at which the worst case reaches the budget, all else of the plan \
             being as it is. The plan gives requests at the peak alone: an ordinary day has no more. A region that is cut off is \
             taken for lost, its clients for coming to the others. KB, MB, GB are decimal."
                .to_owned(),
        ]
    }

    fn shortfall_table(&self) -> Vec<String> {
        let mut shortfalls: Vec<_> = self.rows.iter().flat_map(|row| self.shortfalls(row)).collect();
        let lacking = |one: &Shortfall| one.need.is_none();
        shortfalls
            .sort_by(|one, other| lacking(other).cmp(&lacking(one)).then(other.ratio.total_cmp(&one.ratio)));
        let mut lines = heading("First: without a mechanism, or over budget");
        let mut table = vec![cells(&["role", "row", "why", "need over budget", "used up at, nodes"])];
        for one in &shortfalls {
            table.push(self.shortfall_line(one));
        }
        if shortfalls.is_empty() {
            lines.push("None.".to_owned());
        } else {
            lines.extend(markdown(&table));
        }
        lines
    }

    /// Lists missing mechanisms, sorted by the number of rows that require them.
    fn missing_mechanisms(&self) -> Vec<String> {
        let mut missing: Vec<_> =
            self.rows.iter().filter_map(|row| row.mechanism.missing(self.slopes)).collect();
        missing.sort_unstable();
        missing.dedup();
        let names = |holds: &dyn Fn(&Row) -> bool| -> Vec<String> {
            let rows = self.rows.iter().filter(|row| holds(row));
            rows.map(|row| format!("{}: {}", row.role, row.name)).collect()
        };
        let mut found: Vec<_> = missing
            .into_iter()
            .map(|mechanism| {
                let carriers = names(&|row| row.mechanism.missing(self.slopes) == Some(mechanism));
                let dependents = names(&|row| row.depends_on.contains(&mechanism));
                (mechanism, carriers, dependents)
            })
            .collect();
        found.sort_by_key(|(_, carriers, dependents)| std::cmp::Reverse(carriers.len() + dependents.len()));
        let mut lines = heading("Missing mechanisms, by the rows that wait for them");
        if found.is_empty() {
            lines.push("None.".to_owned());
            return lines;
        }
        let mut table = vec![cells(&["mechanism", "rows", "carries", "rows that lean on it"])];
        table.extend(found.into_iter().map(|(mechanism, carriers, dependents)| {
            let rows = (carriers.len() + dependents.len()).to_string();
            let dependents =
                if dependents.is_empty() { NOT_APPLICABLE.to_owned() } else { dependents.join("; ") };
            vec![mechanism.to_owned(), rows, carriers.join("; "), dependents]
        }));
        lines.extend(markdown(&table));
        lines
    }

    fn shortfalls<'a>(&self, row: &'a Row) -> Vec<Shortfall<'a>> {
        let missing = row.mechanism.missing(self.slopes);
        let without = missing.map(|_| Shortfall { row, need: None, ratio: f64::INFINITY });
        let over = row.needs.iter().filter_map(|need| {
            let ratio = budget_ratio(need, self.plan, self.slopes)?;
            (ratio > 1.0).then_some(Shortfall { row, need: Some(need), ratio })
        });
        without.into_iter().chain(over).collect()
    }

    fn shortfall_line(&self, shortfall: &Shortfall) -> Vec<String> {
        let Shortfall { row, need, .. } = shortfall;
        let why = match need {
            None => format!("no mechanism: {}", row.mechanism.missing(self.slopes).unwrap_or(NOT_APPLICABLE)),
            Some(need) => {
                let budget = need.budget.map_or(0.0, |budget| (budget.limit)(self.plan));
                let case = worst_case(need, self.plan, self.slopes);
                format!(
                    "{}: {} of {}",
                    label(need),
                    case.map_or(NOT_APPLICABLE.to_owned(), |worst| format!(
                        "{} ({})",
                        format_value(need.resource, &worst.value),
                        worst.case
                    )),
                    format_amount(need.resource, budget)
                )
            }
        };
        let (over, used_up) = match need {
            None => (NOT_APPLICABLE.to_owned(), NOT_APPLICABLE.to_owned()),
            Some(need) => (self.ratio_cell(need), self.exhaustion_cell(need)),
        };
        vec![row.role.to_string(), row.name.to_owned(), why, over, used_up]
    }

    fn not_measured(&self) -> Vec<String> {
        let mut missing = Vec::new();
        for need in self.rows.iter().flat_map(|row| &row.needs) {
            for case in Case::ALL {
                let context = Context { plan: self.plan, slopes: self.slopes, case };
                match (need.value)(&context) {
                    Err(Unavailable::NotMeasured(series)) => missing.push(series),
                    Err(Unavailable::Unrecognized { series, found }) => {
                        missing.push(format!("{series} (\"{found}\" is not understood)"));
                    }
                    Ok(_) | Err(Unavailable::NotApplicable) => {}
                }
            }
        }
        let mut lines = heading("Not measured");
        lines.push(match missing.is_empty() {
            true => "None.".to_owned(),
            false => format!("{}.", group_by_prefix(missing)),
        });
        lines
    }

    fn arithmetic(&self) -> Vec<String> {
        let plan = self.plan;
        let node = demand::requests_per_node(plan, Case::Peak);
        let pair = demand::requests_per_pair(plan, Case::Peak);
        let figures = [
            ("requests a second of a node", format_number(node)),
            ("of a node and one server", format_number(pair)),
            ("of a cold node and one server", format_number(pair * plan.cold_node_share)),
            ("of a cache server", format_number(demand::requests_per_server(plan, Case::Peak))),
            (
                "connections from nodes to servers, one for each pair",
                format_count(demand::node_server_pairs(plan)),
            ),
            ("objects of a cache server, each kept once", format_count(demand::objects_per_server(plan))),
            ("bytes of an answer, by the plan", format_count(demand::planned_answer_bytes(plan))),
            (
                "Tbit/s at the peak with the largest body",
                format_number(demand::terabits_within_protocol(plan)),
            ),
            ("changes of configuration a second", format_number(demand::configuration_per_second(plan))),
            ("entries a day, purges and changes", format_count(demand::entries_per_second(plan) * 86_400.0)),
            ("purges that a region misses while cut off", format_count(demand::purges_missed(plan))),
            ("nodes of a site, a zone, a region", self.nodes_by_place()),
        ];
        let mut table = vec![cells(&["figure", "value"])];
        table.extend(figures.map(|(name, value)| vec![name.to_owned(), value]));
        let mut lines = heading("By arithmetic from the plan");
        lines.extend(markdown(&table));
        lines
    }

    fn nodes_by_place(&self) -> String {
        let Plan { nodes, sites, zones, regions, .. } = self.plan;
        [sites, zones, regions].map(|places| format_number(nodes / places)).join(", ")
    }

    fn role(&self, role: Role) -> Vec<String> {
        let rows: Vec<_> = self.rows.iter().filter(|row| row.role == role).collect();
        let first = role.to_string();
        let mut lines = heading(&format!("{}{}", first[..1].to_uppercase(), &first[1..]));
        let names = [
            "row",
            "state",
            "messages",
            "bytes",
            "processor",
            "memory",
            "mechanism",
            "need over budget",
            "used up at, nodes",
        ];
        let mut table = vec![cells(&names)];
        table.extend(rows.iter().map(|row| self.row_line(row)));
        lines.extend(markdown(&table));
        lines.push(String::new());
        let mut table = vec![self.case_names()];
        for row in rows {
            table.extend(row.needs.iter().map(|need| self.need_line(row, need)));
        }
        lines.extend(markdown(&table));
        lines
    }

    /// The line of a row at the peak.
    fn row_line(&self, row: &Row) -> Vec<String> {
        let context = Context { plan: self.plan, slopes: self.slopes, case: Case::Peak };
        let of = |resource: Resource| {
            let needs = row.needs.iter().filter(|need| need.resource == resource);
            let parts: Vec<_> = needs
                .map(|need| {
                    let value = format_need(need.resource, &(need.value)(&context));
                    if need.label.is_empty() {
                        value
                    } else {
                        format!("{value} {}", need.label)
                    }
                })
                .collect();
            if parts.is_empty() {
                NOT_APPLICABLE.to_owned()
            } else {
                parts.join("; ")
            }
        };
        let tightest = row
            .needs
            .iter()
            .filter_map(|need| Some((need, budget_ratio(need, self.plan, self.slopes)?)))
            .max_by(|one, other| one.1.total_cmp(&other.1));
        let (over, used_up) = match tightest {
            Some((need, ratio)) => {
                let case = worst_case(need, self.plan, self.slopes).map(|worst| worst.case.to_string());
                let case = case.unwrap_or_default();
                (format!("{} ({}; {case})", format_number(ratio), label(need)), self.exhaustion_cell(need))
            }
            None if row.needs.iter().any(|need| need.budget.is_some()) => {
                (NOT_MEASURED.to_owned(), NOT_MEASURED.to_owned())
            }
            None => ("no budget".to_owned(), NOT_APPLICABLE.to_owned()),
        };
        let mechanism = match row.mechanism.modules(self.slopes) {
            Some(modules) => {
                modules.split(", ").map(|module| format!("`{module}`")).collect::<Vec<_>>().join(", ")
            }
            None => format!("{NONE}: {}", row.mechanism.missing(self.slopes).unwrap_or(NOT_APPLICABLE)),
        };
        vec![
            row.name.to_owned(),
            (row.state)(self.plan),
            of(Resource::Messages),
            of(Resource::Bytes),
            of(Resource::Processor),
            of(Resource::Memory),
            mechanism,
            over,
            used_up,
        ]
    }

    fn case_names(&self) -> Vec<String> {
        let mut names = cells(&["row", "need"]);
        names.extend(Case::ALL.map(|case| match case {
            Case::RestartsAtOnce => format!("{} restarts at once", format_count(self.plan.restarts_at_once)),
            case => case.to_string(),
        }));
        names.extend(cells(&["budget", "need over budget", "used up at, nodes", "worked out from"]));
        names
    }

    fn need_line(&self, row: &Row, need: &Need) -> Vec<String> {
        let all = Case::ALL.map(|case| (need.value)(&Context { plan: self.plan, slopes: self.slopes, case }));
        let budget = match need.budget {
            Some(budget) => {
                format!("{} ({})", format_amount(need.resource, (budget.limit)(self.plan)), budget.source)
            }
            None => NONE.to_owned(),
        };
        let mut line = vec![row.name.to_owned(), label(need)];
        line.extend(all.iter().map(|needed| format_need(need.resource, needed)));
        line.extend([budget, self.ratio_cell(need), self.exhaustion_cell(need), inputs_of(&all)]);
        line
    }

    fn ratio_cell(&self, need: &Need) -> String {
        match (need.budget, budget_ratio(need, self.plan, self.slopes)) {
            (None, _) => NOT_APPLICABLE.to_owned(),
            (Some(_), Some(ratio)) => format_number(ratio),
            (Some(_), None) => NOT_MEASURED.to_owned(),
        }
    }

    fn exhaustion_cell(&self, need: &Need) -> String {
        match (need.budget, exhausted_at(need, self.plan, self.slopes)) {
            (None, _) => NOT_APPLICABLE.to_owned(),
            (Some(_), Some(at)) => at.to_string(),
            (Some(_), None) => NOT_MEASURED.to_owned(),
        }
    }

    fn series_table(&self) -> Vec<String> {
        let names = [
            "series",
            "method",
            "against",
            "sizes",
            "plays",
            "fit",
            "residual",
            "R squared",
            "at the plan's size",
        ];
        let mut table = vec![cells(&names)];
        table.extend(self.slopes.recorded().iter().map(|recorded| self.series_line(recorded)));
        let mut lines = heading("Series");
        if table.len() == 1 {
            lines.push("None yet.".to_owned());
        } else {
            lines.extend(markdown(&table));
        }
        lines
    }

    fn series_line(&self, recorded: &Recorded) -> Vec<String> {
        let Recorded { series, fit, .. } = recorded;
        let rate = demand::requests_per_node(self.plan, Case::Peak);
        let at = match plan_size(&series.against, self.plan, Case::Peak, rate) {
            Some(size) => {
                let estimate = fit.mean_at(size);
                format!("{}: {} ({})", format_number(size), format_number(estimate.value), estimate.reach)
            }
            None => NOT_APPLICABLE.to_owned(),
        };
        let sizes: Vec<_> = fit.means.iter().map(|mean| format_number(mean.size)).collect();
        vec![
            format!("`{}`, {}", series.name, series.unit),
            series.method.to_string(),
            series.against.clone(),
            sizes.join(" / "),
            fit.plays.to_string(),
            fit.formula(format_number),
            format!("{} ({}%)", format_number(fit.residual), format_number(100.0 * fit.relative_residual)),
            format_number(fit.r_squared),
            at,
        ]
    }

    fn run_table(&self) -> Vec<String> {
        let mut table = vec![cells(&["run", "series", "date", "commit", "cores", "seeds"])];
        let mut done: Vec<(&str, &str, &str)> = Vec::new();
        for recorded in self.slopes.recorded() {
            let key = run_of(recorded);
            if !done.contains(&key) {
                done.push(key);
                table.push(self.run_line(recorded));
            }
        }
        let mut lines = heading("Runs");
        if table.len() == 1 {
            lines.push("None yet.".to_owned());
        } else {
            lines.extend(markdown(&table));
        }
        lines
    }

    fn run_line(&self, first: &Recorded) -> Vec<String> {
        let of_run: Vec<_> =
            self.slopes.recorded().iter().filter(|recorded| run_of(recorded) == run_of(first)).collect();
        let names: Vec<_> = of_run.iter().map(|recorded| format!("`{}`", recorded.series.name)).collect();
        let points = of_run.iter().flat_map(|recorded| &recorded.series.points);
        let mut seeds: Vec<_> = points.map(|point| point.seed).collect();
        seeds.sort_unstable();
        seeds.dedup();
        let seeds: Vec<_> = seeds.iter().map(u64::to_string).collect();
        vec![
            format!("`{}`", first.series.command),
            names.join(", "),
            first.stamp.date.clone(),
            first.stamp.commit.clone(),
            first.stamp.cores.to_string(),
            seeds.join(", "),
        ]
    }
}

fn run_of(recorded: &Recorded) -> (&str, &str, &str) {
    (&recorded.series.command, &recorded.stamp.date, &recorded.stamp.commit)
}

fn label(need: &Need) -> String {
    match need.label {
        "" => need.resource.to_string(),
        what => format!("{}, {what}", need.resource),
    }
}

fn format_need(resource: Resource, needed: &NeedResult) -> String {
    match needed {
        Ok(value) => format_value(resource, value),
        Err(Unavailable::NotApplicable) => NOT_APPLICABLE.to_owned(),
        Err(Unavailable::NotMeasured(_)) => NOT_MEASURED.to_owned(),
        Err(Unavailable::Unrecognized { .. }) => "unit not understood".to_owned(),
    }
}

fn format_value(resource: Resource, value: &Value) -> String {
    let at_least = if value.is_lower_bound { ">= " } else { "" };
    let extrapolated = if value.extrapolated { "~" } else { "" };
    format!("{at_least}{extrapolated}{}", format_amount(resource, value.number))
}

fn inputs_of(all: &[NeedResult]) -> String {
    let mut measured: Vec<String> = Vec::new();
    let mut missing: Vec<String> = Vec::new();
    let mut by_plan = false;
    for needed in all {
        match needed {
            Ok(value) => {
                by_plan |= value.inputs.is_empty();
                measured.extend(value.inputs.iter().cloned());
            }
            Err(Unavailable::NotMeasured(series) | Unavailable::Unrecognized { series, .. }) => {
                missing.push(series.clone())
            }
            Err(Unavailable::NotApplicable) => {}
        }
    }
    let mut parts = Vec::new();
    if by_plan {
        parts.push("the plan".to_owned());
    }
    if !measured.is_empty() {
        parts.push(group_by_prefix(measured));
    }
    if !missing.is_empty() {
        parts.push(format!("{NOT_MEASURED}: {}", group_by_prefix(missing)));
    }
    parts.join("; ")
}

/// Sorts and deduplicates names; names that share their first two dotted parts are merged as `a.b.{c, d}`.
fn group_by_prefix(mut names: Vec<String>) -> String {
    names.sort();
    names.dedup();
    let stem = |name: &str| -> Option<usize> { Some(name.match_indices('.').nth(1)?.0 + 1) };
    let alike = |one: &String, other: &String| {
        stem(one).is_some_and(|end| stem(other) == Some(end) && one[..end] == other[..end])
    };
    let groups = names.chunk_by(alike).map(|group| match (group, stem(&group[0])) {
        ([name], _) => format!("`{name}`"),
        (names, Some(end)) => {
            let ends: Vec<_> = names.iter().map(|name| &name[end..]).collect();
            format!("`{}{{{}}}`", &names[0][..end], ends.join(", "))
        }
        (names, None) => names.iter().map(|name| format!("`{name}`")).collect::<Vec<_>>().join(", "),
    });
    groups.collect::<Vec<_>>().join(", ")
}

fn heading(title: &str) -> Vec<String> {
    vec![String::new(), format!("### {title}"), String::new()]
}

fn cells(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Formats a table whose first line is the header.
fn markdown(table: &[Vec<String>]) -> Vec<String> {
    let line = |cells: &Vec<String>| {
        let escaped: Vec<_> = cells.iter().map(|cell| cell.replace('|', "\\|")).collect();
        format!("| {} |", escaped.join(" | "))
    };
    let mut lines: Vec<_> = table.iter().map(line).collect();
    let columns = table.first().map_or(0, Vec::len);
    lines.insert(1.min(lines.len()), format!("|{}", "---|".repeat(columns)));
    lines
}
