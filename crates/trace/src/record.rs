//! The protobuf messages of a trace file.
//!
//! Fields 16 to 31 of each event are references into the string table of the block; 0 stands for no string. Later
//! versions must follow this rule, so that the tools of this version can copy their records. The tags define the file
//! format and must never change.

use prost::{Message, Oneof};

/// The content of the first block: which manager and program version recorded the trace, and with which settings.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// Version of the file format.
    #[prost(uint32, tag = "1")]
    pub format_version: u32,
    /// Version of the program that recorded the trace.
    #[prost(string, tag = "2")]
    pub program: String,
    /// Name of the manager that recorded the trace; `merged` in a merged file, `anonymous` in an anonymised one.
    #[prost(string, tag = "3")]
    pub manager: String,
    /// Unix time (us) at time 0 of the manager's clock.
    #[prost(sint64, tag = "4")]
    pub unix_us: i64,
    /// SHA-256 of the settings, in hexadecimal.
    #[prost(string, tag = "5")]
    pub settings: String,
    /// The tool steps that derived this file from others, oldest first.
    #[prost(string, repeated, tag = "6")]
    pub derivation: Vec<String>,
    /// The managers of a merged file, in the order of their numbers from 1; empty in an unmerged file.
    #[prost(message, repeated, tag = "7")]
    pub managers: Vec<Manager>,
}

/// A manager of a merged file.
#[derive(Clone, PartialEq, Message)]
pub struct Manager {
    /// Name of the manager, unique in the file.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Unix time (us) at time 0 of the manager's clock.
    #[prost(sint64, tag = "2")]
    pub unix_us: i64,
    /// Estimated offset of this manager's clock from the first manager's (us), positive if this clock is ahead.
    #[prost(sint64, tag = "3")]
    pub offset_us: i64,
    /// Maximum error of `offset_us` (us).
    #[prost(sint64, tag = "4")]
    pub error_bound_us: i64,
}

/// An event with its time, request and manager.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// Time on the manager's clock (us).
    #[prost(sint64, tag = "1")]
    pub at_us: i64,
    /// Number of the request that the event concerns, 0 for none.
    #[prost(uint64, tag = "2")]
    pub request: u64,
    /// Number of the manager in a merged file; 0 in an unmerged file.
    #[prost(uint32, tag = "14")]
    pub manager: u32,
    /// The event; `None` if its kind was added by a later version.
    #[prost(oneof = "Event", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub event: Option<Event>,
}

/// The kinds of events.
#[derive(Clone, PartialEq, Oneof)]
pub enum Event {
    /// A request was received.
    #[prost(message, tag = "3")]
    RequestReceived(RequestReceived),
    /// A request was queued.
    #[prost(message, tag = "4")]
    RequestQueued(RequestQueued),
    /// An engine was selected for the request, or the request was abandoned without one.
    #[prost(message, tag = "5")]
    Decision(Decision),
    /// An attempt was dispatched to an engine.
    #[prost(message, tag = "6")]
    AttemptDispatched(AttemptDispatched),
    /// A measurement of a running attempt was reported.
    #[prost(message, tag = "7")]
    AttemptProgress(AttemptProgress),
    /// An attempt ended.
    #[prost(message, tag = "8")]
    AttemptEnded(AttemptEnded),
    /// The final response was sent.
    #[prost(message, tag = "9")]
    Response(Response),
    /// An engine's state in the endpoint list changed.
    #[prost(message, tag = "10")]
    EngineChanged(EngineChanged),
    /// A tenant changed.
    #[prost(message, tag = "11")]
    TenantChanged(TenantChanged),
    /// The program started, stopped or loaded its configuration.
    #[prost(message, tag = "12")]
    ProgramEvent(ProgramEvent),
    /// The recorder dropped records because its buffer was full.
    #[prost(message, tag = "13")]
    RecordsDropped(RecordsDropped),
}

