// Messages between the processes of bilberryloft.
// One envelope a frame: a 4-byte big-endian length, then the envelope in the compact protocol.
// Regenerate: thrift -r --gen rs -out crates/bilberryloft-protocol/src idl/wire.thrift
namespace rs wire

// First frame in each direction of a connection.
struct Hello {
  1: required i32 protocol_version
  2: required string daemon
  3: required i64 incarnation
  4: required i64 configuration_version
  5: optional string data_center
  // Format of the commands of the log that the daemon reads; absent for the first one.
  6: optional i32 command_format
}

struct Header {
  1: required string name
  2: required string value
}

// Load of one target as its agent knows it at the time of the message.
struct Load {
  1: required i32 running
  2: required i32 queued
  3: required i32 slots
  4: required i64 queued_tokens
}

// One attempt of one request, from an entry to the agent of the chosen target.
struct Dispatch {
  1: required string request_id
  2: required i32 attempt
  3: required string target
  4: required i64 agent_incarnation
  5: required i64 configuration_version
  6: required string team
  7: required i32 weight
  8: required i32 priority
  9: required i64 deadline_ms
  10: required bool non_idempotent
  11: required i64 fingerprint
  12: required i64 work_tokens
  13: required string method
  14: required string path
  15: required list<Header> headers
  16: required binary body
  17: required binary decision
  18: required bool trial
  19: required bool streamed
}

// First frame of an answer: status line and headers of the back end.
struct Head {
  1: required string request_id
  2: required i32 attempt
  3: required i32 status
  4: required list<Header> headers
  5: required Load load
}

// One numbered piece of the answer body; numbers start at 0 and have no gaps.
struct Piece {
  1: required i32 attempt
  2: required i32 sequence
  3: required binary data
}

// Last frame of a whole answer, with what must have arrived before it.
struct Complete {
  1: required i32 attempt
  2: required i32 pieces
  3: required i64 body_bytes
  4: required Load load
}

// Last frame of an attempt that gave no whole answer.
struct Refused {
  1: required i32 attempt
  2: required i32 reason
  3: required i32 run
  4: required i64 retry_after_ms
  5: required i64 configuration_version
  6: required string detail
  7: required Load load
}

// The caller has gone: stop the attempt at the target.
struct Cancel {
  1: required string request_id
  2: required i32 attempt
}

// Join an attempt that runs or is held, from a given piece on.
struct Attach {
  1: required string request_id
  2: required i32 attempt
  3: required i32 from_sequence
  4: required string team
}

// Ask an agent never to start an attempt that it has not started yet.
struct Void {
  1: required string request_id
  2: required i32 attempt
  3: required i64 agent_incarnation
}

struct VoidReply {
  1: required i32 attempt_state
  2: required i64 agent_incarnation
}

struct Explain {
  1: required string request_id
}

struct Records {
  1: required list<binary> records
}

// Refusal records that an entry hands to a control host for safekeeping.
struct StoreRecords {
  1: required list<binary> records
}

// Ask for what changed since the given versions; held open until something does.
struct Watch {
  1: required string daemon
  2: required i64 configuration_version
  3: required i64 membership_version
  4: required i64 wait_ms
  5: required i64 suspects_version
  6: required string peer_address
  7: optional i64 document_version
  // Newest version of the document that the daemon knows of. It takes the document in parts if this is set.
  8: optional i64 known_document_version
  // Whether the daemon takes suspects as changes, and compressed snapshots and targets.
  9: optional bool takes_compact_updates
  // Version of the evacuations that the daemon holds; absent from daemons that know none.
  10: optional i64 evacuations_version
  // Whether `document_version` and `known_document_version` are version 0 if they are 0, which means none otherwise.
  11: optional bool holds_version_zero
  12: optional bool knows_version_zero
}

// Part of an encoded patch from one version of the document to another.
struct DocumentPart {
  // 0 if the patch holds the whole text.
  1: required i64 base_version
  2: required i64 version
  // Checksum and length of the whole encoded patch.
  3: required i64 checksum
  4: required i64 length_bytes
  5: required i64 offset_bytes
  6: required binary data
}

