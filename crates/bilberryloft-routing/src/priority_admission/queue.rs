//! Requests that wait at an entry for room in a group.

use std::collections::BTreeSet;

/// Order in which requests are started: by priority, and within a priority those that can still meet their objective
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartOrder {
    /// Order of the request: ten times its priority, plus that of its route; the lowest first.
    pub priority: u8,
    /// Whether the request has missed its objective, in an earlier attempt of its caller.
    pub is_late: bool,
}

/// Position of a request in an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdmissionTicket {
    order: StartOrder,
    number: u64,
}

impl AdmissionTicket {
    /// Returns the order of the request.
    pub fn start_order(self) -> StartOrder {
        self.order
    }
}

/// Queue of one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    tickets: BTreeSet<AdmissionTicket>,
    last_number: u64,
}

impl AdmissionQueue {
    /// Adds a request to the queue.
    pub fn join(&mut self, order: StartOrder) -> AdmissionTicket {
        self.last_number += 1;
        let ticket = AdmissionTicket { order, number: self.last_number };
        self.tickets.insert(ticket);
        ticket
    }

    /// Removes a request from the queue.
    pub fn leave(&mut self, ticket: AdmissionTicket) {
        self.tickets.remove(&ticket);
    }

    /// Returns whether this request is next.
    pub fn is_first(&self, ticket: AdmissionTicket) -> bool {
        self.tickets.first() == Some(&ticket)
    }

    /// Returns whether requests wait that are to be started before a new one of this order.
    pub fn has_before(&self, order: StartOrder) -> bool {
        self.tickets.first().is_some_and(|it| it.order <= order)
    }

    /// Returns the number of requests that are to be started before a new one of this order.
    pub fn before(&self, order: StartOrder) -> usize {
        self.tickets.iter().take_while(|it| it.order <= order).count()
    }
}
