//! How other tasks reach the service task.

use crate::core::{Answer, HandoverState, IncomingRequest, Input, Report, TenantReport};
use sanddyke_tenancy::TenantId;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// Messages that may wait for the service at once; a sender waits while the queue is full.
const QUEUE_CAPACITY: usize = 4096;

/// A message to the service task.
#[derive(Debug)]
pub enum Message {
    /// An event for the core.
    Input(Input),
    /// A request.
    Submit {
        /// The request.
        incoming: IncomingRequest,
        /// Where its answer is sent.
        reply: oneshot::Sender<Answer>,
    },
    /// A question about the state of the service.
    Query(Query),
}

/// A question about the state of the service, and where the reply is sent.
#[derive(Debug)]
pub enum Query {
    /// The state of the whole service.
    Report(oneshot::Sender<Report>),
    /// The state of some tenants.
    Usage {
        /// The tenants.
        tenants: Vec<TenantId>,
        /// Where the reply is sent; tenants that do not exist are not in it.
        reply: oneshot::Sender<HashMap<TenantId, TenantReport>>,
    },
    /// The number of requests without an answer.
    OpenRequests(oneshot::Sender<usize>),
    /// Whether enough engines have answered a health check.
    EnginesChecked(oneshot::Sender<bool>),
    /// The learned state.
    HandoverState(oneshot::Sender<HandoverState>),
}

/// The service has ended.
#[derive(Debug, Error)]
#[error("the service has ended")]
pub struct ServiceEnded;

/// A submitted request, whose answer is still to come.
#[derive(Debug)]
pub struct PendingResponse {
    /// The id that the request was given.
    pub request: u64,
    /// Where its answer arrives.
    pub answer: oneshot::Receiver<Answer>,
}

/// The way to the service task. Clones reach the same one.
#[derive(Debug, Clone)]
pub struct ServiceHandle {
    messages: mpsc::Sender<Message>,
    next_request: Arc<AtomicU64>,
}

impl ServiceHandle {
    /// A handle, and the queue from which the service receives.
    pub fn new() -> (ServiceHandle, mpsc::Receiver<Message>) {
        let (messages, queue) = mpsc::channel(QUEUE_CAPACITY);
        (ServiceHandle { messages, next_request: Arc::new(AtomicU64::new(1)) }, queue)
    }

    /// Notifies the core of an event.
    pub async fn notify(&self, input: Input) -> Result<(), ServiceEnded> {
        self.send(Message::Input(input)).await
    }

    /// Submits a request, under a new id.
    pub async fn submit(&self, mut incoming: IncomingRequest) -> Result<PendingResponse, ServiceEnded> {
        let (reply, answer) = oneshot::channel();
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        incoming.id = request;
        self.send(Message::Submit { incoming, reply }).await?;
        Ok(PendingResponse { request, answer })
    }

    /// The state of the whole service.
    pub async fn inspect(&self) -> Result<Report, ServiceEnded> {
        self.query(Query::Report).await
    }

    /// The state of some tenants; those that do not exist are left out.
    pub async fn usage(
        &self,
        tenants: Vec<TenantId>,
    ) -> Result<HashMap<TenantId, TenantReport>, ServiceEnded> {
        self.query(|reply| Query::Usage { tenants, reply }).await
    }

    /// The number of requests without an answer.
    pub async fn open_requests(&self) -> Result<usize, ServiceEnded> {
        self.query(Query::OpenRequests).await
    }

    /// Whether enough engines have answered a health check.
    pub async fn engines_checked(&self) -> Result<bool, ServiceEnded> {
        self.query(Query::EnginesChecked).await
    }

    /// The learned state, for the process that takes over.
    pub async fn handover_state(&self) -> Result<HandoverState, ServiceEnded> {
        self.query(Query::HandoverState).await
    }

    async fn send(&self, message: Message) -> Result<(), ServiceEnded> {
        self.messages.send(message).await.map_err(|_| ServiceEnded)
    }

    /// Sends a question and waits for the reply.
    async fn query<T>(&self, question: impl FnOnce(oneshot::Sender<T>) -> Query) -> Result<T, ServiceEnded> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Query(question(reply))).await?;
        answer.await.map_err(|_| ServiceEnded)
    }
}