// Asks for the next part of the patch after a version that the caller holds.
struct ReadDocument {
  1: required i64 held_version
  // Version to which the patch leads whose first parts the caller has; 0 for the newest version.
  2: required i64 version
  3: required i64 offset_bytes
  // Whether `held_version` and `version` are version 0 if they are 0, which means none otherwise.
  4: optional bool holds_version_zero
  5: optional bool continues_version_zero
}

struct Update {
  1: required bool confirmed
  2: required i64 configuration_version
  3: optional binary configuration_snapshot
  4: required list<binary> configuration_changes
  5: required i64 membership_version
  6: required bool membership_whole
  7: required list<binary> targets
  8: required i64 suspects_version
  9: required list<binary> suspects
  10: optional i64 document_version
  11: optional binary document
  12: optional list<string> control_addresses
  // Whole patch of the document, if it is short.
  13: optional DocumentPart document_part
  // Whether `suspects` holds only those that were added or changed.
  14: optional bool suspects_are_changes
  15: optional list<i64> removed_suspects
  // In place of `targets`: all of them in one list, compressed.
  16: optional binary packed_targets
  // Evacuations of data centres, in JSON; absent if the watcher holds the newest version.
  17: optional binary evacuations
  18: optional i64 evacuations_version
  // Whether `document_version` is version 0 if it is 0, which means that there is no document otherwise.
  19: optional bool is_document_version_zero
}

// A host with a data folder that wants to be a member of the quorum, and is alive.
struct Join {
  1: required i32 member
  2: required string address
  3: required bool forwarded
  // Whether the process of the host is stopping, so that another host must vote in its place.
  4: optional bool leaving
}

// Answer to the join of a host that is leaving.
struct LeaveReply {
  // Whether the quorum doesn't need the host any more.
  1: required bool may_stop
}

// The callee is no control host; these are, as far as it knows.
struct Redirect {
  1: required list<string> addresses
}

// Lease renewal of one target by its agent.
struct Announce {
  1: required string target
  2: required i64 incarnation
  3: required binary description
  4: required bool leaving
  5: required bool forwarded
}

struct AnnounceReply {
  1: required i64 lease_ms
  2: required i64 known_incarnation
}

// A command for the replicated state; followers hand it to the leader.
struct Propose {
  1: required binary command
  2: required bool forwarded
}

struct ProposeReply {
  1: required binary outcome
}

// Asks the leader for an index that a quorum has confirmed.
struct ReadIndex {
  1: required bool forwarded
}

struct ReadIndexReply {
  1: required i64 index
}


struct LogEntry {
  1: required i64 term
  2: required i64 index
  3: required binary command
  4: optional binary members
}

struct VoteRequest {
  1: required i64 term
  2: required i32 candidate
  3: required i64 last_index
  4: required i64 last_term
  5: required bool pre_vote
}

struct VoteReply {
  1: required i64 term
  2: required i32 voter
  3: required bool granted
  4: required bool pre_vote
}

struct Append {
  1: required i64 term
  2: required i32 leader
  3: required i64 previous_index
  4: required i64 previous_term
  5: required list<LogEntry> entries
  6: required i64 commit_index
  7: required i64 round
  8: required i64 last_index
  // Confirmation for a receiver that may not vote, by the number of its start, 0 for none; absent from leaders of an earlier version.
  9: optional i64 recovery_nonce
  10: optional i64 recovery_index
}

struct AppendReply {
  1: required i64 term
  2: required i32 follower
  3: required bool success
  4: required i64 match_index
  5: required i64 round
  // Whether the follower may vote; absent from members of an earlier version.
  6: optional bool may_vote
  // Number of the follower's start if it may not vote; absent from members of an earlier version.
  7: optional i64 nonce
}

struct InstallSnapshot {
  1: required i64 term
  2: required i32 leader
  3: required i64 last_index
  4: required i64 last_term
  5: required binary members
  6: required binary data
  7: required i64 round
  8: required i64 leader_last_index
}

union RaftMessage {
  1: VoteRequest vote_request
  2: VoteReply vote_reply
  3: Append append
  4: AppendReply append_reply
  5: InstallSnapshot install_snapshot
}

// Paths that the callee reads at the target beside it.
struct TargetRead {
  1: required string target_address
  2: required list<string> paths
}

