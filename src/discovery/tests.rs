//! Updates of the endpoint list, and queries to an emulated name service.

use super::*;
use tokio::net::UdpSocket;

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
    let mut queries = QuerySocket::connect(service.local_addr().unwrap()).await.unwrap();
    let here = queries.local_addr().unwrap();
    let mut buffer = [0; 512];
    let in_100_ms = || Instant::now() + Duration::from_millis(100);
    queries.send("svc", 1).await.unwrap();
    assert!(queries.response(&mut buffer, in_100_ms()).await.is_err());
    queries.send("svc", 2).await.unwrap();
    service.send_to(&serial(1, 5), here).await.unwrap();
    let late = queries.response(&mut buffer, in_100_ms()).await.unwrap();
    assert_eq!(late.serial, Some(5));
    queries.send("svc", 3).await.unwrap();
    for (id, number) in [(9, 9), (2, 6), (3, 7)] {
        service.send_to(&serial(id, number), here).await.unwrap();
    }
    let last = queries.response(&mut buffer, Instant::now() + Duration::from_secs(30)).await.unwrap();
    assert_eq!(last.serial, Some(7));
}
