//! Encoding and decoding of frames: round trips, malformed input, and the largest snapshot.
#![allow(clippy::unwrap_used)]

use bilberryloft_coordination::raft::Append;
use bilberryloft_coordination::raft::AppendReply;
use bilberryloft_coordination::raft::InstallSnapshot;
use bilberryloft_coordination::raft::Message;
use bilberryloft_coordination::raft::Recovery;
use bilberryloft_protocol::codec::FRAME_HEADER_BYTES;
use bilberryloft_protocol::codec::FRAME_MAX_BYTES;
use bilberryloft_protocol::codec::decode_envelope;
use bilberryloft_protocol::codec::encode_frame;
use bilberryloft_protocol::convert::raft_from_wire;
use bilberryloft_protocol::convert::raft_to_wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::MemberMessage;
use bilberryloft_protocol::wire::Piece;
use bilberryloft_state::claim::CLAIMS_MAX;
use bilberryloft_state::claim::ClaimOutcome;
use bilberryloft_state::claim::ClaimSite;
use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_state::configuration::ChangeRequest;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::state_machine::StateMachine;
use quickcheck::Gen;
use quickcheck::QuickCheck;

#[test]
fn frame_round_trips() {
    fn property(call_id: i64, attempt: i32, sequence: i32, data: Vec<u8>) -> bool {
        let body = Body::Piece(Piece::new(attempt, sequence, data));
        let frame = encode_frame(call_id, body.clone());
        let envelope = decode_envelope(&frame[FRAME_HEADER_BYTES..], "peer").unwrap();
        envelope.call_id == call_id && envelope.body == body
    }
    let random = Gen::from_size_and_seed(300, 37);
    QuickCheck::new().rng(random).quickcheck(property as fn(i64, i32, i32, Vec<u8>) -> bool);
}

/// A peer can send any bytes. Decoding them must return an envelope or an error and never panic.
#[test]
fn frame_decoding_never_panics() {
    fn property(bytes: Vec<u8>, at: usize, value: u8) -> bool {
        let _ = decode_envelope(&bytes, "peer");
        let mut frame = encode_frame(7, Body::Piece(Piece::new(1, 2, bytes)));
        let at = FRAME_HEADER_BYTES + at % (frame.len() - FRAME_HEADER_BYTES);
        frame[at] = value;
        let _ = decode_envelope(&frame[FRAME_HEADER_BYTES..], "peer");
        true
    }
    let random = Gen::from_size_and_seed(400, 41);
    QuickCheck::new()
        .rng(random)
        .tests(20_000)
        .quickcheck(property as fn(Vec<u8>, usize, u8) -> bool);
}

/// A follower that is too far behind gets the snapshot in one frame. If that were too large, the follower could never
/// catch up.
#[test]
fn snapshot_of_a_full_state_machine_fits_in_a_frame() {
    let mut machine = StateMachine::default();
    for number in 0..CLAIMS_MAX as u64 {
        let site = ClaimSite {
            target: format!("forecast-writer-{}", number % 2_600),
            agent_address: "10.100.100.100:7402".to_string(),
            agent_incarnation: 1_796_330_957_045,
        };
        let request = format!("entry-kushiro-{}-1a23dab28f5-{number:x}", number % 320);
        let outcome = machine.claims.claim(
            &format!("team/key/{number}"),
            &request,
            i64::MIN,
            &site,
            1_796_330_957_045,
        );
        assert_eq!(outcome, ClaimOutcome::Granted { attempt: 1 });
    }
    for number in 0..29_000 {
        let kind = ChangeKind::SetTarget { name: format!("target-{number}"), draining: true };
        let request = ChangeRequest {
            change_id: format!("ctl-{number:016x}"),
            base_version: None,
            author: "operator".to_string(),
            reason: "a reason of about the usual length, with a ticket".to_string(),
            kind,
        };
        machine.configuration.decide(&request, 1_796_330_957_045);
    }
    let snapshot = Snapshot {
        last_index: 1,
        last_term: 1,
        members: MemberSet::default(),
        data: serde_json::to_vec(&machine).unwrap(),
    };
    let install = InstallSnapshot { term: 1, leader: 1, snapshot, last_index: 1, round: 1 };
    let message = Message::InstallSnapshot(install);
    let frame =
        encode_frame(0, Body::Raft(MemberMessage::new(raft_to_wire(message.clone()), None)));
    assert!(frame.len() < FRAME_MAX_BYTES, "{} bytes", frame.len());
    let envelope = decode_envelope(&frame[FRAME_HEADER_BYTES..], "peer").unwrap();
    let Body::Raft(wire) = envelope.body else { panic!("the body is not a Raft message") };
    assert_eq!(raft_from_wire(wire.message), Some(message));
}

fn round_trip(message: Message) -> Message {
    let frame = encode_frame(0, Body::Raft(MemberMessage::new(raft_to_wire(message), None)));
    let envelope = decode_envelope(&frame[FRAME_HEADER_BYTES..], "peer").unwrap();
    let Body::Raft(wire) = envelope.body else { panic!("the body is not a Raft message") };
    raft_from_wire(wire.message).unwrap()
}

// Guards against members that can't tell a leader of an earlier version from one that confirms nothing.
#[test]
fn confirmation_of_a_recovery_round_trips_and_may_be_absent() {
    let confirmations =
        [None, Some(Recovery::default()), Some(Recovery { nonce: u64::MAX, index: 7 })];
    for recovery in confirmations {
        let message = Message::Append(Append {
            term: 3,
            leader: 1,
            previous_index: 0,
            previous_term: 0,
            entries: Vec::new(),
            commit_index: 0,
            last_index: 9,
            round: 1,
            recovery,
        });
        assert_eq!(round_trip(message.clone()), message);
    }
    for nonce in [None, Some(u64::MAX)] {
        let message = Message::AppendReply(AppendReply {
            term: 3,
            follower: 2,
            success: true,
            match_index: 0,
            round: 1,
            may_vote: nonce.is_none(),
            nonce,
        });
        assert_eq!(round_trip(message.clone()), message);
    }
}
