use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Instant;

use super::*;

/// Takes a line whenever the test lets it, and fails where the test says so.
struct Gated {
    let_in: Receiver<io::Result<()>>,
    written: Sender<Vec<u8>>,
}

impl Write for Gated {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.let_in.recv().unwrap_or(Ok(()))?;
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn gated() -> (LogQueue, Sender<io::Result<()>>, Receiver<Vec<u8>>) {
    let ((gate, let_in), (written, lines)) = (channel(), channel());
    (LogQueue::start(Gated { let_in, written }).unwrap(), gate, lines)
}

#[test]
fn lines_are_written_in_order_and_flushed() {
    let (queue, gate, lines) = gated();
    drop(gate);
    for line in ["one", "two", "three"] {
        queue.push(line.as_bytes());
    }
    queue.flush();
    let written: Vec<Vec<u8>> = lines.try_iter().collect();
    assert_eq!(written, [b"one".to_vec(), b"two".to_vec(), b"three".to_vec()]);
    assert_eq!(queue.dropped().load(Ordering::Relaxed), 0);
}

#[test]
fn a_writer_that_stands_still_costs_lines_and_neither_time_nor_memory() {
    let (queue, gate, lines) = gated();
    let line = vec![b'x'; 1024];
    for _ in 0..4096 {
        queue.push(&line);
    }
    let dropped = queue.dropped().load(Ordering::Relaxed);
    // One batch may be with the writer, and as much may wait.
    let most = 2 * BYTES_MOST as u64 / 1024;
    assert!((4096 - most..4096).contains(&dropped), "{dropped}");
    let before = Instant::now();
    queue.flush();
    assert!(before.elapsed() < FLUSH_WITHIN * 20, "{:?}", before.elapsed());
    drop(gate);
    assert_eq!(lines.iter().take(10).count(), 10);
}

#[test]
fn a_line_that_cannot_be_written_is_counted_and_the_next_is_written() {
    let (queue, gate, lines) = gated();
    gate.send(Err(io::ErrorKind::BrokenPipe.into())).unwrap();
    queue.push(b"lost");
    while queue.dropped().load(Ordering::Relaxed) == 0 {
        thread::yield_now();
    }
    drop(gate);
    queue.push(b"written");
    assert_eq!(lines.recv().unwrap(), b"written");
    assert_eq!(queue.dropped().load(Ordering::Relaxed), 1);
}
