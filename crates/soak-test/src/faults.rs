//! Injects faults, drawn by the seed. Several tasks inject one fault after another, so that faults of each group of
//! forwarders, of endpoints, of discovery and of clients overlap.

use crate::endpoint;
use crate::environment::{
    sleep, Behaviour, DiscoveryState, Endpoint, Environment, Refusal, NOTIFIED_AT_LATEST,
};
use crate::forwarder::Forwarder;
use async_io::Async;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of forwarders in a group, which share their faults.
const GROUP_SIZE: usize = 5;
/// Number of tasks that each inject faults into one group of forwarders, one fault at a time. For the whole run, one task
/// fewer injects faults of endpoints, discovery and idle clients in the same way.
const CONCURRENT_FAULTS_PER_GROUP: usize = 3;
/// Number of idle clients that connect to one forwarder, which has room for 128 connections.
const IDLE_CLIENTS_PER_FORWARDER: usize = 160;
/// The most forwarders that idle clients connect to at a time.
const MAX_FORWARDERS_WITH_IDLE_CLIENTS: usize = 6;
/// Share of the outages that hit the busy destination in any case; the rest is spread over all destinations.
const BUSY_OUTAGE_SHARE: f64 = 0.4;
/// Share of the draining endpoints that establish connections late.
const LATE_CONNECTION_SHARE: f64 = 0.5;
/// Length of an injected stall before a write, in milliseconds. The platform's terms allow 0.15 s between a process's
/// reading of its clock and its write; the remaining 10 ms are for everything else in between.
const WRITE_STALL_MS: u64 = 140;
/// The longest time for which fault rules are in force at a forwarder.
const LONGEST_FAULT: Duration = Duration::from_millis(1_500);
/// How often it is checked whether the forwarders can ask for the list.
const REACHABILITY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// An hour in microseconds.
const HOUR_MICROS: i64 = 3_600_000_000;

/// Starts the tasks that inject faults until `faults_ended` is set.
pub async fn run(environment: Rc<Environment>, forwarders: Rc<Vec<Rc<Forwarder>>>) {
    for group in forwarders.chunks(GROUP_SIZE) {
        for _ in 0..CONCURRENT_FAULTS_PER_GROUP {
            let (environment, group) = (environment.clone(), group.to_vec());
            environment.clone().spawn(async move {
                while !environment.faults_ended.get() {
                    sleep(environment.random_duration(0, 150)).await;
                    inject_forwarder_fault(&environment, &group).await;
                }
            });
        }
    }
    for _ in 0..CONCURRENT_FAULTS_PER_GROUP - 1 {
        let (environment, forwarders) = (environment.clone(), forwarders.clone());
        environment.clone().spawn(async move {
            while !environment.faults_ended.get() {
                sleep(environment.random_duration(0, 300)).await;
                inject_environment_fault(&environment, &forwarders).await;
            }
        });
    }
    let outage_environment = environment.clone();
    environment.spawn(async move {
        while !outage_environment.faults_ended.get() {
            sleep(outage_environment.random_duration(500, 2_500)).await;
            take_destination_down(&outage_environment).await;
        }
    });
    // In addition, each forwarder stalls before one in 500 writes.
    for forwarder in forwarders.iter() {
        forwarder.add_fault_rules(&format!("send stall={WRITE_STALL_MS} chance=0.002"));
    }
}

/// Draws a fault of forwarders and injects it.
async fn inject_forwarder_fault(environment: &Rc<Environment>, forwarders: &[Rc<Forwarder>]) {
    match environment.random_below(if environment.options.hand_overs { 11 } else { 9 }) {
        0 | 1 => restart_some(environment, forwarders, false).await,
        2 | 3 => restart_some(environment, forwarders, true).await,
        4 => {
            apply_to_some(environment, forwarders, 3, |forwarder| async move {
                forwarder.pause(environment, environment.random_duration(150, 1_200)).await
            })
            .await
        }
        5 => reload_repeatedly(environment, forwarders).await,
        6 => step_wall_clock(environment, forwarders).await,
        7 => inject_storage_fault(environment, forwarders).await,
        8 => inject_system_call_fault(environment, forwarders).await,
        _ => hand_over_some(environment, forwarders).await,
    }
}

