//! Calls passed on from one end to the other: both ways at once, at the pace of the slower end, and cut short.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use whinhill_transport::{
    BodyLimits, CallError, Client, Code, Drivers, Limits, Listener, Passage, RelayError, ServerCall, Trailers,
};

const WITHIN: Duration = Duration::from_secs(10);

/// How a relay saw a call end.
type Ends = mpsc::Receiver<Result<Code, RelayError>>;

/// A server: `/echo` answers each message with itself as it comes, `/status` says no at once, `/deaf` reads nothing.
fn server(drivers: &Drivers) -> Listener {
    let serve = |call: ServerCall| {
        thread::spawn(move || match call.path().to_string().as_str() {
            "/status" => {
                let mut extra = Trailers::new();
                extra.insert("grpc-retry-pushback-ms", HeaderValue::from_static("7"));
                call.refuse(Code::ResourceExhausted, "full", extra);
            }
            "/deaf" => {
                let mut call = call;
                while !call.cancelled() {
                    thread::park_timeout(Duration::from_millis(5));
                }
            }
            "/breaks" => {
                let (mut reader, mut writer) = call.open().unwrap();
                writer.send(&reader.recv(WITHIN).unwrap().unwrap(), WITHIN).unwrap();
                // A reset overtakes what is still to be written: only once the client has read.
                reader.recv(WITHIN).unwrap().unwrap();
                writer.reset(h2::Reason::INTERNAL_ERROR);
            }
            _ => {
                // It may have been cancelled already.
                let Ok((mut reader, mut writer)) = call.open() else { return };
                while let Ok(Some(message)) = reader.recv(WITHIN) {
                    if writer.send(&message, WITHIN).is_err() {
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

/// A relay to `to`, one try for each call, which is given `within`.
fn relay(drivers: &Drivers, to: SocketAddr, limits: BodyLimits, within: Duration) -> (Listener, Ends) {
    let (tell, ends) = mpsc::channel();
    let onward = Client::connect(to, Limits::default(), drivers).unwrap();
    let pass = move |call: ServerCall| {
        let (onward, tell) = (onward.clone(), tell.clone());
        thread::spawn(move || {
            let path = call.path().to_string();
            let mut passage = Passage::new(call, limits, 1 << 10);
            let until = Instant::now() + within;
            let mut headers = HeaderMap::new();
            headers.insert("content-type", HeaderValue::from_static("application/grpc"));
            let attempt = onward.open(&path, headers, within).unwrap();
            let ended = passage.until_head(attempt, until, within, || false).and_then(|answering| {
                match answering.status() {
                    Ok(Some(code)) => {
                        passage.answer_alone(answering.head.headers);
                        Ok(code)
                    }
                    Ok(None) => {
                        let head = answering.head.headers.clone();
                        passage.answer(answering, head, until, within, |_| {}).map(|(code, _)| code)
                    }
                    Err(error) => Err(RelayError::Server(error)),
                }
            });
            if let Err(error) = &ended {
                passage.refuse(Code::Unavailable, &error.to_string(), Trailers::new());
            }
            let _ = tell.send(ended);
        });
    };
    let listener = Listener::start("relay", "127.0.0.1:0".parse().unwrap(), Limits::default(), drivers, pass);
    (listener.unwrap(), ends)
}

const OPEN: BodyLimits = BodyLimits { message_most: 1 << 20, body_most: 1 << 30 };

struct Chain {
    _drivers: Drivers,
    _server: Listener,
    _relay: Listener,
    client: Client,
    ends: Ends,
}

fn chain(limits: BodyLimits, within: Duration) -> Chain {
    let drivers = Drivers::start("relay", 2).unwrap();
    let server = server(&drivers);
    let (relay, ends) = relay(&drivers, server.addr(), limits, within);
    let client = Client::connect(relay.addr(), Limits::default(), &drivers).unwrap();
    Chain { _drivers: drivers, _server: server, _relay: relay, client, ends }
}

#[test]
fn a_unary_call_a_status_and_trailers_go_through() {
    let chain = chain(OPEN, WITHIN);
    let (answer, trailers) = chain.client.unary("/echo", &[], Bytes::from_static(b"hello"), WITHIN).unwrap();
    assert_eq!((&answer[..], trailers["x-end"].as_bytes()), (&b"hello"[..], &b"1"[..]));
    assert!(matches!(chain.ends.recv().unwrap(), Ok(Code::Ok)));
    let said = chain.client.unary("/status", &[], Bytes::from_static(b"hello"), WITHIN);
    assert!(
        matches!(said, Err(CallError::Status { code: Code::ResourceExhausted, ref message }) if message == "full"),
        "{said:?}"
    );
}

#[test]
fn messages_stream_both_ways_as_they_come() {
    let chain = chain(OPEN, WITHIN);
    let (mut writer, pending) = chain.client.call("/echo", &[], WITHIN).unwrap();
    writer.send(b"0", WITHIN).unwrap();
    let mut reader = pending.head(WITHIN).unwrap().reader;
    // Each is answered before the next is sent: nothing waits for the stream's end.
    for turn in 0..50u32 {
        assert_eq!(reader.recv(WITHIN).unwrap().unwrap(), turn.to_string().as_bytes());
        writer.send((turn + 1).to_string().as_bytes(), WITHIN).unwrap();
    }
    writer.finish().unwrap();
    assert!(reader.recv(WITHIN).unwrap().is_some());
    assert_eq!(reader.trailers(WITHIN).unwrap()["grpc-status"], "0");
}

/// A client that does not read its answer fills its own window and the way back to the server, and no more.
#[test]
fn a_slow_reader_holds_up_its_own_stream_only() {
    let chain = chain(OPEN, WITHIN);
    let (mut writer, pending) = chain.client.call("/echo", &[], WITHIN).unwrap();
    let message = vec![7; 32 << 10];
    let brief = Duration::from_millis(300);
    let sent = (0..1000).take_while(|_| writer.send(&message, brief).is_ok()).count();
    // Four windows of 64 KiB and the buffers on the way; certainly not all 32 MB.
    assert!((4..400).contains(&sent), "{sent}");
    for _ in 0..20 {
        let (answer, _) = chain.client.unary("/echo", &[], Bytes::from_static(b"others"), WITHIN).unwrap();
        assert_eq!(&answer[..], b"others");
    }
    let mut reader = pending.head(WITHIN).unwrap().reader;
    for _ in 0..sent {
        assert_eq!(reader.recv(WITHIN).unwrap().unwrap().len(), message.len());
    }
}

#[test]
fn a_server_that_reads_nothing_costs_the_time_of_its_own_call() {
    let chain = chain(OPEN, Duration::from_millis(200));
    let late = chain.client.unary("/deaf", &[], Bytes::from(vec![1; 200 << 10]), WITHIN);
    assert!(matches!(late, Err(CallError::Status { code: Code::Unavailable, .. })), "{late:?}");
    assert!(matches!(chain.ends.recv().unwrap(), Err(RelayError::Server(CallError::Deadline(_)))));
    assert!(chain.client.unary("/echo", &[], Bytes::from_static(b"x"), WITHIN).is_ok());
}

#[test]
fn a_client_that_cancels_ends_the_call_at_the_server_too() {
    let chain = chain(OPEN, WITHIN);
    let late = chain.client.unary("/deaf", &[], Bytes::from_static(b"x"), Duration::from_millis(50));
    assert!(matches!(late, Err(CallError::Deadline(_))));
    // Long before its own time is over.
    let ended = chain.ends.recv_timeout(WITHIN / 2).unwrap();
    assert!(matches!(ended, Err(RelayError::ClientGone)), "{ended:?}");
}

#[test]
fn what_is_over_a_limit_is_refused_by_size_and_an_answer_that_breaks_off_is_told() {
    let chain = chain(BodyLimits { message_most: 1000, body_most: 5000 }, WITHIN);
    let large = chain.client.unary("/echo", &[], Bytes::from(vec![1; 1001]), WITHIN);
    assert!(
        matches!(&large, Err(CallError::Status { message, .. }) if message.contains("1001")),
        "{large:?}"
    );
    assert!(matches!(
        chain.ends.recv().unwrap(),
        Err(RelayError::Request(CallError::TooLarge { size: 1001, .. }))
    ));
    let (mut writer, pending) = chain.client.call("/breaks", &[], WITHIN).unwrap();
    writer.send(b"once", WITHIN).unwrap();
    let mut reader = pending.head(WITHIN).unwrap().reader;
    assert_eq!(&reader.recv(WITHIN).unwrap().unwrap()[..], b"once");
    writer.send(b"again", WITHIN).unwrap();
    assert_eq!(reader.trailers(WITHIN).unwrap()["grpc-status"], "14");
    let ended = chain.ends.recv().unwrap();
    assert!(matches!(ended, Err(RelayError::Server(CallError::Reset(_)))), "{ended:?}");
}

#[test]
fn a_large_request_is_passed_on_without_being_kept() {
    let chain = chain(OPEN, WITHIN);
    let message = Bytes::from(vec![3; 900 << 10]);
    let (answer, _) = chain.client.unary("/echo", &[], message.clone(), WITHIN).unwrap();
    assert!(answer == message);
}
