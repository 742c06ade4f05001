//! The relay: at one address for each assigner it accepts orders and serves the watch stream.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use rustix::net::{recv, RecvFlags};

use super::parameters::{CLASSES, RELAY_KEEPALIVE_INTERVAL, SLICES, ZONES};
use super::sabotage::{Sabotage, REPEAT_COUNT};
use super::state::{Effect, PlatformState, SharedState};

/// The most lines that may be queued for a watch stream.
const WATCH_QUEUE_LINES: usize = 8192;
const STACK_SIZE: usize = 256 << 10;

/// Starts the relay address of one assigner.
pub fn start(platform: Arc<SharedState>, node: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::Builder::new().name("relay".into()).stack_size(STACK_SIZE).spawn(move || {
        for stream in listener.incoming().flatten() {
            let platform = platform.clone();
            let served = thread::Builder::new().name("relay-stream".into()).stack_size(STACK_SIZE);
            // If no thread can be started the connection is reset, as an overloaded relay would do.
            let _ = served.spawn(move || drop(serve(&platform, node, stream)));
        }
    })?;
    Ok(addr)
}

fn serve(platform: &SharedState, node: usize, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    for request in BufReader::new(stream).lines() {
        let request = request?;
        if request == "WATCH" {
            return serve_watch(platform, node, out);
        }
        if is_closed_by_peer(&out) {
            return Ok(());
        }
        let answer = match request.strip_prefix("APPLY ") {
            Some(orders) => format!("OK {}\r\n", apply_orders(&mut platform.lock(), node, orders)),
            None => "ERR invalid\r\n".to_string(),
        };
        out.write_all(answer.as_bytes())?;
    }
    Ok(())
}

/// Whether the assigner has closed the connection. A call that is read only after that on a busy
/// machine is not applied: the platform applies a call at once or never.
fn is_closed_by_peer(stream: &TcpStream) -> bool {
    let peeked = recv(stream, &mut [0], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    peeked.is_ok_and(|(_, bytes)| bytes == 0)
}

/// Sends the current state, then updates as they happen, with a keepalive each second.
fn serve_watch(platform: &SharedState, node: usize, mut out: TcpStream) -> io::Result<()> {
    let (sender, updates) = sync_channel(WATCH_QUEUE_LINES);
    let mut text = "OK\r\n".to_string();
    {
        let mut platform = platform.lock();
        for proxy in
            (0..platform.proxies).filter(|proxy| !platform.streams[*proxy][node].left).collect::<Vec<_>>()
        {
            let zone = ZONES[proxy % ZONES.len()];
            text.push_str(&format!("* hello {proxy} {zone} 5.0 0\r\n"));
        }
        for (number, slice) in platform.slices.iter().enumerate().filter(|(_, s)| s.holder == Some(node)) {
            text.push_str(&format!("* lease {number} 1\r\n"));
            if let Some(server) = slice.line {
                text.push_str(&format!("* line {number} {} 1.0\r\n", platform.servers[server].name));
            }
        }
        platform.nodes[node].watchers.push(sender);
        platform.note(format!("n{node} opens a watch"));
    }
    text.push_str("*\r\n");
    out.write_all(text.as_bytes())?;
    let ended = forward_updates(&updates, &mut out);
    platform.lock().note(format!("n{node} watch ended: {ended:?}"));
    ended
}

fn forward_updates(updates: &Receiver<String>, out: &mut TcpStream) -> io::Result<()> {
    let mut next_keepalive = Instant::now() + RELAY_KEEPALIVE_INTERVAL;
    loop {
        match updates.recv_timeout(next_keepalive.saturating_duration_since(Instant::now())) {
            Ok(line) => out.write_all(line.as_bytes())?,
            Err(RecvTimeoutError::Timeout) => {
                out.write_all(b"*\r\n")?;
                next_keepalive = Instant::now() + RELAY_KEEPALIVE_INTERVAL;
            }
            Err(RecvTimeoutError::Disconnected) => return Ok(()),
        }
    }
}

/// Applies a call and returns how many of its orders were accepted.
fn apply_orders(platform: &mut PlatformState, node: usize, orders: &str) -> usize {
    let (mut effects, mut accepted) = (Vec::new(), 0);
    for order in orders.split(';') {
        let Some(effect) = parse_order(platform, node, order) else { break };
        accepted += 1;
        match effect {
            Effect::Line { slice, .. } | Effect::Level { slice, .. }
                if platform.slices[slice].holder != Some(node) =>
            {
                continue;
            }
            Effect::Line { slice, server } => platform.order_line(slice, server),
            Effect::Level { slice, class, share } => platform.order_level(slice, class, share),
            Effect::AckRequest { ack_seq, .. } => platform.nodes[node].last_ack_seq = Some(ack_seq),
        }
        effects.push(effect);
    }
    let now = platform.now();
    let times = if platform.sabotage == Some(Sabotage::RepeatedOrders) { REPEAT_COUNT } else { 1 };
    let proxies = platform.proxies;
    (0..times).for_each(|_| platform.nodes[node].channel.enqueue_call(now, proxies, effects.len()));
    platform.send(node, &effects);
    accepted
}

/// Parses an order; `None` if it is invalid or names a server that was never listed.
fn parse_order(platform: &PlatformState, node: usize, order: &str) -> Option<Effect> {
    let words: Vec<&str> = order.split(',').collect();
    let slice = |word: &str| word.parse::<usize>().ok().filter(|slice| *slice < SLICES);
    match words[..] {
        ["put", number, server, weight] => {
            let (slice, server) = (slice(number)?, platform.server_named(server)?);
            let on = weight.parse::<f64>().ok()? > 0.0;
            // Ending the line of a server that is not the slice's line changes nothing.
            let line = platform.slices[slice].line;
            let server = if on { Some(server) } else { line.filter(|line| *line != server) };
            Some(Effect::Line { slice, server })
        }
        ["wipe", number] => Some(Effect::Line { slice: slice(number)?, server: None }),
        ["gate", number, classes, share, _tries] => {
            let class = CLASSES.iter().position(|class| class.name == classes);
            Some(Effect::Level { slice: slice(number)?, class, share: share.parse().ok()? })
        }
        ["fence", ack_seq, _] => Some(Effect::AckRequest { node, ack_seq: ack_seq.parse().ok()? }),
        _ => None,
    }
}
