//! Builders for targets in tests, and simulated data centres.
#![allow(dead_code)]

pub mod data_centers;

use bilberryloft_routing::targets::TargetInfo;
use bilberryloft_routing::targets::TargetTable;

/// Returns a target of the service `writer` in the entry's data centre, named by a prefix and a number.
pub fn info(prefix: &str, number: usize, slots: u32) -> TargetInfo {
    TargetInfo {
        id: format!("{prefix}{number}"),
        incarnation: 1,
        service: "writer".to_string(),
        address: format!("10.0.0.{number}:80"),
        data_center: "a".to_string(),
        slots,
        is_leaving: false,
        is_announced: true,
        cold_for_ms: 0,
    }
}

/// Returns a table with targets numbered from 0.
pub fn target_table(prefix: &str, targets: usize, slots: u32) -> TargetTable {
    let mut target_table = TargetTable::new("a");
    (0..targets).for_each(|it| target_table.apply(info(prefix, it, slots)));
    target_table
}
