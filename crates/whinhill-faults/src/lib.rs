//! A library to preload into a process under test: it makes selected system calls fail as Linux documents, shortens
//! reads and writes, and steps the wall clock, by a [`schedule::Schedule`] in the variable `WHINHILL_FAULTS`.
//!
//! Each exported function replaces the C library's function of the same name. It consults the schedule and either
//! fails or calls the real function. `docs/faults.md` describes the schedule's format, with examples.

pub mod schedule;

mod real;

use std::ffi::{CStr, OsStr};
use std::os::unix::ffi::OsStrExt;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

use libc::{c_char, c_int, c_void, iovec, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

use schedule::{Call, Fault, Schedule};

/// Environment variable with the schedule; without it no call fails.
const SCHEDULE_VARIABLE: &str = "WHINHILL_FAULTS";
/// Environment variable with the file name of the only program whose calls fail; without it, calls of every program
/// fail.
const PROGRAM_VARIABLE: &str = "WHINHILL_FAULTS_PROGRAM";
/// Environment variable with a part of the paths of the files whose writes, syncs and renames fail; without it, those
/// of every file fail.
const FILES_VARIABLE: &str = "WHINHILL_FAULTS_FILES";
const NANOS_PER_SECOND: f64 = 1e9;

/// The schedule of this process.
struct ActiveSchedule {
    schedule: Schedule,
    /// When the schedule was read, which counts as the start of the process, by the monotonic clock, in seconds.
    started: f64,
    /// The part of paths in [`FILES_VARIABLE`].
    files: Option<String>,
}

static ACTIVE_SCHEDULE: OnceLock<Option<ActiveSchedule>> = OnceLock::new();
/// Number of calls so far: each call draws its own random numbers.
static CALL_COUNT: AtomicU64 = AtomicU64::new(0);

/// The schedule, read from the environment at the first call; `None` if no call of this process may fail.
fn active_schedule() -> Option<&'static ActiveSchedule> {
    let read_environment = || {
        let text = std::env::var(SCHEDULE_VARIABLE).ok()?;
        let selected_program = std::env::var_os(PROGRAM_VARIABLE);
        let program = std::env::current_exe().ok()?;
        if selected_program.is_some_and(|name| program.file_name() != Some(&name)) {
            return None;
        }
        match text.parse() {
            Ok(schedule) => Some(ActiveSchedule {
                schedule,
                started: monotonic(),
                files: std::env::var(FILES_VARIABLE).ok(),
            }),
            Err(error) => {
                eprintln!("{SCHEDULE_VARIABLE}: {error}");
                std::process::abort()
            }
        }
    };
    ACTIVE_SCHEDULE.get_or_init(read_environment).as_ref()
}

/// The monotonic clock, in seconds.
fn monotonic() -> f64 {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer refers to a local value that outlives the call.
    unsafe { real::clock_gettime()(libc::CLOCK_MONOTONIC, &mut time) };
    time.tv_sec as f64 + time.tv_nsec as f64 / NANOS_PER_SECOND
}

/// The fault for a call that is being made.
fn fault_for(call: Call) -> Option<Fault> {
    let active = active_schedule()?;
    let count = CALL_COUNT.fetch_add(1, Ordering::Relaxed);
    active.schedule.fault(call, monotonic() - active.started, count)
}

/// The error number with which a call fails, if it does.
fn error_for(call: Call) -> Option<c_int> {
    match fault_for(call) {
        Some(Fault::Error(number)) => Some(number),
        _ => None,
    }
}

/// Sets `errno` and returns the C library's failure value.
fn fail_with(number: c_int) -> c_int {
    // SAFETY: the C library provides each thread with a location for its error number.
    unsafe { *libc::__errno_location() = number };
    -1
}

/// What a descriptor refers to, as far as schedules distinguish descriptors.
enum DescriptorKind {
    Tcp,
    File,
    Log,
    Other,
}

