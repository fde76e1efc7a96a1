//! A client of the administration API (`docs/admin.md`): blocking, with pages, entity tags and problems dealt
//! with. Calls that are safe to repeat are tried again where the service asks for time (429 and 503 with
//! `Retry-After`); others are not.
//!
//! ```no_run
//! use sanddyke_client::{Client, Options};
//!
//! let client = Client::new(Options { url: "http://127.0.0.1:8081".into(), token: "…".into(), ..Options::default() })?;
//! for tenant in client.tenants("") {
//!     let tenant = tenant?;
//!     println!("{} has {:.1} % of the service", tenant["name"], tenant["share"].as_f64().unwrap_or(0.0) * 100.0);
//! }
//! # Ok::<(), sanddyke_client::Error>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use sanddyke_tenancy::{GroupSpec, TenantSpec};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;
use ureq::tls::{Certificate, ClientCert, PrivateKey, RootCerts, TlsConfig};

/// Tries of a call that is safe to repeat.
const TRIES: u32 = 4;
/// The longest pause between two of them.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// A call that takes longer is given up; waiting for changes takes up to 25 s.
const WITHIN: Duration = Duration::from_secs(40);
/// The longest answer read (bytes).
const LONGEST_ANSWER: u64 = 64 << 20;

/// Where the service is, and who calls.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// The service's address, as `https://host:port`.
    pub url: String,
    /// The bearer token.
    pub token: String,
    /// PEM file of who signed the service's certificate.
    pub ca: Option<PathBuf>,
    /// PEM files of the caller's own certificate and key.
    pub identity: Option<(PathBuf, PathBuf)>,
}

/// Why a call failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The service refuses it: problem details (RFC 9457).
    #[error("{title}: {detail}")]
    Problem {
        /// The status.
        status: u16,
        /// The problem's code.
        code: String,
        /// In short.
        title: String,
        /// In words.
        detail: String,
    },
    /// The service can't be reached, or what it says can't be read.
    #[error("{0}: {1}")]
    Unreachable(String, String),
    /// A file of the options can't be used.
    #[error("{0}: {1}")]
    File(PathBuf, String),
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its body: JSON, or text as a string.
    pub body: Value,
    /// The entity tag, where there is one.
    pub etag: Option<String>,
}

/// A client.
#[derive(Debug, Clone)]
pub struct Client {
    agent: ureq::Agent,
    options: Options,
}

fn pem(path: &PathBuf) -> Result<Vec<u8>, Error> {
    std::fs::read(path).map_err(|error| Error::File(path.clone(), error.to_string()))
}

