//! Serves HTTP on a connection of a client, within its timeouts.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_routing::document::Limits;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::headers::HEADERS_MAX;
use crate::memory::Memory;
use crate::memory::caller_connection::CallerConnection;
use crate::memory::caller_connection::ConnectionTimeouts;
use crate::memory::caller_connection::Phase;
use crate::memory::connection_table::ConnectionGuard;
use crate::memory::connection_table::ConnectionTable;
use crate::memory::report::CloseCause;
use crate::memory::tracked_body::TrackedBody;
use crate::memory::watched_stream::WatchedStream;
use crate::state::RelayState;

/// Size of the read buffer beyond the document's limit on request heads, in bytes.
const HEAD_BYTES_SPARE: usize = 16 << 10;
/// Pause after a failed accept, usually for want of descriptors.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Bounds on the interval at which timeouts are checked.
const CHECK_INTERVAL_MIN: Duration = Duration::from_millis(50);
const CHECK_INTERVAL_MAX: Duration = Duration::from_millis(1_000);
/// Answer on a connection for which there is no room. Nothing of a request has been read, so it never runs.
const FULL_ANSWER: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/problem+json\r\n\
    retry-after: 0.5\r\nconnection: close\r\ncontent-length: 45\r\n\r\n\
    {\"reason\":\"connections_full\",\"run\":\"not_run\"}";

/// Listens on an address; its connections get socket buffers of the planned size.
pub async fn listen(address: &str, memory: &Memory) -> Result<TcpListener> {
    let listener =
        TcpListener::bind(address).await.map_err(|it| Error::network("listen", address, it))?;
    if let Some(bytes) = memory.plan.socket_buffer_bytes {
        let socket = SockRef::from(&listener);
        let sized =
            socket.set_recv_buffer_size(bytes).and_then(|()| socket.set_send_buffer_size(bytes));
        sized.map_err(|it| Error::network("listen", address, it))?;
    }
    Ok(listener)
}

/// Finds room for a new connection; answers and closes it if there is none.
pub async fn admit(
    stream: TcpStream,
    client: SocketAddr,
    table: &Arc<ConnectionTable>,
    memory: &Memory,
) -> Option<(TcpStream, ConnectionGuard)> {
    if let Some(guard) = table.admit(client.ip()).await {
        return Some((stream, guard));
    }
    memory.report.record_closed(CloseCause::Full, &client.to_string(), table.len());
    // A client that does not take the answer learns from the end of the connection.
    let _ = stream.try_write(FULL_ANSWER);
    None
}

/// Accepts connections into a table for as long as the process runs, and serves each with the limits in force.
pub async fn accept<S, F, B>(
    listener: TcpListener,
    state: Arc<RelayState>,
    table: Arc<ConnectionTable>,
    serve: S,
) where
    S: Fn(Request<Incoming>, Arc<CallerConnection>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    loop {
        let (stream, client) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Without the option, the connection is slower but still works.
        let _ = stream.set_nodelay(true);
        let Some((stream, guard)) = admit(stream, client, &table, &state.memory).await else {
            continue;
        };
        let (state, serve) = (state.clone(), serve.clone());
        tokio::spawn(async move {
            let (limits, never) = (state.routes().limits(), std::future::pending());
            serve_connection(stream, guard, &state.memory, &limits, serve, never).await;
        });
    }
}

/// Serves requests on a connection until it ends, outlives its timeouts or is closed to make room. Once `closing` ends, it
/// closes after the answer that is being sent.
pub async fn serve_connection<S, F, B>(
    stream: TcpStream,
    guard: ConnectionGuard,
    memory: &Memory,
    limits: &Limits,
    serve: S,
    closing: impl Future<Output = ()>,
) where
    S: Fn(Request<Incoming>, Arc<CallerConnection>) -> F,
    F: Future<Output = Response<B>>,
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let connection = guard.connection().clone();
    let served = connection.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        served.set_phase(Phase::Body);
        // A HEAD request is answered without a body.
        let may_be_chunked =
            request.version() >= Version::HTTP_11 || request.method() == Method::HEAD;
        let (answer, tracked) = (serve(request, served.clone()), served.clone());
        async move {
            let answer = answer.await;
            tracked.set_phase(Phase::Answering);
            let marks_end = may_be_chunked || answer.headers().contains_key(CONTENT_LENGTH);
            Ok::<_, Infallible>(answer.map(|it| TrackedBody::new(it, tracked, marks_end)))
        }
    });
    let watched = TokioIo::new(WatchedStream::new(stream, connection.clone()));
    let http = http_builder(limits).serve_connection(watched, service);
    tokio::pin!(http, closing);
    let mut is_closing = false;
    let cause = loop {
        tokio::select! {
            // What has arrived is read first, so that a process that was stalled closes nothing that is in use.
            biased;
            ended = http.as_mut() => {
                return drop(ended.inspect_err(|error| tracing::debug!(%error, "connection failed")));
            }
            () = closing.as_mut(), if !is_closing => {
                is_closing = true;
                http.as_mut().graceful_shutdown();
            }
            cause = wait_for_end(&guard, limits) => break cause,
        }
    };
    memory.report.record_cut(&connection, cause.name());
    let client = connection.address.to_string();
    memory.report.record_closed(cause, &client, guard.connections());
}

fn http_builder(limits: &Limits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    // The library's timeout would also close idle connections; heads are timed here instead.
    builder.header_read_timeout(None);
    builder.max_headers(HEADERS_MAX);
    builder.max_buf_size(limits.header_bytes_max.saturating_add(HEAD_BYTES_SPARE));
    builder
}

/// Waits until a connection has outlived its timeouts or gives way to another one, and ends it.
async fn wait_for_end(guard: &ConnectionGuard, limits: &Limits) -> CloseCause {
    let connection = guard.connection();
    let timeouts = ConnectionTimeouts {
        head: Duration::from_millis(limits.header_timeout_ms),
        idle: Duration::from_millis(limits.idle_timeout_ms),
    };
    let interval = (timeouts.head / 4).clamp(CHECK_INTERVAL_MIN, CHECK_INTERVAL_MAX);
    loop {
        tokio::select! {
            () = connection.wait_until_asked() => match connection.end_if_asked() {
                Some(cause) => return cause,
                None => guard.record_kept(),
            },
            () = tokio::time::sleep(interval) => {}
        }
        if let Some(cause) = connection.end_if_overdue(&timeouts) {
            return cause;
        }
    }
}
