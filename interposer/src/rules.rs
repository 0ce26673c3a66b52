//! The fault rules and their grammar, such as `recv=short:0.5; connect=ENOBUFS:0.3@0..2000; clock=3600000@500..`.
//!
//! A rule is `CALL=EFFECT:SHARE@FROM..TO`. SHARE is the fraction of the calls that are affected, 1 by default. FROM and
//! TO are milliseconds since the start of the process; without them a rule always applies. EFFECT is `short` or the
//! name of an error as in the manual page of the call. For `clock` it is the offset of the wall clock in milliseconds,
//! without a share.

use std::ops::Range;
use thiserror::Error;

/// The calls into which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `socket`
    Socket,
    /// `bind`
    Bind,
    /// `accept4`
    Accept,
    /// `connect`
    Connect,
    /// `recv`
    Recv,
    /// `send` and `writev`
    Send,
    /// `epoll_wait`
    Wait,
    /// `clock_gettime` of the wall clock
    Clock,
}

/// The effect of a rule on a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// It fails with this error number.
    Fails(i32),
    /// It transfers a few bytes, though more could be transferred.
    Short,
    /// The wall clock is offset by this number of milliseconds.
    Step(i64),
}

/// One fault rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The affected call.
    pub call: Call,
    /// The injected fault.
    pub effect: Effect,
    /// The fraction of the calls that are affected, from 0 to 1.
    pub share: f64,
    /// When the rule applies, in milliseconds since the start of the process.
    pub during: Range<u64>,
}

/// An error in the text of a rule.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("rule {rule:?}: found {found:?}, expected {expected}")]
pub struct RuleError {
    rule: String,
    found: String,
    expected: &'static str,
}

const CALLS: [(&str, Call); 8] = [
    ("socket", Call::Socket),
    ("bind", Call::Bind),
    ("accept", Call::Accept),
    ("connect", Call::Connect),
    ("recv", Call::Recv),
    ("send", Call::Send),
    ("wait", Call::Wait),
    ("clock", Call::Clock),
];

const ERRORS: [(&str, i32); 16] = [
    ("EADDRINUSE", libc::EADDRINUSE),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("EAGAIN", libc::EAGAIN),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNRESET", libc::ECONNRESET),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EINTR", libc::EINTR),
    ("EMFILE", libc::EMFILE),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOMEM", libc::ENOMEM),
    ("EPERM", libc::EPERM),
    ("EPIPE", libc::EPIPE),
    ("EPROTO", libc::EPROTO),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

/// Parses all rules of a text, or returns an error for each invalid one.
pub fn parse(text: &str) -> Result<Vec<Rule>, Vec<RuleError>> {
    let texts = text.split(';').map(str::trim).filter(|rule| !rule.is_empty());
    let (rules, errors): (Vec<_>, Vec<_>) = texts.map(parse_rule).partition(Result::is_ok);
    if errors.is_empty() {
        Ok(rules.into_iter().flatten().collect())
    } else {
        Err(errors.into_iter().filter_map(Result::err).collect())
    }
}

fn parse_rule(text: &str) -> Result<Rule, RuleError> {
    let error =
        |found: &str, expected| RuleError { rule: text.to_owned(), found: found.to_owned(), expected };
    let (call, rest) = text.split_once('=').ok_or_else(|| error(text, "CALL=EFFECT"))?;
    let call = lookup(&CALLS, call).ok_or_else(|| error(call, "the name of a call"))?;
    let (effect_and_share, during) = match rest.split_once('@') {
        Some((rest, range)) => {
            (rest, parse_time_range(range).ok_or_else(|| error(range, "a time range FROM..TO"))?)
        }
        None => (rest, 0..u64::MAX),
    };
    let (effect, share) = match effect_and_share.split_once(':') {
        Some((effect, share)) => {
            let parsed = share.parse().ok().filter(|share| (0.0..=1.0).contains(share));
            (effect, parsed.ok_or_else(|| error(share, "a share from 0 to 1"))?)
        }
        None => (effect_and_share, 1.0),
    };
    let effect = match (call, effect) {
        (Call::Clock, offset_ms) => offset_ms.parse().ok().map(Effect::Step),
        (Call::Recv | Call::Send, "short") => Some(Effect::Short),
        (_, name) => lookup(&ERRORS, name).map(Effect::Fails),
    }
    .ok_or_else(|| error(effect, "an effect that applies to the call"))?;
    Ok(Rule { call, effect, share, during })
}

fn lookup<T: Copy>(names: &[(&str, T)], name: &str) -> Option<T> {
    names.iter().find(|(known, _)| *known == name).map(|(_, value)| *value)
}

fn parse_time_range(text: &str) -> Option<Range<u64>> {
    let (from, to) = text.split_once("..")?;
    let to = if to.is_empty() { u64::MAX } else { to.parse().ok()? };
    Some(from.parse().ok()?..to)
}

#[cfg(test)]
mod tests;
