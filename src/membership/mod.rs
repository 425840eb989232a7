//! Merges the endpoint lists of several sources. Each source has a view of its own, and the views are merged into the one
//! list that the delivery policy and the endpoint table use. This module decides which parts of an update are accepted, and
//! when an endpoint that returns to service is used again. It does no I/O, takes time as an argument, and says nothing about
//! the health of endpoints.
//!
//! | module | content |
//! |---|---|
//! | `listing` | entries and updates of a source, and the changes of the merged list |
//! | `source_view` | the view of one source: its entries, and which updates are accepted |
//! | `merged_list` | the merged list, with the operators' cordons applied |
//! | `merge` | which entries of the views become endpoints of the merged list |
//! | `poll` | which registry address is polled next, and when |
//! | `watch_backoff` | the delay before the watch of the pushed list is opened again |
//! | `settings` | the registry settings of the site file |
//!
//! `docs/registry.md` compares the design alternatives; `docs/operating-registry.md` is the guide for operators.

mod listing;
mod merge;
mod merged_list;
mod poll;
mod settings;
mod small_set;
mod source_view;
mod watch_backoff;

pub use listing::{EntryKey, EntryState, Listing, MembershipChange, SourceId, SourceUpdate};
pub use merged_list::{Membership, MembershipSnapshot};
pub use poll::{PollKind, PollRequest, PollSchedule};
pub use settings::{MetadataNames, PollBackoff, PollScope, Registration, RegistryAddress, RegistrySettings};
pub use source_view::{HoldDown, ShrinkGuard, SourcePolicy, SourceStats};
pub use watch_backoff::{Rejection, WatchBackoff, MAX_REQUEST_INTERVAL};