/// Draws a fault of endpoints, discovery or clients and injects it.
async fn inject_environment_fault(environment: &Rc<Environment>, forwarders: &[Rc<Forwarder>]) {
    match environment.random_below(if environment.options.idle_clients { 6 } else { 5 }) {
        0 | 1 => inject_endpoint_fault(environment).await,
        2 | 3 => replace_endpoint(environment).await,
        4 => inject_discovery_fault(environment).await,
        _ => connect_idle_clients(environment, forwarders).await,
    }
}

/// Applies an operation to at most `max_count` random forwarders, one after the other, except those with another operation
/// in progress. All of them are reserved from the start, so that no other operation begins on them meanwhile.
async fn apply_to_some<F: std::future::Future<Output = ()>>(
    environment: &Rc<Environment>,
    forwarders: &[Rc<Forwarder>],
    max_count: usize,
    operation: impl Fn(Rc<Forwarder>) -> F,
) {
    let count = 1 + environment.random_below(max_count);
    let mut operations = Vec::new();
    for _ in 0..count {
        let forwarder = forwarders[environment.random_below(forwarders.len())].clone();
        if forwarder.operation_in_progress.replace(true) {
            continue;
        }
        let pending_operation = operation(forwarder.clone());
        operations.push(Box::pin(async move {
            pending_operation.await;
            forwarder.operation_in_progress.set(false);
        }));
    }
    for operation in operations {
        operation.await;
    }
}

/// Restarts some forwarders with SIGTERM if `graceful`, or else with SIGKILL.
async fn restart_some(environment: &Rc<Environment>, forwarders: &[Rc<Forwarder>], graceful: bool) {
    environment.log(if graceful { "SIGTERM" } else { "SIGKILL" });
    apply_to_some(environment, forwarders, 2, |forwarder| async move {
        let downtime = environment.random_duration(0, 600);
        // The wall clock may also be set while the process is down. The rule stays for the rest of the run.
        if environment.random_bool(0.3) {
            let offset = if environment.random_bool(0.5) { HOUR_MICROS } else { -HOUR_MICROS };
            forwarder.add_fault_rules(&format!("wall {offset}"));
        }
        match graceful {
            true => forwarder.terminate(environment, Some(downtime)).await,
            false => forwarder.kill_and_restart(environment, downtime).await,
        }
    })
    .await;
}

/// Hands over some forwarders to successors.
async fn hand_over_some(environment: &Rc<Environment>, forwarders: &[Rc<Forwarder>]) {
    environment.log("hand-over");
    apply_to_some(
        environment,
        forwarders,
        2,
        |forwarder| async move { forwarder.hand_over(environment).await },
    )
    .await;
}

/// Takes all endpoints of a destination down for a while. Its slow start begins when they are up again.
async fn take_destination_down(environment: &Rc<Environment>) {
    let destination = environment.random_destination(BUSY_OUTAGE_SHARE);
    environment.log(&format!("destination {destination} is down"));
    environment.destinations_down.borrow_mut()[destination] = true;
    environment.checker.borrow_mut().record_outage_start(destination);
    sleep(environment.random_duration(2_000, 5_000)).await;
    environment.destinations_down.borrow_mut()[destination] = false;
    environment.checker.borrow_mut().record_outage_end(destination);
}

/// Connects more idle clients to some forwarders than these have room for, and keeps them connected for a while.
async fn connect_idle_clients(environment: &Rc<Environment>, forwarders: &[Rc<Forwarder>]) {
    environment.log("idle clients connect");
    let mut idle_connections = Vec::new();
    for _ in 0..1 + environment.random_below(MAX_FORWARDERS_WITH_IDLE_CLIENTS) {
        let forwarder = &forwarders[environment.random_below(forwarders.len())];
        for _ in 0..IDLE_CLIENTS_PER_FORWARDER {
            // An error is ignored: a forwarder that is down accepts no connection.
            idle_connections.extend(Async::<TcpStream>::connect(forwarder.listen_address).await);
        }
    }
    sleep(environment.random_duration(500, 3_000)).await;
}

/// Reloads the configuration of some forwarders several times in a row.
async fn reload_repeatedly(environment: &Rc<Environment>, forwarders: &[Rc<Forwarder>]) {
    environment.log("several reloads in a row");
    apply_to_some(environment, forwarders, 4, |forwarder| async move {
        for _ in 0..1 + environment.random_below(4) {
            forwarder.reload(environment);
            sleep(environment.random_duration(0, 120)).await;
        }
    })
    .await;
}

