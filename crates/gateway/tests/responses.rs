//! Responses that wait for their clients.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use dispatch::Bytes;
use gateway::backend::value::{Answer, Value};
use gateway::client::response::{encode, EncodedResponse, PendingResponse};
use gateway::context::Context;

#[test]
fn responses_over_the_limit_fail_until_others_are_sent() {
    let file = include_str!("common/config.toml").replace("@IP@", "127.0.0.1");
    let config = config::read("x.toml", &format!("limits = {{ memory_mb = 8 }}\n{file}")).unwrap();
    let context = Context::new(config);
    let value = || encode(Answer::Served(Value::Complete(Bytes::from(vec![0; resp::MAX_VALUE_BYTES]))));
    let mut pending: Vec<PendingResponse> =
        (0..20).map(|_| PendingResponse::new(&context, value())).collect();
    let is_value = |pending: &PendingResponse| matches!(pending.response, EncodedResponse::Value(..));
    assert_eq!(pending.iter().filter(|pending| is_value(pending)).count(), 16, "an eighth of 8 MB");
    assert!(pending[19].response.remaining(0).starts_with(b"-ERR "), "it has run: failed, not rejected");
    pending.drain(..2);
    assert!(is_value(&PendingResponse::new(&context, value())));
    drop(pending);
    assert_eq!(context.gauges.unsent_bytes.get(), 0);
}
