//! A blocking client of the administration API (`docs/admin.md`). It handles pagination, entity tags and problem
//! details. Reads are retried if the service responds 429 or 503 with `Retry-After`; changes are not.
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
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use ureq::tls::{Certificate, ClientCert, PrivateKey, RootCerts, TlsConfig};

/// Maximum number of attempts for a read, and for an update whose entity tag is outdated.
const MAX_ATTEMPTS: u32 = 4;
/// Maximum wait between two attempts.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Timeout of a call. It exceeds the 25 s for which a call may wait for changes.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);
/// Maximum length of a response body (bytes).
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Address of the service, and the credentials for calling it.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// URL of the service, as `https://host:port`; a trailing slash is ignored.
    pub url: String,
    /// Bearer token, sent with each call.
    pub token: String,
    /// PEM file of the authority that signed the service's certificate; `None` for the default root certificates.
    pub ca: Option<PathBuf>,
    /// Client certificate; `None` if the service requires none.
    pub identity: Option<Identity>,
}

/// Files of a client certificate and its private key.
#[derive(Debug, Clone)]
pub struct Identity {
    /// PEM file of the certificate.
    pub certificate: PathBuf,
    /// PEM file of its private key.
    pub private_key: PathBuf,
}

/// Why a call failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The service rejected the call, with problem details (RFC 9457).
    #[error("{title}: {detail}")]
    Problem {
        /// HTTP status.
        status: u16,
        /// Code of the problem, which is the part of its type after the last colon.
        code: String,
        /// Short description of the type.
        title: String,
        /// Description of this occurrence.
        detail: String,
    },
    /// The service cannot be reached, its response cannot be read, or a body cannot be encoded.
    #[error("{target}: {reason}")]
    Unreachable {
        /// URL of the call, or the name of the tenant or group whose body cannot be encoded.
        target: String,
        /// Error of the HTTP client or of the encoder.
        reason: String,
    },
    /// A file of the options cannot be read, or its contents are invalid.
    #[error("{path}: {reason}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of reading or parsing it.
        reason: String,
    },
}

impl Error {
    fn file(path: &Path, reason: impl ToString) -> Error {
        Error::File { path: path.to_owned(), reason: reason.to_string() }
    }
}

/// The response to a successful call.
#[derive(Debug, Clone)]
pub struct Response {
    /// The body as JSON; a body that is not JSON is a string.
    pub body: Value,
    /// The entity tag; `None` if the response has none.
    pub etag: Option<String>,
}

/// Changes since a generation.
#[derive(Debug, Clone)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Value>,
    /// The generation to pass to the next [`Client::watch`].
    pub next: u64,
}

/// The response to one attempt, whatever its status.
struct AttemptResponse {
    status: u16,
    retry_after: Option<Duration>,
    response: Response,
}

/// A client of one service.
#[derive(Debug, Clone)]
pub struct Client {
    agent: ureq::Agent,
    options: Options,
}

fn read_pem(path: &Path) -> Result<Vec<u8>, Error> {
    std::fs::read(path).map_err(|error| Error::file(path, error))
}

fn read_certificate(path: &Path) -> Result<Certificate<'static>, Error> {
    Certificate::from_pem(&read_pem(path)?).map_err(|error| Error::file(path, error))
}

fn read_private_key(path: &Path) -> Result<PrivateKey<'static>, Error> {
    PrivateKey::from_pem(&read_pem(path)?).map_err(|error| Error::file(path, error))
}

impl Client {
    /// Creates a client without connecting to the service.
    ///
    /// # Errors
    /// [`Error::File`] if a certificate or key cannot be read.
    pub fn new(options: Options) -> Result<Client, Error> {
        let mut tls = TlsConfig::builder();
        if let Some(path) = &options.ca {
            let root = read_certificate(path)?;
            tls = tls.root_certs(RootCerts::new_with_certs(&[root]));
        }
        if let Some(identity) = &options.identity {
            let chain = [read_certificate(&identity.certificate)?];
            let private_key = read_private_key(&identity.private_key)?;
            tls = tls.client_cert(Some(ClientCert::new_with_certs(&chain, private_key)));
        }
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            // Responses name no request: on a connection that is used again, a late second one would pass for the next.
            .max_idle_connections(0)
            .tls_config(tls.build())
            .build();
        Ok(Client { agent: config.new_agent(), options })
    }

    /// Calls the API with additional header fields, such as `If-Match`. A read that is answered 429 or 503 is retried
    /// after the time in `Retry-After`, at most 5 s.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if the service cannot be reached, [`Error::Problem`] if it rejects the call.
    pub fn call(
        &self,
        method: &str,
        target: &str,
        body: &str,
        fields: &[(&str, &str)],
    ) -> Result<Response, Error> {
        let mut attempts = 1;
        loop {
            let AttemptResponse { status, retry_after, response } =
                self.attempt(method, target, body, fields)?;
            if status < 300 {
                return Ok(response);
            }
            let may_retry = method == "GET" && matches!(status, 429 | 503) && attempts < MAX_ATTEMPTS;
            let Some(retry_after) = retry_after.filter(|_| may_retry) else {
                return Err(problem(status, &response.body));
            };
            std::thread::sleep(retry_after.min(MAX_RETRY_AFTER));
            attempts += 1;
        }
    }

