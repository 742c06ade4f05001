//! Reads one HTTP/1.1 response, in whatever pieces it arrives, and writes requests.

/// Maximum size of the head of a response.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of headers.
const MAX_HEADERS: usize = 32;
/// Maximum size of a line between chunks: a chunk's length, its end, or a trailer.
const MAX_CHUNK_LINE_BYTES: usize = 64;

/// Why a response is invalid.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The head is not that of an HTTP/1.1 response.
    #[error("the head is not HTTP/1.1")]
    Head,
    /// The head exceeds the maximum size.
    #[error("a head of over {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    /// The `Content-Length` is not a number.
    #[error("invalid content length")]
    Length,
    /// A chunk has an invalid length or end, or a line between chunks is too long.
    #[error("invalid chunk")]
    Chunk,
}

#[derive(Clone, Debug)]
enum State {
    Head,
    /// The number of bytes of the body that are left; `None` if it ends with the connection.
    Body(Option<u64>),
    ChunkLength,
    /// The number of bytes of the chunk that are left.
    Chunk(u64),
    ChunkEnd,
    Trailer,
    Done,
}

/// A response that is being read.
#[derive(Clone, Debug)]
pub struct ResponseReader {
    state: State,
    /// An incomplete head or line.
    buffered: Vec<u8>,
    status: Option<u16>,
}

impl Default for ResponseReader {
    fn default() -> Self {
        ResponseReader { state: State::Head, buffered: Vec::new(), status: None }
    }
}

impl ResponseReader {
    /// Handles received bytes, and appends those of the body to `body`.
    pub fn push(&mut self, mut bytes: &[u8], body: &mut Vec<u8>) -> Result<(), HttpError> {
        while !bytes.is_empty() {
            bytes = match self.state {
                State::Head => self.read_head(bytes)?,
                State::Body(None) => {
                    body.extend_from_slice(bytes);
                    &[]
                }
                State::Body(Some(left)) => {
                    let (now, rest) = split_at_most(bytes, left);
                    body.extend_from_slice(now);
                    self.state = state_for(left - now.len() as u64, State::Done, |n| State::Body(Some(n)));
                    rest
                }
                State::ChunkLength => self.read_line(bytes, |line| {
                    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
                    let text = std::str::from_utf8(digits).map_err(|_| HttpError::Chunk)?.trim();
                    let length = u64::from_str_radix(text, 16).map_err(|_| HttpError::Chunk)?;
                    Ok(state_for(length, State::Trailer, State::Chunk))
                })?,
                State::Chunk(left) => {
                    let (now, rest) = split_at_most(bytes, left);
                    body.extend_from_slice(now);
                    self.state = state_for(left - now.len() as u64, State::ChunkEnd, State::Chunk);
                    rest
                }
                State::ChunkEnd => self.read_line(bytes, |line| match line {
                    b"" => Ok(State::ChunkLength),
                    _ => Err(HttpError::Chunk),
                })?,
                State::Trailer => self.read_line(bytes, |line| {
                    Ok(if line.is_empty() { State::Done } else { State::Trailer })
                })?,
                // What follows a complete response must not make it invalid, in whatever pieces the bytes arrive, so
                // it is ignored.
                State::Done => &[],
            };
        }
        Ok(())
    }

    /// Whether the response is complete if the connection ends now.
    pub fn is_complete_at_eof(&self) -> bool {
        matches!(self.state, State::Done | State::Body(None))
    }

    /// Whether the response is complete.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// The status, once the head is complete.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    fn read_head<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], HttpError> {
        let before = self.buffered.len();
        let (now, _) = split_at_most(bytes, (MAX_HEAD_BYTES + 1 - before.min(MAX_HEAD_BYTES)) as u64);
        self.buffered.extend_from_slice(now);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(&self.buffered).map_err(|_| HttpError::Head)?;
        let httparse::Status::Complete(length) = parsed else {
            return if self.buffered.len() > MAX_HEAD_BYTES { Err(HttpError::HeadTooLong) } else { Ok(&[]) };
        };
        let status = response.code.ok_or(HttpError::Head)?;
        let header = |name: &str| response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        let chunked = header("transfer-encoding").is_some_and(|h| h.value.eq_ignore_ascii_case(b"chunked"));
        let next = if chunked {
            State::ChunkLength
        } else if let Some(header) = header("content-length") {
            let text = std::str::from_utf8(header.value).map_err(|_| HttpError::Length)?;
            let length = text.trim().parse().map_err(|_| HttpError::Length)?;
            state_for(length, State::Done, |n| State::Body(Some(n)))
        } else {
            State::Body(None)
        };
        (self.state, self.status) = (next, Some(status));
        self.buffered = Vec::new();
        Ok(bytes.get(length.saturating_sub(before)..).unwrap_or_default())
    }

    /// Reads one line, which may arrive in pieces, and enters the state that `next` derives from it.
    fn read_line<'a>(
        &mut self,
        bytes: &'a [u8],
        next: impl FnOnce(&[u8]) -> Result<State, HttpError>,
    ) -> Result<&'a [u8], HttpError> {
        let end = bytes.iter().position(|b| *b == b'\n');
        let (line, rest) = bytes.split_at(end.unwrap_or(bytes.len()));
        if self.buffered.len() + line.len() > MAX_CHUNK_LINE_BYTES {
            return Err(HttpError::Chunk);
        }
        self.buffered.extend_from_slice(line);
        if end.is_some() {
            let line = std::mem::take(&mut self.buffered);
            self.state = next(line.strip_suffix(b"\r").unwrap_or(&line))?;
        }
        Ok(rest.get(1..).unwrap_or_default())
    }
}

/// Splits off at most `max` bytes.
fn split_at_most(bytes: &[u8], max: u64) -> (&[u8], &[u8]) {
    bytes.split_at(usize::try_from(max).map_or(bytes.len(), |max| max.min(bytes.len())))
}

/// `end` if nothing is left, otherwise `more` for what is left.
fn state_for(left: u64, end: State, more: impl FnOnce(u64) -> State) -> State {
    if left == 0 {
        end
    } else {
        more(left)
    }
}

/// A GET request for a path, after whose response the server closes the connection.
pub fn get_request(path: &str, host: std::net::SocketAddr) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n").into_bytes()
}

#[cfg(test)]
mod tests;
