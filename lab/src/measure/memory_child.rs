//! A child process that creates balancers and reports the growth of its resident memory: in a fresh process, memory
//! that was freed earlier cannot hide the growth.

use super::decisions::{self, Scenario, ServerBehavior};
use super::{MeasureError, Programs};
use std::process::Command;

/// What the child creates.
#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// Cache servers known to each balancer.
    pub servers: usize,
    /// Number of balancers.
    pub balancers: usize,
    /// Requests handled by each balancer: its table of keys is full after some thousands.
    pub requests: u64,
    /// Seed of the first balancer.
    pub seed: u64,
}

/// Runs in the child: bytes of resident memory that one balancer takes.
pub fn measure(params: &Params) -> f64 {
    let scenario = Scenario { servers: params.servers, ..Scenario::default() };
    let create = |count: usize| -> Vec<_> {
        (0..count)
            .map(|i| {
                let seed = params.seed + i as u64;
                let mut balancer = scenario.balancer(seed);
                decisions::run_requests(
                    &mut balancer,
                    &scenario,
                    ServerBehavior::Responsive,
                    params.requests,
                    seed,
                );
                balancer
            })
            .collect()
    };
    // The first balancer also pays for the memory that the allocator keeps for itself.
    let first = create(1);
    let before = resident_bytes();
    let created = create(params.balancers);
    let growth = resident_bytes().saturating_sub(before) as f64 / params.balancers.max(1) as f64;
    drop((first, created));
    growth
}

/// Starts the child and parses its output.
pub fn run(programs: &Programs, params: &Params) -> Result<f64, MeasureError> {
    let output = Command::new(&programs.lab)
        .arg("hold")
        .arg(std::process::id().to_string())
        .arg(&programs.lab)
        .args(["measure-child", "memory"])
        .args(["--servers", &params.servers.to_string()])
        .args(["--held", &params.balancers.to_string()])
        .args(["--requests", &params.requests.to_string()])
        .args(["--seed", &params.seed.to_string()])
        .output()
        .map_err(MeasureError::io("a child that holds balancers"))?;
    let text = String::from_utf8_lossy(&output.stdout);
    text.trim().parse().map_err(|_| MeasureError::Unexpected {
        source_name: "the child that holds balancers",
        found: text.into_owned(),
        expected: "a number of bytes",
    })
}

fn resident_bytes() -> u64 {
    let status = procfs::process::Process::myself().and_then(|process| process.status());
    status.ok().and_then(|status| status.vmrss).unwrap_or(0) * 1_024
}
