//! Calls to control hosts of which one does not answer.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bilberryloft_coordination::host_choice::Place;
use bilberryloft_daemon::control_client::ControlClient;
use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::ProposeReply;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use bilberryloft_state::suspect::LostRun;
use bilberryloft_testing::address::unique_ip;
use bilberryloft_transport::server::Call;
use bilberryloft_transport::server::Handler;
use bilberryloft_transport::server::Server;
use parking_lot::Mutex;

/// Control host that records the commands it gets, and may leave them unanswered.
struct Host {
    answers: bool,
    commands: Mutex<Vec<(Instant, Command)>>,
}

impl Handler for Host {
    async fn handle(self: Arc<Self>, call: Call) {
        let Body::Propose(propose) = call.body else {
            return;
        };
        let command = serde_json::from_slice(&propose.command).unwrap();
        self.commands.lock().push((Instant::now(), command));
        if self.answers {
            let outcome = serde_json::to_vec(&Outcome::Applied).unwrap();
            call.responder.send(Body::ProposeReply(ProposeReply::new(outcome))).await.unwrap();
        } else {
            tokio::time::sleep(Duration::from_secs(5)).await;
        }
    }
}

async fn start(answers: bool) -> (String, Arc<Host>, Server) {
    start_in(answers, None).await
}

async fn start_in(answers: bool, data_center: Option<&str>) -> (String, Arc<Host>, Server) {
    let host = Arc::new(Host { answers, commands: Mutex::default() });
    let address = format!("{}:7300", unique_ip());
    let server = Server::bind(&address, "control", 1, data_center, host.clone()).await.unwrap();
    (address, host, server)
}

/// Guards against a report of lost runs whose ages leave out the time until it is recorded: two ends of targets at the
/// same moment then count as two rounds, and a request that ended nothing is refused.
#[tokio::test]
async fn propose_to_a_second_host_counts_the_time_that_the_first_one_took() {
    let (silent, silent_host, _silent) = start(false).await;
    let (answering, answering_host, _answering) = start(true).await;
    let client = ControlClient::new(&[silent, answering], "entry", 1);
    let started = Instant::now();
    let build = || Command::ReportRuns {
        lost: vec![LostRun {
            target: "t".to_string(),
            fingerprint: 7,
            run_id: 0,
            started_ago_ms: 1_000 + started.elapsed().as_millis() as u64,
            lost_ago_ms: started.elapsed().as_millis() as u64,
            delay_max_ms: 0,
            was_answering: false,
            has_head: false,
            was_on_trial: false,
            parts: Vec::new(),
        }],
        survived: Vec::new(),
        survived_parts: Vec::new(),
    };
    let outcome = client.propose_with(build, Duration::from_secs(4)).await.unwrap();
    assert_eq!(outcome, Outcome::Applied);
    let first = silent_host.commands.lock()[0].clone();
    let second = answering_host.commands.lock()[0].clone();
    let lost_ago_ms = |command: &Command| match command {
        Command::ReportRuns { lost, .. } => lost[0].lost_ago_ms,
        other => panic!("{other:?}"),
    };
    let apart_ms = (second.0 - first.0).as_millis() as u64;
    let counted_ms = lost_ago_ms(&second.1) - lost_ago_ms(&first.1);
    assert!(apart_ms > 500, "{apart_ms} ms");
    assert!(counted_ms.abs_diff(apart_ms) < apart_ms / 4, "{counted_ms} of {apart_ms} ms");
}

/// Guards against all daemons at one control host: one moves to the host of its data centre, leaves it when it fails, and
/// doesn't come back to it at once.
#[tokio::test]
async fn client_prefers_the_host_of_its_data_center_until_it_fails() {
    let (far, _, _far) = start_in(true, Some("dc-1")).await;
    let (near, _, _near) = start_in(true, Some("dc-2")).await;
    let place = Place { address: "127.0.0.1:9".to_string(), data_center: "dc-2".to_string() };
    let client = ControlClient::learning(&[far.clone(), near.clone()], "entry", 1, place);
    assert_eq!(client.preferred().address(), far);
    for host in client.clients() {
        host.open().await.unwrap();
    }
    let nearer = client.nearer();
    let addresses: Vec<&str> = nearer.iter().map(|it| it.address()).collect();
    assert_eq!(addresses, [near.as_str()]);
    client.prefer(&nearer[0]);
    assert_eq!(client.preferred().address(), near);
    client.avoid(&nearer[0]);
    assert_eq!(client.preferred().address(), far);
    assert!(client.nearer().is_empty());
}

/// Guards against a client that stays with a dead host while all others failed only for a moment, as during an election.
#[tokio::test]
async fn client_whose_hosts_have_all_failed_tries_the_first_of_them_again() {
    let addresses = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"].map(str::to_string);
    let place = Place { address: "127.0.0.1:9".to_string(), data_center: "dc-2".to_string() };
    let client = ControlClient::learning(&addresses, "entry", 1, place);
    let mut failed = Vec::new();
    for _ in 0..6 {
        let host = client.preferred();
        failed.push(host.address().to_string());
        client.avoid(&host);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(failed[..3].iter().collect::<BTreeSet<_>>().len(), 3, "{failed:?}");
    assert_eq!(failed[..3], failed[3..]);
}
