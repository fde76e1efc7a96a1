//! Takes ownership of an inherited listening TCP socket, which is identified by the number of its descriptor.
//!
//! Libraries for socket activation by a service manager (`listenfd`, `sd-notify`) read environment variables of their
//! own and count from descriptor 3. Here the caller passes the number, the socket is checked, and an error states
//! which check failed. This crate has the only `unsafe` code of the program.
#![deny(unsafe_code)]
#![warn(missing_docs)]

use socket2::{Socket, Type};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use thiserror::Error;

/// The lowest number of an inherited socket. Lower numbers are standard input, output and error.
const MIN_INHERITED_FD: RawFd = 3;

/// The descriptors that this process has taken ownership of. Each can be taken only once.
static TAKEN: Mutex<BTreeSet<RawFd>> = Mutex::new(BTreeSet::new());

/// The reason why a descriptor can't be used as the inherited socket.
#[derive(Debug, Error)]
pub enum SocketActivationError {
    /// The text is not a number, or it is the number of standard input, output or error.
    #[error("must be the number of a descriptor, at least {MIN_INHERITED_FD}, is {text:?}")]
    InvalidNumber {
        /// The text that was parsed.
        text: String,
    },
    /// No descriptor with this number is open.
    #[error("descriptor {fd} is not open")]
    NotOpen {
        /// The number.
        fd: RawFd,
    },
    /// The descriptor is not a socket, for example a file or a pipe.
    #[error("descriptor {fd} is not a socket")]
    NotASocket {
        /// The number.
        fd: RawFd,
    },
    /// The socket is not a listening TCP socket.
    #[error("descriptor {fd} is not a listening TCP socket")]
    NotListening {
        /// The number.
        fd: RawFd,
    },
    /// The socket listens on another address than the configured one.
    #[error("descriptor {fd} listens on {found}, expected {expected}")]
    WrongAddress {
        /// The number.
        fd: RawFd,
        /// The address on which the socket listens.
        found: SocketAddr,
        /// The configured address.
        expected: SocketAddr,
    },
    /// This process has already taken ownership of the descriptor.
    #[error("descriptor {fd} is already in use by this process")]
    AlreadyTaken {
        /// The number.
        fd: RawFd,
    },
    /// A system call on the socket failed.
    #[error("descriptor {fd}: a system call on the socket failed: {source}")]
    System {
        /// The number.
        fd: RawFd,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Parses the number of a descriptor, for example from an environment variable.
///
/// # Errors
/// The text is not a number, or it is the number of standard input, output or error.
pub fn parse_descriptor(text: &str) -> Result<RawFd, SocketActivationError> {
    let number = text.trim().parse().ok().filter(|number| *number >= MIN_INHERITED_FD);
    number.ok_or_else(|| SocketActivationError::InvalidNumber { text: text.to_owned() })
}

/// Takes ownership of the socket with the descriptor `fd`, which must listen on `address`. The socket is set to
/// non-blocking mode, which affects every process that shares it, and to close-on-exec.
///
/// Call this before the process opens any descriptor. Otherwise a descriptor that the process itself has opened could
/// have the number of one that was not inherited.
///
/// # Errors
/// The descriptor is not a TCP socket that listens on `address`. A socket that fails the check is closed.
pub fn take_listener(fd: RawFd, address: SocketAddr) -> Result<TcpListener, SocketActivationError> {
    if fd < MIN_INHERITED_FD {
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
    // SAFETY: the descriptor is open and a socket, as checked above. Nothing else in this process owns it: this
    // function is called before anything opens descriptors, and each number is taken only once.
    #[allow(unsafe_code)]
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(fd) });
    match check_and_configure(&socket, fd, address) {
        Ok(()) => Ok(socket.into()),
        Err(error) => {
            // The socket is closed here, so a later descriptor may get its number.
            taken().remove(&fd);
            drop(socket);
            Err(error)
        }
    }
}

fn taken() -> MutexGuard<'static, BTreeSet<RawFd>> {
    TAKEN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Checks that the socket listens on `address`, and sets non-blocking mode and close-on-exec.
fn check_and_configure(socket: &Socket, fd: RawFd, address: SocketAddr) -> Result<(), SocketActivationError> {
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
