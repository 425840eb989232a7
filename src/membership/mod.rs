//! The endpoint list, from several sources: the view of each source is kept by itself, and the views are merged into the one
//! list that the policy and the endpoint table get. It decides what of an update is believed and when an endpoint that
//! returns is used again. It does no I/O, takes time as an argument, and implies nothing about health.
//!
//! | module | concern |
//! |---|---|
//! | `listing` | what sources say, and the changes that follow |
//! | `source_view` | one source: what it said, and what of that is believed |
//! | `merged_list` | the one list, with the operators' cordons applied |
//! | `merge` | which entries of the views make an endpoint of the list |
//! | `poll` | which registry is polled next, and when |
//! | `watch_backoff` | when the watch of the pushed list is opened next |
//! | `settings` | what the site file says of a registry |
//!
//! `docs/registry.md` weighs the ways; `docs/operating-registry.md` is for operators.

mod listing;
mod merge;
mod merged_list;
mod poll;
mod settings;
mod source_view;
mod watch_backoff;

pub use listing::{Key, Listing, MembershipChange, SourceId, SourceUpdate, State};
pub use merged_list::{Membership, MembershipSnapshot};
pub use poll::{PollKind, PollRequest, Poller};
pub use settings::{MetadataNames, PollBackoff, PollScope, Registration, RegistryAddress, RegistrySettings};
pub use source_view::{HoldDown, ShrinkGuard, SourcePolicy, SourceStats};
pub use watch_backoff::WatchBackoff;
