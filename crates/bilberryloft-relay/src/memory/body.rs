//! Reads bodies into one buffer each, within the account and until a deadline.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_transport::account::Account;
use bilberryloft_transport::account::Holder;
use bilberryloft_transport::account::Purpose;
use bilberryloft_transport::account::Shortage;
use bilberryloft_transport::held_bytes::HeldBytes;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::Instant;

use crate::memory::report::BodyFault;

/// Time for which a body waits for memory, in which what was dropped for it is released. Its client would rather come
/// back than wait.
pub const ROOM_TIMEOUT: Duration = Duration::from_millis(250);

/// Limits on a body.
#[derive(Clone, Debug)]
pub struct BodyLimits {
    /// Largest size.
    pub bytes_max: usize,
    /// Time by which it must have ended.
    pub deadline: Instant,
    /// What it is held for.
    pub purpose: Purpose,
    /// Who sends it.
    pub holder: Holder,
}

/// Reads a body to its end. What it takes of the account is released with the last reference to the returned bytes, or
/// if the body fails.
pub async fn read_body<B>(
    account: &Arc<Account>,
    mut body: B,
    limits: BodyLimits,
) -> Result<Bytes, BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
{
    let declared = body.size_hint();
    if declared.lower() > limits.bytes_max as u64 {
        return Err(BodyFault::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let expected = declared.exact().map_or(limits.bytes_max, |it| it as usize);
    let reservation = account.open_unfinished(limits.purpose, limits.holder);
    let mut held = HeldBytes::new(reservation, expected);
    let late = tokio::time::sleep_until(limits.deadline);
    tokio::pin!(late);
    loop {
        let frame = tokio::select! {
            biased;
            () = held.reservation().evicted() => return Err(BodyFault::Dropped),
            frame = body.frame() => frame,
            () = &mut late => return Err(BodyFault::Late),
        };
        let piece = match frame {
            None => return Ok(held.into_bytes()),
            Some(Err(_)) => return Err(BodyFault::Broken),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        if held.len() + piece.len() > limits.bytes_max {
            return Err(BodyFault::TooLarge);
        }
        let until = limits.deadline.min(Instant::now() + ROOM_TIMEOUT);
        held.push(&piece, until).await.map_err(|it| match it {
            Shortage::Dropped => BodyFault::Dropped,
            Shortage::NoRoom => BodyFault::NoRoom,
        })?;
    }
}
