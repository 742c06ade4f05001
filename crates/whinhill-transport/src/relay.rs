//! Passes a call on: what its client sends goes to a server, and the answer back, piece by piece, both ways at once,
//! each at the pace of its slower end. One ordinary thread carries a call.
//!
//! Nothing is put together on the way: a piece is taken from one side's window only when the other side had room for
//! the one before, so a slow client or server holds up its own call alone. What was read of the request is kept while
//! it is small, so that it can be sent once more.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::{Reason, RecvStream, SendStream};
use http::{response, HeaderMap, HeaderValue, Response, StatusCode};

use crate::call::{read_status, status, Client, ServerCall, Trailers};
use crate::connection::Counted;
use crate::error::{CallError, Code};
use crate::framing::{BodyLimits, Framing};
use crate::park::wait;
use crate::turning::Turn;

/// Why a call could not be passed on to its end.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The server's side failed, or the time was over.
    #[error("{0}")]
    Server(CallError),
    /// What the client sends can't be passed on.
    #[error("the request: {0}")]
    Request(CallError),
    /// The client has cancelled the call, or its connection is gone.
    #[error("the client has gone")]
    ClientGone,
    /// Whoever passes it on wants it stopped.
    #[error("stopped")]
    Stopped,
}

/// What was read of a request. Pieces that were sent are kept for another try up to a bound, then let go.
struct Spool {
    pieces: VecDeque<Bytes>,
    /// Pieces of `pieces` that this try has sent.
    sent: usize,
    bytes: usize,
    keep_most: usize,
    /// Something that was sent has been let go.
    let_go: bool,
    /// No more pieces come.
    ended: bool,
    trailers: Option<HeaderMap>,
    /// Bytes taken from the client's window that were never sent yet.
    owed: usize,
    framing: Framing,
}

impl Spool {
    fn new(limits: BodyLimits, keep_most: usize) -> Self {
        Spool {
            pieces: VecDeque::new(),
            sent: 0,
            bytes: 0,
            keep_most,
            let_go: false,
            ended: false,
            trailers: None,
            owed: 0,
            framing: Framing::new(limits),
        }
    }

    fn push(&mut self, piece: Bytes) {
        self.bytes += piece.len();
        self.owed += piece.len();
        self.pieces.push_back(piece);
    }

    fn unsent(&self) -> Option<&Bytes> {
        self.pieces.get(self.sent)
    }

    /// Takes up to `most` bytes of the next piece as sent.
    fn send(&mut self, most: usize) -> Bytes {
        let Some(piece) = self.pieces.get_mut(self.sent) else { return Bytes::new() };
        let part = piece.split_to(most.min(piece.len()));
        if piece.is_empty() {
            *piece = part.clone();
        } else {
            self.pieces.insert(self.sent, part.clone());
        }
        self.sent += 1;
        if self.let_go || self.bytes > self.keep_most {
            self.let_go = true;
            self.bytes -= self.pieces.drain(..self.sent).map(|piece| piece.len()).sum::<usize>();
            self.sent = 0;
        }
        part
    }

    /// Back to the request's first byte; false if that has been let go.
    fn rewind(&mut self) -> bool {
        if !self.let_go {
            self.sent = 0;
        }
        !self.let_go
    }
}

/// A call that came in and is being passed on. It gets one answer: once one has begun, others say nothing.
pub struct Passage {
    call: ServerCall,
    spool: Spool,
    answered: bool,
}

/// One try of a passage at a server, until the head of its answer.
pub struct Try {
    up: SendStream<Bytes>,
    future: ResponseFuture,
    client: Client,
    /// The request's end was sent.
    done: bool,
    counted: Counted,
}

/// A try whose answer has begun.
pub struct Answering {
    pub head: response::Parts,
    up: SendStream<Bytes>,
    done: bool,
    down: RecvStream,
    _counted: Counted,
}

impl Answering {
    /// The status, where the head is all there is of the answer.
    pub fn status(&self) -> Result<Option<Code>, CallError> {
        if self.head.status != StatusCode::OK {
            return Err(CallError::Malformed("the HTTP status is not 200"));
        }
        read_status(&self.head.headers)
    }
}

