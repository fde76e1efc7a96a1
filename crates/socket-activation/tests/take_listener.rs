//! Taking ownership of an inherited listening socket.
//!
//! Descriptor numbers are shared by the whole process, so everything that opens descriptors is in one test.

use sanddyke_socket_activation::{SocketActivationError, parse_descriptor, take_listener};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::{AsRawFd, IntoRawFd};

#[test]
fn a_listening_socket_is_taken_once_and_any_other_descriptor_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let other_address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    assert!(matches!(
        take_listener(listener.into_raw_fd(), other_address),
        Err(SocketActivationError::WrongAddress { .. })
    ));
    let udp_socket = UdpSocket::bind("127.0.0.1:0").unwrap().into_raw_fd();
    assert!(matches!(take_listener(udp_socket, address), Err(SocketActivationError::NotListening { .. })));
    let file = std::fs::File::open("/proc/self/status").unwrap();
    assert!(matches!(
        take_listener(file.as_raw_fd(), address),
        Err(SocketActivationError::NotASocket { .. })
    ));
    assert!(matches!(take_listener(9999, address), Err(SocketActivationError::NotOpen { fd: 9999 })));
    for text in ["", "x", "-1", "2", "3x", "99999999999"] {
        assert!(
            matches!(parse_descriptor(text), Err(SocketActivationError::InvalidNumber { .. })),
            "{text:?}"
        );
    }
    assert_eq!(parse_descriptor("3").unwrap(), 3);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let fd = listener.into_raw_fd();
    let taken = take_listener(fd, address).unwrap();
    assert_eq!(taken.local_addr().unwrap(), address);
    assert!(matches!(taken.accept().unwrap_err().kind(), std::io::ErrorKind::WouldBlock));
    assert!(matches!(take_listener(fd, address), Err(SocketActivationError::AlreadyTaken { .. })));
}
