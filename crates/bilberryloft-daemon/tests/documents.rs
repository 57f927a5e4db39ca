//! Documents, examples and code say the same.
#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::path::PathBuf;

use bilberryloft_daemon::events::EVENTS;
use bilberryloft_daemon::settings::Settings;
use bilberryloft_state::configuration::Template;
use bilberryloft_state::error::Error;
use bilberryloft_state::refusal::REASONS;
use bilberryloft_state::refusal::Reason;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap()
}

#[test]
fn events_are_all_in_the_catalogue_and_none_is_made_up() {
    let catalogue = read("docs/EVENTS.md");
    let mut rows = Vec::new();
    for line in catalogue.lines().filter(|it| it.starts_with("| ") && !it.starts_with("| number")) {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        rows.push((cells[1].parse::<u16>().unwrap(), cells[2].to_string()));
    }
    let events: Vec<(u16, String)> =
        EVENTS.iter().map(|it| (it.number(), format!("{it:?}"))).collect();
    assert_eq!(rows, events);
}

#[test]
fn events_are_each_used_somewhere() {
    let mut code = String::new();
    let mut folders = vec![
        root().join("crates/bilberryloft-daemon/src"),
        root().join("crates/bilberryloft-relay/src"),
    ];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap().flatten() {
            let path = entry.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.file_name().unwrap() != "events.rs" {
                code.push_str(&std::fs::read_to_string(path).unwrap());
            }
        }
    }
    let unused: Vec<String> =
        EVENTS.iter().map(|it| format!("Event::{it:?}")).filter(|it| !code.contains(it)).collect();
    assert!(unused.is_empty(), "{unused:?}");
}

#[test]
fn refusals_are_all_documented_with_their_status() {
    let page = read("docs/REFUSALS.md");
    for reason in REASONS {
        let name = format!("`{}`", reason.name());
        let row = page
            .lines()
            .find(|it| it.starts_with('|') && it.split('|').nth(1).unwrap().contains(&name));
        let row = row.unwrap_or_else(|| panic!("{name} is not in the table"));
        assert!(row.split('|').nth(2).unwrap().contains(&reason.status().to_string()), "{row}");
    }
}

#[test]
fn reasons_keep_their_wire_numbers() {
    for (number, reason) in REASONS.iter().enumerate() {
        assert_eq!(reason.wire_number(), number as i32);
        assert_eq!(Reason::from_wire_number(number as i32), Some(*reason));
    }
    assert_eq!(Reason::from_wire_number(REASONS.len() as i32), None);
}

#[test]
fn example_settings_are_sound() {
    let mut files = vec![root().join("examples/one-host.json")];
    let folder = std::fs::read_dir(root().join("examples/three-data-centres")).unwrap();
    files.extend(folder.flatten().map(|it| it.path()));
    assert!(files.len() > 6);
    for file in files {
        Settings::open(&file).unwrap_or_else(|it| panic!("{it}"));
    }
}

#[test]
fn example_templates_are_sound() {
    for name in ["depots", "members"] {
        let template: Template =
            serde_json::from_str(&read(&format!("examples/template-{name}.json"))).unwrap();
        assert_eq!(template.name, name);
    }
}

#[test]
fn settings_with_faults_name_all_of_them() {
    let text = r#"{"daemon": "a b", "data_center": "a", "peer_address": "localhost:1", "admin_address": "10.0.0.1:1",
        "control_addresses": [], "configuration_lease_ms": 5}"#;
    let Err(Error::Settings { faults, .. }) = Settings::parse(text, Path::new("x.json")) else {
        panic!("accepted")
    };
    for field in [
        "daemon",
        "peer_address",
        "control_addresses",
        "configuration_lease_ms",
        "entry, agent, control",
    ] {
        assert!(faults.iter().any(|it| it.starts_with(field)), "{field}: {faults:?}");
    }
}

#[test]
fn settings_with_an_unknown_field_are_refused() {
    let text = read("examples/one-host.json").replace("\"log_format\"", "\"log_fromat\"");
    let Err(error) = Settings::parse(&text, Path::new("x.json")) else { panic!("accepted") };
    assert!(error.to_string().contains("log_fromat"), "{error}");
}
