//! Conversion between wire messages and the types of the coordination crate.

use bilberryloft_coordination::document_transfer::Part;
use bilberryloft_coordination::document_transfer::PartRequest;
use bilberryloft_coordination::raft::Append;
use bilberryloft_coordination::raft::AppendReply;
use bilberryloft_coordination::raft::InstallSnapshot;
use bilberryloft_coordination::raft::Message;
use bilberryloft_coordination::raft::Recovery;
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
        Message::VoteRequest(request) => wire::RaftMessage::VoteRequest(wire::VoteRequest {
            term: request.term.cast_signed(),
            candidate: request.candidate.cast_signed(),
            last_index: request.last_index.cast_signed(),
            last_term: request.last_term.cast_signed(),
            pre_vote: request.pre_vote,
        }),
        Message::VoteReply(reply) => wire::RaftMessage::VoteReply(wire::VoteReply {
            term: reply.term.cast_signed(),
            voter: reply.voter.cast_signed(),
            granted: reply.granted,
            pre_vote: reply.pre_vote,
        }),
        Message::Append(append) => wire::RaftMessage::Append(wire::Append {
            term: append.term.cast_signed(),
            leader: append.leader.cast_signed(),
            previous_index: append.previous_index.cast_signed(),
            previous_term: append.previous_term.cast_signed(),
            entries: append.entries.into_iter().map(entry_to_wire).collect(),
            commit_index: append.commit_index.cast_signed(),
            round: append.round.cast_signed(),
            last_index: append.last_index.cast_signed(),
            recovery_nonce: append.recovery.map(|it| it.nonce.cast_signed()),
            recovery_index: append.recovery.map(|it| it.index.cast_signed()),
        }),
        Message::AppendReply(reply) => wire::RaftMessage::AppendReply(wire::AppendReply {
            term: reply.term.cast_signed(),
            follower: reply.follower.cast_signed(),
            success: reply.success,
            match_index: reply.match_index.cast_signed(),
            round: reply.round.cast_signed(),
            may_vote: Some(reply.may_vote),
            nonce: reply.nonce.map(|it| it.cast_signed()),
        }),
        Message::InstallSnapshot(install) => {
            wire::RaftMessage::InstallSnapshot(wire::InstallSnapshot {
                term: install.term.cast_signed(),
                leader: install.leader.cast_signed(),
                last_index: install.snapshot.last_index.cast_signed(),
                last_term: install.snapshot.last_term.cast_signed(),
                members: encode_members(&install.snapshot.members),
                data: install.snapshot.data,
                round: install.round.cast_signed(),
                leader_last_index: install.last_index.cast_signed(),
            })
        }
    }
}

fn entry_to_wire(entry: LogEntry) -> wire::LogEntry {
    let (command, members) = match entry.payload {
        Payload::Command(command) => (command, None),
        Payload::Members(members) => (Vec::new(), Some(encode_members(&members))),
    };
    wire::LogEntry {
        term: entry.term.cast_signed(),
        index: entry.index.cast_signed(),
        command,
        members,
    }
}

/// Converts a Raft message from its wire form; `None` if a member set in it can't be decoded.
pub fn raft_from_wire(message: wire::RaftMessage) -> Option<Message> {
    let message = match message {
        wire::RaftMessage::VoteRequest(request) => Message::VoteRequest(VoteRequest {
            term: request.term.cast_unsigned(),
            candidate: request.candidate.cast_unsigned(),
            last_index: request.last_index.cast_unsigned(),
            last_term: request.last_term.cast_unsigned(),
            pre_vote: request.pre_vote,
        }),
        wire::RaftMessage::VoteReply(reply) => Message::VoteReply(VoteReply {
            term: reply.term.cast_unsigned(),
            voter: reply.voter.cast_unsigned(),
            granted: reply.granted,
            pre_vote: reply.pre_vote,
        }),
        wire::RaftMessage::Append(append) => Message::Append(append_from_wire(append)?),
        wire::RaftMessage::AppendReply(reply) => Message::AppendReply(AppendReply {
            term: reply.term.cast_unsigned(),
            follower: reply.follower.cast_unsigned(),
            success: reply.success,
            match_index: reply.match_index.cast_unsigned(),
            round: reply.round.cast_unsigned(),
            // Members of an earlier version don't say it.
            may_vote: reply.may_vote.unwrap_or(true),
            nonce: reply.nonce.map(|it| it.cast_unsigned()),
        }),
        wire::RaftMessage::InstallSnapshot(install) => Message::InstallSnapshot(InstallSnapshot {
            term: install.term.cast_unsigned(),
            leader: install.leader.cast_unsigned(),
            snapshot: Snapshot {
                last_index: install.last_index.cast_unsigned(),
                last_term: install.last_term.cast_unsigned(),
                members: serde_json::from_slice(&install.members).ok()?,
                data: install.data,
            },
            last_index: install.leader_last_index.cast_unsigned(),
            round: install.round.cast_unsigned(),
        }),
    };
    Some(message)
}

