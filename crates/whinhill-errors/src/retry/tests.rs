use rustix::io::Errno;

use super::*;
use crate::{is_local, is_scarce};

const WITHIN: Duration = Duration::from_secs(20);

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
fn what_passes_is_made_again_and_what_does_not_is_told_at_once() {
    assert_eq!(until_had(WITHIN, is_local, failing(Errno::ADDRNOTAVAIL, 3)).unwrap(), 4);
    assert_eq!(until_had(WITHIN, is_scarce, failing(Errno::NFILE, 3)).unwrap(), 4);
    let refused = until_had(WITHIN, is_local, failing(Errno::CONNREFUSED, 1)).unwrap_err();
    assert_eq!(Errno::from_io_error(&refused), Some(Errno::CONNREFUSED));
    // To listen on an address that is not ours is a fault of the configuration.
    assert!(until_had(WITHIN, is_scarce, failing(Errno::ADDRNOTAVAIL, 1)).is_err());
}

#[test]
fn it_ends_when_the_time_is_up() {
    let result = until_had(Duration::from_millis(30), is_scarce, failing(Errno::NFILE, usize::MAX));
    assert!(result.is_err_and(|error| is_scarce(&error)));
}
