//! HTTP server for callers.

use std::sync::Arc;

use bilberryloft_state::error::Result;
use hyper::Response;
use hyper::header;
use hyper::header::HeaderValue;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::answer::AnswerBody;
use crate::forward;
use crate::memory::connection_table::ConnectionGuard;
use crate::memory::serve::ACCEPT_PAUSE;
use crate::memory::serve::admit;
use crate::memory::serve::listen;
use crate::memory::serve::serve_connection;
use crate::state::RelayState;

/// Stage of the server's shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Connections are accepted and kept open.
    #[default]
    Serving,
    /// Connections are still accepted, but each is closed after its next answer.
    Closing,
    /// Idle connections are closed, and no new ones are accepted.
    Closed,
}

/// A running server for callers.
pub struct CallerServer {
    stage: watch::Sender<Stage>,
}

impl CallerServer {
    /// Starts a server that listens on the configured address.
    pub async fn bind(state: Arc<RelayState>) -> Result<CallerServer> {
        let address = state.settings.caller_address.clone();
        let listener = listen(&address, &state.memory).await?;
        let (stage, stages) = watch::channel(Stage::Serving);
        tokio::spawn(accept(listener, state, stages));
        Ok(CallerServer { stage })
    }

    /// Advances the shutdown to a later stage.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }
}

async fn accept(listener: TcpListener, state: Arc<RelayState>, mut stages: watch::Receiver<Stage>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stage(&mut stages, Stage::Closed) => return,
        };
        match accepted {
            Ok((stream, client)) => {
                let memory = &state.memory;
                let open = state.lifecycle.open_requests();
                memory.make_connection_room(&state.pool, open, 1).await;
                if let Some((stream, guard)) = admit(stream, client, &memory.callers, memory).await
                {
                    tokio::spawn(serve(stream, guard, state.clone(), stages.clone()));
                }
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a caller's connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    guard: ConnectionGuard,
    state: Arc<RelayState>,
    mut stages: watch::Receiver<Stage>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "failed to set up a caller's connection, closing it");
        return;
    }
    let limits = state.routes().limits();
    let requests = stages.clone();
    let served = state.clone();
    let answer = move |request, caller| {
        let (state, stages) = (served.clone(), requests.clone());
        async move {
            let mut answer = forward::serve(state, request, caller).await;
            if *stages.borrow() != Stage::Serving {
                set_connection_close(&mut answer);
            }
            answer
        }
    };
    let closing = wait_for_stage(&mut stages, Stage::Closed);
    serve_connection(stream, guard, &state.memory, &limits, answer, closing).await;
}

/// Waits until the server reaches a stage.
async fn wait_for_stage(stages: &mut watch::Receiver<Stage>, stage: Stage) {
    // The sender lives as long as the server, so an error means that the server is closed.
    let _ = stages.wait_for(|it| *it >= stage).await;
}

fn set_connection_close(answer: &mut Response<AnswerBody>) {
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
