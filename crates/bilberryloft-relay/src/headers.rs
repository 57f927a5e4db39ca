//! Header forwarding between the caller's and the target's connection.

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;

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

/// Copies all end-to-end headers except the excluded ones.
pub fn copy_end_to_end(from: &HeaderMap, excluded: &[&HeaderName]) -> HeaderMap {
    let named_by_connection: Vec<String> = from
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut copied = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        let is_dropped = HOP_BY_HOP.contains(name)
            || excluded.contains(&name)
            || named_by_connection.iter().any(|it| it == name.as_str());
        if !is_dropped {
            copied.append(name.clone(), value.clone());
        }
    }
    copied
}

/// Returns a header's value, if it is present and visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|it| it.to_str().ok())
}

/// Returns whether an answer tells where its body ends. Otherwise, it ends with its connection.
pub fn is_framed(answer: &HeaderMap) -> bool {
    answer.contains_key(header::CONTENT_LENGTH) || answer.contains_key(header::TRANSFER_ENCODING)
}
