//! Sending a client's responses in the order of its commands.
use crate::backend::value::Answer;
use crate::client::response::{encode, EncodedResponse, PendingResponse, Progress};
use crate::client::session::Session;
use crate::net::connection::Connection;
use async_channel::Receiver;
use dispatch::Bytes;

impl Session {
    /// Copies responses, in order, to the connection's output while it has room. Returns whether any response was completed.
    pub fn send_ready(&mut self, stream: &mut Connection) -> bool {
        // The unread timeout of a response starts when it is ready to be sent, not when its request arrived.
        if stream.output.is_empty() {
            self.last_progress =
                Progress { bytes_written: stream.bytes_written, at: self.context.clock.now() };
        }
        let first_before = self.first_slot;
        while let Some(waiting) = self.slots.front_mut().and_then(|slot| slot.response.as_mut()) {
            // Unread responses stay in this queue, where their memory is counted, instead of filling the buffers of many connections.
            if !stream.output.is_empty() && self.context.are_rings_full() {
                break;
            }
            let piece = waiting.response.remaining(waiting.copied);
            if !piece.is_empty() {
                let count = piece.len().min(stream.output.remaining());
                if count == 0 {
                    break;
                }
                stream.output.push(&piece[..count]);
                waiting.copied += count;
                continue;
            }
            if let EncodedResponse::Streamed(bytes, value) = &mut waiting.response {
                if value.length > 0 {
                    // The connection's event loop waits for the next piece.
                    break;
                }
                if !std::mem::replace(&mut waiting.is_end_encoded, true) {
                    *bytes = b"\r\n".to_vec();
                    waiting.copied = 0;
                    continue;
                }
            }
            self.slots.pop_front();
            self.first_slot += 1;
        }
        self.first_slot > first_before
    }

    /// The channel on which the next piece of the value that is being sent will arrive; `None` if no piece is awaited.
    pub fn awaited_pieces(&self) -> Option<Receiver<Bytes>> {
        let waiting = self.slots.front()?.response.as_ref()?;
        match &waiting.response {
            EncodedResponse::Streamed(bytes, value) if waiting.copied == bytes.len() && value.length > 0 => {
                Some(value.pieces.clone())
            }
            _ => None,
        }
    }

    /// Accepts the next piece of the value that is being sent. Returns false if the value can't be completed.
    pub fn take_piece(&mut self, piece: Option<Bytes>) -> bool {
        let waiting = self.slots.front_mut().and_then(|slot| slot.response.as_mut());
        let (Some(waiting), Some(piece)) = (waiting, piece) else { return false };
        if let EncodedResponse::Streamed(bytes, value) = &mut waiting.response {
            value.length -= piece.len().min(value.length);
            *bytes = piece.to_vec();
            waiting.copied = 0;
        }
        true
    }

    /// Encodes and queues the final answer to the command in `slot`.
    pub fn take_answer(&mut self, slot: u64, answer: Answer) {
        self.take_response(slot, encode(answer));
    }

    /// Queues the encoded response to the command in `slot`.
    pub fn take_response(&mut self, slot: u64, response: EncodedResponse) {
        let pending = PendingResponse::new(&self.context, response);
        let index = slot.checked_sub(self.first_slot).and_then(|index| usize::try_from(index).ok());
        if let Some(slot) = index.and_then(|index| self.slots.get_mut(index)) {
            slot.response = Some(pending);
        }
    }
}
