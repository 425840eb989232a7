//! The memory budget of a process: how many bytes each user of memory may hold, derived from the limits in the configuration, and
//! the permits by which they are admitted. Nothing in this module does I/O or reads a clock.
//!
//! | module | content |
//! |---|---|
//! | [`plan`] | derives the share of each user, and what follows from it, from the limits |
//! | [`budget`] | the accounts of the users, and the permits that give their bytes back when they are dropped |

pub mod budget;
pub mod plan;

pub use budget::{AccountReport, MemoryBudget, MemoryPermit, OutOfMemory};
pub use plan::{MemoryLimits, MemoryPlan, TooLittleMemory};

/// A user of memory, with a share of the budget of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryUser {
    /// Clients' requests that are larger than what each connection may hold anyway, while they are received and decided on.
    Requests,
    /// Responses to clients that are larger than a few lines, until they are written.
    Responses,
    /// Responses of endpoints and of the platform that are larger than a few lines, until they were evaluated.
    EndpointResponses,
    /// Messages that were accepted, until they have ended and their delivery report is confirmed.
    Messages,
    /// Lists of endpoints while they are received.
    EndpointLists,
    /// The ids of messages that have ended.
    EndedIds,
}

impl MemoryUser {
    /// All users.
    pub const ALL: [MemoryUser; 6] = [
        MemoryUser::Requests,
        MemoryUser::Responses,
        MemoryUser::EndpointResponses,
        MemoryUser::Messages,
        MemoryUser::EndpointLists,
        MemoryUser::EndedIds,
    ];

    /// The name of the user in counters and logs.
    pub fn name(self) -> &'static str {
        match self {
            MemoryUser::Requests => "requests",
            MemoryUser::Responses => "responses",
            MemoryUser::EndpointResponses => "endpoint-responses",
            MemoryUser::Messages => "messages",
            MemoryUser::EndpointLists => "endpoint-lists",
            MemoryUser::EndedIds => "ended-ids",
        }
    }
}