/// Sets the wall clock of a forwarder ahead or back by up to an hour for a while.
async fn step_wall_clock(environment: &Rc<Environment>, forwarders: &[Rc<Forwarder>]) {
    environment.log("the wall clock is set");
    let forwarder = &forwarders[environment.random_below(forwarders.len())];
    let offset = (environment.random_below(7_200) as i64 - 3_600) * 1_000_000;
    let rules_id = forwarder.add_fault_rules(&format!("wall {offset}"));
    sleep(environment.random_duration(200, 1_500)).await;
    forwarder.remove_fault_rules(rules_id);
}

/// Puts fault rules in force at some forwarders for a while.
async fn inject_for_a_while(environment: &Rc<Environment>, forwarders: &[Rc<Forwarder>], rules: &str) {
    let chosen: Vec<_> = (0..1 + environment.random_below(3))
        .map(|_| forwarders[environment.random_below(forwarders.len())].clone())
        .collect();
    let rule_ids: Vec<u64> = chosen.iter().map(|forwarder| forwarder.add_fault_rules(rules)).collect();
    sleep(environment.random_duration(200, LONGEST_FAULT.as_millis() as u64)).await;
    chosen.iter().zip(rule_ids).for_each(|(forwarder, id)| forwarder.remove_fault_rules(id));
}

/// Makes file operations of some forwarders fail for a while.
async fn inject_storage_fault(environment: &Rc<Environment>, forwarders: &[Rc<Forwarder>]) {
    let rules = [
        "write ENOSPC",
        "write EIO chance=0.5",
        "write torn=EIO\nftruncate EIO",
        "write torn=ENOSPC chance=0.3\nftruncate EIO chance=0.5\nopen EIO chance=0.3",
        "unlink EIO chance=0.7\nread EIO chance=0.3\nopendir EIO chance=0.3",
        "write short chance=0.5\nread short chance=0.5",
    ];
    let rules = rules[environment.random_below(rules.len())];
    environment.log(&format!("storage: {}", rules.replace('\n', "; ")));
    let until = Instant::now() + LONGEST_FAULT;
    for forwarder in forwarders {
        environment.checker.borrow_mut().record_storage_fault(forwarder.number, until);
    }
    inject_for_a_while(environment, forwarders, rules).await;
}

/// Makes socket calls of some forwarders fail or stall for a while.
async fn inject_system_call_fault(environment: &Rc<Environment>, forwarders: &[Rc<Forwarder>]) {
    let write_stalls = format!("send stall={WRITE_STALL_MS} chance=0.05");
    let rules = [
        "accept ECONNABORTED chance=0.5\naccept ENFILE chance=0.3",
        "accept ENOBUFS chance=0.4\naccept EINTR chance=0.5",
        "connect EADDRNOTAVAIL chance=0.4\nsocket ENFILE chance=0.2",
        "connect ENETUNREACH chance=0.3\nconnect EINTR chance=0.1",
        "recv EINTR chance=0.2\nsend EINTR chance=0.2\nrecv short chance=0.3\nsend short chance=0.3",
        &write_stalls,
    ];
    let rules = rules[environment.random_below(rules.len())];
    environment.log(&format!("system calls: {}", rules.replace('\n', "; ")));
    inject_for_a_while(environment, forwarders, rules).await;
}

/// The endpoints that are neither draining nor removed.
fn active_endpoints(environment: &Environment) -> Vec<Rc<Endpoint>> {
    environment
        .endpoints
        .borrow()
        .iter()
        .filter(|endpoint| endpoint.lifecycle.get() == "active")
        .cloned()
        .collect()
}

/// Gives some endpoints a faulty behaviour for a while, or only resets their idle connections.
async fn inject_endpoint_fault(environment: &Rc<Environment>) {
    let candidates = active_endpoints(environment);
    let retry_after_ms = 300 + environment.random_below(1_200) as u64;
    let behaviours = [
        Behaviour::Hangs,
        Behaviour::Rejects(retry_after_ms),
        Behaviour::Fails,
        Behaviour::Resets,
        Behaviour::ClosesConnections,
        Behaviour::TruncatesAnswers,
        Behaviour::Normal,
    ];
    let behaviour = behaviours[environment.random_below(behaviours.len())];
    let count = 1 + environment.random_below(candidates.len() / 2);
    environment.log(&format!("{count} endpoints: {behaviour:?}"));
    let chosen: Vec<_> =
        (0..count).map(|_| candidates[environment.random_below(candidates.len())].clone()).collect();
    for endpoint in &chosen {
        endpoint.behaviour.set(behaviour);
        // Besides any fault, they may also reset their idle connections.
        endpoint.reset_count.set(
            endpoint.reset_count.get()
                + u32::from(behaviour == Behaviour::Normal || environment.random_bool(0.5)),
        );
    }
    sleep(environment.random_duration(300, 2_500)).await;
    chosen.iter().for_each(|endpoint| endpoint.behaviour.set(Behaviour::Normal));
}

