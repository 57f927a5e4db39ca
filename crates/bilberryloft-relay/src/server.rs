//! HTTP server for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_state::error::Result;
use hyper::Response;
use hyper::header;
use hyper::header::HeaderValue;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::answer::AnswerBody;
use crate::forward;
use crate::lifecycle::Lifecycle;
use crate::lifecycle::Stage;
use crate::memory::connection_table::ConnectionGuard;
use crate::memory::serve::ACCEPT_PAUSE;
use crate::memory::serve::admit;
use crate::memory::serve::listen;
use crate::memory::serve::serve_connection;
use crate::state::RelayState;

/// Time in which what has arrived is read, before a listener or a connection is closed.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// A running server for callers.
pub struct CallerServer {
    accepting: JoinHandle<()>,
}

impl CallerServer {
    /// Starts a server that listens on the configured address.
    pub async fn bind(state: Arc<RelayState>) -> Result<CallerServer> {
        let address = state.settings.caller_address.clone();
        let listener = listen(&address, &state.memory).await?;
        Ok(CallerServer { accepting: tokio::spawn(accept(listener, state)) })
    }

    /// Returns whether the listener is closed.
    pub fn is_closed(&self) -> bool {
        self.accepting.is_finished()
    }
}

/// Accepts connections until the entry closes, and then those that wait to be accepted.
async fn accept(listener: TcpListener, state: Arc<RelayState>) {
    while let Some(accepted) = next_connection(&listener, &state.lifecycle).await {
        match accepted {
            Ok((stream, client)) => {
                let memory = &state.memory;
                let open = state.lifecycle.open_requests() + state.call_pool.idle_count();
                memory.make_connection_room(&state.pool, open, 1).await;
                if let Some((stream, guard)) = admit(stream, client, &memory.callers, memory).await
                {
                    tokio::spawn(serve(stream, guard, state.clone()));
                }
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a caller's connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Returns the next connection; `None` once the entry is closed and no connection waits to be accepted.
async fn next_connection(
    listener: &TcpListener,
    lifecycle: &Lifecycle,
) -> Option<std::io::Result<(TcpStream, SocketAddr)>> {
    if lifecycle.stage() >= Stage::Refusing {
        return None;
    }
    tokio::select! {
        biased;
        accepted = listener.accept() => Some(accepted),
        () = wait_until_settled(lifecycle) => None,
    }
}

/// Waits until the entry is closed, and what had arrived before has been read.
async fn wait_until_settled(lifecycle: &Lifecycle) {
    lifecycle.wait_for_stage(Stage::Closed).await;
    tokio::time::sleep(SETTLE_TIME).await;
}

async fn serve(stream: TcpStream, guard: ConnectionGuard, state: Arc<RelayState>) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "failed to set up a caller's connection, closing it");
        return;
    }
    let limits = state.routes().limits();
    let served = state.clone();
    let answer = move |request, caller| {
        let state = served.clone();
        async move {
            let mut answer = forward::serve(state.clone(), request, caller).await;
            if state.lifecycle.is_stopping() {
                set_connection_close(&mut answer);
            }
            answer
        }
    };
    let closing = wait_until_settled(&state.lifecycle);
    serve_connection(stream, guard, &state.memory, &limits, answer, closing).await;
}

fn set_connection_close(answer: &mut Response<AnswerBody>) {
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
