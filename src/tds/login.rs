//! PRELOGIN and LOGIN7.

use super::{Malformed, Out, from_utf16, utf16};
use winnow::Parser;
use winnow::binary::{be_u8, be_u16, le_u16, le_u32};
use winnow::combinator::repeat;
use winnow::error::ContextError;
use winnow::token::take;

const VERSION: u8 = 0x00;
const ENCRYPTION: u8 = 0x01;
const MARS: u8 = 0x04;
const TERMINATOR: u8 = 0xff;
/// The wire is not encrypted.
pub const ENCRYPT_NOT_SUPPORTED: u8 = 0x02;
/// The wire is encrypted.
pub const ENCRYPT_ON: u8 = 0x01;
/// The wire must be encrypted.
pub const ENCRYPT_REQUIRED: u8 = 0x03;
/// TDS 7.4, as LOGIN7 has it.
const TDS_74: u32 = 0x7400_0004;
/// The fixed part of LOGIN7.
const FIXED: usize = 94;
const LONGEST_FIELD: usize = 512;

/// A PRELOGIN message that says so much of encryption; the same from either side.
pub fn prelogin(encryption: u8) -> Vec<u8> {
    let options: [(u8, &[u8]); 3] =
        [(VERSION, &[16, 0, 0, 0, 0, 0]), (ENCRYPTION, &[encryption]), (MARS, &[0])];
    let mut offset = options.len() * 5 + 1;
    let (mut out, mut data) = (Vec::new(), Vec::new());
    for (token, bytes) in options {
        out.push(token);
        out.extend((offset as u16).to_be_bytes());
        out.extend((bytes.len() as u16).to_be_bytes());
        data.extend_from_slice(bytes);
        offset += bytes.len();
    }
    out.push(TERMINATOR);
    out.extend(data);
    out
}

fn options(input: &mut &[u8]) -> Out<Vec<(u8, u16, u16)>> {
    let option = (be_u8.verify(|token| *token != TERMINATOR), be_u16, be_u16);
    let options = repeat(0..=16, option).parse_next(input)?;
    be_u8.verify(|token: &u8| *token == TERMINATOR).parse_next(input)?;
    Ok(options)
}

/// Reads a PRELOGIN message: what it says of encryption.
pub fn read_prelogin(data: &[u8]) -> Result<Option<u8>, Malformed> {
    let bad = Malformed::Message("PRELOGIN");
    let options = options(&mut &data[..]).map_err(|_| bad)?;
    let mut encryption = None;
    for (token, offset, length) in options {
        let (from, length) = (usize::from(offset), usize::from(length));
        let value = data.get(from..from + length).ok_or(bad)?;
        if token == ENCRYPTION {
            encryption = Some(*value.first().ok_or(bad)?);
        }
    }
    Ok(encryption)
}

/// What a client says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Login {
    /// Who.
    pub user: String,
    /// The password.
    pub password: String,
    /// The program.
    pub app: String,
    /// The database, which is the tenant.
    pub database: String,
}

fn text(data: &[u8], offset: u16, count: u16) -> Out<Vec<u8>> {
    let (from, length) = (usize::from(offset), usize::from(count) * 2);
    if length > LONGEST_FIELD * 2 {
        return Err(ContextError::new());
    }
    data.get(from..from + length).map(<[u8]>::to_vec).ok_or_else(ContextError::new)
}

fn login7(data: &[u8]) -> Out<Login> {
    let mut input = data;
    let input = &mut input;
    let (length, version) = (le_u32, le_u32).parse_next(input)?;
    // Before 7.2 a batch has no headers: such a client would be misread.
    if length as usize != data.len() || data.len() < FIXED || version < 0x7200_0000 {
        return Err(ContextError::new());
    }
    let _sizes_flags_and_zone = take(28usize).parse_next(input)?;
    let places: Vec<(u16, u16)> = repeat(9..=9, (le_u16, le_u16)).parse_next(input)?;
    let field = |at: usize| {
        let (offset, count) = places[at];
        text(data, offset, count)
    };
    let plain = |bytes: Vec<u8>| from_utf16(&bytes).ok_or_else(ContextError::new);
    let hidden = field(2)?.into_iter().map(|byte| (byte ^ 0xa5).rotate_left(4)).collect();
    Ok(Login {
        user: plain(field(1)?)?,
        password: plain(hidden)?,
        app: plain(field(3)?)?,
        database: plain(field(8)?)?,
    })
}

/// Reads a LOGIN7 message.
pub fn read_login(data: &[u8]) -> Result<Login, Malformed> {
    login7(data).map_err(|_| Malformed::Message("LOGIN7"))
}

/// A LOGIN7 message.
pub fn login(login: &Login) -> Vec<u8> {
    let hidden: Vec<u8> = utf16(&login.password).into_iter().map(|byte| byte.rotate_left(4) ^ 0xa5).collect();
    let fields = [
        utf16("sanddyke"), // host
        utf16(&login.user),
        hidden,
        utf16(&login.app),
        utf16("engine"),
        Vec::new(), // extension
        utf16("sanddyke"),
        Vec::new(), // language
        utf16(&login.database),
    ];
    let (mut places, mut data) = (Vec::new(), Vec::new());
    for field in &fields {
        places.extend(((FIXED + data.len()) as u16).to_le_bytes());
        places.extend(((field.len() / 2) as u16).to_le_bytes());
        data.extend_from_slice(field);
    }
    let end = ((FIXED + data.len()) as u16).to_le_bytes();
    places.extend([0; 6]); // client id
    for _ in 0..3 {
        places.extend(end); // SSPI, attached file, new password: none
        places.extend([0, 0]);
    }
    places.extend([0; 4]);
    let mut out = Vec::with_capacity(FIXED + data.len());
    out.extend(((FIXED + data.len()) as u32).to_le_bytes());
    out.extend(TDS_74.to_le_bytes());
    out.extend((super::packet::PACKET as u32).to_le_bytes());
    out.extend([0; 24]); // program version, process, connection, flags, zone, language
    out.extend(places);
    out.extend(data);
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_login_comes_back_as_it_was_and_never_when_cut() {
        let told =
            Login { user: "ann".into(), password: "pâss".into(), app: "x".into(), database: "acme".into() };
        let data = login(&told);
        assert_eq!(read_login(&data), Ok(told));
        for cut in 0..data.len() {
            assert!(read_login(&data[..cut]).is_err(), "cut at {cut}");
        }
        assert_eq!(read_prelogin(&prelogin(ENCRYPT_NOT_SUPPORTED)), Ok(Some(ENCRYPT_NOT_SUPPORTED)));
    }
}
