//! A library to preload into a process under test: it makes named system calls fail as Linux documents, shortens
//! reads and writes, and steps the wall clock, by a [`schedule::Schedule`] in the variable `WHINHILL_FAULTS`.
//!
//! Each exported function stands in for the one of the C library with its name. It asks the schedule, and either
//! fails or calls the next library's function. `docs/faults.md` has the schedule's form and examples.

pub mod schedule;

mod next;

use std::ffi::{CStr, OsStr};
use std::os::unix::ffi::OsStrExt;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

use libc::{c_char, c_int, c_void, iovec, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

use schedule::{Call, Fault, Schedule};

/// The variable that holds the schedule; without it nothing fails.
const VARIABLE: &str = "WHINHILL_FAULTS";
/// Names the one program, by the name of its file, whose calls fail; without it all do.
const PROGRAM: &str = "WHINHILL_FAULTS_PROGRAM";
/// A part of the paths of the files whose writes, syncs and renames fail; without it all do.
const FILES: &str = "WHINHILL_FAULTS_FILES";
const NANOS: f64 = 1e9;

/// The schedule in force, and when the process started by the monotonic clock, in seconds.
struct Running {
    schedule: Schedule,
    started: f64,
    files: Option<String>,
}

static RUNNING: OnceLock<Option<Running>> = OnceLock::new();
/// Calls made so far: each draws numbers of its own.
static COUNT: AtomicU64 = AtomicU64::new(0);

fn running() -> Option<&'static Running> {
    let start = || {
        let text = std::env::var(VARIABLE).ok()?;
        let wanted = std::env::var_os(PROGRAM);
        let program = std::env::current_exe().ok()?;
        if wanted.is_some_and(|wanted| program.file_name() != Some(&wanted)) {
            return None;
        }
        match text.parse() {
            Ok(schedule) => {
                Some(Running { schedule, started: monotonic(), files: std::env::var(FILES).ok() })
            }
            Err(error) => {
                eprintln!("{VARIABLE}: {error}");
                std::process::abort()
            }
        }
    };
    RUNNING.get_or_init(start).as_ref()
}

fn monotonic() -> f64 {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is to a value of ours that lives through the call.
    unsafe { next::clock_gettime()(libc::CLOCK_MONOTONIC, &mut time) };
    time.tv_sec as f64 + time.tv_nsec as f64 / NANOS
}

/// What the call that is being made meets.
fn fault(call: Call) -> Option<Fault> {
    let running = running()?;
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    running.schedule.fault(call, monotonic() - running.started, count)
}

/// The error that the call fails with, if it does.
fn error(call: Call) -> Option<c_int> {
    match fault(call) {
        Some(Fault::Error(number)) => Some(number),
        _ => None,
    }
}

fn fail(number: c_int) -> c_int {
    // SAFETY: the C library gives each thread a place for its error number.
    unsafe { *libc::__errno_location() = number };
    -1
}

/// What a descriptor leads to, as far as schedules tell descriptors apart.
enum Leads {
    Tcp,
    File,
    Log,
    Elsewhere,
}

fn leads(fd: c_int) -> Leads {
    if fd == libc::STDERR_FILENO {
        return Leads::Log;
    }
    // SAFETY: both structures may be all zeros, and the calls write no further than the sizes given.
    let (kind, family) = unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        if libc::fstat(fd, &mut stat) != 0 {
            return Leads::Elsewhere;
        }
        let mut addr: libc::sockaddr_storage = std::mem::zeroed();
        let mut size = std::mem::size_of_val(&addr) as socklen_t;
        let named = libc::getsockname(fd, std::ptr::from_mut(&mut addr).cast(), &mut size) == 0;
        (stat.st_mode & libc::S_IFMT, named.then_some(c_int::from(addr.ss_family)))
    };
    match (kind, family) {
        (libc::S_IFSOCK, Some(libc::AF_INET | libc::AF_INET6)) => Leads::Tcp,
        (libc::S_IFREG, _) => Leads::File,
        _ => Leads::Elsewhere,
    }
}

