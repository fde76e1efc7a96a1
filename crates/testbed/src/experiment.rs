//! Experiments as TOML files: engines, query classes, tenants with their load, and steps at given times.

use crate::TestbedError;
use crate::name_server::EndpointState;
use serde::Deserialize;
use std::path::Path;

/// Maximum load of an experiment (requests per second).
const MAX_REQUESTS_PER_S: f64 = 5000.0;

/// An experiment.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Title of the report.
    pub title: String,
    /// Seed of all random draws.
    pub seed: u64,
    /// Time for which requests are sent (s).
    pub seconds: f64,
    /// Start of the measured time (s); before it the queues fill.
    #[serde(default)]
    pub from_s: f64,
    /// The engines.
    pub engines: Engines,
    /// Query classes.
    pub classes: Vec<Class>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// Calls of the administration API and changes of engines meanwhile.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// Maximum difference between a tenant's fraction of the service and its quota (percentage points), if bounded.
    pub within_points: Option<f64>,
}

/// The engines, which are all equal.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// Number of engines.
    pub count: usize,
    /// Cores of each.
    pub cores: f64,
    /// Memory of each (MB).
    pub memory_mb: f64,
}

/// A class.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Latency objective (ms).
    pub target_ms: f64,
    /// Deadline of a request (ms).
    pub deadline_ms: f64,
    /// `repeatable` or `by_key`.
    #[serde(default = "repeatable")]
    pub idempotency: String,
    /// Mean work of a request, as single-thread time (ms); it is exponentially distributed, up to five times the mean.
    pub work_ms: f64,
    /// Threads of a request.
    #[serde(default = "one")]
    pub threads: f64,
    /// Memory of a request (MB).
    #[serde(default)]
    pub memory_mb: f64,
    /// Priority weight of a request.
    #[serde(default = "one")]
    pub worth: f64,
}

/// A tenant and its load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Number of equal tenants; where there are several, their names are numbered.
    #[serde(default = "one_tenant")]
    pub count: usize,
    /// Its weight.
    pub weight: f64,
    /// Its group, which is created with weight 1.
    pub group: Option<String>,
    /// Work of its requests, as a fraction of the capacity of the engines.
    pub load: f64,
    /// Relative frequency of each class among its requests.
    pub mix: std::collections::BTreeMap<String, f64>,
    /// Times of more or less load.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Maximum number of attempts of a request that is rejected.
    #[serde(rename = "tries", default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Whether its clients wait as advised before a retry, or retry at once.
    #[serde(default = "yes")]
    pub patient: bool,
}

/// A time of more or less load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start (s).
    pub from_s: f64,
    /// End (s).
    pub to_s: f64,
    /// Factor of the load.
    pub factor: f64,
}

/// A call of the administration API, or a change of an engine, at a given time.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time (s since the start).
    pub at_s: f64,
    /// HTTP method of the call.
    #[serde(default)]
    pub method: String,
    /// HTTP target of the call.
    #[serde(default)]
    pub target: String,
    /// Body of the call.
    #[serde(default)]
    pub body: String,
    /// The change of an engine, which replaces the call.
    pub engine: Option<EngineChange>,
}

/// A change of an engine.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineChange {
    /// Its number, from 0.
    pub number: usize,
    /// State in which the name server lists it from now on.
    #[serde(rename = "listed")]
    pub state: Option<EndpointState>,
    /// Speed from now on, relative to the initial one; at 0 it is suspended and reads nothing.
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
    /// Reads and checks an experiment.
    ///
    /// # Errors
    /// [`TestbedError::Experiment`] where the file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<Experiment, TestbedError> {
        let invalid = |reason: String| TestbedError::Experiment { path: path.to_owned(), reason };
        let text = std::fs::read_to_string(path).map_err(|error| invalid(error.to_string()))?;
        let experiment: Experiment = toml::from_str(&text).map_err(|error| invalid(error.to_string()))?;
        experiment.check().map_err(invalid)?;
        Ok(experiment)
    }

    fn check(&self) -> Result<(), String> {
        if !(1.0..=900.0).contains(&self.seconds) || self.from_s >= self.seconds {
            return Err("seconds must be from 1 to 900, and from_s before their end".to_owned());
        }
        if self.engines.count == 0 || self.engines.count > 64 || self.engines.cores <= 0.0 {
            return Err("engines: from 1 to 64, with cores".to_owned());
        }
        for tenant in &self.tenants {
            let known = |name: &String| self.classes.iter().any(|class| class.name == *name);
            if tenant.mix.is_empty() || !tenant.mix.keys().all(known) {
                return Err(format!("tenant {}: mix must name classes", tenant.name));
            }
        }
        // The testbed bounds its load in number as well as in time.
        match self.requests_per_s() <= MAX_REQUESTS_PER_S {
            true => Ok(()),
            false => Err(format!("{:.0} requests a second are too many", self.requests_per_s())),
        }
    }

    /// Work that all engines can do in a second, as single-thread time (ms).
    pub fn capacity(&self) -> f64 {
        self.engines.count as f64 * self.engines.cores * 1000.0
    }

    /// Requests per second of one such tenant outside of its bursts.
    pub fn rate(&self, tenant: &Tenant) -> f64 {
        let parts: f64 = tenant.mix.values().sum();
        let work = |name: &String| {
            self.classes.iter().find(|class| class.name == *name).map_or(0.0, |of| of.work_ms)
        };
        let mean: f64 = tenant.mix.iter().map(|(name, part)| part / parts * work(name)).sum();
        tenant.load * self.capacity() / mean.max(0.1)
    }

    fn requests_per_s(&self) -> f64 {
        let most =
            |tenant: &Tenant| tenant.bursts.iter().fold(1.0, |most: f64, burst| most.max(burst.factor));
        self.tenants.iter().map(|tenant| tenant.count as f64 * self.rate(tenant) * most(tenant)).sum()
    }

    /// All tenants with their names.
    pub fn named(&self) -> Vec<(String, &Tenant)> {
        let rows = self.tenants.iter().flat_map(|row| (0..row.count).map(move |number| (number, row)));
        rows.map(|(number, row)| match row.count {
            1 => (row.name.clone(), row),
            _ => (format!("{}-{number}", row.name), row),
        })
        .collect()
    }

    /// The quota of each tenant by weights and groups, as a fraction of all service.
    pub fn shares(&self) -> Vec<f64> {
        let named = self.named();
        let groups: std::collections::BTreeSet<&String> =
            self.tenants.iter().filter_map(|row| row.group.as_ref()).collect();
        let single: f64 =
            named.iter().filter(|(_, row)| row.group.is_none()).map(|(_, row)| row.weight).sum();
        let whole = single + groups.len() as f64;
        let share = |row: &Tenant| match &row.group {
            None => row.weight / whole,
            Some(group) => {
                let members = named.iter().filter(|(_, other)| other.group.as_ref() == Some(group));
                row.weight / members.map(|(_, other)| other.weight).sum::<f64>() / whole
            }
        };
        named.iter().map(|(_, row)| share(row)).collect()
    }
}
