//! A stand-in for the relay: one slice in the assigner's custody, and one proxy that acknowledges every ack request.
//! Orders are acknowledged by an ack sequence number, the first argument of `fence`.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{send_keep_alives, StandInEvent};

/// How the relay handles calls and its watch stream. Some behaviors pass into another once their fault has occurred.
#[derive(Clone, Copy, PartialEq)]
pub enum Behavior {
    /// Answers every call and sends every ack.
    Answers,
    /// Reads calls and answers none.
    Unresponsive,
    /// Answers the first call twice, then passes to `Answers`.
    AnswersFirstTwice,
    /// Closes the watch stream instead of sending the first ack, then passes to `Answers`. On the next watch stream the
    /// line is as before: the orders took effect, and they were for levels alone, or another assigner had the slice
    /// meanwhile, which resets its levels.
    LosesAck,
    /// Closes the watch stream on a call with a grant, sends the state without that grant on the next watch stream,
    /// and answers the call before the state is complete.
    DelaysGrantAnswer,
    /// The call with the grant is unanswered until the state is sent on a new watch stream.
    DelayingGrantAnswer,
    /// The state is being sent, and the next call answered is the delayed one. Then passes to `Answers`.
    SendingState,
    /// Answers calls and sends no acks.
    WithholdsAcks,
    /// Sends the state over and over, and never its end.
    SendsStateForever,
}

/// A relay with one slice in the assigner's custody, and one proxy that acknowledges every ack request.
pub struct Relay {
    pub addr: SocketAddr,
    /// All connections that were accepted and not closed by `close_connections`.
    pub streams: Arc<Mutex<Vec<TcpStream>>>,
    watch_stream: Arc<Mutex<Option<TcpStream>>>,
}

impl Relay {
    /// Starts a relay that answers every call. `line_server` is the server on the slice's line.
    pub fn start(line_server: &'static str, events: Sender<StandInEvent>) -> Self {
        Self::start_with(line_server, Behavior::Answers, events)
    }

    /// Starts a relay with the given behavior.
    pub fn start_with(line_server: &'static str, behavior: Behavior, events: Sender<StandInEvent>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let watch_stream: Arc<Mutex<Option<TcpStream>>> = Arc::default();
        let (accepted, behavior, relay_watch_stream) =
            (streams.clone(), Arc::new(Mutex::new(behavior)), watch_stream.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepted.lock().unwrap().push(stream.try_clone().unwrap());
                let (events, watch_stream, behavior) =
                    (events.clone(), watch_stream.clone(), behavior.clone());
                thread::spawn(move || serve(stream, line_server, &behavior, &watch_stream, &events));
            }
        });
        Relay { addr, streams, watch_stream: relay_watch_stream }
    }

    /// Sends lines on the watch stream.
    pub fn send_update(&self, update: &str) {
        self.watch_stream.lock().unwrap().as_mut().unwrap().write_all(update.as_bytes()).unwrap();
    }

    /// Starts to send keep-alives on the watch stream.
    pub fn start_keep_alives(&self) {
        send_keep_alives(&self.watch_stream, "*\r\n".to_string());
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Handles the requests of one connection.
pub fn serve(
    stream: TcpStream,
    line_server: &str,
    behavior: &Mutex<Behavior>,
    watch_stream: &Mutex<Option<TcpStream>>,
    events: &Sender<StandInEvent>,
) {
    let mut out = stream.try_clone().unwrap();
    for request in BufReader::new(stream).lines().map_while(Result::ok) {
        if request == "WATCH" {
            let current = *behavior.lock().unwrap();
            let _ = write!(out, "OK\r\n* hello 0 a 5 1\r\n* lease 0 1\r\n* line 0 {line_server} 1.0\r\n");
            if current == Behavior::DelayingGrantAnswer {
                *behavior.lock().unwrap() = Behavior::SendingState;
                resend_state_until_answered(&mut out, behavior);
            }
            while current == Behavior::SendsStateForever && out.write_all(b"* hello 0 a 5 0\r\n").is_ok() {
                thread::sleep(Duration::from_millis(20));
            }
            // Calls may follow at once, and the threads that send their acks need the stream: it is locked until set.
            let mut watch_stream = watch_stream.lock().unwrap();
            let _ = events.send(StandInEvent::RelayWatchOpened);
            let _ = out.write_all(b"*\r\n");
            *watch_stream = Some(out.try_clone().unwrap());
            continue;
        }
        let Some(orders) = request.strip_prefix("APPLY ") else { continue };
        let _ = events.send(StandInEvent::Orders(orders.to_string()));
        let is_grant = orders.split(';').any(|order| order.starts_with("put,") && order.ends_with(",1"));
        if is_grant && *behavior.lock().unwrap() == Behavior::DelaysGrantAnswer {
            *behavior.lock().unwrap() = Behavior::DelayingGrantAnswer;
            close_watch_stream(watch_stream);
            while *behavior.lock().unwrap() == Behavior::DelayingGrantAnswer {
                thread::sleep(Duration::from_millis(1));
            }
        }
        let mut behavior = behavior.lock().unwrap();
        let answer_count = match *behavior {
            Behavior::Unresponsive => continue,
            Behavior::AnswersFirstTwice => 2,
            _ => 1,
        };
        let _ =
            out.write_all(format!("OK {}\r\n", orders.split(';').count()).repeat(answer_count).as_bytes());
        if matches!(*behavior, Behavior::AnswersFirstTwice | Behavior::SendingState) {
            *behavior = Behavior::Answers;
        }
        for ack_request in orders.split(';').filter_map(|order| order.strip_prefix("fence,")) {
            let ack_seq = ack_request.split(',').next().unwrap_or_default();
            if *behavior == Behavior::LosesAck {
                *behavior = Behavior::Answers;
                close_watch_stream(watch_stream);
            } else if let Some(watch_stream) =
                watch_stream.lock().unwrap().as_mut().filter(|_| *behavior != Behavior::WithholdsAcks)
            {
                let _ = write!(watch_stream, "* ack 0 {ack_seq} 1.0\r\n");
            }
        }
    }
}

/// Closes the watch stream, if there is one.
pub fn close_watch_stream(watch_stream: &Mutex<Option<TcpStream>>) {
    if let Some(watch_stream) = watch_stream.lock().unwrap().take() {
        let _ = watch_stream.shutdown(std::net::Shutdown::Both);
    }
}

/// Sends the state without a pause until the delayed call was answered, and a few more times after that.
pub fn resend_state_until_answered(out: &mut TcpStream, behavior: &Mutex<Behavior>) {
    let mut sent_after_answer = 0;
    while sent_after_answer < 5 {
        sent_after_answer += u32::from(*behavior.lock().unwrap() == Behavior::Answers);
        if out.write_all(b"* hello 0 a 5 0\r\n").is_err() {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
}
