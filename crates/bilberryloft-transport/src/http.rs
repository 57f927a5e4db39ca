//! HTTP client for requests to targets and daemons.

use axum::serve::ListenerExt;
use axum::serve::TapIo;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderName;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Largest head of an answer, in bytes.
const HEAD_BYTES_MAX: usize = 64 << 10;
/// Largest body of an answer that is read whole from a target, in bytes.
const TARGET_ANSWER_BYTES_MAX: usize = 1 << 20;
/// Largest body of an answer that is read whole from a daemon, in bytes; documents have up to 8 MiB.
const DAEMON_ANSWER_BYTES_MAX: usize = 16 << 20;
/// Largest number of idle connections to one host.
const IDLE_MAX: usize = 1_024;

/// Headers that describe the bytes of an answer's body: their length, range, digest and version. They hold for no body to which
/// anything is added, or that others go on with.
pub static BODY_DESCRIPTIONS: [HeaderName; 9] = [
    header::CONTENT_LENGTH,
    header::CONTENT_RANGE,
    header::ACCEPT_RANGES,
    header::ETAG,
    header::LAST_MODIFIED,
    HeaderName::from_static("content-digest"),
    HeaderName::from_static("repr-digest"),
    HeaderName::from_static("digest"),
    HeaderName::from_static("content-md5"),
];

/// An HTTP client; clones share its pool of connections, if it has one.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    /// Largest body that is read whole.
    answer_bytes_max: usize,
}

impl Default for HttpClient {
    fn default() -> Self {
        HttpClient::new()
    }
}

impl HttpClient {
    /// Creates a client with an empty connection pool, which reads answers of up to 16 MiB whole.
    pub fn new() -> HttpClient {
        HttpClient::build(IDLE_MAX, DAEMON_ANSWER_BYTES_MAX)
    }

    /// Creates a client that opens a connection for each request. A target in trouble may send an earlier answer once more,
    /// and one that names no request in its answers would then answer another request with it. Reads answers of up to 1 MiB
    /// whole.
    pub fn without_reuse() -> HttpClient {
        HttpClient::build(0, TARGET_ANSWER_BYTES_MAX)
    }

    fn build(idle_max: usize, answer_bytes_max: usize) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(std::time::Duration::from_millis(1_000)));
        // By default the pool retries a request on a new connection when a reused one turns out to be closed.
        // Only the entry may decide whether to retry, so this is disabled.
        let inner = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(idle_max)
            .http1_max_buf_size(HEAD_BYTES_MAX)
            .build(connector);
        HttpClient { inner, answer_bytes_max }
    }

    /// Sends a request and returns the response with its body as a stream.
    ///
    /// Fails if there is no response with a final status; [`HttpFailure`] says whether a connection was made.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, HttpFailure> {
        let answered = self.inner.request(request).await;
        let response = answered.map_err(|error| HttpFailure {
            is_connect: error.is_connect(),
            detail: error_chain(&error),
        })?;
        let status = response.status();
        match is_final(status) {
            true => Ok(response),
            false => Err(HttpFailure {
                is_connect: false,
                detail: format!("status {} is no final status of HTTP", status.as_u16()),
            }),
        }
    }

    /// Sends a request and returns the status and the complete body of the response.
    ///
    /// Fails with [`Error::Network`] if there is no response, or its body can't be read or is too large.
    pub async fn fetch(&self, request: Request<Full<Bytes>>) -> Result<(u16, Bytes)> {
        let peer = request.uri().authority().map(|it| it.to_string()).unwrap_or_default();
        let to_error =
            |detail: String| Error::network("HTTP request", &peer, std::io::Error::other(detail));
        let response = self.send(request).await.map_err(|it| to_error(it.detail))?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), self.answer_bytes_max);
        let body = body.collect().await.map_err(|it| to_error(it.to_string()))?;
        Ok((status, body.to_bytes()))
    }
}

/// Returns whether a status ends an exchange in HTTP (RFC 9110, section 15). Of an answer with any other one nothing can be
/// believed; 101 would answer a request to switch protocols, which is never made.
pub fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Wraps a listener so that its connections have TCP_NODELAY set and send small writes immediately.
pub fn with_nodelay(listener: TcpListener) -> TapIo<TcpListener, fn(&mut TcpStream)> {
    listener.tap_io(|stream| {
        // Without the option, the connection is slower but still works.
        let _ = stream.set_nodelay(true);
    })
}

/// Error of an HTTP request that got no response.
#[derive(Clone, Debug)]
pub struct HttpFailure {
    /// Whether no connection could be made, which means that nothing was sent.
    pub is_connect: bool,
    /// Error of the HTTP library with its causes.
    pub detail: String,
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
