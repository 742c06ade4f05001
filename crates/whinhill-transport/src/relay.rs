//! Relays a call: sends a client's request to a server and the answer back, chunk by chunk, in both directions
//! at once, each at the pace of its slower end. One ordinary thread relays a call.
//!
//! Messages are not assembled on the way: a chunk is taken from one side's window only when the other side has
//! accepted the one before, so a slow client or server delays only its own call. The part of the request that
//! was read is kept while it is small, so that another try can send it again.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::{Reason, RecvStream, SendStream};
use http::{response, HeaderMap, HeaderValue, Response, StatusCode};

use crate::blocking::poll_until;
use crate::call::{read_status, status_headers, Client, ServerCall, Trailers};
use crate::connection::CountGuard;
use crate::error::{CallError, Code};
use crate::framing::{BodyLimits, Framing};
use crate::polling::PollScope;

/// Why a call could not be relayed to its end.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The server failed, or the time was up.
    #[error("{0}")]
    Server(CallError),
    /// The client's request is invalid or too large.
    #[error("the request: {0}")]
    Request(CallError),
    /// The client has cancelled the call or disconnected.
    #[error("the client has gone")]
    ClientGone,
    /// The caller asked to stop.
    #[error("stopped")]
    Stopped,
}

/// The part of a request that was read. Chunks that were sent are kept for another try up to a limit, and
/// discarded beyond it.
struct RequestBuffer {
    chunks: VecDeque<Bytes>,
    /// Number of `chunks` that the current try has sent.
    sent: usize,
    bytes: usize,
    max_kept: usize,
    /// A chunk that was sent has been discarded, so the request can't be sent again.
    discarded: bool,
    /// The request has been read to its end.
    ended: bool,
    trailers: Option<HeaderMap>,
    /// Bytes read from the client that no try has sent yet: their flow-control capacity is still to be released.
    unreleased: usize,
    framing: Framing,
}

impl RequestBuffer {
    fn new(limits: BodyLimits, max_kept: usize) -> Self {
        RequestBuffer {
            chunks: VecDeque::new(),
            sent: 0,
            bytes: 0,
            max_kept,
            discarded: false,
            ended: false,
            trailers: None,
            unreleased: 0,
            framing: Framing::new(limits),
        }
    }

    fn push(&mut self, chunk: Bytes) {
        self.bytes += chunk.len();
        self.unreleased += chunk.len();
        self.chunks.push_back(chunk);
    }

    fn unsent(&self) -> Option<&Bytes> {
        self.chunks.get(self.sent)
    }

    /// Takes up to `max` bytes of the next chunk and counts them as sent.
    fn send(&mut self, max: usize) -> Bytes {
        let Some(chunk) = self.chunks.get_mut(self.sent) else { return Bytes::new() };
        let part = chunk.split_to(max.min(chunk.len()));
        if chunk.is_empty() {
            *chunk = part.clone();
        } else {
            self.chunks.insert(self.sent, part.clone());
        }
        self.sent += 1;
        if self.discarded || self.bytes > self.max_kept {
            self.discarded = true;
            self.bytes -= self.chunks.drain(..self.sent).map(|chunk| chunk.len()).sum::<usize>();
            self.sent = 0;
        }
        part
    }

    /// Goes back to the first byte of the request; false if that has been discarded.
    fn rewind(&mut self) -> bool {
        if !self.discarded {
            self.sent = 0;
        }
        !self.discarded
    }
}

/// An incoming call that is being relayed. It gets one answer: once one has begun, further ones are ignored.
pub struct RelayedCall {
    call: ServerCall,
    buffer: RequestBuffer,
    answered: bool,
}

/// One try of a relayed call at a server, until the head of its answer.
pub struct Try {
    request_stream: SendStream<Bytes>,
    future: ResponseFuture,
    client: Client,
    /// The request was sent to its end.
    request_sent: bool,
    count_guard: CountGuard,
}

/// A try whose answer has begun.
pub struct RelayedAnswer {
    /// The head of the answer.
    pub head: response::Parts,
    request_stream: SendStream<Bytes>,
    request_sent: bool,
    response_body: RecvStream,
    _count_guard: CountGuard,
}

impl RelayedAnswer {
    /// The status, where the answer consists of its head alone.
    pub fn status(&self) -> Result<Option<Code>, CallError> {
        if self.head.status != StatusCode::OK {
            return Err(CallError::Malformed("the HTTP status is not 200"));
        }
        read_status(&self.head.headers)
    }
}

impl Client {
    /// Opens a try. Nothing is sent before this returns.
    pub fn open(&self, path: &str, headers: HeaderMap, timeout: Duration) -> Result<Try, CallError> {
        let (stream, future, count_guard) = self.begin(path, headers, timeout)?;
        Ok(Try { request_stream: stream, future, client: self.clone(), request_sent: false, count_guard })
    }
}

