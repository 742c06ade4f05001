//! Carries one RPC: slice, table, hold, a try, its answer back. Each wait ends by the RPC's own deadline.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, HeaderValue};
use prost::Message;
use whinhill::interface::{MethodId, SliceId};
use whinhill_tables::Version;
use whinhill_transport::{
    grpc_timeout, Answering, BodyLimits, CallError, Client, Code, NeverRan, Passage, RelayError, ServerCall,
    Trailers, Turn,
};
use whinhill_xds::proto::OrcaLoadReport;

use crate::hop;
use crate::in_hand::Held;
use crate::pick::Draws;
use crate::pool::Pool;
use crate::report;
use crate::shared::{lock, Shared};
use crate::table::{Refusal, Route, Source};
use crate::trial::{Chances, Ended, Next, Trial};

/// Carries the key by whose hash an RPC finds its slice.
pub const KEY_HEADER: &str = "whinhill-key";
/// Says, on what is pushed back by the proxy itself, why.
pub const REFUSED_HEADER: &str = "whinhill-refused";
/// When to come back, in milliseconds (gRFC A6).
pub const PUSHBACK_HEADER: &str = "grpc-retry-pushback-ms";
/// Names the server that answered.
pub const ANSWERED_BY: &str = "whinhill-answered-by";
/// Tells the server which slice and epoch the RPC goes by, and who sent it.
pub const SLICE_HEADER: &str = "whinhill-slice";
pub const EPOCH_HEADER: &str = "whinhill-epoch";
pub const PROXY_HEADER: &str = "whinhill-proxy";
/// The RPC's soft deadline, in milliseconds; the method's where it is missing.
pub const SOFT_DEADLINE_HEADER: &str = "whinhill-soft-deadline-ms";
/// How much the RPC matters, 0 to 255; servers may shed by it.
pub const CRITICALITY_HEADER: &str = "whinhill-criticality";
/// When to come back after a push-back.
const COME_BACK: Duration = Duration::from_millis(250);
/// Bytes of a request that are kept so that it can be sent again.
const KEEP_MOST: usize = 64 << 10;

pub struct Forwarder {
    pub shared: Arc<Shared>,
    pub pool: Pool,
    pub id: String,
    /// A write ends, well or badly, within this time: assigners settle that long.
    pub settle: Duration,
    pub body: BodyLimits,
}

struct Rpc {
    slice: SliceId,
    method: MethodId,
    until: Instant,
    /// The client's soft deadline, no longer than the method's.
    soft: Duration,
    /// What goes on of its headers.
    headers: HeaderMap,
}

