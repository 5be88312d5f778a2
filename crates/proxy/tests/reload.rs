//! Settings put in force with SIGHUP, at the started program with real connections.

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
    /// As it stands in the file.
    config: Value,
}

async fn fixture() -> Fixture {
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
    /// Changes the file, sends SIGHUP, and gives the one line that the log has for it.
    async fn change(&mut self, change: impl FnOnce(&mut Value)) -> String {
        change(&mut self.config);
        self.proxy.reload_line(&self.config.to_string()).await
    }

    async fn version(&self) -> u64 {
        self.proxy.admin_json("/v1/settings").await["version"].as_u64().expect("a number")
    }
}

/// One call of a tenant's on a connection of its own; its status.
async fn of_tenant(proxy: &Proxy, tenant: &str) -> u16 {
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
async fn a_tenant_added_to_the_file_is_served() {
    let mut s = fixture().await;
    assert_eq!(of_tenant(&s.proxy, "zenith").await, 400);
    let said = s.change(|c| tenants(c).insert(0, json!({"name": "zenith", "quotaPerS": 5.0}))).await;
    assert!(said.contains("configuration applied, version 2"), "{said}");
    assert_eq!((of_tenant(&s.proxy, "zenith").await, of_tenant(&s.proxy, "acme").await), (200, 200));
    s.change(|c| drop(tenants(c).remove(0))).await;
    assert_eq!((of_tenant(&s.proxy, "zenith").await, of_tenant(&s.proxy, "acme").await), (400, 200));
}

#[tokio::test]
async fn a_class_that_is_gone_is_unknown_and_what_it_has_in_work_is_answered() {
    let mut s = fixture().await;
    let (hold, mut client) = (Arc::new(Notify::new()), s.proxy.client().await);
    s.script.enqueue([BackendBehavior::Hold(hold.clone())]);
    let held = tokio::spawn(async move { client.call("look").await });
    s.script.wait_for_requests(1).await;
    let unknown = s.proxy.call("unheard").await;
    // The others change their places.
    s.change(|c| drop(classes(c).remove(0))).await;
    assert_eq!(s.proxy.call("look").await, unknown);
    for class in ["keep", "once"] {
        assert_eq!(s.proxy.call(class).await, (200, "a".into()));
    }
    hold.notify_one();
    assert_eq!(held.await.expect("no panic"), (200, "a".into()));
    s.change(|c| classes(c).push(settings()["classes"][0].clone())).await;
    assert_eq!(s.proxy.call("look").await, (200, "a".into()));
}

/// A request that may not run twice when it was taken is not repeated, though its class may be by now; and the other
/// way round.
#[tokio::test]
async fn an_open_request_keeps_its_idempotency() {
    for (before, after, class, status, runs) in
        [("fragile", "retryable", "once", 502, 1), ("retryable", "fragile", "look", 200, 2)]
    {
        let script = Arc::new(BackendScript::default());
        // The first answer is broken off once the settings have changed.
        let (go, mut gone) = tokio::sync::watch::channel(false);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let (wait_for_requests, mut arrived) = tokio::sync::watch::channel(0);
        tokio::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let mut head = [0; 4096];
                if stream.read(&mut head).await.is_ok_and(|n| n > 0) {
                    wait_for_requests.send_modify(|n| *n += 1);
                    gone.wait_for(|gone| *gone).await.expect("open");
                }
            }
        });
        let b = Backend::start("b", &script).await;
        let discovery = Discovery::start(vec![endpoint("silent", addr, "SERVING")]).await;
        let mut config = discovery.config(settings());
        let mut proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
        let mut client = proxy.client().await;
        let held = tokio::spawn(async move { client.call(class).await });
        in_time(arrived.wait_for(|n| *n == 1)).await.expect("open");
        discovery.publish(vec![endpoint("silent", addr, "DRAINING"), b.endpoint("SERVING")]).await;
        let place = if class == "look" { 0 } else { 2 };
        assert_eq!(config["settings"]["classes"][place]["semantics"], before);
        config["settings"]["classes"][place]["semantics"] = after.into();
        config["listen"] = "127.0.0.1:0".into();
        proxy.reload(&config.to_string(), "configuration applied").await;
        go.send_replace(true);
        assert_eq!(held.await.expect("no panic").0, status, "taken as {before}");
        assert_eq!(1 + script.requests_at("b"), runs, "taken as {before}");
    }
}

