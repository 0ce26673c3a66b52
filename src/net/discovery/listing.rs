//! Parses discovery's answers into the module's types.

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::fmt;
use std::net::SocketAddr;
use tracing::warn;
use walkpick::policy::subscription::Content;
use walkpick::{Availability, ServerEntry, Timestamp};

/// Maximum number of entries in an answer: five times as many as the largest fleet has servers. The limit on the
/// answer's size does not bound the memory, since an entry of a few bytes occupies some hundred.
const MAX_ENTRIES: usize = 16_384;

/// Discovery's answer: the full list, or the changes.
#[derive(Debug, Default, Deserialize)]
pub struct Listing {
    pub seq: u64,
    pub whole: bool,
    #[serde(default, deserialize_with = "read_hosts")]
    pub hosts: Vec<Host>,
}

impl Listing {
    /// What the answer contains.
    pub fn content(&self) -> Content {
        match (self.whole, self.hosts.is_empty()) {
            (true, _) => Content::FullList,
            (false, false) => Content::Changes,
            (false, true) => Content::NoChanges,
        }
    }
}

fn read_hosts<'de, D: Deserializer<'de>>(list: D) -> Result<Vec<Host>, D::Error> {
    list.deserialize_seq(HostsVisitor)
}

/// Reads entries one after the other, each as its text first: an invalid entry must not hide the others, since the
/// node would miss a drain, and what an entry holds beside the known members must not occupy any memory.
struct HostsVisitor;

impl<'de> Visitor<'de> for HostsVisitor {
    type Value = Vec<Host>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list of servers")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Vec<Host>, A::Error> {
        let mut hosts = Vec::new();
        let mut count = 0;
        while let Some(entry) = entries.next_element::<Box<RawValue>>()? {
            count += 1;
            if count > MAX_ENTRIES {
                return Err(A::Error::custom(format_args!("more than {MAX_ENTRIES} entries")));
            }
            hosts.extend(Host::parse(entry.get()));
        }
        Ok(hosts)
    }
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

/// An entry of which only the name is read.
#[derive(Deserialize)]
struct NamedEntry {
    host: String,
}

impl Host {
    /// Of an invalid entry only the name is used: that server gets no new work.
    fn parse(entry: &str) -> Option<Self> {
        match serde_json::from_str(entry) {
            Ok(host) => Some(host),
            Err(error) => {
                let named = serde_json::from_str::<NamedEntry>(entry).ok();
                let server = named.as_ref().map_or("(unnamed)", |named| &named.host);
                warn!(target: "discovery", server, %error, "invalid entry: its server gets no new requests");
                Some(Self { host: named?.host, health: "draining".to_owned(), ..Self::default() })
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

#[cfg(test)]
mod tests;
