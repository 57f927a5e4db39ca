//! Head of a stream for its caller: which headers of a target's answer still hold if others go on with its body.

use bilberryloft_routing::document::Route;
use bilberryloft_transport::http::BODY_DESCRIPTIONS;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use hyper::header::HeaderName;

use crate::answer_check::is_unencoded_content;
use crate::headers;

/// Returns whether another target may go on with the stream that an answer begins: its route allows it, and the answer is
/// the content itself, in no other form than that of a continuation.
pub fn may_be_continued<B>(route: &Route, method: &Method, answer: &Response<B>) -> bool {
    route.is_resumable
        && method != Method::HEAD
        && is_unencoded_content(answer.status(), answer.headers())
}

/// Returns the headers of a target's answer for the caller of a stream. Those that describe the target's bytes hold only if
/// nothing else can follow them.
pub fn forwarded_headers(answer: &HeaderMap, may_be_continued: bool) -> HeaderMap {
    let excluded: Vec<&HeaderName> = match may_be_continued {
        true => BODY_DESCRIPTIONS.iter().collect(),
        false => Vec::new(),
    };
    headers::copy_end_to_end(answer, &excluded)
}
