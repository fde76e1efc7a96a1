//! What waits to be written to an engine.

use crate::clock::Micros;
use crate::core::AttemptId;
use crate::core::Call;
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use std::io::Write;

/// A request of which nothing is written yet.
pub(super) struct QueuedRequest {
    pub(super) attempt: AttemptId,
    pub(super) call: Call,
}

/// The request at the head of the buffer, of which bytes are still to be written.
pub(super) struct PartialRequest {
    pub(super) request: String,
    pub(super) attempt: AttemptId,
    total_bytes: usize,
    remaining_bytes: usize,
}

/// Where a request stood in the output when it was taken out.
pub(super) enum Withdrawn {
    /// It was queued: nothing of it is written.
    Queued,
    /// It was in the buffer, still complete.
    Buffered(PartialRequest),
    /// Some of it is written: the rest must not follow, and nothing else can be written before it.
    PartlyWritten(PartialRequest),
    /// It is not here.
    Absent,
}

/// Bytes to be written, and requests behind them. A request gets into the buffer only once that is empty: an engine
/// that reads nothing must not find requests there later that are over by then.
#[derive(Default)]
pub(super) struct Output {
    pub(super) queued: VecDeque<QueuedRequest>,
    pub(super) partial: Option<PartialRequest>,
    pub(super) buffer: BytesMut,
    /// Since when the engine has read nothing of the buffer.
    pub(super) stalled_since: Option<Micros>,
}

impl Output {
    /// Appends a line to the buffer.
    pub(super) fn push(&mut self, text: std::fmt::Arguments<'_>) {
        let mut writer = bytes::BufMut::writer(&mut self.buffer);
        // Writing to a growing buffer cannot fail.
        let _ = writer.write_fmt(text);
    }

    /// Puts a request at the head of the empty buffer.
    pub(super) fn begin(&mut self, request: String, attempt: AttemptId, text: std::fmt::Arguments<'_>) {
        debug_assert!(self.buffer.is_empty(), "a request is begun once all before it is written");
        self.push(text);
        let bytes = self.buffer.len();
        self.partial = Some(PartialRequest { request, attempt, total_bytes: bytes, remaining_bytes: bytes });
    }

    /// Takes an attempt out that is not completely written.
    pub(super) fn withdraw(&mut self, attempt: AttemptId) -> Withdrawn {
        if let Some(index) = self.queued.iter().position(|queued| queued.attempt == attempt) {
            self.queued.remove(index);
            return Withdrawn::Queued;
        }
        let Some(partial) = self.partial.take_if(|partial| partial.attempt == attempt) else {
            return Withdrawn::Absent;
        };
        if partial.remaining_bytes < partial.total_bytes {
            return Withdrawn::PartlyWritten(partial);
        }
        self.buffer.advance(partial.total_bytes);
        Withdrawn::Buffered(partial)
    }

    /// The socket has taken some bytes, which are out of the buffer already.
    pub(super) fn written(&mut self, bytes: usize) {
        self.stalled_since = None;
        let Some(partial) = &mut self.partial else { return };
        partial.remaining_bytes = partial.remaining_bytes.saturating_sub(bytes);
        if partial.remaining_bytes == 0 {
            self.partial = None;
        }
    }

    /// Starts the stall timer where there are bytes to write, and stops it where there are none.
    pub(super) fn update_stall_timer(&mut self, now: Micros) {
        if self.buffer.is_empty() {
            self.stalled_since = None;
        } else {
            self.stalled_since.get_or_insert(now);
        }
    }
}
