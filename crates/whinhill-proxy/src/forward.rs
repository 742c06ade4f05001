//! Carries one RPC: slice, table, hold, a try, its answer back. Each wait ends by the RPC's own deadline.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderName, HeaderValue};
use prost::Message;
use whinhill::interface::{MethodId, SliceId};
use whinhill_tables::Version;
use whinhill_transport::{grpc_timeout, CallError, Client, Code, NeverRan, ServerCall, Trailers};
use whinhill_xds::proto::OrcaLoadReport;
use whinhill_xds::ORCA_TRAILER;

use crate::pick::Draws;
use crate::pool::Pool;
use crate::report;
use crate::shared::{lock, Shared};
use crate::table::{Refusal, Route};
use crate::trial::{Ended, Next, Trial};

/// Carries the key by whose hash an RPC finds its slice.
pub const KEY_HEADER: &str = "whinhill-key";
/// Says, on what is pushed back by the proxy itself, why.
pub const REFUSED_HEADER: &str = "whinhill-refused";
/// When to come back, in milliseconds (gRFC A6).
pub const PUSHBACK_HEADER: &str = "grpc-retry-pushback-ms";
/// Names the server that answered.
pub const ANSWERED_BY: &str = "whinhill-answered-by";
/// Tells the server which slice and epoch the RPC goes by.
const SLICE_HEADER: &str = "whinhill-slice";
const EPOCH_HEADER: &str = "whinhill-epoch";
/// When to come back after a push-back.
const COME_BACK: Duration = Duration::from_millis(250);
/// The most time that the request's one message may take to arrive.
const MESSAGE_WITHIN: Duration = Duration::from_secs(2);

pub struct Forwarder {
    pub shared: Arc<Shared>,
    pub pool: Pool,
    pub id: String,
    /// A write ends, well or badly, within this time: assigners settle that long.
    pub settle: Duration,
}

struct Rpc {
    slice: SliceId,
    method: MethodId,
    until: Instant,
    budget: Duration,
    headers: Vec<(&'static str, String)>,
}

/// How one RPC ended here.
enum Done {
    Answered { server: Arc<str>, message: Bytes, trailers: Trailers },
    PushedBack(Refusal),
    Failed { code: Code, text: String },
}

fn header(name: &'static str, value: &str) -> Trailers {
    let mut trailers = Trailers::new();
    if let Ok(value) = HeaderValue::from_str(value) {
        trailers.insert(HeaderName::from_static(name), value);
    }
    trailers
}

/// A gRPC time-out: up to eight digits and a unit.
fn parse_timeout(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if digits.len() > 8 {
        return None;
    }
    let count: u64 = digits.parse().ok()?;
    Some(match unit {
        "H" => Duration::from_secs(count * 3600),
        "M" => Duration::from_secs(count * 60),
        "S" => Duration::from_secs(count),
        "m" => Duration::from_millis(count),
        "u" => Duration::from_micros(count),
        "n" => Duration::from_nanos(count),
        _ => return None,
    })
}

impl Forwarder {
    /// Answers one call; runs on a worker's thread.
    pub fn carry(&self, mut call: ServerCall) {
        let rpc = match self.read(&call) {
            Ok(rpc) => rpc,
            Err(why) => return call.refuse(Code::InvalidArgument, why, Trailers::new()),
        };
        let within = MESSAGE_WITHIN.min(rpc.until.saturating_duration_since(Instant::now()));
        let message = match call.message(within) {
            Ok(message) => message,
            Err(error) => return call.refuse(Code::InvalidArgument, &error.to_string(), Trailers::new()),
        };
        let counts = &self.shared.counts;
        match self.serve(&rpc, &message, &mut call) {
            Done::Answered { server, message, mut trailers } => {
                counts.forwarded.fetch_add(1, Ordering::Relaxed);
                trailers.remove("grpc-status");
                trailers.remove("grpc-message");
                trailers.extend(header(ANSWERED_BY, &server));
                // The client may have gone; then nobody is left to tell.
                let _ = call.answer(&message, trailers, rpc.until.saturating_duration_since(Instant::now()));
            }
            Done::PushedBack(why) => {
                counts.refused.fetch_add(1, Ordering::Relaxed);
                let mut trailers = header(REFUSED_HEADER, why.name());
                trailers.extend(header(PUSHBACK_HEADER, &COME_BACK.as_millis().to_string()));
                call.refuse(Code::Unavailable, &format!("pushed back: {}", why.name()), trailers);
            }
            Done::Failed { code, text } => {
                counts.aborted.fetch_add(1, Ordering::Relaxed);
                call.refuse(code, &text, Trailers::new());
            }
        }
    }

