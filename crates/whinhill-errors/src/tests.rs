use super::*;

#[test]
fn lack_of_buffers_is_distinguished_from_broken_connection() {
    for errno in [Errno::NOBUFS, Errno::NOMEM] {
        assert!(is_buffer_shortage(&errno.into()), "{errno:?}");
    }
    let broken =
        [Errno::CONNRESET, Errno::PIPE, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::NETUNREACH, Errno::MFILE];
    for errno in broken {
        assert!(!is_buffer_shortage(&errno.into()), "{errno:?}");
    }
    assert!(!is_buffer_shortage(&io::Error::other("not from a system call")));
}

#[test]
fn local_connect_failure_is_distinguished_from_failure_of_the_peer() {
    for errno in [Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::NFILE, Errno::NOBUFS] {
        assert!(is_local_connect_error(&errno.into()), "{errno:?}");
    }
    for errno in [Errno::CONNREFUSED, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
        assert!(!is_local_connect_error(&errno.into()), "{errno:?}");
    }
    // From connect(2): interrupted, no free port, forbidden by a local firewall, local link down, address family not
    // supported.
    let local =
        [Errno::INTR, Errno::ADDRINUSE, Errno::PERM, Errno::ACCESS, Errno::NETDOWN, Errno::AFNOSUPPORT];
    for errno in local {
        assert!(is_local_connect_error(&errno.into()), "{errno:?}");
    }
    // Listening on an address that this machine does not have is a configuration error.
    assert!(!is_resource_shortage(&Errno::ADDRNOTAVAIL.into()));
}

#[test]
fn exhausted_descriptors_memory_or_watches_are_resource_shortage() {
    // From accept(2), epoll_create(2) and epoll_ctl(2).
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::NOSPC] {
        assert!(is_resource_shortage(&errno.into()), "{errno:?}");
    }
    for errno in [Errno::ADDRINUSE, Errno::ACCESS, Errno::INVAL] {
        assert!(!is_resource_shortage(&errno.into()), "{errno:?}");
    }
}

#[test]
fn accept_error_of_new_connection_is_distinguished_from_error_of_listener() {
    // From accept(2): errors that are already pending on the new socket are passed on.
    let of_connection = [
        Errno::NETDOWN,
        Errno::PROTO,
        Errno::NOPROTOOPT,
        Errno::HOSTDOWN,
        Errno::NONET,
        Errno::HOSTUNREACH,
        Errno::OPNOTSUPP,
        Errno::NETUNREACH,
        Errno::CONNABORTED,
        Errno::PERM,
        Errno::INTR,
    ];
    for errno in of_connection {
        assert!(is_connection_accept_error(&errno.into()), "{errno:?}");
    }
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::BADF, Errno::INVAL] {
        assert!(!is_connection_accept_error(&errno.into()), "{errno:?}");
    }
    assert!(!is_connection_accept_error(&io::Error::other("not from a system call")));
}

#[test]
fn full_disk_is_temporary_and_wrong_path_is_permanent() {
    for errno in [Errno::NOSPC, Errno::DQUOT, Errno::IO, Errno::INTR, Errno::NFILE, Errno::STALE] {
        assert!(is_temporary_file_error(&errno.into()), "{errno:?}");
    }
    let permanent =
        [Errno::NOENT, Errno::ACCESS, Errno::ISDIR, Errno::NOTDIR, Errno::NAMETOOLONG, Errno::LOOP];
    for errno in permanent {
        assert!(!is_temporary_file_error(&errno.into()), "{errno:?}");
    }
}
