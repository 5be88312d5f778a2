//! Reloads of the configuration with SIGHUP while clients and backends are connected.

mod support;

use bytes::Bytes;
use http_body_util::Full;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

struct Fixture {
    script: Arc<BackendScript>,
    a: Backend,
    discovery: Discovery,
    proxy: Proxy,
    /// The content of the configuration file.
    config: Value,
}

async fn start_fixture() -> Fixture {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["management"] = "127.0.0.1:0".into();
    let proxy = Proxy::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_applied().await;
    Fixture { script, a, discovery, proxy, config }
}

impl Fixture {
    /// Changes the configuration file, sends SIGHUP, and returns the log line about it.
    async fn reload_with(&mut self, change: impl FnOnce(&mut Value)) -> String {
        change(&mut self.config);
        self.proxy.reload_line(&self.config.to_string()).await
    }

    /// Returns the version of the configuration in force.
    async fn version_in_force(&self) -> u64 {
        self.proxy.admin_json("/v1/settings").await["version"].as_u64().expect("a number")
    }
}

/// Sends a request for a tenant on its own connection, and returns the status of the answer.
async fn status_for_tenant(proxy: &Proxy, tenant: &str) -> u16 {
    let mut call = request("look").body(Full::<Bytes>::default()).expect("well formed");
    call.headers_mut().insert("req-owner", tenant.parse().expect("a value"));
    proxy.client().await.send(call).await.0
}

fn classes(config: &mut Value) -> &mut Vec<Value> {
    config["settings"]["classes"].as_array_mut().expect("a list")
}

fn tenants(config: &mut Value) -> &mut Vec<Value> {
    config["settings"]["tenants"].as_array_mut().expect("a list")
}

#[tokio::test]
async fn added_tenant_is_served_until_it_is_removed() {
    let mut fixture = start_fixture().await;
    // Given: a configuration without the tenant.
    assert_eq!(status_for_tenant(&fixture.proxy, "zenith").await, 400);
    // When: the tenant is added.
    let log_line = fixture
        .reload_with(|config| tenants(config).insert(0, json!({"name": "zenith", "quotaPerS": 5.0})))
        .await;
    assert!(log_line.contains("configuration applied, version 2"), "{log_line}");
    assert_eq!(
        (status_for_tenant(&fixture.proxy, "zenith").await, status_for_tenant(&fixture.proxy, "acme").await),
        (200, 200)
    );
    // When: the tenant is removed.
    fixture.reload_with(|config| drop(tenants(config).remove(0))).await;
    assert_eq!(
        (status_for_tenant(&fixture.proxy, "zenith").await, status_for_tenant(&fixture.proxy, "acme").await),
        (400, 200)
    );
}

#[tokio::test]
async fn removed_class_is_unknown_but_open_requests_finish() {
    let mut fixture = start_fixture().await;
    // Given: an open request of a class.
    let (release, mut client) = (Arc::new(Notify::new()), fixture.proxy.client().await);
    fixture.script.enqueue([BackendBehavior::Hold(release.clone())]);
    let held_call = tokio::spawn(async move { client.call("look").await });
    fixture.script.wait_for_requests(1).await;
    let unknown = fixture.proxy.call("unheard").await;
    // When: the class is removed, which changes the index of the others. Then: only the others are served.
    fixture.reload_with(|config| drop(classes(config).remove(0))).await;
    assert_eq!(fixture.proxy.call("look").await, unknown);
    for class in ["keep", "once"] {
        assert_eq!(fixture.proxy.call(class).await, (200, "a".into()));
    }
    // Then: the open request is served as well.
    release.notify_one();
    assert_eq!(held_call.await.expect("no panic"), (200, "a".into()));
    fixture.reload_with(|config| classes(config).push(settings()["classes"][0].clone())).await;
    assert_eq!(fixture.proxy.call("look").await, (200, "a".into()));
}

