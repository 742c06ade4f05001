//! Discovery: the list of servers, whole and as a watch on changes, at one address for each assigner.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::page::{WATCH_SIGN_EVERY, ZONES};
use super::world::{Shared, World};

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// How often a watch looks for changes.
const LOOK_EVERY: Duration = Duration::from_millis(10);
const STACK: usize = 256 << 10;

/// Starts discovery's address for one assigner.
pub fn start(world: Arc<Shared>, node: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::Builder::new().name("discovery".into()).stack_size(STACK).spawn(move || {
        for stream in listener.incoming().flatten() {
            let world = world.clone();
            let served = thread::Builder::new().name("discovery-stream".into()).stack_size(STACK);
            let _ = served.spawn(move || drop(serve(&world, node, stream)));
        }
    })?;
    Ok(addr)
}

fn serve(world: &Shared, node: usize, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut request = String::new();
    BufReader::new(stream.try_clone()?).read_line(&mut request)?;
    let since = request.split("since=").nth(1).and_then(|rest| rest.split([' ', '&']).next()?.parse().ok());
    let watch = request.contains("follow=1");
    let (version, list) = list_after(&world.lock(), node, since.filter(|_| watch));
    stream.write_all(format!("{HEAD}{}", chunk(&list)).as_bytes())?;
    note_told(world, node, version);
    if !watch {
        return stream.write_all(b"0\r\n\r\n");
    }
    follow(world, node, stream, version)
}

fn follow(world: &Shared, node: usize, mut stream: TcpStream, mut version: u64) -> io::Result<()> {
    let mut sign = Instant::now() + WATCH_SIGN_EVERY;
    loop {
        thread::sleep(LOOK_EVERY);
        let (newest, list) = list_after(&world.lock(), node, Some(version));
        if newest > version {
            // What is written after the end reaches nobody, though the first such write succeeds.
            if has_ended(&stream)? {
                return Ok(());
            }
            stream.write_all(chunk(&list).as_bytes())?;
            version = newest;
            note_told(world, node, version);
        } else if Instant::now() >= sign {
            stream.write_all(chunk("").as_bytes())?;
        } else {
            continue;
        }
        sign = Instant::now() + WATCH_SIGN_EVERY;
    }
}

fn has_ended(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(!matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock))
}

fn note_told(world: &Shared, node: usize, version: u64) {
    let mut world = world.lock();
    let arrives = world.now().max(world.nodes[node].lists_held_until);
    world.nodes[node].told.push((version, arrives));
}

/// The changes after a version that an assigner may know of by now, or the whole list.
fn list_after(world: &World, node: usize, since: Option<u64>) -> (u64, String) {
    let known = world.now().saturating_sub(world.nodes[node].list_delay);
    let visible = |change: &&super::world::Change| change.at <= known;
    let version = world.changes.iter().filter(visible).map(|change| change.version).max().unwrap_or(1);
    let whole = since.is_none_or(|since| since == 0 || since > version);
    let mut entries = Vec::new();
    for (number, server) in world.servers.iter().enumerate() {
        let changed = |change: &super::world::Change| {
            change.server == number && change.version > since.unwrap_or(0) && change.version <= version
        };
        let wanted = world.changes.iter().any(changed);
        if wanted && !(whole && server.status == super::world::Status::Gone) {
            entries.push(serde_json::json!({
                "name": server.name, "address": server.addr.to_string(), "zone": ZONES[server.zone], "type": "m",
                "group": 0, "status": server.status.word(), "weight": 1.0, "since_ms": server.started_unix_ms,
            }));
        }
    }
    let list = serde_json::json!({"index": version, "snapshot": whole, "endpoints": entries});
    (version, list.to_string())
}

/// The list in discovery's form, as an assigner last had it.
pub fn whole_list(world: &World) -> serde_json::Value {
    serde_json::from_str(&list_after(world, 0, None).1).unwrap_or_default()
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
