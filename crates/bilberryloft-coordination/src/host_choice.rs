//! Which control host a daemon follows: one on its own host, else one of its data centre, else one by hash, so that
//! followers without one of their own are spread.

use bilberryloft_state::key::digest;

/// Place of a daemon: its peer address and its data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Peer address of the daemon.
    pub address: String,
    /// Data centre of the daemon.
    pub data_center: String,
}

/// Rank of a control host for one follower; the lowest one is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostRank {
    is_remote: bool,
    is_elsewhere: bool,
    hash: i64,
}

/// Ranks a control host for a follower. A host whose data centre is not known counts as elsewhere.
pub fn host_rank(follower: &Place, address: &str, data_center: Option<&str>) -> HostRank {
    HostRank {
        is_remote: address != follower.address,
        is_elsewhere: data_center != Some(&follower.data_center),
        hash: digest(&[follower.address.as_bytes(), address.as_bytes()]),
    }
}
