//! Copying a file with its names replaced by pseudonyms.

use crate::{Event, Header, Manager, Reader, Record, TraceError, Writer};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::HashSet;
use std::io::{Read, Seek, Write};

/// Bytes of the keyed hash in a pseudonym: 64 bits keep collisions within one file improbable.
const PSEUDONYM_BYTES: usize = 8;

/// Strings that the format itself defines and that identify nobody; they are copied unchanged.
const VOCABULARY: &[&str] = &[
    "served",
    "refused",
    "failed",
    "cancelled",
    "left",
    "invalid",
    "start",
    "stop",
    "configuration",
    "ready",
    "draining",
    "gone",
    "active",
    "suspended",
    "removed",
    "http",
    "tds",
    "no_room",
    "no_time",
    "lighter",
    "share",
    "Served",
    "ServerError",
    "Full",
    "TimedOut",
    "NoConnection",
    "ConnectionLost",
    "Spoilt",
    "Cancelled",
    "NotSent",
    "tenant_unknown",
    "tenant_suspended",
    "tenant_draining",
    "tenant_removed",
    "tenant_class",
    "tenant_statement_bytes",
    "tenant_result_bytes",
    "tenant_open",
    "tenant_rate",
];

/// Copies a file with the names of tenants, requests, keys, engines and zones replaced by pseudonyms.
///
/// The format's own vocabulary and the names of the classes are copied unchanged. Times count from the first
/// record. Events and fields of a later version are left out, because they may contain anything. A pseudonym is a
/// keyed hash: without the secret, which the caller discards, names cannot be confirmed by trial, and the same name
/// has another pseudonym in a file with another secret.
///
/// Returns the number of copied records.
pub fn anonymise<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>,
    secret: &[u8; 32],
    out: W,
) -> Result<u64, TraceError> {
    let mut writer = Writer::new(out, anonymous_header(reader.header()))?;
    let mut names = Pseudonyms::new(secret);
    let mut first_us = None;
    let mut copied_records = 0;
    for entry in reader.by_ref() {
        let entry = entry?;
        if let Some(Event::RequestReceived(received)) = &entry.record.event {
            names.add_class(entry.string(received.class));
        }
        let start_us = *first_us.get_or_insert(entry.record.at_us);
        let record = Record { at_us: entry.record.at_us - start_us, ..entry.record.clone() };
        // Encoding the decoded record drops the unknown fields.
        let bytes = prost::Message::encode_to_vec(&record);
        writer.copy(&record, &bytes, |reference| names.replace(entry.string(reference)))?;
        copied_records += 1;
    }
    writer.finish()?;
    Ok(copied_records)
}

/// The header without what identifies the site: names, versions, times of day and the derivation.
fn anonymous_header(header: &Header) -> Header {
    let managers = header.managers.iter().enumerate().map(|(position, manager)| Manager {
        name: format!("anonymous-{position}"),
        unix_us: 0,
        ..manager.clone()
    });
    Header {
        manager: "anonymous".to_owned(),
        derivation: vec!["anonymise".to_owned()],
        managers: managers.collect(),
        ..Header::default()
    }
}

/// Replaces names by pseudonyms, and leaves what identifies nobody.
struct Pseudonyms<'a> {
    secret: &'a [u8; 32],
    vocabulary: HashSet<&'static str>,
    classes: HashSet<String>,
}

impl Pseudonyms<'_> {
    fn new(secret: &[u8; 32]) -> Pseudonyms<'_> {
        Pseudonyms { secret, vocabulary: VOCABULARY.iter().copied().collect(), classes: HashSet::new() }
    }

    fn add_class(&mut self, class: &str) {
        self.classes.insert(class.to_owned());
    }

    fn replace(&self, text: &str) -> String {
        if text.is_empty() || self.vocabulary.contains(text) || self.classes.contains(text) {
            return text.to_owned();
        }
        // HMAC accepts keys of any length.
        let mut mac = Hmac::<Sha256>::new_from_slice(self.secret).expect("HMAC accepts keys of any length");
        mac.update(text.as_bytes());
        let hash = mac.finalize().into_bytes();
        let digits: String = hash[..PSEUDONYM_BYTES].iter().map(|byte| format!("{byte:02x}")).collect();
        format!("x{digits}")
    }
}
