//! Tests of plans, derived figures, budgets and pages of the capacity tables.

use super::rows::Mechanism;
use super::solve::budget_ratio;
use super::*;
use crate::slopes::{Fit, Method, Point, Recorded, Series, Shape, SlopesFile, Stamp, Verdict};
use std::path::{Path, PathBuf};

const SHIPPED: &str = include_str!("../../../deploy/plans/fleet-ahead.toml");
const SOURCES: Sources = Sources { plan: "plan.toml", slopes: "slopes.json" };
const SIZES: [f64; 6] = [66.0, 132.0, 265.0, 530.0, 1_060.0, 2_120.0];

fn shipped() -> Plan {
    Plan::parse(SHIPPED).unwrap()
}

/// A series: its name, unit, size variable and cost as a function of the size.
type SeriesSpec = (&'static str, &'static str, &'static str, fn(f64) -> f64);

/// A slopes file with these series.
fn slopes(series: &[SeriesSpec]) -> SlopesFile {
    let mut file = SlopesFile::default();
    for (name, unit, against, cost) in series {
        let points = SIZES.iter().map(|size| Point { size: *size, value: cost(*size), seed: 3 }).collect();
        let series = Series {
            name: (*name).to_owned(),
            unit: (*unit).to_owned(),
            against: (*against).to_owned(),
            method: Method::Simulated,
            command: "walkpick-lab run scale.toml".to_owned(),
            points,
        };
        let stamp = Stamp { date: "2026-12-02T05:00:00Z".to_owned(), commit: "abc".to_owned(), cores: 8 };
        file.add(Recorded::new(series, stamp).unwrap());
    }
    file
}

fn find_row(role: Role, name: &str) -> Row {
    all_rows().into_iter().find(|row| row.role == role && row.name == name).unwrap()
}

fn need_of(row: &Row, resource: Resource) -> Need {
    row.needs.iter().find(|need| need.resource == resource).copied().unwrap()
}

fn membership_bytes() -> Need {
    need_of(&find_row(Role::Control, "membership"), Resource::Bytes)
}

/// The lines between a heading and the next one.
fn section(lines: &[String], title: &str) -> Vec<String> {
    let begin = lines.iter().position(|line| line == &format!("### {title}")).unwrap() + 1;
    let end = lines[begin..].iter().position(|line| line.starts_with("### ")).unwrap_or(lines.len() - begin);
    lines[begin..begin + end].to_vec()
}

#[test]
fn derived_figures_of_the_shipped_plan_match_hand_calculation() {
    let plan = shipped();
    let near =
        |found: f64, expected: f64| assert!((found / expected - 1.0).abs() < 0.005, "{found} {expected}");
    near(demand::requests_per_node(&plan, Case::Peak), 755.0);
    near(demand::requests_per_pair(&plan, Case::Peak), 6.86);
    near(demand::requests_per_server(&plan, Case::Peak), 3_636.0);
    near(demand::node_server_pairs(&plan), 58_300.0);
    near(demand::objects_per_server(&plan), 40.9e6);
    near(demand::planned_answer_bytes(&plan), 593_750.0);
    near(demand::answer_bytes(&plan), 65_536.0);
    near(demand::terabits_within_protocol(&plan), 0.2097);
    near(demand::purges_missed(&plan), 1_080.0);
    near(demand::control_bytes_budget(&plan), 16_000.0);
    near(demand::control_memory_budget(&plan), 32e6);
    near(demand::requests_per_node(&plan, Case::ZoneLost), 400_000.0 / (530.0 - 530.0 / 19.0));
    near(demand::requests_per_server(&plan, Case::RegionCut), 400_000.0 / (110.0 - 110.0 / 8.0));
}

#[test]
fn all_errors_of_an_invalid_plan_are_reported_with_their_lines() {
    let bad = SHIPPED
        .replace("name = \"fleet-ahead\"", "name = \"\"")
        .replace("nodes = 530", "nodes = 530.5")
        .replace("sites = 43\n", "")
        .replace("zones = 19", "zones = \"many\"")
        .replace("core_fraction = 0.043", "core_fraction = -1\ncore_part = 0.043")
        .replace("[assumed]", "[guessed]");
    let faults = Plan::parse(&bad).unwrap_err();
    let line_of = |text: &str| bad.lines().position(|line| line.contains(text)).unwrap() + 1;
    let reported: Vec<_> = faults.iter().map(|fault| (fault.line, fault.key.as_str())).collect();
    assert_eq!(
        reported,
        [
            (line_of("name = \"\""), "name"),
            (line_of("[fleet]"), "fleet.sites"),
            (line_of("530.5"), "fleet.nodes"),
            (line_of("\"many\""), "fleet.zones"),
            (line_of("core_fraction"), "control_budget.core_fraction"),
            (line_of("core_part"), "control_budget.core_part"),
            (line_of("[guessed]"), "guessed"),
            (bad.lines().count() + 1, "assumed"),
        ]
    );
    let text = faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
    assert!(text.contains("fleet.nodes: found 530.5, expected a whole number from 1 to 1000000"), "{text}");
    assert!(text.contains("found \"many\""), "{text}");
}

#[test]
fn inconsistent_values_of_a_plan_are_reported() {
    let bad = SHIPPED
        .replace("regions = 8", "regions = 20")
        .replace("node_memory_least_megabytes = 32", "node_memory_least_megabytes = 512")
        .replace("restarts_at_once = 32", "restarts_at_once = 531");
    let faults = Plan::parse(&bad).unwrap_err();
    let places: Vec<_> = faults.iter().map(|fault| fault.key.as_str()).collect();
    assert_eq!(places, ["fleet.regions", "failures.restarts_at_once", "pages.node_memory_least_megabytes"]);
    assert!(faults[0].expected.contains("at most fleet.zones, which is 19"), "{}", faults[0]);
}

#[test]
fn invalid_toml_is_reported_with_its_line() {
    let faults = Plan::parse("name = \"x\"\n[fleet\nnodes = 1\n").unwrap_err();
    assert_eq!(faults[0].line, 2, "{faults:?}");
}

#[test]
fn needs_have_no_measured_inputs_without_series() {
    let (plan, none) = (shipped(), SlopesFile::default());
    for row in all_rows() {
        for need in &row.needs {
            for case in Case::ALL {
                if let Ok(value) = (need.value)(&Context { plan: &plan, slopes: &none, case }) {
                    assert!(value.inputs.is_empty(), "{}: {}", row.name, need.label);
                }
            }
        }
    }
    let lines = render(&plan, &none, SOURCES);
    let membership = section(&lines, "Node: control");
    let row = membership.iter().find(|line| line.starts_with("| membership | bytes")).unwrap();
    assert_eq!(
        row.matches("not measured").count(),
        12,
        "nine cases, need over budget, used up at and worked out from: {row}"
    );
}

#[test]
fn exhaustion_size_is_where_the_fitted_cost_reaches_the_budget() {
    let plan = shipped();
    // The cost reaches the membership budget of 8,000 B/s at 790 nodes.
    let linear = slopes(&[("membership.bytes_per_second.rest", "B/s", "nodes", |size| 100.0 + 10.0 * size)]);
    assert_eq!(exhausted_at(&membership_bytes(), &plan, &linear), Some(Exhaustion::At(791.0)));
    let over = budget_ratio(&membership_bytes(), &plan, &linear).unwrap();
    assert!((over - 5_400.0 / 8_000.0).abs() < 1e-9, "{over}");
    let steep = slopes(&[("membership.bytes_per_second.rest", "B/s", "nodes", |size| 100.0 * size)]);
    assert_eq!(exhausted_at(&membership_bytes(), &plan, &steep), Some(Exhaustion::ExceededFrom(81.0)));
    let flat = slopes(&[("membership.bytes_per_second.rest", "B/s", "nodes", |_| 650.0)]);
    assert_eq!(exhausted_at(&membership_bytes(), &plan, &flat), Some(Exhaustion::Never));
    let high = slopes(&[("membership.bytes_per_second.rest", "B/s", "nodes", |_| 65_000.0)]);
    assert_eq!(exhausted_at(&membership_bytes(), &plan, &high), Some(Exhaustion::Always));
    assert_eq!(exhausted_at(&membership_bytes(), &plan, &SlopesFile::default()), None);
}

#[test]
fn needs_that_fall_with_nodes_are_exceeded_below_a_minimum_size() {
    let (plan, none) = (shipped(), SlopesFile::default());
    let servers = need_of(
        &find_row(Role::RequestPath, "connections to cache servers, at the least"),
        Resource::Connections,
    );
    // 400,000 x 0.115 / 116 = 396.6 serving nodes; with a region of 1/8 cut off, 453.2 nodes in total.
    assert_eq!(exhausted_at(&servers, &plan, &none), Some(Exhaustion::ExceededBelow(454.0)));
    let fewer = plan.with_nodes(300.0);
    assert_eq!(exhausted_at(&servers, &fewer, &none), Some(Exhaustion::TooFewBelow(454.0)));
}

#[test]
fn worst_case_includes_series_measured_with_datagram_loss() {
    let plan = shipped();
    let measured = slopes(&[
        ("membership.bytes_per_second.rest", "B/s", "nodes", |_| 650.0),
        ("membership.bytes_per_second.peak.zone", "B/s", "nodes", |_| 7_000.0),
        ("membership.bytes_per_second.peak.zone.loss-5-percent", "KB/s", "nodes", |_| 9.0),
        ("membership.bytes_per_second.peak.split", "B/s", "nodes", |_| 8_000.0),
    ]);
    let worst = worst_case(&membership_bytes(), &plan, &measured).unwrap();
    assert_eq!((worst.case, worst.value.number), (Case::ZoneLost, 9_000.0));
    let other = Context { plan: &plan, slopes: &measured, case: Case::OtherFailures };
    let other = (membership_bytes().value)(&other).unwrap();
    assert!(other.is_lower_bound && other.number == 8_000.0, "three of four series are missing: {other:?}");
}

#[test]
fn variant_series_is_used_when_the_plain_series_is_missing() {
    let plan = shipped();
    let measured = slopes(&[
        ("membership.bytes_per_second.peak.zone.regions", "B/s", "nodes", |_| 7_600.0),
        ("membership.bytes_per_second.peak.zone.loss-5-percent.regions", "B/s", "nodes", |_| 7_500.0),
        ("membership.bytes_per_second.peak.zone_share", "B/s", "nodes", |_| 9_900.0),
    ]);
    let context = Context { plan: &plan, slopes: &measured, case: Case::ZoneLost };
    assert_eq!((membership_bytes().value)(&context).unwrap().number, 7_600.0);
}

#[test]
fn idle_membership_traffic_is_not_counted_twice_with_dissemination() {
    let plan = shipped();
    let measured = slopes(&[
        ("membership.bytes_per_second.rest", "B/s", "nodes", |_| 600.0),
        ("membership.bytes_per_second.peak.zone", "B/s", "nodes", |_| 7_000.0),
        ("dissemination.bytes_per_second.peak", "B/s", "nodes", |_| 5_000.0),
    ]);
    let row = find_row(Role::Control, "membership and dissemination together");
    let of = |case: Case| {
        (need_of(&row, Resource::Bytes).value)(&Context { plan: &plan, slopes: &measured, case })
    };
    assert_eq!(of(Case::Peak).unwrap().number, 5_000.0);
    assert_eq!(of(Case::ZoneLost).unwrap().number, 11_400.0);
}

#[test]
fn size_variables_of_series_map_to_figures_of_the_plan() {
    let plan = shipped();
    let size = |against: &str| {
        let size = values::plan_size(against, &plan, Case::Peak, 755.0);
        size.map(|size| size.round())
    };
    let expected = [
        ("nodes", Some(530.0)),
        ("watches", Some(530.0)),
        ("servers", Some(110.0)),
        ("servers of the zone", Some(6.0)),
        ("servers lost", Some(6.0)),
        ("nodes lost", Some(28.0)),
        ("zones", Some(19.0)),
        ("classes", Some(4.0)),
        ("tenants", Some(1.0)),
        ("requests a second", Some(755.0)),
        ("refusals a second", Some(755.0)),
        ("requests a second of the node", Some(755.0)),
        ("requests in flight", Some(87.0)),
        ("connections of clients", Some(87.0)),
        ("bytes of an answer", Some(65_536.0)),
        ("entries that changed", Some(110.0)),
        ("moons", None),
    ];
    for (against, number) in expected {
        assert_eq!(size(against), number, "{against}");
    }
}

#[test]
fn unknown_unit_is_reported_and_gives_no_value() {
    let plan = shipped();
    let odd = slopes(&[("membership.bytes_per_second.rest", "furlongs", "nodes", |_| 650.0)]);
    let context = Context { plan: &plan, slopes: &odd, case: Case::Peak };
    assert!(matches!((membership_bytes().value)(&context), Err(Unavailable::Unrecognized { .. })));
    let lines = render(&plan, &odd, SOURCES);
    assert!(section(&lines, "Not measured")
        .iter()
        .any(|line| line.contains("\"furlongs\" is not understood")));
}

#[test]
fn rows_without_a_mechanism_are_listed_before_rows_over_budget() {
    let plan = shipped();
    let measured = slopes(&[
        ("membership.bytes_per_second.rest", "B/s", "nodes", |size| 100.0 * size),
        ("dissemination.seconds_to_all.log", "s", "nodes", |_| 1.0),
    ]);
    let first = section(&render(&plan, &measured, SOURCES), "First: without a mechanism, or over budget");
    let missing: Vec<_> = first.iter().map(|line| line.contains("no mechanism")).collect();
    assert!(missing[3] && !missing.last().unwrap(), "{first:?}");
    assert_eq!(
        missing[3..].iter().filter(|missing| **missing).count(),
        6,
        "dissemination counts as present once its series is measured"
    );
    assert!(missing[3..].is_sorted_by(|one, other| one >= other), "{first:?}");
    assert!(first.iter().any(|line| line.contains("membership") && line.contains("6.62 | 81, passed")));
    assert!(!first.iter().any(|line| line.contains("purges, to every node")));
}

#[test]
fn extrapolated_values_are_marked() {
    let plan = shipped().with_nodes(4_240.0);
    let measured = slopes(&[("membership.bytes_per_second.rest", "B/s", "nodes", |size| size)]);
    let lines = render(&plan, &measured, SOURCES);
    assert!(section(&lines, "Node: control").iter().any(|line| line.contains("| ~4,240 B/s |")));
    assert!(section(&lines, "Series").iter().any(|line| line.contains("2.0 times past the largest size")));
}

#[test]
fn tables_name_the_series_of_each_need_and_the_run_of_each_series() {
    let measured = slopes(&[("membership.bytes_per_second.rest", "B/s", "nodes", |size| size)]);
    let lines = render(&shipped(), &measured, SOURCES);
    let control = section(&lines, "Node: control");
    let row = control.iter().find(|line| line.starts_with("| membership | bytes")).unwrap();
    assert!(row.contains("`membership.bytes_per_second.rest`; not measured: "), "{row}");
    let runs = section(&lines, "Runs");
    let run = "| `walkpick-lab run scale.toml` | `membership.bytes_per_second.rest` | 2026-12-02T05:00:00Z | abc | 8 | 3 |";
    assert!(runs.iter().any(|line| line == run), "{runs:?}");
}

#[test]
fn modules_named_by_rows_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    for row in all_rows() {
        let Mechanism::Modules(modules) = row.mechanism else { continue };
        for module in modules.split(", ") {
            assert!(root.join(module).exists(), "{}: {module}", row.name);
        }
    }
}

