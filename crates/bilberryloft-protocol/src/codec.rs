//! Encoding of envelopes as frames: a length, then one envelope in Thrift's compact protocol.

use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use thrift::TConfiguration;
use thrift::protocol::TCompactInputProtocol;
use thrift::protocol::TCompactOutputProtocol;
use thrift::protocol::TSerializable;

use crate::wire::Body;
use crate::wire::Envelope;

/// Size of the frame header: the length of the envelope, as a big-endian number.
pub const FRAME_HEADER_BYTES: usize = 4;
/// Largest envelope in bytes; a snapshot of a state machine with the largest number of claims fits.
pub const FRAME_MAX_BYTES: usize = 64 << 20;

/// Encodes an envelope as a frame, with its length in the header.
pub fn encode_frame(call_id: i64, body: Body) -> Vec<u8> {
    let mut frame = vec![0; FRAME_HEADER_BYTES];
    let envelope = Envelope::new(call_id, body);
    let mut protocol = TCompactOutputProtocol::new(&mut frame);
    // Writing to memory fails only if there is not enough of it.
    if envelope.write_to_out_protocol(&mut protocol).is_err() {
        return Vec::new();
    }
    drop(protocol);
    let length = (frame.len() - FRAME_HEADER_BYTES) as u32;
    frame[..FRAME_HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
    frame
}

/// Decodes the envelope of a frame, without the frame header.
///
/// Fails with [`Error::Protocol`] if the bytes are not a valid envelope.
pub fn decode_envelope(bytes: &[u8], peer: &str) -> Result<Envelope> {
    decode_message(bytes, peer)
}

/// Encodes a message without a frame, for a datagram.
pub fn encode_message(message: &impl TSerializable) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut protocol = TCompactOutputProtocol::new(&mut bytes);
    // Writing to memory fails only if there is not enough of it.
    if message.write_to_out_protocol(&mut protocol).is_err() {
        return Vec::new();
    }
    drop(protocol);
    bytes
}

/// Decodes a message without a frame.
///
/// Fails with [`Error::Protocol`] if the bytes are not a valid message of this type.
pub fn decode_message<T: TSerializable>(bytes: &[u8], peer: &str) -> Result<T> {
    let limits = TConfiguration::builder()
        .max_message_size(Some(FRAME_MAX_BYTES))
        .max_frame_size(Some(FRAME_MAX_BYTES))
        .max_string_size(Some(bytes.len()))
        .max_container_size(Some(bytes.len()))
        .build()
        .map_err(|it| Error::protocol("decode", peer, it.to_string()))?;
    let mut protocol = TCompactInputProtocol::with_config(bytes, limits);
    T::read_from_in_protocol(&mut protocol)
        .map_err(|it| Error::protocol("decode", peer, it.to_string()))
}

/// Name of a message body's type, for logs and errors.
pub fn body_name(body: &Body) -> &'static str {
    match body {
        Body::Hello(_) => "hello",
        Body::Dispatch(_) => "dispatch",
        Body::Head(_) => "head",
        Body::Piece(_) => "piece",
        Body::Complete(_) => "complete",
        Body::Refused(_) => "refused",
        Body::Cancel(_) => "cancel",
        Body::Attach(_) => "attach",
        Body::VoidAttempt(_) => "void",
        Body::VoidReply(_) => "void_reply",
        Body::Explain(_) => "explain",
        Body::Records(_) => "records",
        Body::StoreRecords(_) => "store_records",
        Body::Watch(_) => "watch",
        Body::Update(_) => "update",
        Body::Announce(_) => "announce",
        Body::AnnounceReply(_) => "announce_reply",
        Body::Propose(_) => "propose",
        Body::ProposeReply(_) => "propose_reply",
        Body::ReadIndex(_) => "read_index",
        Body::ReadIndexReply(_) => "read_index_reply",
        Body::Raft(_) => "raft",
        Body::Fault(_) => "fault",
        Body::Done(_) => "done",
        Body::Status(_) => "status",
        Body::StatusReply(_) => "status_reply",
        Body::Join(_) => "join",
        Body::LeaveReply(_) => "leave_reply",
        Body::Redirect(_) => "redirect",
        Body::TargetRead(_) => "target_read",
        Body::TargetBodies(_) => "target_bodies",
        Body::RankRead(_) => "rank_read",
        Body::RankState(_) => "rank_state",
        Body::RankPrepare(_) => "rank_prepare",
        Body::RankPrepared(_) => "rank_prepared",
        Body::ReadDocument(_) => "read_document",
        Body::DocumentPart(_) => "document_part",
    }
}
