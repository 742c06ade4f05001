//! The servers' own addresses, at which assigners probe them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::plane::Plane;
use super::world::{Condition, Server, Shared, WORKERS};

const STACK: usize = 128 << 10;
/// Connections that a silent server keeps open: the newest, since whoever asks gives up within a second.
const HELD_MOST: usize = 64;
/// A request is there within this, or its sender has gone.
const REQUEST_WITHIN: Duration = Duration::from_millis(500);

/// Starts a server's address. `place` is known once the world has the server.
pub fn start(world: Arc<Shared>, listener: TcpListener, place: usize) -> io::Result<SocketAddr> {
    let addr = listener.local_addr()?;
    thread::Builder::new().name("server".into()).stack_size(STACK).spawn(move || {
        let mut held = Vec::new();
        for stream in listener.incoming().flatten() {
            let (condition, load) = {
                let world = world.lock();
                let server = &world.servers[place];
                (server.condition, Load::of(server, world.now()))
            };
            match condition {
                Condition::Silent | Condition::Mute => {
                    held.push(stream);
                    if held.len() > HELD_MOST {
                        held.remove(0);
                    }
                }
                // As if nobody listened.
                Condition::Dead | Condition::Reset => drop(stream),
                Condition::Well | Condition::Hang | Condition::Slow(_) => {
                    held.clear();
                    let _ = answer(stream, load);
                }
            }
        }
    })?;
    Ok(addr)
}

/// What a server tells of its load. RPCs that hang hold a worker, and no core.
#[derive(Clone, Copy, Debug)]
struct Load {
    in_hand: usize,
    queued: usize,
    busy: usize,
}

impl Load {
    fn of(server: &Server, now: Duration) -> Self {
        let left = server.workers[Plane::Judged as usize].map(|free| free.saturating_sub(now));
        let working = left.iter().filter(|left| !left.is_zero()).count();
        // A worker is in the middle of one RPC; the rest of its work stands in the queue.
        let held: f64 = left.iter().map(|left| left.div_duration_f64(server.mean_work(now)).ceil()).sum();
        let hanging = server.held.iter().filter(|until| **until > now).count();
        let in_hand = held as usize + hanging;
        Load { in_hand, queued: in_hand.saturating_sub(WORKERS), busy: working }
    }
}

fn answer(mut stream: TcpStream, load: Load) -> io::Result<()> {
    stream.set_read_timeout(Some(REQUEST_WITHIN))?;
    let (mut request, mut piece) = (Vec::new(), [0; 512]);
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut piece)? {
            0 => return Ok(()),
            n => request.extend_from_slice(&piece[..n]),
        }
    }
    let Load { in_hand, queued, busy } = load;
    let util = busy as f64 / WORKERS as f64;
    let body = format!("inflight={in_hand},queue={queued},util={util:.2}");
    let length = body.len();
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}")
}
