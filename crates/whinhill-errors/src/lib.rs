//! What the error of a system call says: that the other side or the file is at fault, or only that this machine is
//! short of something at the moment.
//!
//! One list for all packages. An error that is taken for more than it says ends a connection, and with it whatever
//! was owed on it; one that is taken for less is tried again for good.

use std::io::{self, ErrorKind};

use rustix::io::Errno;

fn is_one_of(error: &io::Error, numbers: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| numbers.contains(&errno))
}

/// Whether a read or write on a socket failed for want of memory or buffers (recv(2), send(2)). The connection
/// stands, nothing was moved, and the same call may succeed the next moment.
pub fn is_short_of_memory(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::NOBUFS, Errno::NOMEM])
}

/// Whether a call that makes something failed for want of descriptors, memory or buffers (accept(2), socket(2)).
pub fn is_scarce(error: &io::Error) -> bool {
    is_short_of_memory(error) || is_one_of(error, &[Errno::MFILE, Errno::NFILE])
}

/// Whether a connect has reached nobody for a reason of this machine's own (connect(2)): there is no port, no route,
/// or something is scarce.
pub fn is_local(error: &io::Error) -> bool {
    is_scarce(error) || is_one_of(error, &[Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::AGAIN])
}

/// Whether a call on a file may succeed later and untouched: the disk is full or failing, not the path or the
/// rights wrong.
pub fn may_pass_on_disk(error: &io::Error) -> bool {
    use ErrorKind::{InvalidInput, IsADirectory, NotADirectory, NotFound, PermissionDenied};
    !matches!(error.kind(), InvalidInput | IsADirectory | NotADirectory | NotFound | PermissionDenied)
}

#[cfg(test)]
mod tests;
