//! Sums of the resources that queries use.

use std::ops::{AddAssign, SubAssign};

/// The sum of the resources that queries use.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Number of queries.
    pub queries: f64,
    /// Number of threads that execute them.
    pub threads: f64,
    /// Their work, in ms of one thread.
    pub work_ms: f64,
    /// Their memory, in MB.
    pub memory_mb: f64,
}

impl AddAssign for Load {
    fn add_assign(&mut self, other: Load) {
        self.queries += other.queries;
        self.threads += other.threads;
        self.work_ms += other.work_ms;
        self.memory_mb += other.memory_mb;
    }
}

/// Each field is at least zero afterwards: rounding errors could make it negative.
impl SubAssign for Load {
    fn sub_assign(&mut self, other: Load) {
        self.queries = (self.queries - other.queries).max(0.0);
        self.threads = (self.threads - other.threads).max(0.0);
        self.work_ms = (self.work_ms - other.work_ms).max(0.0);
        self.memory_mb = (self.memory_mb - other.memory_mb).max(0.0);
    }
}

impl Load {
    /// Returns the mean query of this load and one more query, which is that query itself if the load is empty.
    pub fn mean_with(mut self, one: Load) -> Load {
        self += one;
        let count = self.queries;
        Load {
            queries: 1.0,
            threads: self.threads / count,
            work_ms: self.work_ms / count,
            memory_mb: self.memory_mb / count,
        }
    }
}
