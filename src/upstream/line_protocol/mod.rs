//! Engines that speak the platform's lines: connections that carry many requests at once.

mod connection;
mod parse;

pub use parse::load_report;

use super::{EndpointCommand, EndpointContext};
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
    commands: mpsc::Sender<EndpointCommand>,
    carried: Arc<AtomicUsize>,
    /// The engine has moved: what is out here may still end here, but nothing new is sent.
    retired: bool,
}

/// Runs an engine's connections until the service ends.
pub async fn run(
    context: EndpointContext,
    mut address: SocketAddr,
    mut commands: mpsc::Receiver<EndpointCommand>,
) {
    let mut connections: Vec<Connection> = Vec::new();
    while let Some(command) = commands.recv().await {
        connections.retain(|connection| !connection.commands.is_closed());
        match command {
            EndpointCommand::Address(new) if new != address => {
                address = new;
                connections.iter_mut().for_each(|connection| connection.retired = true);
            }
            EndpointCommand::Address(_) => {}
            // Which connection carries it is known there alone; the others pass it over.
            EndpointCommand::Cancel(..) | EndpointCommand::SetPriority(..) => {
                for connection in &connections {
                    let copy = match &command {
                        EndpointCommand::Cancel(attempt, confirm) => {
                            EndpointCommand::Cancel(*attempt, *confirm)
                        }
                        EndpointCommand::SetPriority(attempt, priority) => {
                            EndpointCommand::SetPriority(*attempt, *priority)
                        }
                        _ => continue,
                    };
                    if connection.commands.try_send(copy).is_err() {
                        log::warn!("engine at {address}: a connection takes no more commands");
                    }
                }
            }
            EndpointCommand::Start(..) | EndpointCommand::HealthCheck => {
                // What ends a connection takes all that it carries with it: few are put on one.
                let load = |one: &Connection| one.carried.load(Ordering::Relaxed);
                let room = |one: &&Connection| !one.retired && load(one) < context.limits.streams;
                let light = |one: &Connection| room(&one) && load(one) < LIGHT;
                if !connections.iter().any(light) && connections.len() < context.limits.connections {
                    let (sender, queue) = mpsc::channel(QUEUE);
                    let carried = Arc::new(AtomicUsize::new(0));
                    tokio::spawn(connection::run(context.clone(), address, queue, carried.clone()));
                    connections.push(Connection { commands: sender, carried, retired: false });
                }
                let target = connections.iter().filter(room).min_by_key(|one| load(one));
                let launch = matches!(command, EndpointCommand::Start(..));
                let unsent = match target {
                    Some(connection) => {
                        connection.commands.try_send(command).err().map(|full| full.into_inner())
                    }
                    None => Some(command),
                };
                if let (Some(connection), None, true) = (target, &unsent, launch) {
                    connection.carried.fetch_add(1, Ordering::Relaxed);
                }
                if let Some(command) = unsent
                    && context.unwritten(command, ConnectionEnd::NeverWritten).await.is_err()
                {
                    return;
                }
            }
        }
    }
}
