//! Bodies between an agent and the ranks of the target beside it.

use bilberryloft_coordination::expert_map::RankMessage;
use bilberryloft_coordination::expert_map::RankReply;
use bilberryloft_state::expert_map_register::SettleResult;
use serde::Deserialize;
use serde::Serialize;

/// What a target tells of its ranks and their expert map: `GET /expert_map`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Life of the group; a new life starts with the map of version 0.
    pub incarnation: u64,
    /// Number of ranks.
    pub ranks: usize,
    /// Number of experts.
    pub experts: usize,
    /// Slots of each rank.
    pub slots: usize,
    /// Expert in each slot of the map in force, rank after rank.
    pub map: Vec<u16>,
    /// Step that the group does next.
    pub next_step: u64,
    /// Tokens that each expert got since the last look.
    pub tokens: Vec<u64>,
    /// Version that some rank is armed for without knowing the decision.
    pub undecided: Option<u64>,
}

/// Order to one rank: `POST /ranks/{rank}/expert_map`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankRequest {
    /// The message.
    pub message: RankMessage,
    /// Expert in each slot of the new map, with a stage message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub map: Option<Vec<u16>>,
}

/// Answer of a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankResponse {
    /// The reply, if the message has one.
    pub reply: Option<RankReply>,
}

/// Question of a rank that has restarted to the agent: `POST /ranks/settle` at the announce address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// Life of the group.
    pub incarnation: u64,
    /// Step that the group does next.
    pub next_step: u64,
}

/// Answer to a [`SettleRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleResponse {
    /// What the quorum has settled.
    pub settled: SettleResult,
}
