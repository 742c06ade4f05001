//! The relay: one address for each assigner, at which it gives its orders and reads its news.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use rustix::net::{recv, RecvFlags};

use super::page::{CLASSES, NEWS_SIGN_EVERY, SLICES, ZONES};
use super::sabotage::{Sabotage, REPEATED};
use super::world::{Effect, Shared, World};

/// Lines that may wait for a reader of news.
const NEWS_WAITING: usize = 8192;
const STACK: usize = 256 << 10;

/// Starts the relay's address for one assigner.
pub fn start(world: Arc<Shared>, node: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::Builder::new().name("relay".into()).stack_size(STACK).spawn(move || {
        for stream in listener.incoming().flatten() {
            let world = world.clone();
            let served = thread::Builder::new().name("relay-stream".into()).stack_size(STACK);
            // Where no thread is to be had the connection is reset, as a relay that is short would.
            let _ = served.spawn(move || drop(serve(&world, node, stream)));
        }
    })?;
    Ok(addr)
}

fn serve(world: &Shared, node: usize, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    for request in BufReader::new(stream).lines() {
        let request = request?;
        if request == "WATCH" {
            return tell_news(world, node, out);
        }
        if has_ended(&out) {
            return Ok(());
        }
        let answer = match request.strip_prefix("APPLY ") {
            Some(orders) => format!("OK {}\r\n", carry_out(&mut world.lock(), node, orders)),
            None => "ERR invalid\r\n".to_string(),
        };
        out.write_all(answer.as_bytes())?;
    }
    Ok(())
}

/// Whether the assigner has given a connection up: a call that is read so late on a busy machine is not carried out, as
/// the page has it done at once or never.
fn has_ended(stream: &TcpStream) -> bool {
    let looked = recv(stream, &mut [0], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    looked.is_ok_and(|(_, bytes)| bytes == 0)
}

/// Tells what stands, then what happens, with a sign of life each second.
fn tell_news(world: &Shared, node: usize, mut out: TcpStream) -> io::Result<()> {
    let (sender, news) = sync_channel(NEWS_WAITING);
    let mut text = "OK\r\n".to_string();
    {
        let mut world = world.lock();
        for proxy in (0..world.proxies).filter(|proxy| !world.streams[*proxy][node].left).collect::<Vec<_>>()
        {
            let zone = ZONES[proxy % ZONES.len()];
            text.push_str(&format!("* hello {proxy} {zone} 5.0 0\r\n"));
        }
        for (number, slice) in world.slices.iter().enumerate().filter(|(_, s)| s.holder == Some(node)) {
            text.push_str(&format!("* lease {number} 1\r\n"));
            if let Some(server) = slice.line {
                text.push_str(&format!("* line {number} {} 1.0\r\n", world.servers[server].name));
            }
        }
        world.nodes[node].news.push(sender);
        world.note(format!("n{node} reads news"));
    }
    text.push_str("*\r\n");
    out.write_all(text.as_bytes())?;
    let ended = pass_on(&news, &mut out);
    world.lock().note(format!("n{node} news end: {ended:?}"));
    ended
}

fn pass_on(news: &Receiver<String>, out: &mut TcpStream) -> io::Result<()> {
    let mut sign = Instant::now() + NEWS_SIGN_EVERY;
    loop {
        match news.recv_timeout(sign.saturating_duration_since(Instant::now())) {
            Ok(line) => out.write_all(line.as_bytes())?,
            Err(RecvTimeoutError::Timeout) => {
                out.write_all(b"*\r\n")?;
                sign = Instant::now() + NEWS_SIGN_EVERY;
            }
            Err(RecvTimeoutError::Disconnected) => return Ok(()),
        }
    }
}

/// Carries out a call; how many of its orders were taken.
fn carry_out(world: &mut World, node: usize, orders: &str) -> usize {
    let (mut effects, mut taken) = (Vec::new(), 0);
    for order in orders.split(';') {
        let Some(effect) = read_order(world, node, order) else { break };
        taken += 1;
        match effect {
            Effect::Line { slice, .. } | Effect::Level { slice, .. }
                if world.slices[slice].holder != Some(node) =>
            {
                continue;
            }
            Effect::Line { slice, server } => world.order_line(slice, server),
            Effect::Level { slice, class, share } => world.order_level(slice, class, share),
            Effect::Mark { mark, .. } => world.nodes[node].last_mark = Some(mark),
        }
        effects.push(effect);
    }
    let now = world.now();
    let times = if world.sabotage == Some(Sabotage::RepeatedOrders) { REPEATED } else { 1 };
    let proxies = world.proxies;
    (0..times).for_each(|_| world.nodes[node].channel.call(now, proxies, effects.len()));
    world.send(node, &effects);
    taken
}

/// `None`: it cannot be read, or names a server that was never listed.
fn read_order(world: &World, node: usize, order: &str) -> Option<Effect> {
    let words: Vec<&str> = order.split(',').collect();
    let slice = |word: &str| word.parse::<usize>().ok().filter(|slice| *slice < SLICES);
    match words[..] {
        ["put", number, server, weight] => {
            let (slice, server) = (slice(number)?, world.server_named(server)?);
            let on = weight.parse::<f64>().ok()? > 0.0;
            // The end of another server's line changes nothing.
            let line = world.slices[slice].line;
            let server = if on { Some(server) } else { line.filter(|line| *line != server) };
            Some(Effect::Line { slice, server })
        }
        ["wipe", number] => Some(Effect::Line { slice: slice(number)?, server: None }),
        ["gate", number, classes, share, _tries] => {
            let class = CLASSES.iter().position(|class| class.name == classes);
            Some(Effect::Level { slice: slice(number)?, class, share: share.parse().ok()? })
        }
        ["fence", mark, _] => Some(Effect::Mark { node, mark: mark.parse().ok()? }),
        _ => None,
    }
}
