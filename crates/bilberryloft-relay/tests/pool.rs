//! Idle connections to targets.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bilberryloft_relay::pool::idle_time;
use hyper::HeaderMap;
use hyper::header::HeaderValue;

fn answer(keep_alive: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("keep-alive", HeaderValue::from_static(keep_alive));
    headers
}

/// Guards against a target that ends the task of a request by a timeout that is not a number.
#[test]
fn idle_time_of_a_timeout_that_is_no_number_is_not_used() {
    for text in ["timeout=nan", "timeout=NaN", "timeout=-nan", "timeout=", "timeout=soon", "max=5"]
    {
        assert_eq!(idle_time(&answer(text)), None, "{text}");
    }
}

/// Guards against connections that are kept for ever, or overflow a timer, because a target names such a time.
#[test]
fn idle_time_is_bounded() {
    let ten_minutes = Duration::from_secs(600);
    for (text, expected) in [
        ("timeout=inf", ten_minutes),
        ("timeout=1e300", ten_minutes),
        ("timeout=-3", Duration::ZERO),
        ("max=5, timeout=10", Duration::from_secs(7)),
    ] {
        assert_eq!(idle_time(&answer(text)), Some(expected), "{text}");
    }
}
