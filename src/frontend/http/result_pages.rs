//! Stores results that are too long for one response and are therefore split into pages.
//!
//! A page can be read until its result is deleted or evicted. The oldest results are evicted to make room for new ones.

use crate::core::Row;
use std::collections::{HashMap, VecDeque};

/// The maximum number of stored results.
const MAX_RESULTS: usize = 512;
/// The maximum total size of the stored pages.
const MAX_BYTES: usize = 4 << 20;

/// The pages that clients may still read, by client request id.
#[derive(Debug, Default)]
pub struct ResultPages {
    results: HashMap<String, Vec<String>>,
    /// The client request ids, in the order in which their results were inserted.
    insertion_order: VecDeque<String>,
    bytes: usize,
}

impl ResultPages {
    /// Stores a result of several pages and returns the body of the first page. Each body names the path of the next
    /// one.
    pub fn insert(&mut self, client_request_id: &str, pages: Vec<String>) -> String {
        let last = pages.len() - 1;
        let bodies = pages.iter().enumerate().map(|(number, rows)| {
            let next_path = (number < last).then(|| format!("/page/{client_request_id}/{}", number + 1));
            page_body(rows, next_path.as_deref())
        });
        let bodies: Vec<String> = bodies.collect();
        let first = bodies[0].clone();
        self.bytes += total_bytes(&bodies);
        self.remove_result(client_request_id);
        self.results.insert(client_request_id.to_owned(), bodies);
        self.insertion_order.push_back(client_request_id.to_owned());
        while self.insertion_order.len() > MAX_RESULTS || self.bytes > MAX_BYTES {
            let Some(oldest) = self.insertion_order.front().cloned() else { break };
            self.remove_result(&oldest);
        }
        first
    }

    /// Returns the body of the page at a path; `None` if there is no such page.
    pub fn get(&self, path: &str) -> Option<String> {
        let page = PagePath::parse(path)?;
        self.results.get(page.client_request_id)?.get(page.number).cloned()
    }

    /// Removes the result that a path belongs to. Returns whether the result was stored.
    pub fn remove(&mut self, path: &str) -> bool {
        PagePath::parse(path).is_some_and(|page| self.remove_result(page.client_request_id))
    }

    fn remove_result(&mut self, client_request_id: &str) -> bool {
        let Some(bodies) = self.results.remove(client_request_id) else { return false };
        self.bytes = self.bytes.saturating_sub(total_bytes(&bodies));
        self.insertion_order.retain(|other| other != client_request_id);
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
