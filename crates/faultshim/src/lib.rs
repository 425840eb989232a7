//! Fault injection for tests. Preloaded (`LD_PRELOAD`) into the forwarder, this library stands between the program and the C
//! library and makes chosen calls fail as Linux documents them, by a plan that tests may change while the program runs.
//!
//! `FAULTSHIM_PLAN` names the plan's file, replaced as a whole by a rename; `FAULTSHIM_FOLDER` the folder whose files `open`,
//! `read`, `write`, `ftruncate`, `fsync`, `unlink`, `rename` and `opendir` are meant by. `accept`, `socket`, `connect`, `recv`
//! and `send` strike all sockets, `wall` shifts the wall clock. Each call that is struck adds a line to the plan's file with
//! `.struck` behind its name.
//!
//! The only crate of the project with `unsafe` code: replacing the C library's functions cannot be written without it. It
//! is never part of the forwarder.

mod plan;

use libc::{
    c_char, c_int, c_uint, c_void, clockid_t, mode_t, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec,
};
use plan::{Effect, Plan};
use std::cell::Cell;
use std::ffi::{CStr, CString};
use std::sync::atomic::{AtomicPtr, AtomicU8, Ordering};
use std::sync::Mutex;

/// Descriptors above this are never taken for files of the folder.
const DESCRIPTORS: usize = 65_536;
/// The largest plan that is read.
const LARGEST_PLAN: usize = 16 * 1024;

/// What is known of a descriptor.
const OTHER: u8 = 0;
const FOLDER: u8 = 1;
/// Its next write fails.
const TORN: u8 = 2;

static KNOWN: [AtomicU8; DESCRIPTORS] = [const { AtomicU8::new(OTHER) }; DESCRIPTORS];
static CURRENT: Mutex<Option<Current>> = Mutex::new(None);

thread_local! {
    /// This thread is within the library: what it calls goes straight through.
    static INSIDE: Cell<bool> = const { Cell::new(false) };
}

/// The plan in force and the version of the file that it was read from.
struct Current {
    path: CString,
    folder: Option<String>,
    version: (i64, i64, u64),
    torn_with: c_int,
    plan: Plan,
}

/// The next function of a name behind this library, of the given type.
macro_rules! next {
    ($name:literal, $type:ty) => {{
        static NEXT: AtomicPtr<c_void> = AtomicPtr::new(std::ptr::null_mut());
        let mut found = NEXT.load(Ordering::Relaxed);
        if found.is_null() {
            // SAFETY: the name is a C string, and RTLD_NEXT is a valid handle in a loaded library.
            found = unsafe { libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast()) };
            NEXT.store(found, Ordering::Relaxed);
        }
        // SAFETY: the C library declares the function of that name with this type.
        unsafe { std::mem::transmute::<*mut c_void, $type>(found) }
    }};
}

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// The whole file by raw calls, which pass this library by.
fn read_plan(path: &CStr) -> Option<String> {
    let mut text = vec![0u8; LARGEST_PLAN];
    // SAFETY: the path is a C string and the buffer has the given length.
    let got = unsafe {
        let file =
            libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let got = libc::syscall(libc::SYS_read, file, text.as_mut_ptr(), text.len());
        libc::syscall(libc::SYS_close, file);
        got
    };
    text.truncate(usize::try_from(got).ok()?);
    String::from_utf8(text).ok()
}

fn version(path: &CStr) -> Option<(i64, i64, u64)> {
    // SAFETY: an all-zero stat is valid, and both pointers live through the call.
    unsafe {
        let mut found: libc::stat = std::mem::zeroed();
        let result = libc::syscall(libc::SYS_newfstatat, libc::AT_FDCWD, path.as_ptr(), &raw mut found, 0);
        (result == 0).then_some((found.st_mtime, found.st_mtime_nsec, found.st_ino))
    }
}

impl Current {
    fn new() -> Option<Current> {
        let path = CString::new(environment("FAULTSHIM_PLAN")?).ok()?;
        let folder = environment("FAULTSHIM_FOLDER");
        Some(Current { path, folder, version: (0, 0, 0), torn_with: libc::EIO, plan: Plan::default() })
    }

    fn refresh(&mut self) {
        let Some(found) = version(&self.path).filter(|v| *v != self.version) else { return };
        if let Some(text) = read_plan(&self.path) {
            self.version = found;
            self.plan = Plan::read(&text);
        }
    }

