//! The operations of the command's sub-commands, on readers and writers.
//!
//! Each operation reads its file record by record. Memory grows with the requests in progress (and, for
//! [`select`], with a bitmap of the selected ones), not with the length of the file.

mod anonymise;
mod copy;
mod cut;
mod describe;
mod info;
mod summary;

pub use anonymise::anonymise;
pub use copy::recover;
pub use cut::{Filter, cut, select};
pub use describe::describe;
pub use info::{Info, UnreadableRange, info, verify};
pub use summary::{ServiceFraction, Summary, SummaryRow, summary};
