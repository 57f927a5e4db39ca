//! The file `record.txt` of a case: what was sent, answered and run, with the time since the start in seconds.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file =
            File::create(path).unwrap_or_else(|_| crate::cannot_run("can't write the record"));
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:8.3} {text}", self.seconds());
        }
    }
}
