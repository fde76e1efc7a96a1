//! Queries and administration calls to a fleet's managers, and polling of their views of the fleet.

use super::{Fleet, TENANT, TIMEOUT};
use crate::TestbedError;
use crate::program::call;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time between two polls of a manager's view.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two rounds of a call that any manager may accept.
const CALL_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The response to a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueryResponse {
    /// HTTP status; 0 if the response has no valid status line.
    pub status: u16,
    /// Time from the connection attempt to the end of the response.
    pub latency: Duration,
}

impl Fleet {
    /// Creates [`TENANT`] at every running manager, since each manager has its own store.
    pub async fn create_tenant(&self) -> Result<(), TestbedError> {
        for number in self.running() {
            let body = json!({ "name": TENANT }).to_string();
            call(self.admin_address(number), "POST", "/v1/tenants", &body).await?;
        }
        Ok(())
    }

    /// Sends a query with this transaction number to a manager and waits for the response.
    pub async fn query(&self, manager: usize, transaction: u64) -> Result<QueryResponse, TestbedError> {
        let start = Instant::now();
        let body = "work=5 SELECT 1 FROM s_1.t";
        let request = format!(
            "POST /do/lookup HTTP/1.1\r\nHost: rig\r\nX-Txn: {transaction:016x}\r\nX-Ttl-Ms: 3000\r\nX-Merchant: {TENANT}\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let status = exchange(self.client_address(manager), &request).await?;
        Ok(QueryResponse { status, latency: start.elapsed() })
    }

    /// Calls a manager's operations endpoint and returns the HTTP status.
    pub async fn call_operations_endpoint(
        &self,
        number: usize,
        method: &str,
        target: &str,
    ) -> Result<u16, TestbedError> {
        let request = format!("{method} {target} HTTP/1.1\r\nHost: rig\r\nContent-Length: 0\r\n\r\n");
        exchange(self.managers[number].operations_address(), &request).await
    }

    /// Calls a manager's administration API without a body and returns the response body.
    pub async fn call(&self, number: usize, method: &str, target: &str) -> Result<Value, TestbedError> {
        call(self.admin_address(number), method, target, "").await
    }

    /// Posts to the administration API of each running manager in turn until one accepts, and returns its number.
    ///
    /// # Errors
    /// The last error, if no manager accepts the call within 60 s.
    pub async fn post_to_any(&self, target: &str, body: &str) -> Result<usize, TestbedError> {
        let start = Instant::now();
        loop {
            let mut last_error = None;
            for number in self.running() {
                match call(self.admin_address(number), "POST", target, body).await {
                    Ok(_) => return Ok(number),
                    Err(error) => last_error = Some(error),
                }
            }
            if start.elapsed() > TIMEOUT {
                return Err(last_error
                    .unwrap_or(TestbedError::Program(format!("no manager is running for POST {target}"))));
            }
            tokio::time::sleep(CALL_RETRY_INTERVAL).await;
        }
    }

    /// One manager's view of the fleet, from `/v1/fleet`.
    pub async fn view(&self, number: usize) -> Result<Value, TestbedError> {
        self.call(number, "GET", "/v1/fleet").await
    }

    /// Waits until one manager's view of the fleet meets `condition`; `description` states it in the error message.
    pub async fn wait_for_view(
        &self,
        number: usize,
        description: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> Result<Value, TestbedError> {
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            if let Ok(view) = self.view(number).await
                && condition(&view)
            {
                return Ok(view);
            }
            tokio::time::sleep(VIEW_POLL_INTERVAL).await;
        }
        Err(TestbedError::Program(format!(
            "the fleet view of m{number} did not show {description} within {TIMEOUT:?}"
        )))
    }

    /// The first running manager whose own view shows that it holds the lease.
    pub async fn holder(&self, lease: &str) -> Option<usize> {
        for number in self.running() {
            let Ok(view) = self.view(number).await else { continue };
            let leases = view["duties"].as_array().cloned().unwrap_or_default();
            if leases.iter().any(|view| view["name"] == lease && view["left_ms"].is_u64()) {
                return Some(number);
            }
        }
        None
    }

    /// Waits until a manager other than `previous` holds a lease.
    ///
    /// # Errors
    /// If there is no such holder within 60 s; the message contains the views of all running managers.
    pub async fn wait_for_holder(&self, lease: &str, previous: Option<usize>) -> Result<usize, TestbedError> {
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            if let Some(holder) = self.holder(lease).await.filter(|holder| Some(*holder) != previous) {
                return Ok(holder);
            }
            tokio::time::sleep(VIEW_POLL_INTERVAL).await;
        }
        let mut views = String::new();
        for number in self.running() {
            match self.view(number).await {
                Ok(view) => views.push_str(&format!("; m{number}: {view}")),
                Err(error) => views.push_str(&format!("; m{number}: {error}")),
            }
        }
        Err(TestbedError::Program(format!(
            "no new holder of lease {lease} within {TIMEOUT:?} (previous holder: {previous:?}){views}"
        )))
    }
}

/// Sends an HTTP request, reads the response to its end, and returns its status, or 0 without a valid status line.
async fn exchange(address: SocketAddr, request: &str) -> Result<u16, TestbedError> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    let status = response.get(9..12).and_then(|status| status.parse().ok());
    Ok(status.unwrap_or(0))
}
