//! The tables of the store's file, and reading and writing their rows.

use crate::audit::AuditEntry;
use crate::commit::{Commit, Creation};
use crate::encoding::{pack, unpack};
use crate::error::message;
use crate::store::Loaded;
use crate::{FORMAT_VERSION, MAX_AUDIT_ENTRIES, MAX_CREATION_KEYS};
use redb::{ReadTransaction, ReadableTable, TableDefinition, TableError, WriteTransaction};
use sanddyke_authorization::Tokens;
use sanddyke_tenancy::{Generation, Registry, Tenant};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Format version, generation and last id, by the keys below.
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const TENANTS: TableDefinition<u64, &[u8]> = TableDefinition::new("tenants");
const GROUPS: TableDefinition<&str, &[u8]> = TableDefinition::new("groups");
const TOKENS: TableDefinition<&str, &[u8]> = TableDefinition::new("tokens");
const AUDIT: TableDefinition<u64, &[u8]> = TableDefinition::new("audit");
/// Creations by [`Creation::key`].
const CREATIONS: TableDefinition<&str, &[u8]> = TableDefinition::new("creations");
/// The keys of creations in the order in which they were stored, which is the order of their removal.
const CREATION_ORDER: TableDefinition<u64, &str> = TableDefinition::new("creation_order");

/// Keys in `META`.
const META_FORMAT_VERSION: &str = "form";
const META_GENERATION: &str = "generation";
const META_LAST_ID: &str = "last_id";

/// A table, or `None` if it does not exist because it was never written.
pub(crate) fn optional<T>(table: Result<T, TableError>) -> Result<Option<T>, String> {
    match table {
        Ok(table) => Ok(Some(table)),
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(error.to_string()),
    }
}

/// Writes the format version into an empty database.
pub(crate) fn write_format_version(transaction: &WriteTransaction) -> Result<(), String> {
    let mut meta = transaction.open_table(META).map_err(message)?;
    meta.insert(META_FORMAT_VERSION, FORMAT_VERSION).map_err(message)?;
    Ok(())
}

/// Reads the format version.
pub(crate) fn read_format_version(read: &ReadTransaction) -> Result<u64, String> {
    let missing = || "it has no format version".to_owned();
    let meta = optional(read.open_table(META))?.ok_or_else(missing)?;
    let form = meta.get(META_FORMAT_VERSION).map_err(message)?;
    form.map(|form| form.value()).ok_or_else(missing)
}

/// Writes all rows of a change.
pub(crate) fn write(transaction: &WriteTransaction, commit: &Commit) -> Result<(), String> {
    let mut meta = transaction.open_table(META).map_err(message)?;
    meta.insert(META_GENERATION, commit.generation.0).map_err(message)?;
    meta.insert(META_LAST_ID, commit.last_id).map_err(message)?;
    let mut tenants = transaction.open_table(TENANTS).map_err(message)?;
    for (id, row) in &commit.tenants {
        match row {
            Some(tenant) => drop(tenants.insert(id, pack(tenant)?.as_slice()).map_err(message)?),
            None => drop(tenants.remove(id).map_err(message)?),
        }
    }
    write_named(transaction, GROUPS, &commit.groups)?;
    write_named(transaction, TOKENS, &commit.tokens)?;
    write_audit(transaction, commit)?;
    match &commit.creation {
        Some(creation) => write_creation(transaction, creation),
        None => Ok(()),
    }
}

fn write_named<T: Serialize>(
    transaction: &WriteTransaction,
    definition: TableDefinition<&str, &[u8]>,
    rows: &[(String, Option<T>)],
) -> Result<(), String> {
    let mut table = transaction.open_table(definition).map_err(message)?;
    for (name, row) in rows {
        match row {
            Some(row) => drop(table.insert(name.as_str(), pack(row)?.as_slice()).map_err(message)?),
            None => drop(table.remove(name.as_str()).map_err(message)?),
        }
    }
    Ok(())
}

/// Appends the actions of a change to the audit trail, and removes the oldest entries above [`MAX_AUDIT_ENTRIES`].
fn write_audit(transaction: &WriteTransaction, commit: &Commit) -> Result<(), String> {
    let mut audit = transaction.open_table(AUDIT).map_err(message)?;
    let mut next = audit.last().map_err(message)?.map_or(1, |(number, _)| number.value() + 1);
    for action in &commit.actions {
        let entry =
            AuditEntry { number: next, at_ms: commit.at_ms, who: commit.who.clone(), what: action.clone() };
        audit.insert(next, pack(&entry)?.as_slice()).map_err(message)?;
        next += 1;
    }
    let oldest = next.saturating_sub(MAX_AUDIT_ENTRIES);
    audit.retain_in(..oldest, |_, _| false).map_err(message)
}

