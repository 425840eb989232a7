//! Fault injection for tests. Preloaded (`LD_PRELOAD`) into the forwarder, this library wraps functions of the C library
//! and makes chosen calls of them fail as Linux documents it. A plan says which calls fail; tests may change it while the
//! program runs.
//!
//! `FAULTSHIM_PLAN` is the path of the plan's file, which must be replaced as a whole by a rename. `FAULTSHIM_FOLDER` is
//! the path of a folder: rules for `open`, `read`, `write`, `ftruncate`, `fsync`, `unlink`, `rename` and `opendir` apply
//! only to files whose path begins with it. Rules for `accept`, `socket`, `connect`, `recv` and `send` apply to all
//! sockets, and `wall` shifts the wall clock. For each call that a rule applies to, a line is appended to the file whose
//! path is that of the plan with the suffix `.struck`: the call, the effect and the monotonic time in microseconds. That
//! includes the effect `short` on functions without a size, which changes nothing.
//!
//! This crate has `unsafe` code, as replacing the C library's functions requires it. It is never part of the forwarder.

mod plan;

use libc::{
    c_char, c_int, c_uint, c_void, clockid_t, mode_t, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec,
};
use plan::{Effect, Plan};
use std::cell::Cell;
use std::ffi::{CStr, CString};
use std::sync::atomic::{AtomicPtr, AtomicU8, Ordering};
use std::sync::Mutex;

/// Number of descriptors whose state is tracked; higher ones never count as files of the folder.
const MAX_DESCRIPTORS: usize = 65_536;
/// The largest plan that is read, in bytes; what follows is cut off.
const MAX_PLAN_BYTES: usize = 16 * 1024;

/// State of a descriptor that is not a file of the folder.
const UNTRACKED: u8 = 0;
/// State of a descriptor that is a file of the folder.
const IN_FOLDER: u8 = 1;
/// State of a file of the folder after a torn write: its next write fails.
const TORN: u8 = 2;

/// The state of each descriptor, by its number.
static DESCRIPTOR_STATES: [AtomicU8; MAX_DESCRIPTORS] = [const { AtomicU8::new(UNTRACKED) }; MAX_DESCRIPTORS];
/// The plan in force; `None` before the first call that looks for one, and without `FAULTSHIM_PLAN`.
static ACTIVE_PLAN: Mutex<Option<ActivePlan>> = Mutex::new(None);

thread_local! {
    /// Whether this thread is inside this library, whose own calls must not be intercepted.
    static INSIDE_LIBRARY: Cell<bool> = const { Cell::new(false) };
}

/// The plan in force, with the version of the file from which it was read.
struct ActivePlan {
    path: CString,
    folder: Option<String>,
    /// Seconds and nanoseconds of the file's modification time, and its inode.
    version: (i64, i64, u64),
    /// The error number for the write that follows a torn one.
    torn_error: c_int,
    plan: Plan,
}

/// The function of the C library behind a function of this library: the next one of this name in the order in which
/// libraries are searched, cast to the given type.
macro_rules! original_function {
    ($name:literal, $type:ty) => {{
        static ORIGINAL: AtomicPtr<c_void> = AtomicPtr::new(std::ptr::null_mut());
        let mut function = ORIGINAL.load(Ordering::Relaxed);
        if function.is_null() {
            // SAFETY: the name is a C string, and RTLD_NEXT is a valid handle in a loaded library.
            function = unsafe { libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast()) };
            ORIGINAL.store(function, Ordering::Relaxed);
        }
        // SAFETY: the C library declares the function of that name with this type.
        unsafe { std::mem::transmute::<*mut c_void, $type>(function) }
    }};
}

/// The value of an environment variable; `None` if it is not set or not UTF-8.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Reads the plan's file by raw system calls, which this library does not intercept. `None` if it cannot be read or is not
/// UTF-8.
fn read_plan_file(path: &CStr) -> Option<String> {
    let mut text = vec![0u8; MAX_PLAN_BYTES];
    // SAFETY: the path is a C string and the buffer has the given length.
    let bytes_read = unsafe {
        let file =
            libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let bytes_read = libc::syscall(libc::SYS_read, file, text.as_mut_ptr(), text.len());
        libc::syscall(libc::SYS_close, file);
        bytes_read
    };
    text.truncate(usize::try_from(bytes_read).ok()?);
    String::from_utf8(text).ok()
}

