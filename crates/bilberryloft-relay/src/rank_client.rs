//! Client for a rank: reads go through the agent on its host, or directly to the target if no agent answers.

use std::net::SocketAddr;
use std::time::Duration;

use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_transport::client::Client;
use hyper::Method;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::dialect::Dialect;
use crate::dialect::ExpertCounts;
use crate::dialect::RankExperts;
use crate::dialect::RankOrder;
use crate::dialect::RankReport;
use crate::pool::Pool;
use crate::target_call;

/// Timeout for reading from a rank.
const READ_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for the order to copy experts, which carries a whole map, before it is sent again.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(60);
/// Base timeout for all other orders before they are sent again. It is short because a held group waits for the
/// answers.
const ORDER_TIMEOUT: Duration = Duration::from_millis(20);
/// Time that is added to [`ORDER_TIMEOUT`] for each rank to which an order is sent at the same time.
const ORDER_TIMEOUT_PER_RANK: Duration = Duration::from_micros(500);

/// Returns the timeout after which an order to the given number of ranks is sent again.
pub fn order_timeout(order: &RankOrder<'_>, ranks: usize) -> Duration {
    match order {
        RankOrder::Prepare { .. } => PREPARE_TIMEOUT,
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

/// Client for one rank.
pub struct RankClient {
    /// Name of the target.
    pub id: String,
    /// Address of the target.
    pub address: String,
    agent: Client,
    agent_skipped_until: Mutex<Option<Instant>>,
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
        })
    }

    /// Reads the report and the counts of chosen experts. The counts are read only through the agent, where that costs
    /// nothing, and are `None` if no agent answers.
    pub async fn read(
        &self,
        pool: &Pool,
        dialect: &dyn Dialect,
    ) -> Result<(RankReport, Option<ExpertCounts>), String> {
        let paths = [dialect.report_path(), dialect.counts_path()];
        let bodies = match self.read_via_agent(&paths).await {
            Some(bodies) => bodies,
            None => vec![self.read_direct(pool, dialect.report_path()).await?],
        };
        let report = bodies.first().ok_or("no report")?;
        let report = dialect.decode_report(report)?.ok_or("the target is not a rank of a group")?;
        let counts = bodies.get(1).map(|it| dialect.decode_counts(it)).transpose()?;
        Ok((report, counts))
    }

    /// Reads the experts that the rank holds in the map in use.
    pub async fn experts(&self, pool: &Pool, dialect: &dyn Dialect) -> Result<RankExperts, String> {
        let path = dialect.experts_path();
        let body = match self.read_via_agent(&[path]).await {
            Some(mut bodies) => bodies.pop().ok_or("no answer")?,
            None => self.read_direct(pool, path).await?,
        };
        dialect.decode_experts(&body)
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
        let answered =
            target_call::call(pool, &self.address, Method::POST, path, body.into(), timeout);
        let status = match answered.await {
            Ok((status, _)) => Some(status.as_u16()),
            Err(error) => {
                tracing::debug!(%error, target_id = self.id, "no answer to an order");
                None
            }
        };
        match status {
            Some(200 | 202) => OrderOutcome::Accepted,
            Some(400..=499) => OrderOutcome::Conflict,
            _ => OrderOutcome::Unknown,
        }
    }

    fn is_agent_skipped(&self) -> bool {
        self.agent_skipped_until.lock().is_some_and(|it| it > Instant::now())
    }

    async fn read_direct(&self, pool: &Pool, path: &str) -> Result<Vec<u8>, String> {
        let read = target_call::read(pool, &self.address, path, READ_TIMEOUT).await;
        read.map(|it| it.to_vec()).map_err(|it| it.to_string())
    }

    async fn read_via_agent(&self, paths: &[&str]) -> Option<Vec<Vec<u8>>> {
        if self.is_agent_skipped() {
            return None;
        }
        let paths = paths.iter().map(|it| it.to_string()).collect();
        let read = wire::TargetRead::new(self.address.clone(), paths);
        match self.agent.call(Body::TargetRead(read), READ_TIMEOUT).await {
            Ok(Body::TargetBodies(bodies)) => Some(bodies.bodies),
            Ok(_) => None,
            Err(error) => {
                tracing::debug!(%error, target_id = self.id, "no answer from the rank agent, reading from the target");
                let until = Instant::now() + AGENT_RETRY_AFTER;
                *self.agent_skipped_until.lock() = Some(until);
                None
            }
        }
    }
}
