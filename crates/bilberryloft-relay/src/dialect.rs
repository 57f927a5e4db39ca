//! The edge between the relay's own types and the names and formats that callers, targets and operators use.

use bilberryloft_routing::document::Document;
use bilberryloft_routing::document::DocumentFault;
use bilberryloft_routing::targets::TargetFact;
use hyper::Method;
use hyper::header::HeaderName;

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
    pub urgency: HeaderName,
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
    fn decode_document(&self, bytes: &[u8]) -> Result<Document, DocumentFault>;
    /// Reads what a target says of itself; the error names the field that is wrong.
    fn decode_announcement(&self, id: &str, bytes: &[u8]) -> Result<TargetFact, String>;
}
