//! The node's log: levels and targets by subsystem, as text or JSON lines, on standard error. Lines from one place
//! of the program are held to so many within a window: a storm of faults must not become one of lines.

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

/// Starts the log of this process, once. What it leaves out is told by [`Limit::tell`].
pub fn start(log: &LogConfig) -> Limit {
    let limit = Limit::new(log.like_lines, log.window);
    let common = registry().with(targets(log)).with(limit.clone());
    let lines = fmt::layer().with_ansi(false).with_writer(io::stderr);
    let started = match log.format {
        LogFormat::Text => common.with(lines).try_init(),
        LogFormat::Json => common.with(lines.json().flatten_event(true)).try_init(),
    };
    // A log that was started before stays as it is.
    drop(started);
    limit
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

/// Counts lines by the place that they come from.
#[derive(Clone)]
pub struct Limit {
    most: u32,
    window: Duration,
    places: Arc<Mutex<HashMap<Identifier, Place>>>,
    /// Told when a line is left out.
    left_out: Arc<Notify>,
}

struct Place {
    metadata: &'static Metadata<'static>,
    began: Instant,
    written: u32,
    left_out: u64,
}

impl Limit {
    fn new(most: u32, window: Duration) -> Self {
        Self { most, window, places: Arc::default(), left_out: Arc::default() }
    }

    /// Whether a line from this place is to be written.
    fn admits(&self, metadata: &'static Metadata<'static>, now: Instant) -> bool {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = || Place { metadata, began: now, written: 0, left_out: 0 };
        let place = places.entry(metadata.callsite()).or_insert_with(fresh);
        if now.saturating_duration_since(place.began) >= self.window {
            (place.began, place.written) = (now, 0);
        }
        let admitted = place.written < self.most;
        place.written += u32::from(admitted);
        if !admitted {
            place.left_out += 1;
            self.left_out.notify_one();
        }
        admitted
    }

    /// The places whose lines were left out since this was asked last, and how many were.
    fn take_left_out(&self) -> Vec<(&'static Metadata<'static>, u64)> {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = places.values_mut().map(|place| (place.metadata, std::mem::take(&mut place.left_out)));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Says how many lines were left out, and which.
    pub fn tell(&self) {
        for (place, count) in self.take_left_out() {
            let (file, line) = (place.file().unwrap_or("?"), place.line().unwrap_or(0));
            warn!(target: "log", count, of = place.target(), "lines left out: more like those of {file}:{line}");
        }
    }

    /// Says so at the end of each window in which lines were left out, for as long as the node runs.
    pub async fn watch(self) {
        loop {
            self.left_out.notified().await;
            tokio::time::sleep(self.window).await;
            self.tell();
        }
    }
}

impl<S: Subscriber> Layer<S> for Limit {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        self.admits(event.metadata(), Instant::now())
    }
}

#[cfg(test)]
mod tests;
