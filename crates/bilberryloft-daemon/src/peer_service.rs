//! Serves calls from other daemons on the control thread.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bilberryloft_protocol::codec::body_name;
use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::record::DecisionRecord;
use bilberryloft_transport::client::Client;
use bilberryloft_transport::server::Call;
use bilberryloft_transport::server::Handler;
use bilberryloft_transport::server::Responder;

use crate::control::ControlService;
use crate::shared::Shared;

/// Time for another daemon to return its decision records.
const EXPLAIN_TIMEOUT: Duration = Duration::from_millis(800);

/// Handler for calls to the peer address of a daemon.
pub struct PeerService {
    shared: Arc<Shared>,
    control: OnceLock<Arc<ControlService>>,
    target_lease_ms: u64,
}

impl PeerService {
    /// Creates the service; a control host adds its control calls with [`PeerService::add_control`].
    pub fn new(shared: Arc<Shared>, target_lease_ms: u64) -> PeerService {
        PeerService { shared, control: OnceLock::new(), target_lease_ms }
    }

    /// Adds the calls that only a control host serves.
    pub fn add_control(&self, control: Arc<ControlService>) {
        let _ = self.control.set(control);
    }

    /// Redirects a call that only a control host can serve to the known control hosts.
    async fn send_redirect(&self, responder: &Responder) {
        let addresses = self.shared.control.addresses();
        let _ = responder.send(Body::Redirect(wire::Redirect::new(addresses))).await;
    }

    /// Returns the decision records of a request that this daemon keeps; a control host adds those that entries
    /// stored there and those of the daemon that issued the request id.
    async fn collect_records(&self, request_id: &str) -> Vec<Vec<u8>> {
        let mut records = self.shared.local_records(request_id);
        let Some(control) = self.control.get() else {
            return encode_records(&records);
        };
        records.extend(control.stored_records(request_id));
        let mut encoded = encode_records(&records);
        if let Some(address) = issuing_daemon(request_id).and_then(|it| control.peer_address(it))
            && address != self.shared.settings.peer_address
        {
            let client =
                Client::new(address, &self.shared.settings.daemon, self.shared.incarnation);
            let request = Body::Explain(wire::Explain::new(request_id.to_string()));
            if let Ok(Body::Records(more)) = client.call(request, EXPLAIN_TIMEOUT).await {
                encoded.extend(more.records);
            }
        }
        encoded
    }
}

impl Handler for PeerService {
    async fn handle(self: Arc<Self>, call: Call) {
        let responder = call.responder;
        let control = self.control.get();
        match (call.body, control) {
            (Body::Explain(explain), _) => {
                let records = self.collect_records(&explain.request_id).await;
                let _ = responder.send(Body::Records(wire::Records::new(records))).await;
            }
            (Body::Status(_), _) => {
                let watchers = control.map(|it| it.watcher_rows()).unwrap_or_default();
                let quorum = control.map(|it| it.node().status());
                let status = self.shared.status(quorum, watchers);
                let bytes = serde_json::to_vec(&status).unwrap_or_default();
                let _ = responder.send(Body::StatusReply(wire::StatusReply::new(bytes))).await;
            }
            (Body::Raft(message), Some(control)) => control.receive(message).await,
            (Body::Propose(propose), Some(control)) => control.propose(propose, &responder).await,
            (Body::Announce(announce), Some(control)) => {
                control.announce(announce, self.target_lease_ms, &responder).await;
            }
            (Body::ReadIndex(request), Some(control)) => {
                control.read_index(request, &responder).await
            }
            (Body::Watch(watch), Some(control)) => control.watch(watch, &responder).await,
            (Body::ReadDocument(request), Some(control)) => {
                control.read_document(&request, &call.peer.daemon, &responder).await;
            }
            (Body::Join(join), Some(control)) => control.join(join, &responder).await,
            (Body::Join(join), None) => {
                // The caller is a control host, and may be the only one that this daemon learns about.
                self.shared.control.add(&join.address);
                self.send_redirect(&responder).await;
            }
            (
                Body::Propose(_)
                | Body::Announce(_)
                | Body::ReadIndex(_)
                | Body::Watch(_)
                | Body::ReadDocument(_),
                None,
            ) => self.send_redirect(&responder).await,
            (Body::StoreRecords(store), Some(control)) => {
                control.store_records(&store.records);
                let _ = responder.send(Body::Done(wire::Done::new())).await;
            }
            (other, _) => {
                responder.fail(body_name(&other), "this daemon does not serve this call").await
            }
        }
    }
}

fn encode_records(records: &[DecisionRecord]) -> Vec<Vec<u8>> {
    records.iter().filter_map(|it| serde_json::to_vec(it).ok()).collect()
}

/// Returns the name of the daemon that issued a request id of the form `daemon-incarnation-number`.
fn issuing_daemon(request_id: &str) -> Option<&str> {
    let (issuer, _) = request_id.rsplit_once('-')?;
    issuer.rsplit_once('-').map(|(daemon, _)| daemon)
}
