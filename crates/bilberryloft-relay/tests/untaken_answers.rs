//! Tests of what is held in the account for answers that targets send, on one connection.
#![allow(clippy::unwrap_used)]

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_relay::connection::Connection;
use bilberryloft_relay::memory::report::Report;
use bilberryloft_relay::pool::Pool;
use bilberryloft_transport::account::Account;
use bilberryloft_transport::account::Purpose;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

/// Bytes of an event, and of its chunk.
const EVENT: &[u8; 20] = b"data: {\"token\": 7}\n\n";
const CHUNK: &[u8] = b"14\r\ndata: {\"token\": 7}\n\n\r\n";
/// Events that are sent at a time.
const EVENTS_AT_ONCE: usize = 50;
/// Time in which a target answers; no bound on speed.
const PLENTY: Duration = Duration::from_secs(30);
/// Bytes of a connection that need not be in the account, and the most that the HTTP library reads at once.
const FREE_BYTES: usize = 16 << 10;
const READ_BYTES: usize = 64 << 10;

/// Size of a large answer.
const LARGE_BYTES: usize = 400 << 10;
/// Requests that wait for their answer at the same time.
const WAITING: usize = 200;

/// Answers a request with a stream, some events for each order.
async fn send_events(mut stream: TcpStream, mut orders: mpsc::Receiver<usize>) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await.unwrap();
    while let Some(events) = orders.recv().await {
        stream.write_all(&CHUNK.repeat(events)).await.unwrap();
    }
}

/// Opens a stream of a target that sends events as they are ordered.
async fn open(account: &Arc<Account>) -> (Connection, Incoming, mpsc::Sender<usize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (orders, ordered) = mpsc::channel(1);
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        send_events(stream, ordered).await;
    });
    let pool = Pool::new(account.clone(), Arc::<Report>::default());
    let mut connection = pool.open(&address).await.unwrap();
    let request = Request::new(Full::new(Bytes::new()));
    let response = connection.send(request).await.unwrap();
    (connection, response.into_body(), orders)
}

async fn next_bytes(connection: &Connection, body: &mut Incoming) -> usize {
    let frame = tokio::time::timeout(PLENTY, connection.next_frame(body)).await.unwrap();
    frame.unwrap().unwrap().into_data().unwrap().len()
}

/// Guards against long streams that take the room of others, or are broken off for it, though their callers read them.
#[tokio::test]
async fn stream_that_is_read_at_once_holds_nothing_however_long_it_is() {
    let account = Account::new(16 << 20);
    let (connection, mut body, orders) = open(&account).await;
    for _ in 0..200 {
        orders.send(EVENTS_AT_ONCE).await.unwrap();
        let mut missing = EVENTS_AT_ONCE * EVENT.len();
        while missing > 0 {
            let bytes = next_bytes(&connection, &mut body).await;
            connection.record_taken(bytes);
            missing -= bytes;
        }
        assert_eq!(account.held_bytes(Purpose::Reading), 0);
    }
}

/// Guards against events that a slow caller doesn't take and that no account holds.
#[tokio::test]
async fn events_that_nobody_takes_are_held() {
    let account = Account::new(16 << 20);
    let (connection, mut body, orders) = open(&account).await;
    let mut untaken = 0;
    for _ in 0..200 {
        orders.send(EVENTS_AT_ONCE).await.unwrap();
        let ordered = untaken + EVENTS_AT_ONCE * EVENT.len();
        while untaken < ordered {
            untaken += next_bytes(&connection, &mut body).await;
        }
        let held = account.held_bytes(Purpose::Reading) as usize;
        assert!(held + FREE_BYTES + READ_BYTES >= untaken, "{held} of {untaken}");
    }
    assert!(account.held_bytes(Purpose::Reading) as usize > FREE_BYTES);
}

/// Answers each request of a connection: one for `/large` at once, all others when that is allowed.
async fn serve_large(
    mut stream: TcpStream,
    mut allowed: watch::Receiver<bool>,
) -> std::io::Result<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let bytes = if head.starts_with(b"GET /large") { LARGE_BYTES } else { 0 };
        if bytes == 0 {
            let _ = allowed.wait_for(|it| *it).await;
        }
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&vec![b'a'; bytes]).await?;
    }
}

/// Guards against dropping sound requests that wait for their answer, on connections that have had large ones, for room that
/// they don't use.
#[tokio::test]
async fn request_that_waits_for_its_answer_holds_nothing() {
    let account = Account::new(16 << 20);
    let (allow, allowed) = watch::channel(false);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_large(stream, allowed.clone()));
        }
    });
    let pool = Pool::new(account.clone(), Arc::<Report>::default());
    let mut waiting = Vec::new();
    for _ in 0..WAITING {
        let mut connection = pool.open(&address).await.unwrap();
        let request = Request::get("/large").body(Full::new(Bytes::new())).unwrap();
        let body = connection.send(request).await.unwrap().into_body();
        let (held, deadline) = (account.open(Purpose::Answer), Instant::now() + PLENTY);
        let answer = connection.read_held_body(body, 1 << 20, held, deadline).await.unwrap();
        assert_eq!(answer.len(), LARGE_BYTES);
        waiting.push(tokio::spawn(async move {
            let request = Request::get("/wait").body(Full::new(Bytes::new())).unwrap();
            connection.send(request).await.is_ok()
        }));
    }
    allow.send_replace(true);
    for request in waiting {
        assert!(request.await.unwrap(), "a request that waited for its answer was dropped");
    }
    assert_eq!(account.dropped(), 0);
}
