//! A publisher's own side: issuing entries under an epoch, and saying who has applied them.

use super::super::Micros;
use super::acknowledgement::ChannelKey;
use super::log::{Inserted, Log, RETAINED};
use super::message::{Channel, Entry, LaggingNode, Refusal, Report, MAX_PAYLOAD_BYTES};
use super::overlay::TreeView;
use super::{Dissemination, DisseminationOutput};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Entries that wait for their acknowledgement: half of what is retained, so that none is given up before all have it.
const MOST_PENDING: usize = RETAINED / 2;
/// Nodes that are named when an entry is not acknowledged in time.
const MOST_NAMED: usize = 64;
/// After a change of the view all branches have reported at their new place within this time.
const VIEW_SETTLES: Micros = 3_000_000;
/// Where the view keeps changing, those that lack an entry are named after this time beyond the bound in any case.
const LONGEST_PATIENCE: Micros = 6_000_000;
/// Refusals that are remembered as told.
const MOST_REFUSALS: usize = 4_096;

/// Why an entry can't be published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    /// This node has not opened its log.
    #[error("not opened for publishing")]
    NotOpen,
    /// Another process publishes under a later epoch.
    #[error("epoch {current_epoch} is in force")]
    Fenced {
        /// The epoch in force.
        current_epoch: u64,
    },
    /// The payload is longer than entries may be.
    #[error("a payload of {bytes} bytes, at most {MAX_PAYLOAD_BYTES} are carried")]
    PayloadTooLarge {
        /// Its bytes.
        bytes: usize,
    },
    /// Too many entries wait for their acknowledgement.
    #[error("{0} entries wait for their acknowledgement already")]
    TooManyPending(usize),
    /// Sequences begin at 1.
    #[error("sequences and epochs begin at 1")]
    ZeroSequence,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    at: Micros,
    /// Whether it was said who lacks it.
    named: bool,
}

/// What a publisher knows of its own.
#[derive(Debug)]
pub struct Publishing {
    epoch: u64,
    next: u64,
    versions: BTreeMap<u16, u64>,
    pending: BTreeMap<(Channel, u64), Pending>,
    refusals: BTreeSet<(u64, u16, u64)>,
    fenced: Option<u64>,
    /// The view that reports are held against, and since when.
    view: (u64, Micros),
}

impl Publishing {
    /// Whether it is time to say who lacks an entry. Where the view has just changed, branches hang elsewhere and have not
    /// reported there yet: their nodes would be named for nothing.
    fn is_late(&self, now: Micros, pending: &Pending, within: Micros) -> bool {
        let due = pending.at + within;
        !pending.named && now >= due && (now >= self.view.1 + VIEW_SETTLES || now >= due + LONGEST_PATIENCE)
    }
}

impl Dissemination {
    /// Opens this node's log and states under an epoch, later than all before, with the sequence that follows the last one
    /// ever issued. `record`: entries of earlier epochs that may not have reached all; they are sent again.
    pub fn open_publisher(
        &mut self,
        now: Micros,
        epoch: u64,
        first: u64,
        record: Vec<Entry>,
        out: &mut Vec<DisseminationOutput>,
    ) -> Result<(), PublishError> {
        if first == 0 || epoch == 0 {
            return Err(PublishError::ZeroSequence);
        }
        let publisher = self.me.key;
        let known = self.logs.get(&publisher).map_or(0, Log::epoch);
        if known >= epoch {
            return Err(PublishError::Fenced { current_epoch: known });
        }
        let mut log = self.logs.remove(&publisher).unwrap_or_else(|| Log::new(now, 0, 1, 0, false));
        if !log.based {
            let kept = record.iter().map(|entry| entry.sequence).min().unwrap_or(first);
            log.skip(now, kept.saturating_sub(1));
        }
        for entry in record.into_iter().filter(|entry| entry.fits() && (1..first).contains(&entry.sequence)) {
            let sequence = entry.sequence;
            // An entry of the record is good, whatever epoch issued it.
            let epoch = entry.epoch.max(1);
            log.adopt(now, epoch, sequence);
            if log.insert(now, entry) == Inserted::New {
                for child in self.overlay.tree_view(publisher).children() {
                    self.counters.abandoned += self.outbox.push_entry(publisher, child.address, sequence);
                }
            }
        }
        log.adopt(now, epoch, first);
        self.logs.insert(publisher, log);
        self.deliver(now, publisher, out);
        let lagging = self.logs.get(&publisher).map_or(0, |log| log.delivered);
        if lagging < first - 1 {
            // Its own record has a hole: nobody else can fill it for the subscriber here.
            self.skip(now, publisher, first - 1, out);
        }
        self.publishing = Some(Publishing {
            epoch,
            next: first,
            versions: BTreeMap::new(),
            pending: BTreeMap::new(),
            refusals: BTreeSet::new(),
            fenced: None,
            view: (self.overlay.set_hash(), now),
        });
        Ok(())
    }

