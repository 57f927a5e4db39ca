//! Reading and writing frames on a connection.

use std::io::ErrorKind;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

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

/// Capacity of a connection's queue of outgoing frames; senders wait while the queue is full.
pub const OUTGOING_FRAMES_MAX: usize = 1_024;
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
    let mut bytes = vec![0; length];
    progress.is_within_frame.store(true, Ordering::Relaxed);
    let mut filled = 0;
    while filled < length {
        let count = match reader.read(&mut bytes[filled..]).await {
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            other => other,
        };
        let count = count.map_err(|it| Error::network("read a frame", peer, it))?;
        progress.received_bytes.fetch_add(count as u64, Ordering::Relaxed);
        filled += count;
    }
    progress.is_within_frame.store(false, Ordering::Relaxed);
    decode_envelope(&bytes, peer).map(Some)
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
