//! Holds the bytes of everything that members store or send: messages, hard state, log entries, snapshots.
//!
//! Each file below `tests/golden/` is one value in postcard's encoding. Members of different versions run side by side and open
//! stores of earlier versions, so neither the encoding nor the meaning of these bytes may change.
#![allow(clippy::unwrap_used)]
use cluster_types::Index;
use consensus::{
    AppendOutcome, AppendRequest, AppendResponse, Entry, HardState, Incarnations, LogPosition, Message,
    Payload, Snapshot, SnapshotChunk, StoredState, Vote, VoteResponse,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use std::path::Path;

/// Checks that `value` encodes to the golden file, and that the file decodes to `value` and encodes to itself again.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(format!("{name}.bin"));
    let golden = std::fs::read(&file).unwrap_or_default();
    assert_eq!(postcard::to_stdvec(value).unwrap(), golden, "{name}: encoding");
    let decoded: T = postcard::from_bytes(&golden).unwrap();
    assert_eq!(&decoded, value, "{name}: decoding");
    assert_eq!(postcard::to_stdvec(&decoded).unwrap(), golden, "{name}: encoding what was decoded");
}

fn incarnations() -> Incarnations {
    [("front-1", 11), ("front-2", u64::MAX), ("front-3", 300)]
        .map(|(name, incarnation)| (name.into(), incarnation))
        .into()
}

fn entries() -> [(&'static str, Entry); 4] {
    let entry = |index, payload| Entry { index: Index(index), term: 7, payload };
    [
        ("entry.bootstrap", entry(1, Payload::Bootstrap(incarnations()))),
        ("entry.noop", entry(2, Payload::Noop)),
        ("entry.readmit", entry(300, Payload::Readmit { member: "front-2".into(), incarnation: 1 << 40 })),
        ("entry.data", entry(1 << 33, Payload::Data([0, 1, 127, 128, 255].as_slice().into()))),
    ]
}

fn snapshot() -> Snapshot {
    Snapshot {
        last: LogPosition { term: 6, index: 1_000 },
        incarnations: incarnations(),
        data: b"state".as_slice().into(),
    }
}

#[test]
fn vote_messages_keep_their_bytes() {
    let last = LogPosition { term: 6, index: 200 };
    check("message.bootstrap_hello", &Message::BootstrapHello { term: 1 });
    check("message.bootstrap_request", &Message::BootstrapRequest { term: 2, incarnations: incarnations() });
    check("message.pre_vote_request", &Message::PreVoteRequest { term: 300, last });
    check("message.vote_request", &Message::VoteRequest { term: 301, last });
    check(
        "message.vote_response",
        &Message::VoteResponse(VoteResponse {
            term: 302,
            is_pre_vote: true,
            is_granted: false,
            candidate_incarnation: 1 << 50,
        }),
    );
}

#[test]
fn replication_messages_keep_their_bytes() {
    let last = LogPosition { term: 6, index: 200 };
    let entries = entries().map(|(_, entry)| entry).to_vec();
    check(
        "message.append_request",
        &Message::AppendRequest(AppendRequest {
            term: 7,
            previous: last,
            entries,
            commit_index: 150,
            round: 12_345,
        }),
    );
    let heartbeat = Message::AppendRequest(AppendRequest {
        term: 7,
        previous: last,
        entries: Vec::new(),
        commit_index: 0,
        round: 1,
    });
    check("message.append_request.heartbeat", &heartbeat);
    let outcomes = [
        ("message.append_response.matched", AppendOutcome::Matched(200)),
        (
            "message.append_response.rejected",
            AppendOutcome::Rejected { previous_index: 200, retry_index: 100, conflict_term: Some(5) },
        ),
        (
            "message.append_response.rejected.no_term",
            AppendOutcome::Rejected { previous_index: 200, retry_index: 100, conflict_term: None },
        ),
        (
            "message.append_response.chunk_expected",
            AppendOutcome::ChunkExpected { snapshot_index: 1_000, offset: 65_536 },
        ),
    ];
    for (name, outcome) in outcomes {
        check(
            name,
            &Message::AppendResponse(AppendResponse {
                term: 7,
                round: 12_345,
                counts_for_quorum: name.ends_with("matched"),
                outcome,
            }),
        );
    }
}

#[test]
fn snapshot_chunks_keep_their_bytes() {
    let last = LogPosition { term: 6, index: 200 };
    let bytes = vec![9; 5];
    let chunk = Message::SnapshotChunk(SnapshotChunk {
        term: 7,
        last,
        incarnations: incarnations(),
        total_bytes: 70_000,
        offset: 65_536,
        bytes,
        round: 8,
    });
    check("message.snapshot_chunk", &chunk);
}

#[test]
fn hard_states_keep_their_bytes() {
    check(
        "hard_state",
        &HardState {
            term: 7,
            vote: Some(Vote { candidate: "front-2".into(), incarnation: 1 << 40 }),
            commit: Index(300),
        },
    );
    check("hard_state.no_vote", &HardState { term: 0, vote: None, commit: Index(0) });
}

#[test]
fn entries_keep_their_bytes() {
    for (name, entry) in entries() {
        check(name, &entry);
    }
}

#[test]
fn snapshots_keep_their_bytes() {
    check("snapshot", &snapshot());
    check("snapshot.empty", &Snapshot::default());
}

#[test]
fn stored_states_keep_their_bytes() {
    let hard_state = HardState { term: 7, vote: None, commit: Index(1_000) };
    let entries = vec![Entry { index: Index(1_001), term: 7, payload: Payload::Noop }];
    check("stored_state", &StoredState { incarnation: 11, hard_state, snapshot: Some(snapshot()), entries });
}
