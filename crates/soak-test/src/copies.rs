//! A fault of endpoints and agents: a second copy of a response arrives on its connection, so that it may be taken for the
//! response to the next request.

use crate::environment::{sleep, Environment};
use cedarbridge::net::http::{write_all, HttpConnection};
use std::rc::Rc;
use std::time::Duration;

/// The probability that a response is copied.
const COPY_PROBABILITY: f64 = 0.05;
/// The longest delay of a copy after what sets it off, in milliseconds.
const MAX_COPY_DELAY_MS: u64 = 10;
/// The probability that a request behind a copy is refused without being run: the copy then says the opposite of the
/// response.
const REFUSAL_PROBABILITY: f64 = 0.5;
/// The probability that a request behind a copy gets no response before its connection is reset.
const HANG_PROBABILITY: f64 = 0.15;

/// What happens to a request that may follow a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFate {
    /// It is processed as the endpoint's behaviour demands.
    Processed,
    /// It is refused without being run.
    Refused,
    /// It gets no response for a while, then its connection is reset.
    Unanswered,
}

/// What sets off the copy of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyTrigger {
    /// The response itself: the copy is late.
    Response,
    /// The next request on the connection.
    NextRequest,
}

/// The copies on one connection.
#[derive(Default)]
pub struct ResponseCopies {
    /// The response that is written again after the next request.
    pending: Option<Vec<u8>>,
    /// Whether the present request follows a copy, or may be followed by one.
    is_behind_copy: bool,
}

impl ResponseCopies {
    /// A request was received. Writes the copy that it sets off.
    pub async fn request_received(&mut self, environment: &Environment, connection: &mut HttpConnection) {
        let Some(copy) = self.pending.take() else { return };
        sleep(copy_delay(environment)).await;
        environment.checker.borrow_mut().count("copies set off by a request");
        // The connection may have ended meanwhile, which the next read finds.
        let _ = connection.write(&copy).await;
        self.is_behind_copy = true;
    }

    /// Draws what happens to the present request.
    pub fn draw_fate(&mut self, environment: &Environment) -> RequestFate {
        if !std::mem::take(&mut self.is_behind_copy) {
            return RequestFate::Processed;
        }
        match environment.random.borrow_mut().f64() {
            draw if draw < REFUSAL_PROBABILITY => RequestFate::Refused,
            draw if draw < REFUSAL_PROBABILITY + HANG_PROBABILITY => RequestFate::Unanswered,
            _ => RequestFate::Processed,
        }
    }

    /// A response was written. Draws whether it is copied, and when.
    pub fn response_written(
        &mut self,
        environment: &Rc<Environment>,
        connection: &HttpConnection,
        response: &[u8],
    ) {
        if !environment.copies_responses() || !environment.random_bool(COPY_PROBABILITY) {
            return;
        }
        let trigger = match environment.random_bool(0.5) {
            true => CopyTrigger::Response,
            false => CopyTrigger::NextRequest,
        };
        match trigger {
            CopyTrigger::NextRequest => self.pending = Some(response.to_vec()),
            CopyTrigger::Response => {
                self.is_behind_copy = true;
                write_late(environment, connection, response.to_vec());
            }
        }
    }
}

fn copy_delay(environment: &Environment) -> Duration {
    environment.random_duration(0, MAX_COPY_DELAY_MS)
}

/// Writes a copy on the connection after a delay, whatever happens there meanwhile.
fn write_late(environment: &Rc<Environment>, connection: &HttpConnection, copy: Vec<u8>) {
    // Without a descriptor left there is no copy.
    let Ok(mut stream) = connection.writer() else { return };
    let delay = copy_delay(environment);
    environment.checker.borrow_mut().count("copies late by themselves");
    environment.spawn(async move {
        sleep(delay).await;
        // The forwarder may have closed the connection.
        let _ = write_all(&mut stream, &copy).await;
    });
}
