//! Memory of what a target has sent on one connection and nobody has taken yet, in the account of the process.

use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bilberryloft_transport::account::Account;
use bilberryloft_transport::account::Holder;
use bilberryloft_transport::account::Purpose;
use bilberryloft_transport::account::Reservation;
use bilberryloft_transport::account::Shortage;
use tokio::time::Sleep;

use crate::memory::report::Report;

/// Bytes of a connection that are not in the account; heads of ordinary answers are smaller.
const FREE_BYTES: usize = 16 << 10;
/// Pause before room is asked for again.
const ROOM_PAUSE: Duration = Duration::from_millis(5);

/// Returns on whose behalf the answers of a target are held.
pub fn target_holder(address: IpAddr) -> Holder {
    Holder { address, name: "target".to_string() }
}

/// Room for more than [`FREE_BYTES`].
struct Room {
    reservation: Reservation,
    evicted: Pin<Box<dyn Future<Output = ()> + Send>>,
    pause: Option<Pin<Box<Sleep>>>,
}

/// Room in the account for the unread bytes of one connection.
pub struct ReadHold {
    account: Arc<Account>,
    report: Arc<Report>,
    holder: Holder,
    room: Option<Room>,
}

impl ReadHold {
    /// Holds nothing yet for a connection to a target.
    pub fn new(account: Arc<Account>, report: Arc<Report>, address: IpAddr) -> ReadHold {
        ReadHold { account, report, holder: target_holder(address), room: None }
    }

    /// Makes room for so many unread bytes. Fails if memory is short and this target holds the most of it.
    pub fn poll_room(&mut self, context: &mut Context<'_>, bytes: usize) -> Poll<io::Result<()>> {
        if bytes <= FREE_BYTES {
            self.room = None;
            return Poll::Ready(Ok(()));
        }
        let result = ready!(self.poll_reservation(context, bytes as u64));
        Poll::Ready(result.map_err(|shortage| {
            let held_bytes = self.account.held_bytes(Purpose::Reading);
            self.report.record_target_dropped(self.holder.address, held_bytes);
            io::Error::other(shortage)
        }))
    }

    fn poll_reservation(
        &mut self,
        context: &mut Context<'_>,
        bytes: u64,
    ) -> Poll<Result<(), Shortage>> {
        let (account, holder) = (&self.account, &self.holder);
        let room = self.room.get_or_insert_with(|| {
            let reservation = account.open_unfinished(Purpose::Reading, holder.clone());
            let evicted = Box::pin(reservation.when_evicted());
            Room { reservation, evicted, pause: None }
        });
        if room.evicted.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(Shortage::Dropped));
        }
        loop {
            if let Some(pause) = &mut room.pause {
                ready!(pause.as_mut().poll(context));
                room.pause = None;
            }
            let more = bytes.saturating_sub(room.reservation.bytes());
            if room.reservation.try_grow(more)? {
                return Poll::Ready(Ok(()));
            }
            room.pause = Some(Box::pin(tokio::time::sleep(ROOM_PAUSE)));
        }
    }
}
