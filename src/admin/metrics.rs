//! The state in Prometheus' text format. Labels are bounded: past so many tenants the rest are one.

use crate::cluster::{ClusterView, MessageCounters};
use crate::core::{AnswerCounts, Report};
use std::collections::{BTreeMap, HashSet};
use std::fmt::Write;

/// Tenants with series of their own; those with the most answers come first.
const MOST_TENANTS: usize = 1000;
/// The label of the rest.
const OTHERS: &str = "_others";

fn label(text: &str) -> String {
    text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

fn answers(counts: &AnswerCounts) -> u64 {
    counts.served + counts.rejected + counts.failed + counts.cancelled + counts.disconnected
}

/// The tenants that have series of their own.
fn named(report: &Report) -> HashSet<&str> {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    report.answers.iter().for_each(|one| *counts.entry(&one.tenant).or_default() += answers(one));
    let mut counts: Vec<(&str, u64)> = counts.into_iter().collect();
    counts.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(b.0)));
    counts.into_iter().take(MOST_TENANTS).map(|(name, _)| name).collect()
}

/// What is seen of the fleet.
pub fn fleet(view: &ClusterView) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "# TYPE sanddyke_fleet_members gauge\nsanddyke_fleet_members {}",
        view.members.len() + 1
    );
    let _ = writeln!(text, "# TYPE sanddyke_duty_held gauge");
    for lease in &view.leases {
        let held = u8::from(lease.left_ms.is_some());
        let _ = writeln!(text, "sanddyke_duty_held{{duty=\"{}\"}} {held}", label(&lease.name));
    }
    let _ = writeln!(text, "# TYPE sanddyke_fleet_refused_total counter");
    for (reason, count) in &view.rejections {
        let _ = writeln!(text, "sanddyke_fleet_refused_total{{reason=\"{reason}\"}} {count}");
    }
    let MessageCounters { messages, bytes, dropped } = view.sent;
    for (name, count) in [("sent_messages", messages), ("sent_bytes", bytes), ("unsent_messages", dropped)] {
        let _ =
            writeln!(text, "# TYPE sanddyke_fleet_{name}_total counter\nsanddyke_fleet_{name}_total {count}");
    }
    text
}

/// All metrics.
pub fn text(report: &Report) -> String {
    let named = named(report);
    let known = |tenant: &str| if named.contains(tenant) { label(tenant) } else { OTHERS.to_owned() };
    let mut ends: BTreeMap<(String, String, &str), u64> = BTreeMap::new();
    let mut seconds: BTreeMap<(String, String), f64> = BTreeMap::new();
    for counted in &report.answers {
        let (class, tenant) = (label(&counted.class), known(&counted.tenant));
        *seconds.entry((class.clone(), tenant.clone())).or_default() += counted.served_us as f64 / 1e6;
        let counts = [
            ("served", counted.served),
            ("refused", counted.rejected),
            ("failed", counted.failed),
            ("cancelled", counted.cancelled),
            ("left", counted.disconnected),
        ];
        for (end, count) in counts {
            *ends.entry((class.clone(), tenant.clone(), end)).or_default() += count;
        }
    }
    let mut refused: BTreeMap<(String, &str), u64> = BTreeMap::new();
    for tenant in &report.tenants {
        for (reason, count) in &tenant.rejected {
            *refused.entry((known(&tenant.name), reason)).or_default() += count;
        }
    }
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(text, "# TYPE sanddyke_requests_total counter");
    for ((class, tenant, end), count) in ends {
        let labels = format!("class=\"{class}\",tenant=\"{tenant}\",end=\"{end}\"");
        let _ = writeln!(text, "sanddyke_requests_total{{{labels}}} {count}");
    }
    let _ = writeln!(text, "# TYPE sanddyke_served_seconds_total counter");
    for ((class, tenant), seconds) in seconds {
        let labels = format!("class=\"{class}\",tenant=\"{tenant}\"");
        let _ = writeln!(text, "sanddyke_served_seconds_total{{{labels}}} {seconds}");
    }
    let _ = writeln!(text, "# TYPE sanddyke_tenant_refusals_total counter");
    for ((tenant, reason), count) in refused {
        let labels = format!("tenant=\"{tenant}\",reason=\"{reason}\"");
        let _ = writeln!(text, "sanddyke_tenant_refusals_total{{{labels}}} {count}");
    }
    let unknown = report.unknown_tenants;
    let _ =
        writeln!(text, "sanddyke_tenant_refusals_total{{tenant=\"\",reason=\"tenant_unknown\"}} {unknown}");
    let gauges =
        [("sanddyke_tenants", report.tenants.len()), ("sanddyke_requests_open", report.requests.len())];
    for (name, value) in gauges {
        let _ = writeln!(text, "# TYPE {name} gauge\n{name} {value}");
    }
    let _ = writeln!(text, "# TYPE sanddyke_attempts_total counter");
    for (end, count) in &report.attempts {
        let _ = writeln!(text, "sanddyke_attempts_total{{outcome=\"{end}\"}} {count}");
    }
    let _ = writeln!(text, "# TYPE sanddyke_attempts_out gauge");
    for engine in &report.engines {
        let labels = format!("engine=\"{}\",state=\"{}\"", label(&engine.name), engine.state);
        let _ = writeln!(text, "sanddyke_attempts_out{{{labels}}} {}", engine.attempts_in_flight);
    }
    text
}