    /// Issues the next entry of the log; its sequence. It goes out with the next call of [`Dissemination::timers`], or at
    /// once by [`Dissemination::flush`].
    pub fn publish_log(
        &mut self,
        now: Micros,
        kind: u16,
        schema: u16,
        payload: Vec<u8>,
        out: &mut Vec<DisseminationOutput>,
    ) -> Result<u64, PublishError> {
        let publisher = self.me.key;
        let publishing = ready(&mut self.publishing, &payload)?;
        let (epoch, sequence) = (publishing.epoch, publishing.next);
        publishing.next += 1;
        publishing.pending.insert((Channel::Log, sequence), Pending { at: now, named: false });
        let entry = Entry { epoch, sequence, kind, schema, payload, extension: Vec::new() };
        let Some(log) = self.logs.get_mut(&publisher) else { return Err(PublishError::NotOpen) };
        log.insert(now, entry);
        for child in self.overlay.tree_view(publisher).children() {
            self.counters.abandoned += self.outbox.push_entry(publisher, child.address, sequence);
        }
        self.deliver(now, publisher, out);
        Ok(sequence)
    }

    /// Issues the next version of a state; the version.
    pub fn publish_state(
        &mut self,
        now: Micros,
        kind: u16,
        schema: u16,
        payload: Vec<u8>,
        out: &mut Vec<DisseminationOutput>,
    ) -> Result<u64, PublishError> {
        let publisher = self.me.key;
        let publishing = ready(&mut self.publishing, &payload)?;
        let version = publishing.versions.entry(kind).or_insert(0);
        *version += 1;
        let (epoch, version) = (publishing.epoch, *version);
        // A newer version takes the place of those before: nobody needs them any more.
        publishing.pending.retain(|(channel, _), _| *channel != Channel::State(kind));
        publishing.pending.insert((Channel::State(kind), version), Pending { at: now, named: false });
        let entry = Entry { epoch, sequence: version, kind, schema, payload, extension: Vec::new() };
        let me = self.me.address;
        self.take_state(now, me, publisher, &entry, out);
        Ok(version)
    }

    /// Whether this node publishes under this key.
    pub(super) fn publishes(&self, publisher: u64) -> bool {
        publisher == self.me.key && self.publishing.as_ref().is_some_and(|own| own.fenced.is_none())
    }

    /// Another one publishes under a later epoch.
    pub(super) fn fence(&mut self, publisher: u64, epoch: u64, out: &mut Vec<DisseminationOutput>) {
        if publisher != self.me.key {
            return;
        }
        if let Some(publishing) =
            self.publishing.as_mut().filter(|own| own.epoch < epoch && own.fenced.is_none())
        {
            publishing.fenced = Some(epoch);
            publishing.pending.clear();
            out.push(DisseminationOutput::Fenced { epoch });
        }
    }

    pub(super) fn look_at_acknowledgements(&mut self, now: Micros, out: &mut Vec<DisseminationOutput>) {
        let publisher = self.me.key;
        let within = self.config.acknowledge_timeout.as_micros() as Micros;
        let view = self.overlay.set_hash();
        let Some(own) = &mut self.publishing else { return };
        if own.view.0 != view {
            own.view = (view, now);
        }
        let due = own.pending.values().any(|pending| own.is_late(now, pending, within));
        let changed = std::mem::take(&mut self.reporting.entry(publisher).or_default().changed);
        if !due && !changed {
            return;
        }
        for report in self.gather_all(now, publisher) {
            self.acknowledge(now, &report, out);
        }
        if due {
            self.name_those_that_lack(now, within, out);
        }
    }

