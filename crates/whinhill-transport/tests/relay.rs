//! Relayed calls: in both directions at once, at the pace of the slower end, and ended early.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use whinhill_transport::{
    BodyLimits, CallError, Client, Code, Drivers, Limits, Listener, RelayError, RelayedCall, ServerCall,
    Trailers,
};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Receives the result of each call that the relay has handled.
type Results = mpsc::Receiver<Result<Code, RelayError>>;

/// A server: `/echo` answers each message with itself as it arrives, `/status` refuses at once, `/unresponsive`
/// reads nothing, and `/reset` answers the first message and resets the stream on the second.
fn server(drivers: &Drivers) -> Listener {
    let serve = |call: ServerCall| {
        thread::spawn(move || match call.path().to_string().as_str() {
            "/status" => {
                let mut extra = Trailers::new();
                extra.insert("grpc-retry-pushback-ms", HeaderValue::from_static("7"));
                call.refuse(Code::ResourceExhausted, "full", extra);
            }
            "/unresponsive" => {
                let mut call = call;
                while !call.cancelled() {
                    thread::park_timeout(Duration::from_millis(5));
                }
            }
            "/reset" => {
                let (mut reader, mut writer) = call.open().unwrap();
                writer.send(&reader.recv(TIMEOUT).unwrap().unwrap(), TIMEOUT).unwrap();
                // A reset overtakes data that is still to be written: wait until the client has read the
                // message.
                reader.recv(TIMEOUT).unwrap().unwrap();
                writer.reset(h2::Reason::INTERNAL_ERROR);
            }
            _ => {
                // The call may have been cancelled already.
                let Ok((mut reader, mut writer)) = call.open() else { return };
                while let Ok(Some(message)) = reader.recv(TIMEOUT) {
                    if writer.send(&message, TIMEOUT).is_err() {
                        return;
                    }
                }
                let mut trailers = Trailers::new();
                trailers.insert("x-end", HeaderValue::from_static("1"));
                let _ = writer.close(Code::Ok, "", trailers);
            }
        });
    };
    Listener::start("server", "127.0.0.1:0".parse().unwrap(), Limits::default(), drivers, serve).unwrap()
}

/// A relay to `server`: one try for each call, with `timeout`.
fn relay(
    drivers: &Drivers,
    server: SocketAddr,
    limits: BodyLimits,
    timeout: Duration,
) -> (Listener, Results) {
    let (results_sender, results) = mpsc::channel();
    let server_client = Client::connect(server, Limits::default(), drivers).unwrap();
    let relay_call = move |call: ServerCall| {
        let (server_client, results_sender) = (server_client.clone(), results_sender.clone());
        thread::spawn(move || {
            let path = call.path().to_string();
            let mut relayed = RelayedCall::new(call, limits, 1 << 10);
            let deadline = Instant::now() + timeout;
            let mut headers = HeaderMap::new();
            headers.insert("content-type", HeaderValue::from_static("application/grpc"));
            let attempt = server_client.open(&path, headers, timeout).unwrap();
            let result =
                relayed.send_until_head(attempt, deadline, timeout, || false).and_then(|answer| match answer
                    .status()
                {
                    Ok(Some(code)) => {
                        relayed.answer_alone(answer.head.headers);
                        Ok(code)
                    }
                    Ok(None) => {
                        let head = answer.head.headers.clone();
                        relayed.relay_answer(answer, head, deadline, timeout, |_| {}).map(|(code, _)| code)
                    }
                    Err(error) => Err(RelayError::Server(error)),
                });
            if let Err(error) = &result {
                relayed.refuse(Code::Unavailable, &error.to_string(), Trailers::new());
            }
            let _ = results_sender.send(result);
        });
    };
    let listener =
        Listener::start("relay", "127.0.0.1:0".parse().unwrap(), Limits::default(), drivers, relay_call);
    (listener.unwrap(), results)
}

const GENEROUS_LIMITS: BodyLimits = BodyLimits { max_message: 1 << 20, max_body: 1 << 30 };

struct RelaySetup {
    _drivers: Drivers,
    _server: Listener,
    _relay: Listener,
    client: Client,
    results: Results,
}

fn set_up(limits: BodyLimits, timeout: Duration) -> RelaySetup {
    let drivers = Drivers::start("relay", 2).unwrap();
    let server = server(&drivers);
    let (relay, results) = relay(&drivers, server.addr(), limits, timeout);
    let client = Client::connect(relay.addr(), Limits::default(), &drivers).unwrap();
    RelaySetup { _drivers: drivers, _server: server, _relay: relay, client, results }
}

#[test]
fn unary_call_status_and_trailers_are_relayed() {
    let setup = set_up(GENEROUS_LIMITS, TIMEOUT);
    let (answer, trailers) = setup.client.unary("/echo", &[], Bytes::from_static(b"hello"), TIMEOUT).unwrap();
    assert_eq!((&answer[..], trailers["x-end"].as_bytes()), (&b"hello"[..], &b"1"[..]));
    assert!(matches!(setup.results.recv().unwrap(), Ok(Code::Ok)));
    let answer = setup.client.unary("/status", &[], Bytes::from_static(b"hello"), TIMEOUT);
    assert!(
        matches!(answer, Err(CallError::Status { code: Code::ResourceExhausted, ref message }) if message == "full"),
        "{answer:?}"
    );
}

