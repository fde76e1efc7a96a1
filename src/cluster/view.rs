//! The fleet as this manager sees it, for the administration API and metrics. The JSON field names are those of the API.

use serde::Serialize;
use std::collections::BTreeMap;

/// A lease.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LeaseView {
    /// Its name.
    pub name: String,
    /// Name of the manager that holds it, as far as it is known here.
    pub holder: Option<String>,
    /// Fencing token of the holder.
    #[serde(rename = "fence")]
    pub fencing_token: Option<u64>,
    /// Remaining time in ms, if this manager holds it.
    pub left_ms: Option<u64>,
    /// Progress of its work.
    #[serde(rename = "note")]
    pub checkpoint: String,
    /// Log index of the checkpoint.
    #[serde(rename = "noted")]
    pub checkpoint_index: u64,
}

/// A member.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Its incarnation, another after each start.
    #[serde(rename = "life")]
    pub incarnation: String,
    /// Address at which other managers reach it.
    pub address: String,
    /// Its zone.
    pub zone: String,
}

/// Counters of sent messages. In JSON an array of the three.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(into = "[u64; 3]")]
pub struct MessageCounters {
    /// Number of messages.
    pub messages: u64,
    /// Their size, in bytes.
    pub bytes: u64,
    /// Messages that were dropped, as their recipient's queue was full.
    pub dropped: u64,
}

impl From<MessageCounters> for [u64; 3] {
    fn from(counters: MessageCounters) -> [u64; 3] {
        [counters.messages, counters.bytes, counters.dropped]
    }
}

/// The fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ClusterView {
    /// Incarnation of this manager.
    #[serde(rename = "me")]
    pub local_incarnation: String,
    /// Zone of this manager.
    pub zone: String,
    /// Status of its voter.
    #[serde(rename = "vote")]
    pub voter_status: String,
    /// Id of its voter.
    #[serde(rename = "ballot")]
    pub voter_id: Option<String>,
    /// Log index of the table of leases.
    #[serde(rename = "index")]
    pub table_index: u64,
    /// Names of the voters, by id.
    pub voters: BTreeMap<String, String>,
    /// Names of voters that wait for admission.
    #[serde(rename = "waiting")]
    pub waiting_voters: Vec<String>,
    /// The other members.
    pub members: Vec<MemberView>,
    /// The leases.
    #[serde(rename = "duties")]
    pub leases: Vec<LeaseView>,
    /// Numbers of rejected messages, by reason.
    #[serde(rename = "refused")]
    pub rejections: BTreeMap<String, u64>,
    /// Counters of sent messages.
    pub sent: MessageCounters,
}

impl ClusterView {
    /// The lease of this name.
    pub fn lease(&self, name: &str) -> Option<&LeaseView> {
        self.leases.iter().find(|lease| lease.name == name)
    }
}
