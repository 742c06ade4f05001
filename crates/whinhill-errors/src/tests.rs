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
    // To listen on an address that is not ours is a fault of the configuration.
    assert!(!is_scarce(&Errno::ADDRNOTAVAIL.into()));
}

#[test]
fn a_full_disk_passes_and_a_wrong_path_does_not() {
    for errno in [Errno::NOSPC, Errno::IO, Errno::INTR, Errno::NFILE] {
        assert!(may_pass_on_disk(&errno.into()), "{errno:?}");
    }
    for errno in [Errno::NOENT, Errno::ACCESS, Errno::ISDIR, Errno::NOTDIR] {
        assert!(!may_pass_on_disk(&errno.into()), "{errno:?}");
    }
}
