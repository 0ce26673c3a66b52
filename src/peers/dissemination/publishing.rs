//! The publisher's side: issuing entries under an epoch, and reporting who has applied them.

use super::super::Micros;
use super::acknowledgement::ChannelKey;
use super::log::{InsertOutcome, Log, MAX_RETAINED_ENTRIES};
use super::message::{Channel, Entry, LaggingNode, Refusal, Report, MAX_PAYLOAD_BYTES};
use super::overlay::TreeView;
use super::{Dissemination, DisseminationOutput};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Limit on unacknowledged entries: half of those retained, so that none is evicted before all nodes have it.
const MAX_PENDING: usize = MAX_RETAINED_ENTRIES / 2;
/// Limit on nodes listed for an entry that was not acknowledged in time.
const MAX_LAGGING_LISTED: usize = 64;
/// Time after a change of the view by which all subtrees have reported at their new position.
const VIEW_SETTLE_TIME: Micros = 3_000_000;
/// If the view keeps changing, lagging nodes are reported at the latest this long after the acknowledgement timeout.
const MAX_SETTLE_WAIT: Micros = 6_000_000;
/// Limit on refusals that are remembered as reported.
const MAX_REMEMBERED_REFUSALS: usize = 4_096;

/// Why an entry could not be published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    /// The publisher's log was not opened at this node.
    #[error("log is not open for publishing")]
    NotOpen,
    /// Another process publishes under a later epoch.
    #[error("fenced: the current epoch is {current_epoch}")]
    Fenced {
        /// The current epoch.
        current_epoch: u64,
    },
    /// The payload is over the size limit.
    #[error("payload of {bytes} bytes exceeds the limit of {MAX_PAYLOAD_BYTES} bytes")]
    PayloadTooLarge {
        /// Size of the payload.
        bytes: usize,
    },
    /// Too many entries wait for their acknowledgement.
    #[error("{0} entries already wait for acknowledgement")]
    TooManyPending(usize),
    /// Sequences and epochs begin at 1.
    #[error("sequence and epoch must be at least 1")]
    ZeroSequence,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    published_at: Micros,
    /// Whether the nodes that lack it were reported.
    reported: bool,
}

/// State of this node as a publisher.
#[derive(Debug)]
pub struct Publishing {
    epoch: u64,
    next_sequence: u64,
    versions: BTreeMap<u16, u64>,
    pending: BTreeMap<(Channel, u64), Pending>,
    reported_refusals: BTreeSet<(u64, u16, u64)>,
    fenced_by: Option<u64>,
    /// Hash of the view that reports are compared with, and when it last changed.
    view: (u64, Micros),
}

impl Publishing {
    /// Whether it is time to report which nodes lack an entry. Just after a change of the view, subtrees have new
    /// parents and have not reported there yet: their nodes would be listed without cause.
    fn is_overdue(&self, now: Micros, pending: &Pending, timeout: Micros) -> bool {
        let due = pending.published_at + timeout;
        !pending.reported
            && now >= due
            && (now >= self.view.1 + VIEW_SETTLE_TIME || now >= due + MAX_SETTLE_WAIT)
    }
}

impl Dissemination {
    /// Opens this node's log and states under an epoch later than all before. `first` follows the last sequence ever
    /// issued. `resend`: entries of earlier epochs that may not have reached all nodes; they are sent again.
    pub fn open_publisher(
        &mut self,
        now: Micros,
        epoch: u64,
        first: u64,
        resend: Vec<Entry>,
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
        if !log.base_known {
            let kept = resend.iter().map(|entry| entry.sequence).min().unwrap_or(first);
            log.skip(now, kept.saturating_sub(1));
        }
        for entry in resend.into_iter().filter(|entry| entry.fits() && (1..first).contains(&entry.sequence)) {
            let sequence = entry.sequence;
            // Entries to resend are valid whichever epoch issued them.
            let epoch = entry.epoch.max(1);
            log.adopt_epoch(now, epoch, sequence);
            if log.insert(now, entry) == InsertOutcome::New {
                for child in self.overlay.tree_view(publisher).children() {
                    self.counters.abandoned += self.outbox.queue_entry(publisher, child.address, sequence);
                }
            }
        }
        log.adopt_epoch(now, epoch, first);
        self.logs.insert(publisher, log);
        self.deliver(now, publisher, out);
        let delivered = self.logs.get(&publisher).map_or(0, |log| log.delivered);
        if delivered < first - 1 {
            // The entries to resend have a gap, which no other node can fill for the subscriber here.
            self.skip(now, publisher, first - 1, out);
        }
        self.publishing = Some(Publishing {
            epoch,
            next_sequence: first,
            versions: BTreeMap::new(),
            pending: BTreeMap::new(),
            reported_refusals: BTreeSet::new(),
            fenced_by: None,
            view: (self.overlay.set_hash(), now),
        });
        Ok(())
    }

