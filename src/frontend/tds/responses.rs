//! Builds the TDS responses to clients and defines their error numbers.

use crate::clock::Micros;
use crate::core::Answer;
use crate::tds::token::{self, ResponseKind};
use sanddyke_tenancy::Reason;

/// The error numbers that clients receive. Numbers that SQL Server defines have the same meaning here.
pub mod error_number {
    /// The service is busy. Drivers retry after this number of Azure SQL.
    pub const REJECTED: u32 = 40501;
    /// A temporary limit of the tenant rejected the request. SQL Server uses this number for resource limits, after
    /// which drivers retry.
    pub const TENANT_LIMITED: u32 = 10928;
    /// A limit of the tenant rejected the request and will do so until an operator changes it. SQL Server uses this
    /// number for denied permissions.
    pub const TENANT_FORBIDDEN: u32 = 229;
    /// The login was denied.
    pub const LOGIN_FAILED: u32 = 18456;
    /// The request failed. It was possibly executed.
    pub const FAILED: u32 = 50010;
    /// The request is invalid.
    pub const INVALID_REQUEST: u32 = 50011;
    /// An operator cancelled the request.
    pub const CANCELLED: u32 = 50012;
}

/// The severity (`Class` of MS-TDS) of errors of a request. The connection stays open after them.
const REQUEST_SEVERITY: u8 = 16;

/// Builds the response to an invalid request.
pub(super) fn invalid_request(kind: ResponseKind, message: &str) -> Vec<u8> {
    token::error(kind, error_number::INVALID_REQUEST, REQUEST_SEVERITY, message)
}

/// Builds the response for an answer of the service.
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
        Answer::Invalid(error) => invalid_request(kind, &error.to_string()),
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
