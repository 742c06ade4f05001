//! Reads one HTTP/1.1 answer, in any pieces.

/// Bytes that the head of an answer may have.
const HEAD_MOST: usize = 8 * 1024;
const HEADERS_MOST: usize = 32;
/// Bytes that the line of a chunk's length may have.
const LENGTH_MOST: usize = 64;

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    #[error("the head is not HTTP/1.1")]
    Head,
    #[error("a head of over {HEAD_MOST} bytes")]
    HeadTooLong,
    #[error("a content length that cannot be read")]
    Length,
    #[error("a chunk's length that cannot be read")]
    Chunk,
}

#[derive(Clone, Debug)]
enum State {
    Head,
    /// So many bytes of the body are to come; `None`: until the connection ends.
    Body(Option<u64>),
    ChunkLength,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    Done,
}

/// The state of an answer that is being read.
#[derive(Clone, Debug)]
pub struct Answer {
    state: State,
    held: Vec<u8>,
    status: Option<u16>,
}

impl Default for Answer {
    fn default() -> Self {
        Answer { state: State::Head, held: Vec::new(), status: None }
    }
}

impl Answer {
    /// Takes bytes and adds those of the body to `body`.
    pub fn push(&mut self, mut bytes: &[u8], body: &mut Vec<u8>) -> Result<(), HttpError> {
        while !bytes.is_empty() {
            bytes = match self.state {
                State::Head => self.head(bytes)?,
                State::Body(None) => {
                    body.extend_from_slice(bytes);
                    &[]
                }
                State::Body(Some(left)) => {
                    let (now, rest) = split(bytes, left);
                    body.extend_from_slice(now);
                    self.state = end_at(left - now.len() as u64, State::Done, |n| State::Body(Some(n)));
                    rest
                }
                State::ChunkLength => self.line(bytes, |line| {
                    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
                    let text = std::str::from_utf8(digits).map_err(|_| HttpError::Chunk)?.trim();
                    let length = u64::from_str_radix(text, 16).map_err(|_| HttpError::Chunk)?;
                    Ok(end_at(length, State::Trailer, State::Chunk))
                })?,
                State::Chunk(left) => {
                    let (now, rest) = split(bytes, left);
                    body.extend_from_slice(now);
                    self.state = end_at(left - now.len() as u64, State::ChunkEnd, State::Chunk);
                    rest
                }
                State::ChunkEnd => self.line(bytes, |line| match line {
                    b"" => Ok(State::ChunkLength),
                    _ => Err(HttpError::Chunk),
                })?,
                State::Trailer => {
                    self.line(bytes, |line| Ok(if line.is_empty() { State::Done } else { State::Trailer }))?
                }
                // The answer is whole: what follows it must not undo it, however the bytes are cut.
                State::Done => &[],
            };
        }
        Ok(())
    }

    /// The connection ended: whether the answer is whole.
    pub fn whole_at_end(&self) -> bool {
        matches!(self.state, State::Done | State::Body(None))
    }

    pub fn done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// The status, once the head was read.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    fn head<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], HttpError> {
        let before = self.held.len();
        let (now, _) = split(bytes, (HEAD_MOST + 1 - before.min(HEAD_MOST)) as u64);
        self.held.extend_from_slice(now);
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(&self.held).map_err(|_| HttpError::Head)?;
        let httparse::Status::Complete(length) = parsed else {
            return if self.held.len() > HEAD_MOST { Err(HttpError::HeadTooLong) } else { Ok(&[]) };
        };
        let status = response.code.ok_or(HttpError::Head)?;
        let header = |name: &str| response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        let chunked = header("transfer-encoding").is_some_and(|h| h.value.eq_ignore_ascii_case(b"chunked"));
        let next = if chunked {
            State::ChunkLength
        } else if let Some(header) = header("content-length") {
            let text = std::str::from_utf8(header.value).map_err(|_| HttpError::Length)?;
            let length = text.trim().parse().map_err(|_| HttpError::Length)?;
            end_at(length, State::Done, |n| State::Body(Some(n)))
        } else {
            State::Body(None)
        };
        (self.state, self.status) = (next, Some(status));
        self.held = Vec::new();
        Ok(bytes.get(length.saturating_sub(before)..).unwrap_or_default())
    }

    /// Takes one line, which may have come in pieces.
    fn line<'a>(
        &mut self,
        bytes: &'a [u8],
        read: impl FnOnce(&[u8]) -> Result<State, HttpError>,
    ) -> Result<&'a [u8], HttpError> {
        let end = bytes.iter().position(|b| *b == b'\n');
        let (line, rest) = bytes.split_at(end.unwrap_or(bytes.len()));
        if self.held.len() + line.len() > LENGTH_MOST {
            return Err(HttpError::Chunk);
        }
        self.held.extend_from_slice(line);
        if end.is_some() {
            let line = std::mem::take(&mut self.held);
            self.state = read(line.strip_suffix(b"\r").unwrap_or(&line))?;
        }
        Ok(rest.get(1..).unwrap_or_default())
    }
}

fn split(bytes: &[u8], most: u64) -> (&[u8], &[u8]) {
    bytes.split_at(usize::try_from(most).map_or(bytes.len(), |most| most.min(bytes.len())))
}

fn end_at(left: u64, end: State, more: impl FnOnce(u64) -> State) -> State {
    if left == 0 {
        end
    } else {
        more(left)
    }
}

/// A request for a path; the connection serves this one answer.
pub fn get(path: &str, host: std::net::SocketAddr) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n").into_bytes()
}

#[cfg(test)]
mod tests;