    fn acknowledge(&mut self, now: Micros, report: &Report, out: &mut Vec<DisseminationOutput>) {
        let all = report.set_hash == self.overlay.set_hash()
            && report.nodes as usize == self.overlay.members().len();
        let Some(publishing) = &mut self.publishing else { return };
        if let Channel::State(kind) = report.channel {
            for refusal in &report.refusals {
                let new = publishing.refusals.insert((refusal.key, kind, refusal.version));
                if new {
                    out.push(DisseminationOutput::StateRefused { kind, refusal: refusal.clone() });
                }
            }
            while publishing.refusals.len() > MOST_REFUSALS {
                publishing.refusals.pop_first();
            }
        }
        let refused = |sequence: u64| {
            report.refusal_count > 0 || report.refusals.iter().any(|refusal| refusal.version == sequence)
        };
        if !all || report.epoch != publishing.epoch {
            return;
        }
        let channel = report.channel;
        let pending = publishing.pending.range((channel, 0)..=(channel, report.through));
        let done: Vec<(u64, Pending)> = pending
            .filter(|((_, sequence), _)| channel == Channel::Log || !refused(*sequence))
            .map(|((_, sequence), pending)| (*sequence, *pending))
            .collect();
        for (sequence, pending) in done {
            publishing.pending.remove(&(channel, sequence));
            let elapsed = now.saturating_sub(pending.at);
            out.push(DisseminationOutput::Acknowledged { channel, sequence, elapsed, nodes: report.nodes });
        }
    }

    fn name_those_that_lack(&mut self, now: Micros, within: Micros, out: &mut Vec<DisseminationOutput>) {
        let publisher = self.me.key;
        let Some(publishing) = &mut self.publishing else { return };
        let late = publishing.pending.iter().filter(|(_, pending)| publishing.is_late(now, pending, within));
        let late: Vec<(Channel, u64)> = late.map(|(key, _)| *key).collect();
        for key in &late {
            if let Some(pending) = publishing.pending.get_mut(key) {
                pending.named = true;
            }
        }
        let progress = self.progress(publisher);
        for (channel, sequence) in late {
            let own = progress.iter().find(|(key, _)| key.channel == channel);
            let key = ChannelKey { publisher, channel };
            let branch = self.overlay.tree_view(publisher);
            let present = branch.members.len();
            let (mut lagging, nodes) = match own {
                Some((_, own)) if own.through >= sequence => {
                    let report = self.reports.gather(now, key, own, sequence, branch);
                    let refusing: Vec<u64> =
                        refusing(&report.refusals, sequence).map(|refusal| refusal.key).collect();
                    let nodes = report.nodes.saturating_sub(report.refusal_count);
                    (named(&report.lagging, branch).chain(refusing).collect::<BTreeSet<u64>>(), nodes)
                }
                // The publisher's own subscriber has not applied it.
                _ => (branch.members.iter().map(|member| member.key).collect(), 0),
            };
            let missing = present.saturating_sub(nodes as usize);
            while lagging.len() > MOST_NAMED {
                lagging.pop_last();
            }
            let unlisted = missing.saturating_sub(lagging.len()) as u32;
            let lagging = lagging.into_iter().collect();
            out.push(DisseminationOutput::Unacknowledged { channel, sequence, nodes, lagging, unlisted });
        }
    }
}

fn ready<'a>(
    publishing: &'a mut Option<Publishing>,
    payload: &[u8],
) -> Result<&'a mut Publishing, PublishError> {
    let publishing = publishing.as_mut().ok_or(PublishError::NotOpen)?;
    if let Some(current_epoch) = publishing.fenced {
        return Err(PublishError::Fenced { current_epoch });
    }
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(PublishError::PayloadTooLarge { bytes: payload.len() });
    }
    match publishing.pending.len() {
        pending if pending >= MOST_PENDING => Err(PublishError::TooManyPending(pending)),
        _ => Ok(publishing),
    }
}

fn refusing(refused: &[Refusal], version: u64) -> impl Iterator<Item = &Refusal> {
    refused.iter().filter(move |refusal| refusal.version == version)
}

/// The keys of those that lack something: a branch stands for all below its first node.
fn named<'a>(lagging: &'a [LaggingNode], branch: TreeView<'a>) -> impl Iterator<Item = u64> + 'a {
    lagging.iter().flat_map(move |lagging| {
        let place = branch.members.iter().position(|member| member.key == lagging.key);
        let places = match place {
            Some(place) if lagging.whole_subtree => branch.tree.subtree(place),
            Some(place) => vec![place],
            None => Vec::new(),
        };
        places.into_iter().filter_map(move |place| branch.members.get(place)).map(|member| member.key)
    })
}
