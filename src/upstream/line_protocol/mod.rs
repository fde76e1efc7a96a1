//! Engines that speak the platform's lines: connections that carry many requests at once.

mod connection;
mod parse;

pub use parse::load_report;

use super::{Order, Uplink};
use crate::core::ConnectionEnd;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::mpsc;

/// A connection that carries so much is spared, as long as there may be another.
const LIGHT: usize = 4;
/// What may wait for one connection.
const QUEUE: usize = 1024;

#[derive(Debug)]
struct Connection {
    orders: mpsc::Sender<Order>,
    carried: Arc<AtomicUsize>,
    /// The engine has moved: what is out here may still end here, but nothing new is sent.
    retired: bool,
}

/// Runs an engine's connections until the service ends.
pub async fn run(uplink: Uplink, mut address: SocketAddr, mut orders: mpsc::Receiver<Order>) {
    let mut connections: Vec<Connection> = Vec::new();
    while let Some(order) = orders.recv().await {
        connections.retain(|connection| !connection.orders.is_closed());
        match order {
            Order::Address(new) if new != address => {
                address = new;
                connections.iter_mut().for_each(|connection| connection.retired = true);
            }
            Order::Address(_) => {}
            // Which connection carries it is known there alone; the others pass it over.
            Order::Halt(..) | Order::Rank(..) => {
                for connection in &connections {
                    let copy = match &order {
                        Order::Halt(attempt, confirm) => Order::Halt(*attempt, *confirm),
                        Order::Rank(attempt, priority) => Order::Rank(*attempt, *priority),
                        _ => continue,
                    };
                    if connection.orders.try_send(copy).is_err() {
                        log::warn!("engine at {address}: a connection takes no more orders");
                    }
                }
            }
            Order::Launch(..) | Order::Probe => {
                // What ends a connection takes all that it carries with it: few are put on one.
                let load = |one: &Connection| one.carried.load(Ordering::Relaxed);
                let room = |one: &&Connection| !one.retired && load(one) < uplink.limits.streams;
                let light = |one: &Connection| room(&one) && load(one) < LIGHT;
                if !connections.iter().any(light) && connections.len() < uplink.limits.connections {
                    let (sender, queue) = mpsc::channel(QUEUE);
                    let carried = Arc::new(AtomicUsize::new(0));
                    tokio::spawn(connection::run(uplink.clone(), address, queue, carried.clone()));
                    connections.push(Connection { orders: sender, carried, retired: false });
                }
                let target = connections.iter().filter(room).min_by_key(|one| load(one));
                let launch = matches!(order, Order::Launch(..));
                let unsent = match target {
                    Some(connection) => connection.orders.try_send(order).err().map(|full| full.into_inner()),
                    None => Some(order),
                };
                if let (Some(connection), None, true) = (target, &unsent, launch) {
                    connection.carried.fetch_add(1, Ordering::Relaxed);
                }
                if let Some(order) = unsent
                    && uplink.unwritten(order, ConnectionEnd::NeverWritten).await.is_err()
                {
                    return;
                }
            }
        }
    }
}
