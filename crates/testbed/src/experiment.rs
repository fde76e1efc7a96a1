//! Experiments as TOML files: engines, query classes, tenants with their load, and steps at given times.

use crate::TestbedError;
use crate::name_server::EndpointState;
use serde::Deserialize;
use std::path::Path;

/// Maximum load of an experiment (requests per second), with all tenants at their highest burst.
const MAX_REQUESTS_PER_S: f64 = 5000.0;

/// An experiment, as read from its file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Title of the report and the chart.
    pub title: String,
    /// Seed of the clients' random numbers and of the program.
    pub seed: u64,
    /// Time for which requests are sent (s).
    pub seconds: f64,
    /// Start of the measured time (s since the start). The time before it lets the queues fill.
    #[serde(default)]
    pub from_s: f64,
    /// Number and resources of the engines.
    pub engines: Engines,
    /// Query classes, which [`Tenant::mix`] names.
    pub classes: Vec<Class>,
    /// Tenants and their load.
    pub tenants: Vec<Tenant>,
    /// Calls of the administration API and changes of engines during the experiment.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// Maximum difference between a tenant's fraction of the service and its quota (percentage points); unbounded if
    /// `None`.
    pub within_points: Option<f64>,
}

/// The engines, which all have the same resources.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// Number of engines.
    pub count: usize,
    /// Cores of each engine.
    pub cores: f64,
    /// Memory of each engine (MB).
    pub memory_mb: f64,
}

/// A query class.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, which is part of the request path.
    pub name: String,
    /// Latency objective (ms).
    pub target_ms: f64,
    /// Deadline of a request (ms).
    pub deadline_ms: f64,
    /// `repeatable` or `by_key`; with `by_key` requests carry an idempotency key.
    #[serde(default = "repeatable")]
    pub idempotency: String,
    /// Mean work of a request, as single-thread time (ms); it is exponentially distributed, up to five times the mean.
    pub work_ms: f64,
    /// Threads that a request uses.
    #[serde(default = "one")]
    pub threads: f64,
    /// Memory that a request uses (MB).
    #[serde(default)]
    pub memory_mb: f64,
    /// Priority weight of a request (the class setting `worth` of the program).
    #[serde(default = "one")]
    pub worth: f64,
}

/// A tenant and its load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name, which is a prefix if `count` is above 1.
    pub name: String,
    /// Number of equal tenants. If there are several, a number is appended to each name.
    #[serde(default = "one_tenant")]
    pub count: usize,
    /// Weight among the ungrouped tenants and groups, or within the group.
    pub weight: f64,
    /// Group, if any; groups are created with weight 1.
    pub group: Option<String>,
    /// Work of the tenant's requests, as a fraction of the capacity of the engines.
    pub load: f64,
    /// Relative frequency of each class among the tenant's requests.
    pub mix: std::collections::BTreeMap<String, f64>,
    /// Periods of higher or lower load.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Maximum number of attempts of a request whose attempts are rejected.
    #[serde(rename = "tries", default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Whether clients wait as advised before a retry; otherwise they retry immediately.
    #[serde(default = "yes")]
    pub patient: bool,
}

/// A period of higher or lower load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start (s since the start of the experiment).
    pub from_s: f64,
    /// End (s since the start of the experiment), exclusive.
    pub to_s: f64,
    /// Factor by which the load is multiplied.
    pub factor: f64,
}

/// A call of the administration API, or a change of an engine, at a given time.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time of the step (s since the start).
    pub at_s: f64,
    /// HTTP method of the call.
    #[serde(default)]
    pub method: String,
    /// HTTP request target of the call.
    #[serde(default)]
    pub target: String,
    /// Body of the call.
    #[serde(default)]
    pub body: String,
    /// Change of an engine; if it is set, no call is made.
    pub engine: Option<EngineChange>,
}

/// A change of an engine.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineChange {
    /// Index of the engine, from 0.
    pub number: usize,
    /// New state in the name server; unchanged if `None`.
    #[serde(rename = "listed")]
    pub state: Option<EndpointState>,
    /// New speed relative to the initial one; unchanged if `None`. At 0 the engine is suspended and reads nothing.
    pub speed: Option<f64>,
}

fn repeatable() -> String {
    "repeatable".to_owned()
}

fn one() -> f64 {
    1.0
}

fn one_tenant() -> usize {
    1
}

