//! Sizes of messages between nodes, measured by encoding them with the node's own types, without sockets.

use crate::draw::{self, Stream};
use crate::slopes::{Method, Point, Series};
use rand::Rng;
use std::net::{Ipv4Addr, SocketAddr};
use walkpick::peers::Peer;

const SIZES: [u32; 6] = [66, 132, 265, 530, 1_060, 2_120];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;
const PORT: u16 = 7_946;
/// Start times of processes, used as generations: 2020 to 2030, in microseconds since the Unix epoch.
const START_TIMES_US: std::ops::Range<u64> = 1_577_836_800_000_000..1_893_456_000_000_000;

/// Measures the series; `command` is recorded as the command that reproduces them.
pub fn encoded_sizes(command: &str) -> Result<Vec<Series>, postcard::Error> {
    let mut points = Vec::new();
    for seed in SEEDS {
        for nodes in SIZES {
            points.push(Point { size: f64::from(nodes), value: list_bytes(nodes, seed)?, seed });
        }
    }
    Ok(vec![Series {
        name: "membership.list_bytes".to_owned(),
        unit: "B".to_owned(),
        against: "nodes".to_owned(),
        method: Method::InProcess,
        command: command.to_owned(),
        points,
    }])
}

/// The encoded size of the identities of all members.
fn list_bytes(nodes: u32, seed: u64) -> Result<f64, postcard::Error> {
    let mut random = draw::stream(seed, Stream::Network);
    let mut bytes = 0;
    for node in 0..nodes {
        let address = SocketAddr::from((Ipv4Addr::from_bits(0x0a00_0001 + node), PORT));
        let generation = random.random_range(START_TIMES_US);
        let name = format!("n{node}");
        let peer =
            Peer { address, generation, salt: random.random(), observer: false, name, metadata: Vec::new() };
        bytes += postcard::to_stdvec(&peer)?.len();
    }
    Ok(bytes as f64)
}
