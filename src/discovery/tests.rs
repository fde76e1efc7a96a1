//! Updates of the endpoint list, and queries to an emulated name service.

use super::*;
use crate::service::Message;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

fn engine(name: &str, state: EngineState) -> Engine {
    Engine {
        name: name.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".to_owned(),
        kind: "std".to_owned(),
        cell: None,
        state,
        weight: 1.0,
        started_at: None,
    }
}

#[test]
fn list_with_a_lower_serial_is_ignored() {
    let mut list = EngineList::default();
    list.apply_initial(4, true, vec![engine("x", EngineState::Ready)]);
    assert_eq!(list.update(6, vec![engine("x", EngineState::Draining)]).len(), 1);
    assert!(list.update(5, vec![engine("x", EngineState::Ready)]).is_empty());
    let removed = list.update(7, vec![]);
    assert_eq!((removed.len(), removed[0].state), (1, EngineState::Removed));
}

/// A response that has only an SOA record.
fn serial(id: u16, serial: u8) -> Vec<u8> {
    let head = [&id.to_be_bytes()[..], &[0x84, 0, 0, 0, 0, 0, 0, 1, 0, 0]].concat();
    [&head[..], &[0, 0, 6, 0, 1, 0, 0, 0, 0, 0, 22, 0, 0, 0, 0, 0, serial], &[0; 16]].concat()
}

/// Guards against reading, after one late response, each response one query too late from then on.
#[tokio::test]
async fn late_response_is_accepted_and_does_not_delay_later_ones() {
    let service = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut client = QueryClient::new(service.local_addr().unwrap(), "svc", Clock::start());
    let mut buffer = [0; 512];
    client.send(1).await.unwrap();
    let (_, client_address) = service.recv_from(&mut buffer).await.unwrap();
    assert!(tokio::time::timeout(Duration::from_millis(100), client.receive()).await.is_err());
    client.send(2).await.unwrap();
    service.send_to(&serial(1, 5), client_address).await.unwrap();
    assert_eq!(client.receive().await.unwrap().response.serial, Some(5));
    client.send(3).await.unwrap();
    for (id, number) in [(9, 9), (2, 6), (3, 7)] {
        service.send_to(&serial(id, number), client_address).await.unwrap();
    }
    assert_eq!(client.receive().await.unwrap().response.serial, Some(6));
    assert_eq!(client.receive().await.unwrap().response.serial, Some(7));
}

/// A name service that answers each query after `delay` with a list whose serial is the number of the query.
async fn start_slow_service(delay: Duration) -> SocketAddr {
    let service = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let address = service.local_addr().unwrap();
    tokio::spawn(async move {
        let mut buffer = [0; 512];
        for number in 1.. {
            let (_, from) = service.recv_from(&mut buffer).await.unwrap();
            let response = serial(u16::from_be_bytes([buffer[0], buffer[1]]), number);
            let service = service.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                service.send_to(&response, from).await.unwrap();
            });
        }
    });
    address
}

/// Waits until the core is notified that the only engine is no longer listed.
async fn wait_for_removal(messages: &mut mpsc::Receiver<Message>) {
    let received = tokio::time::timeout(Duration::from_secs(10), messages.recv()).await;
    let Ok(Some(Message::Input(Input::Engines(EngineListUpdate::Changed(changed))))) = received else {
        panic!("no change of the engines: {received:?}");
    };
    assert_eq!(changed[0].state, EngineState::Removed);
}

fn target(resolver: SocketAddr) -> DiscoveryTarget {
    let mut configured_engines = EngineList::default();
    configured_engines.apply_initial(0, true, vec![engine("x", EngineState::Ready)]);
    DiscoveryTarget { resolver: Some(resolver), service: "svc".to_owned(), configured_engines }
}

/// Guards against a slow name service of which nothing is ever learned: the socket was closed before the response.
#[tokio::test]
async fn a_response_after_a_second_changes_the_list() {
    let resolver = start_slow_service(Duration::from_secs(1)).await;
    let (_sender, receiver) = watch::channel(target(resolver));
    let (handle, mut messages) = ServiceHandle::new();
    tokio::spawn(run(receiver, handle, Clock::start(), 1));
    wait_for_removal(&mut messages).await;
}

/// Guards against configurations in quick succession, each of which closed the open queries to the same name service.
#[tokio::test]
async fn a_response_after_a_reload_of_the_same_name_service_changes_the_list() {
    let resolver = start_slow_service(Duration::from_millis(500)).await;
    let (sender, receiver) = watch::channel(target(resolver));
    let (handle, mut messages) = ServiceHandle::new();
    tokio::spawn(run(receiver, handle, Clock::start(), 1));
    let reloads = async {
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            sender.send_replace(target(resolver));
        }
    };
    tokio::select! {
        () = reloads => {}
        () = wait_for_removal(&mut messages) => {}
    }
}
