//! Rows: JSON behind a CRC-32 of it. JSON, so that a later version reads what an earlier one wrote by its field
//! names, and an operator can read a row that can't be used.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes of the checksum.
const CHECK: usize = 4;

/// A value as a row.
pub fn pack<T: Serialize>(value: &T) -> Result<Vec<u8>, String> {
    let json = serde_json::to_vec(value).map_err(|error| error.to_string())?;
    let mut row = crc32fast::hash(&json).to_le_bytes().to_vec();
    row.extend(json);
    Ok(row)
}

/// The value of a row, or what is wrong with it.
pub fn unpack<T: DeserializeOwned>(what: &str, row: &[u8]) -> Result<T, String> {
    let (check, json) = row.split_at_checked(CHECK).ok_or_else(|| format!("a {what} row is too short"))?;
    if check != crc32fast::hash(json).to_le_bytes() {
        return Err(format!("the checksum of a {what} row is wrong"));
    }
    serde_json::from_slice(json).map_err(|error| format!("a {what} row: {error}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_row_with_any_bit_changed_is_told() {
        let row = pack(&("glannau", 49)).unwrap();
        assert_eq!(unpack::<(String, u8)>("test", &row).unwrap(), ("glannau".to_owned(), 49));
        for bit in 0..row.len() * 8 {
            let mut changed = row.clone();
            changed[bit / 8] ^= 1 << (bit % 8);
            assert!(unpack::<(String, u8)>("test", &changed).is_err(), "bit {bit}");
        }
        assert!(unpack::<u8>("test", &row[..3]).is_err());
    }
}
