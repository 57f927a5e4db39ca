//! An operator's file is in Latin-1, so that it is no JSON. It is acknowledged, and read back with other bytes.

use std::process::ExitCode;
use std::time::Duration;

use stands::case::Record;
use stands::case::run;
use stands::fleet::Fleet;

const HOSTS: usize = 3;
/// Time in which an acknowledged configuration is in force: `config_apply_ms` is 2,000.
const APPLY: Duration = Duration::from_millis(2_500);

/// Returns a configuration whose health path holds the given bytes.
fn configuration(version: u64, health_path: &[u8]) -> Vec<u8> {
    let text = format!(
        r#"{{"version":{version},"route_table":[{{"name":"r-listing","host":"board.example","path_prefix":"/listing/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"board","max_attempts":2,"public":true}}],"services":[{{"name":"board","health_path":"@","max_connections":56,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    );
    let (before, after) = text.split_once('@').unwrap_or_default();
    [before.as_bytes(), health_path, after.as_bytes()].concat()
}

fn main() -> ExitCode {
    run(play)
}

fn play(record: &Record, is_disrupted: bool) -> Result<bool, String> {
    let fleet = Fleet::start(HOSTS)?;
    let first = configuration(7, b"/healthz");
    fleet.wait_until_ready(&String::from_utf8_lossy(&first))?;
    std::thread::sleep(APPLY);
    // An a with two dots, in Latin-1 and in UTF-8.
    let letter: &[u8] = if is_disrupted { b"\xe4" } else { "\u{e4}".as_bytes() };
    let sent = configuration(12, &[b"/pr", letter, b"sent"].concat());
    let answer = fleet.put_configuration(0, &sent);
    record.line(&format!("version 12, {} bytes, UTF-8: {}: {}", sent.len(), std::str::from_utf8(&sent).is_ok(), answer.describe()));
    record.line(&format!("sent      {}", sent.escape_ascii()));
    std::thread::sleep(APPLY);
    let is_acknowledged = answer.status == 200;
    let mut is_held = true;
    for idx in 0..HOSTS {
        let read = fleet.read_configuration(idx);
        record.line(&format!("read back {} from host {idx}", read.body.escape_ascii()));
        if read.status != 200 {
            return Err(format!("host {idx} was not read: {}", read.describe()));
        }
        let expected = if is_acknowledged { &sent } else { &first };
        is_held &= read.body == *expected;
    }
    match is_disrupted {
        // What can't be read in full requires a 4xx response.
        true => Ok(is_held && (400..500).contains(&answer.status)),
        false if !is_acknowledged => Err("the valid configuration was not acknowledged".to_string()),
        false => Ok(is_held),
    }
}