/// Whether calls on a file of this path may fail.
fn is_meant(path: &Path) -> bool {
    let part = running().and_then(|running| running.files.as_deref());
    part.is_none_or(|part| path.to_string_lossy().contains(part))
}

/// What a call on a file meets.
fn file_fault(fd: c_int, call: Call) -> Option<Fault> {
    let path = std::fs::read_link(format!("/proc/self/fd/{fd}")).ok()?;
    is_meant(&path).then(|| fault(call)).flatten()
}

/// Syncs a file unless that meets an error.
fn sync(fd: c_int, make: impl FnOnce() -> c_int) -> c_int {
    match file_fault(fd, Call::Sync) {
        Some(Fault::Error(number)) => fail(number),
        _ => make(),
    }
}

/// What a call on a socket meets. Only where the socket does not block may a call say that it would.
fn socket_fault(fd: c_int, call: Call) -> Option<Fault> {
    let fault = fault(call)?;
    // SAFETY: reading a descriptor's flags takes no pointers.
    let blocks = || unsafe { libc::fcntl(fd, libc::F_GETFL) } & libc::O_NONBLOCK == 0;
    let said_early = matches!(fault, Fault::Error(libc::EAGAIN));
    (!said_early || !blocks()).then_some(fault)
}

/// What a read meets.
fn read_fault(fd: c_int) -> Option<Fault> {
    match leads(fd) {
        Leads::Tcp => socket_fault(fd, Call::Read),
        _ => None,
    }
}

/// What a write meets.
fn write_fault(fd: c_int) -> Option<Fault> {
    match leads(fd) {
        Leads::Tcp => socket_fault(fd, Call::Write),
        Leads::File => file_fault(fd, Call::FileWrite),
        Leads::Log => fault(Call::Log),
        Leads::Elsewhere => None,
    }
}

/// Fails a transfer. An error that ends a connection ends it here too: none comes back from the dead.
fn fail_transfer(fd: c_int, number: c_int) -> ssize_t {
    let ends = matches!(
        number,
        libc::ECONNRESET | libc::EHOSTUNREACH | libc::ENETUNREACH | libc::EPIPE | libc::ETIMEDOUT
    );
    if ends && fd != libc::STDERR_FILENO {
        // SAFETY: shutting down takes no pointers; a descriptor that is no socket is refused.
        unsafe { libc::shutdown(fd, libc::SHUT_RDWR) };
    }
    fail(number) as ssize_t
}

/// Makes a transfer of `count` bytes unless it meets a fault.
fn transfer(fd: c_int, count: size_t, fault: Option<Fault>, make: impl FnOnce(size_t) -> ssize_t) -> ssize_t {
    match fault {
        Some(Fault::Error(number)) => fail_transfer(fd, number),
        Some(Fault::Short(most)) => make(count.min(most)),
        None => make(count),
    }
}

/// Makes a call unless it meets an error.
fn attempt(call: Call, make: impl FnOnce() -> c_int) -> c_int {
    match error(call) {
        Some(number) => fail(number),
        None => make(),
    }
}

// SAFETY of all that follows: each function passes its arguments on, unchanged but for a smaller length, to the
// function that it stands in for, whose conditions its caller keeps.

/// # Safety
/// As for the C library's `accept4`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    addr: *mut sockaddr,
    size: *mut socklen_t,
    flags: c_int,
) -> c_int {
    match socket_fault(fd, Call::Accept) {
        Some(Fault::Error(number)) => fail(number),
        _ => unsafe { next::accept4()(fd, addr, size, flags) },
    }
}

/// # Safety
/// As for the C library's `socket`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    attempt(Call::Socket, || unsafe { next::socket()(domain, kind, protocol) })
}

/// # Safety
/// As for the C library's `connect`.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, addr: *const sockaddr, size: socklen_t) -> c_int {
    attempt(Call::Connect, || unsafe { next::connect()(fd, addr, size) })
}

