//! The order of moves: the same from the same input, and no step breaks a bound.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use cluster_types::{BackendId, BlockRange, Index, Volume};
use proptest::prelude::*;
use resharding::planner::keeps;
use resharding::*;

fn fleet(rooms: &[u64], ranges: &[(usize, u64, usize)]) -> FleetView {
    let mut view = FleetView::default();
    for (i, room) in rooms.iter().enumerate() {
        let hall = if i % 2 == 0 { "even" } else { "odd" };
        let b = BoxView { hall: hall.into(), room: *room, rate: 10_000, ..BoxView::default() };
        view.boxes.insert(BackendId::from(format!("b{i}").as_str()), b);
    }
    for (v, len, on) in ranges {
        let volume = Volume::from(format!("{v:016x}").as_str());
        let first = view.volumes.get(&volume).map_or(0, |v| v.blocks);
        let blocks = BlockRange { first, end: first + len };
        view.placement.put(&volume, blocks, &BackendId::from(format!("b{on}").as_str()), Index(first + 1));
        view.volumes.insert(volume, VolumeView { blocks: blocks.end, reserve: 10 });
    }
    view
}

fn plan(places: &[(u64, u64, u64, usize)], empty: &[usize]) -> Plan {
    let mut file = "plan = \"p\"\n".to_string();
    for (v, first, end, on) in places {
        file += &format!("[[place]]\nvolume = \"{v:016x}\"\nblocks = \"{first}..{end}\"\non = \"b{on}\"\n");
    }
    for on in empty {
        file += &format!("[[empty]]\nbox = \"b{on}\"\n");
    }
    Plan::read(&file).unwrap()
}

/// Guards against a swap that waits for itself: it goes by way of a third place, and says so.
#[test]
fn a_swap_goes_by_way_of_a_third_place() {
    let view = fleet(&[10, 10, 12], &[(1, 10, 0), (2, 10, 1)]);
    let steps = plan_moves(&plan(&[(1, 0, 10, 1), (2, 0, 10, 0)], &[]), &view).unwrap();
    let legs: Vec<_> =
        steps.iter().map(|s| (s.from.to_string(), s.to.to_string(), s.after.clone())).collect();
    let leg = |a: &str, b: &str, after: &[u32]| (a.to_string(), b.to_string(), after.to_vec());
    assert_eq!(legs, vec![leg("b0", "b2", &[]), leg("b1", "b0", &[1]), leg("b2", "b1", &[1, 2])]);
    assert!(steps[0].why.contains("by way of b2"), "{}", steps[0].why);
    assert!(steps[1].why.contains("makes room on b0"), "{}", steps[1].why);
    let none = fleet(&[10, 10, 9], &[(1, 10, 0), (2, 10, 1)]);
    let fault = plan_moves(&plan(&[(1, 0, 10, 1), (2, 0, 10, 0)], &[]), &none).unwrap_err();
    assert!(fault.key == "place[0].on" && fault.reason.contains("third place"), "{fault}");
}

/// Guards against an export that waits behind moves within a hall.
#[test]
fn exports_go_first() {
    let view = fleet(&[20, 20, 20, 20], &[(1, 5, 0), (2, 5, 0)]);
    let steps = plan_moves(&plan(&[(1, 0, 5, 2), (2, 0, 5, 1)], &[]), &view).unwrap();
    assert_eq!(steps[0].to, BackendId::from("b1"));
}

fn reached(view: &FleetView, steps: &[Step]) -> Placement {
    let mut placement = view.placement.clone();
    for s in steps {
        assert!(placement.wholly(&s.volume, s.blocks, &s.from), "{s:?}");
        placement.put(&s.volume, s.blocks, &s.to, Index(99));
    }
    placement
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn steps_reach_what_is_wanted(
        rooms in proptest::collection::vec(20u64..60, 3..7),
        ranges in proptest::collection::vec((1usize..5, 1u64..12, 0usize..7), 1..12),
        wanted in proptest::collection::vec((0u64..3, 0usize..7), 4),
        empty in 0usize..9,
        pick in proptest::collection::vec(any::<u16>(), 64),
    ) {
        let n = rooms.len();
        let ranges: Vec<_> = ranges.into_iter().map(|(v, l, on)| (v, l, on % n)).collect();
        let view = fleet(&rooms, &ranges);
        prop_assume!(view.boxes.keys().all(|b| view.books().fits(&view, b).is_ok()));
        let mut places = Vec::new();
        for (i, volume) in view.volumes.values().enumerate() {
            let (parts, on) = wanted[i];
            let cut = volume.blocks / (parts + 1);
            if parts > 0 && cut > 0 {
                places.push((i, 0, cut, on % n));
                places.push((i, cut, volume.blocks, (on + 1) % n));
            }
        }
        let names: Vec<_> = view.volumes.keys().map(|v| u64::from_str_radix(&v.0, 16).unwrap()).collect();
        let mut places: Vec<_> = places.into_iter().map(|(i, a, b, on)| (names[i], a, b, on)).collect();
        let empty: Vec<usize> = (empty < n && places.iter().all(|p| p.3 != empty)).then_some(empty).into_iter().collect();
        let declared = plan(&places, &empty);
        let steps = match declared.check(&view) {
            Ok(()) => plan_moves(&declared, &view).unwrap(),
            Err(_) => return Ok(()),
        };
        places.reverse();
        prop_assert_eq!(&steps, &plan_moves(&plan(&places, &empty), &view).unwrap());
        let end = reached(&view, &steps);
        for (v, a, b, on) in &places {
            let on = BackendId::from(format!("b{on}").as_str());
            let volume = Volume::from(format!("{v:016x}").as_str());
            let blocks = BlockRange { first: *a, end: *b };
            prop_assert!(end.wholly(&volume, blocks, &on));
        }
        for on in &empty {
            let on = BackendId::from(format!("b{on}").as_str());
            prop_assert!(end.volumes().all(|v| end.ranges(v).iter().all(|p| p.on != on)));
        }
        // Begun and ended in any order that the dependencies allow, no box holds more than it can.
        let (mut done, mut running, mut left) = (vec![], vec![], (1..=steps.len() as u32).collect::<Vec<_>>());
        for p in pick {
            let ready: Vec<u32> = left.iter().copied().filter(|i| steps[*i as usize - 1].after.iter().all(|a| done.contains(a))).collect();
            if p % 2 == 0 && !ready.is_empty() {
                let id = ready[p as usize / 2 % ready.len()];
                left.retain(|i| *i != id);
                running.push(id);
            } else if !running.is_empty() {
                done.push(running.remove(p as usize / 2 % running.len()));
            }
            if let Err(fault) = keeps(&view, &steps, &done, &running) {
                prop_assert!(false, "{} {:?} {:?} {:?}", fault, steps, done, running);
            }
        }
    }
}