/// The version of a file: its modification time and inode. `None` if there is no such file.
fn file_version(path: &CStr) -> Option<(i64, i64, u64)> {
    // SAFETY: an all-zero stat is valid, and both pointers live through the call.
    unsafe {
        let mut status: libc::stat = std::mem::zeroed();
        let result = libc::syscall(libc::SYS_newfstatat, libc::AT_FDCWD, path.as_ptr(), &raw mut status, 0);
        (result == 0).then_some((status.st_mtime, status.st_mtime_nsec, status.st_ino))
    }
}

impl ActivePlan {
    /// An empty plan for the paths that the environment names; `None` without `FAULTSHIM_PLAN`.
    fn new() -> Option<ActivePlan> {
        let path = CString::new(environment_variable("FAULTSHIM_PLAN")?).ok()?;
        let folder = environment_variable("FAULTSHIM_FOLDER");
        Some(ActivePlan { path, folder, version: (0, 0, 0), torn_error: libc::EIO, plan: Plan::default() })
    }

    /// Reads the plan's file again if it has changed.
    fn refresh(&mut self) {
        let Some(version) = file_version(&self.path).filter(|version| *version != self.version) else {
            return;
        };
        if let Some(text) = read_plan_file(&self.path) {
            self.version = version;
            self.plan = Plan::parse(&text);
        }
    }

    /// Appends a line about a call that a rule applies to, to the file with the suffix `.struck`.
    fn log_fault(&self, call: &str, effect: Effect) {
        let mut path = self.path.to_bytes().to_vec();
        path.extend_from_slice(b".struck\0");
        let line = format!("{call} {effect:?} {}\n", monotonic_micros());
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

/// The time of the monotonic clock, in microseconds.
fn monotonic_micros() -> i64 {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer lives through the call.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut time) };
    time.tv_sec * 1_000_000 + time.tv_nsec / 1_000
}

/// Calls a function with the plan in force and returns its result. `None` also if this thread is already inside the library
/// or there is no plan.
fn with_active_plan<T>(run: impl FnOnce(&mut ActivePlan) -> Option<T>) -> Option<T> {
    if INSIDE_LIBRARY.try_with(|inside| inside.replace(true)).unwrap_or(true) {
        return None;
    }
    let result = {
        let mut active_plan = ACTIVE_PLAN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if active_plan.is_none() {
            *active_plan = ActivePlan::new();
        }
        active_plan.as_mut().and_then(|active_plan| {
            active_plan.refresh();
            run(active_plan)
        })
    };
    INSIDE_LIBRARY.with(|inside| inside.set(false));
    result
}

/// The fault to inject into a call that is about to be made, if any. A stall is waited for here, and is not returned.
fn fault_for(call: &str) -> Option<Effect> {
    let effect = with_active_plan(|active_plan| {
        let effect = active_plan.plan.next_effect(call)?;
        active_plan.log_fault(call, effect);
        if let Effect::Torn(error_number) = effect {
            active_plan.torn_error = error_number;
        }
        Some(effect)
    })?;
    if let Effect::Stalls(milliseconds) = effect {
        std::thread::sleep(std::time::Duration::from_millis(milliseconds));
        return None;
    }
    Some(effect)
}

/// Sets this thread's error number and returns -1, as a failed call of the C library does.
fn set_error(error_number: c_int) -> c_int {
    // SAFETY: the C library gives the address of this thread's error number.
    unsafe { *libc::__errno_location() = error_number };
    -1
}

/// The return value of a call that is made to fail; `None` if the call is to be made. Only for functions without a size
/// argument, on which the effect `short` does nothing.
fn injected_failure(call: &str) -> Option<c_int> {
    match fault_for(call)? {
        Effect::Fails(error_number) | Effect::Torn(error_number) => Some(set_error(error_number)),
        Effect::Short | Effect::Stalls(_) => None,
    }
}

/// The state of a descriptor.
fn descriptor_state(descriptor: c_int) -> u8 {
    let state = usize::try_from(descriptor).ok().and_then(|index| DESCRIPTOR_STATES.get(index));
    state.map_or(UNTRACKED, |state| state.load(Ordering::Relaxed))
}

