//! Single RPCs through a forwarder with a hand-made table, with changes of the table, the network or the server during
//! the RPC.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc;
use std::thread;

use bytes::Bytes;
use whinhill_transport::{Drivers, Limits, Listener, Workers};
use whinhill_xds::mapping::Assignment;

use super::*;
use crate::connections::PoolLimits;
use crate::pick::Pick;
use crate::pool::Dial;
use crate::table::tests::{s, service};
use crate::table::Applied;

const TIMEOUT: Duration = Duration::from_secs(10);
/// The method of `service()` that reads. All RPCs use the same key, so they fall into one slice.
const READ: MethodId = 0;
/// The method of `service()` that writes.
const WRITE: MethodId = 1;

/// A client, a proxy and the proxy's shared state.
struct Harness {
    drivers: Drivers,
    shared: Arc<Shared>,
    client: Client,
    forwarder: Arc<Forwarder>,
    _listener: Listener,
}

/// Starts a proxy that connects to servers through the given dial function.
fn harness_with(dial: impl Fn(&Arc<Shared>) -> Dial) -> Harness {
    let drivers = Drivers::start("forward", 2).unwrap();
    let shared = Arc::new(Shared::new(service(), 2, 1, Pick::ByWeight));
    let limits = Limits { keep_alive: TIMEOUT, ..Limits::default() };
    let forwarder = Arc::new(Forwarder {
        shared: shared.clone(),
        pool: Pool::new(limits.clone(), PoolLimits::default(), drivers.clone(), dial(&shared)),
        id: "p".into(),
        write_timeout: s(1.0),
        body: BodyLimits { max_message: 1 << 20, max_body: 1 << 22 },
    });
    let (handler_forwarder, workers) = (forwarder.clone(), Workers::new("rpc", 64, 128 << 10));
    let handler = move |call: ServerCall| {
        let forwarder = handler_forwarder.clone();
        workers.run_with(call, move |call| forwarder.handle(call), |_| panic!("full"));
    };
    let listener = Listener::start("p", "127.0.0.1:0".parse().unwrap(), limits.clone(), &drivers, handler);
    let listener = listener.unwrap();
    let client = Client::connect(listener.addr(), limits, &drivers).unwrap();
    Harness { drivers, shared, client, forwarder, _listener: listener }
}

/// Starts a proxy that connects to servers directly.
fn direct_harness() -> Harness {
    harness_with(|_| Dial::default())
}

impl Harness {
    /// Assigns every method of every slice to a server, in an epoch, with a lease of four seconds from now.
    fn publish(&self, epoch: u64, server: SocketAddr) {
        publish(&self.shared, epoch, &[server], 1.0);
    }

    fn call(&self, method: MethodId, timeout: Duration) -> Result<(Bytes, Trailers), CallError> {
        let path = &self.shared.service.methods[method].path;
        let headers = [(KEY_HEADER, "k".to_string()), ("grpc-timeout", grpc_timeout(timeout))];
        self.client.unary(path, &headers, Bytes::from_static(b"x"), TIMEOUT)
    }

    /// Makes a call in another thread and returns the channel for its result.
    fn call_in_thread(
        &self,
        method: MethodId,
        timeout: Duration,
    ) -> mpsc::Receiver<Result<(Bytes, Trailers), CallError>> {
        let (sender, receiver) = mpsc::channel();
        let (client, path) = (self.client.clone(), self.shared.service.methods[method].path.clone());
        thread::spawn(move || {
            let headers = [(KEY_HEADER, "k".to_string()), ("grpc-timeout", grpc_timeout(timeout))];
            let _ = sender.send(client.unary(&path, &headers, Bytes::from_static(b"x"), TIMEOUT));
        });
        receiver
    }
}

fn assignment(
    slice: SliceId,
    method: MethodId,
    epoch: u64,
    servers: &[SocketAddr],
    share: f64,
) -> Assignment {
    let lines = servers.iter().map(|server| (server.to_string(), 1)).collect();
    let version = Version { epoch, number: 0 };
    Assignment { slice, method, version, lines, share, tries: 1 }
}

