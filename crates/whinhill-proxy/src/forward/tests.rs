//! One RPC at a time through a forwarder whose table is built by hand: the cases in which something changes under it.

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

const WITHIN: Duration = Duration::from_secs(10);
/// All keys of these tests fall into one slice.
const READ: MethodId = 0;
const WRITE: MethodId = 1;

struct Rig {
    drivers: Drivers,
    shared: Arc<Shared>,
    client: Client,
    forwarder: Arc<Forwarder>,
    _listener: Listener,
}

fn rig(dial: impl Fn(&Arc<Shared>) -> Dial) -> Rig {
    let drivers = Drivers::start("forward", 2).unwrap();
    let shared = Arc::new(Shared::new(service(), 2, 1, Pick::ByWeight));
    let limits = Limits { keep_alive: WITHIN, ..Limits::default() };
    let forwarder = Arc::new(Forwarder {
        shared: shared.clone(),
        pool: Pool::new(limits.clone(), PoolLimits::default(), drivers.clone(), dial(&shared)),
        id: "p".into(),
        settle: s(1.0),
        body: BodyLimits { message_most: 1 << 20, body_most: 1 << 22 },
    });
    let (carries, workers) = (forwarder.clone(), Workers::new("rpc", 64, 128 << 10));
    let handler = move |call: ServerCall| {
        let forwarder = carries.clone();
        workers.hand(call, move |call| forwarder.carry(call), |_| panic!("full"));
    };
    let listener = Listener::start("p", "127.0.0.1:0".parse().unwrap(), limits.clone(), &drivers, handler);
    let listener = listener.unwrap();
    let client = Client::connect(listener.addr(), limits, &drivers).unwrap();
    Rig { drivers, shared, client, forwarder, _listener: listener }
}

fn plain() -> Rig {
    rig(|_| Dial::default())
}

impl Rig {
    /// Tells every method of every slice, in an epoch, and a lease of four seconds from now.
    fn tell(&self, epoch: u64, server: SocketAddr) {
        tell(&self.shared, epoch, &[server], 1.0);
    }

    fn call(&self, method: MethodId, within: Duration) -> Result<(Bytes, Trailers), CallError> {
        let path = &self.shared.service.methods[method].path;
        let headers = [(KEY_HEADER, "k".to_string()), ("grpc-timeout", grpc_timeout(within))];
        self.client.unary(path, &headers, Bytes::from_static(b"x"), WITHIN)
    }

