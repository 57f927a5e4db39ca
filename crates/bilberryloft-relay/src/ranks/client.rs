//! Client for a rank: reads and orders to copy experts go through the agent on its host, or directly to the target if
//! no agent answers.

use std::net::SocketAddr;
use std::time::Duration;

use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_transport::client::Client;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::dialect::Dialect;
use crate::dialect::RankExperts;
use crate::dialect::RankOrder;
use crate::dialect::RankReport;
use crate::pool::Pool;
use crate::ranks::state::RankChoices;
use crate::ranks::state::from_wire;
use crate::target_call;
use crate::target_call::EXPERTS_BYTES_MAX;
use crate::target_call::REPORT_BYTES_MAX;

/// Timeout for reading from a rank.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Base timeout for the order to copy experts, which carries a whole map, before it is sent again.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(60);
/// Time that is added to [`PREPARE_TIMEOUT`] for each rank, as the map goes to all of them over one link.
const PREPARE_TIMEOUT_PER_RANK: Duration = Duration::from_millis(2);
/// Base timeout for all other orders before they are sent again. It is short because a held group waits for the
/// answers.
const ORDER_TIMEOUT: Duration = Duration::from_millis(20);
/// Time that is added to [`ORDER_TIMEOUT`] for each rank to which an order is sent at the same time.
const ORDER_TIMEOUT_PER_RANK: Duration = Duration::from_micros(500);

/// Returns the timeout after which an order to the given number of ranks is sent again.
pub fn order_timeout(order: &RankOrder<'_>, ranks: usize) -> Duration {
    match order {
        RankOrder::Prepare { .. } => PREPARE_TIMEOUT + PREPARE_TIMEOUT_PER_RANK * ranks as u32,
        RankOrder::Arm { .. }
        | RankOrder::Disarm { .. }
        | RankOrder::Hold { .. }
        | RankOrder::Go { .. } => short_order_timeout(ranks),
    }
}

/// Returns the timeout for an order that carries no map.
pub fn short_order_timeout(ranks: usize) -> Duration {
    ORDER_TIMEOUT + ORDER_TIMEOUT_PER_RANK * ranks as u32
}

/// Time for which an agent that did not answer is not used.
const AGENT_RETRY_AFTER: Duration = Duration::from_millis(2_000);

/// Outcome of an order to a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is being carried out, was carried out, or was already in effect.
    Accepted,
    /// The order does not fit the rank's state.
    Conflict,
    /// It is unknown whether the order was or will be carried out.
    Unknown,
}

impl OrderOutcome {
    /// Returns the outcome of an order that was answered with the given HTTP status.
    fn from_status(status: i32) -> OrderOutcome {
        match status {
            200 | 202 => OrderOutcome::Accepted,
            400..=499 => OrderOutcome::Conflict,
            _ => OrderOutcome::Unknown,
        }
    }
}

/// Client for one rank.
pub struct RankClient {
    /// Name of the target.
    pub id: String,
    /// Address of the target.
    pub address: String,
    agent: Client,
    agent_skipped_until: Mutex<Option<Instant>>,
    /// Forward pass of the counts that were read last.
    counted_step: Mutex<Option<u64>>,
}

impl RankClient {
    /// Creates a client; returns `None` if the address is invalid. The agent runs on the target's host.
    pub fn new(id: &str, address: &str, agent_port: u16, daemon: &str) -> Option<RankClient> {
        let target: SocketAddr = address.parse().ok()?;
        let agent = SocketAddr::new(target.ip(), agent_port);
        Some(RankClient {
            id: id.to_string(),
            address: address.to_string(),
            agent: Client::new(agent.to_string(), daemon, 0),
            agent_skipped_until: Mutex::default(),
            counted_step: Mutex::default(),
        })
    }

