use super::*;
use tracing::subscriber::with_default;
use tracing::{debug, info};

#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl io::Write for Written {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lines_of(log: &LogConfig, limiter: &LineLimiter, write: impl Fn()) -> Vec<String> {
    let written = Written::default();
    let writer = written.clone();
    let lines = fmt::layer().with_ansi(false).with_writer(move || writer.clone());
    with_default(registry().with(targets(log)).with(limiter.clone()).with(lines), write);
    let text = String::from_utf8(written.0.lock().unwrap().clone()).unwrap();
    text.lines().map(str::to_owned).collect()
}

// Guards against a storm of faults that takes the node's processor time and disk by way of the log.
#[test]
fn lines_beyond_the_limit_are_dropped_and_counted() {
    let limiter = LineLimiter::new(3, Duration::from_secs(3600));
    let lines = lines_of(&LogConfig::default(), &limiter, || {
        for i in 0..1000 {
            info!(target: "request", "request {i} failed");
        }
        info!(target: "policy", "breaker tripped");
        limiter.report();
        limiter.report();
    });
    assert_eq!(lines.len(), 5, "{lines:?}");
    assert!(lines[3].contains("policy: breaker tripped"), "{lines:?}");
    assert!(lines[4].contains("lines left out") && lines[4].contains("count=997"), "{lines:?}");
    assert!(lines[4].contains("of=\"request\""), "{lines:?}");
}

#[test]
fn each_window_has_its_own_limit() {
    fn any_call_site() -> &'static Metadata<'static> {
        let mut found = None;
        with_default(registry(), || {
            found = tracing::info_span!("call_site").metadata();
        });
        found.unwrap()
    }
    let (limiter, call_site, start) =
        (LineLimiter::new(2, Duration::from_secs(1)), any_call_site(), Instant::now());
    let admitted = |ms: &u64| limiter.admits(call_site, start + Duration::from_millis(*ms));
    assert_eq!([0, 500, 999, 1000, 1500, 1999, 2000].iter().filter(|ms| admitted(ms)).count(), 5);
    assert_eq!(limiter.take_dropped()[0].1, 2);
}

#[test]
fn levels_apply_by_subsystem() {
    let levels = [("policy".to_owned(), LogLevel::Off), ("request".to_owned(), LogLevel::Debug)];
    let log = LogConfig { level: LogLevel::Warn, levels: levels.into(), ..LogConfig::default() };
    let lines = lines_of(&log, &LineLimiter::new(10, Duration::from_secs(1)), || {
        debug!(target: "request", "one");
        warn!(target: "policy", "two");
        info!(target: "discovery", "three");
        warn!(target: "discovery", "four");
    });
    let ends: Vec<_> = lines.iter().map(|line| line.rsplit(' ').next().unwrap()).collect();
    assert_eq!(ends, ["one", "four"]);
}