#[test]
fn rows_depend_only_on_missing_mechanisms_of_other_rows() {
    let none = SlopesFile::default();
    let missing: Vec<_> = all_rows().iter().filter_map(|row| row.mechanism.missing(&none)).collect();
    for row in all_rows() {
        assert!(row.depends_on.iter().all(|mechanism| missing.contains(mechanism)), "{}", row.name);
    }
}

#[test]
fn numbers_are_formatted_with_about_three_significant_digits() {
    let formatted =
        [0.0, 0.018_52, 0.000_04, 0.69, 6.863, 12.34, 755.3, -268.4, 40_909_090.9, 500.0].map(format_number);
    assert_eq!(
        formatted,
        ["0", "0.0185", "4.0e-5", "0.69", "6.86", "12.3", "755", "-268", "40,909,091", "500"]
    );
    let amounts = [
        figures::format_amount(Resource::Bytes, 9_400.0),
        figures::format_amount(Resource::Bytes, 16_000.0),
        figures::format_amount(Resource::Memory, 2.16e9),
        figures::format_amount(Resource::Processor, 0.043),
        figures::format_amount(Resource::Seconds, 2.4),
        figures::format_amount(Resource::Connections, 1_800.0),
    ];
    assert_eq!(amounts, ["9,400 B/s", "16 KB/s", "2.16 GB", "4.3%", "2.4 s", "1,800"]);
}

