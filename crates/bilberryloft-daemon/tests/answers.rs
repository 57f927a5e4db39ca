//! Cutting streams into events and holding answers, under any cut of the bytes and any pace of the readers.
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

#[test]
fn events_are_the_same_however_the_bytes_are_cut() {
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
        let cut = split(&chunks);
        let joined: Vec<u8> = cut.iter().flat_map(|it| it.to_vec()).collect();
        cut == whole && joined == text.as_bytes()
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

/// Reads a held answer to its end and returns its pieces.
async fn read_all(held: &AnswerBuffer, from_sequence: u32) -> Vec<u8> {
    let mut changes = held.changes();
    let mut cursor = held.subscribe(from_sequence);
    let mut read = Vec::new();
    loop {
        changes.mark_unchanged();
        loop {
            match held.next(&mut cursor) {
                ReadResult::Piece(_, piece) => read.extend_from_slice(&piece),
                ReadResult::Head(_) => {}
                ReadResult::End(..) | ReadResult::Dropped => {
                    held.unsubscribe(cursor, 0);
                    return read;
                }
                ReadResult::Pending => break,
            }
        }
        changes.changed().await.unwrap();
    }
}

#[tokio::test]
async fn held_answer_reaches_a_slow_reader_whole_within_its_bound() {
    let held = Arc::new(AnswerBuffer::new("asahikawa", false, 256));
    let reader = tokio::spawn({
        let held = held.clone();
        async move { read_all(&held, 0).await }
    });
    tokio::task::yield_now().await;
    held.set_head(AnswerHead { status: 200, headers: Vec::new() });
    let mut written = Vec::new();
    for number in 0..1_000_u32 {
        let piece = Bytes::from(format!("{number};"));
        written.extend_from_slice(&piece);
        held.push(piece).await;
        assert!(held.held_bytes() <= 256);
    }
    held.end(AttemptOutcome::Complete, 0);
    assert_eq!(reader.await.unwrap(), written);
}

#[tokio::test]
async fn held_answer_without_readers_keeps_its_latest_part() {
    let held = AnswerBuffer::new("asahikawa", true, 64);
    held.set_head(AnswerHead { status: 200, headers: Vec::new() });
    for _ in 0..100 {
        held.push(Bytes::from_static(b"0123456789")).await;
    }
    held.end(AttemptOutcome::Complete, 0);
    assert_eq!(read_all(&held, 94).await.len(), 60);
    assert_eq!(read_all(&held, 0).await.len(), 0, "what is gone is said to be gone, not skipped");
}
