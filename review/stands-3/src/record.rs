//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Record of a run; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { begun: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at_s = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at_s:8.3} s  {text}");
    }

    /// Adds a line, and shows it.
    pub fn show(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
