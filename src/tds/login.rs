//! Reads and writes PRELOGIN (MS-TDS 2.2.6.5) and LOGIN7 (MS-TDS 2.2.6.4) messages.

use super::packet::PACKET_BYTES;
use super::{ParseResult, TdsError, from_utf16, utf16};
use winnow::Parser;
use winnow::binary::{be_u8, be_u16, le_u16, le_u32};
use winnow::combinator::repeat;
use winnow::error::ContextError;
use winnow::token::take;

// PRELOGIN option tokens.
const VERSION: u8 = 0x00;
const ENCRYPTION: u8 = 0x01;
const MARS: u8 = 0x04;
const TERMINATOR: u8 = 0xff;
/// The length of an option: token, offset and length of its value.
const OPTION_BYTES: usize = 5;
/// The maximum number of PRELOGIN options.
const MAX_OPTIONS: usize = 16;
/// The product version that is sent in PRELOGIN: 16.0, build 0.
const PRODUCT_VERSION: [u8; 6] = [16, 0, 0, 0, 0, 0];

/// Encryption is not supported (`ENCRYPT_NOT_SUP`).
pub const ENCRYPT_NOT_SUPPORTED: u8 = 0x02;
/// Encryption is on (`ENCRYPT_ON`).
pub const ENCRYPT_ON: u8 = 0x01;
/// Encryption is required (`ENCRYPT_REQ`).
pub const ENCRYPT_REQUIRED: u8 = 0x03;

/// TDS version 7.4, as encoded in LOGIN7.
const TDS_74: u32 = 0x7400_0004;
/// TDS version 7.2, the oldest that is accepted. In older versions, a SQL batch has no headers and would be misread.
const MIN_VERSION: u32 = 0x7200_0000;
/// The length of the fixed part of LOGIN7.
const FIXED_PART_BYTES: usize = 94;
/// The length of the data between the version and the field positions: sizes, flags, time zone and language.
const SKIPPED_BYTES: usize = 28;
/// The maximum length of a field, in UTF-16 code units.
const MAX_FIELD_UNITS: usize = 512;
/// The byte with which LOGIN7 obfuscates each byte of the password by XOR.
const PASSWORD_KEY: u8 = 0xa5;

// Indexes of the LOGIN7 fields that are used, in the order of their positions in the message.
const USER: usize = 1;
const PASSWORD: usize = 2;
const APPLICATION: usize = 3;
const DATABASE: usize = 8;
/// The number of field positions that are read, up to that of the last field used.
const FIELD_COUNT: usize = 9;

/// Encodes a PRELOGIN message with this encryption option. Clients and servers send the same format.
pub fn prelogin(encryption: u8) -> Vec<u8> {
    let options: [(u8, &[u8]); 3] = [(VERSION, &PRODUCT_VERSION), (ENCRYPTION, &[encryption]), (MARS, &[0])];
    let mut offset = options.len() * OPTION_BYTES + size_of_val(&TERMINATOR);
    let mut out = Vec::new();
    let mut data = Vec::new();
    for (token, value) in options {
        out.push(token);
        out.extend((offset as u16).to_be_bytes());
        out.extend((value.len() as u16).to_be_bytes());
        data.extend_from_slice(value);
        offset += value.len();
    }
    out.push(TERMINATOR);
    out.extend(data);
    out
}

/// A PRELOGIN option, with the position of its value in the message.
struct PreloginOption {
    token: u8,
    offset: usize,
    length: usize,
}

fn parse_options(input: &mut &[u8]) -> ParseResult<Vec<PreloginOption>> {
    let option = (be_u8.verify(|token| *token != TERMINATOR), be_u16, be_u16);
    let option = option.map(|(token, offset, length)| PreloginOption {
        token,
        offset: usize::from(offset),
        length: usize::from(length),
    });
    let options = repeat(0..=MAX_OPTIONS, option).parse_next(input)?;
    be_u8.verify(|token: &u8| *token == TERMINATOR).parse_next(input)?;
    Ok(options)
}

/// Reads a PRELOGIN message. Returns its encryption option; `None` if it has none.
///
/// # Errors
///
/// The message is malformed.
pub fn read_prelogin(data: &[u8]) -> Result<Option<u8>, TdsError> {
    let malformed = TdsError::Message("PRELOGIN");
    let options = parse_options(&mut &data[..]).map_err(|_| malformed)?;
    let mut encryption = None;
    for PreloginOption { token, offset, length } in options {
        let value = data.get(offset..offset + length).ok_or(malformed)?;
        if token == ENCRYPTION {
            encryption = Some(*value.first().ok_or(malformed)?);
        }
    }
    Ok(encryption)
}