/// Guards against deciding on a retry by settings that are newer than the request: whether a request may run
/// twice is decided by its class at its arrival, and a reload changes that neither way.
#[tokio::test]
async fn open_request_keeps_its_idempotency() {
    for (before, after, class, status, attempts) in
        [("fragile", "retryable", "once", 502, 1), ("retryable", "fragile", "look", 200, 2)]
    {
        let script = Arc::new(BackendScript::default());
        // The first attempt is aborted once the settings have changed.
        let (break_connection, mut is_broken) = tokio::sync::watch::channel(false);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let (request_arrived, mut arrived) = tokio::sync::watch::channel(0);
        tokio::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let mut head = [0; 4096];
                if stream.read(&mut head).await.is_ok_and(|n| n > 0) {
                    request_arrived.send_modify(|n| *n += 1);
                    is_broken.wait_for(|is_broken| *is_broken).await.expect("open");
                }
            }
        });
        // Given: a request in flight at a backend that does not answer.
        let b = Backend::start("b", &script).await;
        let discovery = Discovery::start(vec![endpoint("silent", addr, "SERVING")]).await;
        let mut config = discovery.config(settings());
        let mut proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
        let mut client = proxy.client().await;
        let held_call = tokio::spawn(async move { client.call(class).await });
        in_time(arrived.wait_for(|n| *n == 1)).await.expect("open");
        discovery.publish(vec![endpoint("silent", addr, "DRAINING"), b.endpoint("SERVING")]).await;
        // When: a reload changes the semantics of its class, and then its attempt fails.
        let class_index = if class == "look" { 0 } else { 2 };
        assert_eq!(config["settings"]["classes"][class_index]["semantics"], before);
        config["settings"]["classes"][class_index]["semantics"] = after.into();
        config["listen"] = "127.0.0.1:0".into();
        proxy.reload(&config.to_string(), "configuration applied").await;
        break_connection.send_replace(true);
        // Then: the request is retried, or not, by the semantics at its arrival.
        assert_eq!(held_call.await.expect("no panic").0, status, "received as {before}");
        assert_eq!(1 + script.requests_at("b"), attempts, "received as {before}");
    }
}

/// An invalid configuration is rejected as a whole with one log line, and the admin API states the reason.
#[tokio::test]
async fn invalid_configuration_is_rejected_as_a_whole() {
    let mut fixture = start_fixture().await;
    fixture.reload_with(|config| config["version"] = 5.into()).await;
    assert_eq!(fixture.version_in_force().await, 5);
    let valid = fixture.config.clone();
    type Change = fn(&mut Value);
    let invalid: [(&str, Change); 16] = [
        ("config", |config| *config = "nothing".into()),
        ("aim", |config| config["settings"]["classes"][0]["aim"] = (-1.0).into()),
        ("classes[0].aim", |config| config["settings"]["classes"][0]["aim"] = 0.0.into()),
        ("classes", |config| classes(config).clear()),
        ("quotaPerS", |config| tenants(config).push(json!({"name": "zenith"}))),
        ("connIdle", |config| config["settings"]["caps"]["connIdle"] = 0.0.into()),
        ("name", |config| config["name"] = "n1".into()),
        ("listen", |config| config["listen"] = "127.0.0.1:1".into()),
        ("management", |config| config["management"] = Value::Null),
        ("limits.sockets", |config| config["limits"]["sockets"] = 300.into()),
        ("tier", |config| config["settings"]["tier"] = 1.into()),
        ("tick", |config| config["settings"]["tick"] = 6.0.into()),
        ("localities", |config| config["settings"]["localities"] = json!(["b", "a"])),
        ("discovery", |config| config["settings"]["discovery"] = "subscribe".into()),
        ("version", |config| config["version"] = 4.into()),
        ("version", |config| config["settings"]["classes"][0]["points"] = 2.0.into()),
    ];
    for (key, change) in invalid {
        let mut config = valid.clone();
        tenants(&mut config).push(json!({"name": "zenith", "quotaPerS": 5.0}));
        // Every version here is above the one in force, except where the version is the reason for the
        // rejection.
        config["version"] = 6.into();
        if key == "version" {
            config = valid.clone();
        }
        change(&mut config);
        let log_line = fixture.proxy.reload_line(&config.to_string()).await;
        assert!(log_line.contains("configuration rejected: ") && log_line.contains(key), "{key}: {log_line}");
        let admin_json = fixture.proxy.admin_json("/v1/settings").await;
        let why = admin_json["refused"]["why"].as_str().expect("a reason");
        assert!(log_line.ends_with(why) && admin_json["version"] == 5, "{log_line}: {admin_json}");
        assert_eq!(
            (
                status_for_tenant(&fixture.proxy, "acme").await,
                status_for_tenant(&fixture.proxy, "zenith").await
            ),
            (200, 400),
            "{key}"
        );
    }
    // The next valid configuration is applied.
    fixture.config = valid;
    let log_line =
        fixture.reload_with(|config| (config["version"], config["known"]) = (6.into(), Value::Null)).await;
    assert!(log_line.contains("version 6"), "{log_line}");
}

