//! Parsing operators' calls to the coordination group.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use coordination::OperatorCall;
use gateway::admin::coordination_calls::parse;

#[test]
fn calls_are_parsed_or_rejected_with_the_query_at_fault() {
    let call = parse("POST", "/v1/accord/wishes/shelf%204?boxes=box-04,box-05&work_s=90&together=1");
    let backends = ["box-04".into(), "box-05".into()].into();
    let expected = OperatorCall::RequestMaintenance {
        name: "shelf 4".into(),
        backends,
        work_ms: 90_000,
        deadline_ms: None,
        all_at_once: true,
    };
    assert_eq!(call, Ok(expected));
    assert_eq!(parse("GET", "/v1/accord"), Ok(OperatorCall::Status));
    assert_eq!(parse("POST", "/v1/accord").unwrap_err().status().0, 405);
    assert_eq!(parse("GET", "/v1/accord/other").unwrap_err().status().0, 404);
    for (query, key) in [
        ("", "boxes"),
        ("boxes=a", "work_s"),
        ("boxes=a&work_s=x", "work_s"),
        ("boxes=a&work_s=1&together=yes", "together"),
        ("boxes=a&work_s=1&until=5", "until"),
    ] {
        let error = parse("POST", &format!("/v1/accord/wishes/w?{query}")).unwrap_err();
        let (code, text) = (error.status().0, error.to_string());
        assert!(code == 400 && text.starts_with(key), "{query}: {code} {text}");
    }
}
