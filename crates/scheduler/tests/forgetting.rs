//! What has left is forgotten, and no rule leans on what was.
mod common;
use common::*;
use scheduler::interface::*;

fn list(host: &mut Host, entries: Vec<NodeEntry>) -> Vec<Action> {
    host.tell(Event::List(ListNews::Delta(entries)))
}

fn gone(name: &str, shard: u32) -> NodeEntry {
    NodeEntry { state: NodeState::Gone, ..entry(name, shard) }
}

#[test]
fn nodes_that_have_left_are_forgotten_once_nothing_is_out_there() {
    let mut host = Host::new(settings());
    assert_eq!(sent(&host.arrive(request(1))), vec![1]);
    list(&mut host, vec![gone("a", 0), gone("b", 1), entry("n0", 1)]);
    assert_eq!(host.scheduler.known().0, 2, "an attempt is out at the first");
    assert_eq!(refused(&host.end(1, Ending::Reset, MS)), Vec::<u64>::new(), "its end is understood");
    for n in 0..500 {
        list(&mut host, vec![gone(&format!("n{n}"), 1), entry(&format!("n{}", n + 1), 1)]);
        host.pass(30 * MS);
    }
    assert_eq!(host.scheduler.known().0, 1);
    host.pass(20 * S);
    let arrived = host.arrive(Request { shard: Some(ShardId(1)), ..request(2) });
    assert_eq!((sent(&arrived), host.nodes[&2].0.as_ref()), (vec![2], "n500"));
}

#[test]
fn a_node_that_returns_counts_as_cold() {
    let mut host = Host::new(settings());
    host.pass(5 * S);
    list(&mut host, vec![gone("a", 0)]);
    list(&mut host, vec![gone("b", 1)]);
    assert_eq!(host.scheduler.known().0, 0);
    list(&mut host, vec![entry("a", 0)]);
    let mut at_once = 0;
    for id in 1..20 {
        at_once += sent(&host.arrive(request(id))).len();
        if host.attempts.contains_key(&id) {
            host.end(id, Ending::Ok, MS);
        }
    }
    assert!((1..=2).contains(&at_once), "{at_once} requests of 2 units where 4 units are this host's part");
}

#[test]
fn volumes_whose_stores_are_full_are_forgotten_and_limits_are_not_refilled() {
    let mut s = settings();
    s.plans[1] = Plan { limit_rate: 0.01, limit_burst: 8.0, ..plan() };
    let mut host = Host::new(s);
    host.pass(2000 * S);
    let of =
        |id: u64, plan: usize, volume: &str| Request { plan, volume: VolumeId(volume.into()), ..request(id) };
    // One has spent what its limit gives for minutes to come.
    let limited = (1..=8).filter(|id| {
        let sends = sent(&host.arrive(of(*id, 1, "limited"))).len() == 1;
        if sends {
            host.end(*id, Ending::Ok, MS);
        }
        sends
    });
    assert_eq!(limited.count(), 4);
    for id in 100..9000 {
        assert_eq!(sent(&host.arrive(of(id, 0, &id.to_string()))), vec![id]);
        host.end(id, Ending::Ok, MS);
        host.pass(MS);
    }
    assert!(host.scheduler.known().1 <= 1100, "{} volumes", host.scheduler.known().1);
    assert_eq!(sent(&host.arrive(of(9001, 1, "limited"))), Vec::<u64>::new(), "its limit is known still");
}

#[test]
fn shards_that_clients_make_up_are_bounded() {
    let mut host = Host::new(settings());
    let mut turned_away = 0;
    for id in 0..3000 {
        let shard = Some(ShardId(1000 + id as u32));
        let volume = VolumeId("v".into());
        turned_away += refused(&host.arrive(Request { shard, volume, ..request(id) })).len();
    }
    assert!(turned_away >= 1900, "{turned_away}");
    host.pass(10 * S);
    list(&mut host, vec![entry("c", 2)]);
    assert_eq!(sent(&host.arrive(Request { shard: Some(ShardId(2)), ..request(9000) })), vec![9000]);
}

#[test]
fn a_reload_refills_no_limit_and_changes_those_that_it_names() {
    let limited =
        |rate| Settings { plans: vec![Plan { limit_rate: rate, limit_burst: 8.0, ..plan() }], ..settings() };
    let mut host = Host::new(limited(4.0));
    host.pass(10 * S);
    let of = |id: u64, volume: &str| Request { volume: VolumeId(volume.into()), ..request(id) };
    let count = |host: &mut Host, from: u64, volume: &str| {
        let ids = from..from + 8;
        ids.filter(|id| {
            let sends = sent(&host.arrive(of(*id, volume))).len() == 1;
            if sends {
                host.end(*id, Ending::Ok, MS);
            }
            sends
        })
        .count()
    };
    assert_eq!(count(&mut host, 10, "known"), 4);
    let now = Micros(host.now);
    host.scheduler.reload(now, limited(4.0)).expect("good settings");
    assert_eq!((count(&mut host, 20, "known"), count(&mut host, 30, "new")), (0, 4), "the same limits");
    let now = Micros(host.now);
    host.scheduler.reload(now, limited(40.0)).expect("good settings");
    assert_eq!(count(&mut host, 40, "newer"), 0, "what was sent under the old limits is not known");
    assert!(!sent(&host.pass(S)).is_empty(), "it fills at the new rate");
    let faulty = Settings { hosts: 0, ..limited(1.0) };
    assert!(host.scheduler.reload(Micros(host.now), faulty).is_err());
}
