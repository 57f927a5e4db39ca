//! Sending messages to the other members of the quorum, each through a queue of its own.

use std::collections::BTreeMap;

use bilberryloft_coordination::raft::Message;
use bilberryloft_protocol::convert::raft_to_wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::MemberMessage;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_transport::client::Client;
use tokio::sync::mpsc;

use crate::control::handle::Input;
use crate::events::Event;
use crate::log_event;
use crate::settings::ControlSettings;

/// Messages that wait for one member; more are dropped, and the algorithm sends them again.
const QUEUE_MAX: usize = 4_096;

#[derive(Debug)]
struct Link {
    address: String,
    queue: mpsc::Sender<MemberMessage>,
}

/// Links to the other members.
#[derive(Debug)]
pub struct Peers {
    daemon: String,
    incarnation: u64,
    member: u32,
    routes: BTreeMap<u32, String>,
    links: BTreeMap<u32, Link>,
    /// Addresses that members have named themselves, for those that the log does not name yet.
    heard: BTreeMap<u32, String>,
    own_address: Option<String>,
    ended: mpsc::Sender<Input>,
}

impl Peers {
    /// Starts without links; members whose process has ended are told to `ended`.
    pub fn new(
        daemon: &str,
        incarnation: u64,
        settings: &ControlSettings,
        ended: mpsc::Sender<Input>,
    ) -> Peers {
        Peers {
            daemon: daemon.to_string(),
            incarnation,
            member: settings.member,
            routes: settings.routes.clone(),
            links: BTreeMap::new(),
            heard: BTreeMap::new(),
            own_address: None,
            ended,
        }
    }

    /// Makes the links match the members in force.
    pub fn update(&mut self, members: &MemberSet) {
        self.own_address = members.address(self.member).cloned();
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
                let link = self.connect(member, address.clone());
                self.links.insert(member, link);
            }
        }
    }

    fn connect(&self, member: u32, address: String) -> Link {
        let (queue, messages) = mpsc::channel(QUEUE_MAX);
        let client = Client::new(address.clone(), &self.daemon, self.incarnation);
        tokio::spawn(forward(client, messages, member, self.ended.clone()));
        Link { address, queue }
    }

    /// Takes the address that a member names itself.
    pub fn hear(&mut self, member: u32, address: String) {
        self.heard.insert(member, address);
    }

    /// Address of a member from this host.
    pub fn address(&self, members: &MemberSet, member: u32) -> Option<String> {
        self.routes.get(&member).or_else(|| members.address(member)).cloned()
    }

    /// Queues a message.
    pub fn send(&mut self, to: u32, message: Message) {
        if !self.links.contains_key(&to)
            && let Some(address) = self.heard.get(&to).cloned()
        {
            let link = self.connect(to, address);
            self.links.insert(to, link);
        }
        if let Some(link) = self.links.get(&to) {
            let sender_address = self.own_address.clone();
            // A full queue drops the message; the algorithm sends it again.
            let _ = link.queue.try_send(MemberMessage::new(raft_to_wire(message), sender_address));
        }
    }
}

async fn forward(
    client: Client,
    mut messages: mpsc::Receiver<MemberMessage>,
    member: u32,
    ended: mpsc::Sender<Input>,
) {
    let mut is_up = false;
    loop {
        let has_ended = tokio::select! {
            message = messages.recv() => match message {
                None => return,
                // What can't be sent is sent again by the algorithm.
                Some(message) => match client.notify(Body::Raft(message)).await {
                    Ok(()) => {
                        is_up = true;
                        false
                    }
                    Err(error) => error.is_refused(),
                },
            },
            () = client.closed() => client.is_refused().await,
        };
        if has_ended && is_up {
            is_up = false;
            log_event!(info, Event::MemberEnded, member, address = client.address());
            // A full queue drops it: the member's silence tells the same a little later.
            let _ = ended.try_send(Input::PeerEnded { member });
        }
    }
}
