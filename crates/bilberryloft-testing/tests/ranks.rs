//! An agent spreads requests over the ranks of its target by the work that each request adds.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bilberryloft_testing::caller::Caller;
use bilberryloft_testing::engine::Engine;
use bilberryloft_testing::fleet::Fleet;
use bilberryloft_testing::fleet::engine_settings;

/// Guards against a rank choice that counts requests instead of their work: one long prompt occupies a rank while 18
/// short ones arrive, and the rank with the long prompt must get none of them.
#[tokio::test]
async fn requests_spread_over_the_ranks_by_their_work() {
    let mut fleet = Fleet::plan("ranks", 1, 1, 1);
    for name in fleet.daemon_names() {
        fleet.start(&name);
    }
    let mut settings = engine_settings(&fleet.target_ips[0]);
    settings.first_token_ms = 2_000;
    settings.slots = 40;
    let engine = Engine::spawn(settings).await.unwrap();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let long_prompt = "x".repeat(200_000);
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..19 {
        let entry = fleet.entry_address(0);
        let prompt = if number == 0 { long_prompt.clone() } else { format!("short {number}") };
        callers.spawn(async move {
            Caller::new("depot-token").request_completion(&entry, &prompt, false).await
        });
        // However long it takes, the long prompt must be assigned to a rank before the others are sent.
        while engine.requests_by_rank().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    while let Some(reply) = callers.join_next().await {
        assert!(reply.unwrap().is_complete);
    }
    let mut requests_by_rank: Vec<u64> = engine.requests_by_rank().values().copied().collect();
    requests_by_rank.sort_unstable();
    assert_eq!(requests_by_rank, [1, 6, 6, 6], "the rank with the long prompt gets nothing else");
}
