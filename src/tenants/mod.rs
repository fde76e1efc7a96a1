//! The tenants of a hosted service while it runs.
//!
//! The [`TenantService`] makes each change in this order: the registry accepts it, it is on the disk, it is applied here,
//! the core and the frontends are notified, and only then it is acknowledged. Changes are made one at a time, and none is
//! left incomplete when its caller goes away.

mod change;
mod error;
mod known;
mod state;
mod tokens;

pub use change::{ChangeOutcome, ChangeRequest, IdempotencyKey, Precondition};
pub use error::TenantServiceError;
pub use known::KnownTenants;
pub use state::{ChangeEvent, TenantState};
pub use tokens::IssuedToken;

use crate::clock::Clock;
use crate::core::Input;
use crate::service::ServiceHandle;
use sanddyke_authorization::Token;
use sanddyke_store::{AuditAction, AuditEntry, Commit, Loaded, Store, StoreError};
use sanddyke_tenancy::{Document, Generation, shares};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Mutex, watch};

/// The actor of the first import, in the audit trail.
pub const BY_SETTINGS: &str = "settings";

/// Owns the tenants, and makes all changes.
#[derive(Debug)]
pub struct TenantService {
    state: Mutex<TenantState>,
    store: Option<Arc<Store>>,
    backups: Option<PathBuf>,
    handle: ServiceHandle,
    known: KnownTenants,
    clock: Clock,
    /// The generation of the last change.
    latest: watch::Sender<Generation>,
}

impl TenantService {
    /// A service of a store's tenants, or of the settings' tenants where there is no store: those can't be changed. A
    /// new store begins with the settings' tenants.
    ///
    /// # Errors
    /// The store can't be read or written, or the settings' tenants are not valid.
    pub async fn start(
        opened: Option<(Store, Loaded)>,
        settings: &Document,
        backups: Option<PathBuf>,
        handle: ServiceHandle,
        known: KnownTenants,
        clock: Clock,
    ) -> Result<Arc<TenantService>, TenantServiceError> {
        let mut state = TenantState::default();
        let store = match opened {
            Some((store, loaded)) => {
                let begins_empty = restore(&mut state, &store, loaded)?;
                if begins_empty {
                    import(&mut state, &store, settings, clock.unix_ms())?;
                }
                Some(Arc::new(store))
            }
            None => {
                show_settings(&mut state, settings, clock.unix_ms());
                None
            }
        };
        state.shares = shares::effective(&state.registry);
        let latest = watch::Sender::new(state.registry.generation());
        if store.is_some() {
            known.replace(state.registry.tenants().map(|tenant| tenant.name.clone()));
            let updates = state.registry.tenants().filter_map(|tenant| state.update_of(tenant.id)).collect();
            handle.notify(Input::Tenants(updates)).await?;
        }
        let state = Mutex::new(state);
        Ok(Arc::new(TenantService { state, store, backups, handle, known, clock, latest }))
    }

    /// Reads the current state.
    pub async fn read<T>(&self, read: impl FnOnce(&TenantState) -> T) -> T {
        read(&*self.state.lock().await)
    }

    /// The token of a bearer secret, where it is valid now.
    pub async fn check(&self, secret: &str) -> Option<Token> {
        self.state.lock().await.tokens.check(secret, self.clock.unix_ms()).cloned()
    }

    /// Waits until there is a change after a generation, or the time is up.
    pub async fn wait_after(&self, after: Generation, timeout: Duration) {
        let mut latest = self.latest.subscribe();
        // That there is nothing new at the end of the time is an answer as well.
        let _elapsed = tokio::time::timeout(timeout, latest.wait_for(|latest| *latest > after)).await;
    }

