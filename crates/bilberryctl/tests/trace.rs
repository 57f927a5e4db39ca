//! Runs `bilberryctl trace` on the logs of two daemons.
#![allow(clippy::unwrap_used)]

use std::process::Command;

use bilberryloft_testing::fleet::TempFolder;

const FIRST: &str = r#"not a line of the log
{"timestamp":"2026-12-03T05:00:00.300Z","level":"INFO","event":400,"name":"RequestRefused","request_id":"a1","reason":"full"}
{"timestamp":"2026-12-03T05:00:00.100Z","level":"INFO","event":510,"name":"AttemptSent","request_id":"a1","own":3}
{"timestamp":"2026-12-03T05:00:00.050Z","level":"INFO","event":510,"name":"AttemptSent","request_id":"b2"}
"#;
const SECOND: &str = r#"  5.2 entry-2 {"timestamp":"2026-12-03T05:00:00.200Z","level":"INFO","event":511,"name":"AttemptEnded","request_id":"a1","outcome":"not_run"}
"#;

fn trace(id: &str, files: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bilberryctl"));
    let output = command.args(["trace", id]).args(files).output().unwrap();
    (output.status.code(), String::from_utf8(output.stdout).unwrap())
}

/// Guards against a timeline in the order of the files, with lines of other requests, or without the lines that have
/// a prefix in front of the JSON object; an unknown request and a missing file must fail.
#[test]
fn trace_merges_logs_chronologically() {
    let folder = TempFolder::create("trace");
    let (first, second) = (folder.path.join("entry-1.log"), folder.path.join("entry-2.log"));
    std::fs::write(&first, FIRST).unwrap();
    std::fs::write(&second, SECOND).unwrap();
    let files = [first.to_str().unwrap(), second.to_str().unwrap()];
    let (code, text) = trace("a1", &files);
    assert_eq!(code, Some(0));
    let names: Vec<&str> = text.lines().filter_map(|it| it.split_whitespace().nth(2)).collect();
    assert_eq!(names, ["AttemptSent", "AttemptEnded", "RequestRefused"]);
    assert!(text.contains("reason=\"full\"") && !text.contains("b2"), "{text}");
    assert_eq!(trace("c3", &files).0, Some(5));
    assert_eq!(trace("a1", &["/nowhere.log"]).0, Some(1));
}