/// Sets the state of a descriptor.
fn set_descriptor_state(descriptor: c_int, state: u8) {
    if let Some(entry) = usize::try_from(descriptor).ok().and_then(|index| DESCRIPTOR_STATES.get(index)) {
        entry.store(state, Ordering::Relaxed);
    }
}

/// Whether a path begins with that of `FAULTSHIM_FOLDER`, compared byte by byte: `/x/state-old/f` begins with `/x/state`.
fn has_folder_prefix(path: *const c_char) -> bool {
    if path.is_null() {
        return false;
    }
    // SAFETY: callers of the C library pass a C string.
    let path = unsafe { CStr::from_ptr(path) };
    let is_within = |folder: &String| path.to_bytes().starts_with(folder.as_bytes());
    with_active_plan(|active_plan| Some(active_plan.folder.as_ref().is_some_and(is_within))).unwrap_or(false)
}

/// Half of a size, rounded up, so that a short read or write transfers something.
fn half(size: size_t) -> size_t {
    size.div_ceil(2)
}

/// Accepts a connection, subject to rules for `accept`.
///
/// # Safety
/// As `accept4(2)`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let original = original_function!(
        "accept4",
        unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int
    );
    injected_failure("accept").unwrap_or_else(|| original(socket, address, length, flags))
}

/// Opens a socket, subject to rules for `socket`.
///
/// # Safety
/// As `socket(2)`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let original = original_function!("socket", unsafe extern "C" fn(c_int, c_int, c_int) -> c_int);
    injected_failure("socket").unwrap_or_else(|| original(domain, kind, protocol))
}

/// Connects a socket, subject to rules for `connect`.
///
/// # Safety
/// As `connect(2)`.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let original =
        original_function!("connect", unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int);
    injected_failure("connect").unwrap_or_else(|| original(socket, address, length))
}

/// Receives from a socket, subject to rules for `recv`.
///
/// # Safety
/// As `recv(2)`.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, size: size_t, flags: c_int) -> ssize_t {
    let original =
        original_function!("recv", unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    match fault_for("recv") {
        Some(Effect::Fails(error_number) | Effect::Torn(error_number)) => set_error(error_number) as ssize_t,
        Some(Effect::Short) => original(socket, buffer, half(size), flags),
        _ => original(socket, buffer, size, flags),
    }
}

/// Sends on a socket, subject to rules for `send`.
///
/// # Safety
/// As `send(2)`.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, size: size_t, flags: c_int) -> ssize_t {
    let original =
        original_function!("send", unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    match fault_for("send") {
        Some(Effect::Fails(error_number) | Effect::Torn(error_number)) => set_error(error_number) as ssize_t,
        Some(Effect::Short) => original(socket, buffer, half(size), flags),
        _ => original(socket, buffer, size, flags),
    }
}

/// Reads from a descriptor; files of the folder are subject to rules for `read`.
///
/// # Safety
/// As `read(2)`.
#[no_mangle]
pub unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, size: size_t) -> ssize_t {
    let original = original_function!("read", unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t);
    if descriptor_state(descriptor) == UNTRACKED {
        return original(descriptor, buffer, size);
    }
    match fault_for("read") {
        Some(Effect::Fails(error_number) | Effect::Torn(error_number)) => set_error(error_number) as ssize_t,
        Some(Effect::Short) => original(descriptor, buffer, half(size)),
        _ => original(descriptor, buffer, size),
    }
}

