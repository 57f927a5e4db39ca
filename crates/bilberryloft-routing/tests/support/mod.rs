//! Targets for tests.

use bilberryloft_routing::targets::TargetBoard;
use bilberryloft_routing::targets::TargetInfo;

/// A target of the service `writer`, in the entry's own data centre, named by a prefix and its number.
pub fn fact(prefix: &str, number: usize, slots: u32) -> TargetInfo {
    TargetInfo {
        id: format!("{prefix}{number}"),
        incarnation: 1,
        service: "writer".to_string(),
        address: format!("10.0.0.{number}:80"),
        data_center: "a".to_string(),
        slots,
        is_leaving: false,
        is_announced: true,
    }
}

/// A board that knows so many of them.
pub fn board(prefix: &str, targets: usize, slots: u32) -> TargetBoard {
    let mut board = TargetBoard::new("a");
    (0..targets).for_each(|it| board.apply(fact(prefix, it, slots)));
    board
}
