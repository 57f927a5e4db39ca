//! The process beside a rank: it makes calls to its own target for the planner, where they cost nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_protocol::codec::body_name;
use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_transport::clock::epoch_ms;
use bilberryloft_transport::server::Call;
use bilberryloft_transport::server::Handler;
use bilberryloft_transport::server::Server;
use bytes::Bytes;
use hyper::Method;

use crate::pool::Pool;
use crate::target_call;

/// Time for the target to answer one call.
const CALL_LIMIT: Duration = Duration::from_millis(500);

/// Settings of the process beside a rank.
#[derive(Clone, Debug)]
pub struct RankAgentSettings {
    /// Unique name of the daemon.
    pub daemon: String,
    /// Address for calls from the planner.
    pub listen_address: SocketAddr,
}

/// A running agent; it ends with the value.
#[derive(Debug)]
pub struct RankAgent {
    _server: Server,
}

struct Service {
    own: SocketAddr,
    pool: Pool,
}

impl RankAgent {
    /// Listens on the settings' address.
    pub async fn bind(settings: &RankAgentSettings) -> Result<RankAgent> {
        let service = Arc::new(Service { own: settings.listen_address, pool: Pool::default() });
        let address = settings.listen_address.to_string();
        let server = Server::bind(&address, &settings.daemon, epoch_ms(), service).await?;
        Ok(RankAgent { _server: server })
    }
}

impl Service {
    fn check_target(&self, target_address: &str) -> Result<()> {
        let is_own = target_address.parse::<SocketAddr>().is_ok_and(|it| it.ip() == self.own.ip());
        match is_own {
            true => Ok(()),
            false => {
                let detail = "the target is on another host".to_string();
                Err(Error::protocol("target_calls", target_address, detail))
            }
        }
    }

    async fn make_calls(&self, calls: wire::TargetCalls) -> Result<Vec<wire::TargetAnswer>> {
        self.check_target(&calls.target_address)?;
        let mut answers = Vec::with_capacity(calls.calls.len());
        for call in calls.calls {
            answers.push(self.make_call(&calls.target_address, call).await?);
        }
        Ok(answers)
    }

    async fn make_call(&self, address: &str, call: wire::TargetCall) -> Result<wire::TargetAnswer> {
        let failed = |detail: String| Error::protocol("target_call", address, detail);
        let method: Method = call.method.parse().map_err(|_| failed("bad method".to_string()))?;
        let body = Bytes::from(call.body);
        let answered =
            target_call::call(&self.pool, address, method, &call.path, body, CALL_LIMIT).await;
        let (status, body) = answered.map_err(|it| failed(it.to_string()))?;
        Ok(wire::TargetAnswer::new(i32::from(status.as_u16()), body.to_vec()))
    }
}

impl Handler for Service {
    async fn handle(self: Arc<Self>, call: Call) {
        let responder = call.responder;
        match call.body {
            Body::TargetCalls(calls) => match self.make_calls(calls).await {
                Ok(answers) => {
                    let answers = Body::TargetAnswers(wire::TargetAnswers::new(answers));
                    // A planner that has gone needs no answer.
                    let _ = responder.send(answers).await;
                }
                Err(error) => responder.fail("target_calls", error.to_string()).await,
            },
            other => responder.fail(body_name(&other), "an agent does not serve this call").await,
        }
    }
}
