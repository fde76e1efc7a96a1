//! Manages the tenants of a running service.
//!
//! The [`TenantService`] processes each change in these steps:
//! 1. The registry validates it.
//! 2. The store writes it to disk.
//! 3. It is applied to the state in memory, and the frontends' tenant names are updated.
//! 4. The core is notified.
//! 5. The caller receives the result.
//!
//! Changes are processed one at a time. A change completes even if its caller disconnects.

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

/// Actor in the audit trail for the import of the settings' tenants into a new store.
pub const SETTINGS_ACTOR: &str = "settings";

/// Owns the tenants, groups and tokens, and applies all changes of them.
#[derive(Debug)]
pub struct TenantService {
    state: Mutex<TenantState>,
    store: Option<Arc<Store>>,
    backups: Option<PathBuf>,
    handle: ServiceHandle,
    known: KnownTenants,
    clock: Clock,
    /// Generation of the last change.
    latest: watch::Sender<Generation>,
}

impl TenantService {
    /// Starts the service with the tenants of a store, or with those of the settings if there is no store. Without a
    /// store the tenants can't be changed. The settings' tenants are imported into a store that has no changes yet.
    ///
    /// # Errors
    /// The store can't be read or written, the settings' tenants are invalid, or the service has ended.
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
                let is_unchanged = restore_state(&mut state, &store, loaded)?;
                if is_unchanged {
                    import_settings_tenants(&mut state, &store, settings, clock.unix_ms())?;
                }
                Some(Arc::new(store))
            }
            None => {
                load_settings_tenants(&mut state, settings, clock.unix_ms());
                None
            }
        };
        state.shares = shares::effective(&state.registry);
        let latest = watch::Sender::new(state.registry.generation());
        if store.is_some() {
            known.replace(state.registry.tenants().map(|tenant| tenant.name.clone()));
            let updates =
                state.registry.tenants().filter_map(|tenant| state.tenant_update(tenant.id)).collect();
            handle.notify(Input::Tenants(updates)).await?;
        }
        let state = Mutex::new(state);
        Ok(Arc::new(TenantService { state, store, backups, handle, known, clock, latest }))
    }

    /// Calls `read` with the current state. Changes wait until it returns.
    pub async fn read<T>(&self, read: impl FnOnce(&TenantState) -> T) -> T {
        read(&*self.state.lock().await)
    }

    /// Returns the token with this bearer secret; `None` if there is none or it has expired.
    pub async fn authenticate(&self, secret: &str) -> Option<Token> {
        self.state.lock().await.tokens.check(secret, self.clock.unix_ms()).cloned()
    }

    /// Waits for a change after a generation, at most for `timeout`.
    pub async fn wait_for_change_after(&self, after: Generation, timeout: Duration) {
        let mut latest = self.latest.subscribe();
        // The caller reads the state in either case, so a timeout is not an error.
        let _elapsed = tokio::time::timeout(timeout, latest.wait_for(|latest| *latest > after)).await;
    }

    /// Returns at most `limit` audit entries with a number below `before` for which `is_wanted` returns true, newest
    /// first.
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
        run_blocking(move || Ok(store.audit(before, limit, is_wanted)?)).await
    }

    /// Writes a backup into the backup folder and returns its path.
    ///
    /// # Errors
    /// No store or no backup folder is configured, or the write failed.
    pub async fn backup(&self) -> Result<PathBuf, TenantServiceError> {
        let store = self.store.clone().ok_or(TenantServiceError::NoStore)?;
        let folder = self.backups.clone().ok_or(TenantServiceError::NoBackups)?;
        let generation = self.read(|state| state.registry.generation().0).await;
        let path = folder.join(format!("sanddyke-{}-{generation}.redb", self.clock.unix_ms()));
        let to = path.clone();
        run_blocking(move || Ok(store.backup(&to)?)).await?;
        log::info!("admin: backup written to {}", path.display());
        Ok(path)
    }

    /// Writes the backup of a period under a name that all managers of a cluster share. Returns false if a manager has
    /// already written a backup of this name.
    ///
    /// # Errors
    /// No store or no backup folder is configured, or the write failed.
    pub async fn write_periodic_backup(
        &self,
        name: &str,
        fencing_token: u64,
    ) -> Result<bool, TenantServiceError> {
        let store = self.store.clone().ok_or(TenantServiceError::NoStore)?;
        let to = self.backups.clone().ok_or(TenantServiceError::NoBackups)?.join(name);
        run_blocking(move || Ok(store.backup_once(&to, fencing_token)?)).await
    }
}

/// Restores the state from a store. Returns true if the store has no tenant or group changes yet.
fn restore_state(state: &mut TenantState, store: &Store, loaded: Loaded) -> Result<bool, StoreError> {
    let is_change = |entry: &AuditEntry| matches!(entry.what, AuditAction::Registry { .. });
    state.restore_recent(store.audit(u64::MAX, state::MAX_RECENT_CHANGES, is_change)?);
    let is_unchanged = loaded.is_new || loaded.registry.generation() == Generation(0);
    state.registry = Arc::new(loaded.registry);
    state.tokens = loaded.tokens;
    for creation in loaded.creations {
        state.add_creation(creation);
    }
    Ok(is_unchanged)
}

/// Imports the settings' tenants into a store without changes.
fn import_settings_tenants(
    state: &mut TenantState,
    store: &Store,
    settings: &Document,
    now_ms: u64,
) -> Result<(), TenantServiceError> {
    if settings.tenants.is_empty() {
        return Ok(());
    }
    let plan = state.registry.plan(&settings.changes(&state.registry, false))?;
    store.commit(&Commit::of(SETTINGS_ACTOR, now_ms, &plan.after, plan.records.clone()))?;
    log::info!("{} tenants of the settings imported into the new store", plan.after.len());
    state.apply(plan, SETTINGS_ACTOR, now_ms);
    Ok(())
}

/// Loads the settings' tenants into the state that the API shows. Used without a store.
fn load_settings_tenants(state: &mut TenantState, settings: &Document, now_ms: u64) {
    if settings.tenants.is_empty() {
        return;
    }
    match state.registry.plan(&settings.changes(&state.registry, false)) {
        Ok(plan) => drop(state.apply(plan, SETTINGS_ACTOR, now_ms)),
        // The core uses the settings directly, so requests are still served. Only the API can't show the tenants.
        Err(error) => log::warn!(
            "administration API shows no tenants: the registry rejected those of the settings: {error}"
        ),
    }
}

/// Runs a function that computes for long, or waits for the disk, on a blocking thread. Other tasks keep running.
async fn run_blocking<T: Send + 'static>(
    run: impl FnOnce() -> Result<T, TenantServiceError> + Send + 'static,
) -> Result<T, TenantServiceError> {
    let result = tokio::task::spawn_blocking(run).await;
    result.unwrap_or_else(|error| Err(StoreError::Write(error.to_string()).into()))
}
