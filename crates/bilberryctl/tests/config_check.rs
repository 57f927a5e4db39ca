//! Runs `bilberryctl config check` on the files in `platform/tests/data`, and checks its output and exit codes.
#![allow(clippy::unwrap_used)]

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::process::Command;

use bilberryloft_platform::names;
use serde_json::Value;

fn file(name: &str) -> String {
    format!("{}/../../platform/tests/data/{name}", env!("CARGO_MANIFEST_DIR"))
}

/// Runs the check; returns its exit code and output.
fn check(arguments: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_bilberryctl"))
        .args(["config", "check"])
        .args(arguments)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

/// Guards against findings in a sound file, and an exit code that stops a sound change.
#[test]
fn check_sound() {
    let (code, text) = check(&[&file("sound.json")]);
    assert_eq!((code, text.as_str()), (0, "no findings\n"));
}

/// Guards against a file that passes here although the control API rejects it.
#[test]
fn check_rejected() {
    let (code, text) = check(&[&file("unknown-service.json"), "--json"]);
    assert_eq!(code, 4, "{text}");
    assert!(text.contains("\"rejected\"") && text.contains("absent"), "{text}");
    let own_source = format!("{}/tests/config_check.rs", env!("CARGO_MANIFEST_DIR"));
    assert_eq!(check(&[&own_source]).0, 4, "no configuration at all");
    assert_eq!(check(&["/does/not/exist"]).0, 1);
    assert_eq!(check(&[]).0, 2);
}

/// Guards against flaws and differences that are not shown, and against keys that are.
#[test]
fn check_against_file() {
    let (flawed, sound) = (file("flawed.json"), file("sound.json"));
    let arguments = [flawed.as_str(), "--against", &sound];
    let (code, text) = check(&arguments);
    assert_eq!(code, 0, "{text}");
    let expected = [
        "longer than the timeout",
        "2 is not above 2",
        "objective_ms: 400 -> 5000",
        "keys: 1 -> 2",
    ];
    for words in expected {
        assert!(text.contains(words), "{words}: {text}");
    }
    assert!(!text.contains("secret"), "{text}");
    let (code, text) = check(&[&arguments[..], &["--json", "--memory-mb", "0"]].concat());
    let report: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(code, 0);
    assert_eq!(report["differences"].as_array().unwrap().len(), 2, "{text}");
    assert_eq!(report["findings"].as_array().unwrap().len(), 3, "{text}");
}

/// Guards against a comparison with something else than the configuration in force at an entry.
#[test]
fn check_against_entry() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let body = std::fs::read_to_string(file("sound.json")).unwrap();
    let entry = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            head.extend(byte);
        }
        let length = body.len();
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}").unwrap();
        String::from_utf8(head).unwrap()
    });
    let newer = file("newer.json");
    let (code, text) = check(&[&newer, "--against", &address]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("timeout_ms: 4000 -> 5000") && !text.contains("not above"), "{text}");
    assert!(entry.join().unwrap().starts_with(&format!("GET {} ", names::CONFIG_PATH)));
    assert_eq!(check(&[&newer, "--against", "127.0.0.1:1"]).0, 1);
}
