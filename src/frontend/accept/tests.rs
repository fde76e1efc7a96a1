//! Tests of which errors of accept(2) evict an open connection.

use super::*;
use rstest::rstest;
use tokio::sync::oneshot;

const ECONNABORTED: i32 = 103;
const EINVAL: i32 = 22;

/// Guards against closing an open connection because another client's connection was aborted before it was accepted.
#[rstest]
#[case::aborted(ECONNABORTED, false)]
#[case::protocol_error(EPROTO, false)]
#[case::invalid_argument(EINVAL, false)]
#[case::no_descriptor(EMFILE, true)]
#[case::no_descriptor_in_the_system(ENFILE, true)]
#[case::no_buffer(ENOBUFS, true)]
#[tokio::test]
async fn a_connection_is_evicted_only_if_resources_are_exhausted(#[case] errno: i32, #[case] evicted: bool) {
    let slots = ConnectionSlots::new(4);
    let permit = slots.acquire().expect("a free slot");
    let (alive, ended) = oneshot::channel::<()>();
    let task = tokio::spawn(async move {
        std::future::pending::<()>().await;
        drop(alive);
    });
    slots.set_task(permit.id(), task.abort_handle());
    let acceptor = Acceptor {
        listener_name: "test",
        slots,
        serve: |_: TcpStream, _: ConnectionPermit| std::future::ready(Ok(())),
    };
    acceptor.handle_accept_error(&io::Error::from_raw_os_error(errno)).await;
    let task_ended = tokio::time::timeout(ACCEPT_ERROR_PAUSE, ended).await.is_ok();
    assert_eq!(task_ended, evicted);
}