/// Assigns every method of every slice, with a lease of four seconds from now.
fn publish(shared: &Shared, epoch: u64, servers: &[SocketAddr], share: f64) {
    shared.change_table(|table| {
        for (slice, method) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
            table.apply(0, &assignment(slice, method, epoch, servers, share));
        }
        table.lease_requested(0, shared.now());
        table.lease_renewed(0, s(4.0));
    });
}

/// A server that sends each RPC's epoch header to the returned channel and echoes its message; if `go` is given, each
/// answer waits for a message on it.
fn server(drivers: &Drivers, go: Option<mpsc::Receiver<()>>) -> (Listener, mpsc::Receiver<String>) {
    let (sender, receiver) = mpsc::channel();
    let go = Arc::new(std::sync::Mutex::new(go));
    let serve = move |mut call: ServerCall| {
        let (sender, go) = (sender.clone(), go.clone());
        thread::spawn(move || {
            let message = call.message(TIMEOUT);
            let epoch = call.header(EPOCH_HEADER).unwrap_or("?").to_string();
            let _ = sender.send(epoch);
            if let (Some(go), Ok(_)) = (&*lock(&go), &message) {
                let _ = go.recv_timeout(TIMEOUT);
            }
            if let Ok(message) = message {
                let _ = call.answer(&message, Trailers::new(), TIMEOUT);
            }
        });
    };
    let addr = "127.0.0.1:0".parse().unwrap();
    (Listener::start("server", addr, Limits::default(), drivers, serve).unwrap(), receiver)
}

/// Waits for a condition that becomes true shortly after the client has its answer.
fn wait_until(holds: impl Fn() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "the condition did not become true");
        thread::yield_now();
    }
}

fn answered_by(result: &Result<(Bytes, Trailers), CallError>) -> String {
    let (_, trailers) = result.as_ref().unwrap();
    trailers[ANSWERED_BY_HEADER].to_str().unwrap().to_string()
}

fn status(result: &Result<(Bytes, Trailers), CallError>) -> (Code, &str) {
    match result {
        Err(CallError::Status { code, message }) => (*code, message),
        other => panic!("{other:?}"),
    }
}

#[test]
fn table_changes_during_rpc_then_only_later_rpcs_use_it() {
    let harness = direct_harness();
    let (release, released) = mpsc::channel();
    let (first, at_first) = server(&harness.drivers, Some(released));
    let (second, at_second) = server(&harness.drivers, None);
    harness.publish(1, first.addr());
    let answer = harness.call_in_thread(WRITE, s(2.0));
    assert_eq!(at_first.recv_timeout(TIMEOUT).unwrap(), "1");
    harness.publish(2, second.addr());
    assert_eq!(answered_by(&harness.call(WRITE, s(2.0))), second.addr().to_string());
    assert_eq!(at_second.recv_timeout(TIMEOUT).unwrap(), "2");
    // The RPC in flight finishes at its server.
    release.send(()).unwrap();
    assert_eq!(answered_by(&answer.recv().unwrap()), first.addr().to_string());
}

/// A harness that runs `action` during the first connect, that is between the choice of the server and the first byte.
fn harness_acting_on_first_connect(action: impl Fn(&Shared) + Send + Sync + 'static) -> Harness {
    let action = Arc::new(action);
    harness_with(move |shared| {
        let (shared, action, dials) = (Arc::downgrade(shared), action.clone(), AtomicUsize::new(0));
        Dial(Some(Arc::new(move |addr| {
            if let (0, Some(shared)) = (dials.fetch_add(1, Ordering::Relaxed), shared.upgrade()) {
                action(&shared);
            }
            addr
        })))
    })
}

#[test]
fn owner_changes_between_choice_and_send_then_write_goes_to_the_new_owner() {
    let drivers = Drivers::start("owners", 1).unwrap();
    let ((first, at_first), (second, at_second)) = (server(&drivers, None), server(&drivers, None));
    let new_owner = second.addr();
    let harness = harness_acting_on_first_connect(move |shared| publish(shared, 2, &[new_owner], 1.0));
    harness.publish(1, first.addr());
    assert_eq!(answered_by(&harness.call(WRITE, s(2.0))), second.addr().to_string());
    assert_eq!(at_second.recv_timeout(TIMEOUT).unwrap(), "2");
    assert!(at_first.try_recv().is_err());
}