/// What a descriptor refers to.
fn descriptor_kind(fd: c_int) -> DescriptorKind {
    if fd == libc::STDERR_FILENO {
        return DescriptorKind::Log;
    }
    // SAFETY: both structures may be all zeros, and the calls write no further than the given sizes.
    let (kind, family) = unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        if libc::fstat(fd, &mut stat) != 0 {
            return DescriptorKind::Other;
        }
        let mut addr: libc::sockaddr_storage = std::mem::zeroed();
        let mut size = std::mem::size_of_val(&addr) as socklen_t;
        let has_name = libc::getsockname(fd, std::ptr::from_mut(&mut addr).cast(), &mut size) == 0;
        (stat.st_mode & libc::S_IFMT, has_name.then_some(c_int::from(addr.ss_family)))
    };
    match (kind, family) {
        (libc::S_IFSOCK, Some(libc::AF_INET | libc::AF_INET6)) => DescriptorKind::Tcp,
        (libc::S_IFREG, _) => DescriptorKind::File,
        _ => DescriptorKind::Other,
    }
}

/// Whether calls on a file of this path may fail.
fn is_selected(path: &Path) -> bool {
    let part = active_schedule().and_then(|active| active.files.as_deref());
    part.is_none_or(|part| path.to_string_lossy().contains(part))
}

/// The fault for a call on a file.
fn file_fault(fd: c_int, call: Call) -> Option<Fault> {
    let path = std::fs::read_link(format!("/proc/self/fd/{fd}")).ok()?;
    is_selected(&path).then(|| fault_for(call)).flatten()
}

/// Syncs a file, unless the schedule has an error for it.
fn sync(fd: c_int, real_call: impl FnOnce() -> c_int) -> c_int {
    match file_fault(fd, Call::Sync) {
        Some(Fault::Error(number)) => fail_with(number),
        _ => real_call(),
    }
}

/// The fault for a call on a socket. Only a call on a non-blocking socket may fail with `EAGAIN`.
fn socket_fault(fd: c_int, call: Call) -> Option<Fault> {
    let fault = fault_for(call)?;
    // SAFETY: reading a descriptor's flags involves no pointers.
    let is_blocking = || unsafe { libc::fcntl(fd, libc::F_GETFL) } & libc::O_NONBLOCK == 0;
    let would_block = matches!(fault, Fault::Error(libc::EAGAIN));
    (!would_block || !is_blocking()).then_some(fault)
}

/// The fault for a read.
fn read_fault(fd: c_int) -> Option<Fault> {
    match descriptor_kind(fd) {
        DescriptorKind::Tcp => socket_fault(fd, Call::Read),
        _ => None,
    }
}

/// The fault for a write.
fn write_fault(fd: c_int) -> Option<Fault> {
    match descriptor_kind(fd) {
        DescriptorKind::Tcp => socket_fault(fd, Call::Write),
        DescriptorKind::File => file_fault(fd, Call::FileWrite),
        DescriptorKind::Log => fault_for(Call::Log),
        DescriptorKind::Other => None,
    }
}

/// Fails a transfer. If the error means that the connection has ended, the connection is shut down too, so that it
/// doesn't work again later.
fn fail_transfer(fd: c_int, number: c_int) -> ssize_t {
    let ends_connection = matches!(
        number,
        libc::ECONNRESET | libc::EHOSTUNREACH | libc::ENETUNREACH | libc::EPIPE | libc::ETIMEDOUT
    );
    if ends_connection && fd != libc::STDERR_FILENO {
        // SAFETY: shutting down involves no pointers; a descriptor that is not a socket is refused.
        unsafe { libc::shutdown(fd, libc::SHUT_RDWR) };
    }
    fail_with(number) as ssize_t
}

/// Transfers `count` bytes, or fewer if `fault` shortens the call, or fails with its error.
fn transfer(
    fd: c_int,
    count: size_t,
    fault: Option<Fault>,
    real_call: impl FnOnce(size_t) -> ssize_t,
) -> ssize_t {
    match fault {
        Some(Fault::Error(number)) => fail_transfer(fd, number),
        Some(Fault::Short(max_bytes)) => real_call(count.min(max_bytes)),
        None => real_call(count),
    }
}

/// Makes a call, unless the schedule has an error for it.
fn attempt(call: Call, real_call: impl FnOnce() -> c_int) -> c_int {
    match error_for(call) {
        Some(number) => fail_with(number),
        None => real_call(),
    }
}

// SAFETY of all functions below: each passes its arguments on to the real function, unchanged except for a smaller
// length, and its caller fulfils the conditions of that function.

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
        Some(Fault::Error(number)) => fail_with(number),
        _ => unsafe { real::accept4()(fd, addr, size, flags) },
    }
}

/// # Safety
/// As for the C library's `socket`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    attempt(Call::Socket, || unsafe { real::socket()(domain, kind, protocol) })
}

