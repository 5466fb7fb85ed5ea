//! The link from another member, which is only read.
use crate::frame::{self, Frame};
use crate::network_thread::close_reason::{CloseReason, ConnectionEnd};
use crate::network_thread::counters::{increment, LinkCounters};
use crate::network_thread::framing::{read_frame, ReadState, MEMBER_CHANNEL};
use async_io::Async;
use cluster_types::MemberId;
use futures_lite::future;
use message_auth::{Opener, MAX_FRAME_BYTES};
use std::cell::RefCell;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;

/// Handles a frame and its sender; returns false if the frame was dropped because the mailbox is full.
pub(crate) type FrameHandler = Arc<dyn Fn(MemberId, Frame) -> bool + Send + Sync>;

/// Reads a link until it ends.
pub(crate) async fn read_link(
    mut stream: Async<TcpStream>,
    opener: Rc<RefCell<Opener>>,
    handler: FrameHandler,
    counters: Arc<LinkCounters>,
) -> ConnectionEnd {
    let mut frames = 0;
    let reason = loop {
        let state = ReadState { frames, max_frame_bytes: MAX_FRAME_BYTES };
        let opened = match read_frame(&mut stream, MEMBER_CHANNEL, state, &opener, &counters).await {
            Ok(opened) => opened,
            Err(reason) => break reason,
        };
        frames += 1;
        // Lets other tasks run, however fast the member sends.
        future::yield_now().await;
        match frame::decode(&opened.body) {
            Ok(frame) => {
                if !handler(opened.from, frame) {
                    increment(&counters.dropped_frames);
                }
            }
            Err(error) => {
                increment(&counters.undecodable_frames);
                break CloseReason::Protocol(error);
            }
        }
    };
    ConnectionEnd { frames, reason }
}
