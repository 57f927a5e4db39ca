//! Expert maps of a lock-step group: popularity of each expert, placement of its replicas, planning of moves that
//! are worth their cost, and the switch of all ranks to a new map at the same forward pass.

mod hold;
mod hold_slot;
mod lead_time;
mod map_version;
mod pack;
mod placement;
mod plan;
mod popularity;
mod rebalance;
mod switch;

pub use hold::BarrierOrders;
pub use hold::DisarmOrder;
pub use hold::RankMaps;
pub use hold::barrier_orders;
pub use hold::completable_version;
pub use hold::may_release;
pub use hold_slot::HOLD_SLOTS_MIN;
pub use hold_slot::HoldSlot;
pub use lead_time::OrderTiming;
pub use lead_time::passes_ahead;
pub use map_version::VersionKind;
pub use map_version::next_version;
pub use pack::align;
pub use pack::pack;
pub use placement::ExpertId;
pub use placement::Placement;
pub use placement::RankId;
pub use placement::Shape;
pub use plan::Costs;
pub use plan::Move;
pub use plan::Plan;
pub use plan::Preset;
pub use plan::plan_moves;
pub use popularity::Popularity;
pub use rebalance::ChangeLimits;
pub use rebalance::ExpertSetMap;
pub use rebalance::Slowness;
pub use rebalance::copies_needed;
pub use rebalance::rebalance;
pub use rebalance::skew;
pub use switch::PlannerState;
pub use switch::RankMessage;
pub use switch::RankReply;
pub use switch::RankSwitch;
pub use switch::SwitchPlanner;
