//! Pages of results that are too long for one answer. A page can be called again until the result is
//! deleted, or so many others have come after it.

use super::body;
use std::collections::{HashMap, VecDeque};

/// Results and bytes kept at once.
const MOST_RESULTS: usize = 512;
const MOST_BYTES: usize = 4 << 20;

/// The pages that clients may still call.
#[derive(Debug, Default)]
pub struct Pages {
    results: HashMap<String, Vec<String>>,
    order: VecDeque<String>,
    bytes: usize,
}

impl Pages {
    /// Keeps a result of several pages and gives the body of the first.
    pub fn keep(&mut self, name: &str, pages: Vec<String>) -> String {
        let last = pages.len() - 1;
        let path = |number: usize| format!("/page/{name}/{number}");
        let bodies = pages.iter().enumerate().map(|(at, rows)| {
            let more = (at < last).then(|| path(at + 1));
            body(rows, more.as_deref())
        });
        let bodies: Vec<String> = bodies.collect();
        let first = bodies[0].clone();
        self.bytes += bodies.iter().map(String::len).sum::<usize>();
        self.forget(name);
        self.results.insert(name.to_owned(), bodies);
        self.order.push_back(name.to_owned());
        while self.order.len() > MOST_RESULTS || self.bytes > MOST_BYTES {
            let Some(oldest) = self.order.front().cloned() else { break };
            self.forget(&oldest);
        }
        first
    }

    fn forget(&mut self, name: &str) -> bool {
        let Some(bodies) = self.results.remove(name) else { return false };
        self.bytes = self.bytes.saturating_sub(bodies.iter().map(String::len).sum());
        self.order.retain(|other| other != name);
        true
    }

    fn parts(path: &str) -> Option<(&str, usize)> {
        let (name, number) = path.strip_prefix("/page/")?.split_once('/')?;
        Some((name, number.parse().ok()?))
    }

    /// The body of a page.
    pub fn get(&self, path: &str) -> Option<String> {
        let (name, number) = Pages::parts(path)?;
        self.results.get(name)?.get(number).cloned()
    }

    /// Forgets the result that a page is of.
    pub fn remove(&mut self, path: &str) -> bool {
        Pages::parts(path).is_some_and(|(name, _)| self.forget(name))
    }
}
