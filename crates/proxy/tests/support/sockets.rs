//! Clients and listeners byte by byte, and the table of sockets that the system keeps.

use super::*;

/// A listener whose queue is full: connects to it neither succeed nor fail. The streams hold the queue.
pub async fn listener_with_full_backlog() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(1).expect("it listens");
    let addr = listener.local_addr().expect("bound");
    let mut backlog = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(300), TcpStream::connect(addr)).await {
        backlog.push(stream.expect("a connection"));
        assert!(backlog.len() < 100, "the queue fills up");
    }
    (listener, backlog)
}

/// A port that is taken, and on which nobody listens yet: connects are refused while the socket is held.
pub fn bound_socket_without_listener() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = socket.local_addr().expect("bound");
    (socket, address)
}

/// Waits until somebody's connect to an address is under way, by the system's table of connections.
pub async fn wait_for_connect_attempt(addr: SocketAddr) {
    const SYN_SENT: &str = "02";
    let port = format!(":{:04X}", addr.port());
    let is_connecting = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(2).is_some_and(|remote| remote.ends_with(&port)) && fields.get(3) == Some(&SYN_SENT)
    };
    while !std::fs::read_to_string("/proc/net/tcp").expect("a table").lines().any(is_connecting) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// What stands on a new connection that the proxy closes before its first request.
pub const REJECTED_FIRST_REQUEST: &str = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\
                                          Content-Length: 0\r\nRetry-After: 0.500\r\n\r\n";

/// A request as bytes.
pub fn request_head(line: &str, id: &str) -> String {
    format!("{line} HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\r\n")
}

pub async fn connect_tcp(addr: SocketAddr) -> TcpStream {
    in_time(TcpStream::connect(addr)).await.expect("the system takes it")
}

/// The status of the next answer on a connection; none where it ends without.
pub async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut answer = Vec::new();
    while !answer.windows(4).any(|w| w == b"\r\n\r\n") {
        if in_time(stream.read_buf(&mut answer)).await.ok()? == 0 {
            return None;
        }
    }
    let text = String::from_utf8(answer).ok()?;
    text.split(' ').nth(1)?.parse().ok()
}

/// What the system's table says of a connection.
pub struct TcpTableEntry {
    pub local_port: u16,
    pub remote_port: u16,
    pub state: u8,
    /// Bytes that came and were not read.
    pub unread_bytes: u32,
}

/// Neither side has ended its sending.
pub const ESTABLISHED: u8 = 1;

/// The system's table of connections.
pub fn tcp_table() -> Vec<TcpTableEntry> {
    let port = |address: &str| u16::from_str_radix(address.rsplit(':').next()?, 16).ok();
    let row = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, remote, state, queues, ..] = fields.as_slice() else { return None };
        let unread = queues.split_once(':').and_then(|(_, unread)| u32::from_str_radix(unread, 16).ok())?;
        let state = u8::from_str_radix(state, 16).ok()?;
        Some(TcpTableEntry {
            local_port: port(local)?,
            remote_port: port(remote)?,
            state,
            unread_bytes: unread,
        })
    };
    let text = std::fs::read_to_string("/proc/net/tcp").expect("a table");
    text.lines().filter_map(row).collect()
}

/// Waits until connects to an address are refused. With a pause between them, the system's queue doesn't fill up: a
/// connect to a full one is repeated only after a second.
pub async fn wait_until_listener_closed(addr: SocketAddr) {
    const CONNECT_INTERVAL: Duration = Duration::from_millis(5);
    in_time(async {
        while TcpStream::connect(addr).await.is_ok() {
            tokio::time::sleep(CONNECT_INTERVAL).await;
        }
    })
    .await;
}
