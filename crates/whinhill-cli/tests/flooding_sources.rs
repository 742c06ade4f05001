//! Discovery and a relay that send at full speed, and what clients of the assigner's address meet beside them.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::channel;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use support::config::{config, write_config};
use support::discovery::{encode_chunk, list_json, server_json, Discovery};
use support::flood::{longest_probe, peak_memory};
use support::relay::Relay;
use support::running::AssignerProcess;
use support::serve_connections;

/// The longest wait for an answer: by as much may it be late.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// The memory that the assigner may take: the limit of the configuration of these tests is lower than the platform's.
const MEMORY_LIMIT: usize = 64 << 20;
/// For how long the source sends at full speed.
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// The tests of this file take turns: each uses several cores.
static TURN: Mutex<()> = Mutex::new(());

/// Answers each connection with `first`, and then sends `lines` over and over; `lines` is called with ever new numbers.
fn flooding_source(first: String, lines: fn(u64) -> String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    serve_connections(listener, move |mut stream| {
        let mut request = String::new();
        let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut request);
        if request.starts_with("APPLY") || stream.write_all(first.as_bytes()).is_err() {
            return;
        }
        let mut number = 0;
        loop {
            let text: String = (0..1000).map(|offset| lines(number + offset)).collect();
            number += 1000;
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
    addr
}

fn check_beside(relay: SocketAddr, discovery: SocketAddr, what: &str) {
    let (_folder, path) = write_config(&config(relay, discovery));
    let (assigner, addr) = AssignerProcess::start(&path);
    let wait = longest_probe(addr, FLOOD_TIME);
    let memory = peak_memory(assigner.process.id());
    println!("beside {what}: longest wait {wait:?}, memory {} MB", memory >> 20);
    assert!(memory < MEMORY_LIMIT, "{what}: {memory} bytes");
    assert!(wait <= MAX_WAIT, "{what}: {wait:?}");
}

/// Guards against a relay whose lines at full speed delay all clients or fill the memory: acknowledgements, and lines with
/// ever new names.
#[test]
fn relay_at_full_speed_delays_no_client_and_fills_no_memory() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let discovery = Discovery::start(list_json(1, true, &[server_json("s-1", "SERVING", 0)]));
    let first = "OK\r\n* hello 17 a 1.0 0\r\n* lease 0 1\r\n* line 0 s-1 1.0\r\n*\r\n".to_string();
    let relay = flooding_source(first.clone(), |number| format!("* ack 17 {} 1.0\r\n", number % 60_000));
    check_beside(relay, discovery.addr, "acknowledgements");
    let relay = flooding_source(first, |number| format!("* line 0 server-{number} 1.0\r\n"));
    check_beside(relay, discovery.addr, "lines with new names");
}

/// Guards against a discovery whose watch at full speed delays all clients or fills the memory: signs of life, and lists of
/// ever new servers.
#[test]
fn discovery_at_full_speed_delays_no_client_and_fills_no_memory() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let relay = Relay::start("s-1", channel().0);
    relay.start_keep_alives();
    let list = list_json(1, true, &[server_json("s-1", "SERVING", 0)]);
    let first = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", encode_chunk(&list));
    let discovery = flooding_source(first.clone(), |_| encode_chunk(""));
    check_beside(relay.addr, discovery, "signs of life");
    let discovery = flooding_source(first, |number| {
        let server = server_json(&format!("server-{number}"), "SERVING", 0);
        encode_chunk(&list_json(number + 2, true, &[server]))
    });
    check_beside(relay.addr, discovery, "lists of new servers");
}
