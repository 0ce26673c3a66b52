//! Tests of fits of known shapes, of the slopes file and of invalid files.

use super::*;
use std::path::PathBuf;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("walkpick-slopes-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const SIZES: [f64; 6] = [66.0, 132.0, 265.0, 530.0, 1_060.0, 2_120.0];

/// Two runs per size, 1% above and 1% below `cost`.
fn points(sizes: &[f64], cost: impl Fn(f64) -> f64) -> Vec<Point> {
    let run = |size: f64, seed: u64| {
        let noise = if seed == 1 { 1.01 } else { 0.99 };
        Point { size, value: cost(size) * noise, seed }
    };
    sizes.iter().flat_map(|size| [run(*size, 1), run(*size, 2)]).collect()
}

fn series(name: &str, method: Method, points: Vec<Point>) -> Series {
    Series {
        name: name.to_owned(),
        unit: "B/s".to_owned(),
        against: "nodes".to_owned(),
        method,
        command: "walkpick-lab run x.toml".to_owned(),
        points,
    }
}

fn stamp() -> Stamp {
    Stamp { date: "2026-12-02T05:00:00Z".to_owned(), commit: "0123456789".to_owned(), cores: 8 }
}

fn near(found: f64, expected: f64) {
    assert!((found - expected).abs() <= 1e-6 * expected.abs().max(1.0), "{found} is not {expected}");
}

#[test]
fn linear_cost_is_fitted_by_a_line() {
    let fit = Fit::of(&points(&SIZES, |size| 30.0 + 0.5 * size)).unwrap();
    assert_eq!((fit.shape, fit.verdict), (Shape::Linear, Verdict::Straight));
    near(fit.intercept, 30.0);
    near(fit.slope, 0.5);
    assert_eq!((fit.sizes, fit.plays), (6, 12));
    assert!(fit.r_squared > 0.99 && fit.relative_residual < 0.02, "{fit:?}");
    near(fit.mean_at(400.0).value, 230.0);
}

#[test]
fn residual_and_r_squared_match_hand_calculation() {
    // By hand: slope 0.6, intercept 2.2, residual sum of squares 2.4, total sum of squares 6.
    let values = [2.0, 4.0, 5.0, 4.0, 5.0];
    let point = |(value, size): (&f64, i32)| Point { size: f64::from(size), value: *value, seed: 1 };
    let points: Vec<_> = values.iter().zip(1..).map(point).collect();
    let line = super::fit::fit_shape(&points, Shape::Linear);
    near(line.slope, 0.6);
    near(line.intercept, 2.2);
    near(line.sum_of_squares, 2.4);
    let fit = Fit::of(&points).unwrap();
    // The logarithm fits these points better than the line.
    assert_eq!(fit.shape, Shape::Logarithm);
    near(fit.residual.powi(2) * 5.0, 6.0 * (1.0 - fit.r_squared));
}

#[test]
fn a_cost_that_grows_with_the_logarithm_is_fitted_by_it() {
    let fit = Fit::of(&points(&SIZES, |size| 10.0 + 3.0 * size.log2())).unwrap();
    assert_eq!((fit.shape, fit.verdict), (Shape::Logarithm, Verdict::Straight));
    near(fit.slope, 3.0);
}

#[test]
fn constant_cost_is_fitted_by_a_constant() {
    let fit = Fit::of(&points(&SIZES, |_| 650.0)).unwrap();
    assert_eq!((fit.shape, fit.verdict, fit.slope), (Shape::Constant, Verdict::Straight, 0.0));
    near(fit.intercept, 650.0);
    near(fit.mean_at(1e6).value, 650.0);
}

#[test]
fn piecewise_linear_cost_is_interpolated_between_points() {
    let knee = |size: f64| if size <= 265.0 { 650.0 } else { 650.0 + 20.0 * (size - 265.0) };
    let fit = Fit::of(&points(&SIZES, knee)).unwrap();
    assert_eq!(fit.verdict, Verdict::NoStraightLine);
    near(fit.mean_at(132.0).value, 650.0);
    near(fit.mean_at(530.0).value, knee(530.0));
    near(fit.mean_at(795.0).value, knee(795.0));
    // Beyond the largest size, the last two sizes are extrapolated.
    near(fit.mean_at(4_240.0).value, knee(4_240.0));
}

#[test]
fn fewer_than_four_sizes_give_no_line() {
    let fit = Fit::of(&points(&SIZES[..3], |size| size)).unwrap();
    assert_eq!((fit.verdict, fit.sizes), (Verdict::TooFewSizes, 3));
    let fit = Fit::of(&points(&SIZES[..4], |size| size)).unwrap();
    assert_eq!(fit.verdict, Verdict::Straight);
    assert_eq!(Fit::of(&[]), None);
    let one = Fit::of(&points(&SIZES[..1], |_| 7.0)).unwrap();
    near(one.mean_at(500.0).value, 7.0);
}

#[test]
fn estimates_outside_the_measured_sizes_state_the_distance() {
    let fit = Fit::of(&points(&SIZES, |size| size)).unwrap();
    assert_eq!(fit.mean_at(66.0).reach, Reach::Measured);
    assert_eq!(fit.mean_at(2_120.0).reach, Reach::Measured);
    assert_eq!(fit.mean_at(4_240.0).reach, Reach::Above(2.0));
    assert_eq!(fit.mean_at(33.0).reach, Reach::Below(2.0));
    assert!(fit.mean_at(4_240.0).reach.to_string().contains("2.0 times past"));
    // Estimates are limited to zero where the line is negative.
    let steep = Fit::of(&points(&SIZES, |size| 10.0 * size - 600.0)).unwrap();
    assert_eq!(steep.mean_at(1.0).value, 0.0);
}

#[test]
fn added_series_replaces_only_the_same_name_and_method() {
    let folder = Folder::new("file");
    let path = folder.0.join("slopes.json");
    let mut slopes = SlopesFile::load_or_empty(&path).unwrap();
    let old = points(&SIZES, |size| size);
    for (name, method) in [("b", Method::Simulated), ("a", Method::Real), ("b", Method::Hollow)] {
        slopes.add(Recorded::new(series(name, method, old.clone()), stamp()).unwrap());
    }
    slopes.save(&path).unwrap();
    let mut slopes = SlopesFile::load(&path).unwrap();
    let new = points(&SIZES, |size| 2.0 * size);
    let date = "2026-12-03T05:00:00Z".to_owned();
    let later = Stamp { date: date.clone(), ..stamp() };
    slopes.add(Recorded::new(series("b", Method::Hollow, new), later).unwrap());
    slopes.save(&path).unwrap();
    let read = SlopesFile::load(&path).unwrap();
    let kept: Vec<_> = read
        .recorded()
        .iter()
        .map(|one| {
            (one.series.name.as_str(), one.series.method, one.fit.slope.round(), one.stamp.date == date)
        })
        .collect();
    assert_eq!(
        kept,
        [
            ("a", Method::Real, 1.0, false),
            ("b", Method::Simulated, 1.0, false),
            ("b", Method::Hollow, 2.0, true)
        ]
    );
    assert_eq!(read, slopes, "the file reads back as written");
    assert_eq!(read.render().unwrap(), std::fs::read_to_string(&path).unwrap());
    let json: serde_json::Value = serde_json::from_str(&read.render().unwrap()).unwrap();
    assert_eq!(json["series"][0]["seeds"], serde_json::json!([1, 2]));
    assert_eq!(json["series"][0]["sizes"], serde_json::json!(SIZES));
    assert_eq!(json["series"][0]["plays"], 12);
    assert_eq!(json["series"][0]["fit"]["shape"], "linear");
}

#[test]
fn written_series_are_read_back_unchanged() {
    let folder = Folder::new("series");
    let path = folder.0.join("out.json");
    let written: Vec<_> = Method::ALL.map(|method| series("x.y", method, points(&SIZES, |size| size))).into();
    write_series(&path, &written).unwrap();
    assert_eq!(read_series(&path).unwrap(), written);
}

#[test]
fn all_errors_of_an_invalid_series_file_are_reported() {
    let folder = Folder::new("bad");
    let path = folder.write(
        "bad.json",
        r#"[
            {"name": "", "unit": "B/s", "against": "nodes", "method": "guessed", "command": "c", "points": []},
            7,
            {"name": "a", "unit": "B", "against": "nodes", "method": "real", "command": "c", "extra": 1,
             "points": [{"size": 0, "value": 1, "seed": 1}, {"size": 1, "value": null, "seed": 1.5}, {"size": 1, "value": "x"}]},
            {"name": "b", "unit": "B", "against": "n", "method": "real", "command": "c", "points": [{"size": 1, "value": 1, "seed": 1}]},
            {"name": "b", "unit": "B", "against": "n", "method": "real", "command": "c", "points": [{"size": 1, "value": 1, "seed": 1}]}
        ]"#,
    );
    let error = read_series(&path).unwrap_err();
    let SlopesError::Invalid { faults, .. } = &error else { panic!("{error}") };
    let locations: Vec<_> = faults.iter().map(|fault| fault.location.as_str()).collect();
    assert_eq!(
        locations,
        [
            "[0].name",
            "[0].method",
            "[0].points",
            "[1]",
            "[2].extra",
            "[2].points[0].size",
            "[2].points[1].value",
            "[2].points[1].seed",
            "[2].points[2].value",
            "[2].points[2].seed",
            "[4].name",
        ]
    );
    let text = error.to_string();
    assert_eq!(text.lines().count(), faults.len());
    assert!(
        text.contains("found \"guessed\", expected one of simulated, hollow, real, in-process"),
        "{text}"
    );
    assert!(text.lines().all(|line| line.contains("bad.json")), "{text}");
}

#[test]
fn slopes_file_without_stamps_and_invalid_json_are_rejected() {
    let folder = Folder::new("stamps");
    let bare = r#"{"series": [{"name": "b", "unit": "B", "against": "n", "method": "real", "command": "c",
        "points": [{"size": 1, "value": 1, "seed": 1}]}], "more": 1}"#;
    let error = SlopesFile::load(&folder.write("bare.json", bare)).unwrap_err().to_string();
    for location in ["the file.more", "series[0].date", "series[0].commit", "series[0].cores"] {
        assert!(error.contains(location), "{location}: {error}");
    }
    let error = SlopesFile::load(&folder.write("torn.json", "{\n\"series\": [")).unwrap_err().to_string();
    assert!(error.contains("torn.json: line 2"), "{error}");
    let error = SlopesFile::load(&folder.write("list.json", "[]")).unwrap_err().to_string();
    assert!(error.contains("expected an object"), "{error}");
}
