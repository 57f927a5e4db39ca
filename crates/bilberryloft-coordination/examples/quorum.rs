//! Three members in one process commit two commands, the second one while a member is down.

use std::collections::BTreeMap;

use bilberryloft_coordination::raft::InitialState;
use bilberryloft_coordination::raft::Options;
use bilberryloft_coordination::raft::Outbound;
use bilberryloft_coordination::raft::Raft;
use bilberryloft_coordination::raft::Role;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::wal::Payload;

pub fn main() {
    let names = BTreeMap::from([(1, "a".to_string()), (2, "b".to_string()), (3, "c".to_string())]);
    let members = MemberSet::of_voters(names);
    let mut rafts: BTreeMap<u32, Raft> = BTreeMap::new();
    for member in 1..=3 {
        let start = InitialState {
            member,
            members: members.clone(),
            seed: u64::from(member),
            ..InitialState::default()
        };
        rafts.insert(member, Raft::new(Options::default(), start));
    }
    let mut now_ms = 0;
    run(&mut rafts, &mut now_ms, 2_000);
    let leader =
        rafts.iter().find(|(_, raft)| raft.role() == Role::Leader).map(|(member, _)| *member);
    let leader = leader.expect("a leader is elected within two seconds");
    propose(&mut rafts, leader, "open the road");
    run(&mut rafts, &mut now_ms, 200);
    let down = 1 + leader % 3;
    rafts.remove(&down);
    propose(&mut rafts, leader, "close the pass");
    run(&mut rafts, &mut now_ms, 200);
    for (member, raft) in &rafts {
        println!("member {member}: committed {}", raft.commit_index());
        assert_eq!(raft.commit_index(), 3);
    }
}

fn propose(rafts: &mut BTreeMap<u32, Raft>, leader: u32, command: &str) {
    let raft = rafts.get_mut(&leader).expect("the leader is running");
    raft.propose(command.as_bytes().to_vec()).expect("the member is the leader");
}

/// Advances the time in steps of 10 ms; messages are delivered and records become durable immediately.
fn run(rafts: &mut BTreeMap<u32, Raft>, now_ms: &mut u64, time_ms: u64) {
    let until_ms = *now_ms + time_ms;
    while *now_ms < until_ms {
        *now_ms += 10;
        let mut messages: Vec<Outbound> = Vec::new();
        for raft in rafts.values_mut() {
            raft.tick(*now_ms);
            messages.extend(perform_output(raft));
        }
        while let Some(Outbound { to, message }) = messages.pop() {
            if let Some(raft) = rafts.get_mut(&to) {
                raft.receive(message, *now_ms);
                messages.extend(perform_output(raft));
            }
        }
    }
}

/// Performs the output of a member and returns its outgoing messages.
fn perform_output(raft: &mut Raft) -> Vec<Outbound> {
    let mut messages = Vec::new();
    loop {
        let output = raft.take_output();
        if output.is_empty() {
            return messages;
        }
        messages.extend(output.now);
        messages.extend(output.after_sync);
        raft.persisted(output.persist_number);
        for entry in output.committed {
            if let Payload::Command(command) = entry.payload {
                println!("applied {}: {}", entry.index, String::from_utf8_lossy(&command));
            }
        }
    }
}
