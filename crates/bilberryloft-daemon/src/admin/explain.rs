//! Gathering the records that explain a request from wherever they are kept.

use std::time::Duration;

use bilberryloft_protocol::api::Explanation;
use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::record::DecisionRecord;
use bilberryloft_transport::client::Client;
use futures_util::StreamExt;

use crate::daemon::Shared;

/// Time for one daemon to give its records.
const ASK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Agents that are asked side by side.
const ASKED_AT_ONCE: usize = 64;

/// Collects from this daemon, then from control hosts, and from agents only when nobody else knows.
pub async fn collect(shared: &Shared, request_id: &str) -> Explanation {
    let mut records = shared.local_records(request_id);
    let mut unreachable = Vec::new();
    for client in shared.control.clients() {
        take(ask(client.clone(), request_id).await, &mut records, &mut unreachable);
    }
    if records.is_empty() {
        let agents: Vec<Client> = {
            let membership = shared.view.membership();
            let addresses =
                membership.targets().values().map(|it| it.description.agent_address.clone());
            addresses
                .map(|it| Client::new(it, &shared.settings.daemon, shared.incarnation))
                .collect()
        };
        let mut answers =
            futures_util::stream::iter(agents.into_iter().map(|it| ask(it, request_id)))
                .buffer_unordered(ASKED_AT_ONCE);
        while let Some(answer) = answers.next().await {
            take(answer, &mut records, &mut unreachable);
        }
    }
    records.sort_by_key(|it| (it.at_ms, it.attempt));
    records.dedup();
    Explanation { request_id: request_id.to_string(), records, unreachable }
}

type Answer = Result<Vec<Vec<u8>>, String>;

async fn ask(client: Client, request_id: &str) -> Answer {
    let question = Body::Explain(wire::Explain::new(request_id.to_string()));
    match client.call(question, ASK_TIMEOUT).await {
        Ok(Body::Records(records)) => Ok(records.records),
        Ok(_) => Err(format!("{}: an unexpected answer", client.address())),
        Err(error) => Err(error.to_string()),
    }
}

fn take(answer: Answer, records: &mut Vec<DecisionRecord>, unreachable: &mut Vec<String>) {
    match answer {
        Ok(encoded) => {
            records.extend(encoded.iter().filter_map(|it| serde_json::from_slice(it).ok()))
        }
        Err(error) => unreachable.push(error),
    }
}
