//! Reports to the platform how accepted messages ended that were not delivered.

use super::report_post::{post, LateAnswer, LatePosts, PlatformConnection, PostAnswer};
use crate::journal::ReportedEnd;
use crate::net::http::HttpError;
use crate::net::messages::DeliveryReport;
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

/// The platform answers at once. A message is lost 300 ms after its time, so a connection that has fallen silent must leave
/// time for another try; a report that comes twice does no harm.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// The pause after a try that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// After tries that were not answered the pause doubles up to this, unless there is a report that was not tried yet.
const MAX_SILENT_PAUSE: Duration = Duration::from_secs(1);
/// Time between two looks at whether a held report may be sent.
const HELD_POLL: Duration = Duration::from_millis(10);
/// At most so many reports are sent in one request.
const MAX_BATCH: usize = 100;

impl DeliveryReport {
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

/// Sends reports until each is confirmed, in batches of those that are pending.
pub async fn run(context: Rc<Context>, mailbox: Receiver<DeliveryReport>) {
    let mut reporter = Reporter::new(context, mailbox);
    while reporter.until_pending().await.is_ok() {
        if reporter.context.lifecycle.is_handed_over() {
            // They are in the journal, and the successor sends them.
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
    /// Reports that may not be sent yet: a restart could still call for their messages.
    held: Vec<DeliveryReport>,
    pending: VecDeque<DeliveryReport>,
    connection: Option<PlatformConnection>,
    batch_limit: usize,
    /// The pause after the next try that is not answered.
    silent_pause: Duration,
    late: LatePosts,
}

/// What the reporter waits for.
enum Input {
    Report(DeliveryReport),
    Late(LateAnswer),
    TimeOver,
}

impl Reporter {
    fn new(context: Rc<Context>, mailbox: Receiver<DeliveryReport>) -> Self {
        Reporter {
            context,
            mailbox,
            held: Vec::new(),
            pending: VecDeque::new(),
            connection: None,
            batch_limit: MAX_BATCH,
            silent_pause: RETRY_PAUSE,
            late: LatePosts::new(),
        }
    }

    /// The next report or late answer, or that a time is over.
    async fn next_input(&mut self, until: Option<Instant>) -> Result<Input, RecvError> {
        let received = async { self.mailbox.recv().await.map(Input::Report) };
        let late = async {
            match self.late.next().await {
                Some(answer) => Ok(Input::Late(answer)),
                None => future::pending().await,
            }
        };
        let expired = async {
            match until {
                Some(until) => drop(Timer::at(until).await),
                None => future::pending().await,
            }
            Ok(Input::TimeOver)
        };
        future::or(late, future::or(received, expired)).await
    }

    /// Takes all reports from the mailbox; waits until one may be sent if none is pending.
    async fn until_pending(&mut self) -> Result<(), RecvError> {
        loop {
            while let Ok(report) = self.mailbox.try_recv() {
                self.held.push(report);
            }
            self.release_held();
            if !self.pending.is_empty() {
                return Ok(());
            }
            let look_at = (!self.held.is_empty()).then(|| Instant::now() + HELD_POLL);
            match self.next_input(look_at).await? {
                Input::Report(report) => self.held.push(report),
                Input::Late(answer) => self.take_late(answer),
                Input::TimeOver => {}
            }
        }
    }

    /// A report may be sent once a restart cannot call for its message any more: its end is on disk, or its time is over.
    fn release_held(&mut self) {
        let now = self.context.clock.now();
        let journal = &self.context.journal;
        let is_safe =
            |report: &mut DeliveryReport| now >= report.deadline || !journal.has_unwritten_end(report.id);
        let pending_before = self.pending.len();
        self.pending.extend(self.held.extract_if(.., is_safe));
        if self.pending.len() > pending_before {
            self.silent_pause = RETRY_PAUSE;
        }
    }

    /// Waits before the next try. A report that was not tried yet waits no longer than after any failure.
    async fn pause(&mut self, pause: Duration) {
        let begun = Instant::now();
        let mut until = begun + pause;
        while !self.pending.is_empty() {
            match self.next_input(Some(until)).await {
                Ok(Input::Report(report)) => {
                    self.held.push(report);
                    until = until.min(begun + RETRY_PAUSE);
                }
                Ok(Input::Late(answer)) => self.take_late(answer),
                Ok(Input::TimeOver) | Err(_) => return,
            }
        }
    }

    /// Sends a batch once; the pause before the next try if it was not confirmed.
    async fn send_batch(&mut self) -> Option<Duration> {
        let count = self.pending.len().min(self.batch_limit);
        let batch = self.pending.iter().take(count);
        let ids: Vec<MessageId> = batch.clone().map(|report| report.id).collect();
        let body: String = batch.map(|report| report.line() + "\n").collect();
        // Read anew each time: what is owed goes to where the platform listens now.
        let address = self.context.config().agent_address;
        if self.connection.take_if(|open| open.address != address).is_some() {
            info!(self.context.log, "connection ended"; "side" => "delivery-reports", "reason" => "moved");
        }
        let open = self.connection.take().map(|open| open.connection);
        let mut posting = post(address, open, body);
        match within(RESPONSE_TIMEOUT, posting.as_mut()).await {
            Some(Ok(answer)) => self.take_answer(&ids, answer),
            Some(Err(error)) => {
                self.log_failed(&error);
                Some(RETRY_PAUSE)
            }
            None => {
                self.log_failed(&HttpError::TimedOut);
                self.late.wait_for(&self.context.executor, ids, posting);
                Some(self.next_silent_pause())
            }
        }
    }

    fn next_silent_pause(&mut self) -> Duration {
        let pause = self.silent_pause;
        self.silent_pause = (2 * pause).min(MAX_SILENT_PAUSE);
        pause
    }

    fn log_failed(&self, error: &HttpError) {
        info!(self.context.log, "connection ended"; "side" => "delivery-reports",
            "reason" => error.code(), "error" => %error);
    }

    /// Takes the answer to the first reports in the queue; the pause before the next try if they were not confirmed.
    fn take_answer(&mut self, ids: &[MessageId], answer: PostAnswer) -> Option<Duration> {
        let PostAnswer { status, connection } = answer;
        self.connection = connection;
        if status == 204 {
            self.confirmed(ids);
            return None;
        }
        warn!(self.context.log, "delivery reports rejected"; "status" => status, "count" => ids.len());
        // One that the platform cannot read must not block the others: alone, it goes to the end of the queue.
        if ids.len() == 1 {
            self.pending.rotate_left(1);
        }
        self.batch_limit = 1;
        Some(RETRY_PAUSE)
    }

    /// Takes the end of a request whose answer was late. Only a confirmation counts: the reports were sent again meanwhile.
    fn take_late(&mut self, late: LateAnswer) {
        let Some(PostAnswer { status: 204, connection }) = late.answer else { return };
        self.connection = self.connection.take().or(connection);
        self.confirmed(&late.ids);
    }

    fn confirmed(&mut self, ids: &[MessageId]) {
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