impl Try {
    fn fail(&mut self, error: RelayError) -> RelayError {
        self.request_stream.send_reset(Reason::CANCEL);
        error
    }
}

impl RelayedCall {
    /// At most `max_kept` bytes of the request are kept for another try.
    pub fn new(call: ServerCall, limits: BodyLimits, max_kept: usize) -> Self {
        let buffer = RequestBuffer::new(limits, max_kept);
        RelayedCall { call, buffer, answered: false }
    }

    /// The incoming call.
    pub fn call(&self) -> &ServerCall {
        &self.call
    }

    /// Whether the client has cancelled the call or disconnected.
    pub fn cancelled(&mut self) -> bool {
        self.call.cancelled()
    }

    /// Waits until a condition holds, at most until `until`; fails once the client has gone. The condition is evaluated
    /// whenever the thread is woken: to end the wait, change what it reads and unpark the thread.
    pub fn wait_until(&mut self, until: Instant, holds: impl Fn() -> bool) -> Result<(), RelayError> {
        let client_gone = poll_until(until, |cx| {
            if holds() {
                return Poll::Ready(false);
            }
            if self.call.poll_client_gone(cx) {
                return Poll::Ready(true);
            }
            Poll::Pending
        });
        match client_gone {
            Some(true) => Err(RelayError::ClientGone),
            Some(false) | None => Ok(()),
        }
    }

    /// Whether the request can be sent again from its first byte.
    pub fn can_resend(&self) -> bool {
        !self.buffer.discarded
    }

    /// Answers with a status only.
    pub fn refuse(&mut self, code: Code, message: &str, extra: Trailers) {
        self.answer_alone(status_headers(code, message, extra));
    }

    /// Answers with a head only, for example one that a server sent.
    pub fn answer_alone(&mut self, head: HeaderMap) {
        if !std::mem::replace(&mut self.answered, true) {
            self.call.answer_alone(StatusCode::OK, head);
        }
    }

    /// Sends the request from its first byte until the head of the answer arrives. `stop` is evaluated whenever
    /// the thread is woken: to stop the try, change what `stop` reads and unpark the thread.
    pub fn send_until_head(
        &mut self,
        mut attempt: Try,
        deadline: Instant,
        timeout: Duration,
        stop: impl Fn() -> bool,
    ) -> Result<RelayedAnswer, RelayError> {
        let _scope = PollScope::begin();
        self.buffer.rewind();
        let result = poll_until(deadline, |cx| {
            if stop() {
                return Poll::Ready(Err(RelayError::Stopped));
            }
            if self.call.poll_client_gone(cx) {
                return Poll::Ready(Err(RelayError::ClientGone));
            }
            // The answer is polled first: one that is there when the time ends counts.
            if let Poll::Ready(head) = Pin::new(&mut attempt.future).poll(cx) {
                return Poll::Ready(head.map_err(|error| RelayError::Server(attempt.client.failed(error))));
            }
            match self.forward_request(&mut attempt.request_stream, &mut attempt.request_sent, cx) {
                Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
                Poll::Ready(Ok(())) | Poll::Pending => Poll::Pending,
            }
        });
        match result {
            None => Err(attempt.fail(RelayError::Server(CallError::Deadline(timeout)))),
            Some(Err(error)) => Err(attempt.fail(error)),
            Some(Ok(response)) => {
                let (head, response_body) = response.into_parts();
                let Try { request_stream, request_sent, count_guard, .. } = attempt;
                Ok(RelayedAnswer {
                    head,
                    request_stream,
                    request_sent,
                    response_body,
                    _count_guard: count_guard,
                })
            }
        }
    }

