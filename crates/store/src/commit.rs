//! Changes to be stored. Each [`Commit`] is one transaction.

use crate::audit::AuditAction;
use sanddyke_authorization::Token;
use sanddyke_tenancy::{Generation, Group, Record, Registry, Subject, Tenant};
use serde::{Deserialize, Serialize};

/// The idempotency key of a creation, with the creation's result.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Creation {
    /// The key, together with the id of the token that used it.
    pub key: String,
    /// A digest of the request, by which reuse of the key for another request is detected.
    #[serde(rename = "asked")]
    pub request_digest: String,
    /// The name of the tenant or group that was created.
    pub name: String,
    /// When the key expires (Unix time, ms).
    pub until_ms: u64,
}

/// A change that is stored completely or not at all.
#[derive(Debug, Default)]
pub struct Commit {
    pub(crate) who: String,
    pub(crate) at_ms: u64,
    pub(crate) generation: Generation,
    pub(crate) last_id: u64,
    /// Rows to write (`Some`) or remove (`None`), by their key; `groups` and `tokens` likewise.
    pub(crate) tenants: Vec<(u64, Option<Tenant>)>,
    pub(crate) groups: Vec<(String, Option<Group>)>,
    pub(crate) tokens: Vec<(String, Option<Token>)>,
    pub(crate) creation: Option<Creation>,
    pub(crate) actions: Vec<AuditAction>,
}

impl Commit {
    /// Changes of a registry: the registry after them, and one record for each change.
    pub fn of(who: &str, at_ms: u64, after: &Registry, records: Vec<Record>) -> Commit {
        let mut commit = Commit {
            who: who.to_owned(),
            at_ms,
            generation: after.generation(),
            last_id: after.last_id(),
            ..Commit::default()
        };
        for record in records {
            match record.change.subject() {
                Subject::Tenant(_) => {
                    let row = record.tenant.map(|id| (id.0, after.by_id(id).cloned()));
                    commit.tenants.extend(row);
                }
                Subject::Group(name) => {
                    let group = after.group(&name).cloned();
                    commit.groups.push((name, group));
                }
            }
            commit.actions.push(AuditAction::Registry { record: Box::new(record) });
        }
        commit
    }

    /// A token that was created or rotated (`Some`) or removed (`None`). The registry is unchanged.
    pub fn token(
        who: &str,
        at_ms: u64,
        registry: &Registry,
        id: &str,
        token: Option<Token>,
        how: &str,
    ) -> Commit {
        let mut commit = Commit::of(who, at_ms, registry, Vec::new());
        commit.tokens.push((id.to_owned(), token));
        commit.actions.push(AuditAction::Token { id: id.to_owned(), how: how.to_owned() });
        commit
    }

    /// Adds the idempotency key of a creation to the transaction.
    pub fn with_creation(mut self, creation: Creation) -> Commit {
        self.creation = Some(creation);
        self
    }
}
