//! Calls that the relay itself makes to targets, to read state or send orders, with small bodies and short timeouts.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::TrySendError;
use hyper::header;

use crate::connection::Connection;
use crate::pool::Pool;

/// Largest answer body that is read, in bytes.
const ANSWER_BYTES_MAX: usize = 1 << 20;

/// Error of a call without an answer; it is unknown whether the target carried it out.
#[derive(Debug)]
pub struct CallError {
    /// Address of the target.
    pub address: String,
    /// Reason for the failure.
    pub detail: String,
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "no answer from {}: {}", self.address, self.detail)
    }
}

/// Calls a target and returns the status and body of its answer.
pub async fn call(
    pool: &Pool,
    address: &str,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let answered = tokio::time::timeout(timeout, exchange(pool, address, method, path, body)).await;
    let fail = |detail: String| CallError { address: address.to_string(), detail };
    let result =
        answered.map_err(|_| fail(format!("timed out after {} ms", timeout.as_millis())))?;
    result.map_err(|error| fail(error.to_string()))
}

/// Reads the body at a path; any status other than a success is an error.
pub async fn read(
    pool: &Pool,
    address: &str,
    path: &str,
    timeout: Duration,
) -> Result<Bytes, CallError> {
    let (status, body) = call(pool, address, Method::GET, path, Bytes::new(), timeout).await?;
    match status.is_success() {
        true => Ok(body),
        false => {
            Err(CallError { address: address.to_string(), detail: format!("status {status}") })
        }
    }
}

async fn exchange(
    pool: &Pool,
    address: &str,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), Box<dyn std::error::Error + Send + Sync>> {
    let mut connection = match pool.take(address) {
        Some(connection) => connection,
        None => Connection::open(address).await?,
    };
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse()?;
    let headers = request.headers_mut();
    headers.insert(header::HOST, address.parse()?);
    if !body.is_empty() {
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    }
    let response = connection.send(request).await.map_err(TrySendError::into_error)?;
    let (parts, body) = response.into_parts();
    let bytes = connection.read_body(body, ANSWER_BYTES_MAX).await?;
    pool.give_back(address, connection, &parts.headers);
    Ok((parts.status, bytes))
}
