//! The encoding of rows: JSON behind its CRC-32. JSON, so that a later version reads by field names what an earlier one
//! wrote, and that an operator can read a row that can't be used.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes of the checksum.
const CHECKSUM_BYTES: usize = 4;

/// Encodes a value as a row.
pub fn pack<T: Serialize>(value: &T) -> Result<Vec<u8>, String> {
    let json = serde_json::to_vec(value).map_err(|error| error.to_string())?;
    let mut row = crc32fast::hash(&json).to_le_bytes().to_vec();
    row.extend(json);
    Ok(row)
}

/// Decodes a row; `kind` names it in the error message.
pub fn unpack<T: DeserializeOwned>(kind: &str, row: &[u8]) -> Result<T, String> {
    let (checksum, json) =
        row.split_at_checked(CHECKSUM_BYTES).ok_or_else(|| format!("a {kind} row is too short"))?;
    if checksum != crc32fast::hash(json).to_le_bytes() {
        return Err(format!("the checksum of a {kind} row is wrong"));
    }
    serde_json::from_slice(json).map_err(|error| format!("a {kind} row: {error}"))
}

#[cfg(test)]
mod tests;
