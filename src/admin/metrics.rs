//! Renders the metrics page in the Prometheus text format. The number of series is bounded: tenants beyond
//! [`MAX_TENANT_LABELS`] share one label.

use crate::cluster::{ClusterView, MessageCounters};
use crate::core::{AnswerCounts, Report};
use std::collections::{BTreeMap, HashSet};
use std::fmt::{Display, Write};

/// Number of tenants with a label of their own: those with the most answers.
const MAX_TENANT_LABELS: usize = 1000;
/// Label shared by all other tenants.
const OTHER_TENANTS_LABEL: &str = "_others";

/// Type of a metric, as in its `# TYPE` line.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Counter,
    Gauge,
}

/// A metrics page under construction.
#[derive(Debug, Default)]
struct Page(String);

impl Page {
    /// Writes the `# TYPE` line of a metric.
    fn metric(&mut self, name: &str, kind: Kind) {
        let kind = match kind {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
        };
        // Writing to a string can't fail.
        let _ = writeln!(self.0, "# TYPE {name} {kind}");
    }

    /// Writes the value of a metric without labels.
    fn value(&mut self, name: &str, value: impl Display) {
        let _ = writeln!(self.0, "{name} {value}");
    }

    /// Writes a value of a metric with labels. Label values must be escaped already.
    fn series(&mut self, name: &str, labels: &[(&str, &str)], value: impl Display) {
        let labels: Vec<String> =
            labels.iter().map(|(label, value)| format!("{label}=\"{value}\"")).collect();
        let _ = writeln!(self.0, "{name}{{{}}} {value}", labels.join(","));
    }
}

/// Escapes a label value.
fn escaped(text: &str) -> String {
    text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

/// Renders the metrics of the fleet: members, leases, rejected and sent messages.
pub fn fleet(view: &ClusterView) -> String {
    let mut page = Page::default();
    page.metric("sanddyke_fleet_members", Kind::Gauge);
    page.value("sanddyke_fleet_members", view.members.len() + 1);
    page.metric("sanddyke_duty_held", Kind::Gauge);
    for lease in &view.leases {
        let is_held = u8::from(lease.left_ms.is_some());
        page.series("sanddyke_duty_held", &[("duty", &escaped(&lease.name))], is_held);
    }
    page.metric("sanddyke_fleet_refused_total", Kind::Counter);
    for (reason, count) in &view.rejections {
        page.series("sanddyke_fleet_refused_total", &[("reason", reason)], count);
    }
    let MessageCounters { messages, bytes, dropped } = view.sent;
    let counters = [
        ("sanddyke_fleet_sent_messages_total", messages),
        ("sanddyke_fleet_sent_bytes_total", bytes),
        ("sanddyke_fleet_unsent_messages_total", dropped),
    ];
    for (name, count) in counters {
        page.metric(name, Kind::Counter);
        page.value(name, count);
    }
    page.0
}

/// Renders the metrics of the service: answers, rejections, tenants, open requests and attempts.
pub fn service(report: &Report) -> String {
    let tenants = TenantLabels::of(report);
    let mut page = Page::default();
    answers(&mut page, report, &tenants);
    rejections(&mut page, report, &tenants);
    page.metric("sanddyke_tenants", Kind::Gauge);
    page.value("sanddyke_tenants", report.tenants.len());
    page.metric("sanddyke_requests_open", Kind::Gauge);
    page.value("sanddyke_requests_open", report.requests.len());
    page.metric("sanddyke_attempts_total", Kind::Counter);
    for (outcome, count) in &report.attempts {
        page.series("sanddyke_attempts_total", &[("outcome", outcome)], count);
    }
    page.metric("sanddyke_attempts_out", Kind::Gauge);
    for engine in &report.engines {
        let labels = [("engine", escaped(&engine.name)), ("state", engine.state.clone())];
        let labels = labels.each_ref().map(|(label, value)| (*label, value.as_str()));
        page.series("sanddyke_attempts_out", &labels, engine.attempts_in_flight);
    }
    execution(&mut page, report);
    page.metric("sanddyke_sessions_discarded_total", Kind::Counter);
    for (reason, count) in &report.discarded_sessions {
        page.series("sanddyke_sessions_discarded_total", &[("reason", reason)], count);
    }
    page.0
}

/// Attempts in flight, requests that were deferred, and violations of the execution rules.
fn execution(page: &mut Page, report: &Report) {
    page.metric("sanddyke_attempts_possibly_executing", Kind::Gauge);
    page.value("sanddyke_attempts_possibly_executing", report.attempts_in_flight);
    page.metric("sanddyke_requests_withheld_total", Kind::Counter);
    page.value("sanddyke_requests_withheld_total", report.deferred);
    page.metric("sanddyke_violations_total", Kind::Counter);
    for (rule, count) in &report.violations {
        page.series("sanddyke_violations_total", &[("rule", rule)], count);
    }
}

/// The tenants that have a label of their own.
struct TenantLabels<'a>(HashSet<&'a str>);

