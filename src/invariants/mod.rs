//! The one place that says whether something may be sent, accepted, reused or started now, and the run-time check that what
//! was done kept the rules.
//!
//! Facts come in, a permit or a typed reason comes out. The socket code cannot write a call without a [`SendPermit`]. The
//! [`Ledger`] is independent of that and of the policy: it records what was in fact done, names what breaks a rule, and never
//! stops the program. No I/O.

pub mod admission;
pub mod connection;
pub mod ledger;
pub mod send;

pub use admission::{may_admit, AdmissionFacts, Rejection};
pub use connection::{may_reuse, CloseReason, IdleFacts};
pub use ledger::{Ledger, RepeatPolicy, TrackedAttempt, TrackedMessage, Violation};
pub use send::{may_send, EndpointFacts, SendFacts, SendPermit, SendRefusal};
