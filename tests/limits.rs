//! The decision module stays small enough to be read at one sitting.

use std::fs;

#[test]
fn the_decision_module_keeps_its_limits() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/src/policy");
    let files = fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    let texts: Vec<_> = files.map(|path| (fs::read_to_string(&path).unwrap(), path)).collect();
    let lines = texts.iter().flat_map(|(text, _)| text.lines());
    let lines = lines.filter(|line| !line.trim().is_empty()).count();
    assert!((1..1_200).contains(&lines), "{lines} lines that are not blank; under 1,200 are allowed");
    let deploy = include_str!("../deploy/balancer.toml");
    for (text, path) in &texts {
        let name = path.file_name().unwrap().to_str().unwrap();
        assert!(deploy.contains(&format!("\"src/policy/{name}\"")), "{name} is not among the policy files");
        let long = text.lines().position(|line| line.chars().count() > 110);
        assert_eq!(long, None, "a line longer than 110 columns in {}", path.display());
        assert!(text.starts_with("//! "), "{} does not say what it holds", path.display());
    }
    let head = fs::read_to_string(format!("{folder}/mod.rs")).unwrap();
    assert!(
        head.lines().next().is_some_and(|line| line.contains("src/api.rs")),
        "it names the interface file"
    );
}
