//! Checks of plans against a cluster.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use cluster_types::{BackendId, BlockRange, Index, Volume};
use resharding::plan::CapacityError;
use resharding::*;
use rstest::rstest;

const VOLUME: &str = "0000000000000001";
const OTHER_VOLUME: &str = "0000000000000002";

fn view() -> ClusterView {
    let mut view = ClusterView::default();
    for (id, zone, capacity_blocks, rate) in
        [("box-01", "h1", 200, 1000), ("box-02", "h1", 200, 1000), ("box-03", "h2", 100, 500)]
    {
        let names = [format!("10.0.0.{}", &id[5..]), "all-of-them".to_string()].into();
        let backend = BackendView { zone: zone.into(), names, capacity_blocks, rate, reserved_rate: 100 };
        view.backends.insert(BackendId::from(id), backend);
    }
    view.volumes.insert(Volume::from(VOLUME), VolumeView { blocks: 100, reserved_rate: 300 });
    view.volumes.insert(Volume::from(OTHER_VOLUME), VolumeView { blocks: 50, reserved_rate: 10 });
    view.placement.place(
        &Volume::from(VOLUME),
        BlockRange { first: 0, end: 100 },
        &BackendId::from("box-01"),
        Index(1),
    );
    view.placement.place(
        &Volume::from(OTHER_VOLUME),
        BlockRange { first: 0, end: 50 },
        &BackendId::from("box-02"),
        Index(1),
    );
    view
}

fn place(volume: &str, blocks: &str, on: &str) -> String {
    format!("[[place]]\nvolume = \"{volume}\"\nblocks = \"{blocks}\"\non = \"{on}\"\n")
}

fn check_error(body: &str) -> PlanError {
    let file = if body.contains("plan =") { body.to_string() } else { format!("plan = \"p\"\n{body}") };
    Plan::read(&file).and_then(|plan| plan.check(&view())).expect_err(body)
}

#[rstest]
#[case::no_name("plan = \"\"", "plan")]
#[case::unknown_key("plan = \"p\"\nplaces = 1", "places")]
#[case::missing_key("[[place]]\nvolume = \"0000000000000001\"\nblocks = \"0..1\"", "place[0].on")]
#[case::unknown_key_of_place("[[empty]]\nbox = \"box-01\"\nnow = true", "empty[0].now")]
#[case::wrong_type("[[empty]]\nbox = 4", "empty[0].box")]
#[case::not_a_volume(&place("12", "0..100", "box-01"), "place[0].volume")]
#[case::not_blocks(&place(VOLUME, "0-100", "box-01"), "place[0].blocks")]
#[case::no_blocks(&place(VOLUME, "5..5", "box-01"), "place[0].blocks")]
#[case::unknown_volume(&place("00000000000000ff", "0..100", "box-01"), "place[0].volume")]
#[case::unknown_backend(&place(VOLUME, "0..100", "box-09"), "place[0].on")]
#[case::name_of_many(&place(VOLUME, "0..100", "all-of-them"), "place[0].on")]
#[case::overlap(&(place(VOLUME, "0..60", "box-01") + &place(VOLUME, "50..100", "box-02")), "place[1].blocks")]
#[case::overlap_in_other_order(&(place(VOLUME, "50..100", "box-01") + &place(VOLUME, "0..60", "box-02")), "place[1].blocks")]
#[case::gap(&(place(VOLUME, "0..40", "box-01") + &place(VOLUME, "50..100", "box-02")), "place[1].blocks")]
#[case::gap_at_the_start(&place(VOLUME, "1..100", "box-01"), "place[0].blocks")]
#[case::gap_at_the_end(&place(VOLUME, "0..99", "box-01"), "place[0].blocks")]
#[case::too_far(&place(VOLUME, "0..101", "box-01"), "place[0].blocks")]
#[case::two_names(&(place(VOLUME, "0..50", "box-02") + &place(VOLUME, "50..100", "10.0.0.02")), "place[1].on")]
#[case::two_names_in_two_sections(&(place(VOLUME, "0..100", "box-02") + "[[empty]]\nbox = \"10.0.0.02\""), "empty[0].box")]
#[case::named_twice("[[empty]]\nbox = \"box-01\"\n[[empty]]\nbox = \"box-01\"", "empty[1].box")]
#[case::emptied_and_filled(&(place(VOLUME, "0..100", "box-02") + "[[empty]]\nbox = \"box-02\""), "place[0].on")]
#[case::no_migrations("[bounds]\nmoves_at_once = 0", "bounds.moves_at_once")]
#[case::no_migrations_of_a_backend("[bounds]\nper_box = -1", "bounds.per_box")]
#[case::no_share("[bounds]\nshare_of_spare = 0.0", "bounds.share_of_spare")]
#[case::too_large_a_share("[bounds]\nshare_of_spare = 1.5", "bounds.share_of_spare")]
#[case::no_such_order("[bounds]\nacross_halls = \"imports\"", "bounds.across_halls")]
#[case::may_not_leave_its_zone(&(place(OTHER_VOLUME, "0..50", "box-03") + "[bounds]\nacross_halls = \"never\""), "bounds.across_halls")]
#[case::reservations_fit(&(place(VOLUME, "0..100", "box-02") + &place(OTHER_VOLUME, "0..50", "box-02") + "[[empty]]\nbox = \"box-03\""), "")]
#[case::no_capacity_to_empty("[[empty]]\nbox = \"box-01\"\n[[empty]]\nbox = \"box-02\"", "empty[1].box")]
fn reports_key_of_rejected_plan(#[case] body: &str, #[case] key: &str) {
    if key.is_empty() {
        let plan = Plan::read(&format!("plan = \"p\"\n{body}")).unwrap();
        plan.check(&view()).unwrap();
        return;
    }
    let error = check_error(body);
    assert_eq!(error.key, key, "{error}");
    assert!(error.problem.to_string().len() > 8, "{error}");
}