    /// Calls from another thread.
    fn calls(
        &self,
        method: MethodId,
        within: Duration,
    ) -> mpsc::Receiver<Result<(Bytes, Trailers), CallError>> {
        let (tell, told) = mpsc::channel();
        let (client, path) = (self.client.clone(), self.shared.service.methods[method].path.clone());
        thread::spawn(move || {
            let headers = [(KEY_HEADER, "k".to_string()), ("grpc-timeout", grpc_timeout(within))];
            let _ = tell.send(client.unary(&path, &headers, Bytes::from_static(b"x"), WITHIN));
        });
        told
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

fn tell(shared: &Shared, epoch: u64, servers: &[SocketAddr], share: f64) {
    shared.change(|table| {
        for (slice, method) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
            table.apply(0, &assignment(slice, method, epoch, servers, share));
        }
        table.lease_asked(0, shared.now());
        table.lease_renewed(0, s(4.0));
    });
}

/// A server that tells of each RPC and answers with its own address, once `go` says so where it is given.
fn server(drivers: &Drivers, go: Option<mpsc::Receiver<()>>) -> (Listener, mpsc::Receiver<String>) {
    let (tell, told) = mpsc::channel();
    let go = Arc::new(std::sync::Mutex::new(go));
    let serve = move |mut call: ServerCall| {
        let (tell, go) = (tell.clone(), go.clone());
        thread::spawn(move || {
            let message = call.message(WITHIN);
            let epoch = call.header(EPOCH_HEADER).unwrap_or("?").to_string();
            let _ = tell.send(epoch);
            if let (Some(go), Ok(_)) = (&*lock(&go), &message) {
                let _ = go.recv_timeout(WITHIN);
            }
            if let Ok(message) = message {
                let _ = call.answer(&message, Trailers::new(), WITHIN);
            }
        });
    };
    let addr = "127.0.0.1:0".parse().unwrap();
    (Listener::start("server", addr, Limits::default(), drivers, serve).unwrap(), told)
}

/// For what is done just after its client has heard: it must come.
fn eventually(holds: impl Fn() -> bool) {
    let until = Instant::now() + WITHIN;
    while !holds() {
        assert!(Instant::now() < until, "it never came");
        thread::yield_now();
    }
}

fn answered_by(result: &Result<(Bytes, Trailers), CallError>) -> String {
    let (_, trailers) = result.as_ref().unwrap();
    trailers[ANSWERED_BY].to_str().unwrap().to_string()
}

fn status(result: &Result<(Bytes, Trailers), CallError>) -> (Code, &str) {
    match result {
        Err(CallError::Status { code, message }) => (*code, message),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_table_that_arrives_in_the_middle_concerns_the_next_rpc() {
    let rig = plain();
    let (go, gone) = mpsc::channel();
    let (first, at_first) = server(&rig.drivers, Some(gone));
    let (second, at_second) = server(&rig.drivers, None);
    rig.tell(1, first.addr());
    let answer = rig.calls(WRITE, s(2.0));
    assert_eq!(at_first.recv_timeout(WITHIN).unwrap(), "1");
    rig.tell(2, second.addr());
    assert_eq!(answered_by(&rig.call(WRITE, s(2.0))), second.addr().to_string());
    assert_eq!(at_second.recv_timeout(WITHIN).unwrap(), "2");
    // What was in hand is let finish where it was.
    go.send(()).unwrap();
    assert_eq!(answered_by(&answer.recv().unwrap()), first.addr().to_string());
}

/// The connection's opening stands for whatever takes time between the draw and the first byte.
fn moved_while_connecting(act: impl Fn(&Shared) + Send + Sync + 'static) -> Rig {
    let act = Arc::new(act);
    rig(move |shared| {
        let (shared, act, turn) = (Arc::downgrade(shared), act.clone(), AtomicUsize::new(0));
        Dial(Some(Arc::new(move |addr| {
            if let (0, Some(shared)) = (turn.fetch_add(1, Ordering::Relaxed), shared.upgrade()) {
                act(&shared);
            }
            addr
        })))
    })
}

#[test]
fn an_owner_that_changes_between_draw_and_send_gets_no_write() {
    let drivers = Drivers::start("owners", 1).unwrap();
    let ((first, at_first), (second, at_second)) = (server(&drivers, None), server(&drivers, None));
    let to = second.addr();
    let rig = moved_while_connecting(move |shared| tell(shared, 2, &[to], 1.0));
    rig.tell(1, first.addr());
    assert_eq!(answered_by(&rig.call(WRITE, s(2.0))), second.addr().to_string());
    assert_eq!(at_second.recv_timeout(WITHIN).unwrap(), "2");
    assert!(at_first.try_recv().is_err());
}

#[test]
fn a_lease_that_ends_before_the_first_byte_keeps_the_write_and_one_that_ends_after_does_not() {
    let drivers = Drivers::start("leases", 1).unwrap();
    let (owner, at_owner) = server(&drivers, None);
    let withdraw = |shared: &Shared| {
        shared.change(|table| {
            // The lease that it froze at is over already.
            table.stream_lost(0);
            (0..2).for_each(|slice| {
                table.apply(1, &assignment(slice, WRITE, 9, &[], 1.0));
            });
        });
    };
    let rig = moved_while_connecting(withdraw);
    rig.tell(1, owner.addr());
    let refused = rig.call(WRITE, s(2.0));
    assert_eq!(status(&refused), (Code::Unavailable, "pushed back: no-lease"));
    assert!(at_owner.try_recv().is_err());

    let rig = plain();
    let (go, gone) = mpsc::channel();
    let (owner, at_owner) = server(&rig.drivers, Some(gone));
    rig.tell(1, owner.addr());
    let answer = rig.calls(WRITE, s(2.0));
    at_owner.recv_timeout(WITHIN).unwrap();
    withdraw(&rig.shared);
    go.send(()).unwrap();
    assert_eq!(answered_by(&answer.recv().unwrap()), owner.addr().to_string());
}

#[test]
fn an_owner_that_is_gone_is_proof_and_the_one_told_since_gets_the_write() {
    let drivers = Drivers::start("gone", 1).unwrap();
    let (second, _at_second) = server(&drivers, None);
    let to = second.addr();
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let rig = plain();
    rig.tell(1, gone);
    let refused = rig.call(WRITE, s(2.0));
    assert!(
        matches!(status(&refused), (Code::Unavailable, text) if text.contains("never ran")),
        "{refused:?}"
    );
    // Another table comes while the opening fails: the one further try goes by it.
    let rig = moved_while_connecting(move |shared| tell(shared, 2, &[to], 1.0));
    rig.tell(1, gone);
    assert_eq!(answered_by(&rig.call(WRITE, s(2.0))), to.to_string());
}

#[test]
fn a_write_in_the_hold_is_pushed_back_at_once_when_its_level_becomes_0() {
    let service = Arc::new(whinhill_xds::mapping::Service { hold: WITHIN, ..(*service()).clone() });
    let mut shared = Shared::new(service, 2, 1, Pick::ByWeight);
    shared.start -= s(100.0);
    let shared = Arc::new(shared);
    let table = |share| {
        shared.change(|table| {
            (0..2).for_each(|slice| {
                table.apply(0, &assignment(slice, WRITE, 1, &["127.0.0.1:9".parse().unwrap()], share));
            });
        });
    };
    // A line, but no lease: it waits.
    table(1.0);
    let look = |shared: &Shared| {
        let draws = Draws { level: 0.5, first: 0.5, second: 0.5 };
        shared.read(|table| table.route(shared.now(), 0, WRITE, draws, |_| 0))
    };
    assert_eq!(look(&shared), Route::Wait(Refusal::NoLease));
    let (waits, seen) = (shared.clone(), shared.changes());
    let waiting = thread::spawn(move || {
        let began = Instant::now();
        waits.await_change(seen, began + WITHIN);
        (began.elapsed() < WITHIN, look(&waits))
    });
    table(0.0);
    assert_eq!(waiting.join().unwrap(), (true, Route::Refuse(Refusal::Level)));
}

#[test]
fn a_read_in_hand_is_stopped_when_its_level_becomes_0_and_a_write_is_let_finish() {
    let rig = plain();
    let (go, gone) = mpsc::channel();
    let (owner, at_owner) = server(&rig.drivers, Some(gone));
    rig.tell(1, owner.addr());
    let (write, _) = (rig.calls(WRITE, s(2.0)), at_owner.recv_timeout(WITHIN).unwrap());
    let read = rig.calls(READ, s(2.0));
    // Its thread is at its try once the server has it, or waits for the server's one hand: either way it is held.
    eventually(|| rig.forwarder.pool.standing().1 == 2);
    let shut = |method| {
        rig.shared.change(|table| {
            let zero = |slice| Assignment {
                version: Version { epoch: 1, number: 1 },
                ..assignment(slice, method, 1, &[owner.addr()], 0.0)
            };
            (0..2).filter(|slice| table.apply(0, &zero(*slice)) == Applied::Shut).count()
        })
    };
    assert_eq!((shut(READ), shut(WRITE)), (2, 2));
    let stopped: usize = [(0, READ), (1, READ), (0, WRITE), (1, WRITE)]
        .map(|about| rig.shared.in_hand.stop(about))
        .iter()
        .sum();
    assert_eq!(stopped, 1);
    assert_eq!(status(&read.recv_timeout(WITHIN).unwrap()), (Code::Unavailable, "pushed back: level"));
    go.send(()).unwrap();
    assert!(write.recv().unwrap().is_ok());
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// `:status: 200` and `grpc-status: 0`, and the end of the stream.
fn ok(stream: u32) -> Vec<u8> {
    let mut block = vec![0x88, 0x00, 0x0b];
    block.extend(b"grpc-status");
    block.extend([0x01, b'0']);
    frame(1, 5, stream, &block)
}

/// Reads frames until the heads of `count` calls have come; returns the last one's stream.
fn heads(socket: &mut impl Read, count: usize) -> u32 {
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
fn goaway_lets_the_calls_below_finish_and_sends_those_above_again() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let owner = listener.local_addr().unwrap();
    let rig = plain();
    rig.tell(1, owner);
    let both = [rig.calls(WRITE, s(2.0)), rig.calls(WRITE, s(2.0))];
    // Two RPCs at once may open two connections: the script follows whichever of them carries two.
    let server = thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        socket.write_all(&frame(4, 0, 0, &[])).unwrap();
        socket.read_exact(&mut [0; 24]).unwrap();
        assert_eq!(heads(&mut socket, 2), 3);
        // GOAWAY names stream 1 as the last: it is answered, the one above never ran.
        socket.write_all(&frame(7, 0, 0, &[1u32.to_be_bytes(), [0; 4]].concat())).unwrap();
        socket.write_all(&ok(1)).unwrap();
        let (mut fresh, _) = listener.accept().unwrap();
        fresh.write_all(&frame(4, 0, 0, &[])).unwrap();
        fresh.read_exact(&mut [0; 24]).unwrap();
        let stream = heads(&mut fresh, 1);
        fresh.write_all(&ok(stream)).unwrap();
        (socket, fresh)
    });
    let kept = server.join().unwrap();
    for call in both {
        let result = call.recv_timeout(WITHIN).unwrap();
        // Answered by a status alone: no message, and no failure of the RPC.
        assert!(matches!(result, Err(CallError::Malformed(_))), "{result:?}");
    }
    eventually(|| rig.shared.counts.forwarded.load(Ordering::Relaxed) == 2);
    drop(kept);
}

#[test]
fn a_server_that_accepts_and_never_reads_costs_its_own_rpcs_their_time_and_a_write_its_connection() {
    let rig = plain();
    let deaf = TcpListener::bind("127.0.0.1:0").unwrap();
    rig.tell(1, deaf.local_addr().unwrap());
    let late = rig.call(WRITE, s(0.1));
    assert_eq!(status(&late).0, Code::DeadlineExceeded);
    // The write stands in a socket that nobody reads: it must not be read later.
    let (mut socket, _) = deaf.accept().unwrap();
    socket.set_read_timeout(Some(WITHIN)).unwrap();
    let ended = socket.read_to_end(&mut Vec::new()).unwrap_err();
    assert_eq!(ended.kind(), std::io::ErrorKind::ConnectionReset);
    let (good, _at) = server(&rig.drivers, None);
    rig.tell(2, good.addr());
    assert_eq!(answered_by(&rig.call(WRITE, s(2.0))), good.addr().to_string());
}

/// Answers that come when the time is over, more or less: each RPC has one end, and it is counted once.
#[test]
fn an_answer_and_the_time_out_in_one_instant_are_one_end() {
    let rig = plain();
    let slow = |call: ServerCall| {
        thread::spawn(move || {
            let mut call = call;
            let Ok(message) = call.message(WITHIN) else { return };
            let asked = call.header("grpc-timeout").and_then(parse_timeout).unwrap();
            // To within what a wake-up takes: some answers are in time, some are not.
            thread::park_timeout(asked.saturating_sub(Duration::from_micros(400)));
            let _ = call.answer(&message, Trailers::new(), WITHIN);
        });
    };
    let addr = "127.0.0.1:0".parse().unwrap();
    let server = Listener::start("slow", addr, Limits::default(), &rig.drivers, slow).unwrap();
    rig.tell(1, server.addr());
    let (mut ok, mut late) = (0, 0);
    for turn in 0..200 {
        match rig.call(WRITE, Duration::from_micros(2000 + turn * 10)) {
            Ok(_) => ok += 1,
            Err(CallError::Status { code: Code::DeadlineExceeded | Code::Unavailable, .. }) => late += 1,
            Err(other) => panic!("{other}"),
        }
    }
    let counts = &rig.shared.counts;
    let read = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
    eventually(|| read(&counts.forwarded) + read(&counts.aborted) >= 200);
    assert_eq!((read(&counts.forwarded), read(&counts.aborted)), (ok, late));
}

#[test]
fn what_is_no_rpc_of_the_service_is_refused_by_name() {
    let rig = plain();
    let call = |path: &str, headers: &[(&'static str, &str)]| {
        let headers: Vec<_> = headers.iter().map(|(name, value)| (*name, value.to_string())).collect();
        let result = rig.client.unary(path, &headers, Bytes::new(), WITHIN);
        let (code, text) = status(&result);
        (code, text.to_string())
    };
    assert_eq!(call("/t/none", &[(KEY_HEADER, "k")]), (Code::Unimplemented, "no such method".into()));
    let bad = |name, value| call("/t/look", &[(KEY_HEADER, "k"), (name, value)]).1;
    assert_eq!(call("/t/look", &[]).1, "the header whinhill-key is missing");
    assert_eq!(bad("grpc-timeout", "soon"), "grpc-timeout is no span");
    assert_eq!(bad(SOFT_DEADLINE_HEADER, "soon"), "whinhill-soft-deadline-ms is no number");
    assert_eq!(bad(CRITICALITY_HEADER, "256"), "whinhill-criticality is no number from 0 to 255");
    assert_eq!(bad("via", "2 p"), "it has come through this proxy before");
    // In plain HTTP, as for any that speaks no gRPC.
    let text = [(KEY_HEADER, "k".to_string()), ("content-type", "text/plain".to_string())];
    let refused = rig.client.unary("/t/look", &text, Bytes::new(), WITHIN);
    assert!(matches!(refused, Err(CallError::Malformed("the HTTP status is not 200"))), "{refused:?}");
}

#[test]
fn a_timeout_has_up_to_eight_digits_and_a_unit() {
    assert_eq!(parse_timeout("250m"), Some(Duration::from_millis(250)));
    assert_eq!(parse_timeout("99999999u"), Some(Duration::from_micros(99_999_999)));
    for bad in ["", "m", "123456789m", "5", "-1m", "+1m", "1é"] {
        assert_eq!(parse_timeout(bad), None, "{bad}");
    }
}

/// Nowhere that a connect can lead: the system refuses it at once (ENETUNREACH), whatever its routes.
const NO_ROUTE: ([u8; 4], u16) = ([224, 0, 0, 1], 9);

/// A proxy without a port or a route told its tries as lost at the server, which then looked sick, and kept away from
/// it for a while.
#[test]
fn a_connect_that_reaches_nobody_is_no_failure_of_the_server() {
    let cut_off = Arc::new(AtomicBool::new(true));
    let dialed = cut_off.clone();
    let rig = rig(move |_| {
        let dialed = dialed.clone();
        Dial(Some(Arc::new(move |addr| if dialed.load(Relaxed) { NO_ROUTE.into() } else { addr })))
    });
    let (listener, _told) = server(&rig.drivers, None);
    rig.tell(1, listener.addr());
    let failed = rig.call(READ, s(2.0));
    assert!(status(&failed).1.contains("NotTried"), "{failed:?}");
    let taken = lock(&rig.shared.met).take(0, rig.shared.now());
    let report = lock(&rig.shared.met).report(&taken, &rig.shared.service);
    let localities = report.cluster_stats.iter().flat_map(|cluster| &cluster.upstream_locality_stats);
    let told: Vec<u64> = localities.map(|told| told.total_issued_requests).collect();
    assert_eq!(told.iter().sum::<u64>(), 0, "{report:?}");
    // It came all the same: demand that goes unserved must not look like none.
    let came: u64 = report.cluster_stats.iter().map(|cluster| cluster.total_dropped_requests).sum();
    assert_eq!(came, 1, "{report:?}");
    cut_off.store(false, Relaxed);
    assert_eq!(answered_by(&rig.call(READ, s(2.0))), listener.addr().to_string());
}
