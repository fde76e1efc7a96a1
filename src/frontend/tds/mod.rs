//! The TDS front: logins, batches and calls of `sp_executesql` on the same core as HTTP. What travels how,
//! and the numbers of the errors, stands in `docs/tds.md`.

mod tls;

use self::tls::Stream;
use super::ConnectionPermit;
use crate::clock::Micros;
use crate::core::{Answer, IncomingRequest, Input};
use crate::lifecycle::LifecycleHandle;
use crate::service::ServiceHandle;
use crate::sql;
use crate::tds::login::{self, ENCRYPT_NOT_SUPPORTED, ENCRYPT_ON, ENCRYPT_REQUIRED};
use crate::tds::packet::{self, Message, Messages};
use crate::tds::token::{self, To};
use crate::tenant_directory::Directory;
use bytes::BytesMut;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;

/// Refused: the number that clients know as "busy, retry later".
pub const REFUSED: u32 = 40501;
/// Refused by a limit of its tenant's that passes by itself: a resource limit that drivers wait out.
pub const LIMITED: u32 = 10928;
/// Refused for its tenant's sake until an operator changes something: permission denied.
pub const FORBIDDEN: u32 = 229;
/// The login failed.
pub const LOGIN_FAILED: u32 = 18456;
/// Failed, with no promise.
pub const FAILED: u32 = 50010;
/// The request could not be used.
pub const UNUSABLE: u32 = 50011;
/// Ended by an operator.
pub const CANCELLED: u32 = 50012;

/// A client is logged in, or let go, by then; a message that it has begun is there whole in the same time.
const LOGIN_TIME: Duration = Duration::from_millis(2800);
const MESSAGE_TIME: Duration = Duration::from_millis(2500);
const IDLE_TIME: Duration = Duration::from_secs(1800);

/// What every connection of this front knows.
#[derive(Debug)]
pub struct Tds {
    /// The way to the core.
    pub handle: ServiceHandle,
    /// The program's lifecycle.
    pub lifecycle: LifecycleHandle,
    /// What encrypts the wire, where it is encrypted.
    pub tls: Option<Arc<ServerConfig>>,
    /// Who belongs to which tenant.
    pub directory: Directory,
    /// The class of a request that names none.
    pub class: String,
    /// The time budget of one that names none.
    pub budget: Micros,
    /// Where the names of requests begin.
    pub seed: u64,
    /// Requests named so far.
    pub named: AtomicU64,
}

/// Accepts connections until it is dropped.
pub async fn serve(listener: TcpListener, front: Arc<Tds>, most: usize) {
    let each = |stream, permit| {
        let front = front.clone();
        async move { serve_one(stream, &permit, &front).await }
    };
    super::accept(listener, most, "TDS", front.lifecycle.wait_for_accept_stop(), each).await;
}

struct Connection<'a> {
    stream: Box<dyn Stream>,
    received: BytesMut,
    messages: Messages,
    front: &'a Tds,
}

/// What came while an answer was awaited.
enum Waited {
    Answer(Answer),
    Attention,
    Gone,
}

type Io<T> = std::io::Result<T>;

fn malformed(error: crate::tds::Malformed) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, error)
}

/// The next message; `None` where the client closed.
async fn next<S>(stream: &mut S, messages: &mut Messages, received: &mut BytesMut) -> Io<Option<Message>>
where
    S: AsyncRead + Unpin + ?Sized,
{
    loop {
        if let Some(message) = messages.next(received).map_err(malformed)? {
            return Ok(Some(message));
        }
        if stream.read_buf(received).await? == 0 {
            return Ok(None);
        }
    }
}

async fn serve_one(stream: TcpStream, permit: &ConnectionPermit, front: &Tds) -> Io<()> {
    stream.set_nodelay(true)?;
    let _present = front.lifecycle.track_connection();
    let login = tokio::time::timeout(LOGIN_TIME, async {
        let Some(mut connection) = prelogin(stream, front).await? else { return Ok(None) };
        Ok::<_, std::io::Error>(connection.login().await?.map(|tenant| (connection, tenant)))
    });
    match login.await.map_err(|_| std::io::ErrorKind::TimedOut)?? {
        Some((connection, tenant)) => connection.run(permit, tenant).await,
        None => Ok(()),
    }
}

