//! The tables, as Markdown.

use super::figures::{amount, count, number};
use super::rows::{all_rows, Need, Role, Row};
use super::solve::{over_budget, used_up_at, worst};
use super::values::{size_against, Needed};
use super::{demand, Case, Context, Gap, Plan, Resource, Value};
use crate::slopes::{Recorded, SlopesFile};

const NOTHING: &str = "-";
const NOT_MEASURED: &str = "not measured";
const NONE: &str = "none";

/// Where plan and slopes come from, as the page names them.
#[derive(Clone, Copy, Debug)]
pub struct Sources<'a> {
    /// The plan file.
    pub plan: &'a str,
    /// The slopes file.
    pub slopes: &'a str,
}

/// All tables of a plan, one line each.
pub fn render(plan: &Plan, slopes: &SlopesFile, sources: Sources) -> Vec<String> {
    let tables = Tables { plan, slopes, rows: all_rows() };
    let mut lines = tables.heading(sources);
    lines.extend(tables.first());
    lines.extend(tables.missing_mechanisms());
    lines.extend(tables.not_measured());
    lines.extend(tables.arithmetic());
    for role in Role::ALL {
        lines.extend(tables.role(role));
    }
    lines.extend(tables.measured());
    lines.extend(tables.runs());
    lines
}

struct Tables<'a> {
    plan: &'a Plan,
    slopes: &'a SlopesFile,
    rows: Vec<Row>,
}

