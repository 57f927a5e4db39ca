//! HTTP client for the admin address of a daemon.

use std::time::Duration;

use bilberryloft_transport::http::HttpClient;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::runtime::Runtime;

use crate::failure::Failure;

/// Time for a daemon to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// HTTP client of one daemon's admin address.
pub struct AdminClient {
    admin: String,
    runtime: Runtime,
    http: HttpClient,
}

impl AdminClient {
    /// Creates a client without connecting; fails when no runtime can be started.
    pub fn new(admin: &str) -> Result<AdminClient, Failure> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|it| Failure::Daemon(it.to_string()))?;
        Ok(AdminClient { admin: admin.to_string(), runtime, http: HttpClient::new() })
    }

    /// Fetches a path and decodes the JSON body; any status but 200 is an error.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let (status, body) = self.send(Method::GET, path, Bytes::new())?;
        match status {
            200 => self.parse(&body),
            404 => Err(Failure::NotFound(error_text(&body))),
            _ => Err(Failure::Daemon(format!(
                "{} responded with status {status}: {}",
                self.admin,
                error_text(&body)
            ))),
        }
    }

    /// Fetches a path and returns the body; any status but 200 is an error.
    pub fn get_bytes(&self, path: &str) -> Result<Bytes, Failure> {
        match self.send(Method::GET, path, Bytes::new())? {
            (200, body) => Ok(body),
            (status, body) => Err(Failure::Daemon(format!(
                "{} responded with status {status}: {}",
                self.admin,
                error_text(&body)
            ))),
        }
    }

    /// Posts a value as JSON; returns the status and the body of the response, whatever the status is.
    pub fn post<T: Serialize>(&self, path: &str, value: &T) -> Result<(u16, Bytes), Failure> {
        let body = serde_json::to_vec(value).map_err(|it| Failure::Invalid(it.to_string()))?;
        self.send(Method::POST, path, Bytes::from(body))
    }

    /// Decodes a JSON body.
    pub fn parse<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, Failure> {
        serde_json::from_slice(body).map_err(|it| Failure::Daemon(format!("{}: {it}", self.admin)))
    }

    fn send(&self, method: Method, path: &str, body: Bytes) -> Result<(u16, Bytes), Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.admin))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|it| Failure::Daemon(it.to_string()))?;
        self.runtime.block_on(async {
            match tokio::time::timeout(RESPONSE_TIMEOUT, self.http.fetch(request)).await {
                Ok(response) => response.map_err(|it| Failure::Daemon(it.to_string())),
                Err(_) => Err(Failure::Daemon(format!(
                    "{}: no response within {RESPONSE_TIMEOUT:?}",
                    self.admin
                ))),
            }
        })
    }
}

/// Returns the message of an error response: the field `error` of its JSON body, else the whole body.
pub fn error_text(body: &[u8]) -> String {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let text = value.as_ref().and_then(|it| it.get("error")).and_then(|it| it.as_str());
    text.map_or_else(|| String::from_utf8_lossy(body).to_string(), str::to_string)
}