/// # Safety
/// As for the C library's `epoll_wait`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    poll: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    attempt(Call::Wait, || unsafe { next::epoll_wait()(poll, events, most, timeout) })
}

/// # Safety
/// As for the C library's `epoll_ctl`.
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    poll: c_int,
    what: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    if what == libc::EPOLL_CTL_DEL {
        return unsafe { next::epoll_ctl()(poll, what, fd, event) };
    }
    attempt(Call::Register, || unsafe { next::epoll_ctl()(poll, what, fd, event) })
}

/// # Safety
/// As for the C library's `read`.
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, bytes: *mut c_void, count: size_t) -> ssize_t {
    transfer(fd, count, read_fault(fd), |count| unsafe { next::read()(fd, bytes, count) })
}

/// # Safety
/// As for the C library's `recv`.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, bytes: *mut c_void, count: size_t, flags: c_int) -> ssize_t {
    transfer(fd, count, read_fault(fd), |count| unsafe { next::recv()(fd, bytes, count, flags) })
}

/// # Safety
/// As for the C library's `readv`.
#[no_mangle]
pub unsafe extern "C" fn readv(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    match read_fault(fd) {
        Some(Fault::Error(number)) => fail_transfer(fd, number),
        Some(Fault::Short(most)) if count > 0 => {
            let first = unsafe { *parts };
            unsafe { next::read()(fd, first.iov_base, first.iov_len.min(most)) }
        }
        _ => unsafe { next::readv()(fd, parts, count) },
    }
}

/// # Safety
/// As for the C library's `write`.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, count: size_t) -> ssize_t {
    transfer(fd, count, write_fault(fd), |count| unsafe { next::write()(fd, bytes, count) })
}

/// # Safety
/// As for the C library's `pwrite64`.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(fd: c_int, bytes: *const c_void, count: size_t, at: off64_t) -> ssize_t {
    transfer(fd, count, write_fault(fd), |count| unsafe { next::pwrite64()(fd, bytes, count, at) })
}

/// # Safety
/// As for the C library's `send`.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, count: size_t, flags: c_int) -> ssize_t {
    transfer(fd, count, write_fault(fd), |count| unsafe { next::send()(fd, bytes, count, flags) })
}

/// # Safety
/// As for the C library's `writev`.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    match write_fault(fd) {
        Some(Fault::Error(number)) => fail_transfer(fd, number),
        Some(Fault::Short(most)) if count > 0 => {
            let first = unsafe { *parts };
            unsafe { next::write()(fd, first.iov_base, first.iov_len.min(most)) }
        }
        _ => unsafe { next::writev()(fd, parts, count) },
    }
}

/// # Safety
/// As for the C library's `fsync`.
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    sync(fd, || unsafe { next::fsync()(fd) })
}

/// # Safety
/// As for the C library's `fdatasync`.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    sync(fd, || unsafe { next::fdatasync()(fd) })
}

/// # Safety
/// As for the C library's `rename`.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let target = unsafe { CStr::from_ptr(to) };
    if !is_meant(Path::new(OsStr::from_bytes(target.to_bytes()))) {
        return unsafe { next::rename()(from, to) };
    }
    attempt(Call::Rename, || unsafe { next::rename()(from, to) })
}

/// # Safety
/// As for the C library's `clock_gettime`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let result = unsafe { next::clock_gettime()(clock, time) };
    if clock == libc::CLOCK_REALTIME && result == 0 {
        if let Some(running) = running() {
            let off = running.schedule.clock_is_off(monotonic() - running.started);
            unsafe { (*time).tv_sec += off };
        }
    }
    result
}

/// Kept for programs that take their wall clock from here rather than from `clock_gettime`.
///
/// # Safety
/// As for the C library's `time`.
#[no_mangle]
pub unsafe extern "C" fn time(place: *mut libc::time_t) -> libc::time_t {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    unsafe { clock_gettime(libc::CLOCK_REALTIME, &mut now) };
    if !place.is_null() {
        unsafe { *place = now.tv_sec };
    }
    now.tv_sec
}
