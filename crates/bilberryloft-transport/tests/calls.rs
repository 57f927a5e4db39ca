//! Calls over real sockets: handshake, deadlines, streams of frames, and misbehaving peers.
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

/// Number of pieces in the streamed response.
const PIECES: i32 = 20_000;

/// Responds to a status call at once and to an explain call with a stream of pieces; never responds to other calls.
struct TestHandler;

impl Handler for TestHandler {
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

async fn start_server_and_client() -> (Server, Client) {
    let server =
        Server::bind("127.0.0.1:0", "server", 1, None, Arc::new(TestHandler)).await.unwrap();
    let client = Client::new(server.address().to_string(), "client", 1);
    (server, client)
}

#[tokio::test]
async fn call_gets_its_own_response() {
    let (_server, client) = start_server_and_client().await;
    let calls = (0..200).map(|_| client.call(Body::Status(Status::new()), Duration::from_secs(5)));
    for response in futures_util::future::join_all(calls).await {
        assert_eq!(response.unwrap(), Body::Done(Done::new()));
    }
}

#[tokio::test]
async fn call_without_a_response_fails_at_its_deadline() {
    let (_server, client) = start_server_and_client().await;
    let hello = Body::Hello(Hello::new(1, "x".to_string(), 1, 0, None, None));
    let response = client.call(hello, Duration::from_millis(50)).await;
    assert!(matches!(response, Err(Error::Deadline { step: "hello", .. })), "{response:?}");
}

#[tokio::test]
async fn stream_frames_arrive_in_order() {
    let (_server, client) = start_server_and_client().await;
    let mut stream =
        client.open_stream(Body::Explain(Explain::new("x".to_string()))).await.unwrap();
    for number in 0..PIECES {
        let Body::Piece(piece) = stream.next().await.unwrap() else { panic!("no piece") };
        assert_eq!(piece.sequence, number);
    }
    assert_eq!(stream.next().await.unwrap(), Body::Done(Done::new()));
}

/// A stream whose reader is too slow must be closed, so that it doesn't block other calls on the same connection.
#[tokio::test]
async fn slow_reader_does_not_block_other_calls() {
    let (_server, client) = start_server_and_client().await;
    let mut slow = client.open_stream(Body::Explain(Explain::new("x".to_string()))).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let quick = client.call(Body::Status(Status::new()), Duration::from_secs(5)).await;
    assert_eq!(quick.unwrap(), Body::Done(Done::new()));
    let mut seen = 0;
    while slow.next().await.is_ok() {
        seen += 1;
    }
    assert!(seen < PIECES, "the queue limit was not reached, so this test checks nothing");
}

/// Open calls must fail when the server stops, and later calls must succeed once it runs again.
#[tokio::test]
async fn lost_connection_fails_open_calls_and_reconnects() {
    let (server, client) = start_server_and_client().await;
    let address = server.address().to_string();
    let mut open = client
        .open_stream(Body::Hello(Hello::new(1, "x".to_string(), 1, 0, None, None)))
        .await
        .unwrap();
    drop(server);
    assert!(matches!(open.next().await, Err(Error::Closed { .. })));
    let _server = Server::bind(&address, "server", 2, None, Arc::new(TestHandler)).await.unwrap();
    for _ in 0..100 {
        if client.call(Body::Status(Status::new()), Duration::from_secs(5)).await.is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the client did not reconnect");
}

#[tokio::test]
async fn handshake_rejects_another_protocol_version() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let hello = Body::Hello(Hello::new(99, "newer".to_string(), 1, 0, None, None));
        stream.write_all(&encode_frame(0, hello)).await.unwrap();
        tokio::time::sleep(Duration::from_secs(5)).await;
    });
    let client = Client::new(address, "client", 1);
    let response = client.call(Body::Status(Status::new()), Duration::from_secs(2)).await;
    assert!(
        matches!(&response, Err(Error::Protocol { detail, .. }) if detail.contains("99")),
        "{response:?}"
    );
}

/// A frame length over the limit must close only the connection that sent it.
#[tokio::test]
async fn oversized_frame_closes_its_connection() {
    let (server, client) = start_server_and_client().await;
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let hello = Body::Hello(Hello::new(1, "oversized".to_string(), 1, 0, None, None));
    stream.write_all(&encode_frame(0, hello)).await.unwrap();
    stream.write_all(&u32::MAX.to_be_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut bytes)).await;
    assert!(read.is_ok(), "the server must close the connection");
    assert!(
        client.call(Body::Status(Status::new()), Duration::from_secs(5)).await.is_ok(),
        "other connections must still work"
    );
}

/// Returns the address of a peer that answers its first call by a long frame, of which it sends a piece each
/// `pause` and stops after `pieces_sent` of [`LONG_ANSWER_PIECES`].
async fn start_slow_peer(pause: Duration, pieces_sent: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let hello = Body::Hello(Hello::new(1, "slow".to_string(), 1, 0, None, None));
        stream.write_all(&encode_frame(0, hello)).await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await.unwrap();
        let frame = encode_frame(1, Body::Piece(Piece::new(1, 0, vec![7; 100 << 10])));
        for piece in frame.chunks(frame.len().div_ceil(LONG_ANSWER_PIECES)).take(pieces_sent) {
            stream.write_all(piece).await.unwrap();
            tokio::time::sleep(pause).await;
        }
        std::future::pending::<()>().await;
    });
    address
}

/// Pieces of the answer of [`start_slow_peer`].
const LONG_ANSWER_PIECES: usize = 20;

/// Guards against a long answer that is thrown away when its time runs out, and asked for again from the start: over a
/// slow link it would never arrive.
#[tokio::test]
async fn answer_that_is_arriving_at_the_deadline_is_not_cut_off() {
    let address = start_slow_peer(Duration::from_millis(30), LONG_ANSWER_PIECES).await;
    let client = Client::new(address, "test", 1);
    let (deadline, stall_timeout) = (Duration::from_millis(200), Duration::from_secs(10));
    let status = Body::Status(Status::new());
    let answer = client.call_while_arriving(status, deadline, stall_timeout).await;
    assert!(matches!(answer, Ok(Body::Piece(piece)) if piece.data.len() == 100 << 10));
}

/// Guards against a caller that waits for ever for a peer that stopped in the middle of its answer.
#[tokio::test]
async fn answer_that_stops_arriving_fails_after_the_stall_timeout() {
    let address = start_slow_peer(Duration::from_millis(30), LONG_ANSWER_PIECES / 2).await;
    let client = Client::new(address, "test", 1);
    let (deadline, stall_timeout) = (Duration::from_millis(200), Duration::from_millis(300));
    let status = Body::Status(Status::new());
    let answer = client.call_while_arriving(status, deadline, stall_timeout).await;
    assert!(matches!(answer, Err(Error::Deadline { .. })));
}
