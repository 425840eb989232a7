//! User agents: each message is handed in when the day says, whatever became of those before it (an open loop), and
//! what its client hears decides whether it comes again.

use super::{Handed, Stage};
use crate::audit::End;
use crate::play::{ELSEWHERE, PATIENCE};
use async_io::{Async, Timer};
use cedarbridge::net::http::{HttpConnection, HttpError, ResponseHead};
use cedarbridge::Micros;
use futures_lite::future;
use rand::RngExt;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// A client waits so long for its answer.
const HEARS: Duration = Duration::from_millis(400);
/// Connections that stand idle and are kept, for each forwarder.
const KEPT: usize = 200;

/// Hands in the day's messages, each at its time.
pub async fn run(stage: &Rc<Stage>) {
    for first in 0..stage.world.hands.len() {
        let at = stage.world.hands[first].at;
        if at > stage.now() {
            stage.until(at).await;
        }
        stage.sent.set(first + 1);
        stage.spawn(hand_in(stage.clone(), first, None, at));
    }
    stage.until(stage.world.end).await;
}

/// How a client comes again.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Again {
    /// After a refusal.
    Refused,
    /// Its forwarder died or did not answer.
    Lost,
}

/// What a client heard.
enum Heard {
    Answer(u16, Option<Micros>),
    /// The connection ended with no answer.
    Broken,
    /// Nothing in its time.
    Nothing,
}

async fn hand_in(stage: Rc<Stage>, first: usize, again: Option<Again>, planned: Micros) {
    let hand = stage.world.hands[first];
    let couriers = stage.world.fleet.len();
    let mut to = match again {
        Some(_) => stage.rng.borrow_mut().random_range(0..couriers),
        None => hand.forwarder,
    };
    if again.is_none() {
        stage.count_send(planned);
    }
    let deadline = hand.at + stage.world.settings.classes[0].deadline;
    let since = stage.now();
    loop {
        let now = stage.now();
        if now >= deadline || now > since + PATIENCE {
            // Whoever finds no forwarder in its patience is as good as refused.
            return stage.figures.borrow_mut().given_up(true);
        }
        match ask(&stage, to, first, deadline - now, again).await {
            None => {
                stage.at_the_door(to);
                to = (to + 1) % couriers;
                Timer::after(Duration::from_micros(ELSEWHERE)).await;
            }
            Some((message, heard)) => {
                if matches!(heard, Heard::Broken | Heard::Nothing) {
                    stage.at_the_door(to);
                }
                return hear(&stage, message, heard);
            }
        }
    }
}

/// Writes down a hand-in just before its first byte is written, and gives it its number.
fn note(stage: &Stage, forwarder: usize, first: usize, left: Micros, retried: bool) -> usize {
    let hand = stage.world.hands[first];
    let message = stage.handed.borrow().len();
    stage.handed.borrow_mut().push(Handed { first, retried });
    stage.ids.borrow_mut().insert(word(message), message);
    stage.audit.borrow_mut().taken(stage.now(), forwarder, hand.at, left);
    stage.open.set(stage.open.get() + 1);
    message
}

/// The id of a message.
fn word(message: usize) -> String {
    format!("m{message}")
}

/// Hands a message in; nothing if nobody is there.
async fn ask(
    stage: &Rc<Stage>,
    forwarder: usize,
    first: usize,
    left: Micros,
    again: Option<Again>,
) -> Option<(usize, Heard)> {
    let hand = stage.world.hands[first];
    let kept = stage.pools.borrow_mut()[forwarder].pop();
    let mut fresh = kept.is_none();
    let mut wire = match kept {
        Some(wire) => wire,
        None => connect(stage, forwarder).await?,
    };
    let message = note(stage, forwarder, first, left, again.is_some());
    let retry = match again {
        None => "",
        Some(Again::Refused) => "X-Retry: 1\r\n",
        Some(Again::Lost) => "X-Retry: again\r\n",
    };
    let body = format!("notice {first}");
    let request = format!(
        "POST /api HTTP/1.1\r\nHost: kit\r\nX-Request-Id: {}\r\nX-Class: {}\r\nX-Tenant: {}\r\n\
         X-Deadline: {left}u\r\nIdempotency-Key: k{first}\r\nX-Addressing: dest={}\r\n{retry}\
         Content-Length: {}\r\n\r\n{body}",
        word(message),
        stage.world.names.classes[0],
        stage.world.names.tenants[hand.tenant],
        hand.partner,
        body.len()
    );
    let late = async {
        Timer::after(HEARS).await;
        (Heard::Nothing, None)
    };
    let said = async {
        loop {
            match exchange(&mut wire, request.as_bytes()).await {
                Ok(head) => {
                    let after = head.headers.get("Retry-After").and_then(|r| r.parse::<f64>().ok());
                    let heard = Heard::Answer(head.status, after.map(|s| (s * 1e6) as Micros));
                    return (heard, Some(wire).filter(|_| head.keep_alive));
                }
                // It was closed between requests: once more on a new one.
                Err(HttpError::Closed | HttpError::Socket(_)) if !fresh => {
                    fresh = true;
                    match connect(stage, forwarder).await {
                        Some(new) => wire = new,
                        None => return (Heard::Broken, None),
                    }
                }
                Err(_) => return (Heard::Broken, None),
            }
        }
    };
    let (heard, wire) = future::or(said, late).await;
    let mut pools = stage.pools.borrow_mut();
    let room = pools[forwarder].len() < KEPT;
    pools[forwarder].extend(wire.filter(|_| room));
    Some((message, heard))
}

async fn connect(stage: &Stage, forwarder: usize) -> Option<HttpConnection> {
    let address = stage.daemons.borrow()[forwarder].address();
    Async::<TcpStream>::connect(address).await.ok().map(HttpConnection::new)
}

async fn exchange(wire: &mut HttpConnection, request: &[u8]) -> Result<ResponseHead, HttpError> {
    wire.write(request).await.map_err(HttpError::Socket)?;
    let head = wire.read_response().await?;
    wire.response_body(&head, 64 * 1024).await?;
    Ok(head)
}

fn hear(stage: &Rc<Stage>, message: usize, heard: Heard) {
    match heard {
        Heard::Answer(200 | 202, _) => {}
        Heard::Answer(429 | 503, after) => {
            stage.ended(message, End::Refused, false);
            refused(stage, message, after);
        }
        Heard::Answer(_, _) => stage.ended(message, End::Failed, false),
        Heard::Broken | Heard::Nothing => {
            // What the forwarder makes of it counts for nothing now; its client comes again at once.
            stage.ended(message, End::Withdrawn, false);
            let h = stage.handed.borrow()[message];
            come_again(stage, h.first, ELSEWHERE, Again::Lost);
        }
    }
}

/// A message was given back: its client may come again, once, no sooner than it was told.
pub fn refused(stage: &Rc<Stage>, message: usize, after: Option<Micros>) {
    let h = stage.handed.borrow()[message];
    let again = stage.world.hands[h.first].again;
    if let Some(wait) = again.filter(|_| !h.retried) {
        come_again(stage, h.first, wait.max(after.unwrap_or(0)), Again::Refused);
    }
}

fn come_again(stage: &Rc<Stage>, first: usize, wait: Micros, how: Again) {
    stage.looking.set(stage.looking.get() + 1);
    let stage = stage.clone();
    stage.clone().spawn(async move {
        Timer::after(Duration::from_micros(wait)).await;
        let planned = stage.now();
        hand_in(stage.clone(), first, Some(how), planned).await;
        stage.looking.set(stage.looking.get() - 1);
    });
}
