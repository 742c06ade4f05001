//! The servers' own addresses, at which assigners probe them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::data_plane::Plane;
use super::site::ReportSource;
use super::state::{Condition, Server, SharedState, WORKERS};

const STACK_SIZE: usize = 128 << 10;
/// How many connections a silent server keeps open: the newest ones, since a prober gives up within
/// a second.
const MAX_HELD_CONNECTIONS: usize = 64;
/// A request is complete within this time, or its sender has gone.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts a server's address. `index` is known once the platform state has the server.
pub fn start(platform: Arc<SharedState>, listener: TcpListener, index: usize) -> io::Result<SocketAddr> {
    let addr = listener.local_addr()?;
    thread::Builder::new().name("server".into()).stack_size(STACK_SIZE).spawn(move || {
        let mut held = Vec::new();
        for stream in listener.incoming().flatten() {
            let (condition, load, source) = {
                let mut platform = platform.lock();
                platform.record_probe(index);
                let server = &platform.servers[index];
                (server.condition, Load::of(server, platform.now()), platform.site.report_source)
            };
            match condition {
                Condition::Silent | Condition::Mute => {
                    held.push(stream);
                    if held.len() > MAX_HELD_CONNECTIONS {
                        held.remove(0);
                    }
                }
                // As if nothing listened at the address.
                Condition::Dead | Condition::Reset => drop(stream),
                Condition::Well | Condition::Hang | Condition::Slow(_) => {
                    held.clear();
                    let _ = answer(stream, load, source);
                }
            }
        }
    })?;
    Ok(addr)
}

/// The load that a server reports. RPCs that hang occupy a worker slot but no core.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub in_flight: usize,
    pub queued: usize,
    busy: usize,
}

impl Load {
    /// The load of a server now.
    pub fn of(server: &Server, now: Duration) -> Self {
        let remaining = server.workers[Plane::Tested as usize].map(|free| free.saturating_sub(now));
        let working = remaining.iter().filter(|remaining| !remaining.is_zero()).count();
        // Each worker executes one RPC; the rest of its work is queued.
        let working_or_queued: f64 =
            remaining.iter().map(|remaining| remaining.div_duration_f64(server.mean_work(now)).ceil()).sum();
        let hanging = server.hanging_until.iter().filter(|until| **until > now).count();
        let in_flight = working_or_queued as usize + hanging;
        Load { in_flight, queued: in_flight.saturating_sub(WORKERS), busy: working }
    }

    /// The share of the workers that are busy.
    pub fn util(self) -> f64 {
        self.busy as f64 / WORKERS as f64
    }
}

fn answer(mut stream: TcpStream, load: Load, source: ReportSource) -> io::Result<()> {
    stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
    let (mut request, mut piece) = (Vec::new(), [0; 512]);
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut piece)? {
            0 => return Ok(()),
            n => request.extend_from_slice(&piece[..n]),
        }
    }
    let body = match source {
        ReportSource::OnProbe | ReportSource::Inline => {
            format!("inflight={},queue={},util={:.2}", load.in_flight, load.queued, load.util())
        }
        ReportSource::Off => String::new(),
    };
    let length = body.len();
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}")
}