/// How one RPC ended here, where its answer was not passed on.
enum Refused {
    /// It was passed on in part, and the client has been told that it broke off.
    Told,
    PushedBack(Refusal),
    /// The server's own word, as its head holds it.
    AsServer(HeaderMap),
    Failed(Code, String),
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
    if digits.len() > 8 || !digits.bytes().all(|digit| digit.is_ascii_digit()) {
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
    pub fn carry(&self, call: ServerCall) {
        // All that the RPC writes and drops on its way is written by this thread.
        let _turn = Turn::begin();
        let call = call;
        let grpc = call.header("content-type").is_some_and(|kind| kind.starts_with("application/grpc"));
        if !grpc {
            return call.refuse_http(http::StatusCode::UNSUPPORTED_MEDIA_TYPE);
        }
        let rpc = match self.read(&call) {
            Ok(rpc) => rpc,
            Err((code, why)) => return call.refuse(code, &why, Trailers::new()),
        };
        let mut passage = Passage::new(call, self.body, KEEP_MOST);
        let counts = &self.shared.counts;
        let counter = match self.serve(&rpc, &mut passage) {
            Ok(()) => &counts.forwarded,
            Err(Refused::PushedBack(why)) => {
                let mut trailers = header(REFUSED_HEADER, why.name());
                trailers.extend(header(PUSHBACK_HEADER, &COME_BACK.as_millis().to_string()));
                passage.refuse(Code::Unavailable, &format!("pushed back: {}", why.name()), trailers);
                &counts.refused
            }
            Err(Refused::AsServer(head)) => {
                passage.answer_alone(head);
                &counts.aborted
            }
            Err(Refused::Failed(code, text)) => {
                passage.refuse(code, &text, Trailers::new());
                &counts.aborted
            }
            Err(Refused::Told) => &counts.aborted,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn read(&self, call: &ServerCall) -> Result<Rpc, (Code, String)> {
        let bad = |why: &str| (Code::InvalidArgument, why.to_string());
        let service = &self.shared.service;
        let method = service.methods.iter().position(|m| m.path == call.path());
        let method = method.ok_or_else(|| (Code::Unimplemented, "no such method".to_string()))?;
        let about = &service.methods[method];
        let key =
            call.head.headers.get(KEY_HEADER).ok_or_else(|| bad("the header whinhill-key is missing"))?;
        let slice = service.slice_of(key.as_bytes());
        let asked = match call.header("grpc-timeout") {
            Some(text) => parse_timeout(text).ok_or_else(|| bad("grpc-timeout is no span"))?,
            None => about.deadline,
        };
        let soft = match call.header(SOFT_DEADLINE_HEADER) {
            Some(text) => {
                let count = text.parse().map_err(|_| bad("whinhill-soft-deadline-ms is no number"))?;
                Duration::from_millis(count).min(about.soft_deadline)
            }
            None => about.soft_deadline,
        };
        if call.header(CRITICALITY_HEADER).is_some_and(|text| text.parse::<u8>().is_err()) {
            return Err(bad("whinhill-criticality is no number from 0 to 255"));
        }
        let headers = hop::request(&call.head.headers, &self.id)
            .map_err(|error| (Code::FailedPrecondition, error.to_string()))?;
        let until = call.came + asked.min(about.deadline);
        Ok(Rpc { slice, method, until, soft, headers })
    }

    /// Serves it, or says what is to be answered.
    fn serve(&self, rpc: &Rpc, passage: &mut Passage) -> Result<(), Refused> {
        let shared = &self.shared;
        let holds = Instant::now() + shared.service.hold;
        let level = shared.draw();
        let method = &shared.service.methods[rpc.method];
        let mut trial = Trial::new(method.effect, method.writes);
        loop {
            let seen = shared.changes();
            // Before the look at the table: a level that becomes 0 after it stops the try.
            let held = (!method.writes).then(|| shared.in_hand.hold((rpc.slice, rpc.method)));
            let (route, source) = shared.read(|table| {
                let draws = Draws { level, first: shared.draw(), second: shared.draw() };
                let route =
                    table.route(shared.now(), rpc.slice, rpc.method, draws, |server| shared.out.of(server));
                (route, table.source_of(rpc.slice, rpc.method))
            });
            let note = |act: &dyn Fn(&mut report::Met, Source)| {
                if let Some(source) = source {
                    act(&mut lock(&shared.met), source);
                }
            };
            match route {
                Route::Refuse(why) => {
                    note(&|met, source| met.dropped(source, rpc.slice, rpc.method));
                    return Err(Refused::PushedBack(why));
                }
                Route::Wait(why) => {
                    let until = holds.min(rpc.until);
                    if Instant::now() >= until {
                        note(&|met, source| met.waited_out(source, rpc.slice, rpc.method));
                        return Err(Refused::PushedBack(why));
                    }
                    drop(held);
                    Turn::flush();
                    shared.await_change(seen, until);
                }
                Route::Send { server, tries, version } => {
                    trial.begins(tries);
                    let about = (rpc.slice, rpc.method);
                    let began = Instant::now();
                    let _out = shared.out.begin(&server);
                    note(&|met, source| met.begins(source, about, &server));
                    let to = Sending { rpc, server: &server, version, held: held.as_ref() };
                    let (ended, next, result) = self.attempt(&to, passage, &mut trial);
                    let wait = began.elapsed();
                    let told = match &result {
                        Ok(()) => report::Ended::Ok,
                        Err(Refused::AsServer(head)) if head.contains_key(PUSHBACK_HEADER) => {
                            report::Ended::PushedBack
                        }
                        Err(_) => report::Ended::Lost,
                    };
                    match ended {
                        Ended::NotSent => note(&|met, source| met.unsent(source, about, &server)),
                        // It says nothing of the server, but the RPC came.
                        Ended::NeverRan(NeverRan::NotTried) => note(&|met, source| {
                            met.unsent(source, about, &server);
                            if next == Next::Finish {
                                met.waited_out(source, rpc.slice, rpc.method);
                            }
                        }),
                        _ => note(&|met, source| met.tried(source, about, &server, told, wait)),
                    }
                    if result.is_ok() || next == Next::Finish {
                        return result;
                    }
                }
            }
        }
    }

    /// One try, with its second sending to the same server where the first met a closed connection.
    fn attempt(
        &self,
        to: &Sending<'_>,
        passage: &mut Passage,
        trial: &mut Trial,
    ) -> (Ended, Next, Result<(), Refused>) {
        loop {
            let mut used = None;
            let (ended, result) = match self.send(to, passage, trial, &mut used) {
                Ok(()) => (Ended::Answered, Ok(())),
                Err(Unserved::BrokenOff) => (Ended::BrokenOff, Err(Refused::Told)),
                Err(Unserved::Stopped) => (Ended::NotSent, Err(Refused::PushedBack(Refusal::NoLine))),
                Err(Unserved::CutShort(refused)) => (Ended::CutShort, Err(refused)),
                Err(Unserved::Refused(head)) => {
                    (Ended::MayHaveRun { swallowed: false }, Err(Refused::AsServer(head)))
                }
                Err(Unserved::Failed(error, silent)) => {
                    let refused = Refused::Failed(code_of(&error), error.to_string());
                    (Ended::failed(&error, silent), Err(refused))
                }
            };
            if let (true, Some(client)) = (trial.severs(ended), &used) {
                // A write given up on may stand in a network that carries nothing now, and begin at a former owner
                // once it carries again. Where the connection is silent its cancellation is not on its way either:
                // it is broken off, and what stands in it is lost.
                client.sever();
            }
            let chances = Chances {
                left: to.rpc.until.saturating_duration_since(Instant::now()),
                wanted: !passage.cancelled(),
                whole: passage.whole(),
            };
            let next = trial.ended(ended, chances);
            if next != Next::SameServer {
                return (ended, next, result);
            }
        }
    }

    fn send(
        &self,
        to: &Sending<'_>,
        passage: &mut Passage,
        trial: &Trial,
        used: &mut Option<Client>,
    ) -> Result<(), Unserved> {
        let (rpc, shared) = (to.rpc, &self.shared);
        let method = &shared.service.methods[rpc.method];
        let lease = self.pool.get(to.server, rpc.until);
        let mut lease = lease.map_err(|error| Unserved::Failed(error, Duration::ZERO))?;
        let client = used.insert(lease.client.clone()).clone();
        let left = rpc.until.saturating_duration_since(Instant::now());
        let mut within = if method.writes { left.min(self.settle) } else { left };
        let mut headers = rpc.headers.clone();
        // The server may work on it for as long as somebody waits, whoever that will be.
        set(&mut headers, "grpc-timeout", &grpc_timeout(within));
        set(&mut headers, SLICE_HEADER, &rpc.slice.to_string());
        set(&mut headers, EPOCH_HEADER, &to.version.epoch.to_string());
        set(&mut headers, PROXY_HEADER, &self.id);
        if trial.may_be_followed() {
            within = within.min(rpc.soft.mul_f64(shared.service.try_factor));
        }
        // The last look before the first byte: a lease that ends now keeps the write here.
        if method.writes && !shared.read(|t| t.still(shared.now(), rpc.slice, rpc.method, to.version)) {
            return Err(Unserved::Stopped);
        }
        let until = Instant::now() + within;
        let failed = |error| Unserved::Failed(error, client.silent_for());
        let attempt = client.open(&method.path, headers, within).map_err(failed)?;
        let stop = || to.held.is_some_and(Held::stopped);
        let answering = passage.until_head(attempt, until, within, stop).map_err(|error| match error {
            RelayError::Server(error) => failed(error),
            RelayError::Stopped => Unserved::CutShort(Refused::PushedBack(Refusal::Level)),
            RelayError::ClientGone => {
                Unserved::CutShort(Refused::Failed(Code::Cancelled, "the client has gone".to_string()))
            }
            RelayError::Request(error) => {
                let code = match error {
                    CallError::TooLarge { .. } => Code::ResourceExhausted,
                    _ => Code::InvalidArgument,
                };
                Unserved::CutShort(Refused::Failed(code, format!("the request: {error}")))
            }
        })?;
        lease.answered = true;
        // A write is over by then with its answer; a read may be answered as long as its client waits.
        let until = if method.writes { until } else { rpc.until };
        self.pass_on(to, passage, answering, &client, until)
    }

    /// Passes on an answer that has begun, unless its head says that it failed.
    fn pass_on(
        &self,
        to: &Sending<'_>,
        passage: &mut Passage,
        answering: Answering,
        client: &Client,
        until: Instant,
    ) -> Result<(), Unserved> {
        let mut head = hop::answer(&answering.head.headers);
        match answering.status() {
            Err(error) => return Err(Unserved::Failed(error, client.silent_for())),
            Ok(Some(code)) if code != Code::Ok => {
                self.note_load(to.server, &head);
                return Err(Unserved::Refused(head));
            }
            // Ok, and nothing to say: the head is all there is.
            Ok(Some(_)) => {
                self.note_load(to.server, &head);
                passage.answer_alone(head);
                return Ok(());
            }
            Ok(None) => {}
        }
        let by = HeaderValue::from_str(to.server);
        if let Ok(by) = &by {
            head.insert(ANSWERED_BY, by.clone());
        }
        let left = until.saturating_duration_since(Instant::now());
        let mend = |trailers: &mut Trailers| {
            *trailers = hop::answer(trailers);
            if let Ok(by) = by {
                trailers.insert(ANSWERED_BY, by);
            }
        };
        match passage.answer(answering, head, until, left, mend) {
            Ok((code, trailers)) => {
                self.note_load(to.server, &trailers);
                // A failure that comes at the answer's end has been passed on, and nothing may follow it.
                if code == Code::Ok {
                    Ok(())
                } else {
                    Err(Unserved::BrokenOff)
                }
            }
            Err(_) => Err(Unserved::BrokenOff),
        }
    }

    fn note_load(&self, server: &Arc<str>, trailers: &Trailers) {
        let Some(value) = hop::load(trailers) else { return };
        let report = whinhill_xds::unbase64(value).and_then(|bytes| OrcaLoadReport::decode(&bytes[..]).ok());
        if let Some(report) = report {
            lock(&self.shared.met).load(server, &report);
        }
    }
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Where a try goes, and by which table.
struct Sending<'a> {
    rpc: &'a Rpc,
    server: &'a Arc<str>,
    version: Version,
    held: Option<&'a Held<'a>>,
}

/// How a sending ended that served nobody.
enum Unserved {
    /// The client got a part of the answer or all of a bad one.
    BrokenOff,
    /// Nothing was sent: the table no longer allows it.
    Stopped,
    CutShort(Refused),
    /// The server's answer is a status alone, and not ok.
    Refused(HeaderMap),
    /// With how long nothing had come on the connection.
    Failed(CallError, Duration),
}

fn code_of(error: &CallError) -> Code {
    match error {
        CallError::Status { code, .. } => *code,
        CallError::Deadline(_) => Code::DeadlineExceeded,
        CallError::NeverRan(_) => Code::Unavailable,
        _ => Code::Internal,
    }
}

#[cfg(test)]
mod tests;
