//! What goes wrong: at each moment two or three faults overlap, drawn by the seed.

use crate::endpoint;
use crate::forwarder::Forwarder;
use crate::world::{sleep, Behaviour, Discovery, Endpoint, World};
use async_io::Async;
use std::net::TcpStream;
use std::rc::Rc;

/// Forwarders that share their faults.
const GROUP: usize = 5;
/// Faults that overlap in a group; those of endpoints and discovery come beside these.
const OVERLAP: usize = 3;
/// Idle clients of a crowd at one forwarder; it has room for 128 connections.
const CROWD: usize = 160;
/// The most forwarders that a crowd comes to.
const MOST_CROWDED: usize = 6;
/// Share of the outages that the busy destination has, whatever the others get.
const BUSY_OUTAGE_SHARE: f64 = 0.4;
/// Share of the drained endpoints to which connections come up late.
const LATE_CONNECTIONS_SHARE: f64 = 0.5;
/// A write is held up for so many milliseconds: with what else passes since the process has read its clock, that is within the 0.15 s
/// of the platform's terms.
const WRITE_STALL_MS: u64 = 140;
/// An hour, in microseconds.
const HOUR_MICROS: i64 = 3_600_000_000;

/// Injects faults until the run is over.
pub async fn run(world: Rc<World>, forwarders: Rc<Vec<Rc<Forwarder>>>) {
    for group in forwarders.chunks(GROUP) {
        for _ in 0..OVERLAP {
            let (world, group) = (world.clone(), group.to_vec());
            world.clone().spawn(async move {
                while !world.faults_over.get() {
                    sleep(world.span(0, 150)).await;
                    fault_of_forwarders(&world, &group).await;
                }
            });
        }
    }
    for _ in 0..OVERLAP - 1 {
        let (world, forwarders) = (world.clone(), forwarders.clone());
        world.clone().spawn(async move {
            while !world.faults_over.get() {
                sleep(world.span(0, 300)).await;
                fault_of_surroundings(&world, &forwarders).await;
            }
        });
    }
    let outages = world.clone();
    world.spawn(async move {
        while !outages.faults_over.get() {
            sleep(outages.span(500, 2_500)).await;
            outage(&outages).await;
        }
    });
    // Each forwarder also stalls now and then, before a write.
    for forwarder in forwarders.iter() {
        forwarder.add_faults(&format!("send stall={WRITE_STALL_MS} chance=0.002"));
    }
}

async fn fault_of_forwarders(world: &Rc<World>, forwarders: &[Rc<Forwarder>]) {
    match world.below(if world.options.hand_overs { 11 } else { 9 }) {
        0 | 1 => restarts(world, forwarders, false).await,
        2 | 3 => restarts(world, forwarders, true).await,
        4 => {
            for_some(world, forwarders, 3, |f| async move { f.stall(world, world.span(150, 1_200)).await })
                .await
        }
        5 => configurations(world, forwarders).await,
        6 => wall_clock_step(world, forwarders).await,
        7 => storage(world, forwarders).await,
        8 => system_calls(world, forwarders).await,
        _ => hand_overs(world, forwarders).await,
    }
}

async fn fault_of_surroundings(world: &Rc<World>, forwarders: &[Rc<Forwarder>]) {
    match world.below(if world.options.crowds { 6 } else { 5 }) {
        0 | 1 => endpoint_fault(world).await,
        2 | 3 => replacement(world).await,
        4 => discovery(world).await,
        _ => crowd(world, forwarders).await,
    }
}

/// Does something to some forwarders at once, but for those that something else is being done to.
async fn for_some<F: std::future::Future<Output = ()>>(
    world: &Rc<World>,
    forwarders: &[Rc<Forwarder>],
    most: usize,
    what: impl Fn(Rc<Forwarder>) -> F,
) {
    let count = 1 + world.below(most);
    let mut all = Vec::new();
    for _ in 0..count {
        let forwarder = forwarders[world.below(forwarders.len())].clone();
        if forwarder.busy.replace(true) {
            continue;
        }
        let done = what(forwarder.clone());
        all.push(Box::pin(async move {
            done.await;
            forwarder.busy.set(false);
        }));
    }
    for one in all {
        one.await;
    }
}

