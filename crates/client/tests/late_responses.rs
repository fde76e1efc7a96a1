//! Tests that a call returns the response to its own request.

use sanddyke_client::{Client, Options};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The time that the service takes for a call. A copy of the last response may arrive meanwhile.
const CALL_DURATION: Duration = Duration::from_millis(20);
/// The number of calls for each delay of the copies.
const CALLS: usize = 10;

/// Starts a service that answers each call with its path, and sends each response a second time after a delay.
fn service_that_answers_twice(delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream, delay));
        }
    });
    address
}

fn serve(mut stream: TcpStream, delay: Duration) {
    stream.set_nodelay(true).unwrap();
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    while let Some(Ok(first)) = lines.next() {
        let path = first.split(' ').nth(1).unwrap().to_owned();
        while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
        std::thread::sleep(CALL_DURATION);
        let body = format!("{{\"path\":\"{path}\"}}");
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
        let mut copy = stream.try_clone().unwrap();
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            let _closed = copy.write_all(response.as_bytes());
        });
    }
}

/// Guards against a late second response that is returned by the next call, which would show one tenant for another, or
/// report a change as made that was not. HTTP responses name no request.
#[test]
fn a_second_response_is_not_returned_by_the_next_call() {
    for delay_ms in [0, 1, 5, 10, 50] {
        let address = service_that_answers_twice(Duration::from_millis(delay_ms));
        let options =
            Options { url: format!("http://{address}"), token: "token".to_owned(), ..Options::default() };
        let client = Client::new(options).unwrap();
        for number in 0..CALLS {
            let path = format!("/v1/tenants/t{number}");
            assert_eq!(client.get(&path).unwrap()["path"], path.as_str(), "copies {delay_ms} ms late");
        }
    }
}
