use rustix::io::Errno;

use super::*;
use crate::{is_local_connect_error, is_resource_shortage};

const MAX_DURATION: Duration = Duration::from_secs(20);

/// A call that fails a number of times and then returns how often it was called.
fn failing(errno: Errno, times: usize) -> impl FnMut() -> io::Result<usize> {
    let mut calls = 0;
    move || {
        calls += 1;
        if calls > times {
            Ok(calls)
        } else {
            Err(errno.into())
        }
    }
}

#[test]
fn temporary_error_is_retried_and_permanent_error_is_returned_at_once() {
    assert_eq!(
        retry_while_temporary(MAX_DURATION, is_local_connect_error, failing(Errno::ADDRNOTAVAIL, 3)).unwrap(),
        4
    );
    assert_eq!(
        retry_while_temporary(MAX_DURATION, is_resource_shortage, failing(Errno::NFILE, 3)).unwrap(),
        4
    );
    let refused = retry_while_temporary(MAX_DURATION, is_local_connect_error, failing(Errno::CONNREFUSED, 1))
        .unwrap_err();
    assert_eq!(Errno::from_io_error(&refused), Some(Errno::CONNREFUSED));
    // Listening on an address that this machine does not have is a configuration error.
    assert!(
        retry_while_temporary(MAX_DURATION, is_resource_shortage, failing(Errno::ADDRNOTAVAIL, 1)).is_err()
    );
}

#[test]
fn retries_end_after_the_maximum_duration() {
    let result = retry_while_temporary(
        Duration::from_millis(30),
        is_resource_shortage,
        failing(Errno::NFILE, usize::MAX),
    );
    assert!(result.is_err_and(|error| is_resource_shortage(&error)));
}
