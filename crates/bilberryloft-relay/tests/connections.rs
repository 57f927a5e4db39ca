//! Tests of what closes a client's connection: none is closed while a request of it that was taken into work is open. Each
//! test has one thread, so the moment at which a close meets a request does not depend on the machine's speed.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use support::connections::Listener;
use support::connections::Marker;

/// Kept connections of a listener that is full.
const KEPT: usize = 8;
/// Rounds in which each of them sends a request while one is to give way.
const ROUNDS: usize = 25;
/// Size of an answer that no socket buffers hold.
const LARGE_BYTES: usize = 48 << 20;
/// Time without reading after which an answer counts as unread; the table's own bound is a second.
const UNREAD: Duration = Duration::from_millis(1_200);

/// Guards against closing a kept connection for a new client at the moment at which its request has been passed on.
#[tokio::test]
async fn kept_connection_that_comes_into_use_is_not_closed_for_another() {
    let mut listener = Listener::bind(KEPT).await;
    let mut marker = Marker::new();
    let mut clients = Vec::new();
    for number in 0..KEPT {
        let mut client = listener.connect().await;
        client.send(&format!("first-{number}"));
        assert!(client.read_answer().await, "first request {number}");
        clients.push(client);
    }
    for round in 0..ROUNDS {
        for (number, client) in clients.iter().enumerate() {
            client.send(&format!("round-{round}-{number}"));
        }
        marker.wait_until_all_has_arrived().await;
        listener.table.close_one();
        for (number, client) in clients.iter_mut().enumerate() {
            let id = format!("round-{round}-{number}");
            let is_answered = client.read_answer().await;
            assert!(is_answered || !listener.has_served(&id), "{id} was taken and not answered");
            if !is_answered {
                *client = listener.connect().await;
            }
        }
    }
}

/// Guards against closing a connection as unread whose client reads again, after a pause of this process.
#[tokio::test]
async fn connection_whose_client_reads_again_is_not_closed_as_unread() {
    let mut listener = Listener::bind(KEPT).await;
    let mut marker = Marker::new();
    listener.set_answer_bytes(LARGE_BYTES);
    let mut client = listener.connect().await;
    client.send("large");
    let begun_bytes = client.read_some().await;
    tokio::time::sleep(UNREAD).await;
    let read_bytes = begun_bytes + client.read_arrived();
    marker.wait_until_all_has_arrived().await;
    listener.table.close_unread();
    assert!(client.read_rest(read_bytes, LARGE_BYTES).await, "the answer was cut");
}

/// Guards against closing a connection as idle, and leaving it out of what is open, before its answer has been written.
#[tokio::test]
async fn answer_that_is_still_written_counts_as_open() {
    let mut listener = Listener::bind(KEPT).await;
    listener.set_answer_bytes(LARGE_BYTES);
    let mut client = listener.connect().await;
    client.send("large");
    let read_bytes = client.read_some().await;
    assert_eq!(listener.table.unanswered().len(), 1, "not counted as open");
    assert!(client.read_rest(read_bytes, LARGE_BYTES).await, "the answer was cut");
    client.send("next");
    assert!(client.read_some().await > 0);
}
