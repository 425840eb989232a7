//! The successor's side of a hand-over: it claims the state folder, requests the predecessor's state, and takes over.

use super::fence::{self, Fence};
use super::frames::{HandOverState, PredecessorFrame, SuccessorFrame};
use super::frames::{ACCEPTED_FRAMES_HEADER, FORMAT_VERSION, LIST_LINE_FRAME, READ_ENDS_FRAMES};
use super::link::{FrameSender, HandOverError, Link, ReceivedFrame};
use super::lock::{self, FolderLock, Owner};
use super::ownership::FolderOwnership;
use super::served_frames;
use crate::journal::Journal;
use crate::net::call::AttemptId;
use crate::net::config::Config;
use crate::net::dial::connect;
use crate::net::http::{HttpConnection, HttpError};
use crate::net::messages::EndpointListMessage;
use crate::net::{within, Context};
use crate::DeliveryPolicy;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use serde_json::value::RawValue;
use slog::{info, warn, Logger};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The longest time that the predecessor may take to answer, and to release its lock.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long the owner's lock is retried while it cannot be opened or locked because of an error.
const LOCK_ERROR_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval between two tries of a lock that another process holds.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The interval between two tries of the owner's lock once the predecessor was asked to release it. It is short because
/// clients wait meanwhile.
const RELEASED_LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// The pause before a failed write of the owner's address is retried.
const WRITE_OWNER_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The state that a successor received from its predecessor.
pub struct InheritedState {
    /// The predecessor's state, without that of its delivery policy.
    pub state: Box<HandOverState>,
    /// The predecessor's delivery policy.
    pub policy: DeliveryPolicy,
}

/// A claim to the state folder: this process is the owner or the next owner. [`claim`] creates it,
/// [`FolderClaim::take_over`] then acquires the owner's lock, and [`FolderClaim::start_serving`] publishes this process's
/// address in the folder.
pub struct FolderClaim {
    /// The right to be the next owner. It is held until [`FolderClaim::start_serving`], so that no third process can take
    /// the folder in between.
    _next_lock: FolderLock,
    /// The owner's lock of the folder; `None` while the predecessor still holds it.
    owner_lock: Option<FolderLock>,
    /// The connection to the predecessor, if it hands over.
    link: Option<Link>,
    /// The address and the token of the predecessor, if it hands over.
    linked_owner: Option<Owner>,
    /// The state that the predecessor has sent, if it hands over.
    pub inherited: Option<InheritedState>,
}

/// Claims the state folder. Returns once the folder is free or its owner has sent its state; an owner that cannot hand over
/// is waited for until it ends.
///
/// # Errors
///
/// Returns an error if the folder or its locks cannot be used.
pub async fn claim(
    config: &Config,
    log: &Logger,
    executor: &LocalExecutor<'static>,
) -> io::Result<FolderClaim> {
    std::fs::create_dir_all(&config.state_folder)?;
    let next_lock = until_next_lock(&config.state_folder).await?;
    let mut requests_state = true;
    loop {
        let owner_lock = FolderLock::try_owner(&config.state_folder)?;
        if owner_lock.is_some() {
            return Ok(FolderClaim {
                _next_lock: next_lock,
                owner_lock,
                link: None,
                linked_owner: None,
                inherited: None,
            });
        }
        if let Some(predecessor) = lock::read_owner(&config.state_folder).filter(|_| requests_state) {
            let requested = within(PREDECESSOR_TIMEOUT, request_state(&predecessor, executor)).await;
            match requested.unwrap_or(Err(HttpError::TimedOut.into())) {
                Ok((inherited, link)) => {
                    let (link, inherited) = (Some(link), Some(inherited));
                    let linked_owner = Some(predecessor);
                    return Ok(FolderClaim {
                        _next_lock: next_lock,
                        owner_lock,
                        link,
                        linked_owner,
                        inherited,
                    });
                }
                Err(error) => {
                    info!(log, "hand-over from the predecessor failed"; "reason" => error.code(),
                        "error" => %error);
                    // After a permanent error, another request would fail as well: only wait until the predecessor ends.
                    requests_state = !error.is_permanent();
                }
            }
        }
        Timer::after(LOCK_RETRY_INTERVAL).await;
    }
}

/// Waits for the right to be the next owner of the folder.
async fn until_next_lock(folder: &Path) -> io::Result<FolderLock> {
    loop {
        if let Some(lock) = FolderLock::try_next_owner(folder)? {
            return Ok(lock);
        }
        Timer::after(LOCK_RETRY_INTERVAL).await;
    }
}

