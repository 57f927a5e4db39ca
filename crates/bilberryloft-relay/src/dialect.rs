//! The edge between the relay's own types and the names and formats that callers, targets and operators use.

use bilberryloft_coordination::expert_map::ExpertId;
use bilberryloft_coordination::expert_map::ExpertSetMap;
use bilberryloft_routing::document::Document;
use bilberryloft_routing::document::DocumentError;
use bilberryloft_routing::targets::TargetInfo;
use hyper::Method;
use hyper::header::HeaderName;

/// Slowness from which a rank gets less to do; smaller differences are noise.
const SLOW_FROM: f64 = 1.25;

/// Names of the headers that the relay reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Caller's id of one attempt; targets repeat it in their answers.
    pub request_id: HeaderName,
    /// Milliseconds for which the caller, or the relay, still waits.
    pub time_left: HeaderName,
    /// Name of the caller's team, set by the relay.
    pub team: HeaderName,
    /// Name of the target that alone may run the request, set by the relay.
    pub expected_target: HeaderName,
    /// Present in an answer when the target did not run the request.
    pub not_run: HeaderName,
    /// Proof that a target made the answer.
    pub signature: HeaderName,
    /// Urgency, from 0 to 9, set by the relay.
    pub priority: HeaderName,
    /// Id of the last event that the caller has of a stream.
    pub last_event_id: HeaderName,
}

/// A call to the control API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// An operator puts a document.
    PutDocument,
    /// An operator reads the newest document.
    ReadDocument,
    /// A target announces itself.
    Announce {
        /// Name of the target.
        id: String,
    },
    /// A target leaves.
    Leave {
        /// Name of the target.
        id: String,
    },
    /// There is no such call.
    Unknown,
}

/// What a rank says of its group and of its expert maps.
#[derive(Clone, Debug, PartialEq)]
pub struct RankReport {
    /// Name of the group.
    pub group: String,
    /// Life of the group; it grows each time the group forms again.
    pub epoch: u64,
    /// Number of the rank in its group.
    pub rank: usize,
    /// Ranks of the group.
    pub ranks: usize,
    /// Whether the group works.
    pub is_open: bool,
    /// Map in use.
    pub map_version: u64,
    /// Map whose experts are all copied.
    pub prepared: Option<u64>,
    /// Whether the rank changes to a prepared map at a coming pass.
    pub is_armed: bool,
    /// Pass before which the rank holds its group.
    pub held_step: Option<u64>,
    /// How many times as long as usual the rank takes; 1.0 is its usual speed.
    pub slowness: f64,
}

impl RankReport {
    /// Whether the rank gets less to do for being slow.
    pub fn is_slow(&self) -> bool {
        self.slowness >= SLOW_FROM
    }
}

/// How often a rank's requests chose each expert.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpertCounts {
    /// Pass that was begun last.
    pub step: u64,
    /// Life of the group.
    pub epoch: u64,
    /// Counts since the rank's start, set after set.
    pub counts: Vec<u64>,
}

/// Experts of a rank in the map in use, by set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankExperts {
    /// Version of the map.
    pub version: u64,
    /// Experts by set.
    pub sets: Vec<Vec<ExpertId>>,
}

/// An order to a rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RankOrder<'a> {
    /// Copy what a map needs.
    Prepare {
        /// Version of the map.
        version: u64,
        /// Life of the group that the order is for.
        epoch: u64,
        /// The map, by set and rank.
        map: &'a [ExpertSetMap],
    },
    /// Change to a prepared map as a pass begins.
    Arm {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
        /// Life of the group that the order is for.
        epoch: u64,
    },
    /// Do not change after all.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Do not begin a pass yet.
    Hold {
        /// The pass.
        step: u64,
        /// Life of the group that the order is for.
        epoch: u64,
    },
    /// Begin the pass that was held.
    Go {
        /// The pass.
        step: u64,
    },
}

/// Names and formats of a deployment; it decides nothing.
pub trait Dialect: Send + Sync + 'static {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;
    /// Scheme of the authorization header, in front of the key.
    fn authorization_scheme(&self) -> &'static str;
    /// Path of the balancer's question whether the relay is ready.
    fn readiness_path(&self) -> &'static str;
    /// Which call a method and path stand for.
    fn control_call(&self, method: &Method, path: &str) -> ControlCall;
    /// Reads a document.
    fn decode_document(&self, bytes: &[u8]) -> Result<Document, DocumentError>;
    /// Path of a rank's report.
    fn report_path(&self) -> &'static str;
    /// Path of a rank's counts of chosen experts.
    fn counts_path(&self) -> &'static str;
    /// Path of a rank's experts in the map in use.
    fn experts_path(&self) -> &'static str;
    /// Path of orders to a rank.
    fn order_path(&self) -> &'static str;
    /// Reads a rank's report; `None` for a target that is no rank of a group.
    fn decode_report(&self, bytes: &[u8]) -> Result<Option<RankReport>, String>;
    /// Reads a rank's counts.
    fn decode_counts(&self, bytes: &[u8]) -> Result<ExpertCounts, String>;
    /// Reads a rank's experts.
    fn decode_experts(&self, bytes: &[u8]) -> Result<RankExperts, String>;
    /// Writes an order.
    fn encode_order(&self, order: &RankOrder<'_>) -> Vec<u8>;
    /// Reads what a target says of itself; the error names the field that is wrong.
    fn decode_announcement(&self, id: &str, bytes: &[u8]) -> Result<TargetInfo, String>;
}
