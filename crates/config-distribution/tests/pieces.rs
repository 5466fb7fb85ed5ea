//! Snapshots in pieces.
mod common;
use common::served::{changes, pieces, shard, told, Served};
use config_distribution::{Change, Class, FromRelay, RelayAction, Settings, ToRelay, Topic};
use std::collections::BTreeMap;

/// What all pieces and what made them whole come to.
fn staged(out: &[RelayAction]) -> Vec<Change> {
    let mut staged = BTreeMap::new();
    for action in out {
        let RelayAction::Send { message, .. } = action else { continue };
        if let FromRelay::Piece { entries: some, .. } | FromRelay::Changes { changes: some, .. } = message {
            for change in some {
                let newest = staged.entry(change.key.clone()).or_insert(change);
                *newest = if change.version > newest.version { change } else { newest };
            }
        }
    }
    staged.into_values().filter(|c| c.value.is_some()).cloned().collect()
}

/// One live subscriber for shard 1 on link 1, as of version 1.
fn live() -> Served {
    let mut served = Served::new();
    served.primary();
    served.join(1, shard(1), 1);
    served
}

#[test]
fn one_that_is_behind_too_far_is_given_a_snapshot() {
    let mut served = live();
    served.primary();
    for n in 0..20 {
        served.setting(&format!("s{n}"), &[0; 10_000]);
    }
    let mut out = served.decided(1, 2);
    out.extend(served.wait(2_100));
    assert_eq!(changes(&out, 1), []);
    assert_eq!((served.relay.figures().behind, pieces(&out, 1).len()), (1, 1));
}

#[test]
fn a_snapshot_comes_in_pieces_each_asked_for_and_is_made_whole_though_much_changes() {
    let mut served = Served::new();
    (0..20).for_each(|n| drop(served.setting(&format!("s{n:02}"), &[0; 10_000])));
    let mut out = served.join(1, shard(1), 0);
    let (mut all, mut rounds) = (vec![], 0);
    loop {
        out.extend(served.wait(20));
        let new = pieces(&out, 1);
        assert_eq!(new.len(), 1, "one at a time");
        assert!(new[0].2 <= Settings::default().piece);
        let whole = changes(&out, 1);
        all.extend(new);
        if let Some((from, upto, names)) = whole.first() {
            assert_eq!((*from, *upto), (20, served.version));
            assert!(names.len() <= 7, "{}: six values and what was withdrawn have 64 KiB", names.len());
            break;
        }
        // What has been walked over changes, and one is withdrawn.
        if rounds < 12 {
            served.setting(&format!("s{:02}", rounds % 5), &[1; 10_000]);
            served.setting(&format!("s{:02}", 10 + rounds % 5), &[1; 10_000]);
        }
        served.order(Class::Configuration, Topic::Shard(1), "s01", None);
        rounds += 1;
        out = served.say(1, ToRelay::Next);
    }
    assert!(all[0].0 && all.iter().skip(1).all(|p| !p.0), "the first one only is the first");
    assert!(all.last().unwrap().1 && all.iter().rev().skip(1).all(|p| !p.1));
    assert!(all.len() > 7, "{}", all.len());
    let whole = served.relay.catalogue().piece(&shard(1), None, usize::MAX).0;
    assert_eq!(staged(&served.out), whole, "what was withdrawn between pieces too");
}

#[test]
fn one_that_waits_for_its_turn_hears_that_the_relay_is_there() {
    let mut served = Served::with(Settings { admission: (1_000.0, 40_000.0), ..Settings::default() });
    (0..20).for_each(|n| drop(served.setting(&format!("s{n:02}"), &[0; 10_000])));
    served.join(1, shard(1), 0);
    served.join(2, shard(1), 0);
    // The tokens are gone: its next piece comes in 20 s.
    assert_eq!(pieces(&served.say(1, ToRelay::Next), 1), []);
    let mut quiet = 0;
    for _ in 0..40 {
        let out = served.wait(500);
        quiet = if told(&out, 1) == 0 { quiet + 500 } else { 0 };
        assert!(quiet < 2_500, "it would take the relay for dead");
    }
}
