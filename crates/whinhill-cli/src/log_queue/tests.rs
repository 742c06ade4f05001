use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Instant;

use super::*;

/// A writer that waits for the test's permit before each write; a permit may be an error, with which the write fails.
struct GatedWriter {
    permits: Receiver<io::Result<()>>,
    written: Sender<Vec<u8>>,
}

impl Write for GatedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.permits.recv().unwrap_or(Ok(()))?;
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn gated_queue() -> (LogQueue, Sender<io::Result<()>>, Receiver<Vec<u8>>) {
    let ((gate, permits), (written, lines)) = (channel(), channel());
    (LogQueue::start(GatedWriter { permits, written }).unwrap(), gate, lines)
}

#[test]
fn lines_are_written_in_order_and_flushed() {
    let (queue, gate, lines) = gated_queue();
    drop(gate);
    for line in ["one", "two", "three"] {
        queue.push(line.as_bytes());
    }
    queue.flush();
    let written: Vec<Vec<u8>> = lines.try_iter().collect();
    assert_eq!(written, [b"one".to_vec(), b"two".to_vec(), b"three".to_vec()]);
    assert_eq!(queue.dropped_lines().load(Ordering::Relaxed), 0);
}

#[test]
fn blocked_writer_loses_lines_but_takes_bounded_time_and_memory() {
    let (queue, gate, lines) = gated_queue();
    let line = vec![b'x'; 1024];
    for _ in 0..4096 {
        queue.push(&line);
    }
    let dropped = queue.dropped_lines().load(Ordering::Relaxed);
    // The writer may hold one full batch while another is queued.
    let max_kept = 2 * MAX_QUEUED_BYTES as u64 / 1024;
    assert!((4096 - max_kept..4096).contains(&dropped), "{dropped}");
    let before = Instant::now();
    queue.flush();
    assert!(before.elapsed() < FLUSH_TIMEOUT * 20, "{:?}", before.elapsed());
    drop(gate);
    assert_eq!(lines.iter().take(10).count(), 10);
}

#[test]
fn failed_write_is_counted_and_next_line_is_written() {
    let (queue, gate, lines) = gated_queue();
    gate.send(Err(io::ErrorKind::BrokenPipe.into())).unwrap();
    queue.push(b"lost");
    while queue.dropped_lines().load(Ordering::Relaxed) == 0 {
        thread::yield_now();
    }
    drop(gate);
    queue.push(b"written");
    assert_eq!(lines.recv().unwrap(), b"written");
    assert_eq!(queue.dropped_lines().load(Ordering::Relaxed), 1);
}
