//! The C library's own functions, which those of this library interpose.

use libc::{c_char, c_int, c_void, clockid_t, iovec, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::OnceLock;

/// Defines a function that calls the next definition of the symbol after the one in this library.
macro_rules! next {
    ($name:ident, $symbol:literal, ($($argument:ident: $type:ty),*) -> $result:ty) => {
        /// The function of the C library.
        ///
        /// # Safety
        /// The same as the C function's.
        pub unsafe fn $name($($argument: $type),*) -> $result {
            type Function = unsafe extern "C" fn($($type),*) -> $result;
            static NEXT: OnceLock<Function> = OnceLock::new();
            let next = NEXT.get_or_init(|| {
                // SAFETY: the name is a C string, and `RTLD_NEXT` is a handle that needs no opening.
                let found = unsafe { libc::dlsym(libc::RTLD_NEXT, $symbol.as_ptr().cast::<c_char>()) };
                assert!(!found.is_null(), "the C library has no such function");
                // SAFETY: the function of that name has this signature, by its manual page.
                unsafe { std::mem::transmute::<*mut c_void, Function>(found) }
            });
            // SAFETY: the caller's arguments are passed on unchanged.
            unsafe { next($($argument),*) }
        }
    };
}

next!(socket, c"socket", (domain: c_int, kind: c_int, protocol: c_int) -> c_int);
next!(bind, c"bind", (fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int);
next!(accept4, c"accept4", (fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int);
next!(connect, c"connect", (fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int);
next!(recv, c"recv", (fd: c_int, buffer: *mut c_void, length: usize, flags: c_int) -> ssize_t);
next!(send, c"send", (fd: c_int, buffer: *const c_void, length: usize, flags: c_int) -> ssize_t);
next!(writev, c"writev", (fd: c_int, parts: *const iovec, count: c_int) -> ssize_t);
next!(epoll_wait, c"epoll_wait", (fd: c_int, events: *mut libc::epoll_event, max: c_int, timeout: c_int) -> c_int);
next!(clock_gettime, c"clock_gettime", (clock: clockid_t, time: *mut timespec) -> c_int);

/// Milliseconds on the monotonic clock.
pub fn monotonic_ms() -> u64 {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is a valid pointer for the result.
    unsafe { clock_gettime(libc::CLOCK_MONOTONIC, &mut time) };
    u64::try_from(time.tv_sec).unwrap_or(0) * 1_000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000_000
}

/// Whether this is an IPv4 socket: faults are not injected into socket pairs and pipes within a process.
pub fn is_ipv4(fd: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = socklen_t::try_from(size_of::<c_int>()).unwrap_or(0);
    // SAFETY: both pointers are valid, and `length` is the size of `domain`.
    let got = unsafe {
        libc::getsockopt(
            fd,
            libc::SOL_SOCKET,
            libc::SO_DOMAIN,
            (&raw mut domain).cast::<c_void>(),
            &mut length,
        )
    };
    got == 0 && domain == libc::AF_INET
}

/// Fails as a C function does: sets `errno` and returns -1.
pub fn fail(error: c_int) -> c_int {
    // SAFETY: the address of `errno` is valid for the lifetime of the thread.
    unsafe { *libc::__errno_location() = error };
    -1
}
