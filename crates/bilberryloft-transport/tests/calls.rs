//! Calls over real sockets: handshake, deadlines, rows of frames, and broken peers.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_protocol::codec::encode_frame;
use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::Done;
use bilberryloft_protocol::wire::Explain;
use bilberryloft_protocol::wire::Hello;
use bilberryloft_protocol::wire::Piece;
use bilberryloft_protocol::wire::Status;
use bilberryloft_state::error::Error;
use bilberryloft_transport::client::Client;
use bilberryloft_transport::server::Call;
use bilberryloft_transport::server::Handler;
use bilberryloft_transport::server::Server;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Pieces of the long answer.
const PIECES: i32 = 20_000;

/// Answers a status at once, an explanation with a row of pieces, and nothing else at all.
struct Echo;

impl Handler for Echo {
    async fn handle(self: Arc<Self>, call: Call) {
        match call.body {
            Body::Status(_) => drop(call.responder.send(Body::Done(Done::new())).await),
            Body::Explain(_) => {
                for number in 0..PIECES {
                    let piece = Body::Piece(Piece::new(1, number, vec![7; 100]));
                    if call.responder.send(piece).await.is_err() {
                        return;
                    }
                }
                let _ = call.responder.send(Body::Done(Done::new())).await;
            }
            _ => std::future::pending().await,
        }
    }
}

async fn started() -> (Server, Client) {
    let server = Server::bind("127.0.0.1:0", "server", 1, Arc::new(Echo)).await.unwrap();
    let client = Client::new(server.address().to_string(), "client", 1);
    (server, client)
}

#[tokio::test]
async fn call_gets_its_own_answer() {
    let (_server, client) = started().await;
    let calls = (0..200).map(|_| client.call(Body::Status(Status::new()), Duration::from_secs(5)));
    for answer in futures_util::future::join_all(calls).await {
        assert_eq!(answer.unwrap(), Body::Done(Done::new()));
    }
}

#[tokio::test]
async fn call_without_an_answer_ends_at_its_deadline() {
    let (_server, client) = started().await;
    let hello = Body::Hello(Hello::new(1, "x".to_string(), 1, 0));
    let answer = client.call(hello, Duration::from_millis(50)).await;
    assert!(matches!(answer, Err(Error::Deadline { step: "hello", .. })), "{answer:?}");
}

#[tokio::test]
async fn row_of_frames_comes_in_order() {
    let (_server, client) = started().await;
    let mut answer =
        client.open_stream(Body::Explain(Explain::new("x".to_string()))).await.unwrap();
    for number in 0..PIECES {
        let Body::Piece(piece) = answer.next().await.unwrap() else { panic!("no piece") };
        assert_eq!(piece.sequence, number);
    }
    assert_eq!(answer.next().await.unwrap(), Body::Done(Done::new()));
}

#[tokio::test]
async fn reader_that_lags_loses_its_call_and_holds_up_no_other() {
    let (_server, client) = started().await;
    let mut slow = client.open_stream(Body::Explain(Explain::new("x".to_string()))).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let quick = client.call(Body::Status(Status::new()), Duration::from_secs(5)).await;
    assert_eq!(quick.unwrap(), Body::Done(Done::new()));
    let mut seen = 0;
    while slow.next().await.is_ok() {
        seen += 1;
    }
    assert!(seen < PIECES, "the bound must bite for this test to say anything");
}

#[tokio::test]
async fn lost_connection_ends_open_calls_and_is_made_again() {
    let (server, client) = started().await;
    let address = server.address().to_string();
    let mut open =
        client.open_stream(Body::Hello(Hello::new(1, "x".to_string(), 1, 0))).await.unwrap();
    drop(server);
    assert!(matches!(open.next().await, Err(Error::Closed { .. })));
    let _server = Server::bind(&address, "server", 2, Arc::new(Echo)).await.unwrap();
    for _ in 0..100 {
        if client.call(Body::Status(Status::new()), Duration::from_secs(5)).await.is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the connection was not made again");
}

#[tokio::test]
async fn peer_of_another_release_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let hello = Body::Hello(Hello::new(99, "later".to_string(), 1, 0));
        stream.write_all(&encode_frame(0, hello)).await.unwrap();
        tokio::time::sleep(Duration::from_secs(5)).await;
    });
    let client = Client::new(address, "client", 1);
    let answer = client.call(Body::Status(Status::new()), Duration::from_secs(2)).await;
    assert!(
        matches!(&answer, Err(Error::Protocol { detail, .. }) if detail.contains("99")),
        "{answer:?}"
    );
}

#[tokio::test]
async fn frame_over_the_bound_ends_the_connection() {
    let (server, client) = started().await;
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let hello = Body::Hello(Hello::new(1, "rude".to_string(), 1, 0));
    stream.write_all(&encode_frame(0, hello)).await.unwrap();
    stream.write_all(&u32::MAX.to_be_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut bytes)).await;
    assert!(read.is_ok(), "the server hangs up");
    assert!(
        client.call(Body::Status(Status::new()), Duration::from_secs(5)).await.is_ok(),
        "others go on"
    );
}
