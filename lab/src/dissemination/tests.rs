use super::scenario::{run, Load};

#[test]
#[ignore = "a trial"]
fn trial() {
    let get = |name: &str, or: f64| std::env::var(name).ok().and_then(|s| s.parse().ok()).unwrap_or(or);
    let mut load = Load::planned(get("NODES", 66.0) as usize, get("LOSS", 0.0), get("SEED", 1.0) as u64);
    load.seconds = get("SECS", 60.0) as u64;
    load.entry_bytes = get("BYTES", 100.0) as usize;
    load.entries_per_second = get("RATE", 6.0) as u64;
    let started = std::time::Instant::now();
    let outcome = run(&load);
    println!("{outcome:#?}\n{:?}", started.elapsed());
}