/// A row that comes first: why, and by how much.
struct Urgent<'a> {
    row: &'a Row,
    need: Option<&'a Need>,
    over: f64,
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
        let fleet: Vec<_> = fleet.iter().map(|(many, what)| format!("{} {what}", count(**many))).collect();
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

    fn first(&self) -> Vec<String> {
        let mut urgent: Vec<_> = self.rows.iter().flat_map(|row| self.urgent(row)).collect();
        let lacking = |one: &Urgent| one.need.is_none();
        urgent.sort_by(|one, other| lacking(other).cmp(&lacking(one)).then(other.over.total_cmp(&one.over)));
        let mut lines = heading("First: without a mechanism, or over budget");
        let mut table = vec![cells(&["role", "row", "why", "need over budget", "used up at, nodes"])];
        for one in &urgent {
            table.push(self.urgent_line(one));
        }
        if urgent.is_empty() {
            lines.push("None.".to_owned());
        } else {
            lines.extend(markdown(&table));
        }
        lines
    }

    /// Each missing mechanism, by how many rows wait for it.
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
                let carries = names(&|row| row.mechanism.missing(self.slopes) == Some(mechanism));
                let lean = names(&|row| row.leans_on.contains(&mechanism));
                (mechanism, carries, lean)
            })
            .collect();
        found.sort_by_key(|(_, carries, lean)| std::cmp::Reverse(carries.len() + lean.len()));
        let mut lines = heading("Missing mechanisms, by the rows that wait for them");
        if found.is_empty() {
            lines.push("None.".to_owned());
            return lines;
        }
        let mut table = vec![cells(&["mechanism", "rows", "carries", "rows that lean on it"])];
        table.extend(found.into_iter().map(|(mechanism, carries, lean)| {
            let rows = (carries.len() + lean.len()).to_string();
            let lean = if lean.is_empty() { NOTHING.to_owned() } else { lean.join("; ") };
            vec![mechanism.to_owned(), rows, carries.join("; "), lean]
        }));
        lines.extend(markdown(&table));
        lines
    }

    fn urgent<'a>(&self, row: &'a Row) -> Vec<Urgent<'a>> {
        let missing = row.mechanism.missing(self.slopes);
        let without = missing.map(|_| Urgent { row, need: None, over: f64::INFINITY });
        let over = row.needs.iter().filter_map(|need| {
            let over = over_budget(need, self.plan, self.slopes)?;
            (over > 1.0).then_some(Urgent { row, need: Some(need), over })
        });
        without.into_iter().chain(over).collect()
    }

    fn urgent_line(&self, urgent: &Urgent) -> Vec<String> {
        let Urgent { row, need, .. } = urgent;
        let why = match need {
            None => format!("no mechanism: {}", row.mechanism.missing(self.slopes).unwrap_or(NOTHING)),
            Some(need) => {
                let budget = need.budget.map_or(0.0, |budget| (budget.of)(self.plan));
                let case = worst(need, self.plan, self.slopes);
                format!(
                    "{}: {} of {}",
                    label(need),
                    case.map_or(NOTHING.to_owned(), |worst| format!(
                        "{} ({})",
                        shown(need.resource, &worst.value),
                        worst.case
                    )),
                    amount(need.resource, budget)
                )
            }
        };
        let (over, used_up) = match need {
            None => (NOTHING.to_owned(), NOTHING.to_owned()),
            Some(need) => (self.over(need), self.used_up(need)),
        };
        vec![row.role.to_string(), row.name.to_owned(), why, over, used_up]
    }

    fn not_measured(&self) -> Vec<String> {
        let mut missing = Vec::new();
        for need in self.rows.iter().flat_map(|row| &row.needs) {
            for case in Case::ALL {
                let context = Context { plan: self.plan, slopes: self.slopes, case };
                match (need.of)(&context) {
                    Err(Gap::NotMeasured(series)) => missing.push(series),
                    Err(Gap::NotUnderstood { series, found }) => {
                        missing.push(format!("{series} (\"{found}\" is not understood)"));
                    }
                    Ok(_) | Err(Gap::NotApplicable) => {}
                }
            }
        }
        let mut lines = heading("Not measured");
        lines.push(match missing.is_empty() {
            true => "None.".to_owned(),
            false => format!("{}.", grouped(missing)),
        });
        lines
    }

    fn arithmetic(&self) -> Vec<String> {
        let plan = self.plan;
        let node = demand::requests_per_node(plan, Case::Peak);
        let pair = demand::requests_per_pair(plan, Case::Peak);
        let figures = [
            ("requests a second of a node", number(node)),
            ("of a node and one server", number(pair)),
            ("of a cold node and one server", number(pair * plan.cold_node_share)),
            ("of a cache server", number(demand::requests_per_server(plan, Case::Peak))),
            (
                "connections from nodes to servers, one for each pair",
                count(demand::connections_at_least(plan)),
            ),
            ("objects of a cache server, each kept once", count(demand::objects_per_server(plan))),
            ("bytes of an answer, by the plan", count(demand::planned_answer_bytes(plan))),
            ("Tbit/s at the peak with the largest body", number(demand::terabits_within_protocol(plan))),
            ("changes of configuration a second", number(demand::configuration_per_second(plan))),
            ("entries a day, purges and changes", count(demand::entries_per_second(plan) * 86_400.0)),
            ("purges that a region misses while cut off", count(demand::purges_missed(plan))),
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
        [sites, zones, regions].map(|places| number(nodes / places)).join(", ")
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

    /// A row at the peak.
    fn row_line(&self, row: &Row) -> Vec<String> {
        let context = Context { plan: self.plan, slopes: self.slopes, case: Case::Peak };
        let of = |resource: Resource| {
            let needs = row.needs.iter().filter(|need| need.resource == resource);
            let parts: Vec<_> = needs
                .map(|need| {
                    let value = written(need.resource, &(need.of)(&context));
                    if need.what.is_empty() {
                        value
                    } else {
                        format!("{value} {}", need.what)
                    }
                })
                .collect();
            if parts.is_empty() {
                NOTHING.to_owned()
            } else {
                parts.join("; ")
            }
        };
        let tightest = row
            .needs
            .iter()
            .filter_map(|need| Some((need, over_budget(need, self.plan, self.slopes)?)))
            .max_by(|one, other| one.1.total_cmp(&other.1));
        let (over, used_up) = match tightest {
            Some((need, over)) => {
                let case = worst(need, self.plan, self.slopes).map(|worst| worst.case.to_string());
                let case = case.unwrap_or_default();
                (format!("{} ({}; {case})", number(over), label(need)), self.used_up(need))
            }
            None if row.needs.iter().any(|need| need.budget.is_some()) => {
                (NOT_MEASURED.to_owned(), NOT_MEASURED.to_owned())
            }
            None => ("no budget".to_owned(), NOTHING.to_owned()),
        };
        let mechanism = match row.mechanism.modules(self.slopes) {
            Some(modules) => {
                modules.split(", ").map(|module| format!("`{module}`")).collect::<Vec<_>>().join(", ")
            }
            None => format!("{NONE}: {}", row.mechanism.missing(self.slopes).unwrap_or(NOTHING)),
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
            Case::RestartsAtOnce => format!("{} restarts at once", count(self.plan.restarts_at_once)),
            case => case.to_string(),
        }));
        names.extend(cells(&["budget", "need over budget", "used up at, nodes", "worked out from"]));
        names
    }

    fn need_line(&self, row: &Row, need: &Need) -> Vec<String> {
        let all = Case::ALL.map(|case| (need.of)(&Context { plan: self.plan, slopes: self.slopes, case }));
        let budget = match need.budget {
            Some(budget) => format!("{} ({})", amount(need.resource, (budget.of)(self.plan)), budget.by),
            None => NONE.to_owned(),
        };
        let mut line = vec![row.name.to_owned(), label(need)];
        line.extend(all.iter().map(|needed| written(need.resource, needed)));
        line.extend([budget, self.over(need), self.used_up(need), sources_of(&all)]);
        line
    }

    fn over(&self, need: &Need) -> String {
        match (need.budget, over_budget(need, self.plan, self.slopes)) {
            (None, _) => NOTHING.to_owned(),
            (Some(_), Some(over)) => number(over),
            (Some(_), None) => NOT_MEASURED.to_owned(),
        }
    }

    fn used_up(&self, need: &Need) -> String {
        match (need.budget, used_up_at(need, self.plan, self.slopes)) {
            (None, _) => NOTHING.to_owned(),
            (Some(_), Some(at)) => at.to_string(),
            (Some(_), None) => NOT_MEASURED.to_owned(),
        }
    }

    fn measured(&self) -> Vec<String> {
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
        let at = match size_against(&series.against, self.plan, Case::Peak, rate) {
            Some(size) => {
                let estimate = fit.at(size);
                format!("{}: {} ({})", number(size), number(estimate.value), estimate.reach)
            }
            None => NOTHING.to_owned(),
        };
        let sizes: Vec<_> = fit.means.iter().map(|mean| number(mean.size)).collect();
        vec![
            format!("`{}`, {}", series.name, series.unit),
            series.method.to_string(),
            series.against.clone(),
            sizes.join(" / "),
            fit.plays.to_string(),
            fit.formula(number),
            format!("{} ({}%)", number(fit.residual), number(100.0 * fit.relative_residual)),
            number(fit.r_squared),
            at,
        ]
    }

    fn runs(&self) -> Vec<String> {
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
    match need.what {
        "" => need.resource.to_string(),
        what => format!("{}, {what}", need.resource),
    }
}

