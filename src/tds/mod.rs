//! TDS (MS-TDS) as both the front and the way to engines use it: packets, logins, values and tokens. All
//! that is received is read by winnow; what is sent is written by hand.

pub mod login;
pub mod packet;
pub mod token;
pub mod value;

use thiserror::Error;
use winnow::error::ContextError;

/// What a parser gives.
pub type Out<T> = Result<T, ContextError>;

/// Why what was received could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Malformed {
    /// A packet whose header can't be.
    #[error("a packet's header can't be read")]
    Packet,
    /// A message that is longer than any taken.
    #[error("a message is too long")]
    Long,
    /// A message that can't be read.
    #[error("a {0} can't be read")]
    Message(&'static str),
}

/// Text as UTF-16, the form of all text on this wire.
pub fn utf16(text: &str) -> Vec<u8> {
    text.encode_utf16().flat_map(u16::to_le_bytes).collect()
}

/// Text from UTF-16; `None` where it is none.
pub fn from_utf16(bytes: &[u8]) -> Option<String> {
    if !bytes.len().is_multiple_of(2) {
        return None;
    }
    let units: Vec<u16> = bytes.chunks_exact(2).map(|pair| u16::from_le_bytes([pair[0], pair[1]])).collect();
    String::from_utf16(&units).ok()
}

/// Text with its length in one byte; what is too long for that is cut.
pub fn put_short(out: &mut Vec<u8>, text: &str) {
    let cut: String = text.chars().take(120).collect();
    out.push(cut.encode_utf16().count() as u8);
    out.extend(utf16(&cut));
}
