//! Stores results that are too long for one response and are therefore split into pages.
//!
//! A result is stored until its client has read the last page, deleted it, or no longer waits for it. It is never evicted
//! before: where there is no room for a further result, the caller sends that one in a single response.

use crate::core::Row;
use crate::lifecycle::OpenGuard;
use crate::memory::{MemoryBudget, MemoryReservation};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// The maximum number of stored results.
const MAX_RESULTS: usize = 512;
/// The maximum total size of the stored pages.
const MAX_BYTES: usize = 4 << 20;
/// How long a result is stored after its last page was sent. A client whose connection broke meanwhile calls again.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// A result that is stored.
#[derive(Debug)]
struct StoredResult {
    bodies: Vec<String>,
    expires_at: Instant,
    /// Counts the result as undelivered until its last page is sent.
    undelivered: Option<OpenGuard>,
}

/// A result to be stored.
#[derive(Debug)]
pub struct NewResult<'a> {
    /// The id under which its client calls the pages.
    pub client_request_id: &'a str,
    /// The rows of each page, as JSON.
    pub pages: Vec<String>,
    /// When the client no longer waits for it.
    pub expires_at: Instant,
    /// Counts the result as undelivered.
    pub undelivered: OpenGuard,
}

/// A page of a stored result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The body of the response.
    pub body: String,
    /// The result that it belongs to.
    pub client_request_id: String,
    /// Whether it is the last one.
    pub is_last: bool,
}

/// The pages that clients may still read, by client request id.
#[derive(Debug)]
pub struct ResultPages {
    results: HashMap<String, StoredResult>,
    /// The stored results, the next one to expire first.
    by_expiry: BTreeSet<(Instant, String)>,
    bytes: usize,
    /// The memory of the stored pages.
    memory: MemoryReservation,
}

impl ResultPages {
    /// Creates an empty storage, whose pages count against `budget`.
    pub fn new(budget: &MemoryBudget) -> ResultPages {
        let (results, by_expiry) = (HashMap::new(), BTreeSet::new());
        ResultPages { results, by_expiry, bytes: 0, memory: budget.reservation() }
    }

    /// Stores a result of several pages and returns the first one; `None` if there is no room. Each body names the path
    /// of the next page.
    pub fn insert(&mut self, new: NewResult<'_>, now: Instant) -> Option<Page> {
        let NewResult { client_request_id, pages, expires_at, undelivered } = new;
        let last = pages.len() - 1;
        let bodies = pages.iter().enumerate().map(|(number, rows)| {
            let next_path = (number < last).then(|| format!("/page/{client_request_id}/{}", number + 1));
            page_body(rows, next_path.as_deref())
        });
        let bodies: Vec<String> = bodies.collect();
        self.remove_expired(now);
        self.remove_result(client_request_id);
        let bytes = self.bytes + total_bytes(&bodies);
        if self.results.len() >= MAX_RESULTS || bytes > MAX_BYTES || self.memory.try_resize(bytes).is_err() {
            return None;
        }
        let first = bodies[0].clone();
        self.bytes = bytes;
        let client_request_id = client_request_id.to_owned();
        self.by_expiry.insert((expires_at, client_request_id.clone()));
        let stored = StoredResult { bodies, expires_at, undelivered: Some(undelivered) };
        self.results.insert(client_request_id.clone(), stored);
        Some(Page { body: first, client_request_id, is_last: last == 0 })
    }

    /// Returns the page at a path; `None` if there is no such page.
    pub fn get(&self, path: &str) -> Option<Page> {
        let PagePath { client_request_id, number } = PagePath::parse(path)?;
        let bodies = &self.results.get(client_request_id)?.bodies;
        let body = bodies.get(number)?.clone();
        let is_last = number + 1 == bodies.len();
        Some(Page { body, client_request_id: client_request_id.to_owned(), is_last })
    }

    /// Whether a result is stored whose last page has not been sent.
    pub fn is_undelivered(&self, client_request_id: &str) -> bool {
        self.results.get(client_request_id).is_some_and(|stored| stored.undelivered.is_some())
    }

    /// Records that the last page of a result was sent.
    pub fn record_delivery(&mut self, client_request_id: &str, now: Instant) {
        let Some(stored) = self.results.get_mut(client_request_id) else { return };
        stored.undelivered = None;
        let expires_at = stored.expires_at.min(now + RETRY_TIME);
        let expired_at = std::mem::replace(&mut stored.expires_at, expires_at);
        self.by_expiry.remove(&(expired_at, client_request_id.to_owned()));
        self.by_expiry.insert((expires_at, client_request_id.to_owned()));
    }

    /// Removes the result that a path belongs to. Returns whether the result was stored.
    pub fn remove(&mut self, path: &str) -> bool {
        PagePath::parse(path).is_some_and(|page| self.remove_result(page.client_request_id))
    }

    /// Removes the results whose clients no longer wait for them.
    pub fn remove_expired(&mut self, now: Instant) {
        while let Some((expires_at, client_request_id)) = self.by_expiry.first()
            && *expires_at <= now
        {
            let client_request_id = client_request_id.clone();
            self.remove_result(&client_request_id);
        }
    }

    fn remove_result(&mut self, client_request_id: &str) -> bool {
        let Some(stored) = self.results.remove(client_request_id) else { return false };
        self.bytes = self.bytes.saturating_sub(total_bytes(&stored.bodies));
        self.memory.resize(self.bytes);
        self.by_expiry.remove(&(stored.expires_at, client_request_id.to_owned()));
        true
    }
}

/// The path of a page, `/page/NAME/NUMBER`. `NAME` is the client request id; numbers start at 0.
struct PagePath<'a> {
    client_request_id: &'a str,
    number: usize,
}

impl PagePath<'_> {
    fn parse(path: &str) -> Option<PagePath<'_>> {
        let (client_request_id, number) = path.strip_prefix("/page/")?.split_once('/')?;
        Some(PagePath { client_request_id, number: number.parse().ok()? })
    }
}

fn total_bytes(bodies: &[String]) -> usize {
    bodies.iter().map(String::len).sum()
}

/// Returns the body of a page. `rows` is JSON; `next_path` is the path of the next page, `None` for the last one.
pub fn page_body(rows: &str, next_path: Option<&str>) -> String {
    match next_path {
        Some(path) => format!("{{\"more\":\"{path}\",\"result\":[{rows}]}}"),
        None => format!("{{\"result\":[{rows}]}}"),
    }
}

/// Encodes rows as JSON and splits them into pages of at most `max_page_bytes`. A longer row has a page of its own.
pub fn split_into_pages(rows: &[Row], max_page_bytes: usize) -> Vec<String> {
    let mut pages = vec![String::new()];
    for row in rows {
        // Rows consist of text and nulls, whose encoding cannot fail.
        let json = serde_json::to_string(row).unwrap_or_default();
        let full =
            pages.last().is_some_and(|page| !page.is_empty() && page.len() + json.len() > max_page_bytes);
        if full {
            pages.push(String::new());
        }
        if let Some(page) = pages.last_mut() {
            if !page.is_empty() {
                page.push(',');
            }
            page.push_str(&json);
        }
    }
    pages
}

#[cfg(test)]
mod tests;
