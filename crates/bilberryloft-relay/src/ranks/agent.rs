//! Agent on the host of a rank, which reads from the local target on behalf of the planner and passes on its orders to
//! copy experts. Reading and ordering locally cost nothing, and the planner's host sends and receives less.

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
use parking_lot::Mutex;

use crate::dialect::Dialect;
use crate::dialect::RankOrder;
use crate::memory::Memory;
use crate::pool::Pool;
use crate::ranks::choices::Readings;
use crate::ranks::map_codec;
use crate::ranks::state::RankChoices;
use crate::ranks::state::to_wire;
use crate::settings::ProcessLimits;
use crate::target_call;
use crate::target_call::COUNTS_BYTES_MAX;
use crate::target_call::EXPERTS_BYTES_MAX;
use crate::target_call::REPORT_BYTES_MAX;

/// Timeout for one read from the target.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the target's answer to an order to copy experts; shorter than the planner's, which then sends it again.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(40);
/// Status that stands for an order without an answer.
const NO_STATUS: i32 = 0;

/// Settings of the agent.
#[derive(Clone, Debug)]
pub struct RankAgentSettings {
    /// Unique name of the daemon.
    pub daemon: String,
    /// Address on which the agent takes the planner's calls.
    pub listen_address: SocketAddr,
    /// Limits of the host on the process.
    pub process_limits: ProcessLimits,
}

/// A running agent, which stops on drop.
#[derive(Debug)]
pub struct RankAgent {
    _server: Server,
}

struct AgentService {
    own_address: SocketAddr,
    dialect: Arc<dyn Dialect>,
    pool: Pool,
    readings: Mutex<Readings>,
}

impl RankAgent {
    /// Starts an agent that listens on the configured address and speaks to its target in the given dialect.
    pub async fn bind(
        settings: &RankAgentSettings,
        dialect: Arc<dyn Dialect>,
    ) -> Result<RankAgent> {
        let memory = Memory::new(&settings.process_limits);
        let service = Arc::new(AgentService {
            own_address: settings.listen_address,
            dialect,
            pool: Pool::new(memory.account.clone(), memory.report.clone()),
            readings: Mutex::default(),
        });
        let address = settings.listen_address.to_string();
        let limits = memory.peer_limits();
        let (daemon, incarnation) = (&settings.daemon, epoch_ms());
        let server =
            Server::bind_within(&address, daemon, incarnation, None, service, limits).await?;
        Ok(RankAgent { _server: server })
    }
}

impl AgentService {
    async fn answer(&self, body: Body) -> Result<Body> {
        let step = body_name(&body);
        match body {
            Body::TargetRead(read) => {
                Ok(Body::TargetBodies(wire::TargetBodies::new(self.read_all(&read).await?)))
            }
            Body::RankRead(read) => Ok(Body::RankState(self.read_rank(&read).await?)),
            Body::RankPrepare(order) => Ok(Body::RankPrepared(self.prepare(&order).await?)),
            _ => {
                let detail = "a rank agent does not serve this call".to_string();
                Err(Error::protocol(step, self.own_address.to_string(), detail))
            }
        }
    }

    fn check_target(&self, step: &'static str, target_address: &str) -> Result<()> {
        let is_own =
            target_address.parse::<SocketAddr>().is_ok_and(|it| it.ip() == self.own_address.ip());
        match is_own {
            true => Ok(()),
            false => {
                let detail = "the target is on another host".to_string();
                Err(Error::protocol(step, target_address, detail))
            }
        }
    }

    async fn read_all(&self, read: &wire::TargetRead) -> Result<Vec<Vec<u8>>> {
        self.check_target("target_read", &read.target_address)?;
        let mut bodies = Vec::with_capacity(read.paths.len());
        for path in &read.paths {
            bodies.push(
                self.read("target_read", &read.target_address, path, EXPERTS_BYTES_MAX).await?,
            );
        }
        Ok(bodies)
    }

    /// Reads the rank's state, and its choices since the reading that the planner names.
    async fn read_rank(&self, read: &wire::RankRead) -> Result<wire::RankState> {
        const STEP: &str = "rank_read";
        let address = read.target_address.as_str();
        self.check_target(STEP, address)?;
        let invalid = |detail: String| Error::protocol(STEP, address, detail);
        let report = self.read(STEP, address, self.dialect.report_path(), REPORT_BYTES_MAX).await?;
        let report = self.dialect.decode_report(&report).map_err(invalid)?;
        let report = report.ok_or_else(|| invalid("the target is not a rank".to_string()))?;
        let counts = self.read(STEP, address, self.dialect.counts_path(), COUNTS_BYTES_MAX).await?;
        let counts = self.dialect.decode_counts(&counts).map_err(invalid)?;
        let (step, epoch) = (counts.step, counts.epoch);
        let since_step = read.since_step.map(|it| it.cast_unsigned());
        let counts = self.readings.lock().add(counts, since_step);
        Ok(to_wire(report, Some(RankChoices { step, epoch, counts })))
    }

    /// Passes an order to copy experts on to the target. The order may be repeated, as a target that has carried it out
    /// refuses it.
    async fn prepare(&self, order: &wire::RankPrepare) -> Result<wire::RankPrepared> {
        const STEP: &str = "rank_prepare";
        let address = order.target_address.as_str();
        self.check_target(STEP, address)?;
        let invalid = |detail: String| Error::protocol(STEP, address, detail);
        let map = map_codec::decode(&order.expert_map);
        let map = map.ok_or_else(|| invalid("the map can't be read".to_string()))?;
        let (version, epoch) = (order.version.cast_unsigned(), order.epoch.cast_unsigned());
        let body = self.dialect.encode_order(&RankOrder::Prepare { version, epoch, map: &map });
        let path = self.dialect.order_path();
        let order = target_call::order(&self.pool, address, path, body.into(), PREPARE_TIMEOUT);
        let status = match order.await {
            Ok(status) => i32::from(status.as_u16()),
            Err(error) => {
                tracing::debug!(%error, version, "no answer to an order to copy experts");
                NO_STATUS
            }
        };
        Ok(wire::RankPrepared::new(status))
    }

    async fn read(
        &self,
        step: &'static str,
        address: &str,
        path: &str,
        bytes_max: usize,
    ) -> Result<Vec<u8>> {
        let read = target_call::read(&self.pool, address, path, bytes_max, READ_TIMEOUT).await;
        let body = read.map_err(|it| Error::protocol(step, address, it.to_string()))?;
        Ok(body.to_vec())
    }
}

impl Handler for AgentService {
    async fn handle(self: Arc<Self>, call: Call) {
        let responder = call.responder;
        let step = body_name(&call.body);
        match self.answer(call.body).await {
            // If the planner has disconnected, the answer is not needed.
            Ok(body) => drop(responder.send(body).await),
            Err(error) => responder.fail(step, error.to_string()).await,
        }
    }
}
