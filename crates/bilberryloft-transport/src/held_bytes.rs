//! Bytes that arrive piece by piece, in one buffer that an account is charged for.

use bytes::Bytes;
use tokio::time::Instant;

use crate::account::Reservation;
use crate::account::Shortage;

/// First size of a buffer, in bytes.
const FIRST_BYTES: usize = 4 << 10;

/// A buffer with its reservation, which is released when the last reference to its bytes is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    bytes: Vec<u8>,
    reservation: Reservation,
    /// Size that the buffer is not grown beyond without need.
    expected: usize,
}

impl HeldBytes {
    /// Creates an empty buffer for at most `expected` bytes. Memory is reserved as bytes arrive.
    pub fn new(reservation: Reservation, expected: usize) -> HeldBytes {
        HeldBytes { bytes: Vec::new(), reservation, expected }
    }

    /// Appends bytes after room for them has been reserved.
    pub async fn push(&mut self, piece: &[u8], until: Instant) -> Result<(), Shortage> {
        self.make_room(piece.len(), until).await?;
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Reserves room for more bytes. The buffer grows by half, so that pieces of one byte cost hardly more than that.
    pub async fn make_room(&mut self, more: usize, until: Instant) -> Result<(), Shortage> {
        let needed = self.bytes.len() + more;
        let reserved = self.reservation.bytes() as usize;
        if needed > reserved {
            let grown = (reserved + reserved / 2).max(FIRST_BYTES).min(self.expected).max(needed);
            self.reservation.grow((grown - reserved) as u64, until).await?;
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        Ok(())
    }

    /// Returns the reservation.
    pub fn reservation(&self) -> &Reservation {
        &self.reservation
    }

    /// Returns the buffer, to be filled within the room that was made, and the reservation.
    pub fn parts_mut(&mut self) -> (&mut Vec<u8>, &Reservation) {
        (&mut self.bytes, &self.reservation)
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Marks the bytes as whole.
    pub fn finish(&mut self) {
        self.reservation.finish();
    }

    /// Returns the bytes without a copy; the reservation lasts as long as any part of them.
    pub fn into_bytes(mut self) -> Bytes {
        self.finish();
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
