//! What an emulated engine does wrong over TDS.

use std::time::Duration;

/// A kind of response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TdsResponse {
    /// To PRELOGIN.
    Prelogin,
    /// To LOGIN7.
    Login,
    /// To a health check.
    LoadReport,
    /// To a statement.
    Result,
    /// To an Attention.
    Acknowledgement,
}

/// The part of a response that is sent a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopiedPart {
    /// All of it.
    All,
    /// Its first half, which may end within a packet.
    FirstHalf,
    /// Its last packet.
    LastPacket,
}

/// Responses that are sent a second time.
#[derive(Debug, Clone, Copy)]
pub struct Copies {
    /// Which responses.
    pub of: TdsResponse,
    /// The time between a response and its copy.
    pub delay: Duration,
    /// What of them.
    pub part: CopiedPart,
}

/// What an engine does wrong.
#[derive(Debug, Clone, Default)]
pub struct TdsFaults {
    /// Responses that it sends a second time.
    pub copies: Option<Copies>,
    /// It closes a session on which it has read nothing for this long.
    pub closes_idle_after: Option<Duration>,
    /// It sends rows directly behind its answer to the login.
    pub sends_rows_after_login: bool,
    /// Its answer to the login has two packets, of which the second is a DONE alone. This is no fault.
    pub long_login: bool,
}

/// A copy, and when it is sent.
pub struct DelayedCopy {
    /// The time between the response and its copy.
    pub delay: Duration,
    /// The copied bytes.
    pub bytes: Vec<u8>,
}

impl TdsFaults {
    /// Returns the copy of a response that is to be sent, if any.
    pub fn copy(&self, response: TdsResponse, packets: &[Vec<u8>]) -> Option<DelayedCopy> {
        let Copies { of: _, delay, part } = self.copies.filter(|copies| copies.of == response)?;
        let all = packets.concat();
        let bytes = match part {
            CopiedPart::All => all,
            CopiedPart::FirstHalf => all[..all.len() / 2].to_vec(),
            CopiedPart::LastPacket => packets.last().cloned().unwrap_or_default(),
        };
        Some(DelayedCopy { delay, bytes })
    }
}