    /// Issues the next entry of the log and returns its sequence. It is sent by the next call of
    /// [`Dissemination::run_timers`], or at once by [`Dissemination::flush`].
    pub fn publish_log(
        &mut self,
        now: Micros,
        kind: u16,
        schema: u16,
        payload: Vec<u8>,
        out: &mut Vec<DisseminationOutput>,
    ) -> Result<u64, PublishError> {
        let publisher = self.me.key;
        let publishing = check_publishable(&mut self.publishing, &payload)?;
        let (epoch, sequence) = (publishing.epoch, publishing.next_sequence);
        publishing.next_sequence += 1;
        publishing.pending.insert((Channel::Log, sequence), Pending { published_at: now, reported: false });
        let entry = Entry { epoch, sequence, kind, schema, payload, extension: Vec::new() };
        let Some(log) = self.logs.get_mut(&publisher) else { return Err(PublishError::NotOpen) };
        log.insert(now, entry);
        for child in self.overlay.tree_view(publisher).children() {
            self.counters.abandoned += self.outbox.queue_entry(publisher, child.address, sequence);
        }
        self.deliver(now, publisher, out);
        Ok(sequence)
    }

    /// Issues the next version of a state and returns the version.
    pub fn publish_state(
        &mut self,
        now: Micros,
        kind: u16,
        schema: u16,
        payload: Vec<u8>,
        out: &mut Vec<DisseminationOutput>,
    ) -> Result<u64, PublishError> {
        let publisher = self.me.key;
        let publishing = check_publishable(&mut self.publishing, &payload)?;
        let version = publishing.versions.entry(kind).or_insert(0);
        *version += 1;
        let (epoch, version) = (publishing.epoch, *version);
        // A newer version supersedes the earlier ones, which nobody needs any more.
        publishing.pending.retain(|(channel, _), _| *channel != Channel::State(kind));
        publishing
            .pending
            .insert((Channel::State(kind), version), Pending { published_at: now, reported: false });
        let entry = Entry { epoch, sequence: version, kind, schema, payload, extension: Vec::new() };
        let me = self.me.address;
        self.handle_state(now, me, publisher, &entry, out);
        Ok(version)
    }

    /// Whether this node publishes under this key and has not been fenced.
    pub(super) fn is_active_publisher(&self, publisher: u64) -> bool {
        publisher == self.me.key && self.publishing.as_ref().is_some_and(|own| own.fenced_by.is_none())
    }

    /// Stops publishing: another process publishes under a later epoch.
    pub(super) fn fence(&mut self, publisher: u64, epoch: u64, out: &mut Vec<DisseminationOutput>) {
        if publisher != self.me.key {
            return;
        }
        if let Some(publishing) =
            self.publishing.as_mut().filter(|own| own.epoch < epoch && own.fenced_by.is_none())
        {
            publishing.fenced_by = Some(epoch);
            publishing.pending.clear();
            out.push(DisseminationOutput::Fenced { epoch });
        }
    }

    pub(super) fn check_acknowledgements(&mut self, now: Micros, out: &mut Vec<DisseminationOutput>) {
        let publisher = self.me.key;
        let timeout = self.config.acknowledge_timeout.as_micros() as Micros;
        let view = self.overlay.set_hash();
        let Some(own) = &mut self.publishing else { return };
        if own.view.0 != view {
            own.view = (view, now);
        }
        let due = own.pending.values().any(|pending| own.is_overdue(now, pending, timeout));
        let changed = std::mem::take(&mut self.report_states.entry(publisher).or_default().changed);
        if !due && !changed {
            return;
        }
        for report in self.gather_reports(now, publisher) {
            self.acknowledge(now, &report, out);
        }
        if due {
            self.report_unacknowledged(now, timeout, out);
        }
    }

