//! A control host whose data folder is emptied while its process runs.
#![allow(clippy::unwrap_used)]

use bilberryloft_coordination::raft::Message;
use bilberryloft_coordination::raft::VoteRequest;
use bilberryloft_testing::control_hosts::ControlHosts;
use bilberryloft_testing::control_hosts::wait_until;
use bilberryloft_testing::memory_disk::MemoryDisk;

/// Guards against a founder that founds the quorum again, and so counts as a voter that has lost nothing, when its folder is
/// emptied in the process of its first start.
#[tokio::test]
async fn founder_whose_folder_is_emptied_has_no_vote() {
    let mut hosts = ControlHosts::start(3);
    hosts.hosts.iter_mut().for_each(|it| it.stop());
    for host in &mut hosts.hosts {
        host.disk = MemoryDisk::default();
        host.settings.first_start = Some(true);
        host.start().unwrap();
    }
    hosts.check_each_acknowledges("at the start").await;
    let wiped = (hosts.leader().await + 1) % 3;
    for idx in (0..3).filter(|it| *it != wiped) {
        hosts.hosts[idx].stop();
    }
    let host = &hosts.hosts[wiped];
    let before = host.node().status();
    host.disk.wipe();
    // A term is recorded, which fails as the log file is gone.
    let request = VoteRequest {
        term: before.term + 10,
        candidate: hosts.hosts[(wiped + 1) % 3].settings.member,
        last_index: 0,
        last_term: 0,
        pre_vote: false,
    };
    let is_reopened = || host.node().status().commit_index == 0;
    while !is_reopened() {
        host.node().receive(Message::VoteRequest(request.clone()), None).await;
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    wait_until(is_reopened, "the host opens its folder again").await;
    assert!(!host.node().status().may_vote, "a host that lost its memory votes");
}
