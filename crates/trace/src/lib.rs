//! A file for traces of requests and of the decisions made about them. `docs/trace-format.md` describes it byte
//! by byte.
//!
//! ```text
//!   magic | block: header | block: records | ... | block: records | block: index | end
//!           each block: frame with lengths and checksums, then a compressed protobuf message
//! ```
//!
//! Each block of records holds its own table of strings, so it can be read alone: a file that is cut short or
//! damaged is read up to its last whole block, and from the next whole one on. A tool that copies records keeps
//! what it does not know: fields 16 to 31 of every kind of record are numbers of strings, and all others are
//! copied as they are.
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

pub use frame::{FORM, MAGIC};
pub use reader::{Entry, Fault, Reader};
pub use record::*;
pub use strings::{Strings, remap};
pub use writer::{BLOCK_BYTES, Writer};

use thiserror::Error;

/// Why a file can't be read or written.
#[derive(Debug, Error)]
pub enum TraceError {
    /// It does not begin as a trace does.
    #[error("this is no trace: it does not begin as one does")]
    NoTrace,
    /// It is of a later form, which may mean what is here by something else.
    #[error("written in form {0}, this version reads up to {FORM}")]
    Newer(u32),
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A record is too large for any block.
    #[error("a record of {0} bytes")]
    TooLarge(usize),
}