    /// Reads the report, and the choices of experts since the last reading. The choices are read only through the
    /// agent, where that costs nothing, and are `None` if no agent answers.
    pub async fn read(
        &self,
        pool: &Pool,
        dialect: &dyn Dialect,
    ) -> Result<(RankReport, Option<RankChoices>), String> {
        let since_step = self.counted_step.lock().map(|it| it.cast_signed());
        let read = wire::RankRead::new(self.address.clone(), since_step);
        if let Some(Body::RankState(state)) =
            self.call_agent(Body::RankRead(read), READ_TIMEOUT).await
        {
            let (report, choices) = from_wire(state);
            *self.counted_step.lock() = choices.as_ref().map(|it| it.step);
            return Ok((report, choices));
        }
        let report = self.read_direct(pool, dialect.report_path(), REPORT_BYTES_MAX).await?;
        let report =
            dialect.decode_report(&report)?.ok_or("the target is not a rank of a group")?;
        Ok((report, None))
    }

    /// Reads the experts that the rank holds in the map in use.
    pub async fn experts(&self, pool: &Pool, dialect: &dyn Dialect) -> Result<RankExperts, String> {
        let path = dialect.experts_path();
        let read = wire::TargetRead::new(self.address.clone(), vec![path.to_string()]);
        let body = match self.call_agent(Body::TargetRead(read), READ_TIMEOUT).await {
            Some(Body::TargetBodies(mut read)) => read.bodies.pop().ok_or("no answer")?,
            _ => self.read_direct(pool, path, EXPERTS_BYTES_MAX).await?,
        };
        dialect.decode_experts(&body)
    }

    /// Sends the order to copy experts through the agent, or directly if no agent answers. `map` is the compact form of
    /// the map in the order. A copy that starts late does no harm, so it does not matter if the agent's host freezes.
    pub async fn prepare(
        &self,
        pool: &Pool,
        dialect: &dyn Dialect,
        order: &RankOrder<'_>,
        map: &[u8],
        timeout: Duration,
    ) -> OrderOutcome {
        let RankOrder::Prepare { version, epoch, .. } = order else {
            return self.order(pool, dialect, order, timeout).await;
        };
        let (version, epoch) = ((*version).cast_signed(), (*epoch).cast_signed());
        let prepare = wire::RankPrepare::new(self.address.clone(), version, epoch, map.to_vec());
        match self.call_agent(Body::RankPrepare(prepare), timeout).await {
            Some(Body::RankPrepared(answer)) => OrderOutcome::from_status(answer.status),
            _ => self.order(pool, dialect, order, timeout).await,
        }
    }

    /// Sends an order directly to the target. An agent whose host freezes while it forwards an order would hold up the
    /// whole group.
    pub async fn order(
        &self,
        pool: &Pool,
        dialect: &dyn Dialect,
        order: &RankOrder<'_>,
        timeout: Duration,
    ) -> OrderOutcome {
        let body = dialect.encode_order(order);
        let path = dialect.order_path();
        match target_call::order(pool, &self.address, path, body.into(), timeout).await {
            Ok(status) => OrderOutcome::from_status(i32::from(status.as_u16())),
            Err(error) => {
                tracing::debug!(%error, target_id = self.id, "no answer to an order");
                OrderOutcome::Unknown
            }
        }
    }

    fn is_agent_skipped(&self) -> bool {
        self.agent_skipped_until.lock().is_some_and(|it| it > Instant::now())
    }

    async fn read_direct(
        &self,
        pool: &Pool,
        path: &str,
        bytes_max: usize,
    ) -> Result<Vec<u8>, String> {
        let read = target_call::read(pool, &self.address, path, bytes_max, READ_TIMEOUT).await;
        read.map(|it| it.to_vec()).map_err(|it| it.to_string())
    }

    /// Calls the agent; `None` if it does not answer, or answers with an error.
    async fn call_agent(&self, body: Body, timeout: Duration) -> Option<Body> {
        if self.is_agent_skipped() {
            return None;
        }
        match self.agent.call(body, timeout).await {
            Ok(answer) => Some(answer),
            Err(error) => {
                tracing::debug!(%error, target_id = self.id, "no answer from the rank agent");
                let until = Instant::now() + AGENT_RETRY_AFTER;
                *self.agent_skipped_until.lock() = Some(until);
                None
            }
        }
    }
}