#[test]
fn encoded_member_list_grows_linearly_with_members() {
    let series = encoded_sizes("x").unwrap();
    let fit = Fit::of(&series[0].points).unwrap();
    assert_eq!((fit.shape, fit.verdict, fit.sizes), (Shape::Linear, Verdict::Straight, 6));
    // Address 7 bytes, generation 8, salt up to 5, observer 1, name up to 6, empty metadata 1.
    assert!((20.0..=29.0).contains(&fit.slope), "{fit:?}");
    assert_eq!(series, encoded_sizes("x").unwrap(), "the same seed gives the same bytes");
}

/// A page file that is removed on drop.
struct Page(PathBuf);

impl Page {
    fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("walkpick-page-{}-{name}.md", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }
}

impl Drop for Page {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

const EMPTY: &str =
    "# Title\n<!-- walkpick-lab capacity: begin -->\n<!-- walkpick-lab capacity: end -->\nprose\n";

#[test]
fn page_is_updated_between_its_markers_and_differences_are_listed() {
    let page = Page::new("updated", EMPTY);
    let tables = ["a", "b", "c"].map(str::to_owned);
    write(&page.0, &tables).unwrap();
    assert!(check(&page.0, &tables).unwrap().is_empty());
    let text = std::fs::read_to_string(&page.0).unwrap();
    assert!(text.starts_with("# Title\n") && text.ends_with("prose\n"), "{text}");
    let changed = ["a", "B", "c"].map(str::to_owned);
    let found = check(&page.0, &changed).unwrap();
    assert_eq!(found, ["line 4: the page has      b", "not on the page: B"]);
    let reordered = ["a", "c", "b"].map(str::to_owned);
    assert_eq!(check(&page.0, &reordered).unwrap().len(), 1, "a different order is reported");
    assert_eq!(check(&page.0, &tables[..2]).unwrap().len(), 1);
}

#[test]
fn page_without_valid_markers_is_rejected_and_left_unchanged() {
    let swapped = EMPTY.replace("begin", "then").replace("end -->", "begin -->").replace("then", "end");
    let twice = EMPTY.repeat(2);
    for (name, text) in [("none", "prose\n"), ("swapped", swapped.as_str()), ("twice", twice.as_str())] {
        let page = Page::new(name, text);
        assert!(matches!(check(&page.0, &[]), Err(PageError::NoMarkers { .. })), "{name}");
        assert!(write(&page.0, &[]).is_err());
        assert_eq!(std::fs::read_to_string(&page.0).unwrap(), text);
    }
}

#[test]
fn plot_contains_needs_with_a_budget() {
    let measured = slopes(&[("membership.bytes_per_second.rest", "B/s", "nodes", |size| 10.0 * size)]);
    let svg = plot(&shipped(), &measured).unwrap();
    assert!(svg.contains("<svg") && svg.contains("node: control, membership, bytes"), "{svg}");
    assert!(svg.contains("origin, fetches"), "{svg}");
}
