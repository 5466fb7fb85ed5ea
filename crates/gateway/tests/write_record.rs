//! The record of iSCSI writes.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use async_channel::Receiver;
use dispatch::Bytes;
use gateway::backend::value::{Answer, Value};
use gateway::iscsi::shared::SessionName;
use gateway::iscsi::write_record::{BeginOutcome, WriteKey, WriteRecord};
use gateway::messages::Ticket;
use scheduler::interface::Micros;

fn key(tag: u32) -> WriteKey {
    let session = SessionName { initiator: "iqn.2026-12.test:a".into(), isid: [1; 6] };
    WriteKey { session, tag, digest: 7 }
}

fn ticket(slot: u64) -> (Ticket, Receiver<(u64, Answer)>) {
    let (to, from) = async_channel::bounded(4);
    (Ticket { slot, to, class: 0 }, from)
}

#[test]
fn reissue_joins_or_is_answered_and_runs_once() {
    let mut record = WriteRecord::new(2, 100);
    let ((first, _), (second, from)) = (ticket(1), ticket(2));
    assert!(matches!(record.begin(key(5), first), BeginOutcome::Submit(1)));
    assert!(matches!(record.begin(key(5), second.clone()), BeginOutcome::Handled));
    record.record_answer(Micros(0), 1, Answer::Failed("failed"));
    assert!(matches!(from.try_recv().unwrap(), (2, Answer::Failed("failed"))));
    assert!(matches!(record.begin(key(5), second.clone()), BeginOutcome::Handled));
    assert!(matches!(from.try_recv().unwrap(), (2, Answer::Failed("failed"))));
    record.acknowledge(&key(5));
    assert!(matches!(record.begin(key(5), second), BeginOutcome::Submit(2)), "a new write with an old tag");
}

#[test]
fn forgets_rejected_writes_and_is_bounded() {
    let mut record = WriteRecord::new(1, 100);
    let (ticket, from) = ticket(1);
    assert!(matches!(record.begin(key(5), ticket.clone()), BeginOutcome::Submit(1)));
    assert!(matches!(record.begin(key(6), ticket.clone()), BeginOutcome::Handled), "rejected at the limit");
    assert!(matches!(from.try_recv().unwrap().1, Answer::Rejected(Some(_))));
    record.record_answer(Micros(0), 1, Answer::Rejected(None));
    assert!(matches!(from.try_recv().unwrap().1, Answer::Rejected(None)));
    assert!(
        matches!(record.begin(key(5), ticket.clone()), BeginOutcome::Submit(2)),
        "it did not run: a new write"
    );
    record.record_answer(Micros(0), 2, Answer::Served(Value::Complete(Bytes::from(*b"value"))));
    record.expire(Micros(99));
    assert!(matches!(record.begin(key(5), ticket.clone()), BeginOutcome::Handled));
    record.expire(Micros(100));
    assert!(
        matches!(record.begin(key(5), ticket), BeginOutcome::Submit(3)),
        "after the time that results are kept"
    );
}
