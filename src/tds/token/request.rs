//! Reads and writes the data of SQL batches, and reads that of RPC calls.

use super::response_reader::parse_b_varchar;
use crate::core::MAX_STATEMENT_BYTES;
use crate::sql::{self, Binding};
use crate::tds::value::{self, Value};
use crate::tds::{ParseResult, TdsError, from_utf16, utf16};
use winnow::Parser;
use winnow::binary::{le_u8, le_u16, le_u32};
use winnow::combinator::repeat;
use winnow::error::ContextError;
use winnow::token::take;

/// The maximum number of parameters of an RPC call.
const MAX_PARAMETERS: usize = 256;
/// The length of a procedure's name that means that a procedure number follows instead (`ProcIDSwitch`).
const PROCEDURE_BY_NUMBER: u16 = 0xffff;
/// The procedure number of `sp_executesql`.
const SP_EXECUTESQL: u16 = 10;
/// The type of the transaction descriptor header, which is mandatory in SQL batches.
const TRANSACTION_HEADER: u16 = 2;
/// The length of the transaction descriptor header.
const TRANSACTION_HEADER_BYTES: u32 = 18;
/// The total length of the headers, including this length field.
const HEADERS_BYTES: u32 = 4 + TRANSACTION_HEADER_BYTES;

/// Skips the headers that precede the data of a request (ALL_HEADERS, MS-TDS 2.2.5.3).
fn skip_headers(input: &mut &[u8]) -> ParseResult<()> {
    let length = le_u32.parse_next(input)? as usize;
    let rest = length.checked_sub(size_of::<u32>()).ok_or_else(ContextError::new)?;
    take(rest).void().parse_next(input)
}

/// Reads the statement of a SQL batch (MS-TDS 2.2.6.7).
///
/// # Errors
///
/// The batch is malformed.
pub fn read_batch(data: &[u8]) -> Result<String, TdsError> {
    let mut input = data;
    let malformed = TdsError::Message("SQLBatch");
    skip_headers(&mut input).map_err(|_| malformed)?;
    from_utf16(input).ok_or(malformed)
}

struct Parameter {
    name: String,
    value: Value,
}

impl Parameter {
    /// Returns the binding of the parameter; `None` if SQL has no literal for its value.
    fn into_binding(self) -> Option<Binding> {
        Some(Binding { parameter: self.name, literal: self.value.into_literal()? })
    }
}

fn parse_parameter(input: &mut &[u8]) -> ParseResult<Parameter> {
    let name = parse_b_varchar(input)?;
    let _status = le_u8.parse_next(input)?;
    let value_type = value::read_type(input)?;
    let value = value::read(value_type, input)?;
    Ok(Parameter { name, value })
}

/// Reads the procedure that is called, by number or by name. Returns whether it is `sp_executesql`.
fn parse_is_executesql(input: &mut &[u8]) -> ParseResult<bool> {
    match le_u16.parse_next(input)? {
        PROCEDURE_BY_NUMBER => Ok(le_u16.parse_next(input)? == SP_EXECUTESQL),
        count => {
            let name: &[u8] = take(usize::from(count) * 2).parse_next(input)?;
            Ok(from_utf16(name).is_some_and(|name| name.eq_ignore_ascii_case("sp_executesql")))
        }
    }
}

/// A call of `sp_executesql`.
struct ExecuteSql {
    statement: String,
    /// The values of the statement's parameters.
    bindings: Vec<Binding>,
}

fn parse_rpc(input: &mut &[u8]) -> ParseResult<ExecuteSql> {
    skip_headers(input)?;
    let is_executesql = parse_is_executesql(input)?;
    let _flags = le_u16.parse_next(input)?;
    let parameters: Vec<Parameter> = repeat(0..=MAX_PARAMETERS, parse_parameter).parse_next(input)?;
    if !is_executesql || !input.is_empty() {
        return Err(ContextError::new());
    }
    // The first parameter is the statement, the second declares the statement's parameters, the others are their
    // values.
    let mut parameters = parameters.into_iter();
    let statement = parameters.next().and_then(|parameter| parameter.value.into_text());
    let statement = statement.ok_or_else(ContextError::new)?;
    let bindings: Option<Vec<Binding>> = parameters.skip(1).map(Parameter::into_binding).collect();
    Ok(ExecuteSql { statement, bindings: bindings.ok_or_else(ContextError::new)? })
}

/// Reads an RPC call of `sp_executesql` (MS-TDS 2.2.6.6). Returns its statement, in which literals replace the
/// parameters.
///
/// # Errors
///
/// The call is malformed, has a value of an unsupported type, or calls another procedure. Or the statement would exceed
/// [`MAX_STATEMENT_BYTES`] with its parameters replaced.
pub fn read_rpc(data: &[u8]) -> Result<String, TdsError> {
    let call = parse_rpc(&mut &data[..]).map_err(|_| TdsError::Message("call of sp_executesql"))?;
    Ok(sql::bind(&call.statement, &call.bindings, MAX_STATEMENT_BYTES)?)
}

/// Encodes a SQL batch with the mandatory headers.
pub fn batch(statement: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADERS_BYTES as usize + statement.len() * 2);
    out.extend(HEADERS_BYTES.to_le_bytes());
    out.extend(TRANSACTION_HEADER_BYTES.to_le_bytes());
    out.extend(TRANSACTION_HEADER.to_le_bytes());
    out.extend([0; 8]); // no transaction
    out.extend(1u32.to_le_bytes()); // one outstanding request
    out.extend(utf16(statement));
    out
}
