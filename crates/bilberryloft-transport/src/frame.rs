//! Reading and writing frames on a connection.

use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberryloft_protocol::codec::FRAME_HEADER_BYTES;
use bilberryloft_protocol::codec::FRAME_MAX_BYTES;
use bilberryloft_protocol::codec::decode_envelope;
use bilberryloft_protocol::wire::Envelope;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::account::Account;
use crate::account::Holder;
use crate::account::Purpose;
use crate::account::Shortage;
use crate::held_bytes::HeldBytes;

/// Capacity of a connection's queue of outgoing frames; senders wait while the queue is full.
pub const OUTGOING_FRAMES_MAX: usize = 1_024;
/// Bytes by which the buffer of a frame grows at first.
const FRAME_STEP_BYTES: usize = 4 << 10;
/// Time for which a frame waits for memory. Peers repeat their calls after about a second.
const ROOM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest number of frames in one write.
const WRITE_BATCH_FRAMES: usize = 256;

/// What has arrived on a connection, by which a slow answer is told from none.
#[derive(Debug, Default)]
pub struct Progress {
    received_bytes: AtomicU64,
    is_within_frame: AtomicBool,
}

impl Progress {
    /// Returns the bytes of frames that have arrived so far.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// Returns whether a frame is arriving of which more has come since the given number of bytes.
    pub fn is_arriving_since(&self, received_bytes: u64) -> bool {
        self.is_within_frame.load(Ordering::Relaxed) && self.received_bytes() > received_bytes
    }
}

/// Limits on a frame that is read from a peer that may be anybody.
#[derive(Clone, Debug)]
pub struct FrameLimits {
    /// Largest frame.
    pub bytes_max: usize,
    /// Account that is charged for the frame.
    pub account: Arc<Account>,
    /// Peer that sends it.
    pub holder: Holder,
}

/// Reads one envelope; `None` if the connection ends before a complete frame header.
///
/// Fails with [`Error::Network`] if reading fails, and with [`Error::Protocol`] if the frame is too large or can't be
/// decoded.
pub async fn read_envelope(
    reader: &mut (impl AsyncRead + Unpin),
    peer: &str,
) -> Result<Option<Envelope>> {
    read_with_progress(reader, peer, &Progress::default()).await
}

/// Like [`read_envelope`], and records what arrives.
pub async fn read_with_progress(
    reader: &mut (impl AsyncRead + Unpin),
    peer: &str,
    progress: &Progress,
) -> Result<Option<Envelope>> {
    let mut header = [0; FRAME_HEADER_BYTES];
    match reader.read_exact(&mut header).await {
        Ok(_) => {}
        Err(error) if error.kind() == ErrorKind::UnexpectedEof => return Ok(None),
        Err(error) => return Err(Error::network("read a frame", peer, error)),
    }
    let length = u32::from_be_bytes(header) as usize;
    if length > FRAME_MAX_BYTES {
        let detail =
            format!("a frame of {length} bytes exceeds the limit of {FRAME_MAX_BYTES} bytes");
        return Err(Error::protocol("read a frame", peer, detail));
    }
    // Memory is taken as bytes arrive: a length may be announced and not sent.
    let mut bytes = Vec::with_capacity(length.min(FRAME_STEP_BYTES));
    progress.is_within_frame.store(true, Ordering::Relaxed);
    while bytes.len() < length {
        let room = length - bytes.len();
        let count = read_piece(reader, &mut bytes, room, peer).await?;
        progress.received_bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
    progress.is_within_frame.store(false, Ordering::Relaxed);
    decode_envelope(&bytes, peer).map(Some)
}

/// Reads one envelope like [`read_envelope`]. Memory is reserved as bytes arrive, and the frame is dropped if it is the
/// largest unfinished one when memory is short.
///
/// Also fails if the frame is dropped or there is no memory for it.
pub async fn read_limited(
    reader: &mut (impl AsyncRead + Unpin),
    peer: &str,
    limits: &FrameLimits,
) -> Result<Option<Envelope>> {
    let mut header = [0; FRAME_HEADER_BYTES];
    match reader.read_exact(&mut header).await {
        Ok(_) => {}
        Err(error) if error.kind() == ErrorKind::UnexpectedEof => return Ok(None),
        Err(error) => return Err(Error::network("read a frame", peer, error)),
    }
    let length = u32::from_be_bytes(header) as usize;
    if length > limits.bytes_max {
        let detail =
            format!("a frame of {length} bytes exceeds the limit of {} bytes", limits.bytes_max);
        return Err(Error::protocol("read a frame", peer, detail));
    }
    let reservation = limits.account.open_unfinished(Purpose::Frame, limits.holder.clone());
    let mut held = HeldBytes::new(reservation, length);
    let short = |it: Shortage| Error::protocol("read a frame", peer, it.to_string());
    while held.len() < length {
        let room = (length - held.len()).min(FRAME_STEP_BYTES);
        held.make_room(room, Instant::now() + ROOM_TIMEOUT).await.map_err(short)?;
        let (buffer, reservation) = held.parts_mut();
        let room = (length - buffer.len()).min(buffer.capacity() - buffer.len());
        tokio::select! {
            read = read_piece(reader, buffer, room, peer) => drop(read?),
            () = reservation.evicted() => return Err(short(Shortage::Dropped)),
        }
    }
    held.finish();
    decode_envelope(held.as_ref(), peer).map(Some)
}

/// Appends at most `room` bytes of a frame to a buffer.
async fn read_piece(
    reader: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
    room: usize,
    peer: &str,
) -> Result<usize> {
    let count = match reader.take(room as u64).read_buf(buffer).await {
        Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
        other => other,
    };
    count.map_err(|it| Error::network("read a frame", peer, it))
}

/// Writes queued frames, in batches, until the queue is closed or a write fails.
pub async fn write_frames(mut writer: impl AsyncWrite + Unpin, mut queue: mpsc::Receiver<Vec<u8>>) {
    let mut frames = Vec::with_capacity(WRITE_BATCH_FRAMES);
    while queue.recv_many(&mut frames, WRITE_BATCH_FRAMES).await > 0 {
        let bytes = match frames.len() {
            1 => std::mem::take(&mut frames[0]),
            _ => frames.concat(),
        };
        frames.clear();
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
    let _ = writer.shutdown().await;
}
