//! Sending messages to the other members of the quorum, each through a queue of its own.

use std::collections::BTreeMap;

use bilberryloft_coordination::raft::Message;
use bilberryloft_protocol::convert::raft_to_wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_transport::client::Client;
use tokio::sync::mpsc;

/// Messages that wait for one member; more are dropped, and the algorithm sends them again.
const QUEUE_MAX: usize = 4_096;

#[derive(Debug)]
struct Link {
    address: String,
    queue: mpsc::Sender<Message>,
}

/// Links to the other members.
#[derive(Debug)]
pub struct Peers {
    daemon: String,
    incarnation: u64,
    member: u32,
    routes: BTreeMap<u32, String>,
    links: BTreeMap<u32, Link>,
}

impl Peers {
    /// Starts without links.
    pub fn new(
        daemon: &str,
        incarnation: u64,
        member: u32,
        routes: BTreeMap<u32, String>,
    ) -> Peers {
        Peers { daemon: daemon.to_string(), incarnation, member, routes, links: BTreeMap::new() }
    }

    /// Makes the links match the members in force.
    pub fn update(&mut self, members: &MemberSet) {
        let routes = &self.routes;
        let address_of = |member: u32| routes.get(&member).or_else(|| members.address(member));
        self.links.retain(|member, link| {
            members.address(*member).is_some() && address_of(*member) == Some(&link.address)
        });
        for member in members.others(self.member) {
            let Some(address) = address_of(member) else {
                continue;
            };
            if !self.links.contains_key(&member) {
                let (queue, messages) = mpsc::channel(QUEUE_MAX);
                let client = Client::new(address.clone(), &self.daemon, self.incarnation);
                tokio::spawn(forward(client, messages));
                self.links.insert(member, Link { address: address.clone(), queue });
            }
        }
    }

    /// Address of a member from this host.
    pub fn address(&self, members: &MemberSet, member: u32) -> Option<String> {
        self.routes.get(&member).or_else(|| members.address(member)).cloned()
    }

    /// Queues a message.
    pub fn send(&self, to: u32, message: Message) {
        if let Some(link) = self.links.get(&to) {
            let _ = link.queue.try_send(message);
        }
    }
}

async fn forward(client: Client, mut messages: mpsc::Receiver<Message>) {
    while let Some(message) = messages.recv().await {
        let _ = client.notify(Body::Raft(raft_to_wire(message))).await;
    }
}
