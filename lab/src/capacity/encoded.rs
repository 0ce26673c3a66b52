//! Sizes of what nodes tell each other, as they are encoded on the wire: worked out by the node's own code, without sockets.

use crate::draw::{self, Stream};
use crate::slopes::{Method, Point, Series};
use rand::Rng;
use std::net::{Ipv4Addr, SocketAddr};
use walkpick::peers::Peer;

const SIZES: [u32; 6] = [66, 132, 265, 530, 1_060, 2_120];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;
const PORT: u16 = 7_946;
/// Microseconds from 2020 to 2030, in which processes start.
const STARTS: std::ops::Range<u64> = 1_577_836_800_000_000..1_893_456_000_000_000;

/// The series; `command` is what measures them again.
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

/// Bytes of all members' identities.
fn list_bytes(nodes: u32, seed: u64) -> Result<f64, postcard::Error> {
    let mut random = draw::stream(seed, Stream::Network);
    let mut bytes = 0;
    for node in 0..nodes {
        let address = SocketAddr::from((Ipv4Addr::from_bits(0x0a00_0001 + node), PORT));
        let order = random.random_range(STARTS);
        let name = format!("n{node}");
        let peer = Peer {
            address,
            generation: order,
            salt: random.random(),
            observer: false,
            name,
            metadata: Vec::new(),
        };
        bytes += postcard::to_stdvec(&peer)?.len();
    }
    Ok(bytes as f64)
}