#[test]
fn lease_ends_before_first_byte_then_write_is_not_sent_and_after_it_the_write_finishes() {
    let drivers = Drivers::start("leases", 1).unwrap();
    let (owner, at_owner) = server(&drivers, None);
    let withdraw = |shared: &Shared| {
        shared.change_table(|table| {
            // Assigner 1 takes the slices over with a newer epoch, and has granted no lease.
            table.stream_lost(0);
            (0..2).for_each(|slice| {
                table.apply(1, &assignment(slice, WRITE, 9, &[], 1.0));
            });
        });
    };
    let harness = harness_acting_on_first_connect(withdraw);
    harness.publish(1, owner.addr());
    let refused = harness.call(WRITE, s(2.0));
    assert_eq!(status(&refused), (Code::Unavailable, "pushed back: no-lease"));
    assert!(at_owner.try_recv().is_err());

    let harness = direct_harness();
    let (release, released) = mpsc::channel();
    let (owner, at_owner) = server(&harness.drivers, Some(released));
    harness.publish(1, owner.addr());
    let answer = harness.call_in_thread(WRITE, s(2.0));
    at_owner.recv_timeout(TIMEOUT).unwrap();
    withdraw(&harness.shared);
    release.send(()).unwrap();
    assert_eq!(answered_by(&answer.recv().unwrap()), owner.addr().to_string());
}

#[test]
fn connection_refused_then_write_is_retried_at_the_owner_published_since() {
    let drivers = Drivers::start("gone", 1).unwrap();
    let (second, _at_second) = server(&drivers, None);
    let new_owner = second.addr();
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let harness = direct_harness();
    harness.publish(1, gone);
    let refused = harness.call(WRITE, s(2.0));
    assert!(
        matches!(status(&refused), (Code::Unavailable, text) if text.contains("never ran")),
        "{refused:?}"
    );
    // Another table arrives while the connect fails: the one retry uses it.
    let harness = harness_acting_on_first_connect(move |shared| publish(shared, 2, &[new_owner], 1.0));
    harness.publish(1, gone);
    assert_eq!(answered_by(&harness.call(WRITE, s(2.0))), new_owner.to_string());
}

#[test]
fn level_becomes_0_then_a_waiting_write_is_pushed_back_at_once() {
    let service =
        Arc::new(whinhill_xds::mapping::Service { max_owner_wait: TIMEOUT, ..(*service()).clone() });
    let mut shared = Shared::new(service, 2, 1, Pick::ByWeight);
    shared.start -= s(100.0);
    let shared = Arc::new(shared);
    let apply_share = |share| {
        shared.change_table(|table| {
            (0..2).for_each(|slice| {
                table.apply(0, &assignment(slice, WRITE, 1, &["127.0.0.1:9".parse().unwrap()], share));
            });
        });
    };
    // There is a line but no lease: the write waits.
    apply_share(1.0);
    let route = |shared: &Shared| {
        let draws = Draws { level: 0.5, first: 0.5, second: 0.5 };
        shared.read_table(|table| table.route(shared.now(), 0, WRITE, draws, |_| 0))
    };
    assert_eq!(route(&shared), Route::Wait(Refusal::NoLease));
    let (waiter_shared, seen) = (shared.clone(), shared.change_count());
    let waiting = thread::spawn(move || {
        let started = Instant::now();
        let _waiter = waiter_shared.unpark_on_change();
        while waiter_shared.change_count() == seen && started.elapsed() < TIMEOUT {
            thread::park_timeout(TIMEOUT.saturating_sub(started.elapsed()));
        }
        (started.elapsed() < TIMEOUT, route(&waiter_shared))
    });
    apply_share(0.0);
    assert_eq!(waiting.join().unwrap(), (true, Route::Refuse(Refusal::Level)));
}

