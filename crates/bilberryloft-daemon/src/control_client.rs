//! Client for calls to the control hosts: retries a call at one host after another until one responds.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberryloft_coordination::host_choice::HostRank;
use bilberryloft_coordination::host_choice::Place;
use bilberryloft_coordination::host_choice::host_rank;
use bilberryloft_protocol::codec::body_name;
use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::Propose;
use bilberryloft_state::compression;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use bilberryloft_transport::client::Client;
use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::time::Instant;

/// Time for one control host to respond before the next one is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);
/// Shortest pause after all control hosts were tried in turn, in milliseconds; the longest is twice that.
const ROUND_PAUSE_MS: u64 = 25;
/// Time for which a host that did not serve a call is asked only after all others.
const AVOID_DURATION: Duration = Duration::from_millis(1_500);

/// Client of the control hosts; clones share the connections, the list of hosts and the preferred host.
#[derive(Clone, Debug)]
pub struct ControlClient {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    daemon: String,
    incarnation: u64,
    /// Place of this daemon, if addresses of further hosts may be learnt in addition to the seeds. The client then
    /// prefers hosts that are near.
    place: Option<Place>,
    /// Addresses from the settings; they always stay in the list.
    seeds: Mutex<Vec<String>>,
    clients: RwLock<Vec<Client>>,
    /// Addresses of hosts that did not serve a call, with the time until which they are avoided.
    avoided: Mutex<BTreeMap<String, Instant>>,
    preferred: AtomicUsize,
}

impl ControlClient {
    /// Creates a client that calls only the given peer addresses and prefers the first one.
    pub fn new(addresses: &[String], daemon: &str, incarnation: u64) -> ControlClient {
        ControlClient::build(addresses, daemon, incarnation, None)
    }

    /// Creates a client that starts with the given peer addresses, learns others from the responses, and prefers hosts
    /// near the daemon's place.
    pub fn learning(
        addresses: &[String],
        daemon: &str,
        incarnation: u64,
        place: Place,
    ) -> ControlClient {
        ControlClient::build(addresses, daemon, incarnation, Some(place))
    }

    fn build(
        addresses: &[String],
        daemon: &str,
        incarnation: u64,
        place: Option<Place>,
    ) -> ControlClient {
        let clients =
            addresses.iter().map(|it| Client::new(it.clone(), daemon, incarnation)).collect();
        let shared = Shared {
            daemon: daemon.to_string(),
            incarnation,
            place,
            seeds: Mutex::new(addresses.to_vec()),
            clients: RwLock::new(clients),
            avoided: Mutex::default(),
            preferred: AtomicUsize::new(0),
        };
        ControlClient { shared: Arc::new(shared) }
    }

    /// Returns the clients of all known control hosts and seeds.
    pub fn clients(&self) -> Vec<Client> {
        self.shared.clients.read().clone()
    }

    /// Returns the clients of the seeds.
    pub fn seeds(&self) -> Vec<Client> {
        let seeds = self.shared.seeds.lock().clone();
        let clients = self.clients().into_iter();
        clients.filter(|it| seeds.iter().any(|seed| seed == it.address())).collect()
    }

    /// Returns the addresses of all known control hosts and seeds.
    pub fn addresses(&self) -> Vec<String> {
        self.shared.clients.read().iter().map(|it| it.address().to_string()).collect()
    }

    /// Returns the host to call next: the preferred one, or the best other one that has not failed lately.
    pub fn preferred(&self) -> Client {
        let clients = self.shared.clients.read();
        let current = self.shared.preferred.load(Ordering::Relaxed) % clients.len();
        match self.is_avoided(&clients[current]) {
            true => clients[self.best(&clients, current)].clone(),
            false => clients[current].clone(),
        }
    }

    /// Returns the best host that has not failed lately, or the one that failed first if all have. Without a place, the
    /// next one in the list is the best.
    fn best(&self, clients: &[Client], current: usize) -> usize {
        let now = Instant::now();
        let avoided = self.shared.avoided.lock();
        let avoided_until = |idx: &usize| {
            avoided.get(clients[*idx].address()).copied().filter(|until| *until > now)
        };
        let place = self.shared.place.as_ref();
        let preference = |idx: &usize| {
            let distance = (idx + clients.len() - current) % clients.len();
            (avoided_until(idx), place.map(|it| rank(it, &clients[*idx])), distance)
        };
        (0..clients.len()).min_by_key(preference).unwrap_or(current)
    }

    fn is_avoided(&self, client: &Client) -> bool {
        let avoided = self.shared.avoided.lock();
        avoided.get(client.address()).is_some_and(|until| *until > Instant::now())
    }

    /// Records that a host did not serve a call, so that for a while it is called only after all others.
    pub fn avoid(&self, client: &Client) {
        let until = Instant::now() + AVOID_DURATION;
        self.shared.avoided.lock().insert(client.address().to_string(), until);
        let clients = self.shared.clients.read();
        let current = self.shared.preferred.load(Ordering::Relaxed) % clients.len();
        if clients[current].address() == client.address() {
            let best = self.best(&clients, current);
            self.shared.preferred.store(best, Ordering::Relaxed);
        }
    }

    /// Returns the hosts that are nearer than the preferred one and have not failed lately, the nearest first.
    pub fn nearer(&self) -> Vec<Client> {
        let Some(place) = &self.shared.place else {
            return Vec::new();
        };
        let current = rank(place, &self.preferred());
        let mut clients = self.clients();
        clients.retain(|it| rank(place, it) < current && !self.is_avoided(it));
        clients.sort_by_key(|it| rank(place, it));
        clients
    }

