//! Parsing of query strings and `If-Match` fields.

use crate::admin::problem::Problem;
use crate::admin::routes::Route;
use crate::frontend::http::message::Request;
use sanddyke_tenancy::{Generation, State};
use serde::Deserialize;
use std::collections::BTreeSet;

/// Maximum number of entries per page.
const MAX_PAGE_SIZE: usize = 1000;
/// Number of entries per page if the caller sends no `limit`.
const DEFAULT_PAGE_SIZE: usize = 100;

/// The query keys of all calls. Each route lists the keys that it accepts.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct Query {
    limit: Option<usize>,
    /// Cursor from the previous page; `None` for the first page.
    pub cursor: Option<u64>,
    pub state: Option<State>,
    pub group: Option<String>,
    pub tenant: Option<String>,
    /// Report the effect of the change without applying it.
    pub dry_run: bool,
    /// Remove tenants and groups that the imported document does not contain.
    pub prune: bool,
    /// Return changes after this generation; `None` for those after the current one.
    pub after: Option<u64>,
    /// Maximum wait for changes in milliseconds.
    pub wait_ms: Option<u64>,
}

impl Query {
    /// Parses a request's query string. A key that the route does not accept, or that occurs twice, is an error.
    pub(super) fn parse(request: &Request, route: &Route) -> Result<Query, Problem> {
        let text = request.target.split_once('?').map_or("", |(_, query)| query);
        let invalid = |detail: String| Problem::new(400, "query", detail);
        let pairs: Vec<(String, String)> =
            serde_urlencoded::from_str(text).map_err(|error| invalid(error.to_string()))?;
        let mut keys = BTreeSet::new();
        for (key, _) in &pairs {
            if !route.query_keys.split_whitespace().any(|known| known == key) {
                return Err(invalid(format!("unknown key {key:?}")));
            }
            if !keys.insert(key) {
                return Err(invalid(format!("{key} is there twice")));
            }
        }
        serde_urlencoded::from_str(text).map_err(|error| invalid(error.to_string()))
    }

    /// Returns the number of entries per page.
    pub(super) fn page_size(&self) -> Result<usize, Problem> {
        match self.limit.unwrap_or(DEFAULT_PAGE_SIZE) {
            limit if (1..=MAX_PAGE_SIZE).contains(&limit) => Ok(limit),
            _ => Err(Problem::new(400, "query", format!("limit must be from 1 to {MAX_PAGE_SIZE}"))),
        }
    }
}

/// The `If-Match` field of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IfMatch {
    /// The request has no such field.
    Absent,
    /// `*`: any generation matches.
    Any,
    /// An entity tag: exactly this generation matches.
    Generation(Generation),
}

impl IfMatch {
    pub(super) fn of(request: &Request) -> Result<IfMatch, Problem> {
        let Some(text) = request.field("If-Match").map(str::trim) else { return Ok(IfMatch::Absent) };
        if text == "*" {
            return Ok(IfMatch::Any);
        }
        let number = text.strip_prefix('"').and_then(|text| text.strip_suffix('"'));
        match number.and_then(|number| number.parse().ok()) {
            Some(number) => Ok(IfMatch::Generation(Generation(number))),
            None => Err(Problem::new(400, "if_match", "If-Match must be * or one entity tag, as \"12\"")),
        }
    }

    pub(super) fn generation(self) -> Option<Generation> {
        match self {
            IfMatch::Generation(generation) => Some(generation),
            IfMatch::Absent | IfMatch::Any => None,
        }
    }
}
