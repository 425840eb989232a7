//! Samples of a live run: the forwarders' counters, and the lateness of the run itself.

use super::{LiveRun, Progress, ViewUpdate};
use crate::environment::RUN_START;
use crate::figures::Sample;
use crate::verdict::LATE_SEND;
use async_channel::Sender;
use async_io::{Async, Timer};
use cedarbridge::net::http::HttpConnection;
use cedarbridge::{BreakerState, Micros};
use futures_lite::future;
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The pause between two samples of the forwarders' counters.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// The interval of the timer that measures the lateness of the event loop.
const LATENESS_INTERVAL: Duration = Duration::from_millis(5);

/// Records how late a timer of the event loop fires, until the run ends.
pub(super) async fn measure_lateness(run: Rc<LiveRun>) {
    loop {
        let due = Instant::now() + LATENESS_INTERVAL;
        Timer::at(due).await;
        let late_us = due.elapsed().as_micros() as u64;
        run.lateness.borrow_mut().0.saturating_record(late_us.max(1));
    }
}

impl LiveRun {
    /// Counts a request that is sent now, and whether it is late.
    pub(super) fn count_send(&self, planned: Micros) {
        let mut lateness = self.lateness.borrow_mut();
        lateness.2 += 1;
        lateness.1 += u64::from(self.now() > planned + LATE_SEND);
    }
}

/// Samples the forwarders' counters and updates the view, until the run ends.
pub(super) async fn sample(run: Rc<LiveRun>, updates: Option<Sender<ViewUpdate>>) {
    loop {
        let mut reports = Vec::new();
        for forwarder in 0..run.environment.fleet.len() {
            let address = run.forwarders.borrow().get(forwarder).and_then(|f| f.running_address());
            let requested_at = Instant::now();
            let report = match address {
                Some(address) => counters(address).await,
                None => None,
            };
            if report.is_some() {
                let took_us = requested_at.elapsed().as_micros() as u64;
                run.counters_times.borrow_mut().saturating_record(took_us.max(1));
            }
            reports.push(report);
        }
        let now = run.now();
        let mut worst_states = vec![BreakerState::Closed; run.environment.destinations.len()];
        let mut total_open = 0;
        for report in reports.iter().flatten() {
            total_open += report["open"].as_u64().unwrap_or(0) as usize;
            for entry in report["partners"].as_array().into_iter().flatten() {
                let state = match entry["breaker"].as_str() {
                    Some("open") => BreakerState::Open,
                    Some("half") => BreakerState::HalfOpen,
                    _ => BreakerState::Closed,
                };
                if let Some(worst) =
                    entry["destination"].as_u64().and_then(|d| worst_states.get_mut(d as usize))
                {
                    *worst = (*worst).max(state);
                }
            }
        }
        {
            let mut figures = run.figures.borrow_mut();
            figures.samples.push(Sample {
                at: now,
                open_messages: total_open,
                in_flight: run.calls_in_flight.get(),
            });
            worst_states.into_iter().enumerate().for_each(|(d, s)| figures.breaker_changed(now, d, s));
        }
        if let Some(updates) = &updates {
            let environment = &run.environment;
            let offered: f64 =
                environment.requests.iter().take_while(|r| r.at <= now).map(|r| r.weight).sum();
            let progress = Progress {
                at: (now - RUN_START, environment.end - RUN_START),
                sent: (run.sent_count.get(), environment.requests.len()),
                value: (run.figures.borrow().value().delivered, offered),
                violations: run.audit.borrow().violations.len(),
                forwarders: reports,
            };
            // A slow view misses updates.
            let _ = updates.try_send(ViewUpdate::Progress(progress));
        }
        Timer::after(SAMPLE_INTERVAL).await;
    }
}

/// A forwarder's `/_counters?by=partner`; `None` if it does not answer within a second.
pub async fn counters(address: SocketAddr) -> Option<Value> {
    let response = async {
        let mut connection = HttpConnection::new(Async::<TcpStream>::connect(address).await.ok()?);
        connection
            .write(b"GET /_counters?by=partner HTTP/1.1\r\nHost: kit\r\nConnection: close\r\n\r\n")
            .await
            .ok()?;
        let head = connection.read_response().await.ok()?;
        let body = connection.response_body(&head, 16 << 20).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    let timeout = async {
        Timer::after(Duration::from_secs(1)).await;
        None
    };
    future::or(response, timeout).await
}