    fn read(&self, call: &ServerCall) -> Result<Rpc, &'static str> {
        let service = &self.shared.service;
        let method = service.methods.iter().position(|m| m.path == call.path()).ok_or("no such method")?;
        let key = call.head.headers.get(KEY_HEADER).ok_or("the header whinhill-key is missing")?;
        let slice = service.slice_of(key.as_bytes());
        let asked = match call.header("grpc-timeout") {
            Some(text) => parse_timeout(text).ok_or("grpc-timeout is no span")?,
            None => service.methods[method].deadline,
        };
        let budget = asked.min(service.methods[method].deadline);
        // What describes the RPC goes along; what describes this hop does not.
        let mut headers =
            vec![(KEY_HEADER, key.to_str().map_err(|_| "whinhill-key is no text")?.to_string())];
        for name in ["whinhill-rpc", "whinhill-criticality"] {
            headers.extend(call.header(name).map(|value| (name, value.to_string())));
        }
        Ok(Rpc { slice, method, until: call.came + budget, budget, headers })
    }

    fn serve(&self, rpc: &Rpc, message: &Bytes, call: &mut ServerCall) -> Done {
        let shared = &self.shared;
        let holds = Instant::now() + shared.service.hold;
        let level = shared.draw();
        let method = &shared.service.methods[rpc.method];
        let mut trial = Trial::new(method.effect, method.writes);
        loop {
            let seen = shared.changes();
            let route = shared.read(|table| {
                let draws = Draws { level, first: shared.draw(), second: shared.draw() };
                table.route(shared.now(), rpc.slice, rpc.method, draws, |server| shared.out.of(server))
            });
            match route {
                Route::Refuse(why) => {
                    self.note(rpc, |met, source| met.dropped(source, rpc.slice, rpc.method));
                    return Done::PushedBack(why);
                }
                Route::Wait(why) => {
                    let until = holds.min(rpc.until);
                    if Instant::now() >= until {
                        self.note(rpc, |met, source| met.waited_out(source, rpc.slice, rpc.method));
                        return Done::PushedBack(why);
                    }
                    shared.await_change(seen, until);
                }
                Route::Send { server, tries, version } => {
                    trial.begins(tries);
                    let began = Instant::now();
                    let _out = shared.out.begin(&server);
                    let (ended, next, answer) =
                        self.attempt(rpc, message, &server, version, &mut trial, call);
                    if ended != Ended::NotSent {
                        let told = if answer.is_ok() { report::Ended::Ok } else { report::Ended::Lost };
                        let wait = began.elapsed();
                        self.note(rpc, |met, source| {
                            met.tried(source, (rpc.slice, rpc.method), &server, told, wait);
                        });
                    }
                    match answer {
                        Ok((message, trailers)) => {
                            self.note_load(&server, &trailers);
                            return Done::Answered { server, message, trailers };
                        }
                        Err(error) if next == Next::Finish => return failed(&error),
                        Err(_) => {}
                    }
                }
            }
        }
    }

