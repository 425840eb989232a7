//! The safety rules of the forwarder: whether a message may be admitted, a call sent or a connection reused now, which
//! response belongs to a call, and a run-time check that the rules were kept.
//!
//! Each check is a function without I/O that takes the relevant facts and returns `Ok` or a typed reason. The socket
//! code cannot write a call without a [`SendPermit`]. The [`Ledger`] is independent of these checks and of the policy:
//! it records what was actually done and reports each violation of a rule. It never stops the program.
//!
//! The rules are numbered in the documentation of [`crate::policy`]. In this module, a message has run if an endpoint
//! has processed it, and a repeat is an attempt of a message that may have run before. Endpoints drop repeats with the
//! same idempotency key.

pub mod admission;
pub mod attribution;
pub mod confirmation;
pub mod connection;
pub mod ledger;
pub mod response_history;
pub mod response_times;
pub mod send;

pub use admission::{may_admit, AdmissionFacts, Rejection};
pub use attribution::{
    attribute, Attribution, CallResponses, EarlierResponses, NamedMessages, ResponseFacts,
};
pub use connection::{may_reuse, CloseReason, IdleFacts};
pub use ledger::{Ledger, RepeatPolicy, TrackedAttempt, TrackedMessage, Violation};
pub use response_history::{
    is_refusal, ResponseDigest, ResponseHistory, ResponseIdentity, MAX_SURPLUS_RESPONSES,
};
pub use response_times::{ResponseTimes, ResponseTiming};
pub use send::{may_send, EndpointFacts, SendFacts, SendPermit, SendRefusal};
