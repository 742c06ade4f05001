//! Forwards one RPC: finds its slice, routes it by the table, waits for the hold time if necessary, makes its tries and
//! passes the answer back. Every wait ends at the RPC's deadline.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, HeaderValue};
use prost::Message;
use whinhill::interface::{MethodId, SliceId};
use whinhill_tables::Version;
use whinhill_transport::{
    grpc_timeout, BodyLimits, CallError, Client, Code, NeverRan, PollScope, RelayError, RelayedAnswer,
    RelayedCall, ServerCall, Trailers,
};
use whinhill_xds::proto::OrcaLoadReport;

use crate::hop_headers;
use crate::in_flight::ReadGuard;
use crate::pick::Draws;
use crate::pool::Pool;
use crate::report::{LoadStats, TryResult};
use crate::retry::{NextStep, RetryConditions, RetryState, TryOutcome};
use crate::shared::{lock, Shared};
use crate::table::{Refusal, Route, Source};

/// Contains the key whose hash determines the RPC's slice.
pub const KEY_HEADER: &str = "whinhill-key";
/// The reason, on RPCs that the proxy itself pushes back.
pub const REFUSED_HEADER: &str = "whinhill-refused";
/// When the client may retry, in milliseconds (gRFC A6).
pub const PUSHBACK_HEADER: &str = "grpc-retry-pushback-ms";
/// Names the server that answered.
pub const ANSWERED_BY_HEADER: &str = "whinhill-answered-by";
/// Tells the server the RPC's slice.
pub const SLICE_HEADER: &str = "whinhill-slice";
/// Tells the server the epoch of the table by which the RPC was sent.
pub const EPOCH_HEADER: &str = "whinhill-epoch";
/// Tells the server which proxy sent the RPC.
pub const PROXY_HEADER: &str = "whinhill-proxy";
/// The RPC's soft deadline, in milliseconds; without it that of the method applies.
pub const SOFT_DEADLINE_HEADER: &str = "whinhill-soft-deadline-ms";
/// The RPC's criticality, 0 to 255; servers may shed load by it.
pub const CRITICALITY_HEADER: &str = "whinhill-criticality";
/// When a client may retry after the proxy pushed its RPC back.
const PUSHBACK_DELAY: Duration = Duration::from_millis(250);
/// The most bytes of a request that are kept so that it can be sent again.
const MAX_REPLAY_BYTES: usize = 64 << 10;

/// Forwards the RPCs of one proxy.
pub struct Forwarder {
    pub shared: Arc<Shared>,
    pub pool: Pool,
    /// The proxy's name.
    pub id: String,
    /// Timeout of a write, whether it succeeds or fails: assigners wait this long for writes to end.
    pub write_timeout: Duration,
    /// Limits of request and answer bodies.
    pub body: BodyLimits,
}

/// A parsed RPC.
struct Rpc {
    slice: SliceId,
    method: MethodId,
    /// The client's deadline, no later than the method's.
    deadline: Instant,
    /// The client's soft deadline, no longer than the method's.
    soft_deadline: Duration,
    /// The headers that are forwarded.
    headers: HeaderMap,
}

/// How an RPC ended that got no complete, successful answer.
enum RpcFailure {
    /// Part of the answer was passed on, and the client has seen that it failed.
    AlreadyAnswered,
    /// The proxy pushes it back.
    PushedBack(Refusal),
    /// The server's status, in the head of its answer.
    ServerStatus(HeaderMap),
    /// The proxy answers with this status.
    Failed(Code, String),
}

/// Trailers with one field.
fn single_header(name: &'static str, value: &str) -> Trailers {
    let mut trailers = Trailers::new();
    if let Ok(value) = HeaderValue::from_str(value) {
        trailers.insert(HeaderName::from_static(name), value);
    }
    trailers
}