#[test]
fn level_becomes_0_then_reads_in_flight_stop_and_writes_finish() {
    let harness = direct_harness();
    let (release, released) = mpsc::channel();
    let (owner, at_owner) = server(&harness.drivers, Some(released));
    harness.publish(1, owner.addr());
    let (write, _) = (harness.call_in_thread(WRITE, s(2.0)), at_owner.recv_timeout(TIMEOUT).unwrap());
    let read = harness.call_in_thread(READ, s(2.0));
    // Both RPCs are counted on the connection: the read's thread is in its try, also if the server is still busy with the
    // write. In both cases the read is registered.
    wait_until(|| harness.forwarder.pool.usage().1 == 2);
    let close = |method| {
        harness.shared.change_table(|table| {
            let zero = |slice| Assignment {
                version: Version { epoch: 1, number: 1 },
                ..assignment(slice, method, 1, &[owner.addr()], 0.0)
            };
            (0..2).filter(|slice| table.apply(0, &zero(*slice)) == Applied::Closed).count()
        })
    };
    assert_eq!((close(READ), close(WRITE)), (2, 2));
    let stopped: usize = [(0, READ), (1, READ), (0, WRITE), (1, WRITE)]
        .map(|slice_method| harness.shared.reads_in_flight.stop(slice_method))
        .iter()
        .sum();
    assert_eq!(stopped, 1);
    assert_eq!(status(&read.recv_timeout(TIMEOUT).unwrap()), (Code::Unavailable, "pushed back: level"));
    release.send(()).unwrap();
    assert!(write.recv().unwrap().is_ok());
}

/// An HTTP/2 frame.
fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// A HEADERS frame with `:status: 200` and `grpc-status: 0` that ends the stream.
fn ok_response(stream: u32) -> Vec<u8> {
    let mut block = vec![0x88, 0x00, 0x0b];
    block.extend(b"grpc-status");
    block.extend([0x01, b'0']);
    frame(1, 5, stream, &block)
}

/// Reads frames until the request headers of `count` calls have arrived; returns the last one's stream.
fn read_request_headers(socket: &mut impl Read, count: usize) -> u32 {
    let mut last = 0;
    for _ in 0..count {
        loop {
            let mut head = [0; 9];
            socket.read_exact(&mut head).unwrap();
            let size = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
            socket.read_exact(&mut vec![0; size]).unwrap();
            if head[3] == 1 {
                last = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
                break;
            }
        }
    }
    last
}

#[test]
fn goaway_then_calls_up_to_its_stream_finish_and_later_ones_are_resent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let owner = listener.local_addr().unwrap();
    let harness = direct_harness();
    harness.publish(1, owner);
    let both = [harness.call_in_thread(WRITE, s(2.0)), harness.call_in_thread(WRITE, s(2.0))];
    // The scripted server expects both RPCs on the first connection, as streams 1 and 3. Only one is opened while none
    // is open, and it carries both.
    let server = thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        socket.write_all(&frame(4, 0, 0, &[])).unwrap();
        socket.read_exact(&mut [0; 24]).unwrap();
        assert_eq!(read_request_headers(&mut socket, 2), 3);
        // GOAWAY names stream 1 as the last: that one is answered, stream 3 never ran.
        socket.write_all(&frame(7, 0, 0, &[1u32.to_be_bytes(), [0; 4]].concat())).unwrap();
        socket.write_all(&ok_response(1)).unwrap();
        let (mut second_socket, _) = listener.accept().unwrap();
        second_socket.write_all(&frame(4, 0, 0, &[])).unwrap();
        second_socket.read_exact(&mut [0; 24]).unwrap();
        let stream = read_request_headers(&mut second_socket, 1);
        second_socket.write_all(&ok_response(stream)).unwrap();
        (socket, second_socket)
    });
    let sockets = server.join().unwrap();
    for call in both {
        let result = call.recv_timeout(TIMEOUT).unwrap();
        // The answer is only a status: the unary call gets no message, but the RPC has not failed.
        assert!(matches!(result, Err(CallError::Malformed(_))), "{result:?}");
    }
    wait_until(|| harness.shared.counts.forwarded.load(Ordering::Relaxed) == 2);
    drop(sockets);
}

#[test]
fn server_never_reads_then_its_write_times_out_and_the_connection_is_reset() {
    let harness = direct_harness();
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    harness.publish(1, unresponsive.local_addr().unwrap());
    let late = harness.call(WRITE, s(0.1));
    assert_eq!(status(&late).0, Code::DeadlineExceeded);
    // The write is in a socket that nobody reads: the server must not be able to read it later.
    let (mut socket, _) = unresponsive.accept().unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    let ended = socket.read_to_end(&mut Vec::new()).unwrap_err();
    assert_eq!(ended.kind(), std::io::ErrorKind::ConnectionReset);
    let (good, _at) = server(&harness.drivers, None);
    harness.publish(2, good.addr());
    assert_eq!(answered_by(&harness.call(WRITE, s(2.0))), good.addr().to_string());
}

