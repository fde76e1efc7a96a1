//! What is written, as protobuf messages. Fields 16 to 31 of each kind of record are numbers of strings in the
//! table of its block, 0 for none; a later version keeps to that, so that tools of this one can copy its records.

use prost::{Message, Oneof};

/// What a file is of.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// The form of the file.
    #[prost(uint32, tag = "1")]
    pub form: u32,
    /// The version of the program that wrote it.
    #[prost(string, tag = "2")]
    pub program: String,
    /// The manager's name.
    #[prost(string, tag = "3")]
    pub manager: String,
    /// Unix time (us) at the manager's clock's 0.
    #[prost(sint64, tag = "4")]
    pub unix_us: i64,
    /// SHA-256 of the settings, in hexadecimal.
    #[prost(string, tag = "5")]
    pub settings: String,
    /// What made this file of others, one line a step.
    #[prost(string, repeated, tag = "6")]
    pub made_by: Vec<String>,
    /// The managers, by number from 1, where the file was merged of several.
    #[prost(message, repeated, tag = "7")]
    pub managers: Vec<Manager>,
}

/// A manager of a merged file.
#[derive(Clone, PartialEq, Message)]
pub struct Manager {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Unix time (us) at its clock's 0.
    #[prost(sint64, tag = "2")]
    pub unix_us: i64,
    /// How far its clock is ahead of the first one's (us), as it was estimated.
    #[prost(sint64, tag = "3")]
    pub offset_us: i64,
    /// The true value lies no further off than this (us).
    #[prost(sint64, tag = "4")]
    pub within_us: i64,
}

/// One thing that happened.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// When, on the manager's clock (us).
    #[prost(sint64, tag = "1")]
    pub at_us: i64,
    /// The request that it is about, 0 for none.
    #[prost(uint64, tag = "2")]
    pub request: u64,
    /// The number of its manager in a merged file, 0 in others.
    #[prost(uint32, tag = "14")]
    pub manager: u32,
    /// What.
    #[prost(oneof = "What", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub what: Option<What>,
}

/// The kinds of things.
#[derive(Clone, PartialEq, Oneof)]
pub enum What {
    /// A request was taken.
    #[prost(message, tag = "3")]
    Taken(Taken),
    /// It waits, for want of something.
    #[prost(message, tag = "4")]
    Held(Held),
    /// It was decided where it goes.
    #[prost(message, tag = "5")]
    Decision(Decision),
    /// An attempt was sent.
    #[prost(message, tag = "6")]
    Sent(Sent),
    /// Word of a running attempt.
    #[prost(message, tag = "7")]
    Note(Note),
    /// An attempt ended.
    #[prost(message, tag = "8")]
    Ended(Ended),
    /// The final answer.
    #[prost(message, tag = "9")]
    Answer(Answer),
    /// An engine's place in the list changed.
    #[prost(message, tag = "10")]
    Engine(Engine),
    /// A tenant changed.
    #[prost(message, tag = "11")]
    Tenant(Tenant),
    /// The program: start, stop, configuration read.
    #[prost(message, tag = "12")]
    Program(Program),
    /// Records that were dropped for want of room.
    #[prost(message, tag = "13")]
    Dropped(Dropped),
}

/// A request was taken.
#[derive(Clone, PartialEq, Message)]
pub struct Taken {
    /// Its time budget (us).
    #[prost(uint64, tag = "1")]
    pub budget_us: u64,
    /// Bytes of its statement.
    #[prost(uint32, tag = "2")]
    pub statement_bytes: u32,
    /// Which try of the client's this is, where that is known, from 1.
    #[prost(uint32, tag = "3")]
    pub client_try: u32,
    /// Its class.
    #[prost(uint32, tag = "16")]
    pub class: u32,
    /// Its tenant.
    #[prost(uint32, tag = "17")]
    pub tenant: u32,
    /// The client's name for it.
    #[prost(uint32, tag = "18")]
    pub name: u32,
    /// Its idempotency key.
    #[prost(uint32, tag = "19")]
    pub key: u32,
    /// The front that took it.
    #[prost(uint32, tag = "20")]
    pub front: u32,
}

/// A request waits.
#[derive(Clone, PartialEq, Message)]
pub struct Held {
    /// For want of what.
    #[prost(uint32, tag = "16")]
    pub reason: u32,
}

/// What was known of an engine when it was drawn.
#[derive(Clone, PartialEq, Message)]
pub struct Known {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Own attempts there.
    #[prost(uint32, tag = "2")]
    pub own: u32,
    /// The others' queries there, by reports.
    #[prost(float, tag = "3")]
    pub others: f32,
    /// How much slower than alone it answers.
    #[prost(float, tag = "4")]
    pub slow: f32,
    /// Its weight in the draw: the lighter is taken.
    #[prost(float, tag = "5")]
    pub weight: f32,
    /// Its name.
    #[prost(uint32, tag = "16")]
    pub engine: u32,
}

