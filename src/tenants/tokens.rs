//! Issuing, rotating and revoking tokens.

use super::{TenantService, TenantServiceError, run_blocking};
use sanddyke_authorization::{Grant, Token, Tokens};
use sanddyke_store::Commit;
use std::sync::Arc;

/// A token with its new secret. The secret is not stored and can't be read again.
#[derive(Debug)]
pub struct IssuedToken {
    /// The token as stored, with a hash of the secret.
    pub token: Token,
    /// The bearer secret in plain text.
    pub secret: String,
}

impl TenantService {
    /// Creates a token.
    ///
    /// # Errors
    /// The grant is invalid, there are too many tokens, there is no store, or it can't be written.
    pub async fn issue(
        self: &Arc<Self>,
        actor: &str,
        grant: Grant,
    ) -> Result<IssuedToken, TenantServiceError> {
        let now_ms = self.clock.unix_ms();
        grant.check(now_ms)?;
        let (token, secret) = Tokens::issue(grant, now_ms, random_bytes());
        self.commit_token(actor, &token.id.clone(), Some(token.clone()), "created").await?;
        Ok(IssuedToken { token, secret })
    }

    /// Replaces the secret of a token. The old secret stays valid for `overlap_ms`.
    ///
    /// # Errors
    /// There is no such token, there is no store, or it can't be written.
    pub async fn rotate(
        self: &Arc<Self>,
        actor: &str,
        id: &str,
        overlap_ms: u64,
    ) -> Result<IssuedToken, TenantServiceError> {
        let old = self.read(|state| state.tokens.get(id).cloned()).await;
        let old = old.ok_or(TenantServiceError::UnknownToken)?;
        let (token, secret) = Tokens::rotate(&old, self.clock.unix_ms(), overlap_ms, random_bytes());
        self.commit_token(actor, id, Some(token.clone()), "rotated").await?;
        Ok(IssuedToken { token, secret })
    }

    /// Removes a token. Its secret is invalid immediately.
    ///
    /// # Errors
    /// There is no such token, there is no store, or it can't be written.
    pub async fn revoke(self: &Arc<Self>, actor: &str, id: &str) -> Result<(), TenantServiceError> {
        let known = self.read(|state| state.tokens.get(id).is_some()).await;
        if !known {
            return Err(TenantServiceError::UnknownToken);
        }
        self.commit_token(actor, id, None, "removed").await
    }

    /// Stores a token or, if `token` is `None`, its removal, and then applies it to the state. Runs in a task of its
    /// own and completes even if the caller stops waiting. `action` is recorded in the audit trail.
    async fn commit_token(
        self: &Arc<Self>,
        actor: &str,
        id: &str,
        token: Option<Token>,
        action: &'static str,
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
            let commit = Commit::token(&actor, now_ms, &state.registry, &id, token, action);
            run_blocking(move || Ok(store.commit(&commit)?)).await?;
            log::info!(who = actor.as_str(), token = id.as_str(); "admin: token {action}");
            state.tokens = tokens;
            Ok(())
        });
        stored.await.unwrap_or(Err(TenantServiceError::Ended))
    }
}

/// Returns random bytes for a secret.
fn random_bytes() -> [u8; 32] {
    let mut bytes = [0; 32];
    // A secret that is not random can be guessed, so none is issued without a random source.
    getrandom::fill(&mut bytes).expect("random bytes from the operating system");
    bytes
}