/// The LOGIN7 fields that are used.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Login {
    /// The user name.
    pub user: String,
    /// The password, in plain text.
    pub password: String,
    /// The name of the client application.
    pub app: String,
    /// The database, whose name is that of the tenant. It may be empty.
    pub database: String,
}

/// The position of a field in the message.
struct FieldPosition {
    offset: usize,
    /// The length in UTF-16 code units.
    units: usize,
}

impl FieldPosition {
    fn bytes<'a>(&self, data: &'a [u8]) -> ParseResult<&'a [u8]> {
        if self.units > MAX_FIELD_UNITS {
            return Err(ContextError::new());
        }
        let end = self.offset + self.units * 2;
        data.get(self.offset..end).ok_or_else(ContextError::new)
    }
}

fn parse_position(input: &mut &[u8]) -> ParseResult<FieldPosition> {
    let (offset, units) = (le_u16, le_u16).parse_next(input)?;
    Ok(FieldPosition { offset: usize::from(offset), units: usize::from(units) })
}

fn parse_login(data: &[u8]) -> ParseResult<Login> {
    let mut input = data;
    let (length, version) = (le_u32, le_u32).parse_next(&mut input)?;
    if length as usize != data.len() || data.len() < FIXED_PART_BYTES || version < MIN_VERSION {
        return Err(ContextError::new());
    }
    take(SKIPPED_BYTES).void().parse_next(&mut input)?;
    let positions: Vec<FieldPosition> =
        repeat(FIELD_COUNT..=FIELD_COUNT, parse_position).parse_next(&mut input)?;
    let decode = |bytes: &[u8]| from_utf16(bytes).ok_or_else(ContextError::new);
    let field = |index: usize| decode(positions[index].bytes(data)?);
    let password = positions[PASSWORD].bytes(data)?.iter().map(|byte| deobfuscate(*byte));
    let password: Vec<u8> = password.collect();
    Ok(Login {
        user: field(USER)?,
        password: decode(&password)?,
        app: field(APPLICATION)?,
        database: field(DATABASE)?,
    })
}

/// Obfuscates a byte of a password as LOGIN7 requires. This is not encryption.
fn obfuscate(byte: u8) -> u8 {
    byte.rotate_left(4) ^ PASSWORD_KEY
}

fn deobfuscate(byte: u8) -> u8 {
    (byte ^ PASSWORD_KEY).rotate_left(4)
}

/// Reads a LOGIN7 message.
///
/// # Errors
///
/// The message is malformed, or its version is older than TDS 7.2.
pub fn read_login(data: &[u8]) -> Result<Login, TdsError> {
    parse_login(data).map_err(|_| TdsError::Message("LOGIN7"))
}

/// Encodes a LOGIN7 message.
pub fn login(login: &Login) -> Vec<u8> {
    let fields = [
        utf16("sanddyke"), // host
        utf16(&login.user),
        utf16(&login.password).into_iter().map(obfuscate).collect(),
        utf16(&login.app),
        utf16("engine"),   // server
        Vec::new(),        // extension
        utf16("sanddyke"), // client library
        Vec::new(),        // language
        utf16(&login.database),
    ];
    let mut positions = Vec::new();
    let mut data = Vec::new();
    for field in &fields {
        positions.extend(((FIXED_PART_BYTES + data.len()) as u16).to_le_bytes());
        positions.extend(((field.len() / 2) as u16).to_le_bytes());
        data.extend_from_slice(field);
    }
    let end = ((FIXED_PART_BYTES + data.len()) as u16).to_le_bytes();
    positions.extend([0; 6]); // client id
    for _ in 0..3 {
        positions.extend(end); // SSPI, attached file, new password: none
        positions.extend([0, 0]);
    }
    positions.extend([0; 4]);
    let mut out = Vec::with_capacity(FIXED_PART_BYTES + data.len());
    out.extend(((FIXED_PART_BYTES + data.len()) as u32).to_le_bytes());
    out.extend(TDS_74.to_le_bytes());
    out.extend((PACKET_BYTES as u32).to_le_bytes());
    out.extend([0; 24]); // program version, process, connection, flags, zone, language
    out.extend(positions);
    out.extend(data);
    out
}

#[cfg(test)]
mod tests;
