//! The state that all actors of a process share. The comment of each field names the component that writes it.

use super::config::Config;
use super::counters::Counters;
use super::endpoint::table::EndpointTable;
use super::endpoint::times::SharedResponseTimes;
use super::gauges::Gauges;
use super::handover::ownership::FolderOwnership;
use super::journal_handle::JournalHandle;
use super::messages::DeliveryMessage;
use super::platform::eureka::counts::RegistryCounts;
use super::platform::list_status::EndpointListStatus;
use super::receive_bounds::RequestMemory;
use super::request_ids::RequestIds;
use super::route_stats::RouteStatsTable;
use super::runtime::clock::Clock;
use super::runtime::lifecycle::Lifecycle;
use super::runtime::process_memory::ProcessMemory;
use super::runtime::stall_detector::StallDetector;
use crate::invariants::{Ledger, Rejection, Violation};
use crate::memory::{MemoryBudget, MemoryUser};
use crate::EndpointId;
use async_channel::Sender;
use async_executor::LocalExecutor;
use serde_json::{json, Value};
use slog::{error, info, Logger};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// The state that all actors of a process share.
pub struct Context {
    /// The process's logger.
    pub log: Logger,
    /// The clock by which all decisions are made.
    pub clock: Clock,
    /// The executor that runs the actors.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The mailbox of the delivery actor.
    pub delivery: Sender<DeliveryMessage>,
    /// The phase of start, hand-over and shutdown; written by [`runtime`](super::runtime), the hand-over and operators.
    pub lifecycle: Lifecycle,
    /// The endpoints that may be called; written by the endpoint list actor, and by calls whose response has a
    /// retry-after.
    pub endpoint_table: Rc<EndpointTable>,
    /// The memory budget; each user of memory holds permits of it.
    pub memory: Rc<MemoryBudget>,
    /// What the connections of clients share for their requests.
    pub request_memory: Rc<RequestMemory>,
    /// The status of the endpoint list; written by the endpoint list actor.
    pub endpoint_list: EndpointListStatus,
    /// Detects that this process was stopped or starved recently, so that data read now may have arrived much earlier.
    pub stall_detector: Rc<StallDetector>,
    /// The journal; written by the delivery actor and by calls.
    pub journal: JournalHandle,
    /// The lock of the state folder; written by the hand-over.
    pub folder_ownership: Rc<FolderOwnership>,
    /// Event counts since the start of the process; written by all actors.
    pub counters: Counters,
    /// The numbers of open messages, connections and calls; [`Gauges`] names the writer of each.
    pub gauges: Gauges,
    /// The request ids that are in use; written by the delivery actor.
    pub request_ids: RequestIds,
    /// The attempts made for each message, to detect violations of invariants; written by the delivery actor and by
    /// calls.
    pub ledger: RefCell<Ledger>,
    /// How long the endpoints take for their responses; written by the endpoints' actors.
    pub response_times: SharedResponseTimes,
    /// Message counts by the routes of the site file; written by the delivery actor.
    pub route_stats: RouteStatsTable,
    /// Counts of the requests to the registry; written by the registry poller.
    pub registry_counts: RegistryCounts,
    config: RefCell<Rc<Config>>,
    /// Whether another process of this forwarder takes a part of the memory.
    memory_shared: Cell<bool>,
    listen_address: SocketAddr,
}

/// The parts of a [`Context`] that the start of the process supplies.
pub struct ContextParts {
    /// The process's logger.
    pub log: Logger,
    /// The clock by which all decisions are made.
    pub clock: Clock,
    /// The executor that runs the actors.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The mailbox of the delivery actor.
    pub delivery: Sender<DeliveryMessage>,
    /// The handle of this process's journal.
    pub journal: JournalHandle,
    /// The configuration at the start, which may be replaced later.
    pub config: Config,
    /// The address on which clients connect, with the port that the system assigned.
    pub listen_address: SocketAddr,
}