#[test]
fn messages_are_relayed_in_both_directions_as_they_arrive() {
    let setup = set_up(GENEROUS_LIMITS, TIMEOUT);
    let (mut writer, pending) = setup.client.call("/echo", &[], TIMEOUT).unwrap();
    writer.send(b"0", TIMEOUT).unwrap();
    let mut reader = pending.head(TIMEOUT).unwrap().reader;
    // Each message is answered before the next one is sent: nothing waits for the end of the stream.
    for index in 0..50u32 {
        assert_eq!(reader.recv(TIMEOUT).unwrap().unwrap(), index.to_string().as_bytes());
        writer.send((index + 1).to_string().as_bytes(), TIMEOUT).unwrap();
    }
    writer.finish().unwrap();
    assert!(reader.recv(TIMEOUT).unwrap().is_some());
    assert_eq!(reader.trailers(TIMEOUT).unwrap()["grpc-status"], "0");
}

/// A client that does not read its answer fills its own window and the path back to the server, and nothing
/// else.
#[test]
fn slow_reader_delays_only_its_own_stream() {
    let setup = set_up(GENEROUS_LIMITS, TIMEOUT);
    let (mut writer, pending) = setup.client.call("/echo", &[], TIMEOUT).unwrap();
    let message = vec![7; 32 << 10];
    let brief = Duration::from_millis(300);
    let sent = (0..1000).take_while(|_| writer.send(&message, brief).is_ok()).count();
    // Four windows of 64 KiB and the buffers on the path; certainly not all 32 MB.
    assert!((4..400).contains(&sent), "{sent}");
    for _ in 0..20 {
        let (answer, _) = setup.client.unary("/echo", &[], Bytes::from_static(b"others"), TIMEOUT).unwrap();
        assert_eq!(&answer[..], b"others");
    }
    let mut reader = pending.head(TIMEOUT).unwrap().reader;
    for _ in 0..sent {
        assert_eq!(reader.recv(TIMEOUT).unwrap().unwrap().len(), message.len());
    }
}

#[test]
fn unresponsive_server_costs_only_the_time_of_its_own_call() {
    let setup = set_up(GENEROUS_LIMITS, Duration::from_millis(200));
    let answer = setup.client.unary("/unresponsive", &[], Bytes::from(vec![1; 200 << 10]), TIMEOUT);
    assert!(matches!(answer, Err(CallError::Status { code: Code::Unavailable, .. })), "{answer:?}");
    assert!(matches!(setup.results.recv().unwrap(), Err(RelayError::Server(CallError::Deadline(_)))));
    assert!(setup.client.unary("/echo", &[], Bytes::from_static(b"x"), TIMEOUT).is_ok());
}

#[test]
fn cancellation_by_the_client_ends_the_call_at_the_server() {
    let setup = set_up(GENEROUS_LIMITS, TIMEOUT);
    let answer =
        setup.client.unary("/unresponsive", &[], Bytes::from_static(b"x"), Duration::from_millis(50));
    assert!(matches!(answer, Err(CallError::Deadline(_))));
    // Long before the call's own deadline.
    let result = setup.results.recv_timeout(TIMEOUT / 2).unwrap();
    assert!(matches!(result, Err(RelayError::ClientGone)), "{result:?}");
}

#[test]
fn message_over_a_limit_is_refused_with_its_size_and_reset_answer_ends_with_a_status() {
    let setup = set_up(BodyLimits { max_message: 1000, max_body: 5000 }, TIMEOUT);
    let large = setup.client.unary("/echo", &[], Bytes::from(vec![1; 1001]), TIMEOUT);
    assert!(
        matches!(&large, Err(CallError::Status { message, .. }) if message.contains("1001")),
        "{large:?}"
    );
    assert!(matches!(
        setup.results.recv().unwrap(),
        Err(RelayError::Request(CallError::TooLarge { size: 1001, .. }))
    ));
    let (mut writer, pending) = setup.client.call("/reset", &[], TIMEOUT).unwrap();
    writer.send(b"once", TIMEOUT).unwrap();
    let mut reader = pending.head(TIMEOUT).unwrap().reader;
    assert_eq!(&reader.recv(TIMEOUT).unwrap().unwrap()[..], b"once");
    writer.send(b"again", TIMEOUT).unwrap();
    assert_eq!(reader.trailers(TIMEOUT).unwrap()["grpc-status"], "14");
    let result = setup.results.recv().unwrap();
    assert!(matches!(result, Err(RelayError::Server(CallError::Reset(_)))), "{result:?}");
}

#[test]
fn large_request_is_relayed_without_being_kept() {
    let setup = set_up(GENEROUS_LIMITS, TIMEOUT);
    let message = Bytes::from(vec![3; 900 << 10]);
    let (answer, _) = setup.client.unary("/echo", &[], message.clone(), TIMEOUT).unwrap();
    assert!(answer == message);
}
