//! Takes over a listening TCP socket that the process was started with, by the number of its descriptor.
//!
//! Libraries for socket activation by a service manager (`listenfd`, `sd-notify`) read variables of their own and count
//! from descriptor 3. Here the caller gives the number, the socket is checked, and an error names what is wrong with
//! it. This crate has the one line of the program that the compiler can't check.
#![deny(unsafe_code)]
#![warn(missing_docs)]

use socket2::{Socket, Type};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use thiserror::Error;

/// Lower numbers are standard input, output and error.
const FIRST_INHERITED: RawFd = 3;

/// Descriptors that were taken over; each can be taken once.
static TAKEN: Mutex<BTreeSet<RawFd>> = Mutex::new(BTreeSet::new());

/// Why a descriptor can't be taken over.
#[derive(Debug, Error)]
pub enum SocketActivationError {
    /// The text is not the number of a descriptor that a process can inherit.
    #[error("must be the number of a descriptor, at least {FIRST_INHERITED}, is {text:?}")]
    InvalidNumber {
        /// The text.
        text: String,
    },
    /// No descriptor of this number is open.
    #[error("descriptor {fd} is not open")]
    NotOpen {
        /// The number.
        fd: RawFd,
    },
    /// The descriptor is a file, a pipe or the like.
    #[error("descriptor {fd} is not a socket")]
    NotASocket {
        /// The number.
        fd: RawFd,
    },
    /// The socket does not accept TCP connections.
    #[error("descriptor {fd} is not a listening TCP socket")]
    NotListening {
        /// The number.
        fd: RawFd,
    },
    /// The socket listens at another address.
    #[error("descriptor {fd} listens at {found}, not at {expected}")]
    WrongAddress {
        /// The number.
        fd: RawFd,
        /// Where it listens.
        found: SocketAddr,
        /// Where it should listen.
        expected: SocketAddr,
    },
    /// This process has taken the descriptor over before.
    #[error("descriptor {fd} is taken over already")]
    AlreadyTaken {
        /// The number.
        fd: RawFd,
    },
    /// A system call on the socket failed.
    #[error("descriptor {fd}: {source}")]
    System {
        /// The number.
        fd: RawFd,
        /// The system's reason.
        source: std::io::Error,
    },
}

/// Parses the number of a descriptor, for example the value of an environment variable.
///
/// # Errors
/// Where it is no number, or that of standard input, output or error.
pub fn parse_descriptor(text: &str) -> Result<RawFd, SocketActivationError> {
    let number = text.trim().parse().ok().filter(|number| *number >= FIRST_INHERITED);
    number.ok_or_else(|| SocketActivationError::InvalidNumber { text: text.to_owned() })
}

/// Takes over the socket under `fd`, which must listen at `address`. It is set to non-blocking mode, for every process
/// that shares it, and is closed in programs that this process executes.
///
/// Call this before the process opens anything: then a number under which nothing was inherited is found closed, and
/// is not a file of the process itself.
///
/// # Errors
/// Where the descriptor is not a TCP socket that listens at `address`. A socket that is not accepted is closed.
pub fn take_listener(fd: RawFd, address: SocketAddr) -> Result<TcpListener, SocketActivationError> {
    if fd < FIRST_INHERITED {
        return Err(SocketActivationError::InvalidNumber { text: fd.to_string() });
    }
    let kind = std::fs::read_link(PathBuf::from(format!("/proc/self/fd/{fd}")))
        .map_err(|_| SocketActivationError::NotOpen { fd })?;
    if !kind.to_string_lossy().starts_with("socket:") {
        return Err(SocketActivationError::NotASocket { fd });
    }
    let newly_taken = taken().insert(fd);
    if !newly_taken {
        return Err(SocketActivationError::AlreadyTaken { fd });
    }
    // SAFETY: the descriptor is open and a socket, as was just checked. Nothing else in this process owns it: the
    // caller comes before all that opens descriptors, and each number is taken once.
    #[allow(unsafe_code)]
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(fd) });
    match prepare(&socket, fd, address) {
        Ok(()) => Ok(socket.into()),
        Err(error) => {
            // The socket is closed here, and a later one may get its number.
            taken().remove(&fd);
            drop(socket);
            Err(error)
        }
    }
}

fn taken() -> MutexGuard<'static, BTreeSet<RawFd>> {
    TAKEN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Checks that the socket listens at `address`, and sets its modes.
fn prepare(socket: &Socket, fd: RawFd, address: SocketAddr) -> Result<(), SocketActivationError> {
    let system = |source| SocketActivationError::System { fd, source };
    let is_stream = socket.r#type().map_err(system)? == Type::STREAM;
    let is_listening = is_stream && socket.is_listener().map_err(system)?;
    let local_address = socket.local_addr().map_err(system)?.as_socket();
    let Some(found) = local_address.filter(|_| is_listening) else {
        return Err(SocketActivationError::NotListening { fd });
    };
    if found != address {
        return Err(SocketActivationError::WrongAddress { fd, found, expected: address });
    }
    socket.set_cloexec(true).map_err(system)?;
    socket.set_nonblocking(true).map_err(system)
}
