//! The handle through which other tasks send messages to the service task.

use crate::core::{Answer, HandoverState, IncomingRequest, Input, Report, TenantReport};
use sanddyke_tenancy::TenantId;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the message queue. A sender waits while the queue is full.
const QUEUE_CAPACITY: usize = 4096;

/// A message to the service task.
#[derive(Debug)]
pub enum Message {
    /// An input event for the core.
    Input(Input),
    /// Submits a client's request.
    Submit {
        /// The request, with the id that [`ServiceHandle::submit`] assigned.
        incoming: IncomingRequest,
        /// Receives the request's final answer.
        reply: oneshot::Sender<Answer>,
    },
    /// A query for the state of the service.
    Query(Query),
}

/// A query for the state of the service, with the channel that receives the reply.
#[derive(Debug)]
pub enum Query {
    /// A report on the whole service.
    Report(oneshot::Sender<Report>),
    /// The usage of some tenants.
    Usage {
        /// The ids of the tenants.
        tenants: Vec<TenantId>,
        /// Receives the usage by tenant, without tenants that do not exist.
        reply: oneshot::Sender<HashMap<TenantId, TenantReport>>,
    },
    /// The number of requests without a final answer.
    OpenRequests(oneshot::Sender<usize>),
    /// Whether enough engines have answered a health check.
    EnginesChecked(oneshot::Sender<bool>),
    /// The learned state, for the next process of this manager.
    HandoverState(oneshot::Sender<HandoverState>),
}

/// The service task has ended, so it can't receive messages or reply.
#[derive(Debug, Error)]
#[error("the service has ended")]
pub struct ServiceEnded;

/// A submitted request whose final answer is pending.
#[derive(Debug)]
pub struct PendingResponse {
    /// The request id that [`ServiceHandle::submit`] assigned.
    pub request: u64,
    /// Receives the final answer.
    pub answer: oneshot::Receiver<Answer>,
}

/// Sends messages to the service task. All clones send to the same task.
#[derive(Debug, Clone)]
pub struct ServiceHandle {
    messages: mpsc::Sender<Message>,
    next_request: Arc<AtomicU64>,
}

impl ServiceHandle {
    /// Creates a handle and the queue from which the service task receives.
    pub fn new() -> (ServiceHandle, mpsc::Receiver<Message>) {
        let (messages, queue) = mpsc::channel(QUEUE_CAPACITY);
        (ServiceHandle { messages, next_request: Arc::new(AtomicU64::new(1)) }, queue)
    }

    /// Passes an input event to the core.
    pub async fn notify(&self, input: Input) -> Result<(), ServiceEnded> {
        self.send(Message::Input(input)).await
    }

    /// Submits a request under a new request id.
    pub async fn submit(&self, mut incoming: IncomingRequest) -> Result<PendingResponse, ServiceEnded> {
        let (reply, answer) = oneshot::channel();
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        incoming.id = request;
        self.send(Message::Submit { incoming, reply }).await?;
        Ok(PendingResponse { request, answer })
    }

    /// Returns a report on the whole service.
    pub async fn inspect(&self) -> Result<Report, ServiceEnded> {
        self.query(Query::Report).await
    }

    /// Returns the usage of some tenants, without those that do not exist.
    pub async fn usage(
        &self,
        tenants: Vec<TenantId>,
    ) -> Result<HashMap<TenantId, TenantReport>, ServiceEnded> {
        self.query(|reply| Query::Usage { tenants, reply }).await
    }

    /// Returns the number of requests without a final answer.
    pub async fn open_requests(&self) -> Result<usize, ServiceEnded> {
        self.query(Query::OpenRequests).await
    }

    /// Returns whether enough engines have answered a health check.
    pub async fn engines_checked(&self) -> Result<bool, ServiceEnded> {
        self.query(Query::EnginesChecked).await
    }

    /// Returns the learned state, for the next process of this manager.
    pub async fn handover_state(&self) -> Result<HandoverState, ServiceEnded> {
        self.query(Query::HandoverState).await
    }

    async fn send(&self, message: Message) -> Result<(), ServiceEnded> {
        self.messages.send(message).await.map_err(|_| ServiceEnded)
    }

    /// Sends a query and waits for the reply.
    async fn query<T>(&self, to_query: impl FnOnce(oneshot::Sender<T>) -> Query) -> Result<T, ServiceEnded> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Query(to_query(reply))).await?;
        answer.await.map_err(|_| ServiceEnded)
    }
}
