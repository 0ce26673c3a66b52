//! Measurements of a process: bytes by second, lateness, CPU time and memory.

use super::clock;
use super::protocol::{Micros, NodeReport, Usage};
use hdrhistogram::Histogram;
use procfs::process::Process;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;
/// The largest lateness that the histogram distinguishes.
const MAX_LATENESS: Micros = 600 * SECOND;
/// Seconds of a run that are counted separately; later ones are added to the last.
const MAX_SECONDS: usize = 4 * 3_600;

/// Measurements of one process.
pub struct Meters {
    lateness: RefCell<Histogram<u64>>,
    usage: RefCell<Vec<Usage>>,
}

impl Meters {
    /// Creates empty measurements.
    pub fn new() -> io::Result<Self> {
        let lateness = Histogram::new_with_bounds(1, MAX_LATENESS, 3).map_err(io::Error::other)?;
        Ok(Self { lateness: RefCell::new(lateness), usage: RefCell::default() })
    }

    /// Records how late a timer or a delivery was.
    pub fn record_lateness(&self, lateness: Micros) {
        self.lateness.borrow_mut().saturating_record(lateness.max(1));
    }

    /// The 99th percentile and the maximum of lateness.
    pub fn lateness_p99_and_max(&self) -> (Micros, Micros) {
        let lateness = self.lateness.borrow();
        (lateness.value_at_quantile(0.99), lateness.max())
    }

    /// Records CPU time and memory.
    pub fn sample_usage(&self, at: Micros) {
        self.usage.borrow_mut().push(Usage {
            at,
            cpu_us: clock::cpu_time_us(),
            memory_bytes: resident_bytes(),
        });
    }

    /// All recorded samples.
    pub fn usage(&self) -> Vec<Usage> {
        self.usage.borrow().clone()
    }
}

/// Resident memory of this process, in bytes; zero if the system does not report it.
pub fn resident_bytes() -> u64 {
    let statm = Process::myself().and_then(|process| process.statm());
    statm.map_or(0, |statm| statm.resident * procfs::page_size())
}

/// Datagrams that the kernel dropped because the receive queues of these sockets were full.
pub fn queue_full(sockets: &[SocketAddr]) -> u64 {
    let table = std::fs::read_to_string("/proc/self/net/udp").unwrap_or_default();
    let sockets: BTreeSet<String> = sockets.iter().filter_map(proc_net_udp_address).collect();
    let lines = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let ours = lines.filter(|line| line.get(1).is_some_and(|address| sockets.contains(*address)));
    ours.filter_map(|line| line.last()?.parse::<u64>().ok()).sum()
}

/// An address in the format of `/proc/net/udp`: the address bytes as a number in native byte order.
fn proc_net_udp_address(address: &SocketAddr) -> Option<String> {
    match address {
        SocketAddr::V4(address) => {
            let number = u32::from_ne_bytes(address.ip().octets());
            Some(format!("{number:08X}:{:04X}", address.port()))
        }
        SocketAddr::V6(_) => None,
    }
}

/// Counts a datagram that a node sent.
pub fn count_sent(report: &mut NodeReport, now: Micros, length: usize) {
    let second = ((now / SECOND) as usize).min(MAX_SECONDS);
    if report.bytes.len() <= second {
        report.bytes.resize(second + 1, 0);
    }
    report.bytes[second] = report.bytes[second].saturating_add(u32::try_from(length).unwrap_or(u32::MAX));
    report.datagrams += 1;
}