/// A decision: where a request goes, or that it is given up.
#[derive(Clone, PartialEq, Message)]
pub struct Decision {
    /// The engine that was taken.
    #[prost(message, optional, tag = "1")]
    pub picked: Option<Known>,
    /// The other one that was drawn.
    #[prost(message, optional, tag = "2")]
    pub other: Option<Known>,
    /// Why.
    #[prost(uint32, tag = "16")]
    pub reason: u32,
}

/// An attempt was sent.
#[derive(Clone, PartialEq, Message)]
pub struct Sent {
    /// Its number, from 0.
    #[prost(uint32, tag = "1")]
    pub attempt: u32,
    /// Where to.
    #[prost(uint32, tag = "16")]
    pub engine: u32,
}

/// Word of a running attempt.
#[derive(Clone, PartialEq, Message)]
pub struct Note {
    /// Its number.
    #[prost(uint32, tag = "1")]
    pub attempt: u32,
    /// Share done, or another figure.
    #[prost(float, tag = "2")]
    pub value: f32,
    /// What it is a figure of.
    #[prost(uint32, tag = "16")]
    pub what: u32,
}

/// An attempt ended.
#[derive(Clone, PartialEq, Message)]
pub struct Ended {
    /// Its number.
    #[prost(uint32, tag = "1")]
    pub attempt: u32,
    /// Work that it took (us of one thread), where told.
    #[prost(uint64, tag = "2")]
    pub work_us: u64,
    /// How.
    #[prost(uint32, tag = "16")]
    pub outcome: u32,
    /// Where it ran.
    #[prost(uint32, tag = "17")]
    pub engine: u32,
}

/// The final answer.
#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    /// Advice to stay away (us).
    #[prost(uint64, tag = "1")]
    pub retry_after_us: u64,
    /// Bytes of its result.
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
    /// `served`, `refused`, `failed`, `cancelled`, `left` or `invalid`.
    #[prost(uint32, tag = "16")]
    pub end: u32,
    /// Why, where there is a code.
    #[prost(uint32, tag = "17")]
    pub reason: u32,
}

/// An engine's place in the list.
#[derive(Clone, PartialEq, Message)]
pub struct Engine {
    /// The list's number.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The engine.
    #[prost(uint32, tag = "16")]
    pub engine: u32,
    /// Its state.
    #[prost(uint32, tag = "17")]
    pub state: u32,
    /// Its zone.
    #[prost(uint32, tag = "18")]
    pub zone: u32,
}

/// A tenant changed.
#[derive(Clone, PartialEq, Message)]
pub struct Tenant {
    /// The registry's generation.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// Its effective share.
    #[prost(double, tag = "2")]
    pub share: f64,
    /// The tenant.
    #[prost(uint32, tag = "16")]
    pub tenant: u32,
    /// Its state.
    #[prost(uint32, tag = "17")]
    pub state: u32,
}

/// The program itself.
#[derive(Clone, PartialEq, Message)]
pub struct Program {
    /// `start`, `stop` or `configuration`.
    #[prost(uint32, tag = "16")]
    pub event: u32,
}

/// Records that were dropped.
#[derive(Clone, PartialEq, Message)]
pub struct Dropped {
    /// How many.
    #[prost(uint64, tag = "1")]
    pub records: u64,
    /// Why.
    #[prost(uint32, tag = "16")]
    pub reason: u32,
}

/// A block of records. Records stay bytes here, so that what is not known of them is not lost.
#[derive(Clone, PartialEq, Message)]
pub struct Block {
    /// The strings, by number from 1.
    #[prost(string, repeated, tag = "1")]
    pub strings: Vec<String>,
    /// The records.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub records: Vec<Vec<u8>>,
}

/// What the index tells of a block of records.
#[derive(Clone, PartialEq, Message)]
pub struct Indexed {
    /// Where its frame begins.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// The first and the last time in it.
    #[prost(sint64, tag = "2")]
    pub first_us: i64,
    /// The last.
    #[prost(sint64, tag = "3")]
    pub last_us: i64,
    /// Its records.
    #[prost(uint64, tag = "4")]
    pub records: u64,
    /// The requests in it, each as the difference to the one before.
    #[prost(uint64, repeated, tag = "5")]
    pub requests: Vec<u64>,
    /// The tenants in it, by their place in [`Index::tenants`].
    #[prost(uint32, repeated, tag = "6")]
    pub tenants: Vec<u32>,
}

/// The index, in the last block; its frame's offset stands in the file's last 8 bytes.
#[derive(Clone, PartialEq, Message)]
pub struct Index {
    /// The blocks.
    #[prost(message, repeated, tag = "1")]
    pub blocks: Vec<Indexed>,
    /// Names of tenants.
    #[prost(string, repeated, tag = "2")]
    pub tenants: Vec<String>,
    /// Records of each kind, by the field's number in [`Record`].
    #[prost(uint64, repeated, tag = "3")]
    pub kinds: Vec<u64>,
}