async fn restarts(world: &Rc<World>, forwarders: &[Rc<Forwarder>], in_order: bool) {
    world.log(if in_order { "SIGTERM" } else { "SIGKILL" });
    for_some(world, forwarders, 2, |f| async move {
        let away = world.span(0, 600);
        // The wall clock may be set while nobody runs.
        if world.chance(0.3) {
            let offset = if world.chance(0.5) { HOUR_MICROS } else { -HOUR_MICROS };
            f.add_faults(&format!("wall {offset}"));
        }
        match in_order {
            true => f.terminate(world, Some(away)).await,
            false => f.kill(world, away).await,
        }
    })
    .await;
}

async fn hand_overs(world: &Rc<World>, forwarders: &[Rc<Forwarder>]) {
    world.log("hand-over");
    for_some(world, forwarders, 2, |f| async move { f.hand_over(world).await }).await;
}

/// All endpoints of a destination are down for a while, and return cold.
async fn outage(world: &Rc<World>) {
    let destination = world.destination(BUSY_OUTAGE_SHARE);
    world.log(&format!("destination {destination} is down"));
    world.down.borrow_mut()[destination] = true;
    world.checker.borrow_mut().outage_begins(destination);
    sleep(world.span(2_000, 5_000)).await;
    world.down.borrow_mut()[destination] = false;
    world.checker.borrow_mut().returns(destination);
}

/// Idle clients connect to some forwarders, more than these have room for, and stay.
async fn crowd(world: &Rc<World>, forwarders: &[Rc<Forwarder>]) {
    world.log("a crowd of idle clients");
    let mut idle = Vec::new();
    for _ in 0..1 + world.below(MOST_CROWDED) {
        let forwarder = &forwarders[world.below(forwarders.len())];
        for _ in 0..CROWD {
            // A forwarder that is down accepts nobody.
            idle.extend(Async::<TcpStream>::connect(forwarder.listen).await);
        }
    }
    sleep(world.span(500, 3_000)).await;
}

async fn configurations(world: &Rc<World>, forwarders: &[Rc<Forwarder>]) {
    world.log("new configurations in a row");
    for_some(world, forwarders, 4, |f| async move {
        for _ in 0..1 + world.below(4) {
            f.reload(world);
            sleep(world.span(0, 120)).await;
        }
    })
    .await;
}

async fn wall_clock_step(world: &Rc<World>, forwarders: &[Rc<Forwarder>]) {
    world.log("the wall clock is set");
    let forwarder = &forwarders[world.below(forwarders.len())];
    let offset = (world.below(7_200) as i64 - 3_600) * 1_000_000;
    let faults = forwarder.add_faults(&format!("wall {offset}"));
    sleep(world.span(200, 1_500)).await;
    forwarder.remove_faults(faults);
}

async fn faults_for_a_while(world: &Rc<World>, forwarders: &[Rc<Forwarder>], rules: &str) {
    let chosen: Vec<_> =
        (0..1 + world.below(3)).map(|_| forwarders[world.below(forwarders.len())].clone()).collect();
    let faults: Vec<u64> = chosen.iter().map(|f| f.add_faults(rules)).collect();
    sleep(world.span(200, 1_500)).await;
    chosen.iter().zip(faults).for_each(|(f, number)| f.remove_faults(number));
}

async fn storage(world: &Rc<World>, forwarders: &[Rc<Forwarder>]) {
    let rules = [
        "write ENOSPC",
        "write EIO chance=0.5",
        "write torn=EIO\nftruncate EIO",
        "write torn=ENOSPC chance=0.3\nftruncate EIO chance=0.5\nopen EIO chance=0.3",
        "unlink EIO chance=0.7\nread EIO chance=0.3\nopendir EIO chance=0.3",
        "write short chance=0.5\nread short chance=0.5",
    ];
    let rules = rules[world.below(rules.len())];
    world.log(&format!("storage: {}", rules.replace('\n', "; ")));
    faults_for_a_while(world, forwarders, rules).await;
}

