//! Fences: files of the state folder that name the attempts in flight at a process which has handed over.
//!
//! The process keeps its fence locked until it ends, and the kernel releases the lock of a process that is killed. So another
//! process that restores such an attempt from the journal can tell whether it may still be in flight, also if the process
//! that made it is frozen. Releases that know no fences ignore the files.
//!
//! A predecessor of such a release has none. Its successor then writes a *substitute*, which nobody locks: whether the
//! predecessor still runs shows at its operator address.

use super::lock::Owner;
use crate::net::call::AttemptId;
use crate::net::dial::connect;
use crate::net::http::HttpConnection;
use crate::net::within;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fs::{self, File, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The names of fences. Each process of a chain of hand-overs that still runs has one.
const FILE_NAMES: [&str; 8] =
    ["calls.0", "calls.1", "calls.2", "calls.3", "calls.4", "calls.5", "calls.6", "calls.7"];
/// How long a process may take to answer at its operator address. One that does not is taken for frozen.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How often it is tried to write a fence.
const WRITE_ATTEMPTS: usize = 8;
/// The name of a fence that is not complete.
const NEW_FILE_NAME: &str = "calls.new";

/// The content of a fence.
#[derive(Serialize, Deserialize)]
struct FenceContent {
    /// Where the process answers which of its calls are in flight.
    owner: Owner,
    /// The attempts in flight when the process handed over. It starts no others.
    attempts: BTreeSet<AttemptId>,
    /// Whether the successor has written the fence, so that nobody locks it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    substitute: bool,
}

/// The names of all files that this module may leave in the state folder.
pub fn file_names() -> impl Iterator<Item = &'static str> {
    FILE_NAMES.into_iter().chain([NEW_FILE_NAME])
}

/// The fence of this process, before it has handed over. Dropping it removes the fence.
pub struct OwnFence {
    path: PathBuf,
    file: Option<File>,
}

impl OwnFence {
    /// Writes a fence and locks it. The encoded size is passed to `has_space` first.
    ///
    /// # Errors
    ///
    /// If the file cannot be written, there is no space for it, or too many processes have a fence.
    pub fn create(
        folder: &Path,
        owner: &Owner,
        attempts: BTreeSet<AttemptId>,
        has_space: impl FnOnce(u64) -> bool,
    ) -> io::Result<OwnFence> {
        let content = FenceContent { owner: owner.clone(), attempts, substitute: false };
        let (path, file) = write_fence(folder, &content, has_space)?;
        Ok(OwnFence { path, file: Some(file) })
    }

    /// Keeps the fence locked until the process has ended: its calls end no later, and the kernel then releases the lock.
    pub fn keep_until_exit(mut self) {
        std::mem::forget(self.file.take());
    }
}

impl Drop for OwnFence {
    fn drop(&mut self) {
        if self.file.take().is_some() {
            // A file that stays is not locked any more, so it fences nothing.
            let _ = fs::remove_file(&self.path);
        }
    }
}

/// Writes the fence of a predecessor that has none, for the processes after this one. Replaces an earlier one of that
/// predecessor. Does nothing if the predecessor has a fence of its own, or if no attempt is in flight there.
///
/// # Errors
///
/// As [`OwnFence::create`].
pub fn write_substitute(
    folder: &Path,
    predecessor: &Owner,
    attempts: BTreeSet<AttemptId>,
    has_space: impl FnOnce(u64) -> bool,
) -> io::Result<()> {
    if attempts.is_empty() {
        return Ok(());
    }
    let fences = Fence::find_all(folder)?;
    let of_predecessor = fences.iter().find(|fence| fence.owner.token == predecessor.token);
    match of_predecessor {
        Some(Fence { presence: Presence::Lock(_), .. }) => return Ok(()),
        Some(earlier) => fs::remove_file(&earlier.path)?,
        None => {}
    }
    let content = FenceContent { owner: predecessor.clone(), attempts, substitute: true };
    write_fence(folder, &content, has_space).map(drop)
}

/// Writes a fence; returns its path and the locked file. A failure is tried again a few times, as clients wait meanwhile and a
/// storage that fails often succeeds the next time.
fn write_fence(
    folder: &Path,
    content: &FenceContent,
    has_space: impl FnOnce(u64) -> bool,
) -> io::Result<(PathBuf, File)> {
    let text = serde_json::to_vec(content)?;
    if !has_space(text.len() as u64) {
        return Err(io::ErrorKind::StorageFull.into());
    }
    let mut written = try_write_fence(folder, &text);
    for _ in 1..WRITE_ATTEMPTS {
        if written.is_ok() {
            break;
        }
        written = try_write_fence(folder, &text);
    }
    written
}

