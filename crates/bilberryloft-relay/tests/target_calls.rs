//! Tests of the calls that this process makes to targets by itself, against a target that answers with an earlier answer.
#![allow(clippy::unwrap_used)]

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_relay::memory::report::Report;
use bilberryloft_relay::pool::Pool;
use bilberryloft_relay::target_call;
use bilberryloft_transport::account::Account;
use bytes::Bytes;
use hyper::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Time in which an answer comes; no bound on speed.
const PLENTY: Duration = Duration::from_secs(30);
/// Answer to a read.
const REPORT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
/// Answer to an order that does not fit.
const CONFLICT: &str = "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n";

/// Answers the first request of each connection, and every later one with a copy of that answer.
async fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let mut first = None;
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let own = if head.starts_with(b"GET") { REPORT } else { CONFLICT };
        let answer = *first.get_or_insert(own);
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// Guards against taking a second copy of an earlier answer for the answer to an order, so that ranks get different maps.
#[tokio::test]
async fn second_copy_of_an_answer_is_not_the_answer_to_an_order() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    let pool = Pool::new(Account::new(1 << 24), Arc::<Report>::default());
    for _ in 0..3 {
        let read = target_call::read(&pool, &address, "/report", 1_000, PLENTY).await;
        assert_eq!(read.unwrap(), "{}");
        let order = target_call::order(&pool, &address, "/order", Bytes::new(), PLENTY).await;
        assert_eq!(order.unwrap(), StatusCode::CONFLICT);
    }
}

/// Guards against taking an answer without a final status for the answer to an order or a read, and against using its
/// connection again.
#[tokio::test]
async fn answer_without_a_final_status_answers_no_call() {
    for status in ["000", "101", "600", "999"] {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let answer = format!("HTTP/1.1 {status} None\r\ncontent-length: 2\r\n\r\n{{}}");
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    head.push(stream.read_u8().await.unwrap());
                }
                stream.write_all(answer.as_bytes()).await.unwrap();
                tokio::spawn(async move { stream.read_u8().await });
            }
        });
        let pool = Pool::new(Account::new(1 << 24), Arc::<Report>::default());
        let order = target_call::order(&pool, &address, "/order", Bytes::new(), PLENTY).await;
        assert!(order.is_err(), "{status}: {order:?}");
        let read = target_call::read(&pool, &address, "/report", 1_000, PLENTY).await;
        assert!(read.is_err(), "{status}: {read:?}");
        assert_eq!(pool.idle_count(), 0, "{status}");
    }
}
