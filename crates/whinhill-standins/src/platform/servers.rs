//! The servers' own addresses, at which assigners probe them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::plane::Plane;
use super::world::{Condition, Shared};

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
            let (condition, in_hand) = {
                let world = world.lock();
                let (now, server) = (world.now(), &world.servers[place]);
                (
                    server.condition,
                    server.workers[Plane::Judged as usize].iter().filter(|free| **free > now).count(),
                )
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
                    let _ = answer(stream, in_hand);
                }
            }
        }
    })?;
    Ok(addr)
}

fn answer(mut stream: TcpStream, in_hand: usize) -> io::Result<()> {
    stream.set_read_timeout(Some(REQUEST_WITHIN))?;
    let (mut request, mut piece) = (Vec::new(), [0; 512]);
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut piece)? {
            0 => return Ok(()),
            n => request.extend_from_slice(&piece[..n]),
        }
    }
    let busy = in_hand as f64 / super::world::WORKERS as f64;
    let body = format!("inflight={in_hand},queue=0,util={busy:.2}");
    let length = body.len();
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}")
}