    fn tell(&self, call: &str, effect: Effect) {
        let mut path = self.path.to_bytes().to_vec();
        path.extend_from_slice(b".struck\0");
        let line = format!("{call} {effect:?}\n");
        // SAFETY: the path ends with a zero byte and the line has the given length.
        unsafe {
            let flags = libc::O_WRONLY | libc::O_APPEND | libc::O_CREAT | libc::O_CLOEXEC;
            let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), flags, 0o644);
            if file >= 0 {
                libc::syscall(libc::SYS_write, file, line.as_ptr(), line.len());
                libc::syscall(libc::SYS_close, file);
            }
        }
    }
}

/// Runs with the plan in force, unless this thread is within the library already.
fn with_current<T>(run: impl FnOnce(&mut Current) -> Option<T>) -> Option<T> {
    if INSIDE.try_with(|inside| inside.replace(true)).unwrap_or(true) {
        return None;
    }
    let result = {
        let mut current = CURRENT.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if current.is_none() {
            *current = Current::new();
        }
        current.as_mut().and_then(|current| {
            current.refresh();
            run(current)
        })
    };
    INSIDE.with(|inside| inside.set(false));
    result
}

fn strike(call: &str) -> Option<Effect> {
    let effect = with_current(|current| {
        let effect = current.plan.strike(call)?;
        current.tell(call, effect);
        if let Effect::Torn(number) = effect {
            current.torn_with = number;
        }
        Some(effect)
    })?;
    if let Effect::Stalls(milliseconds) = effect {
        std::thread::sleep(std::time::Duration::from_millis(milliseconds));
        return None;
    }
    Some(effect)
}

fn fail(number: c_int) -> c_int {
    // SAFETY: the C library gives the address of this thread's error number.
    unsafe { *libc::__errno_location() = number };
    -1
}

/// Whether a call fails as a whole.
fn fails(call: &str) -> Option<c_int> {
    match strike(call)? {
        Effect::Fails(number) | Effect::Torn(number) => Some(fail(number)),
        Effect::Short | Effect::Stalls(_) => None,
    }
}

fn known(descriptor: c_int) -> u8 {
    let at = usize::try_from(descriptor).ok().and_then(|at| KNOWN.get(at));
    at.map_or(OTHER, |kind| kind.load(Ordering::Relaxed))
}

fn mark(descriptor: c_int, kind: u8) {
    if let Some(at) = usize::try_from(descriptor).ok().and_then(|at| KNOWN.get(at)) {
        at.store(kind, Ordering::Relaxed);
    }
}

fn in_folder(path: *const c_char) -> bool {
    if path.is_null() {
        return false;
    }
    // SAFETY: callers of the C library pass a C string.
    let path = unsafe { CStr::from_ptr(path) };
    let within = |folder: &String| path.to_bytes().starts_with(folder.as_bytes());
    with_current(|current| Some(current.folder.as_ref().is_some_and(within))).unwrap_or(false)
}

fn half(size: size_t) -> size_t {
    size.div_ceil(2)
}

/// # Safety
/// As `accept4(2)`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let next = next!("accept4", unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    fails("accept").unwrap_or_else(|| next(socket, address, length, flags))
}

/// # Safety
/// As `socket(2)`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let next = next!("socket", unsafe extern "C" fn(c_int, c_int, c_int) -> c_int);
    fails("socket").unwrap_or_else(|| next(domain, kind, protocol))
}

/// # Safety
/// As `connect(2)`.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let next = next!("connect", unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int);
    fails("connect").unwrap_or_else(|| next(socket, address, length))
}

/// # Safety
/// As `recv(2)`.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, size: size_t, flags: c_int) -> ssize_t {
    let next = next!("recv", unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    match strike("recv") {
        Some(Effect::Fails(number) | Effect::Torn(number)) => fail(number) as ssize_t,
        Some(Effect::Short) => next(socket, buffer, half(size), flags),
        _ => next(socket, buffer, size, flags),
    }
}

/// # Safety
/// As `send(2)`.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, size: size_t, flags: c_int) -> ssize_t {
    let next = next!("send", unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    match strike("send") {
        Some(Effect::Fails(number) | Effect::Torn(number)) => fail(number) as ssize_t,
        Some(Effect::Short) => next(socket, buffer, half(size), flags),
        _ => next(socket, buffer, size, flags),
    }
}

