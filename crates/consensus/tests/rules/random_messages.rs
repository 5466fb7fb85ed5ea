//! Whatever comes from outside, a member neither panics nor loses what is committed.
use crate::cluster::{name, Trio};
use cluster_types::Index;
use consensus::{Entry, Event, Lives, Message, Outcome, Payload, Position};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn number(rng: &mut SmallRng) -> u64 {
    [0, 1, 2, 3, 4, 9, u64::MAX / 2 - 1, u64::MAX / 2, u64::MAX - 1, u64::MAX][rng.random_range(0..10)]
}

fn lives(rng: &mut SmallRng) -> Lives {
    (0..rng.random_range(0..4)).map(|n| (name(n), number(rng))).collect()
}

fn entry(rng: &mut SmallRng) -> Entry {
    let payload = match rng.random_range(0..4) {
        0 => Payload::Founding(lives(rng)),
        1 => Payload::Noop,
        2 => Payload::Readmit { member: name(rng.random_range(0..5)), life: number(rng) },
        _ => Payload::Data(vec![1; 9].into()),
    };
    Entry { index: Index(number(rng)), term: number(rng), payload }
}

fn message(rng: &mut SmallRng) -> Message {
    let (term, round) = (number(rng), number(rng));
    let last = Position { term: number(rng), index: number(rng) };
    let bytes = vec![0; rng.random_range(0..20)];
    match rng.random_range(0..8) {
        0 => Message::Hello { term },
        1 => Message::Found { term, lives: lives(rng) },
        2 => Message::PreVote { term, last },
        3 => Message::Vote { term, last },
        4 => Message::Voted { term, pre: rng.random(), granted: rng.random(), to: number(rng) },
        5 => {
            let entries = (0..rng.random_range(0..3)).map(|_| entry(rng)).collect();
            Message::Append { term, prev: last, entries, commit: number(rng), round }
        }
        6 => {
            let outcome = match rng.random_range(0..3) {
                0 => Outcome::Match(number(rng)),
                1 => Outcome::Reject {
                    prev: number(rng),
                    first: number(rng),
                    term: rng.random::<bool>().then_some(term),
                },
                _ => Outcome::Chunk { at: number(rng), next: number(rng) },
            };
            Message::Appended { term, round, counts: rng.random(), outcome }
        }
        _ => {
            let (size, offset) = (number(rng), number(rng));
            Message::Chunk { term, at: last, lives: lives(rng), size, offset, bytes, round }
        }
    }
}

#[test]
fn noise_breaks_nothing() {
    for seed in 0..30 {
        println!("seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut trio = if rng.random() { Trio::led(3) } else { Trio::new(3) };
        for _ in 0..300 {
            let (from, to) = (rng.random_range(0..3), rng.random_range(0..3));
            let (life, message) = (number(&mut rng), message(&mut rng));
            let before = trio.node(to).commit();
            trio.say(from, life, to, message);
            if rng.random_bool(0.05) {
                let (batch, upto) = (number(&mut rng), Index(number(&mut rng)));
                trio.give(to, Event::Persisted { batch });
                trio.give(to, Event::Snapshot { upto, data: vec![1; 3].into() });
                trio.run(rng.random_range(0..400));
            }
            assert!(trio.node(to).commit() >= before);
        }
    }
}
