//! An attempt that the engine has, and the pages of its result so far.

use crate::clock::Micros;
use crate::core::AttemptId;
use crate::core::Row;
use crate::decision::{LoadReport, Usage};
use crate::upstream::ResultBudget;
use crate::upstream::line_protocol::parse::{self, ParseError, Response, ResponseKind};
use bytes::Bytes;

/// An attempt in flight. No row goes to the client before all pages are here, so that an engine that dies between
/// pages costs an attempt and not the answer.
pub(super) struct InFlight {
    pub(super) attempt: AttemptId,
    /// When its first byte was handed to the output.
    pub(super) began_at: Micros,
    /// When the engine last mentioned it; engines that report progress do so until the answer.
    pub(super) last_mention: Micros,
    pub(super) usage: Option<Usage>,
    pub(super) report: Option<LoadReport>,
    /// Its bytes as they count in all that is being collected.
    budget: ResultBudget,
    pages: Vec<Option<Bytes>>,
}

/// What became of a page.
pub(super) enum PageOutcome {
    /// It is kept; other pages are missing.
    Kept {
        /// Whether it is the first, which says how many there are.
        first: bool,
    },
    /// It was there already.
    Duplicate,
    /// Nobody asked for a page of this number.
    Unexpected,
    /// The result is longer than may be collected.
    OverBudget,
}

impl InFlight {
    pub(super) fn new(attempt: AttemptId, now: Micros, budget: ResultBudget) -> InFlight {
        InFlight {
            attempt,
            began_at: now,
            last_mention: now,
            usage: None,
            report: None,
            budget,
            pages: Vec::new(),
        }
    }

    /// Keeps one page of the result.
    pub(super) fn add_page(&mut self, response: &Response, max_collected_bytes: usize) -> PageOutcome {
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
        // A copy of its own: a slice of the received buffer would keep all of that.
        *slot = Some(Bytes::copy_from_slice(&response.body));
        match self.budget.add(response.body.len(), max_collected_bytes) {
            true => PageOutcome::Kept { first },
            false => PageOutcome::OverBudget,
        }
    }

    pub(super) fn page_count(&self) -> usize {
        self.pages.len()
    }

    pub(super) fn is_complete(&self) -> bool {
        self.pages.iter().all(Option::is_some)
    }

    /// All rows, in order.
    pub(super) fn rows(&self) -> Result<Vec<Row>, ParseError> {
        let mut rows = Vec::new();
        for page in self.pages.iter().flatten() {
            rows.extend(parse::rows(page)?);
        }
        Ok(rows)
    }
}

/// The index of a response's page; one that no result has where the number is missing.
fn page_number(response: &Response) -> usize {
    match response.kind {
        ResponseKind::Page => response.fields.page.filter(|number| *number > 0).unwrap_or(u32::MAX) as usize,
        _ => 0,
    }
}
