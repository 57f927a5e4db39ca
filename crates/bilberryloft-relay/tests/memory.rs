//! Tests of the account of memory that clients make a process hold, without a network.
#![allow(clippy::unwrap_used)]

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_relay::memory::body::BodyLimits;
use bilberryloft_relay::memory::body::read_body;
use bilberryloft_relay::memory::caller_connection::Phase;
use bilberryloft_relay::memory::connection_table::ConnectionTable;
use bilberryloft_relay::memory::plan::MemoryPlan;
use bilberryloft_relay::memory::report::BodyFault;
use bilberryloft_relay::memory::report::CloseCause;
use bilberryloft_relay::settings::ProcessLimits;
use bilberryloft_transport::account::Account;
use bilberryloft_transport::account::Holder;
use bilberryloft_transport::account::Purpose;
use bilberryloft_transport::account::SMALL_BYTES;
use bilberryloft_transport::account::Shortage;
use bilberryloft_transport::held_blocks::HeldBlocks;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use tokio::task::JoinHandle;
use tokio::time::Instant;

const MIB: usize = 1 << 20;
/// Time in which a body that nobody drops ends; no bound on speed.
const PLENTY: Duration = Duration::from_secs(30);

type TestBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// How a body goes on after its pieces.
#[derive(Clone, Copy)]
enum Ending {
    Whole,
    Broken,
    Never,
}

/// Returns a body of pieces of one size.
fn body(piece_bytes: usize, pieces: usize, ending: Ending) -> TestBody {
    let piece = Bytes::from(vec![1; piece_bytes]);
    let pieces = stream::iter((0..pieces).map(move |_| Ok(Frame::data(piece.clone()))));
    let tail = match ending {
        Ending::Whole => stream::empty().boxed(),
        Ending::Broken => stream::iter([Err(std::io::Error::other("broken"))]).boxed(),
        Ending::Never => stream::pending().boxed(),
    };
    BodyExt::boxed_unsync(StreamBody::new(pieces.chain(tail)))
}

fn holder(number: u8, name: &str) -> Holder {
    Holder { address: IpAddr::V4(Ipv4Addr::new(127, 0, 0, number)), name: name.to_string() }
}

fn limits(holder: Holder, time: Duration) -> BodyLimits {
    let deadline = Instant::now() + time;
    BodyLimits { bytes_max: 4 * MIB, deadline, purpose: Purpose::Body, holder }
}

fn spawn_read(
    account: &Arc<Account>,
    holder: Holder,
    body: TestBody,
) -> JoinHandle<Result<Bytes, BodyFault>> {
    let account = account.clone();
    tokio::spawn(async move { read_body(&account, body, limits(holder, PLENTY)).await })
}

