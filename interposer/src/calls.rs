//! The functions that interpose those of the C library. Each has the signature and the contract of its manual page.
//!
//! Safety, for all of them: the caller keeps the C function's contract, and the arguments are passed on unchanged,
//! except for a length, which is only ever reduced.

use crate::real;
use crate::rules::Call;
use crate::state::{draw_outcome, wall_clock_offset_ms, Outcome};
use libc::{c_int, c_void, clockid_t, iovec, sockaddr, socklen_t, ssize_t, timespec};

const NANOSECONDS: i64 = 1_000_000_000;

/// See `socket(2)`.
///
/// # Safety
/// As the module says.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET {
        if let Outcome::Fails(error) = draw_outcome(Call::Socket) {
            return real::fail(error);
        }
    }
    // SAFETY: as the module says.
    unsafe { real::socket(domain, kind, protocol) }
}

/// See `bind(2)`.
///
/// # Safety
/// As the module says.
#[no_mangle]
pub unsafe extern "C" fn bind(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    match draw_outcome(Call::Bind) {
        Outcome::Fails(error) if real::is_ipv4(fd) => real::fail(error),
        // SAFETY: as the module says.
        _ => unsafe { real::bind(fd, address, length) },
    }
}

/// See `accept4(2)`. After an injected error the connection stays in the queue.
///
/// # Safety
/// As the module says.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    match draw_outcome(Call::Accept) {
        Outcome::Fails(error) if real::is_ipv4(fd) => real::fail(error),
        // SAFETY: as the module says.
        _ => unsafe { real::accept4(fd, address, length, flags) },
    }
}

/// See `connect(2)`.
///
/// # Safety
/// As the module says.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    match draw_outcome(Call::Connect) {
        Outcome::Fails(error) if real::is_ipv4(fd) => real::fail(error),
        // SAFETY: as the module says.
        _ => unsafe { real::connect(fd, address, length) },
    }
}

/// See `recv(2)`.
///
/// # Safety
/// As the module says.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: usize, flags: c_int) -> ssize_t {
    let length = match draw_outcome(Call::Recv) {
        Outcome::Fails(error) if real::is_ipv4(fd) => return real::fail(error) as ssize_t,
        Outcome::Short(max_bytes) if real::is_ipv4(fd) => length.min(max_bytes),
        _ => length,
    };
    // SAFETY: as the module says.
    unsafe { real::recv(fd, buffer, length, flags) }
}

/// See `send(2)`.
///
/// # Safety
/// As the module says.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: usize, flags: c_int) -> ssize_t {
    let length = match draw_outcome(Call::Send) {
        Outcome::Fails(error) if real::is_ipv4(fd) => return real::fail(error) as ssize_t,
        Outcome::Short(max_bytes) if real::is_ipv4(fd) => length.min(max_bytes),
        _ => length,
    };
    // SAFETY: as the module says.
    unsafe { real::send(fd, buffer, length, flags) }
}

/// See `writev(2)`. A short write takes bytes of the first part only.
///
/// # Safety
/// As the module says.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    match draw_outcome(Call::Send) {
        Outcome::Fails(error) if real::is_ipv4(fd) => real::fail(error) as ssize_t,
        Outcome::Short(max_bytes) if count > 0 && real::is_ipv4(fd) => {
            // SAFETY: by the function's contract there are `count` parts, and `count` is at least one.
            let mut first = unsafe { *parts };
            first.iov_len = first.iov_len.min(max_bytes);
            // SAFETY: `first` is a valid part, no longer than the caller's.
            unsafe { real::writev(fd, &first, 1) }
        }
        // SAFETY: as the module says.
        _ => unsafe { real::writev(fd, parts, count) },
    }
}

/// See `epoll_wait(2)`.
///
/// # Safety
/// As the module says.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    match draw_outcome(Call::Wait) {
        Outcome::Fails(error) => real::fail(error),
        // SAFETY: as the module says.
        _ => unsafe { real::epoll_wait(fd, events, max_events, timeout) },
    }
}

/// See `clock_gettime(2)`. Only the wall clock is stepped, the coarse one included.
///
/// # Safety
/// As the module says.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: as the module says.
    let got = unsafe { real::clock_gettime(clock, time) };
    if got == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        // SAFETY: the call has succeeded, so `time` is valid.
        let time = unsafe { &mut *time };
        let nanoseconds = time.tv_nsec + wall_clock_offset_ms() % 1_000 * 1_000_000;
        time.tv_sec += wall_clock_offset_ms() / 1_000 + nanoseconds.div_euclid(NANOSECONDS);
        time.tv_nsec = nanoseconds.rem_euclid(NANOSECONDS);
    }
    got
}
