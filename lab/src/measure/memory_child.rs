//! A child process that holds balancers and says how much its resident memory grew: what this process freed before
//! cannot blur it there.

use super::decisions::{self, Fleet, Shape};
use super::{MeasureError, Programs};
use std::process::Command;

/// What the child is to hold.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// Cache servers that each balancer knows.
    pub servers: usize,
    /// Balancers.
    pub held: usize,
    /// Requests that each meets: its table of keys is full after some thousands.
    pub requests: u64,
    /// What the first one's draws come from.
    pub seed: u64,
}

/// The child's part: bytes of resident memory that one balancer takes.
pub fn answer(asked: &Asked) -> f64 {
    let shape = Shape { servers: asked.servers, ..Shape::default() };
    let balancers = |count: usize| -> Vec<_> {
        (0..count)
            .map(|i| {
                let seed = asked.seed + i as u64;
                let mut balancer = shape.balancer(seed);
                decisions::play(&mut balancer, &shape, Fleet::Answers, asked.requests, seed);
                balancer
            })
            .collect()
    };
    // The first one brings what the allocator keeps for itself.
    let first = balancers(1);
    let before = resident_bytes();
    let held = balancers(asked.held);
    let grown = resident_bytes().saturating_sub(before) as f64 / asked.held.max(1) as f64;
    drop((first, held));
    grown
}

/// Starts the child and reads its answer.
pub fn ask(programs: &Programs, asked: &Asked) -> Result<f64, MeasureError> {
    let output = Command::new(&programs.lab)
        .arg("hold")
        .arg(std::process::id().to_string())
        .arg(&programs.lab)
        .args(["measure-child", "memory"])
        .args(["--servers", &asked.servers.to_string()])
        .args(["--held", &asked.held.to_string()])
        .args(["--requests", &asked.requests.to_string()])
        .args(["--seed", &asked.seed.to_string()])
        .output()
        .map_err(MeasureError::machine("a child that holds balancers"))?;
    let text = String::from_utf8_lossy(&output.stdout);
    text.trim().parse().map_err(|_| MeasureError::Child {
        child: "the child that holds balancers",
        found: text.into_owned(),
        expected: "a number of bytes",
    })
}

fn resident_bytes() -> u64 {
    let status = procfs::process::Process::myself().and_then(|process| process.status());
    status.ok().and_then(|status| status.vmrss).unwrap_or(0) * 1_024
}
