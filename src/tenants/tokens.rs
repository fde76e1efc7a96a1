//! Changes of tokens.

use super::{TenantService, TenantServiceError, off_thread};
use sanddyke_authorization::{Grant, Token, Tokens};
use sanddyke_store::Commit;
use std::sync::Arc;

/// A token with its new secret, which is shown only now.
#[derive(Debug)]
pub struct IssuedToken {
    /// The token.
    pub token: Token,
    /// Its secret.
    pub secret: String,
}

impl TenantService {
    /// Creates a token.
    ///
    /// # Errors
    /// The grant is not valid, or there is no store.
    pub async fn issue(
        self: &Arc<Self>,
        actor: &str,
        grant: Grant,
    ) -> Result<IssuedToken, TenantServiceError> {
        let now_ms = self.clock.unix_ms();
        grant.check(now_ms)?;
        let (token, secret) = Tokens::issue(grant, now_ms, random_bytes());
        self.store_token(actor, &token.id.clone(), Some(token.clone()), "created").await?;
        Ok(IssuedToken { token, secret })
    }

    /// Replaces the secret of a token; the old one stays valid for the overlap.
    ///
    /// # Errors
    /// There is no such token, or no store.
    pub async fn rotate(
        self: &Arc<Self>,
        actor: &str,
        id: &str,
        overlap_ms: u64,
    ) -> Result<IssuedToken, TenantServiceError> {
        let old = self.read(|state| state.tokens.get(id).cloned()).await;
        let old = old.ok_or(TenantServiceError::UnknownToken)?;
        let (token, secret) = Tokens::rotate(&old, self.clock.unix_ms(), overlap_ms, random_bytes());
        self.store_token(actor, id, Some(token.clone()), "rotated").await?;
        Ok(IssuedToken { token, secret })
    }

    /// Removes a token.
    ///
    /// # Errors
    /// There is no such token, or no store.
    pub async fn revoke(self: &Arc<Self>, actor: &str, id: &str) -> Result<(), TenantServiceError> {
        let known = self.read(|state| state.tokens.get(id).is_some()).await;
        if !known {
            return Err(TenantServiceError::UnknownToken);
        }
        self.store_token(actor, id, None, "removed").await
    }

    /// Stores a token (`Some`) or its removal, and then applies it. It is completed also when the caller stops waiting.
    async fn store_token(
        self: &Arc<Self>,
        actor: &str,
        id: &str,
        token: Option<Token>,
        how: &'static str,
    ) -> Result<(), TenantServiceError> {
        let (service, actor, id) = (self.clone(), actor.to_owned(), id.to_owned());
        let stored = tokio::spawn(async move {
            let store = service.store.clone().ok_or(TenantServiceError::NoStore)?;
            let mut state = service.state.lock().await;
            let mut tokens = state.tokens.clone();
            match &token {
                Some(token) => tokens.put(token.clone())?,
                None => drop(tokens.remove(&id)),
            }
            let now_ms = service.clock.unix_ms();
            let commit = Commit::token(&actor, now_ms, &state.registry, &id, token, how);
            off_thread(move || Ok(store.commit(&commit)?)).await?;
            log::info!(who = actor.as_str(), token = id.as_str(); "admin: a token was {how}");
            state.tokens = tokens;
            Ok(())
        });
        stored.await.unwrap_or(Err(TenantServiceError::Ended))
    }
}

/// Random bytes for a secret.
fn random_bytes() -> [u8; 32] {
    let mut bytes = [0; 32];
    // Without a source of random numbers there is no secret worth issuing.
    getrandom::fill(&mut bytes).expect("the system has random numbers");
    bytes
}
