//! Raw client sockets and listeners, and the kernel's table of TCP connections.

use super::*;

/// Creates a listener whose accept queue is full, so that connects to it neither succeed nor fail. The
/// returned streams keep the queue full.
pub async fn listener_with_full_backlog() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("create a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bind a port");
    let listener = socket.listen(1).expect("listen");
    let addr = listener.local_addr().expect("a local address");
    let mut backlog = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(300), TcpStream::connect(addr)).await {
        backlog.push(stream.expect("connect"));
        assert!(backlog.len() < 100, "the queue fills up");
    }
    (listener, backlog)
}

/// Binds a socket that does not listen yet: connects to its address are refused as long as the socket is
/// kept.
pub fn bound_socket_without_listener() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("create a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bind a port");
    let address = socket.local_addr().expect("a local address");
    (socket, address)
}

/// Waits until the kernel's connection table shows a pending connect (SYN_SENT) to an address.
pub async fn wait_for_connect_attempt(addr: SocketAddr) {
    const SYN_SENT: &str = "02";
    let port = format!(":{:04X}", addr.port());
    let is_connecting = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(2).is_some_and(|remote| remote.ends_with(&port)) && fields.get(3) == Some(&SYN_SENT)
    };
    while !std::fs::read_to_string("/proc/net/tcp")
        .expect("read the connection table")
        .lines()
        .any(is_connecting)
    {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// The bytes that the proxy writes to a new connection that it closes before the first request.
pub const REJECTED_FIRST_REQUEST: &str = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\
                                          Content-Length: 0\r\nRetry-After: 0.500\r\n\r\n";

/// Returns the head of a request, which is a complete request if it has no body.
pub fn request_head(line: &str, id: &str) -> String {
    format!("{line} HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\r\n")
}

/// Opens a TCP connection.
pub async fn connect_tcp(addr: SocketAddr) -> TcpStream {
    in_time(TcpStream::connect(addr)).await.expect("connect")
}

/// Reads the next response and returns its status, or `None` if the connection ends first.
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

/// An entry of the kernel's connection table.
pub struct TcpTableEntry {
    pub local_port: u16,
    pub remote_port: u16,
    pub state: u8,
    /// The number of written bytes that the peer's kernel has not acknowledged.
    pub unacknowledged_bytes: u32,
    /// The number of received bytes that the program has not read.
    pub unread_bytes: u32,
}

/// The state of a connection on which neither side has closed its direction.
pub const ESTABLISHED: u8 = 1;

/// Reads the kernel's table of TCP connections.
pub fn tcp_table() -> Vec<TcpTableEntry> {
    let port = |address: &str| u16::from_str_radix(address.rsplit(':').next()?, 16).ok();
    let row = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, remote, state, queues, ..] = fields.as_slice() else { return None };
        let (unacknowledged, unread) = queues.split_once(':')?;
        let state = u8::from_str_radix(state, 16).ok()?;
        Some(TcpTableEntry {
            local_port: port(local)?,
            remote_port: port(remote)?,
            state,
            unacknowledged_bytes: u32::from_str_radix(unacknowledged, 16).ok()?,
            unread_bytes: u32::from_str_radix(unread, 16).ok()?,
        })
    };
    let text = std::fs::read_to_string("/proc/net/tcp").expect("read the connection table");
    text.lines().filter_map(row).collect()
}

/// Waits until connects to an address are refused. The pause between connects keeps the accept queue from
/// filling up, as the kernel repeats a connect to a full queue only after 1 s.
pub async fn wait_until_listener_closed(addr: SocketAddr) {
    const CONNECT_INTERVAL: Duration = Duration::from_millis(5);
    in_time(async {
        while TcpStream::connect(addr).await.is_ok() {
            tokio::time::sleep(CONNECT_INTERVAL).await;
        }
    })
    .await;
}