/// The version is the one in the file, or the next number if the file has none. An unchanged file keeps its
/// version.
#[tokio::test]
async fn admin_api_shows_the_version_in_force() {
    let mut fixture = start_fixture().await;
    assert_eq!(fixture.version_in_force().await, 1);
    fixture.reload_with(|_| ()).await;
    assert_eq!(fixture.version_in_force().await, 1);
    let points = |n: f64| move |config: &mut Value| config["settings"]["classes"][1]["points"] = n.into();
    fixture.reload_with(points(2.0)).await;
    assert_eq!(fixture.version_in_force().await, 2);
    fixture.reload_with(|config| config["version"] = 40.into()).await;
    fixture.reload_with(|_| ()).await;
    let admin_json = fixture.proxy.admin_json("/v1/settings").await;
    assert_eq!((&admin_json["version"], &admin_json["refused"]), (&40.into(), &Value::Null));
    assert_eq!(fixture.proxy.call_admin("POST", "/v1/settings").await, 405);
    // A second process of the same proxy has the same file; later the first one gets a newer file.
    let other = fixture.proxy.start_beside(&fixture.config).await;
    let processes = |one: u64, two: u64| {
        let mut all = vec![(fixture.proxy.pid(), one), (other.pid(), two)];
        all.sort_unstable();
        Value::from_iter(all.into_iter().map(|(pid, version)| json!({"pid": pid, "version": version})))
    };
    let both = processes(40, 40);
    in_time(async { while other.admin_json("/v1/settings").await["processes"] != both {} }).await;
    let newer = processes(41, 40);
    fixture
        .reload_with(|config| {
            (config["version"], config["settings"]["classes"][1]["points"]) = (41.into(), 3.0.into())
        })
        .await;
    for admin in [&fixture.proxy, &other] {
        in_time(async { while admin.admin_json("/v1/settings").await["processes"] != newer {} }).await;
    }
}

/// A reload closes no connection: neither those of clients and backends nor that of the watch.
#[tokio::test]
async fn connections_survive_a_reload() {
    let mut fixture = start_fixture().await;
    // Given: connections to a client, a backend and discovery.
    let mut client = fixture.proxy.client().await;
    assert_eq!(client.call("look").await.0, 200);
    let mut backends = fixture.a.open_connections.subscribe();
    backends.mark_unchanged();
    // When: the settings change many times.
    for n in 1..=20 {
        fixture
            .reload_with(|config| {
                config["settings"]["classes"][0]["aim"] = (20_000.0 + f64::from(n)).into();
                config["settings"]["peersTotal"] = (1 + n % 3).into();
                config["settings"]["caps"]["connIdle"] = (50_000.0 + f64::from(n)).into();
                tenants(config).push(json!({"name": format!("t-{n}"), "quotaPerS": 5.0}));
            })
            .await;
        assert_eq!(client.call("look").await, (200, "a".into()));
    }
    // Then: no connection was closed or opened.
    fixture.discovery.publish(vec![fixture.a.endpoint("SERVING")]).await;
    assert!(!backends.has_changed().expect("open"));
    assert_eq!(fixture.discovery.full_list_requests.load(SeqCst), 1, "the watch was started again");
    assert_eq!(fixture.version_in_force().await, 21);
    // A reload that changes only the discovery address moves only the watch.
    let other = Discovery::start(vec![fixture.a.endpoint("SERVING")]).await;
    let moved = other.config(settings())["discovery"].clone();
    fixture.reload_with(|config| config["discovery"] = moved).await;
    other.wait_until_applied().await;
    in_time(fixture.discovery.open_connections.subscribe().wait_for(|n| *n == 0)).await.expect("open");
    assert_eq!(client.call("look").await, (200, "a".into()));
    assert!(!backends.has_changed().expect("open"));
}

