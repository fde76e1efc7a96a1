//! A health check on a session: the batch that requests the load report, and its result.

use super::session::Session;
use crate::clock::Micros;
use crate::core::{ConnectionEnd, Row};
use crate::decision::LoadReport;
use crate::service::ServiceEnded;
use crate::tds::token::Token;
use crate::upstream::EndpointContext;
use crate::upstream::line_protocol::load_report;

/// Statement that requests the load report.
const HEALTH_CHECK_STATEMENT: &str = "/*probe='load'*/ SELECT util, queue, x0, x1 FROM sys.dm_engine_load";

/// Requests the load report and reports it to the core.
///
/// A health check without an answer in time is reported as timed out. A late answer is reported beside that, since it
/// shows that the engine is up: without it, an engine whose answers are always late would stay ejected.
pub(super) async fn check_health(
    context: &EndpointContext,
    session: &mut Session,
) -> Result<(), ServiceEnded> {
    let started_at = context.clock.now();
    let query = query_load(session);
    tokio::pin!(query);
    let timeout = context.limits.health_check_timeout.to_duration();
    let result = match tokio::time::timeout(timeout, &mut query).await {
        Ok(result) => result,
        Err(_) => {
            report(context, started_at, Err(ConnectionEnd::TimedOut)).await?;
            let late = tokio::time::timeout(context.limits.silence_timeout.to_duration(), query).await;
            let Ok(Ok(report)) = late else { return Ok(()) };
            Ok(report)
        }
    };
    report(context, started_at, result).await
}

async fn report(
    context: &EndpointContext,
    started_at: Micros,
    result: Result<LoadReport, ConnectionEnd>,
) -> Result<(), ServiceEnded> {
    let elapsed = context.clock.now() - started_at;
    let (end, report) = match result {
        Ok(report) => (ConnectionEnd::Answered, Some(report)),
        Err(end) => (end, None),
    };
    context.report_health_check(end, report, elapsed).await
}

/// Requests the load report of an engine.
async fn query_load(session: &mut Session) -> Result<LoadReport, ConnectionEnd> {
    session.send_batch(HEALTH_CHECK_STATEMENT).await?;
    let mut columns = Vec::new();
    let mut row = Row::new();
    loop {
        match session.next_token().await? {
            Token::Columns(reported) => columns = reported,
            Token::Row(reported) => row = reported,
            Token::Error { .. } => return Err(ConnectionEnd::AnsweredError),
            Token::Done { more: false, .. } => break,
            _ => {}
        }
    }
    if row.is_empty() {
        // A part of a late answer to the login has no row either.
        log::warn!("TDS engine answered a health check without a load report: session closed");
        return Err(ConnectionEnd::Malformed);
    }
    let cells = columns.iter().zip(row);
    let pairs = cells.filter_map(|(column, cell)| Some(format!("{}:{}", column.name, cell?)));
    Ok(load_report(&pairs.collect::<Vec<_>>().join(";")))
}
