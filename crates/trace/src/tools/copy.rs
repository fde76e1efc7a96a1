//! Copying records of one file to another, unknown fields included.

use crate::{Entry, Reader, TraceError, Writer};
use std::io::{Read, Seek, Write};

/// Copies the records that `is_wanted` accepts and adds `step` to the derivation in the header.
///
/// Returns the number of copied records.
pub(super) fn copy_where<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>,
    out: W,
    step: String,
    mut is_wanted: impl FnMut(&Entry) -> bool,
) -> Result<u64, TraceError> {
    let mut header = reader.header().clone();
    header.derivation.push(step);
    let mut writer = Writer::new(out, header)?;
    let mut copied_records = 0;
    for entry in reader.by_ref() {
        let entry = entry?;
        if is_wanted(&entry) {
            writer.copy(&entry.record, &entry.bytes, |reference| entry.string(reference).to_owned())?;
            copied_records += 1;
        }
    }
    writer.finish()?;
    Ok(copied_records)
}

/// Writes a complete file, with an index, of all readable records of a damaged one.
///
/// Returns the number of recovered records.
///
/// # Errors
/// Fails where the input cannot be read at all or the output cannot be written. Unreadable parts are no errors:
/// they are listed in [`Reader::faults`].
pub fn recover<R: Read + Seek, W: Write>(reader: &mut Reader<R>, out: W) -> Result<u64, TraceError> {
    copy_where(reader, out, "recover".to_owned(), |_| true)
}