    /// Relays the answer, and the rest of the request. `head` is the head that the client gets, and `edit_trailers` may
    /// add to the trailers. Returns the server's status and its unchanged trailers. If the answer ends early,
    /// the client is sent trailers with an error status, and the error is returned.
    pub fn relay_answer(
        &mut self,
        mut from: RelayedAnswer,
        head: HeaderMap,
        deadline: Instant,
        timeout: Duration,
        edit_trailers: impl FnOnce(&mut Trailers),
    ) -> Result<(Code, Trailers), RelayError> {
        let _scope = PollScope::begin();
        self.answered = true;
        let mut response = Response::new(());
        *response.headers_mut() = head;
        let mut to = self.call.respond_with(response).map_err(|_| RelayError::ClientGone)?;
        let mut framing = Framing::new(self.buffer.framing.limits());
        let mut unsent_chunk = Bytes::new();
        let result = poll_until(deadline, |cx| {
            if matches!(to.poll_reset(cx), Poll::Ready(_)) {
                return Poll::Ready(Err(RelayError::ClientGone));
            }
            // Once the answer has begun, only an error of the request itself ends the call; a request that the
            // server no longer accepts does not concern the client.
            if let Poll::Ready(Err(error)) =
                self.forward_request(&mut from.request_stream, &mut from.request_sent, cx)
            {
                return Poll::Ready(Err(error));
            }
            forward_response(&mut from.response_body, &mut to, &mut unsent_chunk, &mut framing, cx)
        });
        let outcome = match result {
            None => Err(RelayError::Server(CallError::Deadline(timeout))),
            Some(Err(error)) => Err(error),
            Some(Ok(trailers)) => match read_status(&trailers) {
                Ok(Some(code)) => Ok((code, trailers)),
                Ok(None) => Err(RelayError::Server(CallError::Malformed("no status at the answer's end"))),
                Err(error) => Err(RelayError::Server(error)),
            },
        };
        if outcome.is_err() || !from.request_sent {
            // Passes a cancellation on. After a complete answer nobody needs the rest of the request.
            from.request_stream.send_reset(Reason::CANCEL);
        }
        match outcome {
            Ok((code, trailers)) => {
                let mut edited = trailers.clone();
                edit_trailers(&mut edited);
                // The client may have disconnected just now; the answer was complete all the same.
                let _ = to.send_trailers(edited);
                Ok((code, trailers))
            }
            Err(error) => {
                let code = match &error {
                    RelayError::Server(CallError::Deadline(_)) => Code::DeadlineExceeded,
                    RelayError::Request(_) => Code::ResourceExhausted,
                    _ => Code::Unavailable,
                };
                let _ =
                    to.send_trailers(status_headers(code, &format!("broken off: {error}"), Trailers::new()));
                Err(error)
            }
        }
    }

    /// Sends the available part of the request, as far as both windows allow. Ready once its end was sent.
    fn forward_request(
        &mut self,
        request_stream: &mut SendStream<Bytes>,
        request_sent: &mut bool,
        cx: &mut Context<'_>,
    ) -> Poll<Result<(), RelayError>> {
        while !*request_sent {
            if let Some(chunk) = self.buffer.unsent() {
                request_stream.reserve_capacity(chunk.len());
                if request_stream.capacity() == 0 {
                    match request_stream.poll_capacity(cx) {
                        Poll::Pending => return Poll::Pending,
                        Poll::Ready(Some(Ok(_))) => continue,
                        // The answer tells how the server ended the call.
                        Poll::Ready(Some(Err(_)) | None) => return Poll::Pending,
                    }
                }
                let part = self.buffer.send(request_stream.capacity());
                let newly_sent = part.len().min(self.buffer.unreleased);
                self.buffer.unreleased -= newly_sent;
                *request_sent =
                    self.buffer.unsent().is_none() && self.buffer.ended && self.buffer.trailers.is_none();
                if request_stream.send_data(part, *request_sent).is_err() {
                    return Poll::Pending;
                }
                // Only now may the client send more.
                self.call.release(newly_sent);
            } else if self.buffer.ended {
                *request_sent = true;
                let _ = match &self.buffer.trailers {
                    Some(trailers) => request_stream.send_trailers(trailers.clone()),
                    None => request_stream.send_data(Bytes::new(), true),
                };
            } else {
                match self.call.poll_chunk(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(Ok(chunk))) => {
                        self.buffer.framing.check(&chunk).map_err(RelayError::Request)?;
                        // An empty chunk, which may mark the end of the stream, is dropped: it would wait for
                        // window capacity that nothing grants.
                        if !chunk.is_empty() {
                            self.buffer.push(chunk);
                            let held = self.buffer.bytes;
                            self.call.reserve_message_buffer(held).map_err(RelayError::Request)?;
                        }
                        self.buffer.ended = self.call.body_ended();
                        if self.buffer.ended && !self.buffer.framing.at_message_boundary() {
                            return Poll::Ready(Err(truncated_request()));
                        }
                    }
                    Poll::Ready(Some(Err(_))) => return Poll::Ready(Err(RelayError::ClientGone)),
                    Poll::Ready(None) => match self.call.poll_trailers(cx) {
                        Poll::Pending => return Poll::Pending,
                        Poll::Ready(trailers) => {
                            if !self.buffer.framing.at_message_boundary() {
                                return Poll::Ready(Err(truncated_request()));
                            }
                            (self.buffer.ended, self.buffer.trailers) = (true, trailers);
                        }
                    },
                }
            }
        }
        Poll::Ready(Ok(()))
    }
}

fn truncated_request() -> RelayError {
    RelayError::Request(CallError::Malformed("it ends within a message"))
}