/// PRELOGIN: whether the wire is encrypted, and the handshake where it is. Where there is a certificate all
/// of a connection is encrypted, or there is none.
async fn prelogin(mut stream: TcpStream, front: &Tds) -> Io<Option<Connection<'_>>> {
    let (mut received, mut messages) = (BytesMut::with_capacity(8192), Messages::default());
    let Some(first) = next(&mut stream, &mut messages, &mut received).await? else { return Ok(None) };
    if first.kind != packet::PRELOGIN {
        return Ok(None);
    }
    let asked = login::read_prelogin(&first.data).map_err(malformed)?.unwrap_or(ENCRYPT_NOT_SUPPORTED);
    let ours = match (&front.tls, asked) {
        (None, _) => ENCRYPT_NOT_SUPPORTED,
        (Some(_), ENCRYPT_ON | ENCRYPT_REQUIRED) => ENCRYPT_ON,
        (Some(_), _) => ENCRYPT_REQUIRED,
    };
    stream.write_all(&packet::message(packet::RESULT, &login::prelogin(ours))).await?;
    let stream: Box<dyn Stream> = match &front.tls {
        Some(_) if asked == ENCRYPT_NOT_SUPPORTED => {
            log::info!("TDS: a client without encryption, which this listener requires");
            return Ok(None);
        }
        Some(config) => tls::accept(&TlsAcceptor::from(config.clone()), stream, received.split()).await?,
        None if asked == ENCRYPT_ON || asked == ENCRYPT_REQUIRED => {
            log::info!("TDS: a client wants encryption, which this listener does not have");
            return Ok(None);
        }
        None => Box::new(stream),
    };
    Ok(Some(Connection { stream, received, messages, front }))
}

impl Connection<'_> {
    async fn run(mut self, permit: &ConnectionPermit, tenant: String) -> Io<()> {
        loop {
            permit.idle();
            if self.received.is_empty() {
                // TDS has no word for "go elsewhere": a client that is sent away finds its connection closed.
                tokio::select! {
                    biased;
                    begun = tokio::time::timeout(IDLE_TIME, self.stream.read_buf(&mut self.received)) => {
                        if begun.map_err(|_| std::io::ErrorKind::TimedOut)?? == 0 {
                            return Ok(());
                        }
                    }
                    () = self.front.lifecycle.wait_for_idle_close() => return Ok(()),
                }
            }
            let next = tokio::time::timeout(MESSAGE_TIME, self.next()).await;
            let Some(message) = next.map_err(|_| std::io::ErrorKind::TimedOut)?? else { return Ok(()) };
            permit.busy();
            if !self.request(message, &tenant).await? {
                return Ok(());
            }
        }
    }

    async fn next(&mut self) -> Io<Option<Message>> {
        next(&mut self.stream, &mut self.messages, &mut self.received).await
    }

    async fn say(&mut self, data: &[u8]) -> Io<()> {
        self.stream.write_all(&packet::message(packet::RESULT, data)).await
    }

    /// LOGIN7: the tenant, or `None` where the login is not granted.
    async fn login(&mut self) -> Io<Option<String>> {
        let Some(second) = self.next().await? else { return Ok(None) };
        if second.kind != packet::LOGIN7 {
            return Ok(None);
        }
        let told = login::read_login(&second.data).map_err(malformed)?;
        match self.front.directory.tenant(&told).await {
            Ok(tenant) => {
                self.say(&token::login_ack(&tenant)).await?;
                Ok(Some(tenant))
            }
            Err(denied) => {
                log::info!("TDS: login denied: {denied}");
                let text = "Login failed.";
                self.say(&token::error(To::Batch, LOGIN_FAILED, 14, text)).await?;
                Ok(None)
            }
        }
    }

    /// Serves one request; false where the connection ends.
    async fn request(&mut self, message: Message, tenant: &str) -> Io<bool> {
        let counted = self.front.lifecycle.track_request();
        let (to, statement) = match message.kind {
            packet::SQL_BATCH => (To::Batch, token::read_batch(&message.data)),
            packet::RPC => (To::Call, token::read_call(&message.data)),
            packet::ATTENTION => {
                // Its request was answered before it came: the word on it is still owed.
                self.say(&token::attention_done()).await?;
                return Ok(true);
            }
            kind => {
                let text = format!("messages of type {kind} are not taken here");
                self.say(&token::error(To::Batch, UNUSABLE, 16, &text)).await?;
                return Ok(true);
            }
        };
        let arrival = match statement.map_err(|error| error.to_string()) {
            Ok(statement) => self.front.arrival(&statement, tenant),
            Err(why) => Err(why),
        };
        let arrival = match arrival {
            Ok(arrival) => arrival,
            Err(why) => {
                self.say(&token::error(to, UNUSABLE, 16, &why)).await?;
                return Ok(true);
            }
        };
        let alive = match self.ask(arrival).await? {
            Waited::Answer(answer) => {
                self.say(&written(to, answer)).await?;
                true
            }
            Waited::Attention => {
                self.say(&token::attention_done()).await?;
                true
            }
            Waited::Gone => false,
        };
        drop(counted);
        Ok(alive)
    }

    /// Hands a request over and waits for its answer, or until the client stops waiting for it.
    async fn ask(&mut self, arrival: IncomingRequest) -> Io<Waited> {
        let Ok(mut asked) = self.front.handle.submit(arrival).await else {
            return Ok(Waited::Answer(Answer::Failed(None)));
        };
        let waited = loop {
            tokio::select! {
                answer = &mut asked.answer => {
                    return Ok(Waited::Answer(answer.unwrap_or(Answer::Failed(None))));
                }
                read = self.stream.read_buf(&mut self.received) => {
                    if !matches!(read, Ok(1..)) {
                        break Waited::Gone;
                    }
                    match self.messages.next(&mut self.received) {
                        Ok(None) => {}
                        Ok(Some(message)) if message.kind == packet::ATTENTION => break Waited::Attention,
                        // Only an attention may come before the answer.
                        Ok(Some(_)) | Err(_) => break Waited::Gone,
                    }
                }
            }
        };
        // The core stops the work; the answer, if one crosses this, is not written: the client gets one end.
        let _ended = self.front.handle.notify(Input::ClientDisconnected(asked.request)).await;
        Ok(waited)
    }
}

