//! An emulator in virtual time: it drives the delivery policy through its interface against destination models, under
//! a load that is uneven and clumped, and audits every rule while it runs. It has
//! no sockets; what the network code adds is outside of it.
//!
//! A day is drawn from a seed ([`world`]), played ([`simulation`]) under each variant of an experiment ([`experiment`]),
//! measured ([`figures`]) and reported ([`report`]). The same seed gives the same bytes.

pub mod audit;
pub mod capture;
pub mod experiment;
mod experiment_day;
pub mod figures;
pub mod fleet;
pub mod forwarder_config;
pub mod live;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod scenario_day;
pub mod simulation;
pub mod span;
pub mod table;
pub mod verdict;
pub mod view;
pub mod world;
