//! HTTP to targets: one pooled client a process.

use axum::serve::ListenerExt;
use axum::serve::TapIo;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// A pooled HTTP client; clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        HttpClient::new()
    }
}

impl HttpClient {
    /// Makes a client without connections.
    pub fn new() -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(std::time::Duration::from_millis(1_000)));
        // The pool would repeat a request on a fresh connection when a reused one turns out closed; whether
        // to repeat is the entry's decision alone.
        let inner =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        HttpClient { inner }
    }

    /// Sends a request; the answer's body streams.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, HttpFailure> {
        self.inner.request(request).await.map_err(|error| HttpFailure {
            is_connect: error.is_connect(),
            detail: describe(&error),
        })
    }

    /// Sends a request and reads the whole answer.
    pub async fn fetch(&self, request: Request<Full<Bytes>>) -> Result<(u16, Bytes)> {
        let peer = request.uri().authority().map(|it| it.to_string()).unwrap_or_default();
        let failed =
            |detail: String| Error::network("HTTP request", &peer, std::io::Error::other(detail));
        let response = self.send(request).await.map_err(|it| failed(it.detail))?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map_err(|it| failed(it.to_string()))?;
        Ok((status, body.to_bytes()))
    }
}

/// Makes a listener whose connections send small pieces at once rather than wait for larger ones.
pub fn with_nodelay(listener: TcpListener) -> TapIo<TcpListener, fn(&mut TcpStream)> {
    listener.tap_io(|stream| {
        // A connection that can't be set so is slower and still works.
        let _ = stream.set_nodelay(true);
    })
}

/// An HTTP request got no answer.
#[derive(Clone, Debug)]
pub struct HttpFailure {
    /// Whether no connection could be made, so that nothing was sent.
    pub is_connect: bool,
    /// What the library said.
    pub detail: String,
}

fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
