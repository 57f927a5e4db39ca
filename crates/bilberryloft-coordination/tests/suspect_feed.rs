//! Tests of the changes of suspects that followers are sent.

use std::collections::BTreeMap;

use bilberryloft_coordination::suspect_feed::SuspectChanges;
use bilberryloft_coordination::suspect_feed::SuspectFeed;
use bilberryloft_state::suspect::Suspect;
use quickcheck::quickcheck;

fn suspect(fingerprint: i64, crashes: u32) -> Suspect {
    Suspect {
        fingerprint,
        crashes,
        lost_targets: Vec::new(),
        part: None,
        trial: None,
        last_crash_ms: 0,
    }
}

fn apply(held: &mut BTreeMap<i64, Suspect>, changes: SuspectChanges) {
    if changes.is_whole {
        held.clear();
    }
    changes.removed.iter().for_each(|it| drop(held.remove(it)));
    held.extend(changes.suspects.into_iter().map(|it| (it.fingerprint, it)));
}

/// Guards against the whole list going to each follower for each end of a target, which a lost rack causes many times.
#[test]
fn changes_of_one_suspect_don_t_depend_on_the_list() {
    let mut feed = SuspectFeed::default();
    let mut list: Vec<Suspect> = (0..4_000).map(|it| suspect(it, 1)).collect();
    feed.update(7, || list.clone());
    list[5].crashes = 2;
    feed.update(8, || list.clone());
    let expected = SuspectChanges { suspects: vec![suspect(5, 2)], ..SuspectChanges::default() };
    assert_eq!(feed.changes_after(7), expected);
    assert_eq!(feed.changes_after(8), SuspectChanges::default());
}

/// Guards against a follower that misses what happened before its host knew the list, as after a restart of the host.
#[test]
fn follower_of_an_unknown_version_gets_the_whole_list() {
    let mut feed = SuspectFeed::default();
    assert!(feed.changes_after(0).is_whole);
    feed.update(7, || vec![suspect(1, 1)]);
    assert!(feed.changes_after(6).is_whole);
    assert!(!feed.changes_after(7).is_whole);
}

quickcheck! {
    /// Guards against followers whose list differs from the recorded one, whichever versions they have seen.
    fn followers_hold_the_recorded_list(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut feed = SuspectFeed::default();
        let mut recorded: BTreeMap<i64, Suspect> = BTreeMap::new();
        let mut followers = vec![(0, BTreeMap::new()); 3];
        let mut version = 0;
        let mut is_equal = true;
        for (number, fingerprint, is_removed) in steps {
            let fingerprint = i64::from(fingerprint % 5);
            version += 1 + u64::from(number % 2);
            match is_removed {
                true => drop(recorded.remove(&fingerprint)),
                false => drop(recorded.insert(fingerprint, suspect(fingerprint, u32::from(number)))),
            }
            feed.update(version, || recorded.values().cloned().collect());
            let (seen, held) = &mut followers[number as usize % 3];
            apply(held, feed.changes_after(*seen));
            *seen = version;
            is_equal &= *held == recorded;
        }
        is_equal
    }
}
