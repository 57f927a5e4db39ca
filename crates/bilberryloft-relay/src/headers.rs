//! Header forwarding between the caller's and the target's connection.

use std::collections::BTreeSet;

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;

/// Most headers of a request or an answer, each of which takes some hundred bytes beside its text.
pub const HEADERS_MAX: usize = 256;
/// Headers of a head whose memory is not in the account.
const FREE_HEADERS: usize = 100;
/// Memory of one header in the maps of a head and its copies, in bytes, beside its text.
const HEADER_BYTES: usize = 400;

/// Hop-by-hop headers, and headers that each sender sets itself.
const HOP_BY_HOP: [HeaderName; 10] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Returns the memory of the headers of a head for which the account is charged, in bytes.
pub fn charged_bytes(headers: &HeaderMap) -> usize {
    headers.len().saturating_sub(FREE_HEADERS) * HEADER_BYTES
}

/// Copies all end-to-end headers except the excluded ones.
pub fn copy_end_to_end(from: &HeaderMap, excluded: &[&HeaderName]) -> HeaderMap {
    let named_by_connection = named_by_connection(from);
    let mut copied = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        let is_dropped = HOP_BY_HOP.contains(name)
            || excluded.contains(&name)
            || named_by_connection.contains(name.as_str());
        if !is_dropped {
            copied.append(name.clone(), value.clone());
        }
    }
    copied
}

/// Removes all headers that concern one connection only.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Returns the names of the headers that a head says to concern its connection only.
fn named_by_connection(headers: &HeaderMap) -> BTreeSet<String> {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|it| it.to_str().ok());
    let names = values.flat_map(|it| it.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// Returns a header's value, if it is present and visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|it| it.to_str().ok())
}

/// Returns whether an answer tells where its body ends. Otherwise, it ends with its connection.
pub fn is_framed(answer: &HeaderMap) -> bool {
    answer.contains_key(header::CONTENT_LENGTH) || answer.contains_key(header::TRANSFER_ENCODING)
}
