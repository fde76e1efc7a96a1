//! Entries of the audit trail. The doc comments of these types are the descriptions in the OpenAPI document.

use sanddyke_tenancy::Record;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One line of the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct AuditEntry {
    /// Its number; there are no gaps.
    pub number: u64,
    /// When (Unix time, ms).
    pub at_ms: u64,
    /// Who: a token's id, or `settings` for the first import.
    pub who: String,
    /// What was done.
    pub what: AuditAction,
}

/// What was done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[schemars(rename = "Done")]
pub enum AuditAction {
    /// A tenant or group was changed.
    Registry {
        /// The change, with the generations before and after.
        record: Box<Record>,
    },
    /// A token was made, rotated or removed.
    Token {
        /// Its id.
        id: String,
        /// `created`, `rotated` or `removed`.
        how: String,
    },
}
