//! Agent on the host of a rank, which reads from the local target on behalf of the planner. Reading locally costs
//! nothing.

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

use crate::pool::Pool;
use crate::target_call;

/// Timeout for one read from the target.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Settings of the agent.
#[derive(Clone, Debug)]
pub struct RankAgentSettings {
    /// Unique name of the daemon.
    pub daemon: String,
    /// Address on which the agent takes the planner's calls.
    pub listen_address: SocketAddr,
}

/// A running agent, which stops on drop.
#[derive(Debug)]
pub struct RankAgent {
    _server: Server,
}

struct AgentService {
    own_address: SocketAddr,
    pool: Pool,
}

impl RankAgent {
    /// Starts an agent that listens on the configured address.
    pub async fn bind(settings: &RankAgentSettings) -> Result<RankAgent> {
        let service =
            Arc::new(AgentService { own_address: settings.listen_address, pool: Pool::default() });
        let address = settings.listen_address.to_string();
        let server = Server::bind(&address, &settings.daemon, epoch_ms(), service).await?;
        Ok(RankAgent { _server: server })
    }
}

impl AgentService {
    fn check_target(&self, target_address: &str) -> Result<()> {
        let is_own =
            target_address.parse::<SocketAddr>().is_ok_and(|it| it.ip() == self.own_address.ip());
        match is_own {
            true => Ok(()),
            false => {
                let detail = "the target is on another host".to_string();
                Err(Error::protocol("target_read", target_address, detail))
            }
        }
    }

    async fn read_all(&self, read: &wire::TargetRead) -> Result<Vec<Vec<u8>>> {
        self.check_target(&read.target_address)?;
        let mut bodies = Vec::with_capacity(read.paths.len());
        for path in &read.paths {
            bodies.push(self.read(&read.target_address, path).await?);
        }
        Ok(bodies)
    }

    async fn read(&self, address: &str, path: &str) -> Result<Vec<u8>> {
        let read = target_call::read(&self.pool, address, path, READ_TIMEOUT).await;
        let body = read.map_err(|it| Error::protocol("target_read", address, it.to_string()))?;
        Ok(body.to_vec())
    }
}

impl Handler for AgentService {
    async fn handle(self: Arc<Self>, call: Call) {
        let responder = call.responder;
        match call.body {
            Body::TargetRead(read) => match self.read_all(&read).await {
                Ok(bodies) => {
                    let bodies = Body::TargetBodies(wire::TargetBodies::new(bodies));
                    // If the planner has disconnected, the answer is not needed.
                    let _ = responder.send(bodies).await;
                }
                Err(error) => responder.fail("target_read", error.to_string()).await,
            },
            other => {
                responder.fail(body_name(&other), "a rank agent does not serve this call").await
            }
        }
    }
}