impl Client {
    /// Opens a try. Until this returns nothing was sent.
    pub fn open(&self, path: &str, headers: HeaderMap, within: Duration) -> Result<Try, CallError> {
        let (stream, future, counted) = self.begin(path, headers, within)?;
        Ok(Try { up: stream, future, client: self.clone(), done: false, counted })
    }
}

impl Try {
    fn fail(&mut self, error: RelayError) -> RelayError {
        self.up.send_reset(Reason::CANCEL);
        error
    }
}

impl Passage {
    /// `keep_most` bytes of the request are kept for another try.
    pub fn new(call: ServerCall, limits: BodyLimits, keep_most: usize) -> Self {
        let spool = Spool::new(limits, keep_most);
        Passage { call, spool, answered: false }
    }

    pub fn call(&self) -> &ServerCall {
        &self.call
    }

    /// Whether the client has cancelled it or gone away.
    pub fn cancelled(&mut self) -> bool {
        self.call.cancelled()
    }

    /// Whether the request can be sent once more from its first byte.
    pub fn whole(&self) -> bool {
        !self.spool.let_go
    }

    /// Answers with a status alone.
    pub fn refuse(&mut self, code: Code, message: &str, extra: Trailers) {
        self.answer_alone(status(code, message, extra));
    }

    /// Answers with a head that is all there is of the answer: a server's own, for one.
    pub fn answer_alone(&mut self, head: HeaderMap) {
        if !std::mem::replace(&mut self.answered, true) {
            self.call.answer_alone(StatusCode::OK, head);
        }
    }

    /// Sends the request on, from its first byte, until the head of the answer is there. `stop` is asked whenever
    /// the thread is woken; who wants to stop it sets what it reads and unparks the thread.
    pub fn until_head(
        &mut self,
        mut attempt: Try,
        until: Instant,
        within: Duration,
        stop: impl Fn() -> bool,
    ) -> Result<Answering, RelayError> {
        let _turn = Turn::begin();
        self.spool.rewind();
        let met = wait(until, |cx| {
            if stop() {
                return Poll::Ready(Err(RelayError::Stopped));
            }
            if self.call.poll_gone(cx) {
                return Poll::Ready(Err(RelayError::ClientGone));
            }
            // The answer first: one that is there when the time ends counts.
            if let Poll::Ready(head) = Pin::new(&mut attempt.future).poll(cx) {
                return Poll::Ready(head.map_err(|error| RelayError::Server(attempt.client.failed(error))));
            }
            match self.pump_up(&mut attempt.up, &mut attempt.done, cx) {
                Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
                Poll::Ready(Ok(())) | Poll::Pending => Poll::Pending,
            }
        });
        match met {
            None => Err(attempt.fail(RelayError::Server(CallError::Deadline(within)))),
            Some(Err(error)) => Err(attempt.fail(error)),
            Some(Ok(response)) => {
                let (head, down) = response.into_parts();
                let Try { up, done, counted, .. } = attempt;
                Ok(Answering { head, up, done, down, _counted: counted })
            }
        }
    }

