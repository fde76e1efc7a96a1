//! Reads and writes the tokens of responses (MS-TDS 2.2.7) and the data of SQL batches and RPC calls.

mod extent;
mod request;
mod response_reader;
mod response_writer;

pub use extent::TokenExtent;
pub use request::{batch, read_batch, read_rpc};
pub use response_reader::{Column, Token, is_last_done, read};
pub use response_writer::{ResponseKind, attention_acknowledgement, error, login_ack, table};

const COLMETADATA: u8 = 0x81;
const RETURNSTATUS: u8 = 0x79;
const ORDER: u8 = 0xa9;
const ERROR: u8 = 0xaa;
const INFO: u8 = 0xab;
const LOGINACK: u8 = 0xad;
const ROW: u8 = 0xd1;
/// A row with null bitmap compression: a bitmap marks null values, which are not sent.
const NBCROW: u8 = 0xd2;
const ENVCHANGE: u8 = 0xe3;
const DONE: u8 = 0xfd;
const DONEPROC: u8 = 0xfe;
const DONEINPROC: u8 = 0xff;

// Status bits of DONE, DONEPROC and DONEINPROC (MS-TDS 2.2.7.6).
const DONE_MORE: u16 = 0x01;
const DONE_ERROR: u16 = 0x02;
const DONE_COUNT: u16 = 0x10;
const DONE_ATTN: u16 = 0x20;

#[cfg(test)]
mod tests;