/// Waits until so many bytes are held.
async fn wait_held(account: &Account, bytes: u64) {
    let until = Instant::now() + PLENTY;
    while account.held_bytes(Purpose::Body) < bytes {
        assert!(Instant::now() < until, "{} of {bytes}", account.held_bytes(Purpose::Body));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn check_empty(account: &Account) {
    for purpose in Purpose::ALL {
        assert_eq!(account.held_bytes(purpose), 0, "{purpose:?}");
    }
    assert_eq!(account.unfinished(), 0);
}

/// Guards against memory that stays reserved when a request does not end as it should, until nothing is left.
#[tokio::test]
async fn account_is_empty_after_cancelled_failed_late_and_whole_bodies() {
    let account = Account::new(64 * MIB as u64);
    let short = Duration::from_millis(20);
    for _ in 0..10 {
        let cancelled = spawn_read(&account, holder(1, ""), body(1_000, 100, Ending::Never));
        wait_held(&account, 100_000).await;
        cancelled.abort();
        assert!(cancelled.await.is_err());
        check_empty(&account);
        let read = |body, time| read_body(&account, body, limits(holder(1, ""), time));
        let late = read(body(1_000, 100, Ending::Never), short).await;
        assert_eq!(late, Err(BodyFault::Late));
        let broken = read(body(1_000, 100, Ending::Broken), PLENTY).await;
        assert_eq!(broken, Err(BodyFault::Broken));
        let large = read(body(MIB, 5, Ending::Whole), PLENTY).await;
        assert_eq!(large, Err(BodyFault::TooLarge));
        check_empty(&account);
        let whole = read(body(1_000, 100, Ending::Whole), PLENTY).await.unwrap();
        assert_eq!(whole.len(), 100_000);
        let part = whole.slice(10..20);
        drop(whole);
        assert!(account.held_bytes(Purpose::Body) >= 100_000, "released while a part is used");
        drop(part);
        check_empty(&account);
    }
}

/// Guards against chunks of one byte that take many times their size.
#[tokio::test]
async fn small_chunks_cost_no_more_than_large_ones() {
    let account = Account::new(64 * MIB as u64);
    let small = body(1, 200_000, Ending::Whole);
    let read = read_body(&account, small, limits(holder(1, ""), PLENTY)).await.unwrap();
    assert_eq!(read.len(), 200_000);
    assert!(account.held_bytes(Purpose::Body) <= 300_000);
}

/// Guards against dropping the bodies of ordinary callers instead of those of the one who holds the most.
#[tokio::test]
async fn largest_body_of_the_largest_holder_is_dropped() {
    let account = Account::new(16 * MIB as u64);
    let ordinary = spawn_read(&account, holder(1, "depot"), body(MIB, 1, Ending::Never));
    let mut flood = Vec::new();
    for pieces in [2, 3, 2] {
        flood.push(spawn_read(&account, holder(2, "depot"), body(MIB, pieces, Ending::Never)));
    }
    wait_held(&account, 8 * MIB as u64).await;
    let other = body(MIB, 3, Ending::Whole);
    let read = read_body(&account, other, limits(holder(3, ""), PLENTY)).await;
    assert_eq!(read.map(|it| it.len()), Ok(3 * MIB));
    assert_eq!(flood.remove(1).await.unwrap(), Err(BodyFault::Dropped));
    assert!(!ordinary.is_finished());
    ordinary.abort();
    flood.iter().for_each(JoinHandle::abort);
    assert!(ordinary.await.is_err());
    for read in flood {
        let _ = read.await;
    }
    check_empty(&account);
}

/// Guards against turning small ordinary requests away while large bodies that nobody may drop fill their part.
#[tokio::test]
async fn small_bodies_have_a_reserve_that_large_ones_cannot_use() {
    let account = Account::new(16 * MIB as u64);
    let mut whole = Vec::new();
    loop {
        let large = body(MIB, 1, Ending::Whole);
        match read_body(&account, large, limits(holder(2, ""), PLENTY)).await {
            Ok(bytes) => whole.push(bytes),
            Err(fault) => break assert_eq!(fault, BodyFault::NoRoom),
        }
    }
    assert_eq!(whole.len(), 10);
    for _ in 0..40 {
        let small = body(SMALL_BYTES as usize / 2, 1, Ending::Whole);
        let read = read_body(&account, small, limits(holder(2, ""), PLENTY)).await;
        whole.push(read.unwrap());
    }
    drop(whole);
    check_empty(&account);
}

/// Guards against answers of faulty targets that take the room of callers, or of each other without bound.
#[tokio::test]
async fn unread_bytes_of_targets_have_a_part_and_give_way() {
    let account = Account::new(16 * MIB as u64);
    let open = |number| account.open_unfinished(Purpose::Reading, holder(number, "target"));
    let mut faulty = vec![open(1), open(1), open(1)];
    let mut sound = open(2);
    for reservation in &mut faulty {
        assert_eq!(reservation.try_grow(MIB as u64), Ok(true));
    }
    assert_eq!(sound.try_grow(MIB as u64), Ok(true));
    assert_eq!(sound.try_grow(1), Ok(false), "beyond the part of targets");
    faulty[0].evicted().await;
    assert_eq!(faulty[1].try_grow(2 * MIB as u64), Err(Shortage::Dropped));
    drop(faulty.remove(0));
    let mut bodies = Vec::new();
    for number in 3..10 {
        let read = spawn_read(&account, holder(number, ""), body(MIB, 1, Ending::Never));
        bodies.push(read);
        wait_held(&account, u64::from(number - 2) * MIB as u64).await;
    }
    assert_eq!(account.unfinished(), 10, "a target made a body give way");
    let mut more = account.open_unfinished(Purpose::Body, holder(10, ""));
    assert_eq!(more.try_grow(MIB as u64), Ok(false));
    faulty[0].evicted().await;
    bodies.iter().for_each(JoinHandle::abort);
}

/// Guards against answers in blocks that are not what the target sent.
#[tokio::test]
async fn blocks_hold_what_was_pushed() {
    let account = Account::new(16 * MIB as u64);
    let sent: Vec<u8> = (0..300_000_u32).map(|it| (it % 251) as u8).collect();
    for piece_bytes in [1_000, 70_000, 300_000] {
        for expected in [100, 300_000, MIB] {
            let read = || async {
                let mut held = HeldBlocks::new(account.open(Purpose::Answer), expected);
                for piece in sent.chunks(piece_bytes) {
                    held.push(piece, Instant::now() + PLENTY).await.unwrap();
                }
                held
            };
            let body = read().await.into_body();
            assert_eq!(hyper::body::Body::size_hint(&body).exact(), Some(sent.len() as u64));
            assert_eq!(body.collect().await.unwrap().to_bytes(), sent);
            let bytes = read().await.into_bytes();
            assert!(account.held_bytes(Purpose::Answer) >= sent.len() as u64);
            assert_eq!(bytes, sent);
        }
    }
    check_empty(&account);
}

/// Guards against closing connections in use, or those that callers keep, before those on which nothing was ever sent.
#[tokio::test]
async fn connections_without_a_request_give_way_first() {
    let table = Arc::new(ConnectionTable::new(4));
    let address = |it| IpAddr::V4(Ipv4Addr::new(127, 0, 0, it));
    let serving = table.admit(address(1)).await.unwrap();
    serving.connection().set_phase(Phase::Serving);
    let kept = table.admit(address(1)).await.unwrap();
    kept.connection().set_phase(Phase::Idle);
    let opened = table.admit(address(2)).await.unwrap();
    let second = table.admit(address(2)).await.unwrap();
    let waiting = tokio::spawn({
        let table = table.clone();
        async move { table.admit(address(3)).await }
    });
    opened.connection().wait_until_asked().await;
    assert!(!second.connection().is_closing() && !kept.connection().is_closing());
    assert_eq!(opened.connection().end_if_asked(), Some(CloseCause::Crowded));
    drop(opened);
    let newcomer = waiting.await.unwrap().unwrap();
    for guard in [&newcomer, &second] {
        guard.connection().set_phase(Phase::Serving);
    }
    assert!(table.close_one());
    assert!(kept.connection().is_closing() && !serving.connection().is_closing());
    drop(kept);
    let last = table.admit(address(4)).await.unwrap();
    last.connection().set_phase(Phase::Serving);
    assert!(table.admit(address(5)).await.is_none(), "admitted beyond the bound");
}

/// Guards against sizes that leave no room for what documents allow, or that add up to more than the host has.
#[test]
fn plan_stays_within_the_host() {
    for (memory_mb, descriptors) in [(48, 300), (112, 512), (256, 1_024), (4_096, 65_536)] {
        let memory_bytes = memory_mb << 20;
        let host =
            ProcessLimits { memory_bytes: Some(memory_bytes), descriptors: Some(descriptors) };
        let plan = MemoryPlan::new(&host);
        assert!(plan.account_bytes <= memory_bytes / 8 * 3, "{plan:?}");
        assert!(plan.account_bytes / 8 * 5 >= 8 << 20, "no room for a document: {plan:?}");
        let sockets = plan.traffic_connections
            + plan.control_connections
            + plan.readiness_connections
            + plan.peer_connections;
        assert!(sockets as u64 + 20 <= descriptors - 200, "{plan:?}");
        assert!(plan.caller_connections < plan.traffic_connections);
    }
    let unknown = MemoryPlan::new(&ProcessLimits::default());
    assert_eq!(unknown.account_bytes, 1 << 30);
    assert!(unknown.caller_connections >= 20_000, "{unknown:?}");
    assert_eq!(unknown.socket_buffer_bytes, None);
}