/// Guards against checking a request against outdated settings: its head is received before a reload and its
/// body after it, and the settings in force at the end of the body apply.
#[tokio::test]
async fn body_after_a_reload_is_checked_against_new_settings() {
    type Change = fn(&mut Value);
    let changes: [(u16, Change); 4] = [
        (200, |config| classes(config).reverse()),
        (200, |config| drop(classes(config).remove(0))),
        (404, |config| drop(classes(config).remove(1))),
        (405, |config| config["settings"]["classes"][1]["semantics"] = "retryable".into()),
    ];
    for (status, change) in changes {
        let mut fixture = start_fixture().await;
        // Given: a request whose head has been read.
        let mut client = TcpStream::connect(fixture.proxy.addr).await.expect("the proxy listens");
        let head = "POST /keep?k=1 HTTP/1.1\r\nHost: o\r\nReq-Id: 1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\
                    Idempotency-Key: 1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n";
        client.write_all(head.as_bytes()).await.expect("open");
        // The interim response shows that the proxy has read the head.
        let mut received = [0; 64];
        let length = in_time(client.read(&mut received)).await.expect("open");
        assert!(
            received[..length].starts_with(b"HTTP/1.1 100"),
            "{:?}",
            String::from_utf8_lossy(&received[..length])
        );
        // When: the body follows after a reload.
        fixture.reload_with(change).await;
        client.write_all(b"body").await.expect("open");
        let length = in_time(client.read(&mut received)).await.expect("open");
        // Then: the settings in force decide on the request.
        let answer = String::from_utf8_lossy(&received[..length]).into_owned();
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{status}: {answer}");
        assert_eq!(fixture.script.requests_at("a"), usize::from(status == 200));
    }
}

/// Guards against continuing to stream a long body after a reload has removed the class of its request: the
/// connection ends with the answer, and the bytes that follow are not read as a request.
#[tokio::test]
async fn body_is_not_read_on_once_its_class_is_removed() {
    let mut fixture = start_fixture().await;
    // Given: a request whose head has been read.
    let mut client = TcpStream::connect(fixture.proxy.addr).await.expect("the proxy listens");
    let head = "POST /keep?k=1 HTTP/1.1\r\nHost: o\r\nReq-Id: 1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\
                Idempotency-Key: 1\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n";
    client.write_all(head.as_bytes()).await.expect("open");
    // The interim response shows that the proxy has read the head.
    let mut received = [0; 1024];
    let length = in_time(client.read(&mut received)).await.expect("open");
    assert!(received[..length].starts_with(b"HTTP/1.1 100"));
    // When: a reload removes its class, and more of the body follows than is buffered.
    fixture.reload_with(|config| drop(classes(config).remove(1))).await;
    let mut chunk = b"14000\r\n".to_vec();
    chunk.extend([b'x'; 0x14000]);
    chunk.extend(b"\r\n");
    client.write_all(&chunk).await.expect("open");
    // Then: the request is rejected, and its connection ends.
    let length = in_time(client.read(&mut received)).await.expect("open");
    assert!(received[..length].starts_with(b"HTTP/1.1 404"));
    let next = "0\r\n\r\nGET /look HTTP/1.1\r\nHost: o\r\nReq-Id: 2\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\r\n";
    // The proxy may have closed the connection already.
    let _ = client.write_all(next.as_bytes()).await;
    let is_closed = matches!(in_time(client.read(&mut received)).await, Ok(0) | Err(_));
    assert!(is_closed, "the bytes after the body were answered");
    assert_eq!(fixture.script.requests_at("a"), 0);
}
