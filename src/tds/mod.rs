//! TDS (MS-TDS), for the frontend as well as for connections to engines: packets, logins, values and tokens.
//!
//! What is received is parsed with winnow; what is sent is written by hand.

pub mod login;
pub mod packet;
pub mod token;
pub mod value;

use thiserror::Error;
use winnow::error::ContextError;

/// The result of a parser.
pub type ParseResult<T> = Result<T, ContextError>;

/// The most characters of a text whose length is written in one byte.
const MAX_SHORT_TEXT_CHARS: usize = 120;

/// Why received data could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TdsError {
    /// The header of a packet is invalid.
    #[error("a packet's header can't be read")]
    PacketHeader,
    /// A message is longer than [`packet::MAX_MESSAGE_BYTES`].
    #[error("a message is too long")]
    MessageTooLong,
    /// A message of this kind is malformed.
    #[error("a {0} can't be read")]
    Message(&'static str),
}

/// Encodes text as UTF-16, little endian: the form of all text in TDS.
pub fn utf16(text: &str) -> Vec<u8> {
    text.encode_utf16().flat_map(u16::to_le_bytes).collect()
}

/// Decodes text from UTF-16, little endian; `None` if it is invalid.
pub fn from_utf16(bytes: &[u8]) -> Option<String> {
    if !bytes.len().is_multiple_of(2) {
        return None;
    }
    let units: Vec<u16> = bytes.chunks_exact(2).map(|pair| u16::from_le_bytes([pair[0], pair[1]])).collect();
    String::from_utf16(&units).ok()
}

/// Writes text with its length in one byte (`B_VARCHAR`). Longer text is truncated.
pub fn put_short_text(out: &mut Vec<u8>, text: &str) {
    let truncated: String = text.chars().take(MAX_SHORT_TEXT_CHARS).collect();
    out.push(truncated.encode_utf16().count() as u8);
    out.extend(utf16(&truncated));
}
