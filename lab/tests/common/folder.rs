//! A temporary folder for the files of a test.

use serde_json::Value;
use std::path::PathBuf;

/// A temporary folder that is removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates an empty folder. `name` must be unique among the tests of a test binary.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("walkpick-lab-test-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    /// The path of a file in the folder.
    pub fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }

    /// Writes a file into the folder.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Parses a JSON file in the folder.
    pub fn json(&self, name: &str) -> Value {
        serde_json::from_str(&std::fs::read_to_string(self.0.join(name)).unwrap()).unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
