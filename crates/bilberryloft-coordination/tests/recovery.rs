//! A member that has lost its disk: what it waits for, and in which order it records that it may vote again.
#![allow(clippy::unwrap_used)]

use bilberryloft_coordination::raft::Append;
use bilberryloft_coordination::raft::AppendReply;
use bilberryloft_coordination::raft::InitialState;
use bilberryloft_coordination::raft::Message;
use bilberryloft_coordination::raft::Options;
use bilberryloft_coordination::raft::Output;
use bilberryloft_coordination::raft::Raft;
use bilberryloft_coordination::raft::Recovery;
use bilberryloft_state::wal::HardState;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::Payload;
use bilberryloft_state::wal::WalRecord;

/// Term of the leader.
const TERM: u64 = 4;
/// Id of the leader.
const LEADER: u32 = 1;

/// Starts a member with an empty disk at the given time.
fn started(now_ms: u64) -> Raft {
    let initial = InitialState { member: 2, seed: 9, now_ms, ..InitialState::default() };
    Raft::new(Options::default(), initial)
}

/// Entries up to an index, from the first one on.
fn append(last_index: u64, recovery: Option<Recovery>) -> Append {
    let payload = || Payload::Command(Vec::new());
    let entries = (1..=last_index).map(|index| LogEntry { term: TERM, index, payload: payload() });
    Append {
        term: TERM,
        leader: LEADER,
        previous_index: 0,
        previous_term: 0,
        entries: entries.collect(),
        commit_index: last_index,
        last_index,
        round: 1,
        recovery,
    }
}

/// Handles a message of the leader; returns what the member does, with its answer.
fn receive(raft: &mut Raft, append: Append) -> (Output, AppendReply) {
    raft.receive(Message::Append(append), 2_000);
    let output = raft.take_output();
    let sent = output.now.iter().chain(&output.after_sync).next().unwrap();
    let Message::AppendReply(reply) = sent.message.clone() else { panic!("no answer") };
    (output, reply)
}

fn confirmation(nonce: u64, index: u64) -> Option<Recovery> {
    Some(Recovery { nonce, index })
}

// Guards against a confirmation that was made for an earlier start and arrives late.
#[test]
fn confirmation_for_an_earlier_start_is_ignored() {
    let (_, reply) = receive(&mut started(1_000), append(1, confirmation(0, 0)));
    let earlier = reply.nonce.unwrap();
    let mut raft = started(1_001);
    let (_, reply) = receive(&mut raft, append(3, confirmation(earlier, 2)));
    assert!(!raft.may_vote());
    assert!(reply.nonce.is_some_and(|it| it != earlier));
}

// Guards against a vote before the log has reached what the leader has committed since the start.
#[test]
fn member_votes_again_at_the_confirmed_index_only() {
    let mut raft = started(1_000);
    let (_, reply) = receive(&mut raft, append(1, confirmation(0, 0)));
    let nonce = reply.nonce.unwrap();
    let (_, reply) = receive(&mut raft, append(4, confirmation(nonce, 5)));
    assert!(!raft.may_vote() && !reply.may_vote);
    let (_, reply) = receive(&mut raft, append(5, confirmation(nonce, 5)));
    assert!(raft.may_vote() && reply.may_vote);
    assert_eq!(reply.nonce, None);
}

// Guards against a member that may vote without its entries, or a second time in the term, after a loss of power.
#[test]
fn vote_is_recorded_as_given_to_the_leader_after_the_entries() {
    let mut raft = started(1_000);
    raft.receive(
        Message::Append(Append { previous_index: 9, previous_term: 3, ..append(0, None) }),
        1_500,
    );
    let _ = raft.take_output();
    let (_, reply) = receive(&mut raft, append(1, confirmation(0, 0)));
    let nonce = reply.nonce.unwrap();
    let (output, _) = receive(&mut raft, append(3, confirmation(nonce, 2)));
    let markers = output.records.iter().filter(|it| **it == WalRecord::MayVote);
    assert_eq!(markers.count(), 1);
    let vote = HardState { term: TERM, vote: Some(LEADER) };
    let tail = &output.records[output.records.len() - 2..];
    assert_eq!(tail, [WalRecord::HardState(vote), WalRecord::MayVote]);
    assert!(output.after_sync.len() == 1 && output.now.is_empty());
}
