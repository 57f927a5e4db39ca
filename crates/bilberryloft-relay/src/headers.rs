//! Which headers pass from one connection to another.

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;

/// Headers that concern one connection only, or that the sender of a message sets itself.
const OF_ONE_CONNECTION: [HeaderName; 10] = [
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

/// Copies the headers that pass on, but for the given ones.
pub fn pass_on(from: &HeaderMap, without: &[&HeaderName]) -> HeaderMap {
    let named_by_connection: Vec<String> = from
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut to = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        let stays = OF_ONE_CONNECTION.contains(name)
            || without.contains(&name)
            || named_by_connection.iter().any(|it| it == name.as_str());
        if !stays {
            to.append(name.clone(), value.clone());
        }
    }
    to
}

/// A header as text, if it is there and readable.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|it| it.to_str().ok())
}
