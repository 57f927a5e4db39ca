//! Runs the command-line tool against real daemons and checks its output and exit codes.
#![allow(clippy::unwrap_used)]

use std::process::Command;
use std::process::Output;

use bilberryloft_testing::caller::Caller;
use bilberryloft_testing::fleet::Fleet;

fn bilberryctl(admin: &str, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bilberryctl"))
        .args(["--admin", admin])
        .args(arguments)
        .output()
        .unwrap()
}

fn text(output: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

/// Runs a command, checks its exit code and that its output contains all `words`, and returns the output.
fn expect(admin: &str, arguments: &[&str], code: i32, words: &[&str]) -> String {
    let output = bilberryctl(admin, arguments);
    let text = text(&output);
    assert_eq!(output.status.code(), Some(code), "{arguments:?}: {text}");
    for word in words {
        assert!(text.contains(word), "{arguments:?} lacks {word:?}: {text}");
    }
    text
}

/// Guards against commands with a wrong exit code or output. One fleet runs through all of them, because most
/// depend on earlier ones: a change sent twice, an invalid one, a conflict, unknown objects, and an unreachable daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn commands_operate_a_fleet() {
    let mut fleet = Fleet::plan("ctl", 1, 1, 1);
    fleet.start_all();
    fleet.leader().await;
    let admin = fleet.admin_address(&fleet.control_ips[0]);
    let entry_admin = fleet.admin_address(&fleet.entry_ips[0]);
    let template = fleet.folder.path.join("template.json");
    let depots = bilberryloft_testing::fleet::depot_template();
    std::fs::write(&template, serde_json::to_string(&depots).unwrap()).unwrap();
    let file = template.to_str().unwrap();

    expect(&admin, &["template", "apply", file, "--change-id", "c1"], 0, &["version 1"]);
    expect(&admin, &["template", "apply", file, "--change-id", "c1"], 0, &["version 1"]);
    expect(&admin, &["team", "set", "asahikawa", "--template", "none"], 4, &["template"]);
    expect(
        &admin,
        &[
            "team",
            "set",
            "asahikawa",
            "--template",
            "depots",
            "--token",
            "depot-token",
            "--reason",
            "winter",
        ],
        0,
        &["version 2"],
    );
    fleet.wait_for_version(2).await;
    fleet.wait_until_ready().await;
    expect(&admin, &["team", "list"], 0, &["asahikawa", "depots"]);
    expect(&admin, &["team", "show", "nobody"], 5, &["nobody"]);
    expect(&admin, &["target", "list"], 0, &["target-1", "in use"]);
    expect(&admin, &["config", "history"], 0, &["winter", "team/asahikawa"]);
    expect(&admin, &["config", "diff", "1"], 0, &["asahikawa"]);
    expect(&admin, &["config", "status"], 0, &["entry-1", "agent-1", "yes", "votes"]);

    let reply = Caller::new("depot-token")
        .request_completion(&fleet.entry_address(0), "brief", false)
        .await;
    assert!(reply.is_complete);
    expect(&admin, &["explain", &reply.request_id], 0, &["pick", "target-1", "least_load"]);
    expect(&admin, &["explain", "entry-1-0-ffff"], 5, &["no record"]);
    expect(&entry_admin, &["report", "burn"], 0, &["asahikawa", "BUDGET_LEFT"]);
    expect(&entry_admin, &["report", "remote"], 0, &["SERVICE", "COSTS_IN_REQUESTS"]);
    expect(&admin, &["report", "burn"], 5, &["does not have the entry role"]);

    expect(&admin, &["target", "drain", "target-1", "--base-version", "2"], 0, &["version 3"]);
    expect(&admin, &["target", "resume", "target-1", "--base-version", "2"], 3, &["conflict"]);
    expect(&admin, &["--json", "members", "list"], 0, &["voters", "loss_tolerance"]);
    expect(&admin, &["members", "list"], 0, &["leader", "voters may be lost now"]);
    expect("127.0.0.1:1", &["target", "list"], 1, &["127.0.0.1:1"]);
    expect("127.0.0.1:1", &["target"], 2, &["Usage"]);

    let folder = fleet.folder.path.join("control-1");
    fleet.kill("control-1");
    let folder = folder.to_str().unwrap();
    expect("", &["data", "check", folder], 0, &["sound"]);
    expect("", &["data", "export", folder], 0, &["asahikawa", "last_index"]);
}

/// Guards against orders that are not carried out, and lists that don't show them; targets with agents are evacuated, too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn evacuation_commands_evacuate_a_data_center() {
    let mut fleet = Fleet::plan("ctl-evacuation", 1, 1, 1);
    fleet.start_all();
    fleet.leader().await;
    let admin = fleet.admin_address(&fleet.control_ips[0]);
    let template = fleet.folder.path.join("template.json");
    let depots = bilberryloft_testing::fleet::depot_template();
    std::fs::write(&template, serde_json::to_string(&depots).unwrap()).unwrap();
    expect(&admin, &["template", "apply", template.to_str().unwrap()], 0, &["version 1"]);
    let team = ["team", "set", "asahikawa", "--template", "depots", "--token", "depot-token"];
    expect(&admin, &team, 0, &["version 2"]);
    fleet.wait_for_version(2).await;
    fleet.wait_until_ready().await;
    let caller = Caller::new("depot-token");
    let entry = fleet.entry_address(0);
    assert!(caller.request_completion(&entry, "brief", false).await.is_complete);

    expect(&admin, &["evacuation", "begin", "nowhere"], 5, &["no data centre"]);
    expect(&admin, &["evacuation", "begin", "a"], 0, &["order 1", "evacuated"]);
    wait_for_list(&admin, "evacuated").await;
    let refused = caller.request_completion(&entry, "brief", false).await;
    assert_eq!(refused.status, 503);
    let cause = "evacuated data centres: a";
    expect(&admin, &["explain", &refused.request_id], 0, &[cause]);
    expect(&admin, &["--json", "evacuation", "end", "a"], 0, &["\"version\": 2"]);
    wait_for_list(&admin, "in use").await;
    assert!(caller.request_completion(&entry, "brief", false).await.is_complete);
}

/// Waits until the list of evacuations shows a state that is in force at all daemons.
async fn wait_for_list(admin: &str, state: &str) {
    for _ in 0..300 {
        let list = text(&bilberryctl(admin, &["evacuation", "list"]));
        if list.contains(state) && list.contains("confirmed by") && !list.contains("held order") {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    panic!("{state}: {}", text(&bilberryctl(admin, &["evacuation", "list"])));
}

/// Guards against a check that fails without naming the field at fault and a way to mend it.
#[test]
fn settings_check_names_the_fault() {
    let path =
        std::env::temp_dir().join(format!("bilberryctl-settings-{}.json", std::process::id()));
    std::fs::write(&path, "{\"daemon\": \"x\"}").unwrap();
    expect("", &["settings", "check", path.to_str().unwrap()], 1, &["data_center", "help"]);
    std::fs::remove_file(path).unwrap();
}

/// Guards against a completion script that lacks commands.
#[test]
fn completions_name_the_commands() {
    expect("", &["completions", "bash"], 0, &["bilberryctl", "explain"]);
}
