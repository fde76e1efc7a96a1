//! Engines that speak TDS: a pool of connections, each with one request at a time. What the lines say in
//! fields travels in the statement's first comment, and what engines tell in INFO tokens: `docs/tds.md`.

mod connection;

use super::{EndpointCommand, EndpointContext};
use crate::core::AttemptId;
use crate::core::ConnectionEnd;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::sync::mpsc;

pub use crate::tds::login::Login;

/// What a connection is told.
#[derive(Debug)]
enum Task {
    Run(EndpointCommand),
    Cancel(AttemptId),
}

#[derive(Debug)]
struct Connection {
    tasks: mpsc::Sender<Task>,
    address: SocketAddr,
    busy: bool,
}

/// A connection is free again.
#[derive(Debug)]
struct Free(usize);

/// Runs an engine's connections until the service ends.
pub async fn run(
    context: EndpointContext,
    mut address: SocketAddr,
    mut commands: mpsc::Receiver<EndpointCommand>,
    login: Login,
) {
    let mut pool: HashMap<usize, Connection> = HashMap::new();
    let mut carried: HashMap<AttemptId, usize> = HashMap::new();
    let mut count = 0;
    let (freed, mut frees) = mpsc::channel::<Free>(1024);
    loop {
        let command = tokio::select! {
            command = commands.recv() => match command {
                Some(command) => command,
                None => return,
            },
            free = frees.recv() => {
                if let Some(Free(number)) = free {
                    pool.retain(|_, connection| !connection.tasks.is_closed());
                    carried.retain(|_, at| *at != number && pool.contains_key(at));
                    if let Some(connection) = pool.get_mut(&number) {
                        connection.busy = false;
                    }
                }
                continue;
            }
        };
        match command {
            EndpointCommand::Address(new) => address = new,
            // TDS has no word for the priority of a batch that runs: it keeps what it was sent with.
            EndpointCommand::SetPriority(..) => {}
            // An attention has its own word, so the stop is always confirmed.
            EndpointCommand::Cancel(attempt, _) => {
                let connection = carried.get(&attempt).and_then(|number| pool.get(number));
                if let Some(connection) = connection
                    && connection.tasks.try_send(Task::Cancel(attempt)).is_err()
                {
                    log::debug!("an attempt was over before its stop");
                }
            }
            EndpointCommand::Start(..) | EndpointCommand::HealthCheck => {
                pool.retain(|_, connection| !connection.tasks.is_closed());
                let idle = |one: &&mut Connection| !one.busy && one.address == address;
                if !pool.values().any(|one| !one.busy && one.address == address) {
                    if pool.len() >= context.limits.connections {
                        if context.unwritten(command, ConnectionEnd::ConnectTimeout).await.is_err() {
                            return;
                        }
                        continue;
                    }
                    count += 1;
                    let (tasks, queue) = mpsc::channel(16);
                    let context = connection::Context {
                        context: context.clone(),
                        address,
                        login: login.clone(),
                        number: count,
                        freed: freed.clone(),
                    };
                    tokio::spawn(connection::run(context, queue));
                    pool.insert(count, Connection { tasks, address, busy: false });
                }
                let Some((number, connection)) =
                    pool.iter_mut().map(|(number, one)| (*number, one)).find(|(_, one)| idle(one))
                else {
                    continue;
                };
                let attempt = match &command {
                    EndpointCommand::Start(attempt, _) => Some(*attempt),
                    _ => None,
                };
                connection.busy = true;
                match connection.tasks.try_send(Task::Run(command)) {
                    Ok(()) => carried.extend(attempt.map(|attempt| (attempt, number))),
                    Err(full) => {
                        let Task::Run(command) = full.into_inner() else { continue };
                        if context.unwritten(command, ConnectionEnd::NeverWritten).await.is_err() {
                            return;
                        }
                    }
                }
            }
        }
    }
}
