//! Joining: a node that has just started gets the current position of each log from others, and begins there.

use super::super::Micros;
use super::log::Log;
use super::message::LogPosition;
use super::{Dissemination, DisseminationOutput, MAX_PUBLISHERS};

impl Dissemination {
    /// Begins each log at the position that another node sent.
    pub(super) fn handle_join_response(
        &mut self,
        now: Micros,
        logs: Vec<LogPosition>,
        out: &mut Vec<DisseminationOutput>,
    ) {
        if self.joining_until.is_none() {
            return;
        }
        for position in logs {
            let publisher = position.publisher;
            if position.first == 0 || self.logs.len() >= MAX_PUBLISHERS && !self.logs.contains_key(&publisher)
            {
                continue;
            }
            let base = position.delivered;
            let (epoch, first) = (position.epoch, position.first);
            let log = self.logs.entry(publisher).or_insert_with(|| Log::new(now, epoch, first, base, false));
            log.adopt_epoch(now, epoch, first);
            if !log.base_known {
                log.skip(now, base);
                out.push(DisseminationOutput::LogReset { publisher, after: 0, through: base });
                self.deliver(now, publisher, out);
            }
        }
        self.finish_joining(now, out);
    }

    /// Ends joining. Publishers that become known from now on are followed from their first entry.
    pub(super) fn finish_joining(&mut self, now: Micros, out: &mut Vec<DisseminationOutput>) {
        self.joining_until = None;
        let unpositioned: Vec<u64> =
            self.logs.iter().filter(|(_, log)| !log.base_known).map(|(&publisher, _)| publisher).collect();
        for publisher in unpositioned {
            let Some(log) = self.logs.get_mut(&publisher) else { continue };
            log.base_known = true;
            log.delivered = log.first() - 1;
            if log.delivered > 0 {
                out.push(DisseminationOutput::LogReset { publisher, after: 0, through: log.delivered });
            }
            self.deliver(now, publisher, out);
        }
    }
}
