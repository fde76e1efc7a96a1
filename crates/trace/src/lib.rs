//! Format, writer, reader and tools for trace files, which record requests and the scheduling decisions about them.
//! `docs/trace-format.md` specifies the format byte by byte.
//!
//! ```text
//!   magic | block: header | block: records | ... | block: records | block: index | end
//!           each block: frame with lengths and checksums, then a compressed protobuf message
//! ```
//!
//! Each block of records has its own string table and is decoded independently of the others, so all intact blocks of
//! a truncated or corrupted file are readable. Tools that copy records preserve fields and events that they do not
//! know: fields 16 to 31 of every event are references to strings, and all other fields are copied unchanged.
//!
//! ```
//! use sanddyke_trace::{Header, Reader, Record, RequestReceived, Event, Writer};
//!
//! let mut file = Vec::new();
//! let mut writer = Writer::new(&mut file, Header { manager: "m1".into(), ..Header::default() }).unwrap();
//! let class = writer.string("report");
//! let event = Event::RequestReceived(RequestReceived { class, ..RequestReceived::default() });
//! writer.write(&Record { at_us: 5, request: 1, manager: 0, event: Some(event) }).unwrap();
//! writer.finish().unwrap();
//! let mut reader = Reader::new(std::io::Cursor::new(file)).unwrap();
//! let entry = reader.next().unwrap().unwrap();
//! assert_eq!(entry.string(class), "report");
//! assert!(reader.next().is_none() && reader.faults().is_empty());
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clocks;
mod frame;
pub mod generate;
pub mod merge;
mod reader;
mod record;
mod strings;
pub mod tools;
mod writer;

pub use frame::{FORMAT_VERSION, MAGIC};
pub use reader::{Entry, Fault, Reader};
pub use record::*;
pub use strings::{Strings, remap};
pub use writer::{BLOCK_BYTES, Writer};

use thiserror::Error;

/// Why a file cannot be read or written.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The input does not begin with [`MAGIC`].
    #[error("not a trace file: the input does not begin with the {} magic bytes of the format", MAGIC.len())]
    NotATrace,
    /// The file has this format version, later than [`FORMAT_VERSION`]. Its fields may have another meaning.
    #[error("unsupported trace format version {0}: this program reads versions up to {FORMAT_VERSION}")]
    LaterVersion(u32),
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A record or block of this length (bytes) exceeds the limit of the format, or a record to be copied is not a
    /// valid protobuf message.
    #[error(
        "cannot write {0} bytes as a record or block: not a valid message, or over the limit (block: {max} bytes)",
        max = frame::MAX_PAYLOAD_BYTES
    )]
    TooLarge(usize),
}