    /// Passes the answer on, and what is left of the request. `head` is what the client gets as the answer's head,
    /// `mend` may add to its trailers. What the answer's own status was comes back; where the answer broke off the
    /// client has been told so.
    pub fn answer(
        &mut self,
        mut from: Answering,
        head: HeaderMap,
        until: Instant,
        within: Duration,
        mend: impl FnOnce(&mut Trailers),
    ) -> Result<(Code, Trailers), RelayError> {
        let _turn = Turn::begin();
        self.answered = true;
        let mut response = Response::new(());
        *response.headers_mut() = head;
        let mut to = self.call.respond_with(response).map_err(|_| RelayError::ClientGone)?;
        let mut framing = Framing::new(self.spool.framing.limits());
        let mut held = Bytes::new();
        let met = wait(until, |cx| {
            if matches!(to.poll_reset(cx), Poll::Ready(_)) {
                return Poll::Ready(Err(RelayError::ClientGone));
            }
            // A request that can't be passed on to its end is no matter to the client once it is being answered.
            if let Poll::Ready(Err(error)) = self.pump_up(&mut from.up, &mut from.done, cx) {
                return Poll::Ready(Err(error));
            }
            pump_down(&mut from.down, &mut to, &mut held, &mut framing, cx)
        });
        let ended = match met {
            None => Err(RelayError::Server(CallError::Deadline(within))),
            Some(Err(error)) => Err(error),
            Some(Ok(trailers)) => match read_status(&trailers) {
                Ok(Some(code)) => Ok((code, trailers)),
                Ok(None) => Err(RelayError::Server(CallError::Malformed("no status at the answer's end"))),
                Err(error) => Err(RelayError::Server(error)),
            },
        };
        if ended.is_err() || !from.done {
            // Cancellation is carried on; after a whole answer the rest of the request is wanted by nobody.
            from.up.send_reset(Reason::CANCEL);
        }
        match ended {
            Ok((code, trailers)) => {
                let mut mended = trailers.clone();
                mend(&mut mended);
                // The client may have gone just now; the answer was whole all the same.
                let _ = to.send_trailers(mended);
                Ok((code, trailers))
            }
            Err(error) => {
                let code = match &error {
                    RelayError::Server(CallError::Deadline(_)) => Code::DeadlineExceeded,
                    RelayError::Request(_) => Code::ResourceExhausted,
                    _ => Code::Unavailable,
                };
                let _ = to.send_trailers(status(code, &format!("broken off: {error}"), Trailers::new()));
                Err(error)
            }
        }
    }

    /// Sends on what there is of the request, as far as both windows allow. Ready once its end was sent.
    fn pump_up(
        &mut self,
        up: &mut SendStream<Bytes>,
        done: &mut bool,
        cx: &mut Context<'_>,
    ) -> Poll<Result<(), RelayError>> {
        while !*done {
            if let Some(piece) = self.spool.unsent() {
                up.reserve_capacity(piece.len());
                if up.capacity() == 0 {
                    match up.poll_capacity(cx) {
                        Poll::Pending => return Poll::Pending,
                        Poll::Ready(Some(Ok(_))) => continue,
                        // The answer's side tells how the server ended it.
                        Poll::Ready(Some(Err(_)) | None) => return Poll::Pending,
                    }
                }
                let part = self.spool.send(up.capacity());
                let first_sent = part.len().min(self.spool.owed);
                self.spool.owed -= first_sent;
                *done = self.spool.unsent().is_none() && self.spool.ended && self.spool.trailers.is_none();
                if up.send_data(part, *done).is_err() {
                    return Poll::Pending;
                }
                // Only now may the client send more.
                self.call.release(first_sent);
            } else if self.spool.ended {
                *done = true;
                let _ = match &self.spool.trailers {
                    Some(trailers) => up.send_trailers(trailers.clone()),
                    None => up.send_data(Bytes::new(), true),
                };
            } else {
                match self.call.poll_piece(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(Ok(piece))) => {
                        self.spool.framing.take(&piece).map_err(RelayError::Request)?;
                        // An empty one, as ends may come in, would wait for room that nobody has to make.
                        if !piece.is_empty() {
                            self.spool.push(piece);
                        }
                        self.spool.ended = self.call.body_ended();
                        if self.spool.ended && !self.spool.framing.whole() {
                            return Poll::Ready(Err(cut_short()));
                        }
                    }
                    Poll::Ready(Some(Err(_))) => return Poll::Ready(Err(RelayError::ClientGone)),
                    Poll::Ready(None) => match self.call.poll_trailers(cx) {
                        Poll::Pending => return Poll::Pending,
                        Poll::Ready(trailers) => {
                            if !self.spool.framing.whole() {
                                return Poll::Ready(Err(cut_short()));
                            }
                            (self.spool.ended, self.spool.trailers) = (true, trailers);
                        }
                    },
                }
            }
        }
        Poll::Ready(Ok(()))
    }
}

fn cut_short() -> RelayError {
    RelayError::Request(CallError::Malformed("it ends within a message"))
}