/// What can't be put in force is refused whole, with one line, and the admin API says why.
#[tokio::test]
async fn a_bad_file_is_rejected_completely() {
    let mut s = fixture().await;
    s.change(|c| c["version"] = 5.into()).await;
    assert_eq!(s.version().await, 5);
    let good = s.config.clone();
    type Change = fn(&mut Value);
    let bad: [(&str, Change); 16] = [
        ("config", |c| *c = "nothing".into()),
        ("aim", |c| c["settings"]["classes"][0]["aim"] = (-1.0).into()),
        ("classes[0].aim", |c| c["settings"]["classes"][0]["aim"] = 0.0.into()),
        ("classes", |c| classes(c).clear()),
        ("quotaPerS", |c| tenants(c).push(json!({"name": "zenith"}))),
        ("connIdle", |c| c["settings"]["caps"]["connIdle"] = 0.0.into()),
        ("name", |c| c["name"] = "n1".into()),
        ("listen", |c| c["listen"] = "127.0.0.1:1".into()),
        ("management", |c| c["management"] = Value::Null),
        ("limits.sockets", |c| c["limits"]["sockets"] = 300.into()),
        ("tier", |c| c["settings"]["tier"] = 1.into()),
        ("tick", |c| c["settings"]["tick"] = 6.0.into()),
        ("localities", |c| c["settings"]["localities"] = json!(["b", "a"])),
        ("discovery", |c| c["settings"]["discovery"] = "subscribe".into()),
        ("version", |c| c["version"] = 4.into()),
        ("version", |c| c["settings"]["classes"][0]["points"] = 2.0.into()),
    ];
    for (key, change) in bad {
        let mut config = good.clone();
        tenants(&mut config).push(json!({"name": "zenith", "quotaPerS": 5.0}));
        // All of these have a number above the one in force, but those that are refused for it.
        config["version"] = 6.into();
        if key == "version" {
            config = good.clone();
        }
        change(&mut config);
        let said = s.proxy.reload_line(&config.to_string()).await;
        assert!(said.contains("configuration rejected: ") && said.contains(key), "{key}: {said}");
        let admin_json = s.proxy.admin_json("/v1/settings").await;
        let why = admin_json["refused"]["why"].as_str().expect("a reason");
        assert!(said.ends_with(why) && admin_json["version"] == 5, "{said}: {admin_json}");
        assert_eq!(
            (of_tenant(&s.proxy, "acme").await, of_tenant(&s.proxy, "zenith").await),
            (200, 400),
            "{key}"
        );
    }
    // The next good one is taken.
    s.config = good;
    let said = s.change(|c| (c["version"], c["known"]) = (6.into(), Value::Null)).await;
    assert!(said.contains("version 6"), "{said}");
}

/// With a number in the file that number counts, without one the next; the same file again is the same version.
#[tokio::test]
async fn the_admin_api_shows_the_version_in_force() {
    let mut s = fixture().await;
    assert_eq!(s.version().await, 1);
    s.change(|_| ()).await;
    assert_eq!(s.version().await, 1);
    let points = |n: f64| move |c: &mut Value| c["settings"]["classes"][1]["points"] = n.into();
    s.change(points(2.0)).await;
    assert_eq!(s.version().await, 2);
    s.change(|c| c["version"] = 40.into()).await;
    s.change(|_| ()).await;
    let admin_json = s.proxy.admin_json("/v1/settings").await;
    assert_eq!((&admin_json["version"], &admin_json["refused"]), (&40.into(), &Value::Null));
    assert_eq!(s.proxy.call_admin("POST", "/v1/settings").await, 405);
    // A second process of the same proxy has the same file, and later a newer one.
    let other = s.proxy.start_beside(&s.config).await;
    let processes = |one: u64, two: u64| {
        let mut all = vec![(s.proxy.pid(), one), (other.pid(), two)];
        all.sort_unstable();
        Value::from_iter(all.into_iter().map(|(pid, version)| json!({"pid": pid, "version": version})))
    };
    let both = processes(40, 40);
    in_time(async { while other.admin_json("/v1/settings").await["processes"] != both {} }).await;
    let newer = processes(41, 40);
    s.change(|c| (c["version"], c["settings"]["classes"][1]["points"]) = (41.into(), 3.0.into())).await;
    for admin in [&s.proxy, &other] {
        in_time(async { while admin.admin_json("/v1/settings").await["processes"] != newer {} }).await;
    }
}

