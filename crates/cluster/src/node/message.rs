//! Messages between managers and their wire format: a CRC-32 checksum, followed by the envelope as encoded by postcard.

use super::group::GroupVoters;
use super::routing::RoutedRequest;
use crate::lease::{Incarnation, LeaseOutcome, LeaseTable, MAX_NAME_BYTES};
use crate::rolling_restart::{MemberStatus, RestartStep};
use serde::{Deserialize, Serialize};

/// Version of the message format. Messages of a later version are rejected. Within one version, the format may change
/// only by new variants at the end of [`PeerMessage`], so that existing messages stay readable.
pub const PROTOCOL_VERSION: u16 = 1;
/// Maximum size of one message, in bytes. The longest table of [`crate::lease::MAX_LEASES`] leases takes about 60 KB.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Size of the checksum (CRC-32) before each message, in bytes. The checksum detects truncation and corruption in
/// transit. It does not detect forgery, so the address must not be reachable for anyone but the managers.
const CHECKSUM_BYTES: usize = 4;

/// A message between managers. The wire format depends on the order of variants and fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A packet of the membership protocol.
    Gossip(Vec<u8>),
    /// A message between voters.
    Raft(Vec<u8>),
    /// Discovery of the voters of a new group. A voter that knows no founded group sends its id. A voter of a founded
    /// group responds with the voters that it knows.
    Discovery {
        /// Voter id of the sender.
        id: u64,
        /// The voters of the group; `None` if the sender knows no founded group.
        voters: Option<GroupVoters>,
    },
    /// A request to the leader of the voters, which other voters may forward.
    LeaseRequest(RoutedRequest),
    /// The leader's response to a request.
    LeaseResponse {
        /// Nonce of the request.
        nonce: u64,
        /// Outcome of the request.
        outcome: LeaseOutcome,
    },
    /// Requests the table of leases. The recipient responds only if its table is newer.
    TablePoll {
        /// Log index of the sender's table.
        index: u64,
    },
    /// The sender's table of leases.
    LeaseTable(LeaseTable),
    /// A step of a rolling restart that the recipient is to apply.
    RestartStep {
        /// Fencing token of the sender's lease.
        fencing_token: u64,
        /// What the recipient is to do.
        step: RestartStep,
    },
    /// The status of the sender, in response to a step.
    MemberStatus(MemberStatus),
}

/// A message with its sender. The wire format depends on the order of fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// [`PROTOCOL_VERSION`] of the sender. This is the first field in every version, so that a recipient can read it
    /// before the rest.
    pub version: u16,
    /// Name of the sender's fleet.
    pub cluster: String,
    /// Name and incarnation of the sending manager.
    pub from: Incarnation,
    /// Content of the message.
    pub message: PeerMessage,
}

/// Why a message was rejected. Each reason is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageRejection {
    /// The message exceeds [`MAX_MESSAGE_BYTES`].
    TooLong,
    /// The message is truncated, corrupted, or of an unknown variant.
    Malformed,
    /// The message has a later version than [`PROTOCOL_VERSION`].
    UnsupportedVersion,
    /// The sender belongs to another fleet.
    OtherCluster,
    /// The sender is an incarnation that has ended, or reports a status without being a member.
    StaleIncarnation,
    /// This manager can't use a message between voters, because it does not vote, the sender does not vote, or the raft
    /// library rejects the message.
    NotAVoter,
    /// The membership protocol rejects the packet.
    InvalidGossip,
    /// The fencing token of a restart step is not that of the current lease holder.
    StaleFencingToken,
}

impl MessageRejection {
    /// The code of the reason in metrics and in the administration API.
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