fn append_from_wire(append: wire::Append) -> Option<Append> {
    let nonce_and_index = append.recovery_nonce.zip(append.recovery_index);
    let recovery = nonce_and_index.map(|(nonce, index)| Recovery {
        nonce: nonce.cast_unsigned(),
        index: index.cast_unsigned(),
    });
    let entries = append.entries.into_iter().map(entry_from_wire).collect::<Option<_>>()?;
    Some(Append {
        term: append.term.cast_unsigned(),
        leader: append.leader.cast_unsigned(),
        previous_index: append.previous_index.cast_unsigned(),
        previous_term: append.previous_term.cast_unsigned(),
        entries,
        commit_index: append.commit_index.cast_unsigned(),
        last_index: append.last_index.cast_unsigned(),
        round: append.round.cast_unsigned(),
        recovery,
    })
}

fn entry_from_wire(entry: wire::LogEntry) -> Option<LogEntry> {
    let payload = match entry.members {
        Some(bytes) => Payload::Members(serde_json::from_slice::<MemberSet>(&bytes).ok()?),
        None => Payload::Command(entry.command),
    };
    Some(LogEntry { term: entry.term.cast_unsigned(), index: entry.index.cast_unsigned(), payload })
}

/// Converts a length or position, which no message lets grow near the bound, to its wire form.
fn wire_length(length: usize) -> i64 {
    i64::try_from(length).unwrap_or(i64::MAX)
}

/// Converts a part of a document's patch to its wire form.
pub fn part_to_wire(part: Part) -> wire::DocumentPart {
    wire::DocumentPart {
        base_version: part.base_version.cast_signed(),
        version: part.version.cast_signed(),
        checksum: i64::from(part.checksum),
        length_bytes: wire_length(part.length),
        offset_bytes: wire_length(part.offset),
        data: part.data,
    }
}

/// Converts a part of a document's patch from its wire form; `None` if a number is out of range.
pub fn part_from_wire(part: wire::DocumentPart) -> Option<Part> {
    Some(Part {
        base_version: part.base_version.cast_unsigned(),
        version: part.version.cast_unsigned(),
        checksum: u32::try_from(part.checksum).ok()?,
        length: usize::try_from(part.length_bytes).ok()?,
        offset: usize::try_from(part.offset_bytes).ok()?,
        data: part.data,
    })
}

/// Converts the version of a document to its wire form: the number, 0 if there is none, and whether 0 is a version. Hosts
/// of an earlier version know only the number, and no version 0.
pub fn version_to_wire(version: Option<u64>) -> (i64, Option<bool>) {
    (version.unwrap_or(0).cast_signed(), (version == Some(0)).then_some(true))
}

/// Converts the version of a document from its wire form; `None` if there is none.
pub fn version_from_wire(number: i64, is_version_zero: Option<bool>) -> Option<u64> {
    (number != 0 || is_version_zero == Some(true)).then_some(number.cast_unsigned())
}

/// Converts a request for a part of a document's patch to its wire form.
pub fn part_request_to_wire(request: PartRequest) -> wire::ReadDocument {
    let (held_version, holds_version_zero) = version_to_wire(request.held_version);
    let (version, continues_version_zero) = version_to_wire(request.version);
    wire::ReadDocument {
        held_version,
        version,
        offset_bytes: wire_length(request.offset),
        holds_version_zero,
        continues_version_zero,
    }
}

/// Converts a request for a part of a document's patch from its wire form; `None` if a number is out of range.
pub fn part_request_from_wire(request: &wire::ReadDocument) -> Option<PartRequest> {
    Some(PartRequest {
        held_version: version_from_wire(request.held_version, request.holds_version_zero),
        version: version_from_wire(request.version, request.continues_version_zero),
        offset: usize::try_from(request.offset_bytes).ok()?,
    })
}
