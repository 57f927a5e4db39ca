//! Tests of the choice of control hosts by many followers.

use std::collections::BTreeMap;

use bilberryloft_coordination::host_choice::Place;
use bilberryloft_coordination::host_choice::host_rank;

fn follower(number: usize, data_centers: usize) -> Place {
    let data_center = number % data_centers;
    Place {
        address: format!("10.{data_center}.0.{number}:7280"),
        data_center: format!("dc-{data_center}"),
    }
}

/// Returns the number of followers of each of `hosts` control hosts, of which one is in each of the first data centres.
fn followers_by_host(
    followers: usize,
    hosts: usize,
    data_centers: usize,
) -> BTreeMap<usize, usize> {
    let mut counts = BTreeMap::new();
    for number in 0..followers {
        let place = follower(number, data_centers);
        let rank = |host: &usize| {
            let address = format!("10.{host}.1.1:7280");
            host_rank(&place, &address, Some(&format!("dc-{host}")))
        };
        let host = (0..hosts).min_by_key(rank).unwrap_or_default();
        *counts.entry(host).or_default() += 1;
    }
    counts
}

/// Guards against one control host that serves most followers: 55 entries in five data centres with a host each.
#[test]
fn follower_prefers_the_host_of_its_data_center() {
    assert_eq!(followers_by_host(55, 5, 5), (0..5).map(|it| (it, 11)).collect());
}

/// Guards against the followers of data centres without a host that all choose the same one.
#[test]
fn followers_without_a_host_of_their_own_are_spread() {
    let counts = followers_by_host(320, 3, 10);
    let most = counts.values().max().copied().unwrap_or_default();
    assert!(counts.len() == 3 && most < 320 / 3 * 3 / 2, "{counts:?}");
}

/// Guards against a control host that follows another one over the network.
#[test]
fn control_host_prefers_itself() {
    let place = follower(3, 5);
    let own = host_rank(&place, &place.address, None);
    assert!(own < host_rank(&place, "10.3.0.9:7280", Some("dc-3")));
}
