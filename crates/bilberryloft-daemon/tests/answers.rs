//! Splitting of SSE streams into events and buffering of answers, for any chunking and any speed of the readers.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use bilberryloft_daemon::agent::AnswerBuffer;
use bilberryloft_daemon::agent::AnswerHead;
use bilberryloft_daemon::agent::AttemptOutcome;
use bilberryloft_daemon::agent::ReadResult;
use bilberryloft_daemon::agent::SseSplitter;
use bytes::Bytes;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Guards against events that depend on where the chunks of a stream begin and end, for example when a line end
/// is split between two chunks, and against lost bytes.
#[test]
fn sse_splitter_events_do_not_depend_on_chunks() {
    fn property(lines: Vec<u8>, cuts: Vec<u8>) -> bool {
        let parts = ["data: a", "\n", "\n\n", "\r\n\r\n", "id: 7", "\r", ": x"];
        let text: String = lines.iter().map(|it| parts[usize::from(*it) % parts.len()]).collect();
        let whole = split(&[text.as_bytes()]);
        let mut chunks: Vec<&[u8]> = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts {
            let at = usize::from(cut) % (rest.len() + 1);
            let (first, second) = rest.split_at(at);
            chunks.push(first);
            rest = second;
        }
        chunks.push(rest);
        let from_chunks = split(&chunks);
        let joined: Vec<u8> = from_chunks.iter().flat_map(|it| it.to_vec()).collect();
        from_chunks == whole && joined == text.as_bytes()
    }
    let random = Gen::from_size_and_seed(60, 43);
    QuickCheck::new().rng(random).tests(3_000).quickcheck(property as fn(Vec<u8>, Vec<u8>) -> bool);
}

fn split(chunks: &[&[u8]]) -> Vec<Bytes> {
    let mut splitter = SseSplitter::default();
    let mut events: Vec<Bytes> = chunks.iter().flat_map(|it| splitter.push(it)).collect();
    events.extend(splitter.finish());
    events
}

/// Reads a buffered answer to its end, or up to a dropped piece, and returns the bytes of its pieces.
async fn read_all(buffer: &AnswerBuffer, from_sequence: u32) -> Vec<u8> {
    let mut changes = buffer.changes();
    let mut cursor = buffer.subscribe(from_sequence);
    let mut read = Vec::new();
    loop {
        changes.mark_unchanged();
        loop {
            match buffer.next(&mut cursor) {
                ReadResult::Piece(_, piece) => read.extend_from_slice(&piece),
                ReadResult::Head(_) => {}
                ReadResult::End(..) | ReadResult::Dropped => {
                    buffer.unsubscribe(cursor, 0);
                    return read;
                }
                ReadResult::Pending => break,
            }
        }
        changes.changed().await.unwrap();
    }
}

/// Guards against lost pieces and unbounded memory when a stream is written faster than it is read: the writer
/// must wait instead of exceeding the 256 bytes of the buffer.
#[tokio::test]
async fn answer_buffer_slow_reader_gets_whole_answer() {
    let buffer = Arc::new(AnswerBuffer::new("asahikawa", false, 256));
    let reader = tokio::spawn({
        let buffer = buffer.clone();
        async move { read_all(&buffer, 0).await }
    });
    tokio::task::yield_now().await;
    buffer.set_head(AnswerHead { status: 200, headers: Vec::new() });
    let mut written = Vec::new();
    for number in 0..1_000_u32 {
        let piece = Bytes::from(format!("{number};"));
        written.extend_from_slice(&piece);
        buffer.push(piece).await;
        assert!(buffer.held_bytes() <= 256);
    }
    buffer.end(AttemptOutcome::Complete, 0);
    assert_eq!(reader.await.unwrap(), written);
}

/// Guards against a gap in an answer: without readers the buffer of 64 bytes drops the oldest pieces, so a reader
/// that asks for one of these must get nothing, and one that asks for the last six must get all six.
#[tokio::test]
async fn answer_buffer_without_readers_keeps_latest_pieces() {
    let buffer = AnswerBuffer::new("asahikawa", true, 64);
    buffer.set_head(AnswerHead { status: 200, headers: Vec::new() });
    for _ in 0..100 {
        buffer.push(Bytes::from_static(b"0123456789")).await;
    }
    buffer.end(AttemptOutcome::Complete, 0);
    assert_eq!(read_all(&buffer, 94).await.len(), 60);
    assert_eq!(
        read_all(&buffer, 0).await.len(),
        0,
        "a dropped piece must end the read, not be skipped"
    );
}