/// Answers that arrive at about the time of the timeout: each RPC has one outcome and is counted once.
#[test]
fn answer_races_with_timeout_then_each_rpc_is_counted_once() {
    let harness = direct_harness();
    let slow = |call: ServerCall| {
        thread::spawn(move || {
            let mut call = call;
            let Ok(message) = call.message(TIMEOUT) else { return };
            let timeout = call.header("grpc-timeout").and_then(parse_timeout).unwrap();
            // Wakes before the timeout by about the time that a wake-up takes: some answers are in time, some are late.
            thread::park_timeout(timeout.saturating_sub(Duration::from_micros(400)));
            let _ = call.answer(&message, Trailers::new(), TIMEOUT);
        });
    };
    let addr = "127.0.0.1:0".parse().unwrap();
    let server = Listener::start("slow", addr, Limits::default(), &harness.drivers, slow).unwrap();
    harness.publish(1, server.addr());
    let (mut ok, mut late) = (0, 0);
    for index in 0..200 {
        match harness.call(WRITE, Duration::from_micros(2000 + index * 10)) {
            Ok(_) => ok += 1,
            Err(CallError::Status { code: Code::DeadlineExceeded | Code::Unavailable, .. }) => late += 1,
            Err(other) => panic!("{other}"),
        }
    }
    let counts = &harness.shared.counts;
    let read = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
    wait_until(|| read(&counts.forwarded) + read(&counts.aborted) >= 200);
    assert_eq!((read(&counts.forwarded), read(&counts.aborted)), (ok, late));
}

