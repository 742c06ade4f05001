use super::*;

#[test]
fn lack_of_buffers_is_distinguished_from_broken_connection() {
    for errno in [Errno::NOBUFS, Errno::NOMEM] {
        assert!(is_short_of_memory(&errno.into()), "{errno:?}");
    }
    let broken =
        [Errno::CONNRESET, Errno::PIPE, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::NETUNREACH, Errno::MFILE];
    for errno in broken {
        assert!(!is_short_of_memory(&errno.into()), "{errno:?}");
    }
    assert!(!is_short_of_memory(&io::Error::other("not from a system call")));
}

#[test]
fn local_connect_failure_is_distinguished_from_failure_of_the_peer() {
    for errno in [Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::NFILE, Errno::NOBUFS] {
        assert!(is_local(&errno.into()), "{errno:?}");
    }
    for errno in [Errno::CONNREFUSED, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
        assert!(!is_local(&errno.into()), "{errno:?}");
    }
    // From connect(2): interrupted, no free port, forbidden by a local firewall, local link down, address family not
    // supported.
    let local =
        [Errno::INTR, Errno::ADDRINUSE, Errno::PERM, Errno::ACCESS, Errno::NETDOWN, Errno::AFNOSUPPORT];
    for errno in local {
        assert!(is_local(&errno.into()), "{errno:?}");
    }
    // Listening on an address that this machine does not have is a configuration error.
    assert!(!is_scarce(&Errno::ADDRNOTAVAIL.into()));
}

#[test]
fn exhausted_descriptors_memory_or_watches_are_resource_shortage() {
    // From accept(2), epoll_create(2) and epoll_ctl(2).
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::NOSPC] {
        assert!(is_scarce(&errno.into()), "{errno:?}");
    }
    for errno in [Errno::ADDRINUSE, Errno::ACCESS, Errno::INVAL] {
        assert!(!is_scarce(&errno.into()), "{errno:?}");
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
        assert!(is_of_one_connection(&errno.into()), "{errno:?}");
    }
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::BADF, Errno::INVAL] {
        assert!(!is_of_one_connection(&errno.into()), "{errno:?}");
    }
    assert!(!is_of_one_connection(&io::Error::other("not from a system call")));
}

#[test]
fn full_disk_is_temporary_and_wrong_path_is_permanent() {
    for errno in [Errno::NOSPC, Errno::DQUOT, Errno::IO, Errno::INTR, Errno::NFILE, Errno::STALE] {
        assert!(may_pass_on_disk(&errno.into()), "{errno:?}");
    }
    let permanent =
        [Errno::NOENT, Errno::ACCESS, Errno::ISDIR, Errno::NOTDIR, Errno::NAMETOOLONG, Errno::LOOP];
    for errno in permanent {
        assert!(!may_pass_on_disk(&errno.into()), "{errno:?}");
    }
}
