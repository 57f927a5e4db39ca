//! Connections to the other members of the quorum, each with its own message queue.

use std::collections::BTreeMap;

use bilberryloft_coordination::raft::Message;
use bilberryloft_protocol::convert::raft_to_wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::MemberMessage;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::state_machine::COMMAND_FORMAT;
use bilberryloft_transport::client::Client;
use tokio::sync::mpsc;

use crate::control::handle::Input;
use crate::events::Event;
use crate::log_event;
use crate::settings::ControlSettings;

/// Longest queue of messages for one member; further messages are dropped, because Raft sends them again.
const LINK_QUEUE_MAX: usize = 4_096;

#[derive(Debug)]
struct Link {
    address: String,
    client: Client,
    queue: mpsc::Sender<MemberMessage>,
}

/// Message queues and connections to the other members of the quorum.
#[derive(Debug)]
pub struct Peers {
    daemon: String,
    incarnation: u64,
    member: u32,
    routes: BTreeMap<u32, String>,
    links: BTreeMap<u32, Link>,
    /// Addresses that members report themselves, for members that are not in the log yet.
    reported_addresses: BTreeMap<u32, String>,
    own_address: Option<String>,
    inputs: mpsc::Sender<Input>,
}

impl Peers {
    /// Creates the peers without any link; a member whose process has ended is reported to `inputs`.
    pub fn new(
        daemon: &str,
        incarnation: u64,
        settings: &ControlSettings,
        inputs: mpsc::Sender<Input>,
    ) -> Peers {
        Peers {
            daemon: daemon.to_string(),
            incarnation,
            member: settings.member,
            routes: settings.routes.clone(),
            links: BTreeMap::new(),
            reported_addresses: BTreeMap::new(),
            own_address: None,
            inputs,
        }
    }

    /// Opens and closes links so that they match the current members and their addresses.
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
        let (queue, messages) = mpsc::channel(LINK_QUEUE_MAX);
        let client = Client::new(address.clone(), &self.daemon, self.incarnation);
        tokio::spawn(run_link(client.clone(), messages, member, self.inputs.clone()));
        Link { address, client, queue }
    }

    /// Returns the format of commands that this member and all others read, as far as it is known.
    pub fn command_format(&self) -> i32 {
        let formats = self.links.values().filter_map(|it| it.client.peer_command_format());
        formats.fold(COMMAND_FORMAT, i32::min)
    }

    /// Records the address that a member reports for itself.
    pub fn record_address(&mut self, member: u32, address: String) {
        self.reported_addresses.insert(member, address);
    }

    /// Returns the address at which this host reaches a member: the one from the settings, else from the log.
    pub fn address(&self, members: &MemberSet, member: u32) -> Option<String> {
        self.routes.get(&member).or_else(|| members.address(member)).cloned()
    }

    /// Queues a message for a member, connecting to a reported address if there is no link yet.
    pub fn send(&mut self, to: u32, message: Message) {
        if !self.links.contains_key(&to)
            && let Some(address) = self.reported_addresses.get(&to).cloned()
        {
            let link = self.connect(to, address);
            self.links.insert(to, link);
        }
        if let Some(link) = self.links.get(&to) {
            let sender_address = self.own_address.clone();
            // A full queue drops the message; Raft sends it again.
            let _ = link.queue.try_send(MemberMessage::new(raft_to_wire(message), sender_address));
        }
    }
}

/// Sends the queued messages of one link and reports when the process at its other end has ended.
async fn run_link(
    client: Client,
    mut messages: mpsc::Receiver<MemberMessage>,
    member: u32,
    inputs: mpsc::Sender<Input>,
) {
    let mut was_connected = false;
    loop {
        let has_ended = tokio::select! {
            message = messages.recv() => match message {
                None => return,
                // A message that can't be sent is dropped; Raft sends it again.
                Some(message) => match client.notify(Body::Raft(message)).await {
                    Ok(()) => {
                        was_connected = true;
                        false
                    }
                    Err(error) => error.is_connection_refused(),
                },
            },
            () = client.closed() => client.refuses_connections().await,
        };
        if has_ended && was_connected {
            was_connected = false;
            log_event!(info, Event::MemberEnded, member, address = client.address());
            // A full queue drops the report; the missing heartbeats show the failure a little later.
            let _ = inputs.try_send(Input::PeerEnded { member });
        }
    }
}
