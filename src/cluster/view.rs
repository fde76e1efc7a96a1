//! The fleet as this manager sees it, for the administration API and metrics. The JSON field names are part of the API.

use serde::Serialize;
use std::collections::BTreeMap;

/// State of one lease.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LeaseView {
    /// Name of the lease.
    pub name: String,
    /// Name of the holder in the latest table that this manager knows; `None` if the lease is free.
    pub holder: Option<String>,
    /// Fencing token of the holder; `None` if the lease is free.
    #[serde(rename = "fence")]
    pub fencing_token: Option<u64>,
    /// Time until the lease expires, in ms; `None` unless this manager holds the lease.
    pub left_ms: Option<u64>,
    /// Checkpoint of the work under the lease; empty if there is none.
    #[serde(rename = "note")]
    pub checkpoint: String,
    /// Index of the log entry that saved the checkpoint; 0 if there is none.
    #[serde(rename = "noted")]
    pub checkpoint_index: u64,
}

/// Another member of the fleet that is up.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MemberView {
    /// Name of the manager.
    pub name: String,
    /// Incarnation of the manager. Each start of the process has a new one.
    #[serde(rename = "life")]
    pub incarnation: String,
    /// Address at which other managers reach it.
    pub address: String,
    /// Zone of the manager; empty if none is configured.
    pub zone: String,
}

/// Counters of sent messages since the start. In JSON, an array of the three numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(into = "[u64; 3]")]
pub struct MessageCounters {
    /// Number of messages, including dropped ones.
    pub messages: u64,
    /// Total size of the messages, in bytes.
    pub bytes: u64,
    /// Number of messages that were dropped, because the recipient's queue was full or too many connections existed.
    pub dropped: u64,
}

impl From<MessageCounters> for [u64; 3] {
    fn from(counters: MessageCounters) -> [u64; 3] {
        [counters.messages, counters.bytes, counters.dropped]
    }
}

/// State of the fleet, as this manager knows it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ClusterView {
    /// Incarnation of this manager.
    #[serde(rename = "me")]
    pub local_incarnation: String,
    /// Zone of this manager; empty if none is configured.
    pub zone: String,
    /// Status of the voter of this manager, as text for operators.
    #[serde(rename = "vote")]
    pub voter_status: String,
    /// Id of the voter of this manager, in hexadecimal; `None` if it is not a voter.
    #[serde(rename = "ballot")]
    pub voter_id: Option<String>,
    /// Index of the last log entry in the table of leases.
    #[serde(rename = "index")]
    pub table_index: u64,
    /// Names of the voters, by voter id in hexadecimal.
    pub voters: BTreeMap<String, String>,
    /// Names of the voters that wait until an operator admits them.
    #[serde(rename = "waiting")]
    pub waiting_voters: Vec<String>,
    /// The other members that are up, in order of their names.
    pub members: Vec<MemberView>,
    /// The leases, in order of their names.
    #[serde(rename = "duties")]
    pub leases: Vec<LeaseView>,
    /// Number of rejected messages by the code of the reason, since the start.
    #[serde(rename = "refused")]
    pub rejections: BTreeMap<String, u64>,
    /// Counters of the messages that this manager sent.
    pub sent: MessageCounters,
}

impl ClusterView {
    /// The lease with this name; `None` if it is neither configured at this manager nor in the table.
    pub fn lease(&self, name: &str) -> Option<&LeaseView> {
        self.leases.iter().find(|lease| lease.name == name)
    }
}