/// Drains an endpoint, starts a new one for its destination and removes the old one from the list.
async fn replace_endpoint(environment: &Rc<Environment>) {
    let candidates = active_endpoints(environment);
    let old_endpoint = candidates[environment.random_below(candidates.len())].clone();
    environment.log(&format!("{} is drained and replaced", old_endpoint.name));
    let set_lifecycle = |lifecycle| {
        old_endpoint.lifecycle.set(lifecycle);
        environment.list_generation.set(environment.list_generation.get() + 1);
    };
    let start_drain = || {
        set_lifecycle("leaving");
        environment.spawn(notify_at_latest(environment.clone(), old_endpoint.name.clone()));
    };
    if environment.random_bool(LATE_CONNECTION_SHARE) {
        drain_with_late_connections(environment, &old_endpoint, start_drain).await;
    } else {
        start_drain();
    }
    sleep(environment.random_duration(300, 1_500)).await;
    let name = format!("e{}", environment.endpoints.borrow().len());
    if endpoint::start(environment, name, old_endpoint.destination, old_endpoint.zone).is_err() {
        return environment.log("cannot start a new endpoint");
    }
    set_lifecycle("left");
}

/// Tells the checker that all forwarders count as notified of a drain, once they could ask for it for
/// `NOTIFIED_AT_LATEST`.
async fn notify_at_latest(environment: Rc<Environment>, endpoint: String) {
    let mut reachable_since = Instant::now();
    while reachable_since.elapsed() < NOTIFIED_AT_LATEST {
        sleep(REACHABILITY_POLL_INTERVAL).await;
        if !environment.discovery.get().is_reachable() {
            reachable_since = Instant::now();
        }
    }
    let number = environment.endpoints.borrow().iter().position(|other| other.name == endpoint);
    let Some(number) = number else { return };
    let mut checker = environment.checker.borrow_mut();
    (0..environment.options.forwarders)
        .for_each(|forwarder| checker.record_lifecycle_notice(forwarder, number, true));
}

/// Drains an endpoint while connections to it are being established: they are completed only after its drain grace.
async fn drain_with_late_connections(
    environment: &Rc<Environment>,
    endpoint: &Endpoint,
    start_drain: impl Fn(),
) {
    endpoint.accepts_late.set(true);
    endpoint.reset_count.set(endpoint.reset_count.get() + 1);
    let address = endpoint.address;
    let mut pending_connections = Vec::new();
    for _ in 0..endpoint::BACKLOG + 2 {
        // The last ones are not established while the backlog is full.
        let connecting = environment.executor.spawn(Async::<TcpStream>::connect(address));
        pending_connections.push(connecting);
    }
    sleep(environment.random_duration(200, 500)).await;
    start_drain();
    sleep(environment.random_duration(400, 600)).await;
    endpoint.accepts_late.set(false);
    drop(pending_connections);
}

/// Makes the discovery agents of all forwarders silent, slow or refusing for a while.
async fn inject_discovery_fault(environment: &Rc<Environment>) {
    let delay = environment.random_duration(50, 400);
    let (description, state, longest_ms) = match environment.random_below(3) {
        0 => ("silent", DiscoveryState { silent: true, delay, ..DiscoveryState::default() }, 3_000),
        1 => ("slow", DiscoveryState { delay, ..DiscoveryState::default() }, 3_000),
        _ => {
            let has_retry_after = environment.random_bool(0.5);
            let retry_after_s = has_retry_after.then(|| 1 + environment.random_below(30));
            let refusal = Refusal { ends_watches: environment.random_bool(0.5), retry_after_s };
            ("refusing", DiscoveryState { refusal: Some(refusal), ..DiscoveryState::default() }, 8_000)
        }
    };
    environment.log(&format!("discovery is {description}"));
    environment.discovery.set(state);
    sleep(environment.random_duration(500, longest_ms)).await;
    environment.discovery.set(DiscoveryState::default());
}
