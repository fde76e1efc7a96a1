//! The encoding of rows: the CRC-32 of the JSON text, little-endian, followed by the text. JSON identifies fields by name,
//! so that later versions can read rows of earlier ones, and an operator can read a corrupted row.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Length of the CRC-32 at the start of a row.
const CHECKSUM_BYTES: usize = 4;

/// Encodes a value as a row.
pub fn pack<T: Serialize>(value: &T) -> Result<Vec<u8>, String> {
    let json = serde_json::to_vec(value).map_err(|error| error.to_string())?;
    let mut row = crc32fast::hash(&json).to_le_bytes().to_vec();
    row.extend(json);
    Ok(row)
}

/// Decodes a row and checks its checksum. `kind` names the row in error messages.
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