/// A range is not placed where its reservation or its blocks do not fit.
#[test]
fn rejects_plan_beyond_reservation_or_capacity() {
    let plan = Plan::read(&format!("plan = \"p\"\n{}", place(VOLUME, "0..100", "box-03"))).unwrap();
    plan.check(&view()).unwrap();
    let mut tight = view();
    tight.volumes.get_mut(&Volume::from(VOLUME)).unwrap().reserved_rate = 450;
    assert_eq!(plan.check(&tight).unwrap_err().key, "place[0].on");
    let mut small = view();
    small.backends.get_mut(&BackendId::from("box-03")).unwrap().capacity_blocks = 99;
    let error = plan.check(&small).unwrap_err();
    assert!(matches!(error.problem, PlanProblem::Capacity(CapacityError::Blocks { capacity: 99, .. })));
    assert!(error.problem.to_string().contains("room for 99"));
    let mut busy = view();
    busy.backends.get_mut(&BackendId::from("box-01")).unwrap().reserved_rate = 700;
    assert_eq!(plan.check(&busy).unwrap_err().key, "bounds.share_of_spare");
}

/// The example of the operators' manual.
#[test]
fn reads_example_plan() {
    let plan = Plan::read(
        "plan = \"before-the-holidays\"\n[[place]]\nvolume = \"0000000000000001\"\nblocks = \"0..65536\"\non = \"box-09\"\n\
         [[empty]]\nbox = \"box-04\"\n[bounds]\nmoves_at_once = 2\nper_box = 1\nshare_of_spare = 0.25\nacross_halls = \"exports-first\"\n",
    )
    .unwrap();
    assert_eq!(
        (plan.bounds.max_migrations, plan.bounds.copy_share_permille, plan.targets.len()),
        (2, 250, 1)
    );
}

/// Overlapping pieces and repeated names are rejected, and a piece that the file does not map is not found.
#[test]
fn reads_disjoint_pieces() {
    let piece = |name: &str, blocks: &str| {
        format!("[[piece]]\nvolume = \"{VOLUME}\"\nname = \"{name}\"\nblocks = \"{blocks}\"\n")
    };
    let pieces = PieceMap::read(&(piece("a", "0..4") + &piece("b", "4..6"))).unwrap();
    let volume = Volume::from(VOLUME);
    assert_eq!(pieces.find(&volume, "b"), Some(BlockRange { first: 4, end: 6 }));
    assert_eq!(pieces.find(&volume, "new"), None);
    let within: Vec<_> =
        pieces.within(&volume, BlockRange { first: 3, end: 4 }).map(|(name, _)| name).collect();
    assert_eq!(within, ["a"]);
    let error = PieceMap::read(&(piece("a", "0..4") + &piece("b", "3..6"))).unwrap_err();
    assert_eq!(error.key, "piece[1].blocks");
    assert_eq!(PieceMap::read(&(piece("a", "0..4") + &piece("a", "5..6"))).unwrap_err().key, "piece[1].name");
}