fn try_write_fence(folder: &Path, text: &[u8]) -> io::Result<(PathBuf, File)> {
    let path = free_path(folder)?;
    let new_path = folder.join(NEW_FILE_NAME);
    let mut file = File::create(&new_path)?;
    file.lock()?;
    file.write_all(text)?;
    // The lock stays with the file. Nobody ever finds a fence that is not locked yet.
    fs::rename(&new_path, &path)?;
    Ok((path, file))
}

/// The paths of the fences in a folder, in the order of their names. The folder is listed, so that a file system at which
/// opening files fails at times is asked no more often than necessary.
fn existing_paths(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        if FILE_NAMES.iter().any(|fence| name == *fence) {
            paths.push(folder.join(name));
        }
    }
    paths.sort();
    Ok(paths)
}

/// The path of a fence that does not exist.
fn free_path(folder: &Path) -> io::Result<PathBuf> {
    // Removes the fences of processes that have ended.
    Fence::find_all(folder)?;
    let mut paths = FILE_NAMES.iter().map(|name| folder.join(name));
    let free = paths.find(|path| !path.exists());
    free.ok_or_else(|| {
        io::Error::new(io::ErrorKind::QuotaExceeded, "too many processes have handed over and still run")
    })
}

fn is_unlocked(file: &File) -> io::Result<bool> {
    match file.try_lock_shared() {
        Ok(()) => file.unlock().map(|()| true),
        Err(TryLockError::WouldBlock) => Ok(false),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// What shows that the process of a fence still runs.
enum Presence {
    /// The lock of the file.
    Lock(File),
    /// Its operator address, where it recognizes its token.
    OperatorAddress,
}

/// The fence of another process.
pub struct Fence {
    path: PathBuf,
    presence: Presence,
    /// Where the process answers which of its calls are in flight.
    pub owner: Owner,
    /// The attempts that may be in flight there.
    pub attempts: BTreeSet<AttemptId>,
}

impl Fence {
    /// Finds the fences of processes that still run, and removes those of processes that have ended.
    ///
    /// # Errors
    ///
    /// If a fence cannot be read.
    pub fn find_all(folder: &Path) -> io::Result<Vec<Fence>> {
        let mut fences = Vec::new();
        for path in existing_paths(folder)? {
            let mut file = match File::open(&path) {
                Ok(file) => file,
                Err(error) if error.kind() == io::ErrorKind::NotFound => continue,
                Err(error) => return Err(error),
            };
            let mut text = Vec::new();
            file.read_to_end(&mut text)?;
            let FenceContent { owner, attempts, substitute } = serde_json::from_slice(&text)?;
            let presence = if substitute { Presence::OperatorAddress } else { Presence::Lock(file) };
            if matches!(&presence, Presence::Lock(file) if is_unlocked(file)?) {
                // It fences nothing, so it does no harm if it stays.
                let _ = fs::remove_file(&path);
                continue;
            }
            fences.push(Fence { path, presence, owner, attempts });
        }
        Ok(fences)
    }

    /// The name by which the fence is told from others: the secret of its process.
    pub fn id(&self) -> &str {
        &self.owner.token
    }

    /// Whether the process has ended, and its calls with it. `false` if that cannot be found out.
    pub async fn is_released(&self) -> bool {
        match &self.presence {
            Presence::Lock(file) => is_unlocked(file).unwrap_or(false),
            Presence::OperatorAddress => has_left_address(&self.owner).await,
        }
    }

    /// Removes the file, unless another process has replaced it. Call it once the fence is released.
    pub fn remove(&self) {
        let read = fs::read(&self.path).ok();
        let content = read.and_then(|text| serde_json::from_slice::<FenceContent>(&text).ok());
        if content.is_some_and(|content| content.owner == self.owner) {
            // It fences nothing any more, so it does no harm if it stays.
            let _ = fs::remove_file(&self.path);
        }
    }
}

/// Whether a process no longer listens at its operator address: the connection is refused, or another process answers, which
/// does not know the token.
async fn has_left_address(owner: &Owner) -> bool {
    let stream = match within(PROBE_TIMEOUT, connect(owner.operator)).await {
        Some(Ok(stream)) => stream,
        Some(Err(error)) => return error.kind() == io::ErrorKind::ConnectionRefused,
        None => return false,
    };
    let mut connection = HttpConnection::new(stream);
    let Owner { operator, token } = owner;
    // With this format no process hands over. One that knows the token answers 415, any other one 404.
    let request = format!(
        "POST /admin/handover HTTP/1.1\r\nHost: {operator}\r\nX-Token: {token}\r\nX-Format: 0\r\nContent-Length: 0\r\n\r\n"
    );
    if connection.write(request.as_bytes()).await.is_err() {
        return false;
    }
    let response = within(PROBE_TIMEOUT, connection.read_response()).await;
    response.is_some_and(|response| response.is_ok_and(|response| response.status == 404))
}
