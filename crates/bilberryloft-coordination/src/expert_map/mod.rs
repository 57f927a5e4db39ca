//! Expert maps of a lock-step group: how popular each expert is, where its replicas are, which moves pay,
//! and how all ranks change to a new map at the same step.

mod bounded;
mod lead_time;
mod pack;
mod placement;
mod plan;
mod popularity;
mod switch;

pub use bounded::ChangeLimits;
pub use bounded::ExpertSetMap;
pub use bounded::Slowness;
pub use bounded::copies_needed;
pub use bounded::rebalance;
pub use bounded::skew;
pub use lead_time::passes_ahead;
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
pub use switch::PlannerState;
pub use switch::RankMessage;
pub use switch::RankReply;
pub use switch::RankSwitch;
pub use switch::SwitchPlanner;
