use super::*;

#[test]
fn a_transfer_that_falls_short_is_told_from_a_broken_connection() {
    for errno in [Errno::NOBUFS, Errno::NOMEM] {
        assert!(is_short_of_memory(&errno.into()), "{errno:?}");
    }
    let broken =
        [Errno::CONNRESET, Errno::PIPE, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::NETUNREACH, Errno::MFILE];
    for errno in broken {
        assert!(!is_short_of_memory(&errno.into()), "{errno:?}");
    }
    assert!(!is_short_of_memory(&io::Error::other("no call of the system")));
}

#[test]
fn a_connect_that_reached_nobody_is_told_from_one_that_was_refused() {
    for errno in [Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::NFILE, Errno::NOBUFS] {
        assert!(is_local(&errno.into()), "{errno:?}");
    }
    for errno in [Errno::CONNREFUSED, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
        assert!(!is_local(&errno.into()), "{errno:?}");
    }
    // By connect(2): interrupted, no port left, forbidden by a firewall here, our link down, a family that we lack.
    let own = [Errno::INTR, Errno::ADDRINUSE, Errno::PERM, Errno::ACCESS, Errno::NETDOWN, Errno::AFNOSUPPORT];
    for errno in own {
        assert!(is_local(&errno.into()), "{errno:?}");
    }
    // To listen on an address that is not ours is a fault of the configuration.
    assert!(!is_scarce(&Errno::ADDRNOTAVAIL.into()));
}

#[test]
fn want_of_descriptors_memory_or_watches_is_scarcity() {
    // By accept(2), epoll_create(2) and epoll_ctl(2).
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::NOSPC] {
        assert!(is_scarce(&errno.into()), "{errno:?}");
    }
    for errno in [Errno::ADDRINUSE, Errno::ACCESS, Errno::INVAL] {
        assert!(!is_scarce(&errno.into()), "{errno:?}");
    }
}

#[test]
fn an_accept_tells_errors_of_the_new_connection_from_those_of_the_listener() {
    // By accept(2): what is already pending on the new socket is passed on.
    let of_one = [
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
    for errno in of_one {
        assert!(is_of_one_connection(&errno.into()), "{errno:?}");
    }
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::BADF, Errno::INVAL] {
        assert!(!is_of_one_connection(&errno.into()), "{errno:?}");
    }
    assert!(!is_of_one_connection(&io::Error::other("no call of the system")));
}

#[test]
fn a_full_disk_passes_and_a_wrong_path_does_not() {
    for errno in [Errno::NOSPC, Errno::DQUOT, Errno::IO, Errno::INTR, Errno::NFILE, Errno::STALE] {
        assert!(may_pass_on_disk(&errno.into()), "{errno:?}");
    }
    let wrong = [Errno::NOENT, Errno::ACCESS, Errno::ISDIR, Errno::NOTDIR, Errno::NAMETOOLONG, Errno::LOOP];
    for errno in wrong {
        assert!(!may_pass_on_disk(&errno.into()), "{errno:?}");
    }
}
