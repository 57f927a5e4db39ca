//! Calls from any daemon to whichever control host answers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberryloft_protocol::codec::body_name;
use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::Propose;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use bilberryloft_transport::client::Client;
use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::time::Instant;

/// Longest time for one control host to answer before the next is tried.
const TRY_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after all control hosts failed in turn.
const ROUND_PAUSE_MS: u64 = 25;

/// Time for which a host that did not serve a call comes last.
const AVOID_FOR: Duration = Duration::from_millis(1_500);

/// Calls to control; clones share connections, the list of hosts and the preferred one.
#[derive(Clone, Debug)]
pub struct ControlClient {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    daemon: String,
    incarnation: u64,
    /// Whether hosts may be learnt beside the seeds.
    learns: bool,
    /// Addresses from the settings; they stay in the list whatever is learnt.
    seeds: Mutex<Vec<String>>,
    clients: RwLock<Vec<Client>>,
    /// Hosts that did not answer, until when they come last.
    avoided: Mutex<BTreeMap<String, Instant>>,
    preferred: AtomicUsize,
}

impl ControlClient {
    /// Makes a client for the given peer addresses, the first one preferred; it asks no others.
    pub fn new(addresses: &[String], daemon: &str, incarnation: u64) -> ControlClient {
        ControlClient::with(addresses, daemon, incarnation, false)
    }

    /// Makes a client that begins with the given addresses and learns others from the hosts that answer.
    pub fn learning(addresses: &[String], daemon: &str, incarnation: u64) -> ControlClient {
        ControlClient::with(addresses, daemon, incarnation, true)
    }

    fn with(addresses: &[String], daemon: &str, incarnation: u64, learns: bool) -> ControlClient {
        let clients =
            addresses.iter().map(|it| Client::new(it.clone(), daemon, incarnation)).collect();
        let shared = Shared {
            daemon: daemon.to_string(),
            incarnation,
            learns,
            seeds: Mutex::new(addresses.to_vec()),
            clients: RwLock::new(clients),
            avoided: Mutex::default(),
            preferred: AtomicUsize::new(0),
        };
        ControlClient { shared: Arc::new(shared) }
    }

    /// All control hosts, and the seeds.
    pub fn clients(&self) -> Vec<Client> {
        self.shared.clients.read().clone()
    }

    /// Addresses of all control hosts, and the seeds.
    pub fn addresses(&self) -> Vec<String> {
        self.shared.clients.read().iter().map(|it| it.address().to_string()).collect()
    }

    /// The host to ask next: the one that answered last, or the next one that has not failed lately.
    pub fn preferred(&self) -> Client {
        let clients = self.shared.clients.read();
        let avoided = self.shared.avoided.lock();
        let first = self.shared.preferred.load(Ordering::Relaxed);
        let now = Instant::now();
        let is_sound = |at: &usize| {
            let address = clients[at % clients.len()].address();
            avoided.get(address).is_none_or(|until| *until <= now)
        };
        let at = (first..first + clients.len()).find(is_sound).unwrap_or(first);
        clients[at % clients.len()].clone()
    }

    /// Notes that a host did not serve a call; others are asked before it for a while.
    pub fn avoid(&self, client: &Client) {
        let until = Instant::now() + AVOID_FOR;
        self.shared.avoided.lock().insert(client.address().to_string(), until);
        let clients = self.shared.clients.read();
        let at = self.shared.preferred.load(Ordering::Relaxed) % clients.len();
        if clients[at].address() == client.address() {
            self.shared.preferred.store(at + 1, Ordering::Relaxed);
        }
    }

    /// Takes the control hosts that one of them names; seeds stay at the end of the list.
    pub fn learn(&self, addresses: &[String]) {
        if addresses.is_empty() || !self.shared.learns {
            return;
        }
        let mut wanted = addresses.to_vec();
        for seed in self.shared.seeds.lock().iter() {
            if !wanted.contains(seed) {
                wanted.push(seed.clone());
            }
        }
        self.replace(wanted);
    }

    /// Adds a control host that has named itself, in front of the list.
    pub fn add(&self, address: &str) {
        let mut wanted = self.addresses();
        if self.shared.learns && !wanted.iter().any(|it| it == address) {
            wanted.insert(0, address.to_string());
            self.replace(wanted);
        }
    }

    /// Takes the word of a daemon that is no control host about those that are.
    pub fn follow_redirect(&self, client: &Client, addresses: &[String]) {
        self.learn(addresses);
        self.avoid(client);
    }

    /// Takes the seeds of new settings; hosts learnt before stay in the list.
    pub fn set_seeds(&self, seeds: &[String]) {
        *self.shared.seeds.lock() = seeds.to_vec();
        if !self.shared.learns {
            return self.replace(seeds.to_vec());
        }
        let known = self.addresses();
        self.learn(&known);
    }

    fn replace(&self, wanted: Vec<String>) {
        if self.addresses() == wanted {
            return;
        }
        let preferred = self.preferred().address().to_string();
        let mut clients = self.shared.clients.write();
        let make = |address: String| {
            let known = clients.iter().find(|it| it.address() == address).cloned();
            known.unwrap_or_else(|| {
                Client::new(address, &self.shared.daemon, self.shared.incarnation)
            })
        };
        let next: Vec<Client> = wanted.into_iter().map(make).collect();
        let at = next.iter().position(|it| it.address() == preferred).unwrap_or(0);
        *clients = next;
        self.shared.preferred.store(at, Ordering::Relaxed);
    }

    /// Calls until a host answers or the time runs out; the call must be safe to repeat.
    pub async fn call(&self, body: Body, limit: Duration) -> Result<Body> {
        let step = body_name(&body);
        let until = Instant::now() + limit;
        let mut tried = 0;
        let mut last = Error::NoControlHost { step, tried };
        while Instant::now() < until {
            let left = until - Instant::now();
            let client = self.preferred();
            match client.call(body.clone(), left.min(TRY_TIMEOUT)).await {
                Ok(Body::Redirect(redirect)) => self.follow_redirect(&client, &redirect.addresses),
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    last = error;
                    self.avoid(&client);
                }
            }
            tried += 1;
            if let Error::NoControlHost { tried: count, .. } = &mut last {
                *count = tried;
            }
            if tried % self.shared.clients.read().len() == 0 {
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
