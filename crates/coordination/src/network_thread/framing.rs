//! Frames on a stream: a four-byte big-endian length, followed by a sealed envelope.
use crate::network_thread::close_reason::CloseReason;
use crate::network_thread::counters::{increment, LinkCounters};
use crate::network_thread::timeout::with_timeout;
use cluster_types::MemberId;
use futures_lite::{AsyncRead, AsyncReadExt};
use message_auth::{Opened, Opener, SealError, Sealer};
use std::cell::RefCell;

/// The channel of the frames between members; membership uses channel 0.
pub const MEMBER_CHANNEL: u8 = 1;

/// The channel of the frames between relays and subscribers.
pub const DISTRIBUTION_CHANNEL: u8 = 2;

/// The maximum length of a frame from a relay, in bytes.
pub const MAX_RELAY_FRAME_BYTES: usize = 2 << 20;

/// The maximum length of the first frame of a peer, which has not yet proved that it holds the key, in bytes.
const MAX_FIRST_FRAME_BYTES: usize = 64 * 1024;

/// Seals a frame and appends it to `out`.
///
/// # Errors
///
/// Returns an error for a frame that is too long; `out` is then unchanged.
pub fn append_frame(
    out: &mut Vec<u8>,
    to: Option<&MemberId>,
    body: &[u8],
    sealer: &RefCell<Sealer>,
) -> Result<(), SealError> {
    let sealed = sealer.borrow_mut().seal(to, body)?;
    out.extend(u32::try_from(sealed.len()).unwrap_or(u32::MAX).to_be_bytes());
    out.extend(sealed);
    Ok(())
}

/// The read state of a connection, which determines what the next frame may be.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadState {
    /// The number of frames received.
    pub(crate) frames: u64,
    /// The maximum length of frames after the first, in bytes.
    pub(crate) max_frame_bytes: usize,
}

/// Reads and authenticates the next frame.
///
/// Not cancel safe: a frame may have been read partially, and the connection must be closed.
pub(crate) async fn read_frame(
    stream: &mut (impl AsyncRead + Unpin),
    channel: u8,
    state: ReadState,
    opener: &RefCell<Opener>,
    counters: &LinkCounters,
) -> Result<Opened, CloseReason> {
    let is_first = state.frames == 0;
    let mut length = [0; 4];
    let head = async { stream.read_exact(&mut length).await.ok() };
    if is_first {
        with_timeout(head).await.ok_or(CloseReason::Timeout)?;
    } else {
        head.await.ok_or(CloseReason::PeerClosed)?;
    }
    let length = u32::from_be_bytes(length) as usize;
    let max_bytes = if is_first { MAX_FIRST_FRAME_BYTES } else { state.max_frame_bytes };
    if length > max_bytes {
        increment(&counters.rejected_frames);
        return Err(CloseReason::FrameTooLong);
    }
    let mut bytes = vec![0; length];
    let body = async { stream.read_exact(&mut bytes).await.ok() };
    with_timeout(body).await.ok_or(CloseReason::Reset)?;
    opener.borrow_mut().open_on(channel, &bytes).map_err(|rejection| {
        increment(&counters.rejected_frames);
        CloseReason::NotAuthentic(rejection)
    })
}
