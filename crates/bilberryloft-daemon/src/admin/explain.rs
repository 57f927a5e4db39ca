//! Collects the decision records of a request from all daemons that may keep them.

use std::time::Duration;

use bilberryloft_protocol::api::Explanation;
use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::record::DecisionRecord;
use bilberryloft_transport::client::Client;
use futures_util::StreamExt;

use crate::shared::Shared;

/// Time for one daemon to return its records.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Most agents that are asked concurrently.
const CONCURRENT_FETCHES_MAX: usize = 64;

/// Collects the records of a request from this daemon and all control hosts; asks the agents only when none of
/// these has a record.
pub async fn collect(shared: &Shared, request_id: &str) -> Explanation {
    let mut records = shared.local_records(request_id);
    let mut unreachable = Vec::new();
    for client in shared.control.clients() {
        merge_result(
            fetch_records(client.clone(), request_id).await,
            &mut records,
            &mut unreachable,
        );
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
        let mut results =
            futures_util::stream::iter(agents.into_iter().map(|it| fetch_records(it, request_id)))
                .buffer_unordered(CONCURRENT_FETCHES_MAX);
        while let Some(result) = results.next().await {
            merge_result(result, &mut records, &mut unreachable);
        }
    }
    records.sort_by_key(|it| (it.at_ms, it.attempt));
    records.dedup();
    Explanation { request_id: request_id.to_string(), records, unreachable }
}

/// JSON-encoded records of one daemon, or a message that says why they could not be fetched.
type FetchResult = Result<Vec<Vec<u8>>, String>;

async fn fetch_records(client: Client, request_id: &str) -> FetchResult {
    let body = Body::Explain(wire::Explain::new(request_id.to_string()));
    match client.call(body, FETCH_TIMEOUT).await {
        Ok(Body::Records(records)) => Ok(records.records),
        Ok(_) => Err(format!("{}: unexpected response", client.address())),
        Err(error) => Err(error.to_string()),
    }
}

fn merge_result(
    result: FetchResult,
    records: &mut Vec<DecisionRecord>,
    unreachable: &mut Vec<String>,
) {
    match result {
        Ok(encoded) => {
            records.extend(encoded.iter().filter_map(|it| serde_json::from_slice(it).ok()))
        }
        Err(error) => unreachable.push(error),
    }
}