/// A request was received.
#[derive(Clone, PartialEq, Message)]
pub struct RequestReceived {
    /// Latency budget (us).
    #[prost(uint64, tag = "1")]
    pub budget_us: u64,
    /// Length of the statement (bytes).
    #[prost(uint32, tag = "2")]
    pub statement_bytes: u32,
    /// Number of the client's attempt, from 1; 0 if the client did not state it.
    #[prost(uint32, tag = "3")]
    pub client_attempt: u32,
    /// Query class (string).
    #[prost(uint32, tag = "16")]
    pub class: u32,
    /// Tenant (string).
    #[prost(uint32, tag = "17")]
    pub tenant: u32,
    /// Client request id (string).
    #[prost(uint32, tag = "18")]
    pub name: u32,
    /// Idempotency key (string).
    #[prost(uint32, tag = "19")]
    pub key: u32,
    /// Frontend that received the request (string): `http` or `tds`.
    #[prost(uint32, tag = "20")]
    pub frontend: u32,
}

/// A request was queued.
#[derive(Clone, PartialEq, Message)]
pub struct RequestQueued {
    /// Code of the reason why the request has to wait (string).
    #[prost(uint32, tag = "16")]
    pub reason: u32,
}

/// The state of a sampled engine at the time of a decision, on which the decision was based.
#[derive(Clone, PartialEq, Message)]
pub struct EngineSnapshot {
    /// Number of the engine, as opposed to its name in `engine`.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// This manager's attempts in flight at the engine.
    #[prost(uint32, tag = "2")]
    pub own_in_flight: u32,
    /// Other managers' queries in flight at the engine, according to its load reports.
    #[prost(float, tag = "3")]
    pub other_in_flight: f32,
    /// Factor by which the engine is slower than when it executes a single query.
    #[prost(float, tag = "4")]
    pub slowdown: f32,
    /// Weight by which the sampled engines are compared. The engine with the lowest weight is selected.
    #[prost(float, tag = "5")]
    pub weight: f32,
    /// Name of the engine (string).
    #[prost(uint32, tag = "16")]
    pub engine: u32,
}

/// An engine was selected for a request, or the request was abandoned without one.
#[derive(Clone, PartialEq, Message)]
pub struct Decision {
    /// The selected engine; `None` if no engine was selected.
    #[prost(message, optional, tag = "1")]
    pub selected: Option<EngineSnapshot>,
    /// The sampled engine that was not selected; `None` if there is none.
    #[prost(message, optional, tag = "2")]
    pub alternative: Option<EngineSnapshot>,
    /// Code of the reason (string).
    #[prost(uint32, tag = "16")]
    pub reason: u32,
}

/// An attempt was dispatched to an engine.
#[derive(Clone, PartialEq, Message)]
pub struct AttemptDispatched {
    /// Number of the attempt, from 0.
    #[prost(uint32, tag = "1")]
    pub attempt: u32,
    /// Name of the engine (string).
    #[prost(uint32, tag = "16")]
    pub engine: u32,
}

/// A measurement of a running attempt was reported.
#[derive(Clone, PartialEq, Message)]
pub struct AttemptProgress {
    /// Number of the attempt, from 0.
    #[prost(uint32, tag = "1")]
    pub attempt: u32,
    /// The measured value, such as the completed fraction.
    #[prost(float, tag = "2")]
    pub value: f32,
    /// Name of the measured quantity (string).
    #[prost(uint32, tag = "16")]
    pub measure: u32,
}

/// An attempt ended.
#[derive(Clone, PartialEq, Message)]
pub struct AttemptEnded {
    /// Number of the attempt, from 0.
    #[prost(uint32, tag = "1")]
    pub attempt: u32,
    /// Work done, as single-thread time (us); 0 if it was not reported.
    #[prost(uint64, tag = "2")]
    pub work_us: u64,
    /// Outcome (string).
    #[prost(uint32, tag = "16")]
    pub outcome: u32,
    /// Name of the engine (string).
    #[prost(uint32, tag = "17")]
    pub engine: u32,
}

/// The final response to a request.
#[derive(Clone, PartialEq, Message)]
pub struct Response {
    /// Recommended wait before a retry (us); 0 for none.
    #[prost(uint64, tag = "1")]
    pub retry_after_us: u64,
    /// Length of the result (bytes).
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
    /// Final status of the request (string): `served`, `refused`, `failed`, `cancelled`, `left` or `invalid`.
    #[prost(uint32, tag = "16")]
    pub end: u32,
    /// Code of the reason (string); 0 for none.
    #[prost(uint32, tag = "17")]
    pub reason: u32,
}

