//! Parses discovery's answers into the module's types.

use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::SocketAddr;
use tracing::warn;
use walkpick::{Availability, ServerEntry, Timestamp};

/// Discovery's answer: the full list, or the changes.
#[derive(Debug, Default, Deserialize)]
pub struct Listing {
    pub seq: u64,
    pub whole: bool,
    #[serde(default, deserialize_with = "read_hosts")]
    pub hosts: Vec<Host>,
}

/// An invalid entry must not hide the others: the node would miss a drain.
fn read_hosts<'de, D: Deserializer<'de>>(list: D) -> Result<Vec<Host>, D::Error> {
    Ok(Vec::<Value>::deserialize(list)?.into_iter().filter_map(Host::parse).collect())
}

/// One cache server in the list.
#[derive(Debug, Default, Deserialize)]
pub struct Host {
    host: String,
    dial: Option<SocketAddr>,
    site: Option<String>,
    class: Option<String>,
    block: Option<u64>,
    health: String,
    share: Option<f64>,
    born_ms: Option<u64>,
}

impl Host {
    /// Of an invalid entry only the name is used: that server gets no new work.
    fn parse(entry: Value) -> Option<Self> {
        let name = entry.get("host").and_then(Value::as_str).map(str::to_owned);
        match serde_json::from_value(entry) {
            Ok(host) => Some(host),
            Err(error) => {
                let server = name.as_deref().unwrap_or("(unnamed)");
                warn!(target: "discovery", server, %error, "invalid entry: its server gets no new requests");
                Some(Self { host: name?, health: "draining".to_owned(), ..Self::default() })
            }
        }
    }

    /// The server's address; a removed server may have none.
    pub fn dial(&self) -> Option<SocketAddr> {
        self.dial
    }

    /// Converts the entry to the module's type.
    pub fn entry(&self) -> ServerEntry {
        let started = self.born_ms.filter(|&at| at > 0);
        ServerEntry {
            id: self.host.as_str().into(),
            zone: self.site.as_deref().map(Into::into),
            kind: self.class.as_deref().map(Into::into),
            cell: self.block.unwrap_or(0),
            availability: match self.health.as_str() {
                "ready" => Availability::Ready,
                "gone" => Availability::Removed,
                // Draining, or a state unknown to this version: send no new work to that server.
                _ => Availability::Draining,
            },
            weight: self.share.filter(|share| share.is_finite() && *share >= 0.0).unwrap_or(1.0),
            started: started.map(|ms| Timestamp::from_micros(ms.saturating_mul(1000))),
        }
    }
}
