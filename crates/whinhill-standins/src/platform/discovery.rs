//! Discovery: serves the list of servers, in full and as a watch on changes, at one address for
//! each assigner.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::parameters::{DISCOVERY_KEEPALIVE_INTERVAL, ZONES};
use super::sabotage::Sabotage;
use super::state::{ListChange, PlatformState, SharedState, Status};

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// How often a watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const STACK_SIZE: usize = 256 << 10;

/// Starts the discovery address of one assigner.
pub fn start(platform: Arc<SharedState>, node: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::Builder::new().name("discovery".into()).stack_size(STACK_SIZE).spawn(move || {
        for stream in listener.incoming().flatten() {
            let platform = platform.clone();
            let served = thread::Builder::new().name("discovery-stream".into()).stack_size(STACK_SIZE);
            let _ = served.spawn(move || drop(serve(&platform, node, stream)));
        }
    })?;
    Ok(addr)
}

fn serve(platform: &SharedState, node: usize, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut request = String::new();
    BufReader::new(stream.try_clone()?).read_line(&mut request)?;
    let since = request.split("since=").nth(1).and_then(|rest| rest.split([' ', '&']).next()?.parse().ok());
    let watch = request.contains("follow=1");
    let (version, list) = list_since(&platform.lock(), node, since.filter(|_| watch));
    stream.write_all(format!("{HEAD}{}", chunk(&list)).as_bytes())?;
    record_published(platform, node, version);
    if !watch {
        return stream.write_all(b"0\r\n\r\n");
    }
    follow(platform, node, stream, version)
}

fn follow(platform: &SharedState, node: usize, mut stream: TcpStream, mut version: u64) -> io::Result<()> {
    let mut next_keepalive = Instant::now() + DISCOVERY_KEEPALIVE_INTERVAL;
    loop {
        thread::sleep(POLL_INTERVAL);
        let (newest, list) = list_since(&platform.lock(), node, Some(version));
        if newest > version {
            // The first write after the peer has closed succeeds but reaches nobody.
            if is_closed_by_peer(&stream)? {
                return Ok(());
            }
            stream.write_all(chunk(&list).as_bytes())?;
            version = newest;
            record_published(platform, node, version);
        } else if Instant::now() >= next_keepalive {
            stream.write_all(chunk("").as_bytes())?;
        } else {
            continue;
        }
        next_keepalive = Instant::now() + DISCOVERY_KEEPALIVE_INTERVAL;
    }
}

fn is_closed_by_peer(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(!matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock))
}

fn record_published(platform: &SharedState, node: usize, version: u64) {
    let mut platform = platform.lock();
    let arrives_at = platform.now().max(platform.nodes[node].lists_held_until);
    platform.nodes[node].lists_published.push((version, arrives_at));
}

/// The changes after `since` that an assigner may see by now, or the full list.
fn list_since(platform: &PlatformState, node: usize, since: Option<u64>) -> (u64, String) {
    let known = platform.now().saturating_sub(platform.nodes[node].list_delay);
    let visible = |change: &&ListChange| change.at <= known;
    let version = platform.changes.iter().filter(visible).map(|change| change.version).max().unwrap_or(1);
    let is_full = since.is_none_or(|since| since == 0 || since > version);
    let mut entries = Vec::new();
    for (number, server) in platform.servers.iter().enumerate() {
        let changed = |change: &ListChange| {
            change.server == number && change.version > since.unwrap_or(0) && change.version <= version
        };
        let is_hidden = platform.sabotage == Some(Sabotage::HiddenServers) && server.started.is_some();
        let wanted = platform.changes.iter().any(changed) && !is_hidden;
        if wanted && !(is_full && server.status == Status::Gone) {
            entries.push(serde_json::json!({
                "name": server.name, "address": server.addr.to_string(), "zone": ZONES[server.zone], "type": "m",
                "group": 0, "status": server.status.wire_name(), "weight": 1.0, "since_ms": server.started_unix_ms,
            }));
        }
    }
    let list = serde_json::json!({"index": version, "snapshot": is_full, "endpoints": entries});
    (version, list.to_string())
}

/// The full list in discovery's format, as an assigner last had it.
pub fn full_list(platform: &PlatformState) -> serde_json::Value {
    serde_json::from_str(&list_since(platform, 0, None).1).unwrap_or_default()
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
