//! Answers on their way to a client of the platform's front.
use crate::backend::value::{Answer, StreamedValue, Value};
use crate::context::Context;
use crate::counts::Gauges;
use dispatch::Bytes;
use std::rc::Rc;

/// An answer as bytes.
pub enum Reply {
    /// The head of a bulk string, whose value is coming.
    StreamedValue(Vec<u8>, StreamedValue),
    /// All of it.
    Bytes(Vec<u8>),
    /// The head of a bulk string, and its value.
    Value(Vec<u8>, Bytes),
    /// Pieces, one after the other, and what they hold of another bound until they are written.
    Pieces(Vec<Bytes>, #[allow(dead_code, reason = "held, not read")] Vec<scatter_gather::Held>),
}

/// An answer that waits for its client; its bytes count against the bound while it does.
pub struct Waiting {
    /// The answer.
    pub reply: Reply,
    /// How much of it is in the ring.
    pub begun: usize,
    /// Whether the end of a value that came is there.
    pub ended: bool,
    weight: usize,
    gauges: Rc<Gauges>,
}

impl Waiting {
    /// Counts an answer; one beyond the bound fails.
    pub fn new(context: &Rc<Context>, reply: Reply) -> Waiting {
        let weight = match &reply {
            Reply::Bytes(bytes) => bytes.len(),
            // What is on its way counts where it comes in.
            Reply::StreamedValue(..) => 0,
            Reply::Value(_, value) => value.len(),
            Reply::Pieces(..) => 0,
        };
        // Guards the memory against clients that ask and do not read. It has run: failed, and not refused.
        let unsent = context.gauges.unsent.get() + weight;
        if weight > 1024 && unsent > context.unsent_bound() {
            return Waiting::new(
                context,
                Reply::Bytes(b"-ERR too many answers wait for clients\r\n".to_vec()),
            );
        }
        context.gauges.unsent.set(unsent);
        Waiting { reply, begun: 0, ended: false, weight, gauges: context.gauges.clone() }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.gauges.unsent.set(self.gauges.unsent.get() - self.weight);
    }
}

impl Reply {
    /// A short text.
    pub fn text(text: impl Into<Vec<u8>>) -> Reply {
        Reply::Bytes(text.into())
    }

    /// What follows after so many bytes, as far as it lies in one piece; empty at the end.
    pub fn from(&self, at: usize) -> &[u8] {
        match self {
            Reply::Bytes(bytes) | Reply::StreamedValue(bytes, _) => &bytes[at..],
            Reply::Value(head, value) => match at.checked_sub(head.len()) {
                None => &head[at..],
                Some(at) if at < value.len() => &value[at..],
                Some(at) => &b"\r\n"[at - value.len()..],
            },
            Reply::Pieces(pieces, _) => {
                let mut left = at;
                for piece in pieces {
                    match left.checked_sub(piece.len()) {
                        None => return &piece[left..],
                        Some(rest) => left = rest,
                    }
                }
                &[]
            }
        }
    }
}

/// The words for an answer of the core.
pub fn worded(answer: Answer) -> Reply {
    match answer {
        Answer::Served(Value::Streamed(coming)) => {
            Reply::StreamedValue(format!("${}\r\n", coming.length).into_bytes(), coming)
        }
        Answer::Served(Value::Complete(value)) => {
            Reply::Value(format!("${}\r\n", value.len()).into_bytes(), value)
        }
        // Rounded up: a client that came back earlier than told would be refused again.
        Answer::Rejected(Some(wait)) => Reply::text(format!("-BUSY {}\r\n", (wait.0.max(0) + 999) / 1000)),
        Answer::Rejected(None) => Reply::text("-BUSY\r\n"),
        Answer::Failed(reason) => Reply::text(format!("-ERR {reason}\r\n")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn answers_beyond_the_bound_fail_and_make_room_again_once_taken() {
        let file = include_str!("../../tests/common/config.toml").replace("@IP@", "127.0.0.1");
        let config = config::read("x.toml", &format!("limits = {{ memory_mb = 8 }}\n{file}")).unwrap();
        let context = Context::new(config);
        let value = || worded(Answer::Served(Value::Complete(Bytes::from(vec![0; resp::LONGEST]))));
        let mut waiting: Vec<Waiting> = (0..20).map(|_| Waiting::new(&context, value())).collect();
        let whole = |w: &Waiting| matches!(w.reply, Reply::Value(..));
        assert_eq!(waiting.iter().filter(|w| whole(w)).count(), 16, "an eighth of 8 MB");
        assert!(waiting[19].reply.from(0).starts_with(b"-ERR "), "it has run: failed, not refused");
        waiting.drain(..2);
        assert!(whole(&Waiting::new(&context, value())));
        drop(waiting);
        assert_eq!(context.gauges.unsent.get(), 0);
    }
}
