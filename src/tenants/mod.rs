//! The tenants of a hosted service while it runs. The [`TenantService`] makes each change in this order: judge it,
//! have it on the disk, take it over, tell the core and the fronts, and only then acknowledge it. One change is
//! made at a time, and none is left half when whoever asked for it goes away.

mod known;

pub use known::KnownTenants;

use crate::clock::Clock;
use crate::core::{Input, TenantUpdate};
use crate::service::{ServiceEnded, ServiceHandle};
use sanddyke_authorization::{Grant, GrantError, Token, Tokens};
use sanddyke_store::{AuditAction, AuditEntry, Commit, Creation, Loaded, Store, StoreError};
use sanddyke_tenancy::{
    Change, ChangeError, Document, Generation, Plan, Record, Registry, Subject, TenantId, shares,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{Mutex, watch};

/// Changes that watchers can resume from without listing anew.
const RECENT: usize = 4096;
/// News that the core takes in one turn.
const NEWS_AT_ONCE: usize = 256;
/// How long the key of a creation is heeded (ms): a day.
const CREATION_KEPT_MS: u64 = 86_400_000;
/// Who made the changes of the first import.
pub const BY_SETTINGS: &str = "settings";

/// Why a change is not made.
#[derive(Debug, Error)]
pub enum TenantServiceError {
    /// The registry refuses it.
    #[error("{0}")]
    Refused(#[from] ChangeError),
    /// It can't be kept.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// There is nowhere to keep it.
    #[error("no store is set up: tenants come from the settings, and change with them")]
    NoStore,
    /// The key was used for something else.
    #[error("this Idempotency-Key was used for another request")]
    KeyTaken,
    /// A grant that makes no sense.
    #[error("{0}")]
    Grant(#[from] GrantError),
    /// No such token.
    #[error("no such token")]
    NoToken,
    /// No folder for backups.
    #[error("no folder for backups is set up (store.backups)")]
    NoBackups,
    /// The program ends.
    #[error("the service has ended")]
    Ended,
}

impl From<ServiceEnded> for TenantServiceError {
    fn from(ServiceEnded: ServiceEnded) -> TenantServiceError {
        TenantServiceError::Ended
    }
}

/// What to change, for whom, and on what condition.
#[derive(Debug, Clone)]
pub struct ChangeRequest {
    /// Who wants it: a token's id.
    pub who: String,
    /// What.
    pub changes: Vec<Change>,
    /// Only where this subject is of this generation.
    pub expected: Option<(Subject, Generation)>,
    /// The key of a creation, and a digest of what was asked with it.
    pub key: Option<(String, String)>,
}

/// What became of a wish.
#[derive(Debug)]
pub enum ChangeOutcome {
    /// It was made now.
    Applied(Vec<Record>),
    /// It had been made before under the same key: the name that was created.
    AlreadyApplied(String),
}

/// A change as watchers see it.
#[derive(Debug, Clone)]
pub struct ChangeEvent {
    /// When (Unix time, ms).
    pub at_ms: u64,
    /// Who made it.
    pub who: String,
    /// What.
    pub record: Record,
}

/// What the tenant_service holds; read it by [`TenantService::read`].
#[derive(Debug, Default)]
pub struct State {
    /// The tenants and groups.
    pub registry: Arc<Registry>,
    /// The tokens.
    pub tokens: Tokens,
    /// Effective shares.
    pub shares: BTreeMap<TenantId, f64>,
    creations: HashMap<String, Creation>,
    creation_order: VecDeque<String>,
    recent: VecDeque<ChangeEvent>,
}

/// Owns the tenants, and makes the changes.
#[derive(Debug)]
pub struct TenantService {
    state: Mutex<State>,
    store: Option<Arc<Store>>,
    backups: Option<PathBuf>,
    handle: ServiceHandle,
    known: KnownTenants,
    clock: Clock,
    latest: watch::Sender<Generation>,
}

impl State {
    fn group_id(&self, tenant: &sanddyke_tenancy::Tenant) -> Option<u64> {
        let group = tenant.spec.group.as_ref().and_then(|name| self.registry.group(name));
        group.map(|group| group.id)
    }

    fn set(&self, id: TenantId) -> Option<TenantUpdate> {
        let tenant = self.registry.by_id(id)?;
        let share = self.shares.get(&id).copied().unwrap_or(0.0);
        let (tenant, group) = (Box::new(tenant.clone()), self.group_id(tenant));
        Some(TenantUpdate::Set { tenant, share, group })
    }

    /// Takes over what was planned; gives the news for the core: removals first, so that a name which is added
    /// again in the same change is the new tenant's.
    fn take_over(&mut self, plan: Plan, who: &str, at_ms: u64) -> Vec<TenantUpdate> {
        let old = (std::mem::replace(&mut self.registry, Arc::new(plan.after)), plan.shares);
        let old = (old.0, std::mem::replace(&mut self.shares, old.1));
        // Some thousand tenants take a while to free.
        tokio::task::spawn_blocking(move || drop(old));
        let mut touched: Vec<TenantId> = plan.records.iter().filter_map(|record| record.tenant).collect();
        touched.sort_unstable();
        touched.dedup();
        let gone = touched.iter().filter(|id| self.registry.by_id(**id).is_none());
        let mut news: Vec<TenantUpdate> = gone.map(|id| TenantUpdate::Removed(*id)).collect();
        news.extend(touched.iter().filter_map(|id| self.set(*id)));
        let moved = plan.moved.into_iter().filter(|(id, _)| touched.binary_search(id).is_err());
        news.extend(moved.map(|(id, (_, share))| TenantUpdate::Share { id, share }));
        let seen = |record| ChangeEvent { at_ms, who: who.to_owned(), record };
        self.recent.extend(plan.records.into_iter().map(seen));
        self.recent.drain(..self.recent.len().saturating_sub(RECENT));
        news
    }

    /// What the audit trail tells of earlier runs, the newest first: watchers resume across a start.
    fn remember(&mut self, entries: Vec<AuditEntry>) {
        for entry in entries {
            if let AuditAction::Registry { record } = entry.what {
                self.recent.push_front(ChangeEvent { at_ms: entry.at_ms, who: entry.who, record: *record });
            }
        }
    }

    fn keep_creation(&mut self, creation: Creation) {
        self.creation_order.push_back(creation.key.clone());
        self.creations.insert(creation.key.clone(), creation);
        while self.creations.len() as u64 > sanddyke_store::CREATIONS_KEPT {
            let Some(oldest) = self.creation_order.pop_front() else { break };
            self.creations.remove(&oldest);
        }
    }

    /// Changes after a generation, the oldest first; `None` where those are no longer at hand.
    pub fn since(&self, after: Generation) -> Option<impl Iterator<Item = &ChangeEvent>> {
        let first =
            self.recent.front().map_or(self.registry.generation().0 + 1, |seen| seen.record.generation.0);
        let known = after.0 + 1 >= first && after <= self.registry.generation();
        known.then(|| self.recent.iter().filter(move |seen| seen.record.generation > after))
    }
}

impl TenantService {
    /// A tenant_service of what a store held, or of the settings' tenants where there is no store: those can't be
    /// changed. A store that is new begins with the settings' tenants.
    pub async fn start(
        held: Option<(Store, Loaded)>,
        settings: &Document,
        backups: Option<PathBuf>,
        handle: ServiceHandle,
        known: KnownTenants,
        clock: Clock,
    ) -> Result<Arc<TenantService>, TenantServiceError> {
        let hosted = held.is_some();
        let mut state = State::default();
        let (mut first, mut store) = (true, None);
        if let Some((opened, loaded)) = held {
            state.remember(
                opened.audit(u64::MAX, RECENT, |entry| matches!(entry.what, AuditAction::Registry { .. }))?,
            );
            first = loaded.is_new || loaded.registry.generation() == Generation(0);
            (state.registry, state.tokens) = (Arc::new(loaded.registry), loaded.tokens);
            loaded.creations.into_iter().for_each(|creation| state.keep_creation(creation));
            store = Some(Arc::new(opened));
        }
        let now = clock.unix_ms();
        match (state.registry.plan(&settings.changes(&state.registry, false)), &store) {
            _ if !first || settings.tenants.is_empty() => {}
            (Ok(plan), Some(store)) => {
                store.commit(&Commit::of(BY_SETTINGS, now, &plan.after, plan.records.clone()))?;
                log::info!("the store begins with the settings' {} tenants", plan.after.len());
                state.take_over(plan, BY_SETTINGS, now);
            }
            (Ok(plan), None) => drop(state.take_over(plan, BY_SETTINGS, now)),
            (Err(refusal), Some(_)) => return Err(refusal.into()),
            // They are served as the settings have them; only the API of tenants can't show them.
            (Err(refusal), None) => log::warn!("the administration API shows no tenants: {refusal}"),
        }
        state.shares = shares::effective(&state.registry);
        let latest = watch::Sender::new(state.registry.generation());
        if hosted {
            known.replace(state.registry.tenants().map(|tenant| tenant.name.clone()));
            let news = state.registry.tenants().filter_map(|tenant| state.set(tenant.id)).collect();
            handle.notify(Input::Tenants(news)).await?;
        }
        let state = Mutex::new(state);
        Ok(Arc::new(TenantService { state, store, backups, handle, known, clock, latest }))
    }

    /// Reads what is there now.
    pub async fn read<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&*self.state.lock().await)
    }

    /// The token of a bearer secret, where it is valid now.
    pub async fn check(&self, secret: &str) -> Option<Token> {
        self.state.lock().await.tokens.check(secret, self.clock.unix_ms()).cloned()
    }

    /// What a wish would do.
    pub async fn plan(&self, wish: &ChangeRequest) -> Result<Plan, TenantServiceError> {
        let (registry, wish) = (self.read(|state| state.registry.clone()).await, wish.clone());
        aside(move || {
            if let Some((subject, expected)) = &wish.expected {
                registry.expect(subject, Some(*expected))?;
            }
            Ok(registry.plan(&wish.changes)?)
        })
        .await
    }

    /// Makes a change. It goes on to its end when the caller does not wait for it any more: what is on the disk
    /// is always what the core is told.
    pub async fn change(self: &Arc<Self>, wish: ChangeRequest) -> Result<ChangeOutcome, TenantServiceError> {
        let tenant_service = self.clone();
        let made = tokio::spawn(async move { tenant_service.make(wish).await }).await;
        made.unwrap_or(Err(TenantServiceError::Ended))
    }

    async fn make(&self, wish: ChangeRequest) -> Result<ChangeOutcome, TenantServiceError> {
        let store = self.store.clone().ok_or(TenantServiceError::NoStore)?;
        let mut state = self.state.lock().await;
        let now = self.clock.unix_ms();
        let key = wish.key.map(|(key, asked)| (format!("{} {key}", wish.who), asked));
        if let Some((key, asked)) = &key
            && let Some(before) = state.creations.get(key).filter(|before| now < before.until_ms)
        {
            return match before.asked == *asked {
                true => Ok(ChangeOutcome::AlreadyApplied(before.name.clone())),
                false => Err(TenantServiceError::KeyTaken),
            };
        }
        if let Some((subject, expected)) = &wish.expected {
            state.registry.expect(subject, Some(*expected))?;
        }
        let creation = key.zip(wish.changes.first()).map(|((key, asked), change)| {
            let name = change.subject().name().to_owned();
            Creation { key, asked, name, until_ms: now + CREATION_KEPT_MS }
        });
        // Working it out takes some ms where there are thousands of tenants, as long as the disk: neither waits on
        // the thread that serves.
        let (registry, changes, who, kept) =
            (state.registry.clone(), wish.changes, wish.who.clone(), creation.clone());
        let plan = aside(move || {
            let plan = registry.plan(&changes)?;
            let commit = Commit::of(&who, now, &plan.after, plan.records.clone());
            store.commit(&match kept {
                Some(creation) => commit.with_creation(creation),
                None => commit,
            })?;
            Ok(plan)
        });
        let plan = plan.await?;
        creation.into_iter().for_each(|creation| state.keep_creation(creation));
        for record in &plan.records {
            let subject = record.change.subject();
            log::info!(who = wish.who.as_str(), generation = record.generation.0; "admin: {subject:?} changed");
            self.known.note(&record.change);
        }
        let records = plan.records.clone();
        let news = state.take_over(plan, &wish.who, now);
        let mut news = news.into_iter().peekable();
        while news.peek().is_some() {
            // A change that moves everyone's share is told in parts, between which requests are served.
            self.handle.notify(Input::Tenants(news.by_ref().take(NEWS_AT_ONCE).collect())).await?;
            tokio::task::yield_now().await;
        }
        self.latest.send_replace(state.registry.generation());
        Ok(ChangeOutcome::Applied(records))
    }

    /// Waits until there is a change after a generation, or the time is up.
    pub async fn wait_after(&self, after: Generation, most: Duration) {
        let mut latest = self.latest.subscribe();
        // At the end of the time there is nothing new, which is an answer as well.
        let _late = tokio::time::timeout(most, latest.wait_for(|latest| *latest > after)).await;
    }

    /// Makes a token; gives it with its secret, which nobody is told again.
    pub async fn issue(
        self: &Arc<Self>,
        who: &str,
        grant: Grant,
    ) -> Result<(Token, String), TenantServiceError> {
        let now = self.clock.unix_ms();
        grant.check(now)?;
        let (token, secret) = Tokens::issue(grant, now, random());
        self.put(who, &token.id.clone(), Some(token.clone()), "created").await?;
        Ok((token, secret))
    }

    /// Gives a token another secret; the old one is taken for so long still.
    pub async fn rotate(
        self: &Arc<Self>,
        who: &str,
        id: &str,
        overlap_ms: u64,
    ) -> Result<(Token, String), TenantServiceError> {
        let old =
            self.read(|state| state.tokens.get(id).cloned()).await.ok_or(TenantServiceError::NoToken)?;
        let (token, secret) = Tokens::rotate(&old, self.clock.unix_ms(), overlap_ms, random());
        self.put(who, id, Some(token.clone()), "rotated").await?;
        Ok((token, secret))
    }

    /// Takes a token back.
    pub async fn revoke(self: &Arc<Self>, who: &str, id: &str) -> Result<(), TenantServiceError> {
        self.read(|state| state.tokens.get(id).map(drop)).await.ok_or(TenantServiceError::NoToken)?;
        self.put(who, id, None, "removed").await
    }

    async fn put(
        self: &Arc<Self>,
        who: &str,
        id: &str,
        token: Option<Token>,
        how: &'static str,
    ) -> Result<(), TenantServiceError> {
        let (tenant_service, who, id) = (self.clone(), who.to_owned(), id.to_owned());
        let made = tokio::spawn(async move {
            let store = tenant_service.store.clone().ok_or(TenantServiceError::NoStore)?;
            let mut state = tenant_service.state.lock().await;
            let mut tokens = state.tokens.clone();
            match &token {
                Some(token) => tokens.put(token.clone())?,
                None => drop(tokens.remove(&id)),
            }
            let now = tenant_service.clock.unix_ms();
            let commit = Commit::token(&who, now, &state.registry, &id, token, how);
            aside(move || Ok(store.commit(&commit)?)).await?;
            log::info!(who = who.as_str(), token = id.as_str(); "admin: a token was {how}");
            state.tokens = tokens;
            Ok(())
        });
        made.await.unwrap_or(Err(TenantServiceError::Ended))
    }

    /// Entries of the audit trail before a number, the newest first.
    pub async fn audit(
        &self,
        before: u64,
        most: usize,
        fits: impl Fn(&AuditEntry) -> bool + Send + 'static,
    ) -> Result<Vec<AuditEntry>, TenantServiceError> {
        let store = self.store.clone().ok_or(TenantServiceError::NoStore)?;
        aside(move || Ok(store.audit(before, most, fits)?)).await
    }

    /// Writes a backup into the folder for them; gives its path.
    pub async fn backup(&self) -> Result<PathBuf, TenantServiceError> {
        let store = self.store.clone().ok_or(TenantServiceError::NoStore)?;
        let folder = self.backups.clone().ok_or(TenantServiceError::NoBackups)?;
        let generation = self.read(|state| state.registry.generation().0).await;
        let path = folder.join(format!("sanddyke-{}-{generation}.redb", self.clock.unix_ms()));
        let to = path.clone();
        aside(move || Ok(store.backup(&to)?)).await?;
        log::info!("admin: a backup is written to {}", path.display());
        Ok(path)
    }

    /// Writes a backup under a name that is taken once, whoever of a fleet comes first: false where it was taken.
    pub async fn backup_as(&self, name: &str, turn: u64) -> Result<bool, TenantServiceError> {
        let store = self.store.clone().ok_or(TenantServiceError::NoStore)?;
        let to = self.backups.clone().ok_or(TenantServiceError::NoBackups)?.join(name);
        aside(move || Ok(store.backup_once(&to, turn)?)).await
    }
}

/// Runs what takes long, or waits for the disk, on a thread of its own: the service goes on meanwhile.
async fn aside<T: Send + 'static>(
    run: impl FnOnce() -> Result<T, TenantServiceError> + Send + 'static,
) -> Result<T, TenantServiceError> {
    let ran = tokio::task::spawn_blocking(run).await;
    ran.unwrap_or_else(|error| Err(StoreError::Write(error.to_string()).into()))
}

/// Random bytes for a secret.
fn random() -> [u8; 32] {
    let mut bytes = [0; 32];
    // Without a source of random numbers there is no secret worth giving out.
    getrandom::fill(&mut bytes).expect("the system has random numbers");
    bytes
}
