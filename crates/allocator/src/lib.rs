//! Gives memory that a program has freed back to the system.
//!
//! The allocator of the C library keeps freed memory for later use, so the resident memory of a process stays near its peak.
//! Besides the fault injection of the tests, this is the only crate of the project with `unsafe` code: no safe interface reaches
//! the allocator.

/// Gives all whole pages of freed memory back to the system. Does nothing where the C library isn't that of GNU.
pub fn release_free_memory() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: `malloc_trim` may be called at any time, from any thread. It takes the allocator's own locks and touches no
    // memory that is in use. With a padding of zero it keeps nothing at the top of the heap.
    unsafe {
        libc::malloc_trim(0);
    }
}
