//! The order of steps is deterministic, and no step exceeds a capacity.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use cluster_types::{BackendId, BlockRange, Index, Volume};
use proptest::prelude::*;
use resharding::plan::check_occupancy;
use resharding::*;
use std::collections::BTreeSet;

/// A range of a test cluster: its volume, its length and the number of its backend.
type TestRange = (usize, u64, usize);

fn backend(number: usize) -> BackendId {
    BackendId::from(format!("b{number}").as_str())
}

fn volume(number: usize) -> Volume {
    Volume::from(format!("{number:016x}").as_str())
}

/// A cluster of backends with these capacities. The ranges of each volume are adjacent, in the given order.
fn cluster(capacities: &[u64], ranges: &[TestRange]) -> ClusterView {
    let mut view = ClusterView::default();
    for (number, capacity) in capacities.iter().enumerate() {
        let zone = if number % 2 == 0 { "even" } else { "odd" };
        let known = BackendView {
            zone: zone.into(),
            capacity_blocks: *capacity,
            rate: 10_000,
            ..BackendView::default()
        };
        view.backends.insert(backend(number), known);
    }
    for (volume_number, len, backend_number) in ranges {
        let volume = volume(*volume_number);
        let first = view.volumes.get(&volume).map_or(0, |known| known.blocks);
        let blocks = BlockRange { first, end: first + len };
        view.placement.place(&volume, blocks, &backend(*backend_number), Index(first + 1));
        view.volumes.insert(volume, VolumeView { blocks: blocks.end, reserved_rate: 10 });
    }
    view
}

/// A place of a test plan.
#[derive(Clone)]
struct Place {
    volume: usize,
    blocks: BlockRange,
    backend: usize,
}

fn place(volume: usize, first: u64, end: u64, backend: usize) -> Place {
    Place { volume, blocks: BlockRange { first, end }, backend }
}

fn plan(places: &[Place], emptied: &[usize]) -> Plan {
    let mut file = "plan = \"p\"\n".to_string();
    for Place { volume, blocks, backend } in places {
        file +=
            &format!("[[place]]\nvolume = \"{volume:016x}\"\nblocks = \"{blocks}\"\non = \"b{backend}\"\n");
    }
    for backend in emptied {
        file += &format!("[[empty]]\nbox = \"b{backend}\"\n");
    }
    Plan::read(&file).unwrap()
}

/// Two ranges that wait for each other's capacity are swapped through a third backend.
#[test]
fn breaks_circular_wait_by_third_backend() {
    let view = cluster(&[10, 10, 12], &[(1, 10, 0), (2, 10, 1)]);
    let swap = plan(&[place(1, 0, 10, 1), place(2, 0, 10, 0)], &[]);
    let steps = order_steps(&swap, &view).unwrap();
    let legs: Vec<_> =
        steps.iter().map(|step| (step.from.clone(), step.to.clone(), step.after.clone())).collect();
    let leg = |from: usize, to: usize, after: &[u32]| (backend(from), backend(to), after.to_vec());
    assert_eq!(legs, vec![leg(0, 2, &[]), leg(1, 0, &[1]), leg(2, 1, &[1, 2])]);
    assert!(steps[0].reason.contains("by way of b2"), "{}", steps[0].reason);
    assert!(steps[1].reason.contains("makes room on b0"), "{}", steps[1].reason);
    let too_small = cluster(&[10, 10, 9], &[(1, 10, 0), (2, 10, 1)]);
    let error = order_steps(&swap, &too_small).unwrap_err();
    let message = error.problem.to_string();
    assert!(error.key == "place[0].on" && message.contains("third place"), "{error}");
}

/// Moves out of a zone go before moves within a zone.
#[test]
fn orders_exports_before_moves_within_zone() {
    let view = cluster(&[20, 20, 20, 20], &[(1, 5, 0), (2, 5, 0)]);
    let steps = order_steps(&plan(&[place(1, 0, 5, 2), place(2, 0, 5, 1)], &[]), &view).unwrap();
    assert_eq!(steps[0].to, backend(1));
}

/// The placement once all steps are done.
fn final_placement(view: &ClusterView, steps: &[Step]) -> Placement {
    let mut placement = view.placement.clone();
    for step in steps {
        assert!(placement.is_on(&step.volume, step.blocks, &step.from), "{step:?}");
        placement.place(&step.volume, step.blocks, &step.to, Index(99));
    }
    placement
}

/// Begins and ends steps in a random order that their dependencies allow.
fn run_in_random_order(view: &ClusterView, steps: &[Step], choices: Vec<u16>) -> Result<(), TestCaseError> {
    let (mut done, mut running) = (Vec::new(), Vec::new());
    let mut left: Vec<u32> = (1..=steps.len() as u32).collect();
    for choice in choices {
        let is_ready =
            |id: &u32| steps[*id as usize - 1].after.iter().all(|dependency| done.contains(dependency));
        let ready: Vec<u32> = left.iter().copied().filter(is_ready).collect();
        let position = choice as usize / 2;
        if choice % 2 == 0 && !ready.is_empty() {
            let id = ready[position % ready.len()];
            left.retain(|other| *other != id);
            running.push(id);
        } else if !running.is_empty() {
            done.push(running.remove(position % running.len()));
        }
        if let Err(error) = check_occupancy(view, steps, &done, &running) {
            prop_assert!(false, "{} {:?} {:?} {:?}", error, steps, done, running);
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn steps_reach_plan_within_capacity(
        capacities in proptest::collection::vec(20u64..60, 3..7),
        ranges in proptest::collection::vec((1usize..5, 1u64..12, 0usize..7), 1..12),
        wanted in proptest::collection::vec((0u64..3, 0usize..7), 4),
        emptied in 0usize..9,
        choices in proptest::collection::vec(any::<u16>(), 64),
    ) {
        let count = capacities.len();
        let ranges: Vec<TestRange> =
            ranges.into_iter().map(|(volume, len, backend)| (volume, len, backend % count)).collect();
        let view = cluster(&capacities, &ranges);
        prop_assume!(view.backends.keys().all(|id| view.occupancy().check(&view, id).is_ok()));
        let numbers: BTreeSet<usize> = ranges.iter().map(|(volume, ..)| *volume).collect();
        let mut places = Vec::new();
        for ((number, known), (parts, backend)) in numbers.into_iter().zip(view.volumes.values()).zip(&wanted) {
            let cut = known.blocks / (parts + 1);
            if *parts > 0 && cut > 0 {
                places.push(place(number, 0, cut, backend % count));
                places.push(place(number, cut, known.blocks, (backend + 1) % count));
            }
        }
        let is_free = emptied < count && places.iter().all(|place| place.backend != emptied);
        let emptied: Vec<usize> = is_free.then_some(emptied).into_iter().collect();
        let declared = plan(&places, &emptied);
        let steps = match declared.check(&view) {
            Ok(()) => order_steps(&declared, &view).unwrap(),
            Err(_) => return Ok(()),
        };
        let reversed: Vec<Place> = places.iter().rev().cloned().collect();
        prop_assert_eq!(&steps, &order_steps(&plan(&reversed, &emptied), &view).unwrap());
        let end = final_placement(&view, &steps);
        for place in &places {
            prop_assert!(end.is_on(&volume(place.volume), place.blocks, &backend(place.backend)));
        }
        for number in &emptied {
            let has_left = |volume| end.ranges(volume).iter().all(|range| range.backend != backend(*number));
            prop_assert!(end.volumes().all(has_left));
        }
        run_in_random_order(&view, &steps, choices)?;
    }
}
