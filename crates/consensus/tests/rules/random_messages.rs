//! Random messages and storage events must neither make a member panic nor undo committed entries.
use crate::cluster::{member_id, Cluster};
use cluster_types::Index;
use consensus::{
    AppendOutcome, AppendRequest, AppendResponse, Entry, Event, Incarnations, LogPosition, Message, Payload,
    SnapshotChunk, VoteResponse,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn random_number(rng: &mut SmallRng) -> u64 {
    [0, 1, 2, 3, 4, 9, u64::MAX / 2 - 1, u64::MAX / 2, u64::MAX - 1, u64::MAX][rng.random_range(0..10)]
}

fn random_incarnations(rng: &mut SmallRng) -> Incarnations {
    (0..rng.random_range(0..4)).map(|n| (member_id(n), random_number(rng))).collect()
}

fn random_entry(rng: &mut SmallRng) -> Entry {
    let payload = match rng.random_range(0..4) {
        0 => Payload::Bootstrap(random_incarnations(rng)),
        1 => Payload::Noop,
        2 => Payload::Readmit { member: member_id(rng.random_range(0..5)), incarnation: random_number(rng) },
        _ => Payload::Data(vec![1; 9].into()),
    };
    Entry { index: Index(random_number(rng)), term: random_number(rng), payload }
}

fn random_message(rng: &mut SmallRng) -> Message {
    let (term, round) = (random_number(rng), random_number(rng));
    let last = LogPosition { term: random_number(rng), index: random_number(rng) };
    let bytes = vec![0; rng.random_range(0..20)];
    match rng.random_range(0..8) {
        0 => Message::BootstrapHello { term },
        1 => Message::BootstrapRequest { term, incarnations: random_incarnations(rng) },
        2 => Message::PreVoteRequest { term, last },
        3 => Message::VoteRequest { term, last },
        4 => Message::VoteResponse(VoteResponse {
            term,
            is_pre_vote: rng.random(),
            is_granted: rng.random(),
            candidate_incarnation: random_number(rng),
        }),
        5 => {
            let entries = (0..rng.random_range(0..3)).map(|_| random_entry(rng)).collect();
            Message::AppendRequest(AppendRequest {
                term,
                previous: last,
                entries,
                commit_index: random_number(rng),
                round,
            })
        }
        6 => {
            let outcome = match rng.random_range(0..3) {
                0 => AppendOutcome::Matched(random_number(rng)),
                1 => AppendOutcome::Rejected {
                    previous_index: random_number(rng),
                    retry_index: random_number(rng),
                    conflict_term: rng.random::<bool>().then_some(term),
                },
                _ => AppendOutcome::ChunkExpected {
                    snapshot_index: random_number(rng),
                    offset: random_number(rng),
                },
            };
            Message::AppendResponse(AppendResponse { term, round, counts_for_quorum: rng.random(), outcome })
        }
        _ => {
            let (size, offset) = (random_number(rng), random_number(rng));
            Message::SnapshotChunk(SnapshotChunk {
                term,
                last,
                incarnations: random_incarnations(rng),
                total_bytes: size,
                offset,
                bytes,
                round,
            })
        }
    }
}

#[test]
fn random_messages_never_undo_commits() {
    for seed in 0..30 {
        println!("seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut cluster = if rng.random() { Cluster::with_leader(3) } else { Cluster::new(3) };
        for _ in 0..300 {
            let (from, to) = (rng.random_range(0..3), rng.random_range(0..3));
            let (incarnation, message) = (random_number(&mut rng), random_message(&mut rng));
            let commit_before = cluster.node(to).commit_index();
            cluster.deliver(from, incarnation, to, message);
            if rng.random_bool(0.05) {
                let (batch, last) = (random_number(&mut rng), Index(random_number(&mut rng)));
                cluster.handle(to, Event::Persisted { batch_id: batch });
                cluster.handle(to, Event::SnapshotTaken { last_index: last, data: vec![1; 3].into() });
                cluster.run(rng.random_range(0..400));
            }
            assert!(cluster.node(to).commit_index() >= commit_before);
        }
    }
}