/// Stores the key of a creation, and removes the oldest keys above [`MAX_CREATION_KEYS`].
fn write_creation(transaction: &WriteTransaction, creation: &Creation) -> Result<(), String> {
    let mut creations = transaction.open_table(CREATIONS).map_err(message)?;
    let mut order = transaction.open_table(CREATION_ORDER).map_err(message)?;
    let next = order.last().map_err(message)?.map_or(1, |(number, _)| number.value() + 1);
    creations.insert(creation.key.as_str(), pack(creation)?.as_slice()).map_err(message)?;
    order.insert(next, creation.key.as_str()).map_err(message)?;
    loop {
        let oldest = order.first().map_err(message)?.map(|(number, _)| number.value());
        let Some(oldest) = oldest.filter(|oldest| oldest + MAX_CREATION_KEYS <= next) else { return Ok(()) };
        let key = order.remove(oldest).map_err(message)?.map(|key| key.value().to_owned());
        if let Some(key) = key {
            creations.remove(key.as_str()).map_err(message)?;
        }
    }
}

/// Reads all tables except the audit trail.
pub(crate) fn load(read: &ReadTransaction) -> Result<Loaded, String> {
    let generation = Generation(meta_number(read, META_GENERATION)?);
    let last_id = meta_number(read, META_LAST_ID)?;
    let mut tokens = Tokens::default();
    for token in named_rows(read, TOKENS, "token")? {
        tokens.put(token).map_err(message)?;
    }
    let registry =
        Registry::restore(generation, last_id, load_tenants(read)?, named_rows(read, GROUPS, "group")?)?;
    let creations = named_rows(read, CREATIONS, "creation")?;
    Ok(Loaded { registry, tokens, creations, is_new: false })
}

/// Reads a number from `META`; 0 if it was never written.
fn meta_number(read: &ReadTransaction, key: &str) -> Result<u64, String> {
    let Some(meta) = optional(read.open_table(META))? else { return Ok(0) };
    let number = meta.get(key).map_err(message)?;
    Ok(number.map_or(0, |number| number.value()))
}

fn load_tenants(read: &ReadTransaction) -> Result<Vec<Tenant>, String> {
    let Some(table) = optional(read.open_table(TENANTS))? else { return Ok(Vec::new()) };
    let mut tenants: Vec<Tenant> = Vec::new();
    for row in table.iter().map_err(message)? {
        let (id, value) = row.map_err(message)?;
        let tenant: Tenant = unpack("tenant", value.value())?;
        if tenant.id.0 != id.value() {
            return Err(format!("the row of tenant {} contains tenant {}", id.value(), tenant.id.0));
        }
        tenants.push(tenant);
    }
    Ok(tenants)
}

/// Reads all values of a table whose keys are text. `kind` names a row in error messages.
fn named_rows<T: DeserializeOwned>(
    read: &ReadTransaction,
    definition: TableDefinition<&str, &[u8]>,
    kind: &str,
) -> Result<Vec<T>, String> {
    let Some(table) = optional(read.open_table(definition))? else { return Ok(Vec::new()) };
    let mut rows = Vec::new();
    for row in table.iter().map_err(message)? {
        let (_, value) = row.map_err(message)?;
        rows.push(unpack(kind, value.value())?);
    }
    Ok(rows)
}

/// The newest audit entries whose number is less than `before`, newest first: at most `limit` of those for which
/// `is_wanted` returns true.
pub(crate) fn audit(
    read: &ReadTransaction,
    before: u64,
    limit: usize,
    is_wanted: impl Fn(&AuditEntry) -> bool,
) -> Result<Vec<AuditEntry>, String> {
    let Some(table) = optional(read.open_table(AUDIT))? else { return Ok(Vec::new()) };
    let mut found = Vec::new();
    for row in table.range(..before).map_err(message)?.rev() {
        let (_, value) = row.map_err(message)?;
        let entry = unpack("audit", value.value())?;
        if found.len() >= limit {
            break;
        }
        if is_wanted(&entry) {
            found.push(entry);
        }
    }
    Ok(found)
}

/// Copies all tables into an empty database.
pub(crate) fn copy(from: &ReadTransaction, to: &WriteTransaction) -> Result<(), String> {
    copy_table(from, to, META)?;
    copy_table(from, to, TENANTS)?;
    copy_table(from, to, GROUPS)?;
    copy_table(from, to, TOKENS)?;
    copy_table(from, to, AUDIT)?;
    copy_table(from, to, CREATIONS)?;
    copy_table(from, to, CREATION_ORDER)
}

fn copy_table<K: redb::Key + 'static, V: redb::Value + 'static>(
    from: &ReadTransaction,
    to: &WriteTransaction,
    definition: TableDefinition<K, V>,
) -> Result<(), String> {
    let Some(rows) = optional(from.open_table(definition))? else { return Ok(()) };
    let mut copy = to.open_table(definition).map_err(message)?;
    for row in rows.iter().map_err(message)? {
        let (key, value) = row.map_err(message)?;
        copy.insert(key.value(), value.value()).map_err(message)?;
    }
    Ok(())
}