/// Writes to a descriptor; files of the folder are subject to rules for `write`.
///
/// # Safety
/// As `write(2)`.
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, size: size_t) -> ssize_t {
    let original = original_function!("write", unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
    match descriptor_state(descriptor) {
        UNTRACKED => return original(descriptor, buffer, size),
        TORN => {
            set_descriptor_state(descriptor, IN_FOLDER);
            let error_number = with_active_plan(|active_plan| Some(active_plan.torn_error));
            return set_error(error_number.unwrap_or(libc::EIO)) as ssize_t;
        }
        _ => {}
    }
    match fault_for("write") {
        Some(Effect::Fails(error_number)) => set_error(error_number) as ssize_t,
        Some(Effect::Torn(_)) => {
            set_descriptor_state(descriptor, TORN);
            original(descriptor, buffer, half(size))
        }
        Some(Effect::Short) => original(descriptor, buffer, half(size)),
        _ => original(descriptor, buffer, size),
    }
}

/// Opens a file; those of the folder are tracked and subject to rules for `open`.
///
/// # Safety
/// As `open(2)`.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let original = original_function!("open64", unsafe extern "C" fn(*const c_char, c_int, c_uint) -> c_int);
    if !has_folder_prefix(path) {
        return original(path, flags, mode);
    }
    if let Some(failed) = injected_failure("open") {
        return failed;
    }
    let descriptor = original(path, flags, mode);
    set_descriptor_state(descriptor, IN_FOLDER);
    descriptor
}

/// Closes a descriptor, which is no longer tracked.
///
/// # Safety
/// As `close(2)`.
#[no_mangle]
pub unsafe extern "C" fn close(descriptor: c_int) -> c_int {
    let original = original_function!("close", unsafe extern "C" fn(c_int) -> c_int);
    set_descriptor_state(descriptor, UNTRACKED);
    original(descriptor)
}

/// Truncates a file; those of the folder are subject to rules for `ftruncate`.
///
/// # Safety
/// As `ftruncate(2)`.
#[no_mangle]
pub unsafe extern "C" fn ftruncate64(descriptor: c_int, length: off64_t) -> c_int {
    let original = original_function!("ftruncate64", unsafe extern "C" fn(c_int, off64_t) -> c_int);
    match descriptor_state(descriptor) {
        UNTRACKED => original(descriptor, length),
        _ => injected_failure("ftruncate").unwrap_or_else(|| original(descriptor, length)),
    }
}

/// Flushes a file to storage; those of the folder are subject to rules for `fsync`.
///
/// # Safety
/// As `fsync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    let original = original_function!("fsync", unsafe extern "C" fn(c_int) -> c_int);
    match descriptor_state(descriptor) {
        UNTRACKED => original(descriptor),
        _ => injected_failure("fsync").unwrap_or_else(|| original(descriptor)),
    }
}

/// Removes a file; those of the folder are subject to rules for `unlink`.
///
/// # Safety
/// As `unlink(2)`.
#[no_mangle]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    let original = original_function!("unlink", unsafe extern "C" fn(*const c_char) -> c_int);
    match has_folder_prefix(path) {
        true => injected_failure("unlink").unwrap_or_else(|| original(path)),
        false => original(path),
    }
}

/// Renames a file; targets in the folder are subject to rules for `rename`.
///
/// # Safety
/// As `rename(2)`.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let original = original_function!("rename", unsafe extern "C" fn(*const c_char, *const c_char) -> c_int);
    match has_folder_prefix(to) {
        true => injected_failure("rename").unwrap_or_else(|| original(from, to)),
        false => original(from, to),
    }
}

/// Opens a directory; those of the folder are subject to rules for `opendir`.
///
/// # Safety
/// As `opendir(3)`.
#[no_mangle]
pub unsafe extern "C" fn opendir(path: *const c_char) -> *mut libc::DIR {
    let original = original_function!("opendir", unsafe extern "C" fn(*const c_char) -> *mut libc::DIR);
    match has_folder_prefix(path) && injected_failure("opendir").is_some() {
        true => std::ptr::null_mut(),
        false => original(path),
    }
}

/// Reads a clock; the wall clock is shifted by the rule `wall`.
///
/// # Safety
/// As `clock_gettime(2)`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let original =
        original_function!("clock_gettime", unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int);
    let result = original(clock, time);
    if clock == libc::CLOCK_REALTIME && result == 0 {
        let offset_micros =
            with_active_plan(|active_plan| Some(active_plan.plan.wall_offset_micros)).unwrap_or(0);
        let nanoseconds = (*time).tv_sec * 1_000_000_000 + (*time).tv_nsec + offset_micros * 1_000;
        (*time).tv_sec = nanoseconds.div_euclid(1_000_000_000);
        (*time).tv_nsec = nanoseconds.rem_euclid(1_000_000_000);
    }
    result
}
