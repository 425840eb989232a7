//! Samples of a live run: how the forwarders stand, and how far behind its schedule the kit itself is.

use super::{LiveRun, Progress, ViewUpdate};
use crate::figures::Sample;
use crate::verdict::SEND_LATE;
use crate::world::START;
use async_channel::Sender;
use async_io::{Async, Timer};
use cedarbridge::net::http::HttpConnection;
use cedarbridge::{BreakerState, Micros};
use futures_lite::future;
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often forwarders are asked for their counters.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// How often the kit looks at its own lateness.
const TICK: Duration = Duration::from_millis(5);

pub(super) async fn watch_own_lateness(run: Rc<LiveRun>) {
    loop {
        let due = Instant::now() + TICK;
        Timer::at(due).await;
        let late = due.elapsed().as_micros() as u64;
        run.late.borrow_mut().0.saturating_record(late.max(1));
    }
}

impl LiveRun {
    pub(super) fn count_send(&self, planned: Micros) {
        let mut late = self.late.borrow_mut();
        late.2 += 1;
        late.1 += u64::from(self.now() > planned + SEND_LATE);
    }
}

/// Samples the forwarders' counters, and updates the view.
pub(super) async fn sample(run: Rc<LiveRun>, updates: Option<Sender<ViewUpdate>>) {
    loop {
        let mut reports = Vec::new();
        for forwarder in 0..run.world.fleet.len() {
            let address = run.daemons.borrow().get(forwarder).and_then(|d| d.listen());
            let commanded = Instant::now();
            let report = match address {
                Some(address) => counters(address).await,
                None => None,
            };
            if report.is_some() {
                let took = commanded.elapsed().as_micros() as u64;
                run.answer_times.borrow_mut().saturating_record(took.max(1));
            }
            reports.push(report);
        }
        let now = run.now();
        let mut worst = vec![BreakerState::Closed; run.world.destinations.len()];
        let mut held = 0;
        for report in reports.iter().flatten() {
            held += report["open"].as_u64().unwrap_or(0) as usize;
            for p in report["partners"].as_array().into_iter().flatten() {
                let status = match p["breaker"].as_str() {
                    Some("open") => BreakerState::Open,
                    Some("half") => BreakerState::HalfOpen,
                    _ => BreakerState::Closed,
                };
                if let Some(w) = p["destination"].as_u64().and_then(|d| worst.get_mut(d as usize)) {
                    *w = (*w).max(status);
                }
            }
        }
        {
            let mut figures = run.figures.borrow_mut();
            figures.samples.push(Sample {
                at: now,
                open_messages: held,
                in_flight: run.calls_in_flight.get(),
            });
            worst.into_iter().enumerate().for_each(|(p, s)| figures.breaker(now, p, s));
        }
        if let Some(updates) = &updates {
            let world = &run.world;
            let commanded: f64 = world.requests.iter().take_while(|h| h.at <= now).map(|h| h.weight).sum();
            let progress = Progress {
                at: (now - START, world.end - START),
                sent: (run.sent.get(), world.requests.len()),
                value: (run.figures.borrow().value().delivered_value, commanded),
                violations: run.audit.borrow().violations.len(),
                forwarders: reports,
            };
            // A view that is slow misses some.
            let _ = updates.try_send(ViewUpdate::Progress(progress));
        }
        Timer::after(SAMPLE_INTERVAL).await;
    }
}

/// A forwarder's counters, by destination; none if it does not answer within a second.
pub async fn counters(address: SocketAddr) -> Option<Value> {
    let commanded = async {
        let mut wire = HttpConnection::new(Async::<TcpStream>::connect(address).await.ok()?);
        wire.write(b"GET /_counters?by=partner HTTP/1.1\r\nHost: kit\r\nConnection: close\r\n\r\n")
            .await
            .ok()?;
        let head = wire.read_response().await.ok()?;
        let body = wire.response_body(&head, 16 << 20).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    let late = async {
        Timer::after(Duration::from_secs(1)).await;
        None
    };
    future::or(commanded, late).await
}
