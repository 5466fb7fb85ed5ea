//! Memory bounds: backends, volumes and shards that are no longer needed are evicted.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use scheduler::interface::*;

#[test]
fn evicts_gone_backends_without_attempts_in_flight() {
    let mut gateway = Gateway::new(default_settings());
    assert_eq!(sent(&gateway.arrive(request(1))), vec![1]);
    update_list(&mut gateway, vec![gone_entry("a", 0), gone_entry("b", 1), entry("n0", 1)]);
    assert_eq!(gateway.scheduler.known_counts().backends, 2, "an attempt is in flight at the first");
    assert_eq!(
        rejected(&gateway.end_attempt(1, AttemptOutcome::Reset, MS)),
        Vec::<u64>::new(),
        "the end of its attempt is handled"
    );
    for n in 0..500 {
        update_list(&mut gateway, vec![gone_entry(&format!("n{n}"), 1), entry(&format!("n{}", n + 1), 1)]);
        gateway.advance(30 * MS);
    }
    assert_eq!(gateway.scheduler.known_counts().backends, 1);
    gateway.advance(20 * SECOND);
    let arrived = gateway.arrive(Request { shard: Some(ShardId(1)), ..request(2) });
    assert_eq!((sent(&arrived), gateway.backends[&2].0.as_ref()), (vec![2], "n500"));
}

#[test]
fn evicts_volumes_with_full_token_buckets() {
    let mut settings = default_settings();
    settings.plans[1] = Plan { limit_rate: 0.01, limit_burst: 8.0, ..plan() };
    let mut gateway = Gateway::new(settings);
    gateway.advance(2000 * SECOND);
    let request_of =
        |id: u64, plan: usize, volume: &str| Request { plan, volume: VolumeId(volume.into()), ..request(id) };
    // One volume has used up its rate limit for minutes.
    let limited = (1..=8).filter(|id| {
        let is_sent = sent(&gateway.arrive(request_of(*id, 1, "limited"))).len() == 1;
        if is_sent {
            gateway.end_attempt(*id, AttemptOutcome::Ok, MS);
        }
        is_sent
    });
    assert_eq!(limited.count(), 4);
    for id in 100..9000 {
        assert_eq!(sent(&gateway.arrive(request_of(id, 0, &id.to_string()))), vec![id]);
        gateway.end_attempt(id, AttemptOutcome::Ok, MS);
        gateway.advance(MS);
    }
    assert!(
        gateway.scheduler.known_counts().volumes <= 1100,
        "{} volumes",
        gateway.scheduler.known_counts().volumes
    );
    assert_eq!(
        sent(&gateway.arrive(request_of(9001, 1, "limited"))),
        Vec::<u64>::new(),
        "its rate limit is still known"
    );
}

#[test]
fn bounds_shards_known_only_from_requests() {
    let mut gateway = Gateway::new(default_settings());
    let mut rejections = 0;
    for id in 0..3000 {
        let shard = Some(ShardId(1000 + id as u32));
        let volume = VolumeId("v".into());
        rejections += rejected(&gateway.arrive(Request { shard, volume, ..request(id) })).len();
    }
    assert!(rejections >= 1900, "{rejections}");
    gateway.advance(10 * SECOND);
    update_list(&mut gateway, vec![entry("c", 2)]);
    assert_eq!(sent(&gateway.arrive(Request { shard: Some(ShardId(2)), ..request(9000) })), vec![9000]);
}
