//! Identifiers. They are opaque numbers that the embedding program assigns.

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;

/// Identifies one request of a client; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestId(pub u64);

/// Identifies a query engine; unchanged when its process restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct EngineId(pub u64);

/// Index of a request class in [`Settings::classes`](super::Settings::classes).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`](super::Settings::tenants).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TenantId(pub usize);

/// Index of a machine kind in [`Settings::kinds`](super::Settings::kinds); an index beyond its end is an
/// unknown kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct KindId(pub usize);

/// Identifies a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ZoneId(pub usize);

/// Identifies a cell: a small set of engines that share the idempotency keys that they have seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CellId(pub u64);

/// Order key: requests of one key run in order of arrival, one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct OrderKey(pub u64);
