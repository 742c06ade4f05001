//! The functions of the next library in the process, which is the C library: each looked up once.

use std::ffi::CStr;
use std::sync::atomic::{AtomicPtr, Ordering};

use libc::{
    c_char, c_int, c_void, clockid_t, epoll_event, iovec, off64_t, size_t, sockaddr, socklen_t, ssize_t,
    timespec,
};

/// Looks a function up, unless that was done before.
fn find(place: &AtomicPtr<c_void>, name: &CStr) -> *mut c_void {
    let known = place.load(Ordering::Relaxed);
    if !known.is_null() {
        return known;
    }
    // SAFETY: the name ends in a zero byte.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    if found.is_null() {
        // Without the function that it stands in for nothing in this library can go on.
        std::process::abort();
    }
    place.store(found, Ordering::Relaxed);
    found
}

macro_rules! next {
    ($name:ident, $text:literal, ($($argument:ty),*) -> $result:ty) => {
        pub fn $name() -> unsafe extern "C" fn($($argument),*) -> $result {
            static PLACE: AtomicPtr<c_void> = AtomicPtr::new(std::ptr::null_mut());
            // SAFETY: the C library's function of that name has this type.
            unsafe { std::mem::transmute(find(&PLACE, $text)) }
        }
    };
}

next!(accept4, c"accept4", (c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
next!(socket, c"socket", (c_int, c_int, c_int) -> c_int);
next!(connect, c"connect", (c_int, *const sockaddr, socklen_t) -> c_int);
next!(epoll_wait, c"epoll_wait", (c_int, *mut epoll_event, c_int, c_int) -> c_int);
next!(epoll_ctl, c"epoll_ctl", (c_int, c_int, c_int, *mut epoll_event) -> c_int);
next!(read, c"read", (c_int, *mut c_void, size_t) -> ssize_t);
next!(recv, c"recv", (c_int, *mut c_void, size_t, c_int) -> ssize_t);
next!(readv, c"readv", (c_int, *const iovec, c_int) -> ssize_t);
next!(write, c"write", (c_int, *const c_void, size_t) -> ssize_t);
next!(pwrite64, c"pwrite64", (c_int, *const c_void, size_t, off64_t) -> ssize_t);
next!(send, c"send", (c_int, *const c_void, size_t, c_int) -> ssize_t);
next!(writev, c"writev", (c_int, *const iovec, c_int) -> ssize_t);
next!(fsync, c"fsync", (c_int) -> c_int);
next!(fdatasync, c"fdatasync", (c_int) -> c_int);
next!(rename, c"rename", (*const c_char, *const c_char) -> c_int);
next!(clock_gettime, c"clock_gettime", (clockid_t, *mut timespec) -> c_int);