/// A change of settings closes nothing: no client's connection, no backend's, and not that of the watch.
#[tokio::test]
async fn connections_outlast_changes() {
    let mut s = fixture().await;
    let mut client = s.proxy.client().await;
    assert_eq!(client.call("look").await.0, 200);
    let mut backends = s.a.open_connections.subscribe();
    backends.mark_unchanged();
    for n in 1..=20 {
        s.change(|c| {
            c["settings"]["classes"][0]["aim"] = (20_000.0 + f64::from(n)).into();
            c["settings"]["peersTotal"] = (1 + n % 3).into();
            c["settings"]["caps"]["connIdle"] = (50_000.0 + f64::from(n)).into();
            tenants(c).push(json!({"name": format!("t-{n}"), "quotaPerS": 5.0}));
        })
        .await;
        assert_eq!(client.call("look").await, (200, "a".into()));
    }
    s.discovery.publish(vec![s.a.endpoint("SERVING")]).await;
    assert!(!backends.has_changed().expect("open"));
    assert_eq!(s.discovery.full_list_requests.load(SeqCst), 1, "the watch goes on");
    assert_eq!(s.version().await, 21);
    // Where discovery moves, and nothing else, only the watch does.
    let other = Discovery::start(vec![s.a.endpoint("SERVING")]).await;
    let moved = other.config(settings())["discovery"].clone();
    s.change(|c| c["discovery"] = moved).await;
    other.wait_until_applied().await;
    in_time(s.discovery.open_connections.subscribe().wait_for(|n| *n == 0)).await.expect("open");
    assert_eq!(client.call("look").await, (200, "a".into()));
    assert!(!backends.has_changed().expect("open"));
}

/// A head that came before a change and a body that comes after it: the request is taken under what is in force then.
#[tokio::test]
async fn a_body_that_comes_after_a_change_meets_the_settings_in_force() {
    type Change = fn(&mut Value);
    let changes: [(u16, Change); 4] = [
        (200, |c| classes(c).reverse()),
        (200, |c| drop(classes(c).remove(0))),
        (404, |c| drop(classes(c).remove(1))),
        (405, |c| c["settings"]["classes"][1]["semantics"] = "retryable".into()),
    ];
    for (status, change) in changes {
        let mut s = fixture().await;
        let mut client = TcpStream::connect(s.proxy.addr).await.expect("it listens");
        let head = "POST /keep?k=1 HTTP/1.1\r\nHost: o\r\nReq-Id: 1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\
                    Idempotency-Key: 1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n";
        client.write_all(head.as_bytes()).await.expect("open");
        // That it is asked for its body shows that its head was read.
        let mut said = [0; 64];
        let n = in_time(client.read(&mut said)).await.expect("open");
        assert!(said[..n].starts_with(b"HTTP/1.1 100"), "{:?}", String::from_utf8_lossy(&said[..n]));
        s.change(change).await;
        client.write_all(b"body").await.expect("open");
        let n = in_time(client.read(&mut said)).await.expect("open");
        let answer = String::from_utf8_lossy(&said[..n]).into_owned();
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{status}: {answer}");
        assert_eq!(s.script.requests_at("a"), usize::from(status == 200));
    }
}

/// The part of a long body that came before a change is not streamed on where the settings in force know no such
/// class: its connection ends with the answer, and what comes behind it is no request.
#[tokio::test]
async fn the_rest_of_a_long_body_is_not_read_once_its_class_is_gone() {
    let mut s = fixture().await;
    let mut client = TcpStream::connect(s.proxy.addr).await.expect("it listens");
    let head = "POST /keep?k=1 HTTP/1.1\r\nHost: o\r\nReq-Id: 1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\
                Idempotency-Key: 1\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n";
    client.write_all(head.as_bytes()).await.expect("open");
    // That it is asked for its body shows that its head was read.
    let mut received = [0; 1024];
    let length = in_time(client.read(&mut received)).await.expect("open");
    assert!(received[..length].starts_with(b"HTTP/1.1 100"));
    s.change(|config| drop(classes(config).remove(1))).await;
    let mut chunk = b"14000\r\n".to_vec();
    chunk.extend([b'x'; 0x14000]);
    chunk.extend(b"\r\n");
    client.write_all(&chunk).await.expect("open");
    let length = in_time(client.read(&mut received)).await.expect("open");
    assert!(received[..length].starts_with(b"HTTP/1.1 404"));
    let next = "0\r\n\r\nGET /look HTTP/1.1\r\nHost: o\r\nReq-Id: 2\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\r\n";
    // The connection may be closed already.
    let _ = client.write_all(next.as_bytes()).await;
    let is_closed = matches!(in_time(client.read(&mut received)).await, Ok(0) | Err(_));
    assert!(is_closed, "what lies behind the body was answered");
    assert_eq!(s.script.requests_at("a"), 0);
}
