use crate::experiment::Diagnostic;
use crate::scale::ScaleExperiment;

const HEAD: &str = "name = \"n\"\nabout = \"a\"\n";

fn diagnostics(text: &str) -> Vec<String> {
    match ScaleExperiment::parse(&format!("{HEAD}{text}")) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(Diagnostic::to_string).collect(),
    }
}

#[test]
fn omitted_settings_take_their_defaults() {
    let text = format!("{HEAD}[hollow]\nnodes = [66]\n[[hollow.fault]]\nwhat = \"zone\"\n");
    let experiment = ScaleExperiment::parse(&text).unwrap().unwrap();
    let settings = experiment.runner.settings().unwrap();
    assert_eq!(settings["nodes"].to_string(), "[66]");
    assert_eq!(settings["processes"].as_integer(), Some(16));
    assert_eq!(settings["fault"][0]["lasts"].as_str(), Some("12s"));
    assert_eq!(experiment.runner.groups(), ["loss-0-percent"]);
}

#[test]
fn all_invalid_settings_of_a_file_are_reported_at_once_with_their_location() {
    let diagnostics = diagnostics(
        "[hollow]\nnode = 3\nnodes = [1]\nprocesses = \"many\"\nloss = [2.0]\nrest = \"0s\"\n\
         [[hollow.fault]]\nwhat = \"flood\"\n[[hollow.fault]]\nwhat = \"kill\"\nlasts = \"1ms\"\n\
         [[check]]\nname = \"c\"\nfigure = \"no_such\"\nat_most = 1\n",
    );
    let expected_starts = [
        "hollow: node: found an unknown key",
        "hollow: processes: found \"many\"",
        "hollow: fault 1: found unknown variant `flood`",
        "hollow: nodes: found 1",
        "hollow: loss: found 2",
        "hollow: rest: found 0s",
        "hollow: fault 1: lasts: found 1ms",
        "check 1: figure: found \"no_such\"",
    ];
    for expected in expected_starts {
        assert!(diagnostics.iter().any(|line| line.starts_with(expected)), "{expected}: {diagnostics:#?}");
    }
    assert!(diagnostics.iter().all(|line| line.contains("expected")), "{diagnostics:#?}");
}

#[test]
fn the_provided_hollow_experiments_can_be_loaded() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    for name in ["scale-hollow-530", "capacity-hollow-dissemination", "hollow-small"] {
        let read = ScaleExperiment::load(&folder.join(format!("{name}.toml"))).unwrap();
        let read = read.unwrap_or_else(|| panic!("{name} is of no kind"));
        assert_eq!((read.name.as_str(), read.kind.table), (name, "hollow"));
    }
}
