//! The real functions, from the next library in the process (the C library). Each is looked up once.

use std::ffi::CStr;
use std::sync::atomic::{AtomicPtr, Ordering};

use libc::{
    c_char, c_int, c_void, clockid_t, epoll_event, iovec, off64_t, size_t, sockaddr, socklen_t, ssize_t,
    timespec,
};

/// Returns a function's address from `cached`, or looks it up and stores it there.
fn look_up(cached: &AtomicPtr<c_void>, name: &CStr) -> *mut c_void {
    let known = cached.load(Ordering::Relaxed);
    if !known.is_null() {
        return known;
    }
    // SAFETY: the name ends in a zero byte.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    if found.is_null() {
        // Without the real function, this library can't work.
        std::process::abort();
    }
    cached.store(found, Ordering::Relaxed);
    found
}

/// Defines a function that returns the real function of the same name.
macro_rules! real_function {
    ($name:ident, $text:literal, ($($argument:ty),*) -> $result:ty) => {
        pub fn $name() -> unsafe extern "C" fn($($argument),*) -> $result {
            static CACHED: AtomicPtr<c_void> = AtomicPtr::new(std::ptr::null_mut());
            // SAFETY: the C library's function of that name has this type.
            unsafe { std::mem::transmute(look_up(&CACHED, $text)) }
        }
    };
}

real_function!(accept4, c"accept4", (c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
real_function!(socket, c"socket", (c_int, c_int, c_int) -> c_int);
real_function!(connect, c"connect", (c_int, *const sockaddr, socklen_t) -> c_int);
real_function!(epoll_wait, c"epoll_wait", (c_int, *mut epoll_event, c_int, c_int) -> c_int);
real_function!(epoll_ctl, c"epoll_ctl", (c_int, c_int, c_int, *mut epoll_event) -> c_int);
real_function!(read, c"read", (c_int, *mut c_void, size_t) -> ssize_t);
real_function!(recv, c"recv", (c_int, *mut c_void, size_t, c_int) -> ssize_t);
real_function!(readv, c"readv", (c_int, *const iovec, c_int) -> ssize_t);
real_function!(write, c"write", (c_int, *const c_void, size_t) -> ssize_t);
real_function!(pwrite64, c"pwrite64", (c_int, *const c_void, size_t, off64_t) -> ssize_t);
real_function!(send, c"send", (c_int, *const c_void, size_t, c_int) -> ssize_t);
real_function!(writev, c"writev", (c_int, *const iovec, c_int) -> ssize_t);
real_function!(fsync, c"fsync", (c_int) -> c_int);
real_function!(fdatasync, c"fdatasync", (c_int) -> c_int);
real_function!(rename, c"rename", (*const c_char, *const c_char) -> c_int);
real_function!(clock_gettime, c"clock_gettime", (clockid_t, *mut timespec) -> c_int);
