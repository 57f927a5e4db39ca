//! Reading and writing frames on a connection.

use std::io::ErrorKind;

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

/// Reads one envelope; `None` if the connection ends before a complete frame header.
///
/// Fails with [`Error::Network`] if reading fails, and with [`Error::Protocol`] if the frame is too large or can't be
/// decoded.
pub async fn read_envelope(
    reader: &mut (impl AsyncRead + Unpin),
    peer: &str,
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
    reader.read_exact(&mut bytes).await.map_err(|it| Error::network("read a frame", peer, it))?;
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