    fn acknowledge(&mut self, now: Micros, report: &Report, out: &mut Vec<DisseminationOutput>) {
        let complete = report.set_hash == self.overlay.set_hash()
            && report.nodes as usize == self.overlay.members().len();
        let Some(publishing) = &mut self.publishing else { return };
        if let Channel::State(kind) = report.channel {
            for refusal in &report.refusals {
                let new = publishing.reported_refusals.insert((refusal.key, kind, refusal.version));
                if new {
                    out.push(DisseminationOutput::StateRefused { kind, refusal: refusal.clone() });
                }
            }
            while publishing.reported_refusals.len() > MAX_REMEMBERED_REFUSALS {
                publishing.reported_refusals.pop_first();
            }
        }
        let refused = |sequence: u64| {
            report.refusal_count > 0 || report.refusals.iter().any(|refusal| refusal.version == sequence)
        };
        if !complete || report.epoch != publishing.epoch {
            return;
        }
        let channel = report.channel;
        let pending = publishing.pending.range((channel, 0)..=(channel, report.through));
        let acknowledged: Vec<(u64, Pending)> = pending
            .filter(|((_, sequence), _)| channel == Channel::Log || !refused(*sequence))
            .map(|((_, sequence), pending)| (*sequence, *pending))
            .collect();
        for (sequence, pending) in acknowledged {
            publishing.pending.remove(&(channel, sequence));
            let elapsed = now.saturating_sub(pending.published_at);
            out.push(DisseminationOutput::Acknowledged { channel, sequence, elapsed, nodes: report.nodes });
        }
    }

    fn report_unacknowledged(&mut self, now: Micros, timeout: Micros, out: &mut Vec<DisseminationOutput>) {
        let publisher = self.me.key;
        let Some(publishing) = &mut self.publishing else { return };
        let overdue =
            publishing.pending.iter().filter(|(_, pending)| publishing.is_overdue(now, pending, timeout));
        let overdue: Vec<(Channel, u64)> = overdue.map(|(key, _)| *key).collect();
        for key in &overdue {
            if let Some(pending) = publishing.pending.get_mut(key) {
                pending.reported = true;
            }
        }
        let progress = self.progress(publisher);
        for (channel, sequence) in overdue {
            let own = progress.iter().find(|(key, _)| key.channel == channel);
            let key = ChannelKey { publisher, channel };
            let tree_view = self.overlay.tree_view(publisher);
            let present = tree_view.members.len();
            let (mut lagging, nodes) = match own {
                Some((_, own)) if own.through >= sequence => {
                    let report = self.reports.gather(now, key, own, sequence, tree_view);
                    let refusing: Vec<u64> =
                        refusals_of(&report.refusals, sequence).map(|refusal| refusal.key).collect();
                    let nodes = report.nodes.saturating_sub(report.refusal_count);
                    (
                        lagging_keys(&report.lagging, tree_view).chain(refusing).collect::<BTreeSet<u64>>(),
                        nodes,
                    )
                }
                // The publisher's own subscriber has not applied it.
                _ => (tree_view.members.iter().map(|member| member.key).collect(), 0),
            };
            let missing = present.saturating_sub(nodes as usize);
            while lagging.len() > MAX_LAGGING_LISTED {
                lagging.pop_last();
            }
            let unlisted = missing.saturating_sub(lagging.len()) as u32;
            let lagging = lagging.into_iter().collect();
            out.push(DisseminationOutput::Unacknowledged { channel, sequence, nodes, lagging, unlisted });
        }
    }
}

fn check_publishable<'a>(
    publishing: &'a mut Option<Publishing>,
    payload: &[u8],
) -> Result<&'a mut Publishing, PublishError> {
    let publishing = publishing.as_mut().ok_or(PublishError::NotOpen)?;
    if let Some(current_epoch) = publishing.fenced_by {
        return Err(PublishError::Fenced { current_epoch });
    }
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(PublishError::PayloadTooLarge { bytes: payload.len() });
    }
    match publishing.pending.len() {
        pending if pending >= MAX_PENDING => Err(PublishError::TooManyPending(pending)),
        _ => Ok(publishing),
    }
}

fn refusals_of(refusals: &[Refusal], version: u64) -> impl Iterator<Item = &Refusal> {
    refusals.iter().filter(move |refusal| refusal.version == version)
}

/// Keys of the lagging nodes, with all nodes below an entry that stands for a whole subtree.
fn lagging_keys<'a>(lagging: &'a [LaggingNode], tree_view: TreeView<'a>) -> impl Iterator<Item = u64> + 'a {
    lagging.iter().flat_map(move |lagging| {
        let index = tree_view.members.iter().position(|member| member.key == lagging.key);
        let indices = match index {
            Some(index) if lagging.whole_subtree => tree_view.tree.subtree(index),
            Some(index) => vec![index],
            None => Vec::new(),
        };
        indices.into_iter().filter_map(move |index| tree_view.members.get(index)).map(|member| member.key)
    })
}
