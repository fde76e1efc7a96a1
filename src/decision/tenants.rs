//! Tenants: their settings, their token buckets, and the streams of their completions.

use super::capacity::FleetCapacity;
use super::classes::ClassState;
use super::gateway::Gateway;
use super::traffic::TrafficRates;
use super::types::{Millis, TenantId, TenantSettings};
use sanddyke_statistics::Window;

/// Traffic above a tenant's share by this factor counts as beyond it. Ours.
const SHARE_TOLERANCE: f64 = 1.15;
/// A tenant's token bucket holds what its share gives in this time (ms). Ours.
const BURST_MS: Millis = 2000.0;
/// Minimum size of a token bucket (requests).
const MIN_BURST: f64 = 1.0;
/// A tenant that has sent no request for this long is forgotten (ms). Ours.
const IDLE_TENANT_RETENTION_MS: Millis = 60_000.0;

/// Rate and size of a token bucket.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenRate {
    /// Tokens added per ms.
    pub(super) per_ms: f64,
    /// Tokens that the bucket holds at most.
    pub(super) burst: f64,
}

impl TokenRate {
    /// What a tenant may send here within its share; no limit where it has no settings.
    pub(super) fn of(
        tenant: Option<&TenantSettings>,
        traffic: &TrafficRates,
        capacity: &FleetCapacity,
    ) -> TokenRate {
        let Some(tenant) = tenant else { return TokenRate { per_ms: 0.0, burst: f64::INFINITY } };
        let quota_per_ms = tenant.quota_per_s / 1000.0 * capacity.gateway_fraction;
        let per_ms = SHARE_TOLERANCE * (tenant.share * traffic.requests_per_ms).max(quota_per_ms);
        TokenRate { per_ms, burst: (BURST_MS * per_ms).max(MIN_BURST) }
    }
}

/// Completions of one tenant's requests of one class, and what follows from them.
#[derive(Debug, Default, Clone)]
pub(super) struct Stream {
    pub(super) completions: Window,
    /// Mean time on an engine (ms).
    pub(super) service_ms: Millis,
    /// Latency budget less the service time (ms): how long a request may wait.
    pub(super) slack_ms: Millis,
}

/// A tenant that has sent requests lately.
#[derive(Debug)]
pub(super) struct ActiveTenant {
    /// By class number.
    pub(super) streams: Vec<Stream>,
    last_request_at: Millis,
    /// Tokens in its bucket, one for each request within its share.
    tokens: f64,
}

impl ActiveTenant {
    /// A tenant whose streams begin with what is learned of the classes.
    fn new(classes: &[ClassState], tokens: f64) -> ActiveTenant {
        let streams = classes.iter().map(|class| class.initial_stream.clone()).collect();
        ActiveTenant { streams, last_request_at: 0.0, tokens }
    }

    /// Takes a token for a request; false where there is none.
    pub(super) fn take_token(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Adds the tokens of `elapsed_ms`.
    pub(super) fn refill(&mut self, rate: TokenRate, elapsed_ms: Millis) {
        self.tokens = (self.tokens + elapsed_ms * rate.per_ms).min(rate.burst);
    }

    /// Whether a completion of its requests is in a window.
    fn has_completions(&self) -> bool {
        self.streams.iter().any(|stream| !stream.completions.is_empty())
    }
}

impl Gateway {
    /// A tenant was added or changed, or is forgotten once nothing refers to it. What it has queued stays queued
    /// unless it is forgotten.
    pub(super) fn on_tenant_changed(&mut self, tenant: TenantId, settings: Option<TenantSettings>) {
        let index = tenant.0;
        let count = self.tenant_settings.len().max(index + 1);
        self.tenant_settings.resize(count, None);
        self.tenant_settings[index] = settings;
        match settings {
            Some(settings) => self.best_effort_queue.set(index, settings.group, settings.share),
            None => {
                self.best_effort_queue.remove(index);
                self.tenants.remove(&index);
            }
        }
    }

    /// The state of a tenant that sends a request; a new one has a full bucket. Until the rate of arrivals is known
    /// that has no size, and the next upkeep cuts it.
    pub(super) fn activate_tenant(&mut self, index: usize) -> &mut ActiveTenant {
        let tenant = self.tenants.entry(index).or_insert_with(|| {
            let settings = self.tenant_settings[index].as_ref();
            let burst = TokenRate::of(settings, &self.traffic, &self.capacity).burst;
            let tokens = if self.traffic.requests_per_ms > 0.0 { burst } else { f64::INFINITY };
            ActiveTenant::new(&self.classes, tokens)
        });
        tenant.last_request_at = self.now;
        tenant
    }

    /// Adds the tokens of `elapsed_ms` to the buckets of all active tenants.
    pub(super) fn refill_token_buckets(&mut self, elapsed_ms: Millis) {
        for (index, tenant) in &mut self.tenants {
            let settings = self.tenant_settings[*index].as_ref();
            tenant.refill(TokenRate::of(settings, &self.traffic, &self.capacity), elapsed_ms);
        }
    }

    /// Forgets tenants that have sent nothing for long, and of which no completion is in a window.
    pub(super) fn forget_idle_tenants(&mut self) {
        let now = self.now;
        self.tenants.retain(|_, tenant| {
            now - tenant.last_request_at < IDLE_TENANT_RETENTION_MS || tenant.has_completions()
        });
    }
}
