//! Encoding gathered answers for RESP2 clients: a complete one as one bulk string, a partial one as an array of what arrived and a text that
//! names what is missing, and a failure as an error with its reason.
use crate::backend::value;
use crate::client::response::{encode, EncodedResponse};
use crate::scatter_gather::handle::GatherRequest;
use dispatch::Bytes;
use scatter_gather::{Answer, Gathered, Reservation};
use scheduler::interface::Micros;
use std::time::Duration;

/// Encodes an answer. Values keep their memory reservations until they are sent.
pub fn encode_answer(answer: Answer<Bytes>) -> EncodedResponse {
    match answer {
        Answer::Gathered(gathered) => encode_gathered(gathered),
        Answer::Failed(failure) if failure.is_rejection() => {
            let micros = |wait: Duration| Micros(i64::try_from(wait.as_micros()).unwrap_or(i64::MAX));
            encode(value::Answer::Rejected(failure.retry_after.map(micros)))
        }
        failed => EncodedResponse::bytes(format!("-ERR {}\r\n", failed.status())),
    }
}

fn encode_gathered(gathered: Gathered<Bytes>) -> EncodedResponse {
    let status = (!gathered.is_complete()).then(|| gathered.status().to_string());
    let (values, reservations): (Vec<Bytes>, Vec<Reservation>) =
        gathered.into_values().into_iter().flatten().map(|part| (part.value, part.reservation)).unzip();
    let length: usize = values.iter().map(|value| value.len()).sum();
    let head = match status {
        None => format!("${length}\r\n"),
        Some(_) => format!("*2\r\n${length}\r\n"),
    };
    let tail = match status {
        None => "\r\n".to_string(),
        Some(status) => format!("\r\n${}\r\n{status}\r\n", status.len()),
    };
    let mut pieces = Vec::with_capacity(values.len() + 2);
    pieces.push(Bytes::from(head.as_bytes()));
    pieces.extend(values);
    pieces.push(Bytes::from(tail.as_bytes()));
    EncodedResponse::Pieces(pieces, reservations)
}

/// Puts the response into the session's mailbox, which has room for all that it awaits; a closed one belongs to a client that has disconnected.
pub fn respond(gather_request: &GatherRequest, response: EncodedResponse) {
    drop(gather_request.to.try_send((gather_request.slot, response)));
}
