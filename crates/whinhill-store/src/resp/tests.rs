use std::io;
use std::net::TcpListener;

use super::*;

const WITHIN: Duration = Duration::from_secs(5);
/// As Linux numbers them.
const EADDRNOTAVAIL: i32 = 99;
const ECONNREFUSED: i32 = 111;

/// Opens a connection by connects of which the first ones fail; how many were made.
fn open_after(failures: usize, number: i32, within: Duration) -> (usize, Result<Connection, StoreFault>) {
    let store = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = store.local_addr().unwrap();
    let mut made = 0;
    let opened = Connection::open_by(addr, within, |_| {
        made += 1;
        if made > failures {
            TcpStream::connect(addr)
        } else {
            Err(io::Error::from_raw_os_error(number))
        }
    });
    (made, opened)
}

/// For a moment without a port the assigner let go of the slices whose grants were on their way.
#[test]
fn a_connect_that_reaches_nobody_is_made_again_within_the_exchange() {
    let (made, opened) = open_after(3, EADDRNOTAVAIL, WITHIN);
    assert!(opened.is_ok() && made == 4, "{made}");
    let (made, opened) = open_after(usize::MAX, EADDRNOTAVAIL, Duration::from_millis(50));
    assert!(matches!(opened, Err(StoreFault::Unreachable(_))) && made > 1, "{made}");
}

#[test]
fn a_connect_that_the_store_refused_is_told_at_once() {
    let (made, opened) = open_after(1, ECONNREFUSED, WITHIN);
    assert!(matches!(opened, Err(StoreFault::Unreachable(_))) && made == 1, "{made}");
}