/// # Safety
/// As `read(2)`.
#[no_mangle]
pub unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, size: size_t) -> ssize_t {
    let next = next!("read", unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t);
    if known(descriptor) == OTHER {
        return next(descriptor, buffer, size);
    }
    match strike("read") {
        Some(Effect::Fails(number) | Effect::Torn(number)) => fail(number) as ssize_t,
        Some(Effect::Short) => next(descriptor, buffer, half(size)),
        _ => next(descriptor, buffer, size),
    }
}

/// # Safety
/// As `write(2)`.
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, size: size_t) -> ssize_t {
    let next = next!("write", unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
    match known(descriptor) {
        OTHER => return next(descriptor, buffer, size),
        TORN => {
            mark(descriptor, FOLDER);
            let number = with_current(|current| Some(current.torn_with));
            return fail(number.unwrap_or(libc::EIO)) as ssize_t;
        }
        _ => {}
    }
    match strike("write") {
        Some(Effect::Fails(number)) => fail(number) as ssize_t,
        Some(Effect::Torn(_)) => {
            mark(descriptor, TORN);
            next(descriptor, buffer, half(size))
        }
        Some(Effect::Short) => next(descriptor, buffer, half(size)),
        _ => next(descriptor, buffer, size),
    }
}

/// # Safety
/// As `open(2)`.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let next = next!("open64", unsafe extern "C" fn(*const c_char, c_int, c_uint) -> c_int);
    if !in_folder(path) {
        return next(path, flags, mode);
    }
    if let Some(failed) = fails("open") {
        return failed;
    }
    let descriptor = next(path, flags, mode);
    mark(descriptor, FOLDER);
    descriptor
}

/// # Safety
/// As `close(2)`.
#[no_mangle]
pub unsafe extern "C" fn close(descriptor: c_int) -> c_int {
    let next = next!("close", unsafe extern "C" fn(c_int) -> c_int);
    mark(descriptor, OTHER);
    next(descriptor)
}

/// # Safety
/// As `ftruncate(2)`.
#[no_mangle]
pub unsafe extern "C" fn ftruncate64(descriptor: c_int, length: off64_t) -> c_int {
    let next = next!("ftruncate64", unsafe extern "C" fn(c_int, off64_t) -> c_int);
    match known(descriptor) {
        OTHER => next(descriptor, length),
        _ => fails("ftruncate").unwrap_or_else(|| next(descriptor, length)),
    }
}

/// # Safety
/// As `fsync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    let next = next!("fsync", unsafe extern "C" fn(c_int) -> c_int);
    match known(descriptor) {
        OTHER => next(descriptor),
        _ => fails("fsync").unwrap_or_else(|| next(descriptor)),
    }
}

/// # Safety
/// As `unlink(2)`.
#[no_mangle]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    let next = next!("unlink", unsafe extern "C" fn(*const c_char) -> c_int);
    match in_folder(path) {
        true => fails("unlink").unwrap_or_else(|| next(path)),
        false => next(path),
    }
}

/// # Safety
/// As `rename(2)`.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let next = next!("rename", unsafe extern "C" fn(*const c_char, *const c_char) -> c_int);
    match in_folder(to) {
        true => fails("rename").unwrap_or_else(|| next(from, to)),
        false => next(from, to),
    }
}

/// # Safety
/// As `opendir(3)`.
#[no_mangle]
pub unsafe extern "C" fn opendir(path: *const c_char) -> *mut libc::DIR {
    let next = next!("opendir", unsafe extern "C" fn(*const c_char) -> *mut libc::DIR);
    match in_folder(path) && fails("opendir").is_some() {
        true => std::ptr::null_mut(),
        false => next(path),
    }
}

/// # Safety
/// As `clock_gettime(2)`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let next = next!("clock_gettime", unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int);
    let result = next(clock, time);
    if clock == libc::CLOCK_REALTIME && result == 0 {
        let offset = with_current(|current| Some(current.plan.wall)).unwrap_or(0);
        let nanoseconds = (*time).tv_sec * 1_000_000_000 + (*time).tv_nsec + offset * 1_000;
        (*time).tv_sec = nanoseconds.div_euclid(1_000_000_000);
        (*time).tv_nsec = nanoseconds.rem_euclid(1_000_000_000);
    }
    result
}
