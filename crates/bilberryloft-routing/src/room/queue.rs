//! Requests that wait at an entry for room in a group.

use std::collections::BTreeSet;

/// Order in which requests are started: by priority, and within a priority those that can still meet their objective
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Order of the request: ten times its priority, plus that of its route; the lowest first.
    pub priority: u8,
    /// Whether the request has missed its objective, in an earlier attempt of its caller.
    pub is_late: bool,
}

/// Position of a request in a [`RoomQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RoomTicket {
    rank: Rank,
    number: u64,
}

impl RoomTicket {
    /// Returns the rank of the request.
    pub fn rank(self) -> Rank {
        self.rank
    }
}

/// Queue of one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct RoomQueue {
    tickets: BTreeSet<RoomTicket>,
    last_number: u64,
}

impl RoomQueue {
    /// Adds a request to the queue.
    pub fn join(&mut self, rank: Rank) -> RoomTicket {
        self.last_number += 1;
        let ticket = RoomTicket { rank, number: self.last_number };
        self.tickets.insert(ticket);
        ticket
    }

    /// Removes a request from the queue.
    pub fn leave(&mut self, ticket: RoomTicket) {
        self.tickets.remove(&ticket);
    }

    /// Returns whether this request is next.
    pub fn is_first(&self, ticket: RoomTicket) -> bool {
        self.tickets.first() == Some(&ticket)
    }

    /// Returns whether requests wait that are to be started before a new one of this rank.
    pub fn has_before(&self, rank: Rank) -> bool {
        self.tickets.first().is_some_and(|it| it.rank <= rank)
    }

    /// Returns the number of requests that are to be started before a new one of this rank.
    pub fn before(&self, rank: Rank) -> usize {
        self.tickets.iter().take_while(|it| it.rank <= rank).count()
    }
}