    /// Makes a host the preferred one, if it is still in the list.
    pub fn prefer(&self, client: &Client) {
        let clients = self.shared.clients.read();
        if let Some(idx) = clients.iter().position(|it| it.address() == client.address()) {
            self.shared.preferred.store(idx, Ordering::Relaxed);
        }
    }

    /// Replaces the list of hosts by addresses that a control host reported; seeds are kept at its end.
    /// Does nothing if the client does not learn addresses.
    pub fn learn(&self, addresses: &[String]) {
        if addresses.is_empty() || self.shared.place.is_none() {
            return;
        }
        let mut addresses = addresses.to_vec();
        for seed in self.shared.seeds.lock().iter() {
            if !addresses.contains(seed) {
                addresses.push(seed.clone());
            }
        }
        self.replace(addresses);
    }

    /// Adds a control host that reported its own address to the front of the list.
    pub fn add(&self, address: &str) {
        let mut addresses = self.addresses();
        if self.shared.place.is_some() && !addresses.iter().any(|it| it == address) {
            addresses.insert(0, address.to_string());
            self.replace(addresses);
        }
    }

    /// Handles a redirect from a daemon that is not a control host: learns the addresses of those that are, and
    /// avoids this daemon.
    pub fn follow_redirect(&self, client: &Client, addresses: &[String]) {
        self.learn(addresses);
        self.avoid(client);
    }

    /// Replaces the seeds after new settings were loaded; addresses learnt earlier stay in the list.
    pub fn set_seeds(&self, seeds: &[String]) {
        *self.shared.seeds.lock() = seeds.to_vec();
        if self.shared.place.is_none() {
            return self.replace(seeds.to_vec());
        }
        let known = self.addresses();
        self.learn(&known);
    }

    fn replace(&self, addresses: Vec<String>) {
        if self.addresses() == addresses {
            return;
        }
        let preferred = self.preferred().address().to_string();
        let mut clients = self.shared.clients.write();
        let client_for = |address: String| {
            let existing = clients.iter().find(|it| it.address() == address).cloned();
            existing.unwrap_or_else(|| {
                Client::new(address, &self.shared.daemon, self.shared.incarnation)
            })
        };
        let updated: Vec<Client> = addresses.into_iter().map(client_for).collect();
        let idx = updated.iter().position(|it| it.address() == preferred).unwrap_or(0);
        *clients = updated;
        self.shared.preferred.store(idx, Ordering::Relaxed);
    }

    /// Calls one host after another until one responds; the call must be idempotent.
    ///
    /// When the time runs out, fails with the error of the last attempt that failed, or with
    /// [`Error::NoControlHost`] if there were only redirects.
    pub async fn call(&self, body: Body, timeout: Duration) -> Result<Body> {
        self.call_with(body_name(&body), || Ok(body.clone()), timeout).await
    }

    /// Like [`ControlClient::call`], with a body that is built anew for each attempt.
    async fn call_with(
        &self,
        step: &'static str,
        build: impl Fn() -> Result<Body>,
        timeout: Duration,
    ) -> Result<Body> {
        let deadline = Instant::now() + timeout;
        let mut tried = 0;
        let mut last_error = Error::NoControlHost { step, tried };
        while Instant::now() < deadline {
            let remaining = deadline - Instant::now();
            let client = self.preferred();
            match client.call(build()?, remaining.min(ATTEMPT_TIMEOUT)).await {
                Ok(Body::Redirect(redirect)) => self.follow_redirect(&client, &redirect.addresses),
                Ok(response) => return Ok(response),
                Err(error) => {
                    last_error = error;
                    self.avoid(&client);
                }
            }
            tried += 1;
            if let Error::NoControlHost { tried: count, .. } = &mut last_error {
                *count = tried;
            }
            if tried % self.shared.clients.read().len() == 0 {
                let pause_ms = fastrand::u64(ROUND_PAUSE_MS..=2 * ROUND_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        Err(last_error)
    }

    /// Proposes a command and retries it until its outcome is known or the time runs out.
    ///
    /// The command may have been applied even when this fails.
    pub async fn propose(&self, command: &Command, timeout: Duration) -> Result<Outcome> {
        self.propose_with(|| command.clone(), timeout).await
    }

    /// Like [`ControlClient::propose`], with a command that is built anew for each attempt, because it holds ages: an
    /// attempt that a host does not answer takes most of a second.
    pub async fn propose_with(
        &self,
        build: impl Fn() -> Command,
        timeout: Duration,
    ) -> Result<Outcome> {
        let encode = || {
            let command = compression::encode(&build())
                .map_err(|it| Error::Json { step: "encode a command", detail: it.to_string() })?;
            Ok(Body::Propose(Propose::new(command, false)))
        };
        match self.call_with("propose", encode, timeout).await? {
            Body::ProposeReply(reply) => serde_json::from_slice(&reply.outcome)
                .map_err(|it| Error::Json { step: "read an outcome", detail: it.to_string() }),
            other => Err(Error::protocol("propose", "control", body_name(&other))),
        }
    }
}

fn rank(place: &Place, client: &Client) -> HostRank {
    host_rank(place, client.address(), client.peer_data_center().as_deref())
}