impl<'a> TenantLabels<'a> {
    fn of(report: &'a Report) -> TenantLabels<'a> {
        let mut totals: BTreeMap<&str, u64> = BTreeMap::new();
        for counts in &report.answers {
            *totals.entry(&counts.tenant).or_default() += total(counts);
        }
        let mut totals: Vec<(&str, u64)> = totals.into_iter().collect();
        totals.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(b.0)));
        TenantLabels(totals.into_iter().take(MAX_TENANT_LABELS).map(|(name, _)| name).collect())
    }

    fn label(&self, tenant: &str) -> String {
        match self.0.contains(tenant) {
            true => escaped(tenant),
            false => OTHER_TENANTS_LABEL.to_owned(),
        }
    }
}

/// Answers of all kinds, including requests whose client disconnected.
fn total(counts: &AnswerCounts) -> u64 {
    counts.served + counts.rejected + counts.failed + counts.cancelled + counts.disconnected
}

/// Answers by class, tenant and end, and the total duration of served requests in seconds.
fn answers(page: &mut Page, report: &Report, tenants: &TenantLabels) {
    let mut ends: BTreeMap<(String, String, &str), u64> = BTreeMap::new();
    let mut served_seconds: BTreeMap<(String, String), f64> = BTreeMap::new();
    for counts in &report.answers {
        let class = escaped(&counts.class);
        let tenant = tenants.label(&counts.tenant);
        *served_seconds.entry((class.clone(), tenant.clone())).or_default() += counts.served_us as f64 / 1e6;
        let by_end = [
            ("served", counts.served),
            ("refused", counts.rejected),
            ("failed", counts.failed),
            ("cancelled", counts.cancelled),
            ("left", counts.disconnected),
        ];
        for (end, count) in by_end {
            *ends.entry((class.clone(), tenant.clone(), end)).or_default() += count;
        }
    }
    page.metric("sanddyke_requests_total", Kind::Counter);
    for ((class, tenant, end), count) in &ends {
        let labels = [("class", class.as_str()), ("tenant", tenant), ("end", end)];
        page.series("sanddyke_requests_total", &labels, count);
    }
    page.metric("sanddyke_served_seconds_total", Kind::Counter);
    for ((class, tenant), seconds) in &served_seconds {
        page.series("sanddyke_served_seconds_total", &[("class", class), ("tenant", tenant)], seconds);
    }
}

/// Requests rejected because of their tenant's state or limits, by tenant and reason. Requests of unknown tenants are
/// counted under an empty tenant label.
fn rejections(page: &mut Page, report: &Report, tenants: &TenantLabels) {
    let mut rejected: BTreeMap<(String, &str), u64> = BTreeMap::new();
    for tenant in &report.tenants {
        for (reason, count) in &tenant.rejected {
            *rejected.entry((tenants.label(&tenant.name), reason)).or_default() += count;
        }
    }
    page.metric("sanddyke_tenant_refusals_total", Kind::Counter);
    for ((tenant, reason), count) in &rejected {
        page.series("sanddyke_tenant_refusals_total", &[("tenant", tenant), ("reason", reason)], count);
    }
    let unknown = [("tenant", ""), ("reason", "tenant_unknown")];
    page.series("sanddyke_tenant_refusals_total", &unknown, report.unknown_tenants);
}
