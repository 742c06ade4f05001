use std::io;
use std::net::TcpListener;

use super::*;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Error numbers of Linux.
const EADDRNOTAVAIL: i32 = 99;
const ECONNREFUSED: i32 = 111;

/// Opens a connection whose first `failures` connects fail with error `errno`. Returns the number of connects, too.
fn open_after_failures(
    failures: usize,
    errno: i32,
    timeout: Duration,
) -> (usize, Result<Connection, StoreError>) {
    let store = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = store.local_addr().unwrap();
    let mut attempts = 0;
    let opened = Connection::open_with(addr, timeout, |_| {
        attempts += 1;
        if attempts > failures {
            TcpStream::connect(addr)
        } else {
            Err(io::Error::from_raw_os_error(errno))
        }
    });
    (attempts, opened)
}

/// A short lack of local ports once failed the exchange, and the assigner dropped the slices whose grants were being
/// stored.
#[test]
fn connect_is_repeated_after_a_local_error_until_the_timeout() {
    let (attempts, opened) = open_after_failures(3, EADDRNOTAVAIL, TIMEOUT);
    assert!(opened.is_ok() && attempts == 4, "{attempts}");
    let (attempts, opened) = open_after_failures(usize::MAX, EADDRNOTAVAIL, Duration::from_millis(50));
    assert!(matches!(opened, Err(StoreError::Unreachable(_))) && attempts > 1, "{attempts}");
}

#[test]
fn connect_refused_by_the_store_is_reported_without_retry() {
    let (attempts, opened) = open_after_failures(1, ECONNREFUSED, TIMEOUT);
    assert!(matches!(opened, Err(StoreError::Unreachable(_))) && attempts == 1, "{attempts}");
}
