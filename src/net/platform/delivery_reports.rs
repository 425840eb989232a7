//! Reports to the platform the accepted messages that were not delivered, each as failed or returned.

use super::report_post::{post, LatePosts, LateResponse, PostResponse};
use crate::journal::ReportedEnd;
use crate::net::http::HttpError;
use crate::net::messages::DeliveryReport;
use crate::net::stray_response::{StrayPlace, StrayResponse};
use crate::net::{within, Context};
use crate::MessageId;
use async_channel::{Receiver, RecvError};
use async_io::Timer;
use futures_lite::future;
use serde_json::json;
use slog::{info, warn};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time limit for the platform's response. The platform normally responds at once. A message counts as lost 300 ms after its
/// deadline, so a silent connection must leave time for another attempt. A report that arrives twice does no harm.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// The pause after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause after attempts without a response. The pause doubles up to this limit, and starts again at
/// [`RETRY_PAUSE`] when there is a report that has not been sent yet.
const MAX_SILENT_PAUSE: Duration = Duration::from_secs(1);
/// The interval at which withheld reports are checked for whether they may be sent.
const WITHHELD_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The most reports in one request.
const MAX_BATCH: usize = 100;

impl DeliveryReport {
    /// The report as a line of JSON, without the line break.
    fn line(&self) -> String {
        match self.end {
            ReportedEnd::Failed => json!({"id": self.request_id, "state": "failed"}),
            ReportedEnd::Returned(None) => json!({"id": self.request_id, "state": "returned"}),
            ReportedEnd::Returned(Some(ms)) => {
                json!({"id": self.request_id, "state": "returned", "after_ms": ms})
            }
        }
        .to_string()
    }
}

/// Runs the actor that sends the pending reports in batches and repeats each until it is confirmed. Returns when the mailbox
/// is closed or the process has handed over.
pub async fn run(context: Rc<Context>, mailbox: Receiver<DeliveryReport>) {
    let mut reporter = Reporter::new(context, mailbox);
    while reporter.until_pending().await.is_ok() {
        if reporter.context.lifecycle.is_handed_over() {
            // The unconfirmed reports are in the journal, and the successor sends them.
            return;
        }
        if let Some(pause) = reporter.send_batch().await {
            reporter.pause(pause).await;
        }
    }
}

struct Reporter {
    context: Rc<Context>,
    mailbox: Receiver<DeliveryReport>,
    /// Reports that may not be sent yet, because a restarted process could still send their messages to an endpoint.
    withheld: Vec<DeliveryReport>,
    /// Reports that are to be sent, or have been sent without a confirmation.
    pending: VecDeque<DeliveryReport>,
    /// The most reports in the next request: [`MAX_BATCH`], or 1 after a rejection until a report is confirmed.
    batch_limit: usize,
    /// The pause after the next attempt without a response.
    silent_pause: Duration,
    /// The requests whose responses are late.
    late: LatePosts,
}

/// An event that the reporter waits for.
enum Input {
    /// A new report has arrived in the mailbox.
    Report(DeliveryReport),
    /// A late request has ended, with or without a response.
    Late(LateResponse),
    /// The given time has come.
    TimerExpired,
}

impl Reporter {
    fn new(context: Rc<Context>, mailbox: Receiver<DeliveryReport>) -> Self {
        Reporter {
            context,
            mailbox,
            withheld: Vec::new(),
            pending: VecDeque::new(),
            batch_limit: MAX_BATCH,
            silent_pause: RETRY_PAUSE,
            late: LatePosts::new(),
        }
    }

    /// Waits for the next report, the next late response, or the given time.
    async fn next_input(&mut self, until: Option<Instant>) -> Result<Input, RecvError> {
        let received = async { self.mailbox.recv().await.map(Input::Report) };
        let late = async {
            match self.late.next().await {
                Some(response) => Ok(Input::Late(response)),
                None => future::pending().await,
            }
        };
        let expired = async {
            match until {
                Some(until) => drop(Timer::at(until).await),
                None => future::pending().await,
            }
            Ok(Input::TimerExpired)
        };
        future::or(late, future::or(received, expired)).await
    }

    /// Takes all reports from the mailbox, and waits until at least one is pending.
    async fn until_pending(&mut self) -> Result<(), RecvError> {
        loop {
            while let Ok(report) = self.mailbox.try_recv() {
                self.withheld.push(report);
            }
            self.release_withheld();
            if !self.pending.is_empty() {
                return Ok(());
            }
            let recheck_at = (!self.withheld.is_empty()).then(|| Instant::now() + WITHHELD_POLL_INTERVAL);
            match self.next_input(recheck_at).await? {
                Input::Report(report) => self.withheld.push(report),
                Input::Late(late) => self.handle_late(late),
                Input::TimerExpired => {}
            }
        }
    }