async fn system_calls(world: &Rc<World>, forwarders: &[Rc<Forwarder>]) {
    let stalls = format!("send stall={WRITE_STALL_MS} chance=0.05");
    let rules = [
        "accept ECONNABORTED chance=0.5\naccept ENFILE chance=0.3",
        "accept ENOBUFS chance=0.4\naccept EINTR chance=0.5",
        "connect EADDRNOTAVAIL chance=0.4\nsocket ENFILE chance=0.2",
        "connect ENETUNREACH chance=0.3\nconnect EINTR chance=0.1",
        "recv EINTR chance=0.2\nsend EINTR chance=0.2\nrecv short chance=0.3\nsend short chance=0.3",
        &stalls,
    ];
    let rules = rules[world.below(rules.len())];
    world.log(&format!("system calls: {}", rules.replace('\n', "; ")));
    faults_for_a_while(world, forwarders, rules).await;
}

fn listed(world: &World) -> Vec<Rc<Endpoint>> {
    world.endpoints.borrow().iter().filter(|e| e.lifecycle.get() == "active").cloned().collect()
}

async fn endpoint_fault(world: &Rc<World>) {
    let all = listed(world);
    let pause = 300 + world.below(1_200) as u64;
    let behaviours = [
        Behaviour::Hangs,
        Behaviour::Rejects(pause),
        Behaviour::Fails,
        Behaviour::Resets,
        Behaviour::ClosesConnections,
        Behaviour::TruncatesAnswers,
        Behaviour::Normal,
    ];
    let behaviour = behaviours[world.below(behaviours.len())];
    let count = 1 + world.below(all.len() / 2);
    world.log(&format!("{count} endpoints: {behaviour:?}"));
    let chosen: Vec<_> = (0..count).map(|_| all[world.below(all.len())].clone()).collect();
    for e in &chosen {
        e.behaviour.set(behaviour);
        // Beside any fault they may reset their idle connections, too.
        e.reset_count
            .set(e.reset_count.get() + u32::from(behaviour == Behaviour::Normal || world.chance(0.5)));
    }
    sleep(world.span(300, 2_500)).await;
    chosen.iter().for_each(|e| e.behaviour.set(Behaviour::Normal));
}

async fn replacement(world: &Rc<World>) {
    let all = listed(world);
    let old = all[world.below(all.len())].clone();
    world.log(&format!("{} is drained and replaced", old.name));
    let turn = |lifecycle| {
        old.lifecycle.set(lifecycle);
        world.generation.set(world.generation.get() + 1);
    };
    if world.chance(LATE_CONNECTIONS_SHARE) {
        drain_with_late_connections(world, &old, || turn("leaving")).await;
    } else {
        turn("leaving");
    }
    sleep(world.span(300, 1_500)).await;
    let name = format!("e{}", world.endpoints.borrow().len());
    if endpoint::start(world, name, old.destination, old.zone).is_err() {
        return world.log("no new endpoint could be started");
    }
    turn("left");
}

/// An endpoint is drained while connections to it are on their way: they come up after its grace.
async fn drain_with_late_connections(world: &Rc<World>, endpoint: &Endpoint, drain: impl Fn()) {
    endpoint.accepts_late.set(true);
    endpoint.reset_count.set(endpoint.reset_count.get() + 1);
    let address = endpoint.address;
    let mut waiting = Vec::new();
    for _ in 0..endpoint::BACKLOG + 2 {
        // The last ones do not come up while the backlog is full.
        let connecting = world.executor.spawn(Async::<TcpStream>::connect(address));
        waiting.push(connecting);
    }
    sleep(world.span(200, 500)).await;
    drain();
    sleep(world.span(400, 600)).await;
    endpoint.accepts_late.set(false);
    drop(waiting);
}

async fn discovery(world: &Rc<World>) {
    let silent = world.chance(0.5);
    world.log(if silent { "discovery is silent" } else { "discovery is slow" });
    world.discovery.set(Discovery { silent, slow: world.span(50, 400) });
    sleep(world.span(500, 3_000)).await;
    world.discovery.set(Discovery::default());
}
