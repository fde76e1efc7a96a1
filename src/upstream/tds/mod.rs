//! Engines that speak TDS: a pool of connections, each with one request at a time. What the lines say in
//! fields travels in the statement's first comment, and what engines tell in INFO tokens: `docs/tds.md`.

mod connection;

use super::{AttemptId, Order, Uplink};
use crate::core::ConnectionEnd;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::sync::mpsc;

pub use crate::tds::login::Login;

/// What a connection is told.
#[derive(Debug)]
enum Task {
    Run(Order),
    Halt(AttemptId),
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
pub async fn run(uplink: Uplink, mut address: SocketAddr, mut orders: mpsc::Receiver<Order>, login: Login) {
    let mut pool: HashMap<usize, Connection> = HashMap::new();
    let mut carried: HashMap<AttemptId, usize> = HashMap::new();
    let mut count = 0;
    let (freed, mut frees) = mpsc::channel::<Free>(1024);
    loop {
        let order = tokio::select! {
            order = orders.recv() => match order {
                Some(order) => order,
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
        match order {
            Order::Address(new) => address = new,
            // TDS has no word for the priority of a batch that runs: it keeps what it was sent with.
            Order::Rank(..) => {}
            // An attention has its own word, so the stop is always confirmed.
            Order::Halt(attempt, _) => {
                let connection = carried.get(&attempt).and_then(|number| pool.get(number));
                if let Some(connection) = connection
                    && connection.tasks.try_send(Task::Halt(attempt)).is_err()
                {
                    log::debug!("an attempt was over before its stop");
                }
            }
            Order::Launch(..) | Order::Probe => {
                pool.retain(|_, connection| !connection.tasks.is_closed());
                let idle = |one: &&mut Connection| !one.busy && one.address == address;
                if !pool.values().any(|one| !one.busy && one.address == address) {
                    if pool.len() >= uplink.limits.connections {
                        if uplink.unwritten(order, ConnectionEnd::NotUp).await.is_err() {
                            return;
                        }
                        continue;
                    }
                    count += 1;
                    let (tasks, queue) = mpsc::channel(16);
                    let context = connection::Context {
                        uplink: uplink.clone(),
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
                let attempt = match &order {
                    Order::Launch(attempt, _) => Some(*attempt),
                    _ => None,
                };
                connection.busy = true;
                match connection.tasks.try_send(Task::Run(order)) {
                    Ok(()) => carried.extend(attempt.map(|attempt| (attempt, number))),
                    Err(full) => {
                        let Task::Run(order) = full.into_inner() else { continue };
                        if uplink.unwritten(order, ConnectionEnd::NeverWritten).await.is_err() {
                            return;
                        }
                    }
                }
            }
        }
    }
}