/// Relays chunks of the answer as far as the client's window allows. Ready with the trailers at its end.
fn forward_response(
    response_body: &mut RecvStream,
    to: &mut SendStream<Bytes>,
    unsent_chunk: &mut Bytes,
    framing: &mut Framing,
    cx: &mut Context<'_>,
) -> Poll<Result<Trailers, RelayError>> {
    let server = |error| RelayError::Server(CallError::from_h2_after_head(error));
    loop {
        while !unsent_chunk.is_empty() {
            to.reserve_capacity(unsent_chunk.len());
            if to.capacity() == 0 {
                match to.poll_capacity(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(Ok(_))) => continue,
                    Poll::Ready(Some(Err(_)) | None) => return Poll::Ready(Err(RelayError::ClientGone)),
                }
            }
            let part = unsent_chunk.split_to(to.capacity().min(unsent_chunk.len()));
            let size = part.len();
            to.send_data(part, false).map_err(|_| RelayError::ClientGone)?;
            response_body.flow_control().release_capacity(size).map_err(server)?;
        }
        match response_body.poll_data(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Some(Ok(chunk))) => {
                framing.check(&chunk).map_err(RelayError::Server)?;
                *unsent_chunk = chunk;
            }
            Poll::Ready(Some(Err(error))) => return Poll::Ready(Err(server(error))),
            Poll::Ready(None) => {
                return match response_body.poll_trailers(cx) {
                    Poll::Pending => Poll::Pending,
                    Poll::Ready(trailers) => {
                        Poll::Ready(trailers.map(Option::unwrap_or_default).map_err(server))
                    }
                }
            }
        }
    }
}

impl ServerCall {
    fn poll_client_gone(&mut self, cx: &mut Context<'_>) -> bool {
        matches!(self.respond.poll_reset(cx), Poll::Ready(_))
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, h2::Error>>> {
        self.body.poll_data(cx)
    }

    fn poll_trailers(&mut self, cx: &mut Context<'_>) -> Poll<Option<HeaderMap>> {
        self.body.poll_trailers(cx).map(|trailers| trailers.ok().flatten())
    }

    fn body_ended(&self) -> bool {
        self.body.is_end_stream()
    }

    fn release(&mut self, bytes: usize) {
        // This fails only where the stream has ended, which needs no more window.
        let _ = self.body.flow_control().release_capacity(bytes);
    }

    fn respond_with(&mut self, response: Response<()>) -> Result<SendStream<Bytes>, h2::Error> {
        self.respond.send_response(response, false)
    }

    /// Answers with a plain HTTP status, for requests that are not gRPC.
    pub fn refuse_http(mut self, code: StatusCode) {
        self.answer_alone(code, HeaderMap::new());
    }

    /// Answers with a head that ends the stream.
    pub(crate) fn answer_alone(&mut self, code: StatusCode, mut headers: HeaderMap) {
        let _scope = PollScope::begin();
        if code == StatusCode::OK {
            headers.insert("content-type", HeaderValue::from_static("application/grpc"));
        }
        let mut response = Response::new(());
        (*response.status_mut(), *response.headers_mut()) = (code, headers);
        // The client may have disconnected.
        let _ = self.respond.send_response(response, true);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn buffer_keeping(max_kept: usize) -> RequestBuffer {
        RequestBuffer::new(BodyLimits { max_message: 1 << 20, max_body: 1 << 20 }, max_kept)
    }

    fn drain(buffer: &mut RequestBuffer, step: usize) -> Vec<u8> {
        let mut out = Vec::new();
        while buffer.unsent().is_some() {
            out.extend(buffer.send(step));
        }
        out
    }

    #[test]
    fn small_request_can_be_resent_whole_regardless_of_chunk_sizes() {
        let mut buffer = buffer_keeping(20);
        buffer.push(Bytes::from_static(b"hello "));
        buffer.push(Bytes::from_static(b"world"));
        for step in [1, 4, 100] {
            assert_eq!(drain(&mut buffer, step), b"hello world");
            assert!(buffer.rewind());
        }
        // Rewinding in the middle of a chunk starts from the beginning too.
        assert_eq!(&buffer.send(3)[..], b"h");
        assert!(buffer.rewind());
        assert_eq!(drain(&mut buffer, 5), b"hello world");
    }

    #[test]
    fn large_request_is_discarded_as_it_is_sent_and_can_not_be_resent() {
        let mut buffer = buffer_keeping(8);
        buffer.push(Bytes::from_static(b"hello "));
        assert_eq!(drain(&mut buffer, 100), b"hello ");
        assert!(buffer.rewind());
        buffer.push(Bytes::from_static(b"world"));
        assert_eq!(drain(&mut buffer, 4), b"hello world");
        assert_eq!((buffer.bytes, buffer.chunks.len(), buffer.rewind()), (0, 0, false));
        buffer.push(Bytes::from_static(b"!"));
        assert_eq!(drain(&mut buffer, 100), b"!");
        assert_eq!(buffer.bytes, 0);
    }
}
