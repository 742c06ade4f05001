//! Cuts a stream of bytes into lines that end in LF or CRLF, however the bytes arrive.

/// More bytes without an end than a line may have.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("a line of over {0} bytes")]
pub struct TooLong(pub usize);

#[derive(Debug)]
pub struct Lines {
    bytes: Vec<u8>,
    /// Where the line to come starts, and how far its end was looked for.
    start: usize,
    looked: usize,
    most: usize,
}

/// A buffer that grew for a long line is let go once it is empty.
const KEPT: usize = 16 * 1024;

impl Lines {
    pub fn new(most: usize) -> Self {
        Lines { bytes: Vec::new(), start: 0, looked: 0, most }
    }

    /// From now on a line may have so many bytes.
    pub fn set_most(&mut self, most: usize) {
        self.most = most;
    }

    pub fn push(&mut self, bytes: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            (self.looked, self.start) = (self.looked - self.start, 0);
        }
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT {
            self.bytes = Vec::new();
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole line without its end; `None` until more bytes come.
    pub fn next_line(&mut self) -> Result<Option<&[u8]>, TooLong> {
        let found = self.bytes[self.looked..].iter().position(|b| *b == b'\n');
        let Some(place) = found.map(|offset| self.looked + offset) else {
            self.looked = self.bytes.len();
            return if self.looked - self.start > self.most { Err(TooLong(self.most)) } else { Ok(None) };
        };
        let line = &self.bytes[self.start..place];
        (self.start, self.looked) = (place + 1, place + 1);
        if line.len() > self.most {
            return Err(TooLong(self.most));
        }
        Ok(Some(line.strip_suffix(b"\r").unwrap_or(line)))
    }

    /// The bytes of a line that has no end yet.
    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.start..]
    }
}

#[cfg(test)]
mod tests;
