//! Splits a stream of bytes into lines that end in LF or CRLF, in whatever pieces the bytes arrive.

/// A line exceeds the maximum length, which is the value.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("a line of over {0} bytes")]
pub struct TooLong(pub usize);

/// A buffer of received bytes that yields whole lines.
#[derive(Debug)]
pub struct LineBuffer {
    bytes: Vec<u8>,
    /// Where the next line starts.
    start: usize,
    /// Up to where its end was searched for.
    searched: usize,
    max_bytes: usize,
}

/// Capacity in bytes that a buffer keeps once the long line is read for which it has grown.
const MAX_RETAINED_CAPACITY: usize = 16 * 1024;

impl LineBuffer {
    /// A buffer for lines of at most `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        LineBuffer { bytes: Vec::new(), start: 0, searched: 0, max_bytes }
    }

    /// Changes the maximum length of lines from now on.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.drop_read_lines();
        // Only as much as is needed for a long line: many buffers may hold one.
        if self.bytes.len() + bytes.len() > MAX_RETAINED_CAPACITY {
            self.bytes.reserve_exact(bytes.len().max(MAX_RETAINED_CAPACITY));
        }
        self.bytes.extend_from_slice(bytes);
    }

    fn drop_read_lines(&mut self) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            (self.searched, self.start) = (self.searched - self.start, 0);
        }
        if self.bytes.len() <= MAX_RETAINED_CAPACITY && self.bytes.capacity() > MAX_RETAINED_CAPACITY {
            self.bytes.shrink_to(MAX_RETAINED_CAPACITY);
        }
    }

    /// Whether a whole line is buffered.
    pub fn has_line(&self) -> bool {
        self.bytes[self.searched..].contains(&b'\n')
    }

    /// The next whole line without its end; `None` until more bytes arrive.
    pub fn next_line(&mut self) -> Result<Option<&[u8]>, TooLong> {
        let found = self.bytes[self.searched..].iter().position(|b| *b == b'\n');
        let Some(end) = found.map(|offset| self.searched + offset) else {
            self.searched = self.bytes.len();
            self.drop_read_lines();
            return if self.searched - self.start > self.max_bytes {
                Err(TooLong(self.max_bytes))
            } else {
                Ok(None)
            };
        };
        let line = &self.bytes[self.start..end];
        (self.start, self.searched) = (end + 1, end + 1);
        if line.len() > self.max_bytes {
            return Err(TooLong(self.max_bytes));
        }
        Ok(Some(line.strip_suffix(b"\r").unwrap_or(line)))
    }

    /// The received bytes of the line that is not complete yet.
    pub fn partial_line(&self) -> &[u8] {
        &self.bytes[self.start..]
    }
}

#[cfg(test)]
mod tests;
