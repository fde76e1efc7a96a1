//! PRELOGIN (MS-TDS 2.2.6.5) and LOGIN7 (MS-TDS 2.2.6.4).

use super::packet::PACKET_BYTES;
use super::{ParseResult, TdsError, from_utf16, utf16};
use winnow::Parser;
use winnow::binary::{be_u8, be_u16, le_u16, le_u32};
use winnow::combinator::repeat;
use winnow::error::ContextError;
use winnow::token::take;

// Options of PRELOGIN.
const VERSION: u8 = 0x00;
const ENCRYPTION: u8 = 0x01;
const MARS: u8 = 0x04;
const TERMINATOR: u8 = 0xff;
/// The length of an option: its token, offset and length.
const OPTION_BYTES: usize = 5;
/// The most options that are read. A value of ours.
const MAX_OPTIONS: usize = 16;
/// The version that is sent: 16.0, no build.
const OUR_VERSION: [u8; 6] = [16, 0, 0, 0, 0, 0];

/// The connection is not encrypted.
pub const ENCRYPT_NOT_SUPPORTED: u8 = 0x02;
/// The connection is encrypted.
pub const ENCRYPT_ON: u8 = 0x01;
/// The connection must be encrypted.
pub const ENCRYPT_REQUIRED: u8 = 0x03;

/// TDS 7.4, as LOGIN7 has it.
const TDS_74: u32 = 0x7400_0004;
/// TDS 7.2, the oldest version that is accepted: before it, a batch has no headers and would be misread.
const MIN_VERSION: u32 = 0x7200_0000;
/// The length of the fixed part of LOGIN7.
const FIXED_BYTES: usize = 94;
/// What comes between the version and the fields: sizes, flags, time zone and language.
const SKIPPED_BYTES: usize = 28;
/// The longest field that is read, in UTF-16 units. A value of ours.
const MAX_FIELD_UNITS: usize = 512;
/// The key with which the bytes of a password are obfuscated.
const PASSWORD_KEY: u8 = 0xa5;

// The indexes of the fields of LOGIN7 that are used.
const USER: usize = 1;
const PASSWORD: usize = 2;
const APPLICATION: usize = 3;
const DATABASE: usize = 8;
/// The number of fields up to the last that is used.
const FIELDS: usize = 9;

/// Writes a PRELOGIN message with this value for encryption. Clients and servers send the same form.
pub fn prelogin(encryption: u8) -> Vec<u8> {
    let options: [(u8, &[u8]); 3] = [(VERSION, &OUR_VERSION), (ENCRYPTION, &[encryption]), (MARS, &[0])];
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

/// An option of PRELOGIN: where in the message its value is.
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

/// Reads a PRELOGIN message. The result is its value for encryption; `None` if it has none.
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

/// The fields of a LOGIN7 message that are used.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Login {
    /// The user.
    pub user: String,
    /// The password.
    pub password: String,
    /// The name of the client's program.
    pub app: String,
    /// The database, which is the tenant.
    pub database: String,
}

/// Where in the message a field is.
struct FieldPosition {
    offset: usize,
    /// Its length in UTF-16 units.
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
    if length as usize != data.len() || data.len() < FIXED_BYTES || version < MIN_VERSION {
        return Err(ContextError::new());
    }
    take(SKIPPED_BYTES).void().parse_next(&mut input)?;
    let positions: Vec<FieldPosition> = repeat(FIELDS..=FIELDS, parse_position).parse_next(&mut input)?;
    let decode = |bytes: &[u8]| from_utf16(bytes).ok_or_else(ContextError::new);
    let field = |index: usize| decode(positions[index].bytes(data)?);
    let password = positions[PASSWORD].bytes(data)?.iter().map(|byte| reveal(*byte));
    let password: Vec<u8> = password.collect();
    Ok(Login {
        user: field(USER)?,
        password: decode(&password)?,
        app: field(APPLICATION)?,
        database: field(DATABASE)?,
    })
}

/// A byte of a password as LOGIN7 obfuscates it. This is no encryption.
fn obfuscate(byte: u8) -> u8 {
    byte.rotate_left(4) ^ PASSWORD_KEY
}

fn reveal(byte: u8) -> u8 {
    (byte ^ PASSWORD_KEY).rotate_left(4)
}

/// Reads a LOGIN7 message.
///
/// # Errors
///
/// The message is malformed, or of a version before TDS 7.2.
pub fn read_login(data: &[u8]) -> Result<Login, TdsError> {
    parse_login(data).map_err(|_| TdsError::Message("LOGIN7"))
}

/// Writes a LOGIN7 message.
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
        positions.extend(((FIXED_BYTES + data.len()) as u16).to_le_bytes());
        positions.extend(((field.len() / 2) as u16).to_le_bytes());
        data.extend_from_slice(field);
    }
    let end = ((FIXED_BYTES + data.len()) as u16).to_le_bytes();
    positions.extend([0; 6]); // client id
    for _ in 0..3 {
        positions.extend(end); // SSPI, attached file, new password: none
        positions.extend([0, 0]);
    }
    positions.extend([0; 4]);
    let mut out = Vec::with_capacity(FIXED_BYTES + data.len());
    out.extend(((FIXED_BYTES + data.len()) as u32).to_le_bytes());
    out.extend(TDS_74.to_le_bytes());
    out.extend((PACKET_BYTES as u32).to_le_bytes());
    out.extend([0; 24]); // program version, process, connection, flags, zone, language
    out.extend(positions);
    out.extend(data);
    out
}

#[cfg(test)]
mod tests;
