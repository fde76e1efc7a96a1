//! An attempt in flight on a connection, and the pages of its result received so far.

use crate::clock::Micros;
use crate::core::AttemptId;
use crate::core::Table;
use crate::decision::{LoadReport, Usage};
use crate::upstream::line_protocol::parse::{self, ParseError, Response, ResponseKind};
use crate::upstream::{ROW_MEMORY_BYTES, ResultBudget, VALUE_MEMORY_BYTES};
use bytes::Bytes;
use thiserror::Error;

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

/// Why the pages of a result can't be used.
#[derive(Debug, Error)]
pub(super) enum TableError {
    #[error(transparent)]
    Invalid(#[from] ParseError),
    #[error("the memory budget is used up")]
    OutOfMemory,
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
    pub(super) fn add_page(&mut self, response: &Response) -> PageOutcome {
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
        match self.budget.add(response.body.len(), response.body.len()) {
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

    /// Returns the estimated memory of the rows of all pages.
    pub(super) fn table_memory_bytes(&self) -> usize {
        let pages = self.pages.iter().flatten();
        pages.map(|page| page.len() + rows_overhead_bytes(page)).sum()
    }

    /// Returns all rows in order.
    ///
    /// # Errors
    /// A page is invalid, or the memory budget does not allow the rows.
    pub(super) fn into_table(self) -> Result<Table, TableError> {
        let mut rows = Vec::new();
        for page in self.pages.into_iter().flatten() {
            rows.extend(parse::rows(&page)?);
        }
        let memory = self.budget.into_memory_of(&rows).ok_or(TableError::OutOfMemory)?;
        Ok(Table { columns: Vec::new(), rows, memory })
    }
}

/// Returns the estimated memory of the rows of a page beside their text.
fn rows_overhead_bytes(page: &[u8]) -> usize {
    let rows = memchr::memchr_iter(b'\n', page).count();
    let further_values = memchr::memchr_iter(b'\t', page).count();
    rows * ROW_MEMORY_BYTES + (rows + further_values) * VALUE_MEMORY_BYTES
}

/// Returns the index of a response's page. Without a valid page number, it is an index that no result has.
fn page_number(response: &Response) -> usize {
    match response.kind {
        ResponseKind::Page => response.fields.page.filter(|number| *number > 0).unwrap_or(u32::MAX) as usize,
        _ => 0,
    }
}