impl Context {
    /// Creates the context of a process that starts.
    pub fn new(parts: ContextParts) -> Self {
        let ContextParts { log, clock, executor, delivery, journal, config, listen_address } = parts;
        let memory = MemoryBudget::new(&config.memory_plan);
        let request_ids = RequestIds::new(memory.empty_permit(MemoryUser::EndedIds));
        Context {
            request_memory: RequestMemory::new(memory.clone()).into(),
            memory,
            endpoint_table: EndpointTable::new(clock, config.drain_grace).into(),
            stall_detector: StallDetector::new(clock.now()).into(),
            log,
            clock,
            executor,
            delivery,
            journal,
            listen_address,
            config: RefCell::new(Rc::new(config)),
            memory_shared: Cell::new(false),
            lifecycle: Lifecycle::default(),
            endpoint_list: EndpointListStatus::default(),
            folder_ownership: Rc::default(),
            counters: Counters::default(),
            gauges: Gauges::default(),
            request_ids,
            ledger: RefCell::default(),
            response_times: SharedResponseTimes::default(),
            route_stats: RouteStatsTable::default(),
            registry_counts: RegistryCounts::default(),
        }
    }

    /// The configuration in force; the caller keeps it when it is replaced.
    pub fn config(&self) -> Rc<Config> {
        self.config.borrow().clone()
    }

    /// Replaces the configuration. Users of the previous one keep it until they ask again.
    pub fn set_config(&self, config: Config) {
        *self.config.borrow_mut() = Rc::new(config);
        self.apply_memory_plan();
    }

    /// Sets whether another process of this forwarder takes a part of the memory, as in a hand-over. Each then has half of what
    /// both receive requests into.
    pub fn set_memory_shared(&self, shared: bool) {
        self.memory_shared.set(shared);
        self.apply_memory_plan();
    }

    fn apply_memory_plan(&self) {
        let plan = self.config().memory_plan;
        self.memory.set_shares(&plan);
        if self.memory_shared.get() {
            let request_bytes = plan.share_bytes(MemoryUser::Requests);
            self.memory.set_share(MemoryUser::Requests, request_bytes / 2);
        }
    }

    /// The address on which clients connect, with the port that the system assigned.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// Whether this process has an endpoint list and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.endpoint_list.is_known() && !self.lifecycle.is_shutting_down()
    }

    /// Whether clients may connect. After a hand-over, messages of clients that still connect here are forwarded to
    /// the successor.
    pub fn accepts_clients(&self) -> bool {
        (self.is_ready() || self.lifecycle.is_handed_over()) && !self.lifecycle.is_quiesced()
    }

    /// Whether client connections are closed after their next response.
    pub fn closes_connections_after_response(&self) -> bool {
        self.lifecycle.is_quiesced() || self.lifecycle.is_handed_over()
    }

    /// The JSON report of `/_counters`: the counters since the start of the process, and the gauges.
    pub fn report(&self) -> Value {
        let mut report = self.counters.report();
        if let Some(routes) = self.route_stats.report() {
            report["routes"] = routes;
        }
        if let Some(view) = self.endpoint_list.registry_view().as_ref() {
            report["registry"] = self.registry_counts.report(view, self.clock.now());
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
        let memory = ProcessMemory::read();
        report["memory"] = json!({"resident_bytes": memory.resident_bytes, "peak_bytes": memory.peak_bytes});
        for account in self.memory.report() {
            report["memory"][account.user.name()] =
                json!({"used_bytes": account.used_bytes, "share_bytes": account.share_bytes});
        }
        report
    }

    /// Counts and logs the rejection of a message.
    pub fn record_rejection(&self, request_id: &str, rejection: Rejection) {
        self.counters.count_rejection(rejection);
        info!(self.log, "message"; "state" => "rejected", "id" => request_id, "reason" => rejection.name());
    }

    /// Counts and logs a violation of an invariant, with the ids of the message and the endpoint. The process
    /// continues.
    pub fn record_violation(&self, violation: Violation, request_id: &str, endpoint: Option<EndpointId>) {
        self.counters.count_violation(violation);
        error!(self.log, "invariant violated"; "rule" => violation.name(), "id" => request_id,
            "endpoint" => endpoint.map(|endpoint| endpoint.0));
    }
}