/// # Safety
/// As for the C library's `connect`.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, addr: *const sockaddr, size: socklen_t) -> c_int {
    attempt(Call::Connect, || unsafe { real::connect()(fd, addr, size) })
}

/// # Safety
/// As for the C library's `epoll_wait`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll_fd: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    attempt(Call::Wait, || unsafe { real::epoll_wait()(epoll_fd, events, max_events, timeout) })
}

/// # Safety
/// As for the C library's `epoll_ctl`.
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    epoll_fd: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    if operation == libc::EPOLL_CTL_DEL {
        return unsafe { real::epoll_ctl()(epoll_fd, operation, fd, event) };
    }
    attempt(Call::Register, || unsafe { real::epoll_ctl()(epoll_fd, operation, fd, event) })
}

/// # Safety
/// As for the C library's `read`.
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, count: size_t) -> ssize_t {
    transfer(fd, count, read_fault(fd), |count| unsafe { real::read()(fd, buffer, count) })
}

/// # Safety
/// As for the C library's `recv`.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, count: size_t, flags: c_int) -> ssize_t {
    transfer(fd, count, read_fault(fd), |count| unsafe { real::recv()(fd, buffer, count, flags) })
}

/// # Safety
/// As for the C library's `readv`.
#[no_mangle]
pub unsafe extern "C" fn readv(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    match read_fault(fd) {
        Some(Fault::Error(number)) => fail_transfer(fd, number),
        Some(Fault::Short(max_bytes)) if count > 0 => {
            let first = unsafe { *buffers };
            unsafe { real::read()(fd, first.iov_base, first.iov_len.min(max_bytes)) }
        }
        _ => unsafe { real::readv()(fd, buffers, count) },
    }
}

/// # Safety
/// As for the C library's `write`.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, count: size_t) -> ssize_t {
    transfer(fd, count, write_fault(fd), |count| unsafe { real::write()(fd, buffer, count) })
}

/// # Safety
/// As for the C library's `pwrite64`.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(
    fd: c_int,
    buffer: *const c_void,
    count: size_t,
    offset: off64_t,
) -> ssize_t {
    transfer(fd, count, write_fault(fd), |count| unsafe { real::pwrite64()(fd, buffer, count, offset) })
}

/// # Safety
/// As for the C library's `send`.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, count: size_t, flags: c_int) -> ssize_t {
    transfer(fd, count, write_fault(fd), |count| unsafe { real::send()(fd, buffer, count, flags) })
}

/// # Safety
/// As for the C library's `writev`.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    match write_fault(fd) {
        Some(Fault::Error(number)) => fail_transfer(fd, number),
        Some(Fault::Short(max_bytes)) if count > 0 => {
            let first = unsafe { *buffers };
            unsafe { real::write()(fd, first.iov_base, first.iov_len.min(max_bytes)) }
        }
        _ => unsafe { real::writev()(fd, buffers, count) },
    }
}

/// # Safety
/// As for the C library's `fsync`.
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    sync(fd, || unsafe { real::fsync()(fd) })
}

/// # Safety
/// As for the C library's `fdatasync`.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    sync(fd, || unsafe { real::fdatasync()(fd) })
}

/// # Safety
/// As for the C library's `rename`.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let target = unsafe { CStr::from_ptr(to) };
    if !is_selected(Path::new(OsStr::from_bytes(target.to_bytes()))) {
        return unsafe { real::rename()(from, to) };
    }
    attempt(Call::Rename, || unsafe { real::rename()(from, to) })
}

/// # Safety
/// As for the C library's `clock_gettime`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let result = unsafe { real::clock_gettime()(clock, time) };
    if clock == libc::CLOCK_REALTIME && result == 0 {
        if let Some(active) = active_schedule() {
            let offset = active.schedule.clock_offset(monotonic() - active.started);
            unsafe { (*time).tv_sec += offset };
        }
    }
    result
}

/// For programs that read the wall clock with `time` instead of `clock_gettime`.
///
/// # Safety
/// As for the C library's `time`.
#[no_mangle]
pub unsafe extern "C" fn time(destination: *mut libc::time_t) -> libc::time_t {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    unsafe { clock_gettime(libc::CLOCK_REALTIME, &mut now) };
    if !destination.is_null() {
        unsafe { *destination = now.tv_sec };
    }
    now.tv_sec
}
