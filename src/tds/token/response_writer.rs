//! Writes responses as sequences of tokens.

use super::{
    COLMETADATA, DONE, DONE_ATTN, DONE_COUNT, DONE_ERROR, DONEPROC, ENVCHANGE, ERROR, LOGINACK, RETURNSTATUS,
    ROW,
};
use crate::core::Table;
use crate::tds::packet::PACKET_BYTES;
use crate::tds::value::{self, TextLength};
use crate::tds::{put_b_varchar, utf16};

/// The `CurCmd` of a DONE token for a SELECT.
const COMMAND_SELECT: u16 = 0xc1;
/// The maximum length of an error's text. Longer text is truncated.
const MAX_ERROR_CHARS: usize = 1000;
/// The `State` of an error. MS-TDS leaves its value to the server.
const ERROR_STATE: u8 = 1;
/// The name of the server in errors and login acknowledgements.
const SERVER_NAME: &str = "sanddyke";
/// Column flags of MS-TDS 2.2.7.4: `fNullable`, and `usUpdateable` with the value 2.
const COLUMN_FLAGS: [u8; 2] = [0x09, 0];
/// ENVCHANGE types (MS-TDS 2.2.7.9) for the database and the packet size.
const ENV_DATABASE: u8 = 1;
const ENV_PACKET_BYTES: u8 = 4;
/// The old database in the ENVCHANGE of a login.
const INITIAL_DATABASE: &str = "master";
/// Fields of LOGINACK: the T-SQL interface, TDS version 7.4 (big endian in this token), and the server's version 16.0.
const INTERFACE_SQL: u8 = 1;
const TDS_74: [u8; 4] = [0x74, 0, 0, 0x04];
const SERVER_VERSION: [u8; 4] = [16, 0, 0, 0];

/// The type of the request that a response answers. It determines the tokens that end the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// A SQL batch: the response ends with DONE.
    Batch,
    /// An RPC call: the response ends with RETURNSTATUS and DONEPROC.
    Rpc,
}

/// Writes the tokens that end a response.
fn put_done(out: &mut Vec<u8>, kind: ResponseKind, status: u16, rows: u64) {
    match kind {
        ResponseKind::Batch => out.push(DONE),
        ResponseKind::Rpc => {
            let return_status = u32::from(status & DONE_ERROR != 0);
            out.push(RETURNSTATUS);
            out.extend(return_status.to_le_bytes());
            out.push(DONEPROC);
        }
    }
    out.extend(status.to_le_bytes());
    out.extend(COMMAND_SELECT.to_le_bytes());
    out.extend(rows.to_le_bytes());
}

/// Writes a token whose data is preceded by its length.
fn put_token(out: &mut Vec<u8>, token: u8, data: &[u8]) {
    out.push(token);
    out.extend((data.len() as u16).to_le_bytes());
    out.extend(data);
}

/// Encodes a response with a complete result. A result without columns consists of the final tokens only.
pub fn table(kind: ResponseKind, table: &Table) -> Vec<u8> {
    let mut out = Vec::new();
    let lengths = column_lengths(table);
    if !lengths.is_empty() {
        put_column_metadata(&mut out, table, &lengths);
        for row in &table.rows {
            out.push(ROW);
            for (index, length) in lengths.iter().enumerate() {
                let text = row.get(index).and_then(|cell| cell.as_deref());
                value::put_text(&mut out, *length, text);
            }
        }
    }
    put_done(&mut out, kind, DONE_COUNT, table.rows.len() as u64);
    out
}

/// Returns the length limit of each column's type, as its longest text requires.
fn column_lengths(table: &Table) -> Vec<TextLength> {
    let widest_row = table.rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = widest_row.max(table.columns.len());
    let longest_bytes = |index: usize| {
        let cells = table.rows.iter().filter_map(|row| row.get(index)?.as_deref());
        cells.map(|text| text.encode_utf16().count() * 2).max().unwrap_or(0)
    };
    (0..width).map(|index| TextLength::for_bytes(longest_bytes(index))).collect()
}

fn put_column_metadata(out: &mut Vec<u8>, table: &Table, lengths: &[TextLength]) {
    out.push(COLMETADATA);
    out.extend((lengths.len() as u16).to_le_bytes());
    for (index, length) in lengths.iter().enumerate() {
        out.extend([0; 4]); // no user type
        out.extend(COLUMN_FLAGS);
        value::put_text_type(out, *length);
        let default_name = format!("column{}", index + 1);
        put_b_varchar(out, table.columns.get(index).unwrap_or(&default_name));
    }
}

/// Encodes a response that consists of an error.
pub fn error(kind: ResponseKind, number: u32, severity: u8, text: &str) -> Vec<u8> {
    let text: String = text.chars().take(MAX_ERROR_CHARS).collect();
    let mut data = Vec::new();
    data.extend(number.to_le_bytes());
    data.extend([ERROR_STATE, severity]);
    data.extend((text.encode_utf16().count() as u16).to_le_bytes());
    data.extend(utf16(&text));
    put_b_varchar(&mut data, SERVER_NAME);
    put_b_varchar(&mut data, ""); // no procedure
    data.extend(0u32.to_le_bytes()); // no line
    let mut out = Vec::new();
    put_token(&mut out, ERROR, &data);
    put_done(&mut out, kind, DONE_ERROR, 0);
    out
}

/// Encodes the acknowledgement of an Attention: a DONE token with `DONE_ATTN`.
pub fn attention_acknowledgement() -> Vec<u8> {
    let mut out = Vec::new();
    put_done(&mut out, ResponseKind::Batch, DONE_ATTN, 0);
    out
}

fn put_env_change(out: &mut Vec<u8>, change: u8, new: &str, old: &str) {
    let mut data = vec![change];
    put_b_varchar(&mut data, new);
    put_b_varchar(&mut data, old);
    put_token(out, ENVCHANGE, &data);
}

/// Encodes the response to a successful login.
pub fn login_ack(database: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put_env_change(&mut out, ENV_DATABASE, database, INITIAL_DATABASE);
    let packet_bytes = PACKET_BYTES.to_string();
    put_env_change(&mut out, ENV_PACKET_BYTES, &packet_bytes, &packet_bytes);
    let mut data = vec![INTERFACE_SQL];
    data.extend(TDS_74);
    put_b_varchar(&mut data, SERVER_NAME);
    data.extend(SERVER_VERSION);
    put_token(&mut out, LOGINACK, &data);
    put_done(&mut out, ResponseKind::Batch, 0, 0);
    out
}