/// Passes pieces of the answer on as far as the client's window allows. Ready with the trailers at its end.
fn pump_down(
    down: &mut RecvStream,
    to: &mut SendStream<Bytes>,
    held: &mut Bytes,
    framing: &mut Framing,
    cx: &mut Context<'_>,
) -> Poll<Result<Trailers, RelayError>> {
    let server = |error| RelayError::Server(CallError::broken(error));
    loop {
        while !held.is_empty() {
            to.reserve_capacity(held.len());
            if to.capacity() == 0 {
                match to.poll_capacity(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(Ok(_))) => continue,
                    Poll::Ready(Some(Err(_)) | None) => return Poll::Ready(Err(RelayError::ClientGone)),
                }
            }
            let part = held.split_to(to.capacity().min(held.len()));
            let size = part.len();
            to.send_data(part, false).map_err(|_| RelayError::ClientGone)?;
            down.flow_control().release_capacity(size).map_err(server)?;
        }
        match down.poll_data(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Some(Ok(piece))) => {
                framing.take(&piece).map_err(RelayError::Server)?;
                *held = piece;
            }
            Poll::Ready(Some(Err(error))) => return Poll::Ready(Err(server(error))),
            Poll::Ready(None) => {
                return match down.poll_trailers(cx) {
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
    fn poll_gone(&mut self, cx: &mut Context<'_>) -> bool {
        matches!(self.respond.poll_reset(cx), Poll::Ready(_))
    }

    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, h2::Error>>> {
        self.body.poll_data(cx)
    }

    fn poll_trailers(&mut self, cx: &mut Context<'_>) -> Poll<Option<HeaderMap>> {
        self.body.poll_trailers(cx).map(|trailers| trailers.ok().flatten())
    }

    fn body_ended(&self) -> bool {
        self.body.is_end_stream()
    }

    fn release(&mut self, bytes: usize) {
        // It fails only where the stream has ended: then there is no window to open.
        let _ = self.body.flow_control().release_capacity(bytes);
    }

    fn respond_with(&mut self, response: Response<()>) -> Result<SendStream<Bytes>, h2::Error> {
        self.respond.send_response(response, false)
    }

    /// Answers in plain HTTP, for what is no gRPC.
    pub fn refuse_http(mut self, code: StatusCode) {
        self.answer_alone(code, HeaderMap::new());
    }

    pub(crate) fn answer_alone(&mut self, code: StatusCode, mut headers: HeaderMap) {
        let _turn = Turn::begin();
        if code == StatusCode::OK {
            headers.insert("content-type", HeaderValue::from_static("application/grpc"));
        }
        let mut response = Response::new(());
        (*response.status_mut(), *response.headers_mut()) = (code, headers);
        // The client may have gone.
        let _ = self.respond.send_response(response, true);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spool(keep_most: usize) -> Spool {
        Spool::new(BodyLimits { message_most: 1 << 20, body_most: 1 << 20 }, keep_most)
    }

    fn drain(spool: &mut Spool, step: usize) -> Vec<u8> {
        let mut out = Vec::new();
        while spool.unsent().is_some() {
            out.extend(spool.send(step));
        }
        out
    }

    #[test]
    fn a_small_request_is_sent_again_whole_however_it_was_cut() {
        let mut spool = spool(20);
        spool.push(Bytes::from_static(b"hello "));
        spool.push(Bytes::from_static(b"world"));
        for step in [1, 4, 100] {
            assert_eq!(drain(&mut spool, step), b"hello world");
            assert!(spool.rewind());
        }
        // Cut short in the middle of a piece, it begins anew all the same.
        assert_eq!(&spool.send(3)[..], b"h");
        assert!(spool.rewind());
        assert_eq!(drain(&mut spool, 5), b"hello world");
    }

    #[test]
    fn a_large_request_is_let_go_as_it_is_sent_and_can_not_be_sent_again() {
        let mut spool = spool(8);
        spool.push(Bytes::from_static(b"hello "));
        assert_eq!(drain(&mut spool, 100), b"hello ");
        assert!(spool.rewind());
        spool.push(Bytes::from_static(b"world"));
        assert_eq!(drain(&mut spool, 4), b"hello world");
        assert_eq!((spool.bytes, spool.pieces.len(), spool.rewind()), (0, 0, false));
        spool.push(Bytes::from_static(b"!"));
        assert_eq!(drain(&mut spool, 100), b"!");
        assert_eq!(spool.bytes, 0);
    }
}