// Bodies of the target's answers, in the order of the paths.
struct TargetBodies {
  1: required list<binary> bodies
}

// Asks the agent beside a rank for the rank's state and for how often its requests have chosen each expert.
struct RankRead {
  1: required string target_address
  // Forward pass of the counts that the caller has read last; the answer counts from there.
  2: optional i64 since_step
}

// Choices of experts by the requests of one rank between two forward passes.
struct RankChoices {
  1: required i64 step
  2: required i64 epoch
  // Absent if the agent does not have the counts of the pass that the caller named.
  3: optional binary counts
}

// State of a rank, its group and its expert maps.
struct RankState {
  1: required string group
  2: required i64 epoch
  3: required i32 rank
  4: required i32 ranks
  5: required bool is_open
  6: required i64 map_version
  7: optional i64 prepared
  8: required bool is_armed
  9: optional i64 held_step
  10: required double slowness
  11: optional RankChoices choices
}

// Order to the rank beside the callee to copy the experts that it needs for a map.
struct RankPrepare {
  1: required string target_address
  2: required i64 version
  3: required i64 epoch
  // The whole map, by set and rank.
  4: required binary expert_map
}

// Status of the rank's answer to an order.
struct RankPrepared {
  1: required i32 status
}

// Limit that a target names on its requests.
struct ReportedLimit {
  1: optional double per_s
  2: required i64 incarnation
  3: required i64 age_ms
}

// Requests of one priority at one entry.
struct PriorityDemand {
  1: required i8 priority
  2: required i32 running
  3: required i32 waiting
  // New requests in the last second.
  4: required i32 arrivals_per_s
}

// Requests of one service at one entry.
struct ServiceDemand {
  1: required string service_name
  2: required list<PriorityDemand> priorities
}

// Report of one entry to the others.
struct EntryLoad {
  1: required string entry
  2: required string address
  3: required string data_center
  4: required i64 incarnation
  5: required i64 number
  6: required i32 known_entries
  // Requests in flight: for each target its tag, four bytes with the lowest first, and the number.
  7: required binary loads
  8: optional map<string, i8> failing
  9: optional map<string, double> slow_ranks
  10: optional map<string, ReportedLimit> limits
  // Runs whose targets ended and that the quorum has not recorded, in JSON.
  11: optional list<binary> lost_runs
  // Targets that are leaving, with their incarnations.
  12: optional map<string, i64> leaving
  13: optional list<ServiceDemand> demand
}

// Datagram between entries. Each element is an encoded EntryLoad.
struct LoadDatagram {
  1: required list<binary> reports
}

// A message between members, with the sender's own address for a member that knows no members yet.
struct MemberMessage {
  1: required RaftMessage message
  2: optional string sender_address
}

struct Status {
}

struct StatusReply {
  1: required binary status
}

struct Fault {
  1: required string step
  2: required string detail
}

struct Done {
}

union Body {
  1: Hello hello
  2: Dispatch dispatch
  3: Head head
  4: Piece piece
  5: Complete complete
  6: Refused refused
  7: Cancel cancel
  8: Attach attach
  9: Void void_attempt
  10: VoidReply void_reply
  11: Explain explain
  12: Records records
  13: StoreRecords store_records
  14: Watch watch
  15: Update update
  16: Announce announce
  17: AnnounceReply announce_reply
  18: Propose propose
  19: ProposeReply propose_reply
  20: ReadIndex read_index
  21: ReadIndexReply read_index_reply
  22: MemberMessage raft
  23: Fault fault
  24: Done done
  25: Status status
  26: StatusReply status_reply
  27: Join join
  28: Redirect redirect
  // 29 and 30 were calls with a method and a body.
  31: TargetRead target_read
  32: TargetBodies target_bodies
  33: RankRead rank_read
  34: RankState rank_state
  35: RankPrepare rank_prepare
  36: RankPrepared rank_prepared
  37: ReadDocument read_document
  38: DocumentPart document_part
  39: LeaveReply leave_reply
}

// One frame. A call and all frames that answer it carry the same call number.
struct Envelope {
  1: required i64 call_id
  2: required Body body
}
