//! Derives from the limits in the configuration how many bytes each user of memory may hold.
//!
//! The processes of a forwarder share its memory with each other, with the files of the state folder and with the kernel's
//! buffers for their sockets. So the plan sets aside, in this order: what a process needs by itself, for a forwarder that can
//! hand over twice; the files; then a share for each user. Nothing of it is taken from what another has.

use super::MemoryUser;

/// A megabyte, as the limits count it.
const MEGABYTE: usize = 1_000_000;
/// What a process needs besides the shares of the plan: its code and stacks, the decisions, the endpoint list, the log's queue,
/// and what the allocator cannot give back.
const PROCESS_BYTES: usize = 8 * MEGABYTE;
/// What a client's connection may hold without a reservation: its task, and the request while it is small.
pub const CONNECTION_BYTES: usize = 8 * 1024;
/// How much of a request a connection may hold without a reservation, in bytes.
pub const SMALL_REQUEST_BYTES: usize = 2 * 1024;
/// What an open message takes besides its body, and its delivery report later, in bytes.
pub const MESSAGE_OVERHEAD_BYTES: usize = 2 * 1024;
/// The least that remains for the shares.
const MIN_SHARES_BYTES: usize = 4 * MEGABYTE;
/// The least connections to clients with which a forwarder is of use.
const MIN_CLIENT_CONNECTIONS: usize = 16;
/// The length of the listener's queue, in connections. In a shorter one, a burst would make the system drop connections, whose
/// clients try again only after a second.
pub const BACKLOG: usize = 1024;
/// The smallest receive buffer that the kernel grants, in bytes as the socket option counts them.
const MIN_SOCKET_BUFFER_BYTES: usize = 1152;
/// The largest receive buffer of a client's connection; it holds the largest request.
const MAX_SOCKET_BUFFER_BYTES: usize = 64 * 1024;
/// The kernel charges for a buffer up to this many times what the socket option sets.
const SOCKET_BUFFER_CHARGE: usize = 2;

/// What the files of the state folder may take of the memory: a quarter.
const FILES_DIVISOR: usize = 4;
/// The kernel's buffers for clients' connections and for the listener's queue: a third of the shares.
const KERNEL_DIVISOR: usize = 3;
/// The connections of clients: a third.
const CONNECTIONS_DIVISOR: usize = 3;
/// Messages: a tenth.
const MESSAGES_DIVISOR: usize = 10;
/// The endpoint list while it is received: a sixteenth.
const LISTS_DIVISOR: usize = 16;
/// Large responses to clients: a sixteenth.
const RESPONSES_DIVISOR: usize = 16;
/// Responses of endpoints: a thirty-second.
const ENDPOINT_RESPONSES_DIVISOR: usize = 32;

/// The ids of ended messages: a thirty-second.
const ENDED_IDS_DIVISOR: usize = 32;

/// The limits in the configuration from which a plan is derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// What the forwarder's processes, files and kernel buffers may take together, in bytes.
    pub memory_bytes: usize,
    /// The maximum number of open file descriptors.
    pub descriptors: usize,
    /// The maximum size of the state folder, in bytes.
    pub disk_bytes: u64,
    /// Whether a successor may take over, so that two processes run meanwhile.
    pub hands_over: bool,
}

/// The memory limit is too small to run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("setting `limits.memory_mb`: {given_mb} MB are too little, at least {least_mb} are needed")]
pub struct TooLittleMemory {
    /// The limit in the configuration, in megabytes.
    pub given_mb: usize,
    /// The least limit that is enough with the other limits, in megabytes.
    pub least_mb: usize,
}

/// What each user of memory may hold, and what follows from that for connections, buffers and files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The maximum number of clients' connections.
    pub client_connections: usize,
    /// The receive buffer of a client's connection, and its send buffer, in bytes as the socket options count them.
    pub socket_buffer_bytes: usize,
    /// What the journal and the other files of the state folder may take, in bytes.
    pub file_bytes: u64,
    request_bytes: usize,
    response_bytes: usize,
    endpoint_response_bytes: usize,
    message_bytes: usize,
    list_bytes: usize,
    ended_id_bytes: usize,
}

impl MemoryPlan {
    /// Derives a plan from the limits.
    ///
    /// # Errors
    ///
    /// Returns an error with the least value if the memory limit is too small.
    pub fn derive(limits: &MemoryLimits) -> Result<MemoryPlan, TooLittleMemory> {
        let given_mb = limits.memory_bytes / MEGABYTE;
        let with_mb = |mb: usize| MemoryPlan::fit(&MemoryLimits { memory_bytes: mb * MEGABYTE, ..*limits });
        MemoryPlan::fit(limits).ok_or_else(|| {
            let least_mb = (given_mb..).find(|mb| with_mb(*mb).is_some()).unwrap_or(usize::MAX);
            TooLittleMemory { given_mb, least_mb }
        })
    }

    /// The plan for the limits; `None` if the memory limit is too small.
    fn fit(limits: &MemoryLimits) -> Option<MemoryPlan> {
        let processes = if limits.hands_over { 2 } else { 1 };
        let available = limits.memory_bytes.checked_sub(processes * PROCESS_BYTES)?;
        let disk_bytes = usize::try_from(limits.disk_bytes).unwrap_or(usize::MAX);
        let file_bytes = disk_bytes.min(available / FILES_DIVISOR);
        let shares = available - file_bytes;
        let kernel_bytes = shares / KERNEL_DIVISOR;
        let connections = (shares / CONNECTIONS_DIVISOR / CONNECTION_BYTES).min(limits.descriptors / 2);
        if shares < MIN_SHARES_BYTES || connections < MIN_CLIENT_CONNECTIONS {
            return None;
        }
        let socket_buffer = kernel_bytes / (connections + BACKLOG) / SOCKET_BUFFER_CHARGE;
        let message_bytes = shares / MESSAGES_DIVISOR;
        let list_bytes = shares / LISTS_DIVISOR;
        let response_bytes = shares / RESPONSES_DIVISOR;
        let ended_id_bytes = shares / ENDED_IDS_DIVISOR;
        let connection_bytes = connections * CONNECTION_BYTES;
        let endpoint_response_bytes = shares / ENDPOINT_RESPONSES_DIVISOR;
        let responses = response_bytes + endpoint_response_bytes;
        let reserved =
            kernel_bytes + connection_bytes + message_bytes + list_bytes + responses + ended_id_bytes;
        Some(MemoryPlan {
            client_connections: connections,
            socket_buffer_bytes: socket_buffer.clamp(MIN_SOCKET_BUFFER_BYTES, MAX_SOCKET_BUFFER_BYTES),
            file_bytes: file_bytes as u64,
            request_bytes: shares - reserved,
            response_bytes,
            endpoint_response_bytes,
            message_bytes,
            list_bytes,
            ended_id_bytes,
        })
    }

    /// What a user may hold, in bytes.
    pub fn share_bytes(&self, user: MemoryUser) -> usize {
        match user {
            MemoryUser::Requests => self.request_bytes,
            MemoryUser::Responses => self.response_bytes,
            MemoryUser::EndpointResponses => self.endpoint_response_bytes,
            MemoryUser::Messages => self.message_bytes,
            MemoryUser::EndpointLists => self.list_bytes,
            MemoryUser::EndedIds => self.ended_id_bytes,
        }
    }
}
