//! Opens what a process needs before its actors start: the claim to the state folder, the journal and the listeners.

use super::clock::Clock;
use crate::journal::{Journal, RestoredJournal, UnreadableSegmentPolicy};
use crate::memory;
use crate::net::client::{self, ListenOptions};
use crate::net::config::Config;
use crate::net::handover::{self, FolderClaim};
use crate::net::storage::FolderStorage;
use crate::Micros;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use rustix::io::Errno;
use slog::{warn, Logger};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The pause before a start that failed with a transient error is retried.
pub(super) const START_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How long the start is retried if a journal segment cannot be read. After that the process starts without the segment and
/// leaves it for a later start.
const UNREADABLE_SEGMENT_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a start is retried that fails with a transient error.
const START_TIMEOUT: Duration = Duration::from_secs(25);
/// The number of operators' connections that wait to be accepted.
const OPERATOR_BACKLOG: usize = 64;

/// Why a process could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The state folder cannot be used.
    #[error("state folder `{}`: {}", .0.display(), .1)]
    Folder(PathBuf, #[source] io::Error),
    /// A listener cannot be opened. The fields are the users of the listener (`"for operators "`, or empty for clients), its
    /// address, and the error.
    #[error("cannot listen {0}on {1}: {2}")]
    Listen(&'static str, SocketAddr, #[source] io::Error),
}

impl StartError {
    /// Whether a retry may succeed: the system was short of a resource, a system call was interrupted, or the storage
    /// failed.
    fn is_transient(&self) -> bool {
        let (StartError::Folder(_, error) | StartError::Listen(_, _, error)) = self;
        let transient =
            [Errno::IO, Errno::NOSPC, Errno::INTR, Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
        error.raw_os_error().is_some_and(|number| transient.contains(&Errno::from_raw_os_error(number)))
    }
}

/// What a process opens before its actors start.
pub(super) struct OpenedResources {
    /// The claim to the state folder; `None` if the configuration has no operator address, as hand-overs need one.
    pub claim: Option<FolderClaim>,
    pub listeners: Listeners,
    pub journal: Journal,
    pub restored: RestoredJournal,
}

/// Claims the state folder, reads it and opens the listeners. A transient failure is retried, because the accepted messages
/// in the journal must still be delivered.
pub(super) async fn open(
    config: &Config,
    clock: Clock,
    log: &Logger,
    executor: &LocalExecutor<'static>,
) -> Result<OpenedResources, StartError> {
    let started_at = Instant::now();
    loop {
        let unreadable = match started_at.elapsed() < UNREADABLE_SEGMENT_TIMEOUT {
            true => UnreadableSegmentPolicy::Fail,
            false => UnreadableSegmentPolicy::KeepForLaterStart,
        };
        let error = match open_once(config, clock, unreadable, log, executor).await {
            Ok(Some(opened)) => return Ok(opened),
            Ok(None) => {
                warn!(log, "the predecessor continues to serve, requesting the hand-over again");
                continue;
            }
            Err(error) => error,
        };
        if !error.is_transient() || started_at.elapsed() > START_TIMEOUT {
            return Err(error);
        }
        warn!(log, "cannot start yet, retrying"; "reason" => "system", "error" => %error);
        Timer::after(START_RETRY_PAUSE).await;
    }
}

/// Tries once to claim and read the state folder and to open the listeners. Returns `None` if the predecessor did not
/// release the folder and continues to serve.
async fn open_once(
    config: &Config,
    clock: Clock,
    unreadable: UnreadableSegmentPolicy,
    log: &Logger,
    executor: &LocalExecutor<'static>,
) -> Result<Option<OpenedResources>, StartError> {
    let folder_error = |error: io::Error| StartError::Folder(config.state_folder.clone(), error);
    let mut claim = match config.operator_address {
        Some(_) => Some(handover::claim(config, log, executor).await.map_err(folder_error)?),
        None => None,
    };
    let storage = FolderStorage::open(&config.state_folder).map_err(folder_error)?;
    let (limit, salt) = (config.folder_limit(), fastrand::u32(..));
    let opened = Journal::open(Box::new(storage), limit, move || clock.reading(), salt, unreadable);
    let (journal, restored) = opened.map_err(folder_error)?;
    let listeners = Listeners::open(config, clock)?;
    if let Some(claim) = &mut claim {
        if !claim.take_over(config, &journal).await.map_err(folder_error)? {
            return Ok(None);
        }
    }
    Ok(Some(OpenedResources { claim, listeners, journal, restored }))
}

/// The listeners of this process.
pub(super) struct Listeners {
    /// The address on which clients connect, with the port that the system assigned.
    pub client_address: SocketAddr,
    pub clients: Async<TcpListener>,
    /// The time from which clients could connect, in microseconds of [`Clock`].
    pub listening_since: Micros,
    /// The operators' address and listener; `None` if none is configured.
    pub operators: Option<(SocketAddr, Async<TcpListener>)>,
}

impl Listeners {
    fn open(config: &Config, clock: Clock) -> Result<Listeners, StartError> {
        let open = |address: SocketAddr, options: ListenOptions, purpose: &'static str| {
            let opened = client::listen(address, options)
                .and_then(|listener| Ok((listener.get_ref().local_addr()?, listener)));
            opened.map_err(|error| StartError::Listen(purpose, address, error))
        };
        let listening_since = clock.now();
        let client_options = ListenOptions {
            // A successor can listen on the clients' address before its predecessor stops listening there.
            reuse_port: config.operator_address.is_some(),
            backlog: memory::plan::BACKLOG,
            socket_buffer_bytes: Some(config.memory_plan.socket_buffer_bytes),
        };
        let operator_options =
            ListenOptions { reuse_port: false, backlog: OPERATOR_BACKLOG, socket_buffer_bytes: None };
        let (client_address, clients) = open(config.listen_address, client_options, "")?;
        let operators = config
            .operator_address
            .map(|address| open(address, operator_options, "for operators "))
            .transpose()?;
        Ok(Listeners { client_address, clients, listening_since, operators })
    }
}
