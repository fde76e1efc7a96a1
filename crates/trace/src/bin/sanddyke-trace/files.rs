//! Opening input files, and writing output files that are complete under their final name.

use crate::error::CommandError;
use sanddyke_trace::{Reader, TraceError};
use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::Path;

/// A reader of a trace file.
pub type FileReader = Reader<BufReader<File>>;

/// Opens a trace file.
pub fn open(path: &Path) -> Result<FileReader, CommandError> {
    open_trace(path).map_err(|error| read_error(path, error))
}

/// Opens a trace file; the error does not name it.
pub fn open_trace(path: &Path) -> Result<FileReader, TraceError> {
    Reader::new(BufReader::new(File::open(path)?))
}

/// Writes a file under a temporary name and renames it once it is complete.
///
/// A file under the final name is never partial; after an error the temporary file remains.
pub fn write_complete<T>(
    path: &Path,
    write: impl FnOnce(BufWriter<File>) -> Result<T, TraceError>,
) -> Result<T, CommandError> {
    let temporary = path.with_extension("part");
    let failed = |source: TraceError| CommandError::Write { path: path.to_owned(), source };
    let file = File::create(&temporary).map_err(|error| failed(error.into()))?;
    let result = write(BufWriter::new(file)).map_err(failed)?;
    std::fs::rename(&temporary, path).map_err(|error| failed(error.into()))?;
    Ok(result)
}

/// An error while a file was read.
pub fn read_error(path: &Path, source: TraceError) -> CommandError {
    CommandError::Read { path: path.to_owned(), source }
}

/// Prints the unreadable parts that a reader has met to standard error.
///
/// # Errors
/// [`CommandError::Damaged`] where there are any.
pub fn check_readable(reader: &FileReader) -> Result<(), CommandError> {
    for fault in reader.faults() {
        eprintln!("sanddyke-trace: bytes {} to {}: {}", fault.offset, fault.until, fault.reason);
    }
    match reader.faults().len() {
        0 => Ok(()),
        count => Err(CommandError::Damaged(count)),
    }
}