/// An engine's state in the endpoint list changed.
#[derive(Clone, PartialEq, Message)]
pub struct EngineChanged {
    /// Revision of the endpoint list.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Name of the engine (string).
    #[prost(uint32, tag = "16")]
    pub engine: u32,
    /// New state (string).
    #[prost(uint32, tag = "17")]
    pub state: u32,
    /// Zone (string).
    #[prost(uint32, tag = "18")]
    pub zone: u32,
}

/// A tenant changed.
#[derive(Clone, PartialEq, Message)]
pub struct TenantChanged {
    /// Generation of the tenant registry.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// Effective quota, as a fraction of the total capacity.
    #[prost(double, tag = "2")]
    pub quota: f64,
    /// Tenant (string).
    #[prost(uint32, tag = "16")]
    pub tenant: u32,
    /// New state (string).
    #[prost(uint32, tag = "17")]
    pub state: u32,
}

/// The program started, stopped or loaded its configuration.
#[derive(Clone, PartialEq, Message)]
pub struct ProgramEvent {
    /// `start`, `stop` or `configuration` (string).
    #[prost(uint32, tag = "16")]
    pub name: u32,
}

/// The recorder dropped records, for the reason in `reason`.
#[derive(Clone, PartialEq, Message)]
pub struct RecordsDropped {
    /// Number of dropped records.
    #[prost(uint64, tag = "1")]
    pub records: u64,
    /// Code of the reason (string).
    #[prost(uint32, tag = "16")]
    pub reason: u32,
}

/// A block of records. The records are stored encoded, so that a copy preserves unknown fields.
#[derive(Clone, PartialEq, Message)]
pub struct Block {
    /// The string table; references count from 1.
    #[prost(string, repeated, tag = "1")]
    pub strings: Vec<String>,
    /// The encoded records.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub records: Vec<Vec<u8>>,
}

/// The index entry of a block of records.
#[derive(Clone, PartialEq, Message)]
pub struct BlockSummary {
    /// Offset of the block's frame in the file (bytes).
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Earliest time in the block (us).
    #[prost(sint64, tag = "2")]
    pub first_us: i64,
    /// Latest time in the block (us).
    #[prost(sint64, tag = "3")]
    pub last_us: i64,
    /// Number of records in the block.
    #[prost(uint64, tag = "4")]
    pub records: u64,
    /// Keys of the requests in the block in ascending order, each stored as the difference from the previous key.
    #[prost(uint64, repeated, tag = "5")]
    pub requests: Vec<u64>,
    /// Positions in [`Index::tenants`] of the tenants in the block.
    #[prost(uint32, repeated, tag = "6")]
    pub tenants: Vec<u32>,
}

/// The index, which is the last block. The last 8 bytes of the file contain the offset of its frame.
#[derive(Clone, PartialEq, Message)]
pub struct Index {
    /// One entry for each block of records.
    #[prost(message, repeated, tag = "1")]
    pub blocks: Vec<BlockSummary>,
    /// Names of the tenants in the file, in the order of first occurrence.
    #[prost(string, repeated, tag = "2")]
    pub tenants: Vec<String>,
    /// Number of records of each kind of event, indexed by the tag of the event in [`Record`].
    #[prost(uint64, repeated, tag = "3")]
    pub kinds: Vec<u64>,
}

impl Record {
    /// Returns a key of the request that is unique in the file, also in a merged one. The upper 16 bits contain the
    /// manager's number.
    pub fn key(&self) -> u64 {
        u64::from(self.manager) << 48 | self.request
    }

    /// Returns the protobuf tag of the event; 0 for an unknown kind.
    pub fn event_tag(&self) -> usize {
        match &self.event {
            None => 0,
            Some(Event::RequestReceived(_)) => 3,
            Some(Event::RequestQueued(_)) => 4,
            Some(Event::Decision(_)) => 5,
            Some(Event::AttemptDispatched(_)) => 6,
            Some(Event::AttemptProgress(_)) => 7,
            Some(Event::AttemptEnded(_)) => 8,
            Some(Event::Response(_)) => 9,
            Some(Event::EngineChanged(_)) => 10,
            Some(Event::TenantChanged(_)) => 11,
            Some(Event::ProgramEvent(_)) => 12,
            Some(Event::RecordsDropped(_)) => 13,
        }
    }
}
