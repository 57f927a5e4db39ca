//! Bytes that arrive piece by piece, in blocks that an account is charged for, and the body that sends them on.
//!
//! Blocks don't grow, and have few sizes: a buffer that is moved again and again as it grows leaves gaps that take as much
//! memory as the buffers themselves.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::time::Instant;

use crate::account::Reservation;
use crate::account::Shortage;

/// Sizes of the first block, the second one and all others, in bytes.
const BLOCK_BYTES: [usize; 3] = [4 << 10, 16 << 10, 64 << 10];

/// Blocks with their reservation.
#[derive(Debug)]
pub struct HeldBlocks {
    blocks: Vec<Vec<u8>>,
    bytes: usize,
    reservation: Reservation,
    /// Number of bytes beyond which no block is made without need.
    expected: usize,
}

impl HeldBlocks {
    /// Creates a value without blocks for at most `expected` bytes. Memory is reserved as bytes arrive.
    pub fn new(reservation: Reservation, expected: usize) -> HeldBlocks {
        HeldBlocks { blocks: Vec::new(), bytes: 0, reservation, expected }
    }

    /// Appends bytes after room for them has been reserved.
    pub async fn push(&mut self, piece: &[u8], until: Instant) -> Result<(), Shortage> {
        let mut rest = piece;
        while !rest.is_empty() {
            let room = self.blocks.last().map_or(0, |it| it.capacity() - it.len());
            let (now, later) = rest.split_at(room.min(rest.len()));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(now);
            }
            self.bytes += now.len();
            rest = later;
            if !rest.is_empty() {
                self.add_block(rest.len(), until).await?;
            }
        }
        Ok(())
    }

    async fn add_block(&mut self, needed: usize, until: Instant) -> Result<(), Shortage> {
        let size = BLOCK_BYTES[self.blocks.len().min(BLOCK_BYTES.len() - 1)];
        let expected = self.expected.saturating_sub(self.bytes).max(needed);
        let size = size.min(expected);
        self.reservation.grow(size as u64, until).await?;
        self.blocks.push(Vec::with_capacity(size));
        Ok(())
    }

    /// Returns the reservation.
    pub fn reservation(&self) -> &Reservation {
        &self.reservation
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Returns the bytes as a body without a copy; the reservation lasts as long as any part of them.
    pub fn into_body(mut self) -> HeldBody {
        self.reservation.finish();
        let reservation = Arc::new(self.reservation);
        let block = |bytes| Bytes::from_owner(Block { bytes, _reservation: reservation.clone() });
        HeldBody { blocks: self.blocks.into_iter().map(block).collect() }
    }

    /// Returns the bytes in one buffer; the reservation lasts as long as any part of them.
    pub fn into_bytes(mut self) -> Bytes {
        self.reservation.finish();
        let bytes = match self.blocks.len() {
            0 => return Bytes::new(),
            1 => self.blocks.remove(0),
            _ => self.blocks.concat(),
        };
        Bytes::from_owner(Block { bytes, _reservation: Arc::new(self.reservation) })
    }
}

/// One block of a body.
struct Block {
    bytes: Vec<u8>,
    _reservation: Arc<Reservation>,
}

impl AsRef<[u8]> for Block {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Body of a whole answer in blocks.
#[derive(Debug)]
pub struct HeldBody {
    blocks: VecDeque<Bytes>,
}

impl HeldBody {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.blocks.iter().map(Bytes::len).sum()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.blocks.pop_front().map(|it| Ok(Frame::data(it))))
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len() as u64)
    }
}