    /// Moves withheld reports to the pending ones once a restarted process cannot send their messages any more: the end of
    /// the message is on disk, or its deadline is over.
    fn release_withheld(&mut self) {
        let now = self.context.clock.now();
        let journal = &self.context.journal;
        let is_safe =
            |report: &mut DeliveryReport| now >= report.deadline || !journal.has_unwritten_outcome(report.id);
        let pending_before = self.pending.len();
        self.pending.extend(self.withheld.extract_if(.., is_safe));
        if self.pending.len() > pending_before {
            self.silent_pause = RETRY_PAUSE;
        }
    }

    /// Waits before the next attempt. A new report shortens the wait to [`RETRY_PAUSE`].
    async fn pause(&mut self, pause: Duration) {
        let started = Instant::now();
        let mut until = started + pause;
        while !self.pending.is_empty() {
            match self.next_input(Some(until)).await {
                Ok(Input::Report(report)) => {
                    self.withheld.push(report);
                    until = until.min(started + RETRY_PAUSE);
                }
                Ok(Input::Late(late)) => self.handle_late(late),
                Ok(Input::TimerExpired) | Err(_) => return,
            }
        }
    }

    /// Sends a batch once. Returns the pause before the next attempt, or `None` if the batch was confirmed.
    async fn send_batch(&mut self) -> Option<Duration> {
        let count = self.pending.len().min(self.batch_limit);
        let batch = self.pending.iter().take(count);
        let ids: Vec<MessageId> = batch.clone().map(|report| report.id).collect();
        let body: String = batch.map(|report| report.line() + "\n").collect();
        // A reload may have moved the platform, so the address is read for each attempt.
        let mut pending_post = post(self.context.config().agent_address, body);
        match within(RESPONSE_TIMEOUT, pending_post.as_mut()).await {
            Some(Ok(response)) => self.handle_response(&ids, response),
            Some(Err(error)) => {
                self.log_failed(&error);
                Some(RETRY_PAUSE)
            }
            None => {
                self.log_failed(&HttpError::TimedOut);
                self.late.wait_for(&self.context.executor, ids, pending_post);
                Some(self.next_silent_pause())
            }
        }
    }

    /// Returns the pause after an attempt without a response, and doubles the next one up to [`MAX_SILENT_PAUSE`].
    fn next_silent_pause(&mut self) -> Duration {
        let pause = self.silent_pause;
        self.silent_pause = (2 * pause).min(MAX_SILENT_PAUSE);
        pause
    }

    fn log_failed(&self, error: &HttpError) {
        info!(self.context.log, "connection ended"; "side" => "delivery-reports",
            "reason" => error.code(), "error" => %error);
    }

    /// Handles the response for the first reports in the queue. Returns the pause before the next attempt, or `None` if they
    /// were confirmed.
    fn handle_response(&mut self, ids: &[MessageId], response: PostResponse) -> Option<Duration> {
        let PostResponse { status, .. } = response;
        self.record_stray(&response);
        if status == 204 {
            self.confirm(ids);
            return None;
        }
        warn!(self.context.log, "delivery reports rejected"; "status" => status, "count" => ids.len());
        // A report that the platform cannot read must not block the others: each is sent alone from now on, and a rejected
        // one goes to the end of the queue.
        if ids.len() == 1 {
            self.pending.rotate_left(1);
        }
        self.batch_limit = 1;
        Some(RETRY_PAUSE)
    }

    /// Records a response that came behind the one to the request, and answers none.
    fn record_stray(&self, response: &PostResponse) {
        let stray = StrayResponse {
            endpoint: None,
            place: StrayPlace::DeliveryReports,
            status: response.stray_status,
            received_at: self.context.clock.now(),
            previous_response_at: None,
            request_written_at: None,
        };
        stray.record_if_response(&self.context);
    }

    /// Handles the outcome of a request whose response was late. Anything but a confirmation is ignored, as the reports have
    /// been sent again meanwhile.
    fn handle_late(&mut self, late: LateResponse) {
        let Some(response) = late.response.filter(|response| response.status == 204) else { return };
        self.record_stray(&response);
        self.confirm(&late.ids);
    }

    /// Removes confirmed reports from the queue and records their messages as completed.
    fn confirm(&mut self, ids: &[MessageId]) {
        let context = &self.context;
        let is_confirmed = |report: &DeliveryReport| ids.contains(&report.id);
        let (confirmed, pending): (VecDeque<_>, VecDeque<_>) = self.pending.drain(..).partition(is_confirmed);
        self.pending = pending;
        for report in confirmed {
            info!(context.log, "message"; "state" => "reported", "id" => &report.request_id, "end" => ?report.end);
            context.journal.record_completed(report.id);
            context.request_ids.release(&report.request_id);
            context.counters.reports_confirmed.increment();
            context.gauges.reports_pending.decrement();
        }
        self.batch_limit = MAX_BATCH;
        self.silent_pause = RETRY_PAUSE;
    }
}
