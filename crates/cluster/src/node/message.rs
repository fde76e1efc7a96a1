//! Messages between managers, and their encoding: a checksum, then the envelope in postcard's format.

use super::group::GroupVoters;
use super::routing::RoutedRequest;
use crate::lease::{Incarnation, LeaseOutcome, LeaseTable, MAX_NAME_BYTES};
use crate::rolling_restart::{MemberStatus, RestartStep};
use serde::{Deserialize, Serialize};

/// Version of the message format. Messages of a later version are rejected. Within a version the format stays
/// readable: new kinds are added at the end of [`PeerMessage`].
pub const PROTOCOL_VERSION: u16 = 1;
/// Maximum size of one message, in bytes: the longest table of [`crate::lease::MAX_LEASES`] leases has some 60 KB.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Size of the checksum (CRC-32) before each message, in bytes. It detects truncation and corruption in transit, not
/// forgery: against that the address must be unreachable for others.
const CHECKSUM_BYTES: usize = 4;

/// A message between managers. The order of variants and fields is that of the wire format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A packet of the membership protocol.
    Gossip(Vec<u8>),
    /// A message between voters.
    Raft(Vec<u8>),
    /// Discovery of the voters of a new group. A voter of a group that is not founded yet sends its id; one of a
    /// founded group responds with the voters that it knows.
    Discovery {
        /// Voter id of the sender.
        id: u64,
        /// The voters of the group, if it is founded.
        voters: Option<GroupVoters>,
    },
    /// A request to the voters.
    LeaseRequest(RoutedRequest),
    /// The voters' response.
    LeaseResponse {
        /// Identifies the request.
        nonce: u64,
        /// Its outcome.
        outcome: LeaseOutcome,
    },
    /// Asks for the table of leases, if there is a newer one.
    TablePoll {
        /// Log index of the sender's table.
        index: u64,
    },
    /// The table of leases.
    LeaseTable(LeaseTable),
    /// A step of a rolling restart.
    RestartStep {
        /// Fencing token of the sender's lease.
        fencing_token: u64,
        /// The step.
        step: RestartStep,
    },
    /// Response to a step: the status of the sender.
    MemberStatus(MemberStatus),
}

/// A message with its sender. The order of fields is that of the wire format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// [`PROTOCOL_VERSION`] of the sender. It is the first field in every version.
    pub version: u16,
    /// Name of the sender's fleet.
    pub cluster: String,
    /// The sender.
    pub from: Incarnation,
    /// The message.
    pub message: PeerMessage,
}

/// Why a message was rejected. Each reason is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageRejection {
    /// It exceeds [`MAX_MESSAGE_BYTES`].
    TooLong,
    /// It is truncated, corrupt, or of an unknown kind.
    Malformed,
    /// It is of a later version.
    UnsupportedVersion,
    /// It is from another fleet.
    OtherCluster,
    /// It is from an incarnation that has ended.
    StaleIncarnation,
    /// A voter's message that this manager can't use: it does not vote, the sender does not, or raft rejects it.
    NotAVoter,
    /// The membership protocol rejects it.
    InvalidGossip,
    /// A restart step under a fencing token that is not the current holder's.
    StaleFencingToken,
}

impl MessageRejection {
    /// Its code in metrics and in the administration API.
    pub fn code(self) -> &'static str {
        match self {
            MessageRejection::TooLong => "too_long",
            MessageRejection::Malformed => "unreadable",
            MessageRejection::UnsupportedVersion => "later_form",
            MessageRejection::OtherCluster => "other_cluster",
            MessageRejection::StaleIncarnation => "old_life",
            MessageRejection::NotAVoter => "no_vote",
            MessageRejection::InvalidGossip => "gossip",
            MessageRejection::StaleFencingToken => "old_number",
        }
    }
}

/// Encodes a message; `None` if it exceeds [`MAX_MESSAGE_BYTES`].
pub(super) fn encode(envelope: &Envelope) -> Option<Vec<u8>> {
    let payload = postcard::to_stdvec(envelope).ok()?;
    if payload.len() > MAX_MESSAGE_BYTES - CHECKSUM_BYTES {
        return None;
    }
    let mut bytes = crc32fast::hash(&payload).to_le_bytes().to_vec();
    bytes.extend(payload);
    Some(bytes)
}

/// Decodes a message, and checks its integrity and version.
pub(super) fn decode(bytes: &[u8]) -> Result<Envelope, MessageRejection> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(MessageRejection::TooLong);
    }
    let (checksum, payload) = bytes.split_at_checked(CHECKSUM_BYTES).ok_or(MessageRejection::Malformed)?;
    if checksum != crc32fast::hash(payload).to_le_bytes() {
        return Err(MessageRejection::Malformed);
    }
    let (version, _) = postcard::take_from_bytes::<u16>(payload).map_err(|_| MessageRejection::Malformed)?;
    if version > PROTOCOL_VERSION {
        return Err(MessageRejection::UnsupportedVersion);
    }
    let (envelope, rest) =
        postcard::take_from_bytes::<Envelope>(payload).map_err(|_| MessageRejection::Malformed)?;
    if !rest.is_empty() || envelope.from.name.len() > MAX_NAME_BYTES {
        return Err(MessageRejection::Malformed);
    }
    Ok(envelope)
}
