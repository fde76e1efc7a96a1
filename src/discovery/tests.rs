//! The list at its edges, and questions to a stand-in name service.

use super::*;

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
fn an_answer_that_came_late_changes_nothing() {
    let mut listed = EngineList::default();
    listed.start(4, true, vec![engine("x", EngineState::Ready)]);
    assert_eq!(listed.update(6, vec![engine("x", EngineState::Draining)]).len(), 1);
    assert!(listed.update(5, vec![engine("x", EngineState::Ready)]).is_empty());
    let gone = listed.update(7, vec![]);
    assert_eq!((gone.len(), gone[0].state), (1, EngineState::Removed));
}

/// An answer that holds nothing but its serial.
fn serial(id: u16, serial: u8) -> Vec<u8> {
    let head = [&id.to_be_bytes()[..], &[0x84, 0, 0, 0, 0, 0, 0, 1, 0, 0]].concat();
    [&head[..], &[0, 0, 6, 0, 1, 0, 0, 0, 0, 0, 22, 0, 0, 0, 0, 0, serial], &[0; 16]].concat()
}

/// Guards against reading one answer behind for ever, once one came late.
#[tokio::test]
async fn a_late_answer_counts_and_holds_up_none_after_it() {
    let service = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut questions = Questions::new(service.local_addr().unwrap()).await.unwrap();
    let here = questions.socket.local_addr().unwrap();
    let mut buffer = [0; 512];
    let soon = || Instant::now() + Duration::from_millis(100);
    questions.ask("svc", 1).await.unwrap();
    assert!(questions.answer(&mut buffer, soon()).await.is_err());
    questions.ask("svc", 2).await.unwrap();
    service.send_to(&serial(1, 5), here).await.unwrap();
    let late = questions.answer(&mut buffer, soon()).await.unwrap();
    assert_eq!(late.serial, Some(5));
    questions.ask("svc", 3).await.unwrap();
    for (id, number) in [(9, 9), (2, 6), (3, 7)] {
        service.send_to(&serial(id, number), here).await.unwrap();
    }
    let last = questions.answer(&mut buffer, Instant::now() + Duration::from_secs(30)).await.unwrap();
    assert_eq!(last.serial, Some(7));
}
