//! Compression of long encoded values: commands of the log, snapshots and transfers of documents.

use std::borrow::Cow;
use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// First byte of a compressed value. No JSON text begins with it.
const COMPRESSED: u8 = 1;
/// Shortest value that is compressed, in bytes.
const LENGTH_MIN: usize = 4 << 10;
/// Longest value that is decompressed, in bytes; longer ones are refused.
const LENGTH_MAX: u64 = 256 << 20;

/// Compresses a JSON text if it is long; short ones are returned as they are.
pub fn pack(text: Vec<u8>) -> Vec<u8> {
    if text.len() < LENGTH_MIN {
        return text;
    }
    let mut encoder = DeflateEncoder::new(vec![COMPRESSED], Compression::fast());
    // Writing to memory can't fail; if it did, the text would be sent as it is.
    let packed = encoder.write_all(&text).and_then(|()| encoder.finish());
    packed.unwrap_or(text)
}

/// Returns the text that was given to [`pack`]; `None` if the bytes are damaged or the text is too long.
pub fn unpack(bytes: &[u8]) -> Option<Cow<'_, [u8]>> {
    let Some((&COMPRESSED, compressed)) = bytes.split_first() else {
        return Some(Cow::Borrowed(bytes));
    };
    let mut text = Vec::new();
    DeflateDecoder::new(compressed).take(LENGTH_MAX).read_to_end(&mut text).ok()?;
    ((text.len() as u64) < LENGTH_MAX).then_some(Cow::Owned(text))
}

/// Encodes a value as JSON and compresses it if it is long.
pub fn encode<T: serde::Serialize>(value: &T) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(value).map(pack)
}

/// Decodes a value of [`encode`], or one in JSON without compression.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> serde_json::Result<T> {
    match unpack(bytes) {
        Some(text) => serde_json::from_slice(&text),
        None => Err(serde::de::Error::custom("the compressed value is damaged or too long")),
    }
}
