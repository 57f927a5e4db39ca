//! HTTP requests to targets that send an earlier answer once more, or more than an answer has.
#![allow(clippy::unwrap_used)]

use std::net::Ipv4Addr;

use bilberryloft_transport::http::HttpClient;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Returns an answer that repeats the path of its request.
fn answer(path: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}", path.len())
}

/// Answers the requests of one connection; from the second one on, the answer before comes once more first.
async fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let mut previous = String::new();
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let own = answer(head.split(' ').nth(1).unwrap());
        stream.write_all(format!("{previous}{own}").as_bytes()).await?;
        previous = own;
    }
}

async fn spawn_target() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// Sends requests one after the other; returns how many got the answer to another one.
async fn count_foreign_answers(client: &HttpClient) -> usize {
    let address = spawn_target().await;
    let mut foreign = 0;
    for number in 0..20 {
        let path = format!("/request-{number}");
        let request = Request::get(format!("http://{address}{path}"));
        let (_, body) = client.fetch(request.body(Full::default()).unwrap()).await.unwrap();
        foreign += usize::from(body != path);
    }
    foreign
}

// Guards against an answer to an earlier request that an agent takes for the one to the next request.
#[tokio::test]
async fn answer_that_comes_once_more_answers_no_other_request() {
    assert_eq!(count_foreign_answers(&HttpClient::without_reuse()).await, 0);
}

#[tokio::test]
async fn check_finds_a_client_that_uses_connections_again() {
    assert!(count_foreign_answers(&HttpClient::new()).await > 0);
}

// Guards against an answer that its target goes on with and that fills the memory of the agent beside it.
#[tokio::test]
async fn answer_that_is_too_large_is_not_kept() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let body = vec![b'a'; 40 << 20];
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.unwrap());
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
            let _ = stream.write_all(&body).await;
        }
    });
    for client in [HttpClient::without_reuse(), HttpClient::new()] {
        let request = Request::get(format!("http://{address}/"));
        let fetched = client.fetch(request.body(Full::default()).unwrap()).await;
        assert!(fetched.is_err(), "kept {} bytes", fetched.map_or(0, |it| it.1.len()));
    }
}

/// Guards against an agent that takes an answer without a final status for the answer of its target.
#[tokio::test]
async fn answer_without_a_final_status_is_no_answer() {
    for (status, is_final) in [("000", false), ("101", false), ("600", false), ("599", true)] {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let answer = format!("HTTP/1.1 {status} None\r\ncontent-length: 0\r\n\r\n");
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.unwrap());
            }
            stream.write_all(answer.as_bytes()).await.unwrap();
            let _ = stream.read_u8().await;
        });
        let request = Request::get(format!("http://{address}/")).body(Full::default()).unwrap();
        let answer = HttpClient::without_reuse().send(request).await;
        assert_eq!(answer.is_ok(), is_final, "{status}: {answer:?}");
    }
}
