use crate::experiment::Diagnostic;
use crate::scale::ScaleExperiment;

const HEAD: &str = "name = \"n\"\nabout = \"a\"\n";

fn told(text: &str) -> Vec<String> {
    match ScaleExperiment::parse(&format!("{HEAD}{text}")) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(Diagnostic::to_string).collect(),
    }
}

#[test]
fn a_file_has_a_default_for_all_that_it_does_not_say() {
    let text = format!("{HEAD}[hollow]\nnodes = [66]\n[[hollow.fault]]\nwhat = \"zone\"\n");
    let experiment = ScaleExperiment::parse(&text).unwrap().unwrap();
    let settings = experiment.runner.settings().unwrap();
    assert_eq!(settings["nodes"].to_string(), "[66]");
    assert_eq!(settings["processes"].as_integer(), Some(16));
    assert_eq!(settings["fault"][0]["lasts"].as_str(), Some("12s"));
    assert_eq!(experiment.runner.groups(), ["loss-0-percent"]);
}

#[test]
fn everything_that_is_wrong_in_a_file_is_told_at_once_with_its_place() {
    let told = told(
        "[hollow]\nnode = 3\nnodes = [1]\nprocesses = \"many\"\nloss = [2.0]\nrest = \"0s\"\n\
         [[hollow.fault]]\nwhat = \"flood\"\n[[hollow.fault]]\nwhat = \"kill\"\nlasts = \"1ms\"\n\
         [[check]]\nname = \"c\"\nfigure = \"no_such\"\nat_most = 1\n",
    );
    let places = [
        "hollow: node: found an unknown key",
        "hollow: processes: found \"many\"",
        "hollow: fault 1: found unknown variant `flood`",
        "hollow: nodes: found 1",
        "hollow: loss: found 2",
        "hollow: rest: found 0s",
        "hollow: fault 1: lasts: found 1ms",
        "check 1: figure: found \"no_such\"",
    ];
    for place in places {
        assert!(told.iter().any(|line| line.starts_with(place)), "{place}: {told:#?}");
    }
    assert!(told.iter().all(|line| line.contains("expected")), "{told:#?}");
}

#[test]
fn the_experiments_on_hollow_nodes_can_be_read() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    for name in ["scale-hollow-530", "capacity-hollow-dissemination", "hollow-small"] {
        let read = ScaleExperiment::load(&folder.join(format!("{name}.toml"))).unwrap();
        let read = read.unwrap_or_else(|| panic!("{name} is of no kind"));
        assert_eq!((read.name.as_str(), read.kind.table), (name, "hollow"));
    }
}
