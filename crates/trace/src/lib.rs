//! Trace files of requests and of the decisions made about them: format, writer, reader and tools.
//! `docs/trace-format.md` specifies the format byte by byte.
//!
//! ```text
//!   magic | block: header | block: records | ... | block: records | block: index | end
//!           each block: frame with lengths and checksums, then a compressed protobuf message
//! ```
//!
//! Each block of records has its own string table, so it can be decoded alone: of a truncated or damaged file all
//! intact blocks can be read. Tools that copy records preserve what they do not know: fields 16 to 31 of every event
//! are references to strings, and all other fields are copied as they are.
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
    #[error("this is no trace: it does not begin as one does")]
    NotATrace,
    /// The file has this later format version, in which fields may mean something else.
    #[error("written in form {0}, this version reads up to {FORMAT_VERSION}")]
    LaterVersion(u32),
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A record of this length (bytes) does not fit into a block, or cannot be copied.
    #[error("a record of {0} bytes")]
    TooLarge(usize),
}
