//! What the error of a system call says: that the other side or the file is at fault, or only that this machine is
//! short of something at the moment.
//!
//! One list for all packages. An error that is taken for more than it says ends a connection, and with it whatever
//! was owed on it; one that is taken for less is tried again for good.

mod again;

use std::io::{self, ErrorKind};

use rustix::io::Errno;

pub use again::until_had;

fn is_one_of(error: &io::Error, numbers: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| numbers.contains(&errno))
}

/// Whether a read or write on a socket failed for want of memory or buffers (recv(2), send(2)). The connection
/// stands, nothing was moved, and the same call may succeed the next moment.
pub fn is_short_of_memory(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::NOBUFS, Errno::NOMEM])
}

/// Whether a call that makes something failed for want of descriptors, memory, buffers or watches (accept(2),
/// socket(2), epoll_create(2), epoll_ctl(2)).
pub fn is_scarce(error: &io::Error) -> bool {
    is_short_of_memory(error) || is_one_of(error, &[Errno::MFILE, Errno::NFILE, Errno::NOSPC])
}

/// Whether an accept failed by an error of the one connection that it would have taken (accept(2)): the listener is
/// well, and the next one may be taken at once.
pub fn is_of_one_connection(error: &io::Error) -> bool {
    const PENDING_ON_IT: [Errno; 8] = [
        Errno::NETDOWN,
        Errno::PROTO,
        Errno::NOPROTOOPT,
        Errno::HOSTDOWN,
        Errno::NONET,
        Errno::HOSTUNREACH,
        Errno::OPNOTSUPP,
        Errno::NETUNREACH,
    ];
    const ABANDONED: [Errno; 3] = [Errno::CONNABORTED, Errno::PERM, Errno::INTR];
    is_one_of(error, &PENDING_ON_IT) || is_one_of(error, &ABANDONED)
}

/// Whether a connect has reached nobody for a reason of this machine's own (socket(2), connect(2)): there is no port,
/// no route or no link, something is scarce, or a rule here forbids it.
pub fn is_local(error: &io::Error) -> bool {
    const NO_WAY_OUT: [Errno; 5] =
        [Errno::ADDRNOTAVAIL, Errno::ADDRINUSE, Errno::NETUNREACH, Errno::NETDOWN, Errno::AFNOSUPPORT];
    const NOT_MADE: [Errno; 4] = [Errno::AGAIN, Errno::INTR, Errno::PERM, Errno::ACCESS];
    is_scarce(error) || is_one_of(error, &NO_WAY_OUT) || is_one_of(error, &NOT_MADE)
}

/// Whether a call on a file may succeed later and untouched: the disk is full or failing, not the path or the
/// rights wrong.
pub fn may_pass_on_disk(error: &io::Error) -> bool {
    use ErrorKind::{InvalidFilename, InvalidInput, IsADirectory, NotADirectory, NotFound, PermissionDenied};
    let wrong = matches!(
        error.kind(),
        InvalidFilename | InvalidInput | IsADirectory | NotADirectory | NotFound | PermissionDenied
    );
    !wrong && !is_one_of(error, &[Errno::LOOP])
}

#[cfg(test)]
mod tests;
