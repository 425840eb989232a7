//! The handles that all actors of a process share. Each piece of state behind them has one owner, which its field names.

use super::config::Config;
use super::counters::Counters;
use super::endpoint::table::EndpointTable;
use super::gauges::Gauges;
use super::handover::ownership::FolderOwnership;
use super::journal_handle::JournalHandle;
use super::messages::DeliveryMessage;
use super::platform::eureka::counts::RegistryCounts;
use super::platform::list_status::EndpointListStatus;
use super::request_ids::RequestIds;
use super::route_stats::Routes;
use super::runtime::clock::Clock;
use super::runtime::lifecycle::Lifecycle;
use super::runtime::stall_detector::StallDetector;
use crate::invariants::{Ledger, Rejection, Violation};
use crate::EndpointId;
use async_channel::Sender;
use async_executor::LocalExecutor;
use serde_json::Value;
use slog::{error, info, Logger};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// What all actors of a process share.
pub struct Context {
    /// Where the log goes.
    pub log: Logger,
    /// The clock of all decisions.
    pub clock: Clock,
    /// Runs the actors.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The mailbox of the delivery actor.
    pub delivery: Sender<DeliveryMessage>,
    /// How far start, hand-over and shutdown have come; written by [`runtime`](super::runtime), the hand-over and operators.
    pub lifecycle: Lifecycle,
    /// What binds the first byte of every call; written by the endpoint list actor and by calls whose response asks to wait.
    pub endpoint_table: Rc<EndpointTable>,
    /// What the endpoint list actor shows of the list.
    pub endpoint_list: EndpointListStatus,
    /// Whether this process was stopped or starved of late, and since when what is read now may have lain unread.
    pub stall_detector: Rc<StallDetector>,
    /// The journal; written by the delivery actor and by calls.
    pub journal: JournalHandle,
    /// The lock of the state folder; owned by the hand-over.
    pub folder: Rc<FolderOwnership>,
    /// Counts since the start of the process.
    pub counters: Counters,
    /// What is open, connected and in flight now.
    pub gauges: Gauges,
    /// The request ids that are in use; owned by the delivery actor.
    pub request_ids: RequestIds,
    /// What was done for each message, checked against the rules.
    pub ledger: RefCell<Ledger>,
    /// Counts by the routes of the site file; written by the delivery actor.
    pub routes: Routes,
    /// Counts of the requests to the registry.
    pub registry: RegistryCounts,
    config: RefCell<Rc<Config>>,
    listen: SocketAddr,
}

/// What a [`Context`] is made of that only the start of the process knows.
pub struct ContextParts {
    /// Where the log goes.
    pub log: Logger,
    /// The clock of all decisions.
    pub clock: Clock,
    /// Runs the actors.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The mailbox of the delivery actor.
    pub delivery: Sender<DeliveryMessage>,
    /// The journal.
    pub journal: JournalHandle,
    /// The configuration.
    pub config: Config,
    /// Where clients connect, with the port that the system gave.
    pub listen: SocketAddr,
}

impl Context {
    /// The handles of a process that starts.
    pub fn new(parts: ContextParts) -> Self {
        let ContextParts { log, clock, executor, delivery, journal, config, listen } = parts;
        Context {
            endpoint_table: EndpointTable::new(clock, config.drain_grace).into(),
            stall_detector: StallDetector::new(clock.now()).into(),
            log,
            clock,
            executor,
            delivery,
            journal,
            listen,
            config: RefCell::new(Rc::new(config)),
            lifecycle: Lifecycle::default(),
            endpoint_list: EndpointListStatus::default(),
            folder: Rc::default(),
            counters: Counters::default(),
            gauges: Gauges::default(),
            request_ids: RequestIds::default(),
            ledger: RefCell::default(),
            routes: Routes::default(),
            registry: RegistryCounts::default(),
        }
    }

    /// The configuration that is in force.
    pub fn config(&self) -> Rc<Config> {
        self.config.borrow().clone()
    }

    /// Puts another configuration in force.
    pub fn set_config(&self, config: Config) {
        *self.config.borrow_mut() = Rc::new(config);
    }

    /// Where clients connect, with the port that the system gave.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Whether this process has an endpoint list and is not shutting down.
    pub fn ready(&self) -> bool {
        self.endpoint_list.is_known() && !self.lifecycle.is_closing()
    }

    /// Whether clients may connect. Where a successor has taken over, those that still come are forwarded to it.
    pub fn accepts_clients(&self) -> bool {
        (self.ready() || self.lifecycle.is_handed_over()) && !self.lifecycle.is_quiesced()
    }

    /// Whether a client's connection is closed after its response.
    pub fn closes_after_response(&self) -> bool {
        self.lifecycle.is_quiesced() || self.lifecycle.is_handed_over()
    }

    /// The report of `/_counters`: counters since the start of the process, and what is in flight now.
    pub fn report(&self) -> Value {
        let mut report = self.counters.report();
        if let Some(routes) = self.routes.report() {
            report["routes"] = routes;
        }
        if let Some(view) = self.endpoint_list.registry_view().as_ref() {
            report["registry"] = self.registry.report(view, self.clock.now());
            report["drains"] = self.endpoint_table.drain_report();
        }
        if self.config().operator_address.is_some() {
            report["cordoned"] = self.endpoint_list.cordoned().into();
            report["handed_over"] = self.lifecycle.is_handed_over().into();
            report["sends_away"] = self.lifecycle.is_quiesced().into();
        }
        report["user_agents"] = self.gauges.client_connections.get().into();
        report["open"] = self.gauges.open_messages.get().into();
        report["notices_owed"] = self.gauges.reports_pending.get().into();
        let usage = self.journal.usage();
        report["journal_bytes"] = usage.disk_bytes.into();
        report["journal_owed"] = usage.unwritten_records.into();
        report["journal_writable"] = self.journal.is_writable().into();
        report
    }

    /// Counts and logs a message that is rejected.
    pub fn rejected(&self, request_id: &str, rejection: Rejection) {
        self.counters.rejected(rejection);
        info!(self.log, "message"; "state" => "rejected", "id" => request_id, "reason" => rejection.name());
    }

    /// Counts and logs a violation of a rule, with the ids that it is about. The process goes on.
    pub fn violated(&self, violation: Violation, request_id: &str, endpoint: Option<EndpointId>) {
        self.counters.violation(violation);
        error!(self.log, "invariant violated"; "rule" => violation.name(), "id" => request_id,
            "endpoint" => endpoint.map(|e| e.0));
    }
}
