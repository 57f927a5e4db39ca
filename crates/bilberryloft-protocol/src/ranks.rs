//! JSON bodies of the HTTP requests between an agent and the ranks of its target.

use bilberryloft_coordination::expert_map::RankMessage;
use bilberryloft_coordination::expert_map::RankReply;
use bilberryloft_state::expert_map_register::SettleResult;
use serde::Deserialize;
use serde::Serialize;

/// Response to `GET /expert_map`: the ranks of a target and their expert map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Incarnation of the group; a new incarnation starts with map version 0.
    pub incarnation: u64,
    /// Number of ranks.
    pub ranks: usize,
    /// Number of experts.
    pub experts: usize,
    /// Number of expert slots of each rank.
    pub slots: usize,
    /// Expert in each slot of the map in force, ordered by rank.
    pub map: Vec<u16>,
    /// Next step that the group runs.
    pub next_step: u64,
    /// Number of tokens routed to each expert since the previous status.
    pub tokens: Vec<u64>,
    /// Map version that a rank is armed for and whose decision it does not know, if any.
    pub undecided: Option<u64>,
}

/// Request to one rank: `POST /ranks/{rank}/expert_map`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankRequest {
    /// Message of the switch protocol.
    pub message: RankMessage,
    /// Expert in each slot of the new map; present with a stage message only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub map: Option<Vec<u16>>,
}

/// Response to a [`RankRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankResponse {
    /// Reply to the message, if it has one.
    pub reply: Option<RankReply>,
}

/// Request of a restarted rank to its agent: `POST /ranks/settle` at the announce address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// Incarnation of the group.
    pub incarnation: u64,
    /// Next step that the group runs.
    pub next_step: u64,
}

/// Response to a [`SettleRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleResponse {
    /// State of the expert map that the rank resumes with.
    pub settled: SettleResult,
}
