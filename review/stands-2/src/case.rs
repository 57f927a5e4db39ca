//! What all scripts share: the record, the switch of the disruption and the exit code.

use std::fs::File;
use std::io::Write;
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Instant;

/// Record of what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let time_s = self.started.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{time_s:8.3} {text}");
        }
    }
}

/// Runs a case in the folder that the first argument names. `play` gets the record and whether the disruption is to happen,
/// and returns whether the rule held.
pub fn run(play: impl FnOnce(&Record, bool) -> Result<bool, String>) -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_string());
    let is_disrupted = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let file = match File::create(format!("{folder}/record.txt")) {
        Ok(file) => Mutex::new(file),
        Err(error) => {
            eprintln!("{folder}/record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    let record = Record { file, started: Instant::now() };
    record.line(&format!("disruption: {is_disrupted}"));
    let (verdict, code) = match play(&record, is_disrupted) {
        Ok(true) => ("the rule held".to_string(), 0),
        Ok(false) => ("the rule was broken".to_string(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&verdict);
    println!("{verdict}");
    ExitCode::from(code)
}
