//! What a process that was stalled knows of the calls that it reads afterwards.

use std::time::Duration;

use bilberryloft_relay::lifecycle::Lifecycle;
use bilberryloft_transport::clock::boot_ms;

/// Time between two ticks that counts as a stall.
const STALL: Duration = Duration::from_millis(400);
/// Least pause after a stall, in milliseconds.
const PAUSE_MS: u64 = 45;

/// Returns the state of a process whose stall has just ended, and been noticed by its ticks if so wished.
async fn stalled(is_noticed: bool) -> Lifecycle {
    let lifecycle = Lifecycle::default();
    tokio::time::sleep(STALL).await;
    if is_noticed {
        lifecycle.record_tick();
    }
    lifecycle
}

/// Guards against carrying out an abandoned call at once because the tick that notices the stall came before it.
#[tokio::test]
async fn wait_after_stall_pauses_whoever_notices_the_stall_first() {
    for is_noticed in [false, true] {
        let lifecycle = std::sync::Arc::new(stalled(is_noticed).await);
        let ticking = lifecycle.clone();
        let ticks = tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(10)).await;
                ticking.record_tick();
            }
        });
        let began_ms = boot_ms();
        lifecycle.wait_after_stall().await;
        let paused_ms = boot_ms() - began_ms;
        ticks.abort();
        assert!(paused_ms >= PAUSE_MS, "{paused_ms} ms, noticed first: {is_noticed}");
    }
}

/// Guards against taking a call for a new one that has waited in the socket of a stalled process.
#[tokio::test]
async fn unread_time_covers_a_stall_that_has_just_ended() {
    let stall_ms = STALL.as_millis() as u64;
    for is_noticed in [false, true] {
        assert!(stalled(is_noticed).await.unread_ms() >= stall_ms, "noticed: {is_noticed}");
    }
    assert_eq!(Lifecycle::default().unread_ms(), 0);
}
