//! A request that must not run twice is sent once, whichever process of the proxy its id comes to again.

mod support;

use std::sync::Arc;
use support::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

const ID: &str = "00000000000000aa";

struct Fixture {
    script: Arc<BackendScript>,
    _backend: Backend,
    discovery: Discovery,
    proxy: Proxy,
}

async fn fixture() -> Fixture {
    let script = Arc::new(BackendScript::default());
    let backend = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![backend.endpoint("SERVING")]).await;
    let proxy = Proxy::start_smallest(&discovery, settings()).await;
    Fixture { script, _backend: backend, discovery, proxy }
}

impl Fixture {
    /// Starts a second process of the proxy, and closes the listener of the first so that clients reach the
    /// second one.
    async fn hand_over(&mut self) -> Proxy {
        let mut config = self.discovery.smallest_config(settings());
        config["listen"] = self.proxy.addr.to_string().into();
        self.proxy.start_beside(&config).await
    }

    /// Sends a request and leaves once the backend has it.
    async fn send_and_leave(&self) {
        let received = self.script.seen.borrow().len();
        self.script.enqueue([BackendBehavior::Hold(Arc::new(Notify::new()))]);
        let client = self.send().await;
        self.script.wait_for_requests(received + 1).await;
        drop(client);
        in_time(self.script.abandoned.subscribe().wait_for(|count| *count > 0)).await.expect("open");
    }

    async fn send(&self) -> TcpStream {
        let mut client = connect_tcp(self.proxy.addr).await;
        client.write_all(request_head("POST /once", ID).as_bytes()).await.expect("open");
        client
    }

    async fn send_again(&self) -> Option<u16> {
        read_status(&mut self.send().await).await
    }
}

/// Guards against a request that runs twice because its id comes again after its client has left.
#[tokio::test]
async fn id_of_a_client_that_has_left_is_not_sent_again() {
    let fixture = fixture().await;
    fixture.send_and_leave().await;

    assert_eq!(fixture.send_again().await, Some(409));

    assert_eq!(fixture.script.seen.borrow().len(), 1);
}

/// Guards against a request that runs twice because its id comes again after it was served.
#[tokio::test]
async fn id_of_a_served_request_is_not_sent_again() {
    let fixture = fixture().await;
    assert_eq!(fixture.send_again().await, Some(200));

    assert_eq!(fixture.send_again().await, Some(409));

    assert_eq!(fixture.script.seen.borrow().len(), 1);
}

/// Guards against a request that runs twice because its id comes to both processes of an upgrade.
#[tokio::test]
async fn id_that_is_open_at_the_other_process_is_not_sent() {
    /// The kernel gives each connection to one of the two processes.
    const CONNECTION_COUNT: usize = 20;
    let mut fixture = fixture().await;
    let _second = fixture.hand_over().await;
    fixture.script.enqueue([BackendBehavior::Hold(Arc::new(Notify::new()))]);
    let _first = fixture.send().await;
    fixture.script.wait_for_requests(1).await;

    for _ in 0..CONNECTION_COUNT {
        assert_eq!(fixture.send_again().await, Some(409));
    }

    assert_eq!(fixture.script.seen.borrow().len(), 1);
}

/// Guards against a request that runs twice because its client has left and comes to the new process.
#[tokio::test]
async fn id_of_a_client_that_has_left_the_old_process_is_not_sent_by_the_new_one() {
    let mut fixture = fixture().await;
    fixture.send_and_leave().await;
    let _second = fixture.hand_over().await;
    fixture.proxy.terminate_without_log().await;
    fixture.proxy.wait_for_exit().await;

    assert_eq!(fixture.send_again().await, Some(409));

    assert_eq!(fixture.script.seen.borrow().len(), 1);
}

/// Guards against an id that is refused although its request never ran.
#[tokio::test]
async fn id_of_a_rejected_request_may_come_again() {
    let fixture = fixture().await;
    fixture.script.enqueue((0..10).map(|_| BackendBehavior::Decline(503)));
    assert_eq!(fixture.send_again().await, Some(503));
    fixture.script.clear_behaviors();

    assert_eq!(fixture.send_again().await, Some(200));
}
