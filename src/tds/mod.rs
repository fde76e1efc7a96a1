//! The TDS protocol (MS-TDS), for client connections and for connections to engines: packets, logins, values and
//! tokens.
//!
//! Input is parsed with winnow. Output is encoded without a library.

pub mod login;
pub mod packet;
pub mod token;
pub mod value;

use crate::sql::BoundStatementTooLong;
use thiserror::Error;
use winnow::error::ContextError;

/// The result of a parser.
pub type ParseResult<T> = Result<T, ContextError>;

/// The maximum length of text that is written as `B_VARCHAR`.
const MAX_B_VARCHAR_CHARS: usize = 120;

/// Why input is not valid TDS.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TdsError {
    /// A packet header has an unknown message type, or a length that is shorter than the header.
    #[error("invalid TDS packet header: unknown message type, or length below the header's 8 bytes")]
    PacketHeader,
    /// A message is too long.
    #[error("TDS message exceeds the limit of {max_bytes} bytes")]
    MessageTooLong {
        /// The maximum size.
        max_bytes: usize,
    },
    /// A message of this type is malformed. The text is sent to the client.
    #[error("a {0} can't be read")]
    Message(&'static str),
    /// The parameters of a call make its statement too long. The text is sent to the client.
    #[error("{0}")]
    Statement(#[from] BoundStatementTooLong),
}

/// Encodes text as UTF-16, little endian, which TDS uses for names, statements and messages.
pub fn utf16(text: &str) -> Vec<u8> {
    text.encode_utf16().flat_map(u16::to_le_bytes).collect()
}

/// Decodes UTF-16, little endian; `None` if the input is not valid UTF-16.
pub fn from_utf16(bytes: &[u8]) -> Option<String> {
    if !bytes.len().is_multiple_of(2) {
        return None;
    }
    let units = bytes.chunks_exact(2).map(|pair| u16::from_le_bytes([pair[0], pair[1]]));
    char::decode_utf16(units).collect::<Result<String, _>>().ok()
}

/// Writes text that is preceded by its length in one byte (`B_VARCHAR`). Text of more than 120 characters is truncated.
pub fn put_b_varchar(out: &mut Vec<u8>, text: &str) {
    let truncated: String = text.chars().take(MAX_B_VARCHAR_CHARS).collect();
    out.push(truncated.encode_utf16().count() as u8);
    out.extend(utf16(&truncated));
}
