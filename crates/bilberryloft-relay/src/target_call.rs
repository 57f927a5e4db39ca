//! Calls that the relay itself makes to targets, to read state or send orders, with small bodies and short timeouts.

use std::time::Duration;

use bilberryloft_transport::account::Purpose;
use bilberryloft_transport::http::is_final;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::TrySendError;
use hyper::header;
use tokio::time::Instant;

use crate::pool::Pool;
use crate::pool::idle_time;
use crate::read_hold::target_holder;

/// Largest answer to an order, in bytes; only its status is used.
const ORDER_ANSWER_BYTES_MAX: usize = 16 << 10;
/// Largest report of a target, in bytes; they have some hundred.
pub const REPORT_BYTES_MAX: usize = 64 << 10;
/// Largest list of the experts of a rank, in bytes; of 100 sets it has a few thousand.
pub const EXPERTS_BYTES_MAX: usize = 64 << 10;
/// Largest counts of chosen experts, in bytes; of 10 sets of 384 experts they have 20 thousand.
pub const COUNTS_BYTES_MAX: usize = 1 << 20;

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

/// A call to a target, and what is read of its answer.
struct TargetCall<'a> {
    address: &'a str,
    method: Method,
    path: &'a str,
    body: Bytes,
    /// Largest answer body.
    answer_bytes_max: usize,
    /// Whether it may be sent on a connection that has been used before.
    may_reuse: bool,
}

/// Sends an order to a target, on a connection that has carried nothing else, and returns the status of its answer. Orders and
/// their answers bear no id, so on any other connection an earlier answer could be taken for this one.
pub async fn order(
    pool: &Pool,
    address: &str,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<StatusCode, CallError> {
    let (method, may_reuse) = (Method::POST, false);
    let answer_bytes_max = ORDER_ANSWER_BYTES_MAX;
    let call = TargetCall { address, method, path, body, answer_bytes_max, may_reuse };
    Ok(exchange_within(pool, call, timeout).await?.0)
}

/// Reads the body at a path; any status other than a success, and a larger body than allowed, is an error.
pub async fn read(
    pool: &Pool,
    address: &str,
    path: &str,
    answer_bytes_max: usize,
    timeout: Duration,
) -> Result<Bytes, CallError> {
    let (method, body, may_reuse) = (Method::GET, Bytes::new(), true);
    let call = TargetCall { address, method, path, body, answer_bytes_max, may_reuse };
    let (status, body) = exchange_within(pool, call, timeout).await?;
    match status.is_success() {
        true => Ok(body),
        false => {
            Err(CallError { address: address.to_string(), detail: format!("status {status}") })
        }
    }
}

async fn exchange_within(
    pool: &Pool,
    call: TargetCall<'_>,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let address = call.address.to_string();
    let deadline = Instant::now() + timeout;
    let answered = tokio::time::timeout_at(deadline, exchange(pool, call, deadline)).await;
    let timed_out = || format!("timed out after {} ms", timeout.as_millis());
    let result = match answered {
        Ok(result) => result.map_err(|it| it.to_string()),
        Err(_) => Err(timed_out()),
    };
    result.map_err(|detail| CallError { address, detail })
}

async fn exchange(
    pool: &Pool,
    call: TargetCall<'_>,
    deadline: Instant,
) -> Result<(StatusCode, Bytes), Box<dyn std::error::Error + Send + Sync>> {
    let address = call.address;
    let kept = if call.may_reuse { pool.take(address) } else { None };
    let mut connection = match kept {
        Some(connection) => connection,
        None => pool.open(address).await?,
    };
    let has_body = !call.body.is_empty();
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse()?;
    let headers = request.headers_mut();
    headers.insert(header::HOST, address.parse()?);
    if has_body {
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    }
    let response = connection.send(request).await.map_err(TrySendError::into_error)?;
    let (parts, body) = response.into_parts();
    if !is_final(parts.status) {
        return Err(format!("status {} is no final status of HTTP", parts.status.as_u16()).into());
    }
    let holder = target_holder(connection.peer());
    let reservation = pool.account().open_unfinished(Purpose::Reading, holder);
    let bytes_max = call.answer_bytes_max;
    let bytes = connection.read_held_body(body, bytes_max, reservation, deadline).await?;
    if call.may_reuse {
        pool.give_back(address, connection, idle_time(&parts.headers));
    }
    Ok((parts.status, bytes.into_bytes()))
}