    /// One try, with its second sending to the same server where the first met a closed connection.
    fn attempt(
        &self,
        rpc: &Rpc,
        message: &Bytes,
        server: &Arc<str>,
        version: Version,
        trial: &mut Trial,
        call: &mut ServerCall,
    ) -> (Ended, Next, Result<(Bytes, Trailers), CallError>) {
        loop {
            let mut client = None;
            let answer = self.send(rpc, message, server, version, &mut client);
            let ended = match &answer {
                Ok(_) => Ended::Answered,
                Err(Attempt::Stopped) => Ended::NotSent,
                Err(Attempt::Failed { error, silent }) => Ended::failed(error, *silent),
            };
            let answer = answer.map_err(|failed| match failed {
                Attempt::Stopped => CallError::NeverRan(NeverRan::NeverWritten),
                Attempt::Failed { error, .. } => error,
            });
            if let (true, Some(client)) = (trial.severs(ended), &client) {
                // A write given up on may stand in a network that carries nothing now, and begin at a former owner
                // once it carries again. Where the connection is silent its cancellation is not on its way either:
                // it is broken off, and what stands in it is lost.
                client.sever();
            }
            if answer.is_err() {
                self.pool.forget(server);
            }
            let left = rpc.until.saturating_duration_since(Instant::now());
            let next = trial.ended(ended, left, !call.cancelled());
            if next != Next::SameServer {
                return (ended, next, answer);
            }
        }
    }

    fn send(
        &self,
        rpc: &Rpc,
        message: &Bytes,
        server: &Arc<str>,
        version: Version,
        used: &mut Option<Client>,
    ) -> Result<(Bytes, Trailers), Attempt> {
        let shared = &self.shared;
        let writes = shared.service.methods[rpc.method].writes;
        let path = &shared.service.methods[rpc.method].path;
        let unsent = |error| Attempt::Failed { error, silent: Duration::ZERO };
        let client = used.insert(self.pool.get(server, rpc.until).map_err(unsent)?);
        let left = rpc.until.saturating_duration_since(Instant::now());
        let within = if writes { left.min(self.settle) } else { left };
        let mut headers = rpc.headers.clone();
        headers.push(("grpc-timeout", grpc_timeout(within.min(rpc.budget))));
        headers.push((SLICE_HEADER, rpc.slice.to_string()));
        headers.push((EPOCH_HEADER, version.epoch.to_string()));
        headers.push(("whinhill-proxy", self.id.clone()));
        // The last look before the first byte: a lease that ends now keeps the write here.
        if writes && !shared.read(|table| table.still(shared.now(), rpc.slice, rpc.method, version)) {
            return Err(Attempt::Stopped);
        }
        let answer = client.unary(path, &headers, message.clone(), within);
        answer.map_err(|error| Attempt::Failed { error, silent: client.silent_for() })
    }

    fn note(&self, rpc: &Rpc, act: impl FnOnce(&mut crate::report::Met, usize)) {
        if let Some(source) = self.shared.read(|table| table.source_of(rpc.slice, rpc.method)) {
            act(&mut lock(&self.shared.met), source);
        }
    }

    fn note_load(&self, server: &Arc<str>, trailers: &Trailers) {
        let Some(value) = trailers.get(ORCA_TRAILER).and_then(|value| value.to_str().ok()) else { return };
        let report = whinhill_xds::unbase64(value).and_then(|bytes| OrcaLoadReport::decode(&bytes[..]).ok());
        if let Some(report) = report {
            lock(&self.shared.met).load(server, &report);
        }
    }
}

enum Attempt {
    /// Nothing was sent: the table no longer allows it.
    Stopped,
    Failed {
        error: CallError,
        /// How long nothing had come on the connection.
        silent: Duration,
    },
}

fn failed(error: &CallError) -> Done {
    let code = match error {
        CallError::Status { code: Code::ResourceExhausted, .. } => Code::ResourceExhausted,
        CallError::Status { code, .. } => *code,
        CallError::Deadline(_) => Code::DeadlineExceeded,
        CallError::NeverRan(_) => Code::Unavailable,
        _ => Code::Internal,
    };
    Done::Failed { code, text: error.to_string() }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_timeout_has_up_to_eight_digits_and_a_unit() {
        assert_eq!(parse_timeout("250m"), Some(Duration::from_millis(250)));
        assert_eq!(parse_timeout("99999999u"), Some(Duration::from_micros(99_999_999)));
        for bad in ["", "m", "123456789m", "5", "-1m", "1é"] {
            assert_eq!(parse_timeout(bad), None, "{bad}");
        }
    }
}