fn written(resource: Resource, needed: &Needed) -> String {
    match needed {
        Ok(value) => shown(resource, value),
        Err(Gap::NotApplicable) => NOTHING.to_owned(),
        Err(Gap::NotMeasured(_)) => NOT_MEASURED.to_owned(),
        Err(Gap::NotUnderstood { .. }) => "unit not understood".to_owned(),
    }
}

fn shown(resource: Resource, value: &Value) -> String {
    let at_least = if value.at_least { ">= " } else { "" };
    let extrapolated = if value.extrapolated { "~" } else { "" };
    format!("{at_least}{extrapolated}{}", amount(resource, value.number))
}

fn sources_of(all: &[Needed]) -> String {
    let mut measured: Vec<String> = Vec::new();
    let mut missing: Vec<String> = Vec::new();
    let mut by_plan = false;
    for needed in all {
        match needed {
            Ok(value) => {
                by_plan |= value.inputs.is_empty();
                measured.extend(value.inputs.iter().cloned());
            }
            Err(Gap::NotMeasured(series) | Gap::NotUnderstood { series, .. }) => missing.push(series.clone()),
            Err(Gap::NotApplicable) => {}
        }
    }
    let mut parts = Vec::new();
    if by_plan {
        parts.push("the plan".to_owned());
    }
    if !measured.is_empty() {
        parts.push(grouped(measured));
    }
    if !missing.is_empty() {
        parts.push(format!("{NOT_MEASURED}: {}", grouped(missing)));
    }
    parts.join("; ")
}

/// Names in order, each once; those with their first two parts in common stand together.
fn grouped(mut names: Vec<String>) -> String {
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

/// The first line is the head.
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
