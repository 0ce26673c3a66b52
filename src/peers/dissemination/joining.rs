//! A node that has just started: it is told where logs stand, and begins there.

use super::super::Micros;
use super::log::Log;
use super::message::LogPosition;
use super::{Dissemination, DisseminationOutput, MOST_PUBLISHERS};

impl Dissemination {
    /// A node that has just started is told where logs stand: it begins there.
    pub(super) fn welcome(
        &mut self,
        now: Micros,
        logs: Vec<LogPosition>,
        out: &mut Vec<DisseminationOutput>,
    ) {
        if self.joining.is_none() {
            return;
        }
        for position in logs {
            let publisher = position.publisher;
            if position.first == 0
                || self.logs.len() >= MOST_PUBLISHERS && !self.logs.contains_key(&publisher)
            {
                continue;
            }
            let base = position.delivered;
            let (epoch, first) = (position.epoch, position.first);
            let log = self.logs.entry(publisher).or_insert_with(|| Log::new(now, epoch, first, base, false));
            log.adopt(now, epoch, first);
            if !log.based {
                log.skip(now, base);
                out.push(DisseminationOutput::LogReset { publisher, after: 0, through: base });
                self.deliver(now, publisher, out);
            }
        }
        self.joined(now, out);
    }

    /// It is one of those that are there: publishers that it hears of from now on it follows from their beginning.
    pub(super) fn joined(&mut self, now: Micros, out: &mut Vec<DisseminationOutput>) {
        self.joining = None;
        let waiting: Vec<u64> =
            self.logs.iter().filter(|(_, log)| !log.based).map(|(&publisher, _)| publisher).collect();
        for publisher in waiting {
            let Some(log) = self.logs.get_mut(&publisher) else { continue };
            log.based = true;
            log.delivered = log.first() - 1;
            if log.delivered > 0 {
                out.push(DisseminationOutput::LogReset { publisher, after: 0, through: log.delivered });
            }
            self.deliver(now, publisher, out);
        }
    }
}
