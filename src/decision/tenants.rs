//! Tenants: their settings, their token buckets, and the streams of their completions.

use super::capacity::FleetCapacity;
use super::classes::ClassState;
use super::scheduler::Scheduler;
use super::traffic::TrafficRates;
use super::types::{Millis, TenantId, TenantSettings};
use sanddyke_statistics::Window;

/// Factor by which traffic may exceed a tenant's share before it counts as beyond the share.
const SHARE_TOLERANCE: f64 = 1.15;
/// A tenant's token bucket holds as many tokens as its rate adds in this time (ms).
const BURST_WINDOW_MS: Millis = 2000.0;
/// Minimum size of a token bucket (requests).
const MIN_BURST: f64 = 1.0;
/// Time without requests after which a tenant's state expires (ms).
const IDLE_TENANT_RETENTION_MS: Millis = 60_000.0;

/// Rate and size of a token bucket.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenRate {
    /// Tokens added per ms.
    pub(super) per_ms: f64,
    /// Maximum number of tokens in the bucket.
    pub(super) burst: f64,
}

impl TokenRate {
    /// Rate and size that correspond to a tenant's share at this manager; unlimited for a tenant without
    /// settings.
    pub(super) fn for_tenant(
        tenant: Option<&TenantSettings>,
        traffic: &TrafficRates,
        capacity: &FleetCapacity,
    ) -> TokenRate {
        let Some(tenant) = tenant else { return TokenRate { per_ms: 0.0, burst: f64::INFINITY } };
        let quota_per_ms = tenant.quota_per_s / 1000.0 * capacity.manager_fraction;
        let per_ms = SHARE_TOLERANCE * (tenant.share * traffic.requests_per_ms).max(quota_per_ms);
        TokenRate { per_ms, burst: (BURST_WINDOW_MS * per_ms).max(MIN_BURST) }
    }
}

/// Completions of one tenant's requests of one class, and the values derived from them.
#[derive(Debug, Default, Clone)]
pub(super) struct Stream {
    pub(super) completions: Window,
    /// Mean time on an engine (ms).
    pub(super) service_ms: Millis,
    /// Latency budget minus the service time (ms): the time that a request may wait.
    pub(super) slack_ms: Millis,
}

/// State of a tenant that has sent requests recently.
#[derive(Debug)]
pub(super) struct ActiveTenant {
    /// Streams by class number.
    pub(super) streams: Vec<Stream>,
    last_request_at: Millis,
    /// Tokens in the bucket; each request within the share takes one.
    tokens: f64,
}

impl ActiveTenant {
    /// A tenant whose streams start with the learned values of the classes.
    fn new(classes: &[ClassState], tokens: f64) -> ActiveTenant {
        let streams = classes.iter().map(|class| class.initial_stream.clone()).collect();
        ActiveTenant { streams, last_request_at: 0.0, tokens }
    }

    /// Takes a token for a request. Returns false if there is none.
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

    /// Whether a window contains a completion of the tenant's requests.
    fn has_completions(&self) -> bool {
        self.streams.iter().any(|stream| !stream.completions.is_empty())
    }
}

impl Scheduler {
    /// A tenant was added, changed or removed. Its queued requests stay queued unless it is removed.
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

    /// State of a tenant that sends a request. A new tenant has a full bucket. Before the arrival rate is
    /// known the size of the bucket is unknown, so the bucket is unlimited until the next upkeep.
    pub(super) fn activate_tenant(&mut self, index: usize) -> &mut ActiveTenant {
        let tenant = self.tenants.entry(index).or_insert_with(|| {
            let settings = self.tenant_settings[index].as_ref();
            let burst = TokenRate::for_tenant(settings, &self.traffic, &self.capacity).burst;
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
            tenant.refill(TokenRate::for_tenant(settings, &self.traffic, &self.capacity), elapsed_ms);
        }
    }

    /// Expires tenants that have sent no request for long and have no completion in a window.
    pub(super) fn expire_idle_tenants(&mut self) {
        let now = self.now;
        self.tenants.retain(|_, tenant| {
            now - tenant.last_request_at < IDLE_TENANT_RETENTION_MS || tenant.has_completions()
        });
    }
}
