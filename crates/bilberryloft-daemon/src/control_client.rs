//! Calls from any daemon to whichever control host answers.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberryloft_protocol::codec::body_name;
use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::Propose;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::machine::Command;
use bilberryloft_state::machine::Outcome;
use bilberryloft_transport::client::Client;
use tokio::time::Instant;

/// Longest time for one control host to answer before the next is tried.
const TRY_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after all control hosts failed in turn.
const ROUND_PAUSE_MS: u64 = 25;

/// Calls to control; clones share connections and the preferred host.
#[derive(Clone, Debug)]
pub struct ControlClient {
    clients: Arc<Vec<Client>>,
    preferred: Arc<AtomicUsize>,
}

impl ControlClient {
    /// Makes a client for the given peer addresses, the first one preferred.
    pub fn new(addresses: &[String], daemon: &str, incarnation: u64) -> ControlClient {
        let clients =
            addresses.iter().map(|it| Client::new(it.clone(), daemon, incarnation)).collect();
        ControlClient { clients: Arc::new(clients), preferred: Arc::default() }
    }

    /// All control hosts.
    pub fn clients(&self) -> &[Client] {
        &self.clients
    }

    /// The host that answered last.
    pub fn preferred(&self) -> Client {
        let at = self.preferred.load(Ordering::Relaxed) % self.clients.len();
        self.clients[at].clone()
    }

    /// Prefers the next host from now on.
    pub fn rotate(&self) {
        self.preferred.fetch_add(1, Ordering::Relaxed);
    }

    /// Calls until a host answers or the time runs out; the call must be safe to repeat.
    pub async fn call(&self, body: Body, limit: Duration) -> Result<Body> {
        let step = body_name(&body);
        let until = Instant::now() + limit;
        let mut tried = 0;
        let mut last = Error::NoControl { step, tried };
        while Instant::now() < until {
            let left = until - Instant::now();
            let client = self.preferred();
            match client.call(body.clone(), left.min(TRY_TIMEOUT)).await {
                Ok(answer) => return Ok(answer),
                Err(error) => last = error,
            }
            tried += 1;
            self.rotate();
            if tried % self.clients.len() == 0 {
                let pause_ms = fastrand::u64(ROUND_PAUSE_MS..=2 * ROUND_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        Err(last)
    }

    /// Proposes a command, repeating it until its outcome is known or the time runs out.
    pub async fn propose(&self, command: &Command, limit: Duration) -> Result<Outcome> {
        let command = serde_json::to_vec(command)
            .map_err(|it| Error::Json { step: "encode a command", detail: it.to_string() })?;
        match self.call(Body::Propose(Propose::new(command, false)), limit).await? {
            Body::ProposeReply(reply) => serde_json::from_slice(&reply.outcome)
                .map_err(|it| Error::Json { step: "read an outcome", detail: it.to_string() }),
            other => Err(Error::protocol("propose", "control", body_name(&other))),
        }
    }
}
