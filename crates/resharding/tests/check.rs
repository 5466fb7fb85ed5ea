//! The check of a plan: each refusal has the right key.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use cluster_types::{BackendId, BlockRange, Index, Volume};
use resharding::*;
use rstest::rstest;

const V: &str = "0000000000000001";
const W: &str = "0000000000000002";

fn view() -> FleetView {
    let mut view = FleetView::default();
    for (id, hall, room, rate) in
        [("box-01", "h1", 200, 1000), ("box-02", "h1", 200, 1000), ("box-03", "h2", 100, 500)]
    {
        let names = [format!("10.0.0.{}", &id[5..]), "all-of-them".to_string()].into();
        let b = BoxView { hall: hall.into(), names, room, rate, held: 100 };
        view.boxes.insert(BackendId::from(id), b);
    }
    view.volumes.insert(Volume::from(V), VolumeView { blocks: 100, reserve: 300 });
    view.volumes.insert(Volume::from(W), VolumeView { blocks: 50, reserve: 10 });
    view.placement.put(
        &Volume::from(V),
        BlockRange { first: 0, end: 100 },
        &BackendId::from("box-01"),
        Index(1),
    );
    view.placement.put(
        &Volume::from(W),
        BlockRange { first: 0, end: 50 },
        &BackendId::from("box-02"),
        Index(1),
    );
    view
}

fn place(volume: &str, blocks: &str, on: &str) -> String {
    format!("[[place]]\nvolume = \"{volume}\"\nblocks = \"{blocks}\"\non = \"{on}\"\n")
}

fn fault(body: &str) -> Fault {
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
#[case::not_blocks(&place(V, "0-100", "box-01"), "place[0].blocks")]
#[case::no_blocks(&place(V, "5..5", "box-01"), "place[0].blocks")]
#[case::unknown_volume(&place("00000000000000ff", "0..100", "box-01"), "place[0].volume")]
#[case::unknown_box(&place(V, "0..100", "box-09"), "place[0].on")]
#[case::name_of_many(&place(V, "0..100", "all-of-them"), "place[0].on")]
#[case::overlap(&(place(V, "0..60", "box-01") + &place(V, "50..100", "box-02")), "place[1].blocks")]
#[case::overlap_in_other_order(&(place(V, "50..100", "box-01") + &place(V, "0..60", "box-02")), "place[1].blocks")]
#[case::gap(&(place(V, "0..40", "box-01") + &place(V, "50..100", "box-02")), "place[1].blocks")]
#[case::gap_at_the_start(&place(V, "1..100", "box-01"), "place[0].blocks")]
#[case::gap_at_the_end(&place(V, "0..99", "box-01"), "place[0].blocks")]
#[case::too_far(&place(V, "0..101", "box-01"), "place[0].blocks")]
#[case::two_names(&(place(V, "0..50", "box-02") + &place(V, "50..100", "10.0.0.02")), "place[1].on")]
#[case::two_names_in_two_sections(&(place(V, "0..100", "box-02") + "[[empty]]\nbox = \"10.0.0.02\""), "empty[0].box")]
#[case::named_twice("[[empty]]\nbox = \"box-01\"\n[[empty]]\nbox = \"box-01\"", "empty[1].box")]
#[case::emptied_and_filled(&(place(V, "0..100", "box-02") + "[[empty]]\nbox = \"box-02\""), "place[0].on")]
#[case::no_moves("[bounds]\nmoves_at_once = 0", "bounds.moves_at_once")]
#[case::no_moves_a_box("[bounds]\nper_box = -1", "bounds.per_box")]
#[case::no_share("[bounds]\nshare_of_spare = 0.0", "bounds.share_of_spare")]
#[case::too_large_a_share("[bounds]\nshare_of_spare = 1.5", "bounds.share_of_spare")]
#[case::no_such_order("[bounds]\nacross_halls = \"imports\"", "bounds.across_halls")]
#[case::may_not_leave_its_hall(&(place(W, "0..50", "box-03") + "[bounds]\nacross_halls = \"never\""), "bounds.across_halls")]
#[case::reserves_do_not_fit(&(place(V, "0..100", "box-02") + &place(W, "0..50", "box-02") + "[[empty]]\nbox = \"box-03\""), "")]
#[case::no_room_to_empty("[[empty]]\nbox = \"box-01\"\n[[empty]]\nbox = \"box-02\"", "empty[1].box")]
fn is_refused_with_its_key(#[case] body: &str, #[case] key: &str) {
    if key.is_empty() {
        let plan = Plan::read(&format!("plan = \"p\"\n{body}")).unwrap();
        plan.check(&view()).unwrap();
        return;
    }
    let fault = fault(body);
    assert_eq!(fault.key, key, "{fault}");
    assert!(fault.reason.len() > 8, "{fault}");
}

/// Guards against a move that ends where the reserves, or the blocks, do not fit.
#[test]
fn reserves_and_room_are_kept() {
    let plan = Plan::read(&format!("plan = \"p\"\n{}", place(V, "0..100", "box-03"))).unwrap();
    plan.check(&view()).unwrap();
    let mut tight = view();
    tight.volumes.get_mut(&Volume::from(V)).unwrap().reserve = 450;
    assert_eq!(plan.check(&tight).unwrap_err().key, "place[0].on");
    let mut small = view();
    small.boxes.get_mut(&BackendId::from("box-03")).unwrap().room = 99;
    assert!(plan.check(&small).unwrap_err().reason.contains("room for 99"));
    let mut busy = view();
    busy.boxes.get_mut(&BackendId::from("box-01")).unwrap().held = 700;
    assert_eq!(plan.check(&busy).unwrap_err().key, "bounds.share_of_spare");
}

/// Guards against the operators' own example being refused.
#[test]
fn the_example_is_read() {
    let plan = Plan::read(
        "plan = \"before-the-holidays\"\n[[place]]\nvolume = \"0000000000000001\"\nblocks = \"0..65536\"\non = \"box-09\"\n\
         [[empty]]\nbox = \"box-04\"\n[bounds]\nmoves_at_once = 2\nper_box = 1\nshare_of_spare = 0.25\nacross_halls = \"exports-first\"\n",
    )
    .unwrap();
    assert_eq!((plan.bounds.moves_at_once, plan.bounds.share_milli, plan.places.len()), (2, 250, 1));
}

/// Guards against two pieces on the same blocks, and against a piece that is found where nothing maps it.
#[test]
fn pieces_stand_for_blocks() {
    let piece = |name: &str, blocks: &str| {
        format!("[[piece]]\nvolume = \"{V}\"\nname = \"{name}\"\nblocks = \"{blocks}\"\n")
    };
    let pieces = Pieces::read(&(piece("a", "0..4") + &piece("b", "4..6"))).unwrap();
    let volume = Volume::from(V);
    assert_eq!(pieces.find(&volume, "b"), Some(BlockRange { first: 4, end: 6 }));
    assert_eq!(pieces.find(&volume, "new"), None);
    let within: Vec<_> =
        pieces.within(&volume, BlockRange { first: 3, end: 4 }).map(|(name, _)| name).collect();
    assert_eq!(within, ["a"]);
    let fault = Pieces::read(&(piece("a", "0..4") + &piece("b", "3..6"))).unwrap_err();
    assert_eq!(fault.key, "piece[1].blocks");
    assert_eq!(Pieces::read(&(piece("a", "0..4") + &piece("a", "5..6"))).unwrap_err().key, "piece[1].name");
}
