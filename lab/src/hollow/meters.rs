//! What a process measures of itself: bytes by second, how late it is, processor time and memory.

use super::clock;
use super::protocol::{Micros, NodeReport, Usage};
use hdrhistogram::Histogram;
use procfs::process::Process;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;
/// The largest lateness that is told apart.
const LATEST: Micros = 600 * SECOND;
/// Seconds of a run that are told apart; what comes later counts to the last.
const SECONDS: usize = 4 * 3_600;

/// Of one process.
pub struct Meters {
    late: RefCell<Histogram<u64>>,
    usage: RefCell<Vec<Usage>>,
}

impl Meters {
    /// Nothing measured yet.
    pub fn new() -> io::Result<Self> {
        let late = Histogram::new_with_bounds(1, LATEST, 3).map_err(io::Error::other)?;
        Ok(Self { late: RefCell::new(late), usage: RefCell::default() })
    }

    /// Something came so late.
    pub fn late(&self, by: Micros) {
        self.late.borrow_mut().saturating_record(by.max(1));
    }

    /// The 99th percentile of lateness and the most.
    pub fn lateness(&self) -> (Micros, Micros) {
        let late = self.late.borrow();
        (late.value_at_quantile(0.99), late.max())
    }

    /// Notes processor time and memory.
    pub fn look(&self, at: Micros) {
        self.usage.borrow_mut().push(Usage { at, processor: clock::processor(), memory: memory() });
    }

    /// All that was noted.
    pub fn usage(&self) -> Vec<Usage> {
        self.usage.borrow().clone()
    }
}

/// Memory that this process holds, in bytes; zero where the system does not tell.
pub fn memory() -> u64 {
    let held = Process::myself().and_then(|process| process.statm());
    held.map_or(0, |held| held.resident * procfs::page_size())
}

/// Datagrams that came to these sockets and found their queues full, as the system counts them.
pub fn queue_full(sockets: &[SocketAddr]) -> u64 {
    let table = std::fs::read_to_string("/proc/self/net/udp").unwrap_or_default();
    let sockets: BTreeSet<String> = sockets.iter().filter_map(in_table).collect();
    let lines = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let ours = lines.filter(|line| line.get(1).is_some_and(|address| sockets.contains(*address)));
    ours.filter_map(|line| line.last()?.parse::<u64>().ok()).sum()
}

/// An address as the system's table of sockets has it: the bytes of the address as one number of this machine's order.
fn in_table(address: &SocketAddr) -> Option<String> {
    match address {
        SocketAddr::V4(address) => {
            let number = u32::from_ne_bytes(address.ip().octets());
            Some(format!("{number:08X}:{:04X}", address.port()))
        }
        SocketAddr::V6(_) => None,
    }
}

/// A node has sent a datagram.
pub fn count_bytes(report: &mut NodeReport, now: Micros, length: usize) {
    let second = ((now / SECOND) as usize).min(SECONDS);
    if report.bytes.len() <= second {
        report.bytes.resize(second + 1, 0);
    }
    report.bytes[second] = report.bytes[second].saturating_add(u32::try_from(length).unwrap_or(u32::MAX));
    report.datagrams += 1;
}
