//! A folder for the files of one test.

use serde_json::Value;
use std::path::PathBuf;

/// A folder that goes with its test.
pub struct Folder(pub PathBuf);

impl Folder {
    /// An empty folder. `name`: one of its own for each test of a program.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("walkpick-lab-test-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    /// The path of a file in it.
    pub fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }

    /// Writes a file into it.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// What a JSON file in it holds.
    pub fn json(&self, name: &str) -> Value {
        serde_json::from_str(&std::fs::read_to_string(self.0.join(name)).unwrap()).unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
