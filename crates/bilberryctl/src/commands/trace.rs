//! `bilberryctl trace`: the logs of several processes joined into one timeline of a request.

use std::path::PathBuf;

use bilberryloft_state::error::Error;
use clap::Args;
use serde_json::Map;
use serde_json::Value;

use crate::failure::Failure;

/// Fields that stand in front of each line and are not repeated behind it.
const LEADING_FIELDS: [&str; 5] = ["timestamp", "level", "event", "name", "request_id"];

/// The command.
#[derive(Args)]
pub struct TraceCommand {
    /// Id of the request.
    request_id: String,
    /// Logs of daemons, one JSON object a line; other lines are passed over.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

struct Line {
    timestamp: String,
    file: String,
    fields: Map<String, Value>,
}

impl TraceCommand {
    /// Runs the command.
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let mut lines = Vec::new();
        for file in &self.files {
            let text = std::fs::read_to_string(file).map_err(|it| Error::disk("read", file, it))?;
            let name = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            lines.extend(text.lines().filter_map(|it| read_line(it, &name, &self.request_id)));
        }
        lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
        if lines.is_empty() {
            let text = format!("no line of {} in these files", self.request_id);
            return Err(Failure::NotFound(text));
        }
        lines.iter().for_each(|it| it.print(json));
        Ok(())
    }
}

/// Reads a line that belongs to the request; what stands in front of the object, such as a host's name, is dropped.
fn read_line(text: &str, file: &str, request_id: &str) -> Option<Line> {
    let object = &text[text.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    if fields.get("request_id")?.as_str()? != request_id {
        return None;
    }
    let timestamp = fields.get("timestamp")?.as_str()?.to_string();
    Some(Line { timestamp, file: file.to_string(), fields })
}

impl Line {
    fn print(&self, json: bool) {
        if json {
            println!("{}", Value::Object(self.fields.clone()));
            return;
        }
        let name = self.fields.get("name").and_then(Value::as_str).unwrap_or_default();
        let others = self.fields.iter().filter(|it| !LEADING_FIELDS.contains(&it.0.as_str()));
        let others: Vec<String> = others.map(|(key, value)| format!("{key}={value}")).collect();
        println!("{}  {:<12}  {:<16}  {}", self.timestamp, self.file, name, others.join(" "));
    }
}
