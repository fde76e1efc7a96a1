//! A client connection of an emulated engine.

use super::MAX_QUEUED_MESSAGES;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;

/// A command from a connection to the engine. `messages` is the connection's queue of outgoing messages.
pub(super) enum Command {
    /// Execute a query.
    Execute { id: String, statement: String, messages: mpsc::Sender<String> },
    /// Cancel a query, if it is running.
    Cancel { id: String },
    /// Send a load report with this tag.
    ReportLoad { tag: String, messages: mpsc::Sender<String> },
}

/// Reads commands until the connection is closed, then cancels its queries.
pub(super) async fn serve(stream: TcpStream, commands: mpsc::Sender<Command>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (input, output) = stream.into_split();
    let (messages, queued_messages) = mpsc::channel::<String>(MAX_QUEUED_MESSAGES);
    tokio::spawn(write_messages(output, queued_messages));
    let mut input = BufReader::new(input);
    let mut line = String::new();
    let mut query_ids = Vec::new();
    loop {
        line.clear();
        if input.read_line(&mut line).await? == 0 {
            break;
        }
        let parts: Vec<&str> = line.trim_end().split(' ').collect();
        let command = match parts[..] {
            ["REQ", id, _, length] => {
                // The statement is followed by a two-byte line end.
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                input.read_exact(&mut body).await?;
                query_ids.push(id.to_owned());
                let statement = String::from_utf8_lossy(&body).into_owned();
                Command::Execute { id: id.to_owned(), statement, messages: messages.clone() }
            }
            ["STOP", id] => Command::Cancel { id: id.to_owned() },
            ["STAT" | "HELO", tag] => Command::ReportLoad { tag: tag.to_owned(), messages: messages.clone() },
            _ => continue,
        };
        if commands.send(command).await.is_err() {
            break;
        }
    }
    for id in query_ids {
        // Fails only if the engine has stopped, and its queries with it.
        let _ = commands.send(Command::Cancel { id }).await;
    }
    Ok(())
}

async fn write_messages(mut output: OwnedWriteHalf, mut messages: mpsc::Receiver<String>) {
    while let Some(message) = messages.recv().await {
        if output.write_all(message.as_bytes()).await.is_err() {
            return;
        }
    }
}
