//! Taking callers' connections.

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

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Bytes of a request's head that are read at most, beyond the limit of the document.
const HEAD_BYTES_SPARE: usize = 16 << 10;

/// How far the server has gone in stopping.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// All connections are served.
    #[default]
    Serving,
    /// Each connection ends with its next answer.
    Closing,
    /// Idle connections end, and no new one is taken.
    Closed,
}

/// A running listener for callers.
pub struct CallerServer {
    stage: watch::Sender<Stage>,
}

impl CallerServer {
    /// Listens on the settings' address.
    pub async fn bind(state: Arc<RelayState>) -> Result<CallerServer> {
        let address = state.settings.caller_address.clone();
        let listener = TcpListener::bind(&address)
            .await
            .map_err(|it| Error::network("listen", &address, it))?;
        let (stage, stages) = watch::channel(Stage::Serving);
        tokio::spawn(accept(listener, state, stages));
        Ok(CallerServer { stage })
    }

    /// Goes on to a later stage of stopping.
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
                tracing::warn!(%error, "a caller's connection could not be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, state: Arc<RelayState>, mut stages: watch::Receiver<Stage>) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "a caller's connection ended at once");
        return;
    }
    let limits = state.table().limits();
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
        tracing::debug!(%error, "a caller's connection ended");
    }
}

/// Waits until the server has come to a stage.
async fn wait_for_stage(stages: &mut watch::Receiver<Stage>, stage: Stage) {
    // The sender lives as long as the server; without it, everything is closed.
    let _ = stages.wait_for(|it| *it >= stage).await;
}

fn set_connection_close(answer: &mut Response<AnswerBody>) {
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
