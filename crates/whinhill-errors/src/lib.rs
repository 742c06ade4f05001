//! Classifies the errors of system calls: a failure of the peer or the file, or a temporary shortage of resources on
//! this machine.
//!
//! All packages share this classification. A temporary error that is taken for a permanent one closes a connection
//! and loses the answers pending on it; a permanent error that is taken for a temporary one is retried forever.

mod retry;

use std::io::{self, ErrorKind};

use rustix::io::Errno;

pub use retry::retry_while_temporary;

/// Whether the error carries one of these errno values.
fn has_errno(error: &io::Error, errnos: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| errnos.contains(&errno))
}

/// Whether a read or write on a socket failed for lack of memory or buffers (recv(2), send(2)). The connection is
/// intact, no bytes were transferred, and the same call may succeed a moment later.
pub fn is_buffer_shortage(error: &io::Error) -> bool {
    has_errno(error, &[Errno::NOBUFS, Errno::NOMEM])
}

/// Whether a call that creates a descriptor or a watch failed because descriptors, memory, buffers or watches are
/// exhausted (accept(2), socket(2), epoll_create(2), epoll_ctl(2)).
pub fn is_resource_shortage(error: &io::Error) -> bool {
    is_buffer_shortage(error) || has_errno(error, &[Errno::MFILE, Errno::NFILE, Errno::NOSPC])
}

/// Whether an accept failed because of an error of the one connection that it would have accepted (accept(2)): the
/// listener works, and the next connection can be accepted at once.
pub fn is_connection_accept_error(error: &io::Error) -> bool {
    // Errors pending on the new socket, which accept passes on.
    const PENDING_ON_SOCKET: [Errno; 8] = [
        Errno::NETDOWN,
        Errno::PROTO,
        Errno::NOPROTOOPT,
        Errno::HOSTDOWN,
        Errno::NONET,
        Errno::HOSTUNREACH,
        Errno::OPNOTSUPP,
        Errno::NETUNREACH,
    ];
    // The connection was aborted, a firewall forbids it, or a signal interrupted the accept.
    const ABANDONED: [Errno; 3] = [Errno::CONNABORTED, Errno::PERM, Errno::INTR];
    has_errno(error, &PENDING_ON_SOCKET) || has_errno(error, &ABANDONED)
}

/// Whether a connect failed on this machine before it reached a peer (socket(2), connect(2)): no free port, no route,
/// no link, exhausted resources, or a local rule that forbids it.
pub fn is_local_connect_error(error: &io::Error) -> bool {
    const NO_LOCAL_ADDRESS_OR_ROUTE: [Errno; 5] =
        [Errno::ADDRNOTAVAIL, Errno::ADDRINUSE, Errno::NETUNREACH, Errno::NETDOWN, Errno::AFNOSUPPORT];
    const NOT_ATTEMPTED: [Errno; 4] = [Errno::AGAIN, Errno::INTR, Errno::PERM, Errno::ACCESS];
    is_resource_shortage(error)
        || has_errno(error, &NO_LOCAL_ADDRESS_OR_ROUTE)
        || has_errno(error, &NOT_ATTEMPTED)
}

/// Whether a failed call on a file may succeed later without a change of path or permissions: the disk is full or
/// failing, and neither the path nor the permissions are wrong.
pub fn is_temporary_file_error(error: &io::Error) -> bool {
    use ErrorKind::{InvalidFilename, InvalidInput, IsADirectory, NotADirectory, NotFound, PermissionDenied};
    let is_permanent = matches!(
        error.kind(),
        InvalidFilename | InvalidInput | IsADirectory | NotADirectory | NotFound | PermissionDenied
    );
    !is_permanent && !has_errno(error, &[Errno::LOOP])
}

#[cfg(test)]
mod tests;
