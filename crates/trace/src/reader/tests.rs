//! Files of later format versions.

use super::*;
use crate::frame;
use std::io::Cursor;

/// Guards against decoding a file of a later format version, whose fields may have another meaning.
#[test]
fn a_later_format_version_is_rejected() {
    let open_with_version = |format_version| {
        let mut file = MAGIC.to_vec();
        let header = Header { format_version, ..Header::default() };
        frame::write(&mut file, BlockKind::Header, &header.encode_to_vec()).unwrap();
        Reader::new(Cursor::new(file))
    };
    assert!(open_with_version(FORMAT_VERSION).is_ok());
    let error = open_with_version(FORMAT_VERSION + 1).unwrap_err();
    assert!(matches!(error, TraceError::LaterVersion(version) if version == FORMAT_VERSION + 1));
}
