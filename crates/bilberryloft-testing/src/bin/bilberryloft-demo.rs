//! Demo with embedded settings: runs a daemon that has all roles and the agent of a plain service, with stand-ins for
//! the engine and the service, sends a few requests, and prints the explanations of a routed and a refused one.
//!
//! With `--stay` it keeps serving until it is interrupted, for use with `curl`.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use bilberryloft_daemon::daemon::Daemon;
use bilberryloft_daemon::settings::Settings;
use bilberryloft_protocol::api::Explanation;
use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_testing::caller::Caller;
use bilberryloft_testing::engine::Engine;
use bilberryloft_testing::engine::EngineSettings;
use bilberryloft_testing::fleet::agent_settings;
use bilberryloft_testing::fleet::change_request;
use bilberryloft_testing::fleet::control_settings;
use bilberryloft_testing::fleet::depot_team;
use bilberryloft_testing::fleet::depot_template;
use bilberryloft_testing::fleet::engine_settings;
use bilberryloft_testing::fleet::entry_settings;
use bilberryloft_testing::fleet::plain_settings;
use bytes::Bytes;
use eyre::OptionExt;
use http_body_util::Full;
use serde_json::Value;

/// IP address of the daemon with all roles and of the engine.
const MAIN_IP: &str = "127.0.0.1";
/// IP address of the plain service and its agent.
const SERVICE_IP: &str = "127.0.0.2";
/// Time limit for both targets to be known.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

fn main() -> eyre::Result<()> {
    let keeps_serving = std::env::args().any(|it| it == "--stay");
    let folder = std::env::temp_dir().join(format!("bilberryloft-demo-{}", std::process::id()));
    let main_daemon = Daemon::spawn(main_settings(&folder))?;
    let service_daemon = Daemon::spawn(service_settings())?;
    let runtime = tokio::runtime::Runtime::new()?;
    let result = runtime.block_on(run(keeps_serving));
    service_daemon.shutdown();
    main_daemon.shutdown();
    std::fs::remove_dir_all(&folder)?;
    result
}

fn main_settings(folder: &Path) -> Settings {
    let mut settings = plain_settings("main", MAIN_IP, &[MAIN_IP.to_string()]);
    let members = BTreeMap::from([(1, settings.peer_address.clone())]);
    settings.entry = Some(entry_settings(MAIN_IP));
    settings.agent = Some(agent_settings("forecast-writer-1", MAIN_IP));
    settings.control = Some(control_settings(1, &members, folder.to_path_buf()));
    settings
}

fn service_settings() -> Settings {
    let mut settings = plain_settings("beside-sensors", SERVICE_IP, &[MAIN_IP.to_string()]);
    settings.agent = Some(agent_settings("sensors-1", SERVICE_IP));
    settings
}

async fn run(keeps_serving: bool) -> eyre::Result<()> {
    let _engine =
        Engine::spawn(EngineSettings { token_ms: 30, ..engine_settings(MAIN_IP) }).await?;
    let service = EngineSettings {
        models: Vec::new(),
        services: vec!["sensors".to_string()],
        ..engine_settings(SERVICE_IP)
    };
    let _service = Engine::spawn(service).await?;
    for kind in [ChangeKind::ApplyTemplate(depot_template()), ChangeKind::SetTeam(depot_team())] {
        let change = serde_json::to_string(&change_request(kind))?;
        println!("change: {}", admin("POST", "/operator/changes", change).await?);
    }
    wait_until_ready().await?;
    let routed = show_requests().await?;
    let refused = show_refusal().await?;
    explain("routed", &routed).await?;
    explain("refused", &refused).await?;
    if keeps_serving {
        serve_until_interrupted().await?;
    }
    Ok(())
}

async fn show_requests() -> eyre::Result<String> {
    let entry = format!("{MAIN_IP}:7480");
    let caller = Caller::new("depot-token");
    let body = r#"{"model": "forecast-writer", "prompt": "Kamikawa route brief", "stream": true}"#;
    println!("\nstreamed completion:");
    let mut stream = caller
        .open_stream(&entry, "POST", "/v1/completions", body)
        .await
        .map_err(eyre::Report::msg)?;
    let mut shown = 0;
    while stream.read_events(1).await {
        println!("  {}", &stream.reply.text[shown..]);
        shown = stream.reply.text.len();
    }
    let reply = stream.finish().await;
    println!("  whole: {}, request {}", reply.is_complete, reply.request_id);
    let at_most_once = caller
        .with_header("bilberryloft-run", "at-most-once")
        .with_header("idempotency-key", "advisory-17");
    let first = at_most_once.request_completion(&entry, "advisory for both councils", false).await;
    let again = at_most_once.request_completion(&entry, "advisory for both councils", false).await;
    println!("\nadvisory, sent twice under one key: same answer {}", first.text == again.text);
    let uploader = caller.with_header("idempotency-key", "upload-1");
    let upload =
        uploader.send(&entry, "POST", "/services/sensors/upload?road=39", "{\"ice\": true}").await;
    println!("\nplain service: status {} {}", upload.status, upload.text);
    Ok(reply.request_id)
}

async fn show_refusal() -> eyre::Result<String> {
    let caller = Caller::new("depot-token");
    let body = r#"{"model": "hull-appraiser", "prompt": "x"}"#;
    let reply = caller.send(&format!("{MAIN_IP}:7480"), "POST", "/v1/completions", body).await;
    println!("\nrefusal: status {} {}", reply.status, reply.text);
    Ok(reply.request_id)
}

async fn explain(label: &str, request_id: &str) -> eyre::Result<()> {
    let text = admin("GET", &format!("/operator/explain/{request_id}"), String::new()).await?;
    let explanation: Explanation = serde_json::from_str(&text)?;
    println!("\nthe {label} request {request_id}:");
    for record in explanation.records {
        println!(
            "  {} by {}: rule {}, {}",
            record.step, record.daemon, record.rule, record.outcome
        );
    }
    Ok(())
}

async fn wait_until_ready() -> eyre::Result<()> {
    let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        let targets: Value =
            serde_json::from_str(&admin("GET", "/operator/targets", String::new()).await?)?;
        if targets.as_array().is_some_and(|it| it.len() == 2) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    None.ok_or_eyre("the targets did not announce themselves in time")
}

async fn admin(method: &str, path: &str, body: String) -> eyre::Result<String> {
    let request = hyper::Request::builder()
        .method(method)
        .uri(format!("http://{MAIN_IP}:7401{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))?;
    let (_, body) = bilberryloft_transport::http::HttpClient::new().fetch(request).await?;
    Ok(String::from_utf8_lossy(&body).to_string())
}

async fn serve_until_interrupted() -> eyre::Result<()> {
    println!("\nserving until interrupted; try:");
    println!(
        "  curl -N http://{MAIN_IP}:7480/v1/completions -H 'Authorization: Bearer depot-token' \\"
    );
    println!(
        "    -d '{{\"model\": \"forecast-writer\", \"prompt\": \"ice call\", \"stream\": true}}'"
    );
    println!("  cargo run --bin bilberryctl -- target list");
    tokio::signal::ctrl_c().await?;
    Ok(())
}
