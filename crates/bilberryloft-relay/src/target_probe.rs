//! Probes a target by opening a connection.

use std::io::ErrorKind;
use std::time::Duration;

use bilberryloft_coordination::target_end::ProbeResult;

use crate::pool::Pool;

/// Time for which a new connection must stay open. A target that is ending may still accept connections.
const SETTLE_TIME: Duration = Duration::from_millis(150);

/// Opens a connection to a target; a connection that stays open goes to the pool.
pub async fn probe_target(pool: &Pool, address: &str) -> ProbeResult {
    let connection = match pool.open(address).await {
        Ok(connection) => connection,
        Err(error) => return classify(error.kind()),
    };
    tokio::time::sleep(SETTLE_TIME).await;
    if pool.has_only_closed(address) {
        return ProbeResult::Restarted;
    }
    if !connection.is_closed() {
        pool.give_back(address, connection, None);
        return ProbeResult::Connected;
    }
    // A target with too many connections resets new ones, too, but goes on accepting them.
    match pool.open(address).await {
        Ok(_) => ProbeResult::Connected,
        Err(error) => classify(error.kind()),
    }
}

fn classify(error: ErrorKind) -> ProbeResult {
    match error {
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => ProbeResult::Refused,
        _ => ProbeResult::Silent,
    }
}
