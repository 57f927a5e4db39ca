//! Interface between the relay's types and a deployment's header names, paths and message formats.

use bilberryloft_coordination::expert_map::ExpertId;
use bilberryloft_coordination::expert_map::ExpertSetMap;
use bilberryloft_routing::document::Document;
use bilberryloft_routing::document::DocumentError;
use bilberryloft_routing::targets::TargetInfo;
use hyper::Method;
use hyper::header::HeaderName;

/// Slowness from which a rank counts as slow; smaller differences are noise.
const SLOW_THRESHOLD: f64 = 1.25;

/// Names of the headers that the relay reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Caller's id of the attempt, which targets repeat in their answers.
    pub request_id: HeaderName,
    /// Time for which the caller or the relay still waits, in milliseconds.
    pub time_left: HeaderName,
    /// Name of the caller's team, set by the relay.
    pub team: HeaderName,
    /// Name of the only target that may run the request, set by the relay.
    pub expected_target: HeaderName,
    /// Present in an answer if the target did not run the request.
    pub not_run: HeaderName,
    /// Signature of the target in its answer.
    pub signature: HeaderName,
    /// Priority, from 0 (most urgent) to 9, set by the relay.
    pub priority: HeaderName,
    /// Id of the last event of a stream that was received.
    pub last_event_id: HeaderName,
    /// Requests a second that the target takes from all entries together, in its answer.
    pub limit: HeaderName,
    /// Parts of the request's prompt, in order.
    pub prompt_parts: HeaderName,
    /// Present in an answer, with the value `1`, if the target is leaving.
    pub leaving: HeaderName,
    /// Number of the prompt's tokens and largest number of the answer's.
    pub token_counts: HeaderName,
    /// Time for which the target stays cold, in milliseconds, in its answer to a health check.
    pub cold_remaining: HeaderName,
}

/// Numbers of tokens that a caller names for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Largest number of tokens of the answer.
    pub answer_max: u64,
}

/// A call to the control API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Replaces the routing document.
    PutDocument,
    /// Reads the newest routing document.
    ReadDocument,
    /// Registers a target or renews its announcement.
    Announce {
        /// Name of the target.
        id: String,
    },
    /// Removes a target that is shutting down.
    Leave {
        /// Name of the target.
        id: String,
    },
    /// Begins or ends the evacuation of a data centre.
    Evacuate {
        /// Name of the data centre.
        data_center: String,
        /// Whether the evacuation begins.
        is_evacuated: bool,
    },
    /// Any other method and path.
    Unknown,
}

/// State of a rank, its group and its expert maps, as reported by the rank.
#[derive(Clone, Debug, PartialEq)]
pub struct RankReport {
    /// Name of the group.
    pub group: String,
    /// Epoch of the group, which grows each time the group forms again.
    pub epoch: u64,
    /// Number of the rank in its group.
    pub rank: usize,
    /// Number of ranks in the group.
    pub ranks: usize,
    /// Whether the group accepts requests.
    pub is_open: bool,
    /// Version of the map in use.
    pub map_version: u64,
    /// Version of the prepared map, whose experts are all copied.
    pub prepared: Option<u64>,
    /// Whether the rank is armed to switch to the prepared map at a later forward pass.
    pub is_armed: bool,
    /// Forward pass before which the rank holds its group, if it does.
    pub held_step: Option<u64>,
    /// Factor by which the rank takes longer than usual; 1.0 is its usual speed.
    pub slowness: f64,
}

impl RankReport {
    /// Returns whether the rank is slow enough to get fewer requests.
    pub fn is_slow(&self) -> bool {
        self.slowness >= SLOW_THRESHOLD
    }
}

/// Number of times that a rank's requests chose each expert.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpertCounts {
    /// Number of the forward pass that started last.
    pub step: u64,
    /// Epoch of the group.
    pub epoch: u64,
    /// Counts since the rank started, with all experts of one set after the other.
    pub counts: Vec<u64>,
}

/// Experts that a rank holds in the map in use.
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
    /// Copy the experts that the rank needs for a map.
    Prepare {
        /// Version of the map.
        version: u64,
        /// Epoch of the group for which the order is valid.
        epoch: u64,
        /// The map, by set and rank.
        map: &'a [ExpertSetMap],
    },
    /// Switch to a prepared map at the start of a forward pass.
    Arm {
        /// Version of the map.
        version: u64,
        /// Number of the pass.
        step: u64,
        /// Epoch of the group for which the order is valid.
        epoch: u64,
    },
    /// Cancel the switch.
    Disarm {
        /// Version of the map.
        version: u64,
        /// Epoch of the group for which the order is valid.
        epoch: u64,
    },
    /// Hold the group before a forward pass.
    Hold {
        /// Number of the pass.
        step: u64,
        /// Epoch of the group for which the order is valid.
        epoch: u64,
    },
    /// Start the forward pass that was held.
    Go {
        /// Number of the pass.
        step: u64,
        /// Epoch of the group for which the order is valid.
        epoch: u64,
    },
}

/// Header names, paths and message formats of a deployment. Implementations contain no routing decisions.
pub trait Dialect: Send + Sync + 'static {
    /// Returns the names of headers.
    fn headers(&self) -> &HeaderNames;
    /// Returns the scheme in the authorization header, which precedes the key.
    fn authorization_scheme(&self) -> &'static str;
    /// Returns the path of the balancer's readiness check.
    fn readiness_path(&self) -> &'static str;
    /// Maps a method and path to a call.
    fn control_call(&self, method: &Method, path: &str) -> ControlCall;
    /// Returns the ids of a prompt's parts, in order, that other requests may share.
    fn decode_shared_parts<'a>(&self, header: &'a str) -> Vec<&'a str>;
    /// Returns the numbers of tokens that a request names; `None` if the header can't be read.
    fn decode_token_counts(&self, header: &str) -> Option<TokenCounts>;
    /// Parses a routing document.
    fn decode_document(&self, bytes: &[u8]) -> Result<Document, DocumentError>;
    /// Returns the path of a rank's report.
    fn report_path(&self) -> &'static str;
    /// Returns the path of a rank's counts of chosen experts.
    fn counts_path(&self) -> &'static str;
    /// Returns the path of a rank's experts in the map in use.
    fn experts_path(&self) -> &'static str;
    /// Returns the path to which orders to a rank are sent.
    fn order_path(&self) -> &'static str;
    /// Parses a rank's report; returns `None` if the target is not a rank of a group.
    fn decode_report(&self, bytes: &[u8]) -> Result<Option<RankReport>, String>;
    /// Parses a rank's counts of chosen experts.
    fn decode_counts(&self, bytes: &[u8]) -> Result<ExpertCounts, String>;
    /// Parses a rank's experts.
    fn decode_experts(&self, bytes: &[u8]) -> Result<RankExperts, String>;
    /// Encodes an order as a request body.
    fn encode_order(&self, order: &RankOrder<'_>) -> Vec<u8>;
    /// Parses a target's announcement; the error names the invalid field.
    fn decode_announcement(&self, id: &str, bytes: &[u8]) -> Result<TargetInfo, String>;
}
