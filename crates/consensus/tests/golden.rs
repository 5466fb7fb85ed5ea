//! Pins the encoding of everything that members store or send: messages, hard state, log entries, snapshots.
//!
//! Each file below `tests/golden/` is one value in postcard's encoding. Members of different versions run side by side and open
//! stores of earlier versions, so neither the encoding nor the meaning of these bytes may change.
#![allow(clippy::unwrap_used)]
use cluster_types::Index;
use consensus::{
    AppendOutcome, AppendRequest, AppendResponse, Entry, HardState, Incarnations, LogPosition, Message,
    Payload, Snapshot, SnapshotChunk, StoredState, Vote, VoteResponse,
};
use golden_files::GoldenFiles;

const GOLDEN: GoldenFiles = GoldenFiles::of_package(env!("CARGO_MANIFEST_DIR"));

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
    GOLDEN.assert_postcard("message.bootstrap_hello.bin", &Message::BootstrapHello { term: 1 });
    GOLDEN.assert_postcard(
        "message.bootstrap_request.bin",
        &Message::BootstrapRequest { term: 2, incarnations: incarnations() },
    );
    GOLDEN.assert_postcard("message.pre_vote_request.bin", &Message::PreVoteRequest { term: 300, last });
    GOLDEN.assert_postcard("message.vote_request.bin", &Message::VoteRequest { term: 301, last });
    GOLDEN.assert_postcard(
        "message.vote_response.bin",
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
    GOLDEN.assert_postcard(
        "message.append_request.bin",
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
    GOLDEN.assert_postcard("message.append_request.heartbeat.bin", &heartbeat);
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
        GOLDEN.assert_postcard(
            &format!("{name}.bin"),
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
    GOLDEN.assert_postcard("message.snapshot_chunk.bin", &chunk);
}

#[test]
fn hard_states_keep_their_bytes() {
    GOLDEN.assert_postcard(
        "hard_state.bin",
        &HardState {
            term: 7,
            vote: Some(Vote { candidate: "front-2".into(), incarnation: 1 << 40 }),
            commit: Index(300),
        },
    );
    GOLDEN.assert_postcard("hard_state.no_vote.bin", &HardState { term: 0, vote: None, commit: Index(0) });
}

#[test]
fn entries_keep_their_bytes() {
    for (name, entry) in entries() {
        GOLDEN.assert_postcard(&format!("{name}.bin"), &entry);
    }
}

#[test]
fn snapshots_keep_their_bytes() {
    GOLDEN.assert_postcard("snapshot.bin", &snapshot());
    GOLDEN.assert_postcard("snapshot.empty.bin", &Snapshot::default());
}

#[test]
fn stored_states_keep_their_bytes() {
    let hard_state = HardState { term: 7, vote: None, commit: Index(1_000) };
    let entries = vec![Entry { index: Index(1_001), term: 7, payload: Payload::Noop }];
    GOLDEN.assert_postcard(
        "stored_state.bin",
        &StoredState { incarnation: 11, hard_state, snapshot: Some(snapshot()), entries },
    );
}
