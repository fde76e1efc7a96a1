//! An attempt in flight on a connection, and the pages of its result received so far.

use crate::clock::Micros;
use crate::core::AttemptId;
use crate::core::Row;
use crate::decision::{LoadReport, Usage};
use crate::upstream::ResultBudget;
use crate::upstream::line_protocol::parse::{self, ParseError, Response, ResponseKind};
use bytes::Bytes;

/// An attempt in flight. No row is sent to the client before all pages are received, so that an engine that fails
/// between two pages fails the attempt and not the request.
pub(super) struct InFlight {
    pub(super) attempt: AttemptId,
    /// Time at which the request was added to the output buffer.
    pub(super) began_at: Micros,
    /// Time of the engine's last response about it. Engines that report progress send notes until the answer.
    pub(super) last_response_at: Micros,
    pub(super) usage: Option<Usage>,
    pub(super) report: Option<LoadReport>,
    /// Counts the buffered bytes of the pages.
    budget: ResultBudget,
    pages: Vec<Option<Bytes>>,
}

/// How a received page was handled.
pub(super) enum PageOutcome {
    /// It is stored. Other pages may be missing.
    Stored {
        /// Whether it is the first page, which says how many pages there are.
        first: bool,
    },
    /// A page of this number was received before.
    Duplicate,
    /// The result has no page of this number.
    Unexpected,
    /// The result exceeds the limit of one result or of all buffered results.
    OverBudget,
}

impl InFlight {
    pub(super) fn new(attempt: AttemptId, now: Micros, budget: ResultBudget) -> InFlight {
        InFlight {
            attempt,
            began_at: now,
            last_response_at: now,
            usage: None,
            report: None,
            budget,
            pages: Vec::new(),
        }
    }

    /// Stores one page of the result.
    pub(super) fn add_page(&mut self, response: &Response, max_buffered_result_bytes: usize) -> PageOutcome {
        let first = response.kind == ResponseKind::Ok && self.pages.is_empty();
        if first {
            self.pages = vec![None; response.fields.page_count.unwrap_or(1).max(1) as usize];
            self.usage = response.fields.usage;
            self.report = response.fields.report;
        }
        let Some(slot) = self.pages.get_mut(page_number(response)) else {
            return PageOutcome::Unexpected;
        };
        if slot.is_some() {
            return PageOutcome::Duplicate;
        }
        // A slice of the receive buffer would keep that whole buffer allocated.
        *slot = Some(Bytes::copy_from_slice(&response.body));
        match self.budget.add(response.body.len(), max_buffered_result_bytes) {
            true => PageOutcome::Stored { first },
            false => PageOutcome::OverBudget,
        }
    }

    pub(super) fn page_count(&self) -> usize {
        self.pages.len()
    }

    pub(super) fn is_complete(&self) -> bool {
        self.pages.iter().all(Option::is_some)
    }

    /// Returns all rows in order.
    pub(super) fn rows(&self) -> Result<Vec<Row>, ParseError> {
        let mut rows = Vec::new();
        for page in self.pages.iter().flatten() {
            rows.extend(parse::rows(page)?);
        }
        Ok(rows)
    }
}

/// Returns the index of a response's page. Without a valid page number, it is an index that no result has.
fn page_number(response: &Response) -> usize {
    match response.kind {
        ResponseKind::Page => response.fields.page.filter(|number| *number > 0).unwrap_or(u32::MAX) as usize,
        _ => 0,
    }
}
