//! `bilberryctl trace`: merges the logs of several processes into one timeline of a request.

use std::path::PathBuf;

use bilberryloft_state::error::Error;
use clap::Args;
use serde_json::Map;
use serde_json::Value;

use crate::failure::Failure;

/// Log fields that are left out of the `key=value` list at the end of a line.
const LEADING_FIELDS: [&str; 5] = ["timestamp", "level", "event", "name", "request_id"];

/// Arguments of `bilberryctl trace`.
#[derive(Args)]
pub struct TraceCommand {
    /// Id of the request.
    request_id: String,
    /// Log files of daemons with one JSON object per line; other lines are skipped.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

/// Log line of the request, with the stem of the name of its file.
struct LogLine {
    timestamp: String,
    file: String,
    fields: Map<String, Value>,
}

impl TraceCommand {
    /// Prints all log lines of the request in chronological order; fails if there is none.
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let mut lines = Vec::new();
        for file in &self.files {
            let text = std::fs::read_to_string(file).map_err(|it| Error::disk("read", file, it))?;
            let name = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            lines.extend(text.lines().filter_map(|it| parse_line(it, &name, &self.request_id)));
        }
        lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
        if lines.is_empty() {
            let text = format!("no log line of request {} in these files", self.request_id);
            return Err(Failure::NotFound(text));
        }
        lines.iter().for_each(|it| it.print(json));
        Ok(())
    }
}

/// Parses a log line of the request, or returns `None` for other lines; text in front of the JSON object, such as
/// a host's name, is ignored.
fn parse_line(text: &str, file: &str, request_id: &str) -> Option<LogLine> {
    let object = &text[text.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    if fields.get("request_id")?.as_str()? != request_id {
        return None;
    }
    let timestamp = fields.get("timestamp")?.as_str()?.to_string();
    Some(LogLine { timestamp, file: file.to_string(), fields })
}

impl LogLine {
    fn print(&self, json: bool) {
        if json {
            println!("{}", Value::Object(self.fields.clone()));
            return;
        }
        let name = self.fields.get("name").and_then(Value::as_str).unwrap_or_default();
        let other_fields = self.fields.iter().filter(|it| !LEADING_FIELDS.contains(&it.0.as_str()));
        let other_fields: Vec<String> =
            other_fields.map(|(key, value)| format!("{key}={value}")).collect();
        println!("{}  {:<12}  {:<16}  {}", self.timestamp, self.file, name, other_fields.join(" "));
    }
}
