//! Tests the forwarder under load and faults, in virtual time and on sockets, and audits every delivery rule.
//!
//! An environment is generated from a seed ([`environment`]) for a scenario ([`scenario`]) or an experiment
//! ([`experiment`]). The simulation ([`simulation`]) runs the delivery policy against destination models in virtual time,
//! without sockets and without the network code. A live rehearsal ([`live`]) runs real forwarder processes on loopback.
//! Both audit the delivery rules ([`audit`]) and record figures ([`figures`]), which [`report`], [`fleet`] and [`verdict`]
//! present. In virtual time, the same seed gives the same bytes.

pub mod audit;
pub mod captured_traffic;
pub mod config_duration;
pub mod environment;
pub mod experiment;
mod experiment_environment;
pub mod figures;
pub mod fleet;
pub mod forwarder_config;
pub mod live;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod scenario_environment;
pub mod simulation;
pub mod table;
pub mod verdict;
pub mod view;
