//! The node's log on standard error, as text or JSON lines, with levels and targets by subsystem. The number
//! of lines per call site is limited within a time window, so that a storm of faults does not flood the log.

use crate::net::config::section::{LogConfig, LogFormat, LogLevel};
use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tracing::callsite::Identifier;
use tracing::level_filters::LevelFilter;
use tracing::{warn, Event, Metadata, Subscriber};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, registry};

/// Starts the log of this process, once. Dropped lines are reported by [`LineLimiter::report`].
pub fn start(log: &LogConfig) -> LineLimiter {
    let limiter = LineLimiter::new(log.like_lines, log.window);
    let common = registry().with(targets(log)).with(limiter.clone());
    let lines = fmt::layer().with_ansi(false).with_writer(io::stderr);
    let started = match log.format {
        LogFormat::Text => common.with(lines).try_init(),
        LogFormat::Json => common.with(lines.json().flatten_event(true)).try_init(),
    };
    // If a log has been started before, it stays in place.
    drop(started);
    limiter
}

fn targets(log: &LogConfig) -> Targets {
    let named = log.levels.iter().map(|(name, level)| (name.clone(), level_filter(*level)));
    Targets::new().with_default(level_filter(log.level)).with_targets(named)
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::OFF,
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
        LogLevel::Trace => LevelFilter::TRACE,
    }
}

/// Counts and limits log lines by call site.
#[derive(Clone)]
pub struct LineLimiter {
    max_lines: u32,
    window: Duration,
    call_sites: Arc<Mutex<HashMap<Identifier, CallSite>>>,
    /// Notified when a line is dropped.
    line_dropped: Arc<Notify>,
}

struct CallSite {
    metadata: &'static Metadata<'static>,
    window_start: Instant,
    written: u32,
    dropped: u64,
}

impl LineLimiter {
    fn new(max_lines: u32, window: Duration) -> Self {
        Self { max_lines, window, call_sites: Arc::default(), line_dropped: Arc::default() }
    }

    /// Whether a line from this call site is to be written.
    fn admits(&self, metadata: &'static Metadata<'static>, now: Instant) -> bool {
        let mut call_sites = self.call_sites.lock().unwrap_or_else(PoisonError::into_inner);
        let new_entry = || CallSite { metadata, window_start: now, written: 0, dropped: 0 };
        let call_site = call_sites.entry(metadata.callsite()).or_insert_with(new_entry);
        if now.saturating_duration_since(call_site.window_start) >= self.window {
            (call_site.window_start, call_site.written) = (now, 0);
        }
        let admitted = call_site.written < self.max_lines;
        call_site.written += u32::from(admitted);
        if !admitted {
            call_site.dropped += 1;
            self.line_dropped.notify_one();
        }
        admitted
    }

    /// The call sites with dropped lines since the last call, and their numbers.
    fn take_dropped(&self) -> Vec<(&'static Metadata<'static>, u64)> {
        let mut call_sites = self.call_sites.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = call_sites
            .values_mut()
            .map(|call_site| (call_site.metadata, std::mem::take(&mut call_site.dropped)));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Logs how many lines of which call sites were dropped.
    pub fn report(&self) {
        for (call_site, count) in self.take_dropped() {
            let (file, line) = (call_site.file().unwrap_or("?"), call_site.line().unwrap_or(0));
            warn!(target: "log", count, of = call_site.target(), "lines left out: more like those of {file}:{line}");
        }
    }

    /// Reports at the end of each window in which lines were dropped, for as long as the node runs.
    pub async fn run(self) {
        loop {
            self.line_dropped.notified().await;
            tokio::time::sleep(self.window).await;
            self.report();
        }
    }
}

impl<S: Subscriber> Layer<S> for LineLimiter {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        self.admits(event.metadata(), Instant::now())
    }
}

#[cfg(test)]
mod tests;
