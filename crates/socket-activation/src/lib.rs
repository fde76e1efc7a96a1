//! Takes over a listening TCP socket that the process was started with, by its descriptor's number.
//!
//! Libraries for sockets that a service manager hands over (`listenfd`, `sd-notify`) read variables of their own
//! and count from descriptor 3. Here the number is told, the socket is checked, and what is wrong is named. This
//! crate holds the one line of the program that the compiler can't check.
#![deny(unsafe_code)]
#![warn(missing_docs)]

use socket2::{Socket, Type};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use thiserror::Error;

/// Standard input, output and error are nobody's sockets.
const FIRST: RawFd = 3;

/// Why a descriptor can't be taken over.
#[derive(Debug, Error)]
pub enum SocketActivationError {
    /// Not the number of a descriptor that a process is started with.
    #[error("must be the number of a descriptor, at least {FIRST}, is {0:?}")]
    Number(String),
    /// Nothing is open under that number.
    #[error("descriptor {0} is not open")]
    Closed(RawFd),
    /// It is a file, a pipe or the like.
    #[error("descriptor {0} is not a socket")]
    NotASocket(RawFd),
    /// A socket, but none that accepts TCP connections.
    #[error("descriptor {0} is not a listening TCP socket")]
    NotListening(RawFd),
    /// It listens somewhere else.
    #[error("descriptor {0} listens at {1}, not at {2}")]
    Elsewhere(RawFd, SocketAddr, SocketAddr),
    /// It was taken over before.
    #[error("descriptor {0} is taken over already")]
    Taken(RawFd),
    /// The system would not say.
    #[error("descriptor {0}: {1}")]
    System(RawFd, std::io::Error),
}

/// The number that a variable's text tells.
pub fn parse_descriptor(text: &str) -> Result<RawFd, SocketActivationError> {
    let told = text.trim().parse().ok().filter(|number| *number >= FIRST);
    told.ok_or_else(|| SocketActivationError::Number(text.to_owned()))
}

static TAKEN: Mutex<BTreeSet<RawFd>> = Mutex::new(BTreeSet::new());

/// Takes over the socket under `fd`, which must listen at `address`. It is set not to block, for every process
/// that shares it.
///
/// To be called before the process opens anything, so that a number under which nothing was handed over is
/// found closed, and not some file of the process's own.
pub fn take_listener(fd: RawFd, address: SocketAddr) -> Result<TcpListener, SocketActivationError> {
    if fd < FIRST {
        return Err(SocketActivationError::Number(fd.to_string()));
    }
    let kind = std::fs::read_link(PathBuf::from(format!("/proc/self/fd/{fd}")));
    let kind = kind.map_err(|_| SocketActivationError::Closed(fd))?;
    if !kind.to_string_lossy().starts_with("socket:") {
        return Err(SocketActivationError::NotASocket(fd));
    }
    if !TAKEN.lock().unwrap_or_else(PoisonError::into_inner).insert(fd) {
        return Err(SocketActivationError::Taken(fd));
    }
    // SAFETY: the descriptor is open, as was just seen, and a socket. Nothing in this process opened it: the
    // caller comes first, and a number is given out here once, so that nobody else closes it.
    #[allow(unsafe_code)]
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(fd) });
    match check(&socket, fd, address) {
        Ok(()) => Ok(socket.into()),
        Err(unfit) => {
            // It is closed here, and its number may come anew.
            TAKEN.lock().unwrap_or_else(PoisonError::into_inner).remove(&fd);
            drop(socket);
            Err(unfit)
        }
    }
}

fn check(socket: &Socket, fd: RawFd, address: SocketAddr) -> Result<(), SocketActivationError> {
    let system = |error| SocketActivationError::System(fd, error);
    let tcp = socket.r#type().map_err(system)? == Type::STREAM && socket.is_listener().map_err(system)?;
    let here = socket.local_addr().map_err(system)?.as_socket().filter(|_| tcp);
    let here = here.ok_or(SocketActivationError::NotListening(fd))?;
    if here != address {
        return Err(SocketActivationError::Elsewhere(fd, here, address));
    }
    socket.set_cloexec(true).map_err(system)?;
    socket.set_nonblocking(true).map_err(system)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::UdpSocket;
    use std::os::fd::{AsRawFd, IntoRawFd};

    #[test]
    fn a_listening_socket_is_taken_over_once_and_what_is_none_is_named() {
        let ours = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = ours.local_addr().unwrap();
        let elsewhere: SocketAddr = "127.0.0.1:1".parse().unwrap();
        assert!(matches!(
            take_listener(ours.into_raw_fd(), elsewhere),
            Err(SocketActivationError::Elsewhere(..))
        ));
        let datagrams = UdpSocket::bind("127.0.0.1:0").unwrap().into_raw_fd();
        assert!(matches!(take_listener(datagrams, address), Err(SocketActivationError::NotListening(_))));
        let file = std::fs::File::open("/proc/self/status").unwrap();
        assert!(matches!(
            take_listener(file.as_raw_fd(), address),
            Err(SocketActivationError::NotASocket(_))
        ));
        assert!(matches!(take_listener(9999, address), Err(SocketActivationError::Closed(9999))));
        for text in ["", "x", "-1", "2", "3x", "99999999999"] {
            assert!(matches!(parse_descriptor(text), Err(SocketActivationError::Number(_))), "{text:?}");
        }
        assert_eq!(parse_descriptor("3").unwrap(), 3);
        // Numbers of descriptors are the process's: what needs them stands in one test.
        let ours = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = ours.local_addr().unwrap();
        let fd = ours.into_raw_fd();
        let taken = take_listener(fd, address).unwrap();
        assert_eq!(taken.local_addr().unwrap(), address);
        assert!(matches!(taken.accept().unwrap_err().kind(), std::io::ErrorKind::WouldBlock));
        assert!(matches!(take_listener(fd, address), Err(SocketActivationError::Taken(_))));
    }
}