impl Tds {
    fn arrival(&self, statement: &str, tenant: &str) -> Result<IncomingRequest, String> {
        let hints = sql::hints(statement);
        let hint = |name: &str| hints.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
        let left = match hint("ttl_ms") {
            Some(told) => {
                let ms = crate::frontend::http::message::parse_integer(told);
                Micros::from_ms(ms.ok_or("ttl_ms must be a whole number")? as f64)
            }
            None => self.budget,
        };
        let number = self.named.fetch_add(1, Ordering::Relaxed);
        // Distinct for distinct numbers, and unlike those of another start.
        let name = (self.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15)) as u128;
        Ok(IncomingRequest {
            id: 0,
            name: format!("{name:016x}"),
            class: hint("class").unwrap_or(&self.class).to_owned(),
            tenant: Some(tenant.to_owned()).filter(|tenant| !tenant.is_empty()),
            idempotency_key: hint("key").map(str::to_owned),
            statement: statement.into(),
            time_budget: left,
        })
    }
}

fn written(to: To, answer: Answer) -> Vec<u8> {
    match answer {
        Answer::Served(table) => token::table(to, &table),
        Answer::Rejected { retry_after, reason: None } => {
            let seconds = (retry_after.0 + 999_999) / 1_000_000;
            let text = format!(
                "The service is currently busy. Retry the request after {seconds} seconds. retry_after_ms={}",
                retry_after.0 / 1000
            );
            token::error(to, REFUSED, 16, &text)
        }
        Answer::Rejected { retry_after, reason: Some(reason) } => {
            let number = if reason.passes_by_itself() { LIMITED } else { FORBIDDEN };
            let (code, ms) = (reason.code(), retry_after.0 / 1000);
            let text = format!("The tenant's request is refused: {code}. retry_after_ms={ms}");
            token::error(to, number, 16, &text)
        }
        Answer::Failed(None) => token::error(to, FAILED, 16, "The request failed; it may have run."),
        Answer::Failed(Some(reason)) => {
            let text = format!("The request failed: {}; it may have run.", reason.code());
            token::error(to, FAILED, 16, &text)
        }
        Answer::Cancelled => token::error(to, CANCELLED, 16, "The request was ended by an operator."),
        Answer::Invalid(why) => token::error(to, UNUSABLE, 16, &why.to_string()),
    }
}
