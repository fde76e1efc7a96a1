//! The output of a connection: queued requests, and the buffer that is written to the engine.

use crate::clock::Micros;
use crate::core::AttemptId;
use crate::core::Call;
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use std::io::Write;

/// A request of which no byte is in the buffer yet.
pub(super) struct QueuedRequest {
    pub(super) attempt: AttemptId,
    pub(super) call: Call,
}

/// The request at the head of the buffer, which is not completely written yet.
pub(super) struct PartialRequest {
    pub(super) client_request_id: String,
    pub(super) attempt: AttemptId,
    total_bytes: usize,
    remaining_bytes: usize,
}

/// Where the output held a request when it was withdrawn.
pub(super) enum Withdrawal {
    /// It was queued, and no byte was written.
    Queued,
    /// It was in the buffer, and no byte was written.
    Buffered(PartialRequest),
    /// Some bytes were written. The rest must not be written, and nothing else can be written before it.
    PartlyWritten(PartialRequest),
    /// The output does not hold it.
    Absent,
}

/// The buffer to be written, and the requests queued behind it. A request is added to the buffer only once the buffer
/// is empty. Otherwise an engine that does not read for some time would later read requests that are closed by then.
#[derive(Default)]
pub(super) struct Output {
    pub(super) queued: VecDeque<QueuedRequest>,
    pub(super) partial: Option<PartialRequest>,
    pub(super) buffer: BytesMut,
    /// Time since which no byte of the buffer could be written; `None` without bytes to write.
    pub(super) stalled_since: Option<Micros>,
}

impl Output {
    /// Appends text to the buffer.
    pub(super) fn push(&mut self, text: std::fmt::Arguments<'_>) {
        let mut writer = bytes::BufMut::writer(&mut self.buffer);
        // Writing to a growing buffer cannot fail.
        let _ = writer.write_fmt(text);
    }

    /// Appends a request to the buffer, which has to be empty.
    pub(super) fn begin(
        &mut self,
        client_request_id: String,
        attempt: AttemptId,
        text: std::fmt::Arguments<'_>,
    ) {
        debug_assert!(self.buffer.is_empty(), "a request is begun only with an empty buffer");
        self.push(text);
        let bytes = self.buffer.len();
        self.partial =
            Some(PartialRequest { client_request_id, attempt, total_bytes: bytes, remaining_bytes: bytes });
    }

    /// Withdraws an attempt that is not completely written.
    pub(super) fn withdraw(&mut self, attempt: AttemptId) -> Withdrawal {
        if let Some(index) = self.queued.iter().position(|queued| queued.attempt == attempt) {
            self.queued.remove(index);
            return Withdrawal::Queued;
        }
        let Some(partial) = self.partial.take_if(|partial| partial.attempt == attempt) else {
            return Withdrawal::Absent;
        };
        if partial.remaining_bytes < partial.total_bytes {
            return Withdrawal::PartlyWritten(partial);
        }
        self.buffer.advance(partial.total_bytes);
        Withdrawal::Buffered(partial)
    }

    /// Records that the socket has accepted this many bytes. They are already removed from the buffer.
    pub(super) fn written(&mut self, bytes: usize) {
        self.stalled_since = None;
        let Some(partial) = &mut self.partial else { return };
        partial.remaining_bytes = partial.remaining_bytes.saturating_sub(bytes);
        if partial.remaining_bytes == 0 {
            self.partial = None;
        }
    }

    /// Starts the stall timer if there are bytes to write and it is not running, and stops it if there are none.
    pub(super) fn update_stall_timer(&mut self, now: Micros) {
        if self.buffer.is_empty() {
            self.stalled_since = None;
        } else {
            self.stalled_since.get_or_insert(now);
        }
    }
}
