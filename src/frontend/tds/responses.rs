//! The responses to clients, and the numbers of the errors in them.

use crate::clock::Micros;
use crate::core::Answer;
use crate::tds::token::{self, ResponseKind};
use sanddyke_tenancy::Reason;

/// The numbers of errors, as clients see them. Numbers that SQL Server has are used in its meaning.
pub mod error_number {
    /// The service is busy: SQL Server's number for "retry later".
    pub const REJECTED: u32 = 40501;
    /// Rejected by a limit of the tenant that passes by itself: a resource limit, after which drivers retry.
    pub const TENANT_LIMITED: u32 = 10928;
    /// Rejected by a limit of the tenant until an operator changes it: permission denied.
    pub const TENANT_FORBIDDEN: u32 = 229;
    /// The login failed.
    pub const LOGIN_FAILED: u32 = 18456;
    /// The request failed, and was possibly executed.
    pub const FAILED: u32 = 50010;
    /// The request cannot be used.
    pub const UNUSABLE: u32 = 50011;
    /// An operator cancelled the request.
    pub const CANCELLED: u32 = 50012;
}

/// The severity of errors in a request, which leave the connection open.
const REQUEST_SEVERITY: u8 = 16;

/// The response to a request that cannot be used.
pub(super) fn unusable(kind: ResponseKind, message: &str) -> Vec<u8> {
    token::error(kind, error_number::UNUSABLE, REQUEST_SEVERITY, message)
}

/// The response for an answer of the service.
pub(super) fn answer_response(kind: ResponseKind, answer: Answer) -> Vec<u8> {
    let error = |number, text: &str| token::error(kind, number, REQUEST_SEVERITY, text);
    match answer {
        Answer::Served(table) => token::table(kind, &table),
        Answer::Rejected { retry_after, reason: None } => {
            error(error_number::REJECTED, &busy_text(retry_after))
        }
        Answer::Rejected { retry_after, reason: Some(reason) } => {
            error(limit_number(reason), &limit_text(retry_after, reason))
        }
        Answer::Failed(None) => error(error_number::FAILED, "The request failed; it may have run."),
        Answer::Failed(Some(reason)) => {
            let text = format!("The request failed: {}; it may have run.", reason.code());
            error(error_number::FAILED, &text)
        }
        Answer::Cancelled => error(error_number::CANCELLED, "The request was ended by an operator."),
        Answer::Invalid(error) => unusable(kind, &error.to_string()),
    }
}

fn busy_text(retry_after: Micros) -> String {
    let seconds = (retry_after.0 + 999_999) / 1_000_000;
    let ms = retry_after.0 / 1000;
    format!("The service is currently busy. Retry the request after {seconds} seconds. retry_after_ms={ms}")
}

fn limit_number(reason: Reason) -> u32 {
    if reason.is_temporary() { error_number::TENANT_LIMITED } else { error_number::TENANT_FORBIDDEN }
}

fn limit_text(retry_after: Micros, reason: Reason) -> String {
    let code = reason.code();
    let ms = retry_after.0 / 1000;
    format!("The tenant's request is refused: {code}. retry_after_ms={ms}")
}