fn default_max_attempts() -> u32 {
    3
}

fn yes() -> bool {
    true
}

impl Experiment {
    /// Reads and validates an experiment file.
    ///
    /// # Errors
    /// [`TestbedError::Experiment`] if the file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<Experiment, TestbedError> {
        let invalid = |reason: String| TestbedError::Experiment { path: path.to_owned(), reason };
        let text = std::fs::read_to_string(path).map_err(|error| invalid(error.to_string()))?;
        let experiment: Experiment = toml::from_str(&text).map_err(|error| invalid(error.to_string()))?;
        experiment.check().map_err(invalid)?;
        Ok(experiment)
    }

    fn check(&self) -> Result<(), String> {
        if !(1.0..=900.0).contains(&self.seconds) || self.from_s >= self.seconds {
            return Err("seconds must be from 1 to 900, and from_s less than seconds".to_owned());
        }
        if self.engines.count == 0 || self.engines.count > 64 || self.engines.cores <= 0.0 {
            return Err("engines: count must be from 1 to 64, and cores above 0".to_owned());
        }
        for tenant in &self.tenants {
            let known = |name: &String| self.classes.iter().any(|class| class.name == *name);
            if tenant.mix.is_empty() || !tenant.mix.keys().all(known) {
                return Err(format!(
                    "tenant {}: mix must contain at least one class, and defined classes only",
                    tenant.name
                ));
            }
        }
        // The duration is bounded above; this bounds the rate.
        match self.requests_per_s() <= MAX_REQUESTS_PER_S {
            true => Ok(()),
            false => Err(format!(
                "load of {:.0} requests/s exceeds the maximum of {MAX_REQUESTS_PER_S:.0}",
                self.requests_per_s()
            )),
        }
    }

    /// Work that all engines together can do per second, as single-thread time (ms).
    pub fn capacity_ms_per_s(&self) -> f64 {
        self.engines.count as f64 * self.engines.cores * 1000.0
    }

    /// Arrival rate of one tenant outside its bursts (requests per second).
    pub fn arrival_rate(&self, tenant: &Tenant) -> f64 {
        let total_frequency: f64 = tenant.mix.values().sum();
        let mean_work_ms = |name: &String| {
            self.classes.iter().find(|class| class.name == *name).map_or(0.0, |class| class.work_ms)
        };
        let mean: f64 =
            tenant.mix.iter().map(|(name, frequency)| frequency / total_frequency * mean_work_ms(name)).sum();
        tenant.load * self.capacity_ms_per_s() / mean.max(0.1)
    }

    fn requests_per_s(&self) -> f64 {
        let max_factor =
            |tenant: &Tenant| tenant.bursts.iter().fold(1.0, |max: f64, burst| max.max(burst.factor));
        self.tenants
            .iter()
            .map(|tenant| tenant.count as f64 * self.arrival_rate(tenant) * max_factor(tenant))
            .sum()
    }

    /// All tenants with their full names, with one entry for each of a tenant's `count`.
    pub fn named_tenants(&self) -> Vec<(String, &Tenant)> {
        let rows = self.tenants.iter().flat_map(|row| (0..row.count).map(move |number| (number, row)));
        rows.map(|(number, row)| match row.count {
            1 => (row.name.clone(), row),
            _ => (format!("{}-{number}", row.name), row),
        })
        .collect()
    }

    /// Quota of each tenant according to weights and groups, as a fraction of all service, in the order of
    /// [`Experiment::named_tenants`].
    pub fn quotas(&self) -> Vec<f64> {
        let named_tenants = self.named_tenants();
        let groups: std::collections::BTreeSet<&String> =
            self.tenants.iter().filter_map(|row| row.group.as_ref()).collect();
        let ungrouped_weight: f64 =
            named_tenants.iter().filter(|(_, row)| row.group.is_none()).map(|(_, row)| row.weight).sum();
        let total_weight = ungrouped_weight + groups.len() as f64;
        let quota = |row: &Tenant| match &row.group {
            None => row.weight / total_weight,
            Some(group) => {
                let members = named_tenants.iter().filter(|(_, other)| other.group.as_ref() == Some(group));
                row.weight / members.map(|(_, other)| other.weight).sum::<f64>() / total_weight
            }
        };
        named_tenants.iter().map(|(_, row)| quota(row)).collect()
    }
}
