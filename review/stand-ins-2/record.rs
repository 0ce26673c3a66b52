//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record file that all threads of a case write to.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in the folder of a case.
    pub fn create(case_folder: &Path) -> io::Result<Self> {
        let file = File::create(case_folder.join("record.txt"))?;
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Adds a line.
    pub fn add(&self, line: impl AsRef<str>) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics while it writes");
        // A record that cannot be written does not change the result of the case.
        let _ = writeln!(file, "{seconds:8.3} {}", line.as_ref());
    }
}
