//! Conversion between wire messages and the Raft messages of the coordination crate.

use bilberryloft_coordination::raft::Append;
use bilberryloft_coordination::raft::AppendReply;
use bilberryloft_coordination::raft::InstallSnapshot;
use bilberryloft_coordination::raft::Message;
use bilberryloft_coordination::raft::VoteReply;
use bilberryloft_coordination::raft::VoteRequest;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::Payload;
use bilberryloft_state::wal::encode_members;

use crate::wire;

/// Converts a Raft message to its wire form.
pub fn raft_to_wire(message: Message) -> wire::RaftMessage {
    match message {
        Message::VoteRequest(it) => wire::RaftMessage::VoteRequest(wire::VoteRequest {
            term: it.term as i64,
            candidate: it.candidate as i32,
            last_index: it.last_index as i64,
            last_term: it.last_term as i64,
            pre_vote: it.pre_vote,
        }),
        Message::VoteReply(it) => wire::RaftMessage::VoteReply(wire::VoteReply {
            term: it.term as i64,
            voter: it.voter as i32,
            granted: it.granted,
            pre_vote: it.pre_vote,
        }),
        Message::Append(it) => wire::RaftMessage::Append(wire::Append {
            term: it.term as i64,
            leader: it.leader as i32,
            previous_index: it.previous_index as i64,
            previous_term: it.previous_term as i64,
            entries: it.entries.into_iter().map(entry_to_wire).collect(),
            commit_index: it.commit_index as i64,
            round: it.round as i64,
            last_index: it.last_index as i64,
        }),
        Message::AppendReply(it) => wire::RaftMessage::AppendReply(wire::AppendReply {
            term: it.term as i64,
            follower: it.follower as i32,
            success: it.success,
            match_index: it.match_index as i64,
            round: it.round as i64,
        }),
        Message::InstallSnapshot(it) => wire::RaftMessage::InstallSnapshot(wire::InstallSnapshot {
            term: it.term as i64,
            leader: it.leader as i32,
            last_index: it.snapshot.last_index as i64,
            last_term: it.snapshot.last_term as i64,
            members: encode_members(&it.snapshot.members),
            data: it.snapshot.data,
            round: it.round as i64,
            leader_last_index: it.last_index as i64,
        }),
    }
}

fn entry_to_wire(entry: LogEntry) -> wire::LogEntry {
    let (command, members) = match entry.payload {
        Payload::Command(command) => (command, None),
        Payload::Members(members) => (Vec::new(), Some(encode_members(&members))),
    };
    wire::LogEntry { term: entry.term as i64, index: entry.index as i64, command, members }
}

/// Converts a Raft message from its wire form; `None` if a member set in it can't be decoded.
pub fn raft_from_wire(message: wire::RaftMessage) -> Option<Message> {
    let message = match message {
        wire::RaftMessage::VoteRequest(it) => Message::VoteRequest(VoteRequest {
            term: it.term as u64,
            candidate: it.candidate as u32,
            last_index: it.last_index as u64,
            last_term: it.last_term as u64,
            pre_vote: it.pre_vote,
        }),
        wire::RaftMessage::VoteReply(it) => Message::VoteReply(VoteReply {
            term: it.term as u64,
            voter: it.voter as u32,
            granted: it.granted,
            pre_vote: it.pre_vote,
        }),
        wire::RaftMessage::Append(it) => Message::Append(append_from_wire(it)?),
        wire::RaftMessage::AppendReply(it) => Message::AppendReply(AppendReply {
            term: it.term as u64,
            follower: it.follower as u32,
            success: it.success,
            match_index: it.match_index as u64,
            round: it.round as u64,
        }),
        wire::RaftMessage::InstallSnapshot(it) => Message::InstallSnapshot(InstallSnapshot {
            term: it.term as u64,
            leader: it.leader as u32,
            snapshot: Snapshot {
                last_index: it.last_index as u64,
                last_term: it.last_term as u64,
                members: serde_json::from_slice(&it.members).ok()?,
                data: it.data,
            },
            last_index: it.leader_last_index as u64,
            round: it.round as u64,
        }),
    };
    Some(message)
}

fn append_from_wire(append: wire::Append) -> Option<Append> {
    let entries = append.entries.into_iter().map(entry_from_wire).collect::<Option<_>>()?;
    Some(Append {
        term: append.term as u64,
        leader: append.leader as u32,
        previous_index: append.previous_index as u64,
        previous_term: append.previous_term as u64,
        entries,
        commit_index: append.commit_index as u64,
        last_index: append.last_index as u64,
        round: append.round as u64,
    })
}

fn entry_from_wire(entry: wire::LogEntry) -> Option<LogEntry> {
    let payload = match entry.members {
        Some(bytes) => Payload::Members(serde_json::from_slice::<MemberSet>(&bytes).ok()?),
        None => Payload::Command(entry.command),
    };
    Some(LogEntry { term: entry.term as u64, index: entry.index as u64, payload })
}