/// Connects to the owner of the folder, requests the hand-over and reads the owner's state. A status other than 200 and 415
/// is treated like a connection that ended too early, so the request is repeated.
async fn request_state(
    owner: &Owner,
    executor: &LocalExecutor<'static>,
) -> Result<(InheritedState, Link), HandOverError> {
    let stream = connect(owner.operator).await.map_err(HttpError::Socket)?;
    let mut connection = HttpConnection::new(stream);
    let Owner { operator, token } = owner;
    let request = format!(
        "POST /admin/handover HTTP/1.1\r\nHost: {operator}\r\nX-Token: {token}\r\n\
         X-Format: {FORMAT_VERSION}\r\n{ACCEPTED_FRAMES_HEADER}: {LIST_LINE_FRAME}, {READ_ENDS_FRAMES}\r\nContent-Length: 0\r\n\r\n"
    );
    connection.write(request.as_bytes()).await.map_err(HttpError::Socket)?;
    match connection.read_response().await?.status {
        200 => {}
        415 => return Err(HandOverError::FormatDiffers),
        _ => return Err(HttpError::UnexpectedEnd.into()),
    }
    let mut link = Link::new(connection, executor)?;
    let ReceivedFrame { head: PredecessorFrame::State(mut state), .. } = link.read().await? else {
        return Err(HandOverError::StateNotFirst);
    };
    // On an error the link is dropped, and the predecessor continues to serve.
    let policy = serde_json::from_str(state.policy.get()).map_err(|_| HandOverError::PolicyNotParsed)?;
    state.policy = RawValue::NULL.to_owned();
    Ok((InheritedState { state, policy }, link))
}

impl FolderClaim {
    /// The sender of frames to the predecessor, if it hands over.
    pub fn predecessor(&self) -> Option<FrameSender> {
        self.link.as_ref().map(|link| link.frames.clone())
    }

    /// Whether a fence is that of the predecessor that hands over.
    pub fn is_of_predecessor(&self, fence: &Fence) -> bool {
        self.linked_owner.as_ref().is_some_and(|owner| owner.token == fence.id())
    }

    /// Acquires the owner's lock of the state folder. Call it after this process has read the folder and opened its
    /// listeners. Returns `false` if the predecessor did not release the lock and so continues to serve: the start must then
    /// be begun again. The journal is that of the folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the fence of the predecessor cannot be written, or the lock still cannot be used after 20 seconds.
    pub async fn take_over(&mut self, config: &Config, journal: &Journal) -> io::Result<bool> {
        if let Some((owner, inherited)) = self.linked_owner.as_ref().zip(self.inherited.as_ref()) {
            let is_journaled = |attempt: &AttemptId| journal.is_in_flight(attempt.message.0, attempt.number);
            let attempts = inherited.state.attempts_in_flight().into_iter().filter(is_journaled).collect();
            let has_space = |bytes| journal.has_space_for_file(bytes);
            fence::write_substitute(&config.state_folder, owner, attempts, has_space)?;
        }
        if let Some(link) = &mut self.link {
            let lock_released = async {
                link.frames.send(&SuccessorFrame::ReadyToOwn).await?;
                link.read::<PredecessorFrame>().await
            };
            // The result does not matter: if the predecessor is gone, its lock is free all the same.
            let _ = within(PREDECESSOR_TIMEOUT, lock_released).await;
        }
        let started_at = Instant::now();
        while self.owner_lock.is_none() {
            match FolderLock::try_owner(&config.state_folder) {
                Ok(lock) if lock.is_none() && started_at.elapsed() > PREDECESSOR_TIMEOUT => return Ok(false),
                Ok(lock) => self.owner_lock = lock,
                // Before this, errors are retried: the predecessor no longer serves, so if this process ended as well, no
                // process would be left.
                Err(error) if started_at.elapsed() > LOCK_ERROR_TIMEOUT => return Err(error),
                Err(_) => {}
            }
            Timer::after(RELEASED_LOCK_RETRY_INTERVAL).await;
        }
        Ok(true)
    }

    /// Starts to write this process's address into the state folder and to serve what the predecessor forwards. Another
    /// process can become the next owner from here on. `fence` is that of the predecessor, if it has one.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder was not taken over.
    pub fn start_serving(
        self,
        context: &Rc<Context>,
        this_process: Owner,
        endpoint_list: &Sender<EndpointListMessage>,
        fence: Option<Fence>,
    ) -> io::Result<()> {
        let owner_lock =
            self.owner_lock.ok_or_else(|| io::Error::other("this process does not own the state folder"))?;
        context.folder_ownership.acquire(owner_lock, &this_process);
        context
            .executor
            .spawn(write_owner(context.folder_ownership.clone(), context.log.clone(), this_process))
            .detach();
        if let Some(link) = self.link {
            let serving = served_frames::serve(context.clone(), link, endpoint_list.clone(), fence);
            context.executor.spawn(serving).detach();
        }
        Ok(())
    }
}

/// Writes this process's address into the state folder, and retries until that succeeds. Until then this process serves, but
/// no successor can request a hand-over from it.
async fn write_owner(folder: Rc<FolderOwnership>, log: Logger, owner: Owner) {
    while let Err(error) = folder.write_owner(&owner) {
        warn!(log, "cannot write the owner's address, retrying"; "reason" => "folder", "error" => %error);
        Timer::after(WRITE_OWNER_RETRY_PAUSE).await;
    }
}
