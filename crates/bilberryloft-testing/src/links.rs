//! Proxies on every link of a fleet, so that tests can cut or delay any link in either direction.

use std::collections::BTreeMap;

use crate::address::unique_ip;
use crate::fleet::DISPATCH_PORT;
use crate::fleet::Fleet;
use crate::fleet::PEER_PORT;
use crate::proxy::Fault;
use crate::proxy::Proxy;

/// Running proxies by the names of the calling and the called daemon.
///
/// All entries share one proxy to each agent; the calling side of these links is named `entries`.
#[derive(Debug, Default)]
pub struct Links {
    proxies: BTreeMap<(String, String), Proxy>,
}

impl Links {
    /// Puts a proxy on every link of a planned fleet, which must not have started yet.
    pub async fn interpose(fleet: &mut Fleet) -> Links {
        let mut links = Links::default();
        let controls: Vec<(u32, String)> = (1..).zip(fleet.control_ips.clone()).collect();
        for name in fleet.daemon_names() {
            let mut addresses = Vec::new();
            let mut routes = BTreeMap::new();
            for (number, ip) in &controls {
                let control = format!("control-{number}");
                let address = match control == name {
                    true => format!("{ip}:{PEER_PORT}"),
                    false => {
                        links.add(&name, &control, &format!("{ip}:{PEER_PORT}"), PEER_PORT).await
                    }
                };
                addresses.push(address.clone());
                routes.insert(*number, address);
            }
            let settings = fleet.settings_mut(&name);
            settings.control_addresses = addresses;
            if let Some(control) = &mut settings.control {
                control.routes = routes;
            }
        }
        for (number, ip) in (1..).zip(fleet.target_ips.clone()) {
            let name = format!("agent-{number}");
            let server = format!("{ip}:{DISPATCH_PORT}");
            let address = links.add("entries", &name, &server, DISPATCH_PORT).await;
            if let Some(agent) = &mut fleet.settings_mut(&name).agent {
                agent.advertised_address = Some(address);
            }
        }
        links
    }

    async fn add(&mut self, from: &str, to: &str, server: &str, port: u16) -> String {
        let address = format!("{}:{port}", unique_ip());
        let proxy = Proxy::bind(&address, server).await.expect("cannot start a proxy");
        self.proxies.insert((from.to_string(), to.to_string()), proxy);
        address
    }

    /// Sets the fault of one link.
    pub fn set_fault(&self, from: &str, to: &str, fault: Fault) {
        if let Some(proxy) = self.proxies.get(&(from.to_string(), to.to_string())) {
            proxy.set_fault(fault);
        }
    }

    /// Sets the fault of all links to and from a daemon.
    pub fn set_daemon_faults(&self, daemon: &str, fault: Fault) {
        for ((from, to), proxy) in &self.proxies {
            if from == daemon || to == daemon {
                proxy.set_fault(fault);
            }
        }
    }

    /// Removes the faults of all links.
    pub fn clear_faults(&self) {
        for proxy in self.proxies.values() {
            proxy.set_fault(Fault::Pass);
        }
    }
}
