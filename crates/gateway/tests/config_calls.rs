//! Parsing operators' changes of the distributed configuration.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use config_distribution::{Class, Key, Topic};
use gateway::admin::config_calls::parse;

#[test]
fn change_is_parsed_or_rejected_with_its_key() {
    let good = br#"{"class":"primary","puts":[{"topic":"shard/3","name":"box","value":{"a":1}},
        {"topic":"zone/z","name":"settings","value":null}]}"#;
    let batch = parse(good).unwrap();
    assert_eq!(batch.puts[0].key, Key::new(Topic::Shard(3), "box"));
    assert_eq!((batch.puts[0].class, batch.puts[1].value.clone()), (Class::Primary, None));
    for (body, key) in [
        (r#"{"class":"fast","puts":[]}"#, "class"),
        (r#"{"class":"primary","puts":[]}"#, "order"),
        (r#"{"class":"primary","puts":[{"topic":"hall/x","name":"a","value":{}}]}"#, "puts[0].topic"),
        (r#"{"class":"primary","puts":[{"topic":"fleet","name":"a","value":7}]}"#, "puts[0].value"),
        (r#"{"class":"primary","puts":[{"topic":"fleet","name":"a"}]}"#, "puts[0]"),
        (r#"{"class":"primary","puts":[{"topic":"fleet","name":"","value":null}]}"#, "fleet/"),
        (r#"{"class":"primary","by":1}"#, "by"),
    ] {
        let text = parse(body.as_bytes()).unwrap_err().to_string();
        assert!(text.starts_with(key), "{body}: {text}");
    }
}