    fn attempt(
        &self,
        method: &str,
        target: &str,
        body: &str,
        fields: &[(&str, &str)],
    ) -> Result<AttemptResponse, Error> {
        let url = format!("{}{target}", self.options.url.trim_end_matches('/'));
        let failed = |reason: String| Error::Unreachable { target: url.clone(), reason };
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
        let status = response.status().as_u16();
        let etag = field("ETag");
        let retry_after_s = field("Retry-After").and_then(|seconds| seconds.parse().ok());
        let text = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_string();
        let text = text.map_err(|error| failed(error.to_string()))?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        let retry_after = retry_after_s.map(Duration::from_secs);
        Ok(AttemptResponse { status, retry_after, response: Response { body, etag } })
    }

    /// Reads a resource and returns its body.
    pub fn get(&self, target: &str) -> Result<Value, Error> {
        self.call("GET", target, "", &[]).map(|response| response.body)
    }

    /// Returns all tenants, in pages that are read on demand. `filter` is appended to the query string, such as
    /// `&state=active`.
    pub fn tenants(&self, filter: &str) -> Pages<'_> {
        let target = format!("/v1/tenants?limit=500{filter}");
        Pages { client: self, target, key: "tenants", cursor: Some(String::new()), rows: VecDeque::new() }
    }

    /// Returns the entries of the audit trail, newest first, in pages that are read on demand. `filter` is appended to
    /// the query string, such as `&tenant=NAME`.
    pub fn audit(&self, filter: &str) -> Pages<'_> {
        let target = format!("/v1/audit?limit=500{filter}");
        Pages { client: self, target, key: "entries", cursor: Some(String::new()), rows: VecDeque::new() }
    }

    /// Creates a tenant. With an idempotency key the call can be repeated until there is a response, and creates only
    /// one tenant.
    pub fn create_tenant(&self, name: &str, spec: &TenantSpec, key: Option<&str>) -> Result<Value, Error> {
        let fields: Vec<(&str, &str)> = key.map(|key| ("Idempotency-Key", key)).into_iter().collect();
        let body = with_name(name, spec)?;
        self.call("POST", "/v1/tenants", &body.to_string(), &fields).map(|response| response.body)
    }

    /// Creates a group and returns the response body.
    pub fn create_group(&self, name: &str, spec: &GroupSpec) -> Result<Value, Error> {
        self.call("POST", "/v1/groups", &with_name(name, spec)?.to_string(), &[])
            .map(|response| response.body)
    }

    /// Updates a tenant or group by a merge patch that `patch` computes from its current state. The patch is computed
    /// again if the resource was changed in the meantime.
    pub fn update(&self, target: &str, mut patch: impl FnMut(&Value) -> Value) -> Result<Value, Error> {
        let mut attempts = 1;
        loop {
            let current = self.call("GET", target, "", &[])?;
            let etag = current.etag.unwrap_or_else(|| "*".to_owned());
            let body = patch(&current.body).to_string();
            match self.call("PATCH", target, &body, &[("If-Match", &etag)]) {
                Err(Error::Problem { status: 412, .. }) if attempts < MAX_ATTEMPTS => attempts += 1,
                result => return result.map(|response| response.body),
            }
        }
    }

    /// Waits up to `wait` for changes after the generation `after`, or for changes from now on if it is `None`.
    pub fn watch(&self, after: Option<u64>, wait: Duration) -> Result<Changes, Error> {
        let after = after.map_or(String::new(), |after| format!("&after={after}"));
        let body = self.get(&format!("/v1/watch?wait_ms={}{after}", wait.as_millis()))?;
        let changes = body["changes"].as_array().cloned().unwrap_or_default();
        Ok(Changes { changes, next: body["next"].as_u64().unwrap_or(0) })
    }
}

fn with_name<T: serde::Serialize>(name: &str, spec: &T) -> Result<Value, Error> {
    let value = serde_json::to_value(spec);
    let mut value =
        value.map_err(|error| Error::Unreachable { target: name.to_owned(), reason: error.to_string() })?;
    value["name"] = json!(name);
    Ok(value)
}

fn problem(status: u16, body: &Value) -> Error {
    let text = |key: &str| body[key].as_str().unwrap_or("").to_owned();
    let code = text("type").rsplit(':').next().unwrap_or("").to_owned();
    let detail = if body.is_string() { body.as_str().unwrap_or("").to_owned() } else { text("detail") };
    Error::Problem { status, code, title: text("title"), detail }
}

/// An iterator over the rows of a list, which is read page by page. It ends after the first error.
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
