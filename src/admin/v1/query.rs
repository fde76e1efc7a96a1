//! Query strings and conditions of calls.

use crate::admin::problem::Problem;
use crate::admin::routes::Route;
use crate::frontend::http::message::Request;
use sanddyke_tenancy::{Generation, State};
use serde::Deserialize;
use std::collections::BTreeSet;

/// Entries of a page at most.
const MAX_PAGE: usize = 1000;
/// Entries of a page where the caller asks for no number.
const DEFAULT_PAGE: usize = 100;

/// The keys of all query strings; each route names those that it takes.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct Query {
    limit: Option<usize>,
    /// Where the page begins: the cursor of the page before.
    pub cursor: Option<u64>,
    pub state: Option<State>,
    pub group: Option<String>,
    pub tenant: Option<String>,
    /// Say what would change, and change nothing.
    pub dry_run: bool,
    /// Remove what the imported document does not name.
    pub prune: bool,
    /// Changes after this generation.
    pub after: Option<u64>,
    /// How long to wait for changes.
    pub wait_ms: Option<u64>,
}

impl Query {
    /// Parses a request's query string. Each key may stand there once, and only where the route takes it.
    pub(super) fn parse(request: &Request, route: &Route) -> Result<Query, Problem> {
        let text = request.target.split_once('?').map_or("", |(_, query)| query);
        let invalid = |detail: String| Problem::new(400, "query", detail);
        let pairs: Vec<(String, String)> =
            serde_urlencoded::from_str(text).map_err(|error| invalid(error.to_string()))?;
        let mut keys = BTreeSet::new();
        for (key, _) in &pairs {
            if !route.query.split_whitespace().any(|known| known == key) {
                return Err(invalid(format!("unknown key {key:?}")));
            }
            if !keys.insert(key) {
                return Err(invalid(format!("{key} is there twice")));
            }
        }
        serde_urlencoded::from_str(text).map_err(|error| invalid(error.to_string()))
    }

    /// The number of entries on the page.
    pub(super) fn page_size(&self) -> Result<usize, Problem> {
        match self.limit.unwrap_or(DEFAULT_PAGE) {
            limit if (1..=MAX_PAGE).contains(&limit) => Ok(limit),
            _ => Err(Problem::new(400, "query", format!("limit must be from 1 to {MAX_PAGE}"))),
        }
    }
}

/// The `If-Match` field of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IfMatch {
    /// It has none.
    Absent,
    /// `*`: whatever is there.
    Any,
    /// The entity tag of one generation.
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