    /// Entries of the audit trail before a number, the newest first: at most `limit` of those that are wanted.
    ///
    /// # Errors
    /// There is no store, or it can't be read.
    pub async fn audit(
        &self,
        before: u64,
        limit: usize,
        is_wanted: impl Fn(&AuditEntry) -> bool + Send + 'static,
    ) -> Result<Vec<AuditEntry>, TenantServiceError> {
        let store = self.store.clone().ok_or(TenantServiceError::NoStore)?;
        off_thread(move || Ok(store.audit(before, limit, is_wanted)?)).await
    }

    /// Writes a backup into the folder for backups; returns its path.
    ///
    /// # Errors
    /// There is no store or no folder, or writing failed.
    pub async fn backup(&self) -> Result<PathBuf, TenantServiceError> {
        let store = self.store.clone().ok_or(TenantServiceError::NoStore)?;
        let folder = self.backups.clone().ok_or(TenantServiceError::NoBackups)?;
        let generation = self.read(|state| state.registry.generation().0).await;
        let path = folder.join(format!("sanddyke-{}-{generation}.redb", self.clock.unix_ms()));
        let to = path.clone();
        off_thread(move || Ok(store.backup(&to)?)).await?;
        log::info!("admin: a backup is written to {}", path.display());
        Ok(path)
    }

    /// Writes a backup under a name that the first manager of a cluster takes; false where it was taken already.
    ///
    /// # Errors
    /// There is no store or no folder, or writing failed.
    pub async fn write_periodic_backup(&self, name: &str, fencing_token: u64) -> Result<bool, TenantServiceError> {
        let store = self.store.clone().ok_or(TenantServiceError::NoStore)?;
        let to = self.backups.clone().ok_or(TenantServiceError::NoBackups)?.join(name);
        off_thread(move || Ok(store.backup_once(&to, fencing_token)?)).await
    }
}

/// Restores the state from a store; true where the store has never been changed.
fn restore(state: &mut TenantState, store: &Store, loaded: Loaded) -> Result<bool, StoreError> {
    let is_change = |entry: &AuditEntry| matches!(entry.what, AuditAction::Registry { .. });
    state.restore_recent(store.audit(u64::MAX, state::MAX_RECENT, is_change)?);
    let begins_empty = loaded.is_new || loaded.registry.generation() == Generation(0);
    state.registry = Arc::new(loaded.registry);
    state.tokens = loaded.tokens;
    for creation in loaded.creations {
        state.add_creation(creation);
    }
    Ok(begins_empty)
}

/// Imports the settings' tenants into an empty store.
fn import(
    state: &mut TenantState,
    store: &Store,
    settings: &Document,
    now_ms: u64,
) -> Result<(), TenantServiceError> {
    if settings.tenants.is_empty() {
        return Ok(());
    }
    let plan = state.registry.plan(&settings.changes(&state.registry, false))?;
    store.commit(&Commit::of(BY_SETTINGS, now_ms, &plan.after, plan.records.clone()))?;
    log::info!("the store begins with the settings' {} tenants", plan.after.len());
    state.apply(plan, BY_SETTINGS, now_ms);
    Ok(())
}

/// Shows the settings' tenants in the API where there is no store.
fn show_settings(state: &mut TenantState, settings: &Document, now_ms: u64) {
    if settings.tenants.is_empty() {
        return;
    }
    match state.registry.plan(&settings.changes(&state.registry, false)) {
        Ok(plan) => drop(state.apply(plan, BY_SETTINGS, now_ms)),
        // Requests are served as the settings have them; only the API can't show the tenants.
        Err(error) => log::warn!("the administration API shows no tenants: {error}"),
    }
}

/// Runs what takes long, or waits for the disk, on a thread of its own: the service goes on meanwhile.
async fn off_thread<T: Send + 'static>(
    run: impl FnOnce() -> Result<T, TenantServiceError> + Send + 'static,
) -> Result<T, TenantServiceError> {
    let result = tokio::task::spawn_blocking(run).await;
    result.unwrap_or_else(|error| Err(StoreError::Write(error.to_string()).into()))
}
