//! HTTP server for callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::answer::AnswerBody;
use crate::forward;
use crate::state::RelayState;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Size of the read buffer beyond the document's limit on request heads, in bytes.
const HEAD_BYTES_SPARE: usize = 16 << 10;

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
        let listener = TcpListener::bind(&address)
            .await
            .map_err(|it| Error::network("listen", &address, it))?;
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
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, state.clone(), stages.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a caller's connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, state: Arc<RelayState>, mut stages: watch::Receiver<Stage>) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "failed to set up a caller's connection, closing it");
        return;
    }
    let limits = state.routes().limits();
    let requests = stages.clone();
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let (state, stages) = (state.clone(), requests.clone());
        async move {
            let mut answer = forward::serve(state, request).await;
            if *stages.borrow() != Stage::Serving {
                set_connection_close(&mut answer);
            }
            Ok::<Response<AnswerBody>, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.header_bytes_max + HEAD_BYTES_SPARE)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = wait_for_stage(&mut stages, Stage::Closed) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "a caller's connection ended with an error");
    }
}

/// Waits until the server reaches a stage.
async fn wait_for_stage(stages: &mut watch::Receiver<Stage>, stage: Stage) {
    // The sender lives as long as the server, so an error means that the server is closed.
    let _ = stages.wait_for(|it| *it >= stage).await;
}

fn set_connection_close(answer: &mut Response<AnswerBody>) {
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
