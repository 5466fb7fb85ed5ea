//! Gathered answers as RESP2 clients receive them.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use cluster_types::Time;
use dispatch::Bytes;
use gateway::client::response::EncodedResponse;
use gateway::scatter_gather::response::encode_answer;
use scatter_gather::{GatherEvent, Gathers, HealthRules, MemoryBudget, ShardResponse, ZoneTracker};

/// What a client is sent for these two shard responses, and the memory budget.
fn encoded(ends: [ShardResponse<Bytes>; 2]) -> (EncodedResponse, MemoryBudget) {
    let part = |n: u32| {
        format!("[[gather.part]]\nname = \"p{n}\"\nhall = \"hall-a\"\npiece = \"{n:016x}\"\nshard = 0\n")
    };
    let table = "[[gather]]\nname = \"g\"\nvolume = \"0000000000000001\"\npiece = \"00000000000000ff\"\n\
         class = \"stock-read\"\nsuffices = { at_least = 1 }\n";
    let file = include_str!("common/config.toml").replace("@IP@", "127.0.0.1");
    let config = config::read("x.toml", &(file + table + &part(0) + &part(1))).unwrap();
    let (now, mut out, budget) = (Time(1_000_000), Vec::new(), MemoryBudget::new(1 << 20));
    let mut gathers = Gathers::new(4, ZoneTracker::new(None, HealthRules::default()), budget.clone());
    let id = gathers.start(now, config.gather_policies[0].clone(), Time(2_000_000), &mut out).unwrap();
    for (part, result) in ends.into_iter().enumerate() {
        gathers.handle(now, id, GatherEvent::Response { request: part, response: result }, &mut out);
    }
    let answer = out.into_iter().find_map(|(_, action)| match action {
        scatter_gather::GatherAction::Answer(answer) => Some(answer),
        _ => None,
    });
    (encode_answer(answer.unwrap()), budget)
}

fn served(text: &str) -> ShardResponse<Bytes> {
    ShardResponse::Value(text.as_bytes().into())
}

fn bytes(reply: &EncodedResponse) -> String {
    let mut all = Vec::new();
    while !reply.remaining(all.len()).is_empty() {
        all.push(reply.remaining(all.len())[0]);
    }
    String::from_utf8(all).unwrap()
}

#[test]
fn values_are_joined_and_keep_their_reservations_until_sent() {
    let (complete, budget) = encoded([served("abc"), served("de")]);
    assert_eq!((bytes(&complete).as_str(), budget.reserved()), ("$5\r\nabcde\r\n", 5));
    drop(complete);
    assert_eq!(budget.reserved(), 0);
    let (nothing, _) = encoded([served(""), served("")]);
    assert_eq!(bytes(&nothing), "$0\r\n\r\n");
    let (partial, budget) = encoded([ShardResponse::Rejected(None), served("de")]);
    let text = "part missing=hall-a/p0:refused";
    assert_eq!(bytes(&partial), format!("*2\r\n$2\r\nde\r\n${}\r\n{text}\r\n", text.len()));
    drop(partial);
    assert_eq!(budget.reserved(), 0);
}

#[test]
fn failure_names_its_cause_and_a_rejection_when_to_retry() {
    let hint = ShardResponse::Rejected(Some(std::time::Duration::from_micros(30_001)));
    assert_eq!(bytes(&encoded([hint.clone(), hint.clone()]).0), "-BUSY 31\r\n");
    let failed = ShardResponse::Failed { reason: "no answer in time".into(), is_zone_reachable: false };
    let text = bytes(&encoded([hint, failed]).0);
    let missing = "hall-a/p0:refused,hall-a/p1:failed(no%20answer%20in%20time)";
    assert_eq!(text, format!("-ERR failed cause=too-few missing={missing}\r\n"));
}
