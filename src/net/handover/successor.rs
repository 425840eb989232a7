//! The successor's side of a hand-over: it claims the state folder, asks the predecessor for its state, and takes over.

use super::frames::{HandOverState, PredecessorFrame, SuccessorFrame};
use super::frames::{ACCEPTED_FRAMES_HEADER, FORMAT, LIST_LINE_FRAME};
use super::link::{FrameSender, HandOverError, Link, ReceivedFrame};
use super::lock::{self, Lock, Owner};
use super::ownership::FolderOwnership;
use super::served_frames;
use crate::net::config::Config;
use crate::net::dial::connect;
use crate::net::http::{HttpConnection, HttpError};
use crate::net::messages::EndpointListMessage;
use crate::net::{within, Context};
use crate::DeliveryPolicy;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use slog::{info, warn, Logger};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The predecessor answers, and releases its lock, within this.
const ANSWERED_WITHIN: Duration = Duration::from_millis(2000);
/// A lock that cannot be used is tried again for so long.
const LOCKABLE_WITHIN: Duration = Duration::from_secs(20);
/// Time between two looks at a lock that another process has.
const LOCK_POLL: Duration = Duration::from_millis(20);
/// The same once the predecessor has granted it: clients wait.
const GRANTED_LOCK_POLL: Duration = Duration::from_millis(2);
/// Time between two tries to write the owner's address.
const WRITE_OWNER_RETRY: Duration = Duration::from_millis(100);

/// What a successor has of its predecessor.
pub struct Inherited {
    /// The predecessor's state; its policy is taken out.
    pub state: Box<HandOverState>,
    /// The predecessor's delivery policy.
    pub policy: DeliveryPolicy,
}

/// A claim to the state folder.
pub struct FolderClaim {
    /// Kept until this process has its address in the folder, so that no third one can come between.
    _next: Lock,
    owner: Option<Lock>,
    link: Option<Link>,
    /// What the predecessor has sent, if there is one.
    pub inherited: Option<Inherited>,
}

/// Claims the folder: it is free, or its owner hands over, or its owner's end is waited for.
///
/// # Errors
///
/// The folder or its locks cannot be used.
pub async fn claim(
    config: &Config,
    log: &Logger,
    executor: &LocalExecutor<'static>,
) -> io::Result<FolderClaim> {
    std::fs::create_dir_all(&config.state_folder)?;
    let next = until_next(&config.state_folder).await?;
    let mut asks = true;
    loop {
        let owner = Lock::owner(&config.state_folder)?;
        if owner.is_some() {
            return Ok(FolderClaim { _next: next, owner, link: None, inherited: None });
        }
        if let Some(predecessor) = lock::read_owner(&config.state_folder).filter(|_| asks) {
            let asking = within(ANSWERED_WITHIN, request_state(&predecessor, executor)).await;
            match asking.unwrap_or(Err(HttpError::TimedOut.into())) {
                Ok((inherited, link)) => {
                    let (link, inherited) = (Some(link), Some(inherited));
                    return Ok(FolderClaim { _next: next, owner, link, inherited });
                }
                Err(error) => {
                    info!(log, "hand-over not possible yet"; "reason" => error.code(), "error" => %error);
                    // A predecessor that is not understood never will be: its end is waited for.
                    asks = !error.is_permanent();
                }
            }
        }
        Timer::after(LOCK_POLL).await;
    }
}

/// Waits for the right to be the next owner.
async fn until_next(folder: &Path) -> io::Result<Lock> {
    loop {
        if let Some(lock) = Lock::next(folder)? {
            return Ok(lock);
        }
        Timer::after(LOCK_POLL).await;
    }
}

/// Asks the owner of the folder for its state.
async fn request_state(
    owner: &Owner,
    executor: &LocalExecutor<'static>,
) -> Result<(Inherited, Link), HandOverError> {
    let stream = connect(owner.operator).await.map_err(HttpError::Socket)?;
    let mut connection = HttpConnection::new(stream);
    let Owner { operator, token } = owner;
    let request = format!(
        "POST /admin/handover HTTP/1.1\r\nHost: {operator}\r\nX-Token: {token}\r\n\
         X-Format: {FORMAT}\r\n{ACCEPTED_FRAMES_HEADER}: {LIST_LINE_FRAME}\r\nContent-Length: 0\r\n\r\n"
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
    // The link is dropped with an error, and the predecessor serves on.
    let policy = serde_json::from_value(state.policy.take()).map_err(|_| HandOverError::PolicyNotRead)?;
    Ok((Inherited { state, policy }, link))
}

impl FolderClaim {
    /// What sends frames to the predecessor, if there is one.
    pub fn predecessor(&self) -> Option<FrameSender> {
        self.link.as_ref().map(|link| link.frames.clone())
    }

    /// Takes the folder over, once this process listens and has read it. `false` if the predecessor serves on after all: then
    /// everything is to be begun anew.
    ///
    /// # Errors
    ///
    /// The lock cannot be used.
    pub async fn take_over(&mut self, config: &Config) -> io::Result<bool> {
        if let Some(link) = &mut self.link {
            let granted = async {
                link.frames.send(&SuccessorFrame::Owns).await?;
                link.read::<PredecessorFrame>().await
            };
            // Where the predecessor is gone meanwhile, its lock is free all the same.
            let _ = within(ANSWERED_WITHIN, granted).await;
        }
        let begun = Instant::now();
        while self.owner.is_none() {
            match Lock::owner(&config.state_folder) {
                Ok(owner) if owner.is_none() && begun.elapsed() > ANSWERED_WITHIN => return Ok(false),
                Ok(owner) => self.owner = owner,
                // The predecessor has stepped down for this process: what fails for a moment must not cost it both.
                Err(error) if begun.elapsed() > LOCKABLE_WITHIN => return Err(error),
                Err(_) => {}
            }
            Timer::after(GRANTED_LOCK_POLL).await;
        }
        Ok(true)
    }

    /// Writes this process's address into the folder, lets another process be next, and serves what the predecessor forwards.
    ///
    /// # Errors
    ///
    /// The folder was not taken over.
    pub fn start_serving(
        self,
        context: &Rc<Context>,
        this_process: Owner,
        endpoint_list: &Sender<EndpointListMessage>,
    ) -> io::Result<()> {
        let owner = self.owner.ok_or_else(|| io::Error::other("the folder is not owned"))?;
        context.folder_ownership.acquire(owner, &this_process.token);
        context
            .executor
            .spawn(write_owner(context.folder_ownership.clone(), context.log.clone(), this_process))
            .detach();
        if let Some(link) = self.link {
            let serving = served_frames::serve(context.clone(), link, endpoint_list.clone());
            context.executor.spawn(serving).detach();
        }
        Ok(())
    }
}

/// Writes this process's address into the folder. Until that is done nobody can ask it to hand over, and it serves all the same.
async fn write_owner(folder: Rc<FolderOwnership>, log: Logger, owner: Owner) {
    while let Err(error) = folder.write_owner(&owner) {
        warn!(log, "the owner's address is not written yet"; "reason" => "folder", "error" => %error);
        Timer::after(WRITE_OWNER_RETRY).await;
    }
}