/// Parses a gRPC timeout: up to eight digits and a unit.
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
    pub fn handle(&self, call: ServerCall) {
        // Everything that this RPC writes to connections or drops is written by this thread. `call` is rebound so that
        // it is dropped within the scope: dropping a call can wake its connection.
        let _scope = PollScope::begin();
        let call = call;
        let grpc = call.header("content-type").is_some_and(|kind| kind.starts_with("application/grpc"));
        if !grpc {
            return call.refuse_http(http::StatusCode::UNSUPPORTED_MEDIA_TYPE);
        }
        let rpc = match self.parse(&call) {
            Ok(rpc) => rpc,
            Err((code, message)) => return call.refuse(code, &message, Trailers::new()),
        };
        let mut relayed = RelayedCall::new(call, self.body, MAX_REPLAY_BYTES);
        let counts = &self.shared.counts;
        let counter = match self.forward(&rpc, &mut relayed) {
            Ok(()) => &counts.forwarded,
            Err(RpcFailure::PushedBack(refusal)) => {
                let mut trailers = single_header(REFUSED_HEADER, refusal.name());
                trailers.extend(single_header(PUSHBACK_HEADER, &PUSHBACK_DELAY.as_millis().to_string()));
                relayed.refuse(Code::Unavailable, &format!("pushed back: {}", refusal.name()), trailers);
                &counts.refused
            }
            Err(RpcFailure::ServerStatus(head)) => {
                relayed.answer_alone(head);
                &counts.aborted
            }
            Err(RpcFailure::Failed(code, text)) => {
                relayed.refuse(code, &text, Trailers::new());
                &counts.aborted
            }
            Err(RpcFailure::AlreadyAnswered) => &counts.aborted,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Validates the call's headers; an error is the status to answer with.
    fn parse(&self, call: &ServerCall) -> Result<Rpc, (Code, String)> {
        let invalid = |why: &str| (Code::InvalidArgument, why.to_string());
        let service = &self.shared.service;
        let method = service.methods.iter().position(|m| m.path == call.path());
        let method = method.ok_or_else(|| (Code::Unimplemented, "no such method".to_string()))?;
        let spec = &service.methods[method];
        let key =
            call.head.headers.get(KEY_HEADER).ok_or_else(|| invalid("the header whinhill-key is missing"))?;
        let slice = service.slice_of(key.as_bytes());
        let requested = match call.header("grpc-timeout") {
            Some(text) => parse_timeout(text).ok_or_else(|| invalid("grpc-timeout is no span"))?,
            None => spec.deadline,
        };
        let soft_deadline = match call.header(SOFT_DEADLINE_HEADER) {
            Some(text) => {
                let count = text.parse().map_err(|_| invalid("whinhill-soft-deadline-ms is no number"))?;
                Duration::from_millis(count).min(spec.soft_deadline)
            }
            None => spec.soft_deadline,
        };
        if call.header(CRITICALITY_HEADER).is_some_and(|text| text.parse::<u8>().is_err()) {
            return Err(invalid("whinhill-criticality is no number from 0 to 255"));
        }
        let headers = hop_headers::request_headers(&call.head.headers, &self.id)
            .map_err(|error| (Code::FailedPrecondition, error.to_string()))?;
        let deadline = call.received_at + requested.min(spec.deadline);
        Ok(Rpc { slice, method, deadline, soft_deadline, headers })
    }

    /// Passes on an answer, or returns how the RPC ended without one.
    fn forward(&self, rpc: &Rpc, relayed: &mut RelayedCall) -> Result<(), RpcFailure> {
        let shared = &self.shared;
        let hold_end = Instant::now() + shared.service.max_owner_wait;
        let level = shared.random();
        let method = &shared.service.methods[rpc.method];
        let mut retry = RetryState::new(method.effect, method.writes);
        loop {
            let seen_changes = shared.change_count();
            // Registered before the table is read: a level that becomes 0 after that stops the try.
            let read_guard =
                (!method.writes).then(|| shared.reads_in_flight.register((rpc.slice, rpc.method)));
            let (route, source) = shared.read_table(|table| {
                let draws = Draws { level, first: shared.random(), second: shared.random() };
                let route = table.route(shared.now(), rpc.slice, rpc.method, draws, |server| {
                    shared.tries_in_flight.count(server)
                });
                (route, table.source_of(rpc.slice, rpc.method))
            });
            let record = |update: &dyn Fn(&mut LoadStats, Source)| {
                if let Some(source) = source {
                    update(&mut lock(&shared.load_stats), source);
                }
            };
            match route {
                Route::Refuse(refusal) => {
                    record(&|stats, source| stats.record_dropped(source, rpc.slice, rpc.method));
                    return Err(RpcFailure::PushedBack(refusal));
                }
                Route::Wait(refusal) => {
                    let until = hold_end.min(rpc.deadline);
                    if Instant::now() >= until {
                        record(&|stats, source| stats.record_hold_expired(source, rpc.slice, rpc.method));
                        return Err(RpcFailure::PushedBack(refusal));
                    }
                    drop(read_guard);
                    let _waiter = shared.unpark_on_change();
                    if relayed.wait_until(until, || shared.change_count() != seen_changes).is_err() {
                        return Err(client_gone());
                    }
                }
                Route::Send { server, tries, version } => {
                    retry.begin_try(tries);
                    let slice_method = (rpc.slice, rpc.method);
                    let started = Instant::now();
                    let _try_guard = shared.tries_in_flight.begin(&server);
                    record(&|stats, source| stats.try_started(source, slice_method, &server));
                    let target = TryTarget { rpc, server: &server, version, read_guard: read_guard.as_ref() };
                    let (outcome, next, result) = self.attempt(&target, relayed, &mut retry);
                    let latency = started.elapsed();
                    let try_result = match &result {
                        Ok(()) => TryResult::Ok,
                        Err(RpcFailure::ServerStatus(head)) if head.contains_key(PUSHBACK_HEADER) => {
                            TryResult::PushedBack
                        }
                        Err(_) => TryResult::Lost,
                    };
                    match outcome {
                        TryOutcome::NotSent => {
                            record(&|stats, source| stats.try_not_sent(source, slice_method, &server))
                        }
                        // This says nothing about the server, but the RPC is demand that was not served.
                        TryOutcome::NeverRan(NeverRan::NotTried) => record(&|stats, source| {
                            stats.try_not_sent(source, slice_method, &server);
                            if next == NextStep::Finish {
                                stats.record_hold_expired(source, rpc.slice, rpc.method);
                            }
                        }),
                        _ => record(&|stats, source| {
                            stats.try_ended(source, slice_method, &server, try_result, latency)
                        }),
                    }
                    if result.is_ok() || next == NextStep::Finish {
                        return result;
                    }
                }
            }
        }
    }

    /// Makes one try, which is sent a second time to the same server if its connection turned out to be closed.
    fn attempt(
        &self,
        target: &TryTarget<'_>,
        relayed: &mut RelayedCall,
        retry: &mut RetryState,
    ) -> (TryOutcome, NextStep, Result<(), RpcFailure>) {
        loop {
            let mut client_used = None;
            let (outcome, result) = match self.send(target, relayed, retry, &mut client_used) {
                Ok(()) => (TryOutcome::Answered, Ok(())),
                Err(TryFailure::AnswerTruncated) => {
                    (TryOutcome::AnswerTruncated, Err(RpcFailure::AlreadyAnswered))
                }
                Err(TryFailure::WriteNotAllowed) => {
                    (TryOutcome::NotSent, Err(RpcFailure::PushedBack(Refusal::NoLine)))
                }
                Err(TryFailure::Aborted(failure)) => (TryOutcome::Aborted, Err(failure)),
                Err(TryFailure::ServerStatus(head)) => {
                    (TryOutcome::MayHaveRun { connection_silent: false }, Err(RpcFailure::ServerStatus(head)))
                }
                Err(TryFailure::Failed(error, silent_for)) => {
                    let failure = RpcFailure::Failed(code_of(&error), error.to_string());
                    (TryOutcome::from_error(&error, silent_for), Err(failure))
                }
            };
            if let (true, Some(client)) = (retry.must_close_connection(outcome), &client_used) {
                // An abandoned write may be held in a network that delivers nothing now, and start at a former owner
                // once the network recovers. On a silent connection the cancellation would not arrive either, so the
                // connection is closed and its undelivered data is lost.
                client.abort();
            }
            let conditions = RetryConditions {
                time_left: target.rpc.deadline.saturating_duration_since(Instant::now()),
                client_waiting: !relayed.cancelled(),
                request_replayable: relayed.can_resend(),
            };
            let next = retry.next_step(outcome, conditions);
            if next != NextStep::SameServer {
                return (outcome, next, result);
            }
        }
    }

    /// Sends the RPC once; the connection used is stored in `client_used`.
    fn send(
        &self,
        target: &TryTarget<'_>,
        relayed: &mut RelayedCall,
        retry: &RetryState,
        client_used: &mut Option<Client>,
    ) -> Result<(), TryFailure> {
        let (rpc, shared) = (target.rpc, &self.shared);
        let method = &shared.service.methods[rpc.method];
        let connection = self.pool.acquire(target.server, rpc.deadline);
        let mut connection = connection.map_err(|error| TryFailure::Failed(error, Duration::ZERO))?;
        let client = client_used.insert(connection.client.clone()).clone();
        let time_left = rpc.deadline.saturating_duration_since(Instant::now());
        let mut timeout = if method.writes { time_left.min(self.write_timeout) } else { time_left };
        let mut headers = rpc.headers.clone();
        // The server may work for as long as anyone waits for the RPC, not only for the shorter timeout of this try.
        set_header(&mut headers, "grpc-timeout", &grpc_timeout(timeout));
        set_header(&mut headers, SLICE_HEADER, &rpc.slice.to_string());
        set_header(&mut headers, EPOCH_HEADER, &target.version.epoch.to_string());
        set_header(&mut headers, PROXY_HEADER, &self.id);
        if retry.may_retry_after_timeout() {
            timeout = timeout.min(rpc.soft_deadline.mul_f64(shared.service.try_factor));
        }
        // Waiting for an owner or a connection may have taken a while. Nobody waits for the answer, and the client may send
        // the request again elsewhere.
        if relayed.cancelled() {
            return Err(TryFailure::Aborted(client_gone()));
        }
        // The last check before the first byte: if the lease has ended by now, the write is not sent.
        if method.writes
            && !shared.read_table(|t| t.may_still_write(shared.now(), rpc.slice, rpc.method, target.version))
        {
            return Err(TryFailure::WriteNotAllowed);
        }
        let until = Instant::now() + timeout;
        let failed = |error| TryFailure::Failed(error, client.time_since_last_read());
        let attempt = client.open(&method.path, headers, timeout).map_err(failed)?;
        let stop = || target.read_guard.is_some_and(ReadGuard::stopped);
        let answer = relayed.send_until_head(attempt, until, timeout, stop).map_err(|error| match error {
            RelayError::Server(error) => failed(error),
            RelayError::Stopped => TryFailure::Aborted(RpcFailure::PushedBack(Refusal::Level)),
            RelayError::ClientGone => TryFailure::Aborted(client_gone()),
            RelayError::Request(error) => {
                let code = match error {
                    CallError::TooLarge { .. } | CallError::NoMemory { .. } => Code::ResourceExhausted,
                    _ => Code::InvalidArgument,
                };
                TryFailure::Aborted(RpcFailure::Failed(code, format!("the request: {error}")))
            }
        })?;
        connection.answered = true;
        // A write and its answer must end within the write timeout; a read's answer may take until the RPC's deadline.
        let until = if method.writes { until } else { rpc.deadline };
        self.relay_answer(target, relayed, answer, &client, until)
    }

    /// Passes on an answer whose head has arrived, unless the head contains a failure status.
    fn relay_answer(
        &self,
        target: &TryTarget<'_>,
        relayed: &mut RelayedCall,
        answer: RelayedAnswer,
        client: &Client,
        until: Instant,
    ) -> Result<(), TryFailure> {
        let mut head = hop_headers::response_headers(&answer.head.headers);
        match answer.status() {
            Err(error) => return Err(TryFailure::Failed(error, client.time_since_last_read())),
            Ok(Some(code)) if code != Code::Ok => {
                self.record_server_load(target.server, &head);
                return Err(TryFailure::ServerStatus(head));
            }
            // Ok without messages: the head is the whole answer.
            Ok(Some(_)) => {
                self.record_server_load(target.server, &head);
                relayed.answer_alone(head);
                return Ok(());
            }
            Ok(None) => {}
        }
        let server_name = HeaderValue::from_str(target.server);
        if let Ok(name) = &server_name {
            head.insert(ANSWERED_BY_HEADER, name.clone());
        }
        let time_left = until.saturating_duration_since(Instant::now());
        let rewrite_trailers = |trailers: &mut Trailers| {
            *trailers = hop_headers::response_headers(trailers);
            if let Ok(name) = server_name {
                trailers.insert(ANSWERED_BY_HEADER, name);
            }
        };
        match relayed.relay_answer(answer, head, until, time_left, rewrite_trailers) {
            Ok((code, trailers)) => {
                self.record_server_load(target.server, &trailers);
                // A failure status at the end of the answer has been passed on already, so no try may follow.
                if code == Code::Ok {
                    Ok(())
                } else {
                    Err(TryFailure::AnswerTruncated)
                }
            }
            Err(_) => Err(TryFailure::AnswerTruncated),
        }
    }

    /// Records the server's load report, if the answer contains one.
    fn record_server_load(&self, server: &Arc<str>, trailers: &Trailers) {
        let Some(value) = hop_headers::load_report(trailers) else { return };
        let report =
            whinhill_xds::decode_base64(value).and_then(|bytes| OrcaLoadReport::decode(&bytes[..]).ok());
        if let Some(report) = report {
            lock(&self.shared.load_stats).set_server_load(server, &report);
        }
    }
}

/// Sets a header, unless the value is invalid.
fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// The RPC of a try, its server, and the table version that chose it.
struct TryTarget<'a> {
    rpc: &'a Rpc,
    server: &'a Arc<str>,
    version: Version,
    /// Registration of a read, by which a level of 0 stops it.
    read_guard: Option<&'a ReadGuard<'a>>,
}

/// How sending an RPC failed.
enum TryFailure {
    /// The client got part of the answer, or a complete one that ends in a failure.
    AnswerTruncated,
    /// Nothing was sent: the table no longer allows the write.
    WriteNotAllowed,
    /// The proxy ended the try.
    Aborted(RpcFailure),
    /// The server's answer is only a failure status.
    ServerStatus(HeaderMap),
    /// An error, and the time since the connection last received anything.
    Failed(CallError, Duration),
}

/// The client has cancelled the RPC or disconnected.
fn client_gone() -> RpcFailure {
    RpcFailure::Failed(Code::Cancelled, "the client has gone".to_string())
}

/// The status for an RPC whose last try failed with this error.
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