#[test]
fn invalid_rpcs_are_refused_with_a_reason() {
    let harness = direct_harness();
    let call = |path: &str, headers: &[(&'static str, &str)]| {
        let headers: Vec<_> = headers.iter().map(|(name, value)| (*name, value.to_string())).collect();
        let result = harness.client.unary(path, &headers, Bytes::new(), TIMEOUT);
        let (code, text) = status(&result);
        (code, text.to_string())
    };
    assert_eq!(call("/t/none", &[(KEY_HEADER, "k")]), (Code::Unimplemented, "no such method".into()));
    let message_with = |name, value| call("/t/look", &[(KEY_HEADER, "k"), (name, value)]).1;
    assert_eq!(call("/t/look", &[]).1, "the header whinhill-key is missing");
    assert_eq!(message_with("grpc-timeout", "soon"), "grpc-timeout is no span");
    assert_eq!(message_with(SOFT_DEADLINE_HEADER, "soon"), "whinhill-soft-deadline-ms is no number");
    assert_eq!(message_with(CRITICALITY_HEADER, "256"), "whinhill-criticality is no number from 0 to 255");
    assert_eq!(message_with("via", "2 p"), "it has come through this proxy before");
    // A request that is not gRPC is refused with an HTTP status.
    let text = [(KEY_HEADER, "k".to_string()), ("content-type", "text/plain".to_string())];
    let refused = harness.client.unary("/t/look", &text, Bytes::new(), TIMEOUT);
    assert!(matches!(refused, Err(CallError::Malformed("the HTTP status is not 200"))), "{refused:?}");
}

#[test]
fn grpc_timeout_has_up_to_eight_digits_and_a_unit() {
    assert_eq!(parse_timeout("250m"), Some(Duration::from_millis(250)));
    assert_eq!(parse_timeout("99999999u"), Some(Duration::from_micros(99_999_999)));
    for bad in ["", "m", "123456789m", "5", "-1m", "+1m", "1é"] {
        assert_eq!(parse_timeout(bad), None, "{bad}");
    }
}

/// A multicast address: the system refuses to connect to it at once (ENETUNREACH), whatever its routes.
const NO_ROUTE: ([u8; 4], u16) = ([224, 0, 0, 1], 9);

/// Guards against a proxy without a free port or a route reporting its tries as lost at the server, which then looks
/// unhealthy, and delaying its next connection attempt.
#[test]
fn connect_fails_locally_then_it_is_not_a_failure_of_the_server() {
    let cut_off = Arc::new(AtomicBool::new(true));
    let no_route = cut_off.clone();
    let harness = harness_with(move |_| {
        let no_route = no_route.clone();
        Dial(Some(Arc::new(move |addr| if no_route.load(Relaxed) { NO_ROUTE.into() } else { addr })))
    });
    let (listener, _received) = server(&harness.drivers, None);
    harness.publish(1, listener.addr());
    let failed = harness.call(READ, s(2.0));
    assert!(status(&failed).1.contains("NotTried"), "{failed:?}");
    let pending = lock(&harness.shared.load_stats).take_report(0, harness.shared.now());
    let report = lock(&harness.shared.load_stats).to_proto(&pending, &harness.shared.service);
    let localities = report.cluster_stats.iter().flat_map(|cluster| &cluster.upstream_locality_stats);
    let issued: Vec<u64> = localities.map(|locality| locality.total_issued_requests).collect();
    assert_eq!(issued.iter().sum::<u64>(), 0, "{report:?}");
    // The RPC is counted nevertheless: unserved demand must be visible.
    let dropped: u64 = report.cluster_stats.iter().map(|cluster| cluster.total_dropped_requests).sum();
    assert_eq!(dropped, 1, "{report:?}");
    cut_off.store(false, Relaxed);
    assert_eq!(answered_by(&harness.call(READ, s(2.0))), listener.addr().to_string());
}

/// Guards against an RPC that is sent to a server after its client has left: the client may send it again, and it would
/// run twice.
#[test]
fn rpc_whose_client_leaves_while_it_is_held_reaches_no_server() {
    let harness = direct_harness();
    let (server, executed) = server(&harness.drivers, None);
    let result = harness.call_in_thread(READ, TIMEOUT);
    thread::sleep(Duration::from_millis(50));
    harness.client.abort();
    assert!(result.recv_timeout(TIMEOUT).unwrap().is_err());
    wait_until(|| harness._listener.connections() == 0);
    harness.publish(1, server.addr());
    assert!(executed.recv_timeout(Duration::from_millis(500)).is_err(), "it ran after its client had left");
}

/// A server that accepts RPCs, answers none and sends pings at full speed; the counter is of its writes.
fn flooding_server() -> (SocketAddr, Arc<AtomicUsize>) {
    const SETTINGS: [u8; 9] = [0, 0, 0, 4, 0, 0, 0, 0, 0];
    const PING: [u8; 17] = [0, 0, 8, 6, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (addr, writes) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let counter = writes.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (mut reader, counter) = (stream.try_clone().unwrap(), counter.clone());
            thread::spawn(move || {
                let mut buffer = [0; 65536];
                while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
            });
            thread::spawn(move || {
                let _ = stream.write_all(&SETTINGS);
                let pings = PING.repeat(1000);
                while stream.write_all(&pings).is_ok() {
                    counter.fetch_add(1, Relaxed);
                }
            });
        }
    });
    (addr, writes)
}

/// Guards against a server that sends frames at full speed and keeps the RPCs to all other servers waiting.
#[test]
fn server_at_full_speed_delays_no_rpc_to_another_server() {
    const MAX_WAIT: Duration = Duration::from_millis(500);
    let harness = direct_harness();
    let ((flooding, writes), (other, _)) = (flooding_server(), server(&harness.drivers, None));
    let service = harness.shared.service.clone();
    let flooded_slice = service.slice_of(b"k");
    let keys = (0..100).map(|number| format!("other-{number}"));
    let key = keys.into_iter().find(|key| service.slice_of(key.as_bytes()) != flooded_slice).unwrap();
    harness.shared.change_table(|table| {
        table.apply(0, &assignment(flooded_slice, READ, 1, &[flooding], 1.0));
        let other_slice = service.slice_of(key.as_bytes());
        table.apply(0, &assignment(other_slice, READ, 1, &[other.addr()], 1.0));
    });
    let _held: Vec<_> = (0..20).map(|_| harness.call_in_thread(READ, TIMEOUT)).collect();
    wait_until(|| writes.load(Relaxed) >= 100);
    let headers = [(KEY_HEADER, key)];
    for _ in 0..100 {
        let started = Instant::now();
        let path = &service.methods[READ].path;
        harness.client.unary(path, &headers, Bytes::from_static(b"x"), TIMEOUT).unwrap();
        assert!(started.elapsed() <= MAX_WAIT, "{:?}", started.elapsed());
    }
}