impl Client {
    /// A client; nothing is sent yet.
    pub fn new(options: Options) -> Result<Client, Error> {
        let mut tls = TlsConfig::builder();
        if let Some(path) = &options.ca {
            let wrong = |error: ureq::Error| Error::File(path.clone(), error.to_string());
            let root = Certificate::from_pem(&pem(path)?).map_err(wrong)?;
            tls = tls.root_certs(RootCerts::new_with_certs(&[root]));
        }
        if let Some((certificate, key)) = &options.identity {
            let wrong = |path: &PathBuf| {
                let path = path.clone();
                move |error: ureq::Error| Error::File(path, error.to_string())
            };
            let chain = [Certificate::from_pem(&pem(certificate)?).map_err(wrong(certificate))?];
            let private = PrivateKey::from_pem(&pem(key)?).map_err(wrong(key))?;
            tls = tls.client_cert(Some(ClientCert::new_with_certs(&chain, private)));
        }
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(WITHIN))
            .tls_config(tls.build())
            .build();
        Ok(Client { agent: config.new_agent(), options })
    }

    /// Calls the API; `if_match` goes out as it is.
    pub fn call(
        &self,
        method: &str,
        target: &str,
        body: &str,
        fields: &[(&str, &str)],
    ) -> Result<Answer, Error> {
        let mut tried = 1;
        loop {
            let (status, wait, answer) = self.once(method, target, body, fields)?;
            if status < 300 {
                return Ok(answer);
            }
            let again = method == "GET" && matches!(status, 429 | 503) && tried < TRIES;
            let Some(wait) = wait.filter(|_| again) else { return Err(problem(status, &answer.body)) };
            std::thread::sleep(wait.min(LONGEST_PAUSE));
            tried += 1;
        }
    }

    fn once(
        &self,
        method: &str,
        target: &str,
        body: &str,
        fields: &[(&str, &str)],
    ) -> Result<(u16, Option<Duration>, Answer), Error> {
        let url = format!("{}{target}", self.options.url.trim_end_matches('/'));
        let failed = |error: String| Error::Unreachable(url.clone(), error);
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(&url)
            .header("Authorization", format!("Bearer {}", self.options.token));
        for (name, value) in fields {
            request = request.header(*name, *value);
        }
        let request = request.body(body.to_owned()).map_err(|error| failed(error.to_string()))?;
        let mut response = self.agent.run(request).map_err(|error| failed(error.to_string()))?;
        let field = |name: &str| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let (status, etag) = (response.status().as_u16(), field("ETag"));
        let wait = field("Retry-After").and_then(|seconds| seconds.parse().ok()).map(Duration::from_secs);
        let text = response.body_mut().with_config().limit(LONGEST_ANSWER).read_to_string();
        let text = text.map_err(|error| failed(error.to_string()))?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Ok((status, wait, Answer { body, etag }))
    }

    /// Reads a path.
    pub fn get(&self, target: &str) -> Result<Value, Error> {
        self.call("GET", target, "", &[]).map(|answer| answer.body)
    }

    /// All tenants, by pages as they are wanted; `filter` is added to the query, as `&state=active`.
    pub fn tenants(&self, filter: &str) -> Pages<'_> {
        let target = format!("/v1/tenants?limit=500{filter}");
        Pages { client: self, target, key: "tenants", cursor: Some(String::new()), rows: VecDeque::new() }
    }

    /// The audit trail, the newest first; `filter` as `&tenant=NAME`.
    pub fn audit(&self, filter: &str) -> Pages<'_> {
        let target = format!("/v1/audit?limit=500{filter}");
        Pages { client: self, target, key: "entries", cursor: Some(String::new()), rows: VecDeque::new() }
    }

    /// Makes a tenant. With a key the call may be repeated until it is answered: one tenant is made.
    pub fn create_tenant(&self, name: &str, spec: &TenantSpec, key: Option<&str>) -> Result<Value, Error> {
        let fields: Vec<(&str, &str)> = key.map(|key| ("Idempotency-Key", key)).into_iter().collect();
        let body = with_name(name, spec)?;
        self.call("POST", "/v1/tenants", &body.to_string(), &fields).map(|answer| answer.body)
    }

    /// Makes a group.
    pub fn create_group(&self, name: &str, spec: &GroupSpec) -> Result<Value, Error> {
        self.call("POST", "/v1/groups", &with_name(name, spec)?.to_string(), &[]).map(|answer| answer.body)
    }

    /// Changes a tenant or group by a merge patch worked out from what is there, and works it out anew where
    /// another change came between.
    pub fn update(&self, target: &str, mut patch: impl FnMut(&Value) -> Value) -> Result<Value, Error> {
        let mut tried = 1;
        loop {
            let seen = self.call("GET", target, "", &[])?;
            let tag = seen.etag.unwrap_or_else(|| "*".to_owned());
            let body = patch(&seen.body).to_string();
            match self.call("PATCH", target, &body, &[("If-Match", &tag)]) {
                Err(Error::Problem { status: 412, .. }) if tried < TRIES => tried += 1,
                other => return other.map(|answer| answer.body),
            }
        }
    }

    /// Changes after a generation, or of now on; waits for one. Gives them, and the generation to go on from.
    pub fn watch(&self, after: Option<u64>, wait: Duration) -> Result<(Vec<Value>, u64), Error> {
        let after = after.map_or(String::new(), |after| format!("&after={after}"));
        let told = self.get(&format!("/v1/watch?wait_ms={}{after}", wait.as_millis()))?;
        let changes = told["changes"].as_array().cloned().unwrap_or_default();
        Ok((changes, told["next"].as_u64().unwrap_or(0)))
    }
}

fn with_name<T: serde::Serialize>(name: &str, spec: &T) -> Result<Value, Error> {
    let value = serde_json::to_value(spec);
    let mut value = value.map_err(|error| Error::Unreachable(name.to_owned(), error.to_string()))?;
    value["name"] = json!(name);
    Ok(value)
}

fn problem(status: u16, body: &Value) -> Error {
    let text = |key: &str| body[key].as_str().unwrap_or("").to_owned();
    let code = text("type").rsplit(':').next().unwrap_or("").to_owned();
    let detail = if body.is_string() { body.as_str().unwrap_or("").to_owned() } else { text("detail") };
    Error::Problem { status, code, title: text("title"), detail }
}

/// Rows of a list, page after page.
#[derive(Debug)]
pub struct Pages<'a> {
    client: &'a Client,
    target: String,
    key: &'static str,
    cursor: Option<String>,
    rows: VecDeque<Value>,
}

impl Iterator for Pages<'_> {
    type Item = Result<Value, Error>;

    fn next(&mut self) -> Option<Self::Item> {
        while self.rows.is_empty() {
            let cursor = self.cursor.take()?;
            let cursor = if cursor.is_empty() { cursor } else { format!("&cursor={cursor}") };
            let page = match self.client.get(&format!("{}{cursor}", self.target)) {
                Ok(page) => page,
                Err(error) => return Some(Err(error)),
            };
            self.cursor = page["next"].as_str().map(str::to_owned);
            self.rows.extend(page[self.key].as_array().cloned().unwrap_or_default());
        }
        self.rows.pop_front().map(Ok)
    }
}
