//! How one process of a forwarder replaces another: the older one passes on all that it holds at one moment, and from
//! then on only sends on what still comes to it. It decides nothing; `docs/operator.md` tells the steps.

pub mod frames;
pub mod lock;

use crate::net::config::Config;
use crate::net::delivery::DeliveryActor;
use crate::net::dial::connect;
use crate::net::handover::lock::{Lock, Owner};
use crate::net::http::{frame, write_all, HttpConnection, HttpError};
use crate::net::messages::{
    AdminError, DeliveryMessage, EndpointListMessage, SubmitReply, Successor, DEFAULT_RETRY_AFTER,
};
use crate::net::operator::{self};
use crate::net::{within, Context};
use crate::{DeliveryPolicy, MessageId};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use frames::{HandOverState, PredecessorFrame, SuccessorFrame, FORMAT};
use futures_lite::future;
use serde::{de::DeserializeOwned, Serialize};
use slog::{info, warn, Logger};
use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A frame holds no more than this: the state of many thousand messages, without their bodies.
const LARGEST: usize = 64 << 20;
/// The new process must have said that it owns all so long after it was sent the state; user agents wait meanwhile.
const TAKES: Duration = Duration::from_millis(1500);
/// The older process answers, and lets go of its lock, within this.
const GIVES: Duration = Duration::from_millis(2000);
/// Between two looks at a lock that another process holds.
const LOOK: Duration = Duration::from_millis(20);
/// With nothing left to send on, the older process waits so long for its signal, then leaves.
const LEFT_OVER: Duration = Duration::from_secs(10);
/// Between two tries to write the owner's name.
const NAME_AGAIN: Duration = Duration::from_millis(100);
/// Frames that wait to be written.
const QUEUE: usize = 1024;

/// Writes frames; any number may be had of it.
#[derive(Clone)]
pub struct FrameSender {
    frames: Sender<Vec<u8>>,
}

impl FrameSender {
    async fn send(&self, head: &impl Serialize, body: &[u8]) -> Result<(), HttpError> {
        let head = serde_json::to_vec(head).map_err(|_| HttpError::Malformed("a frame cannot be written"))?;
        self.frames.send(frame(&head, body)).await.map_err(|_| HttpError::Torn)
    }

    /// What is dropped to call off an attempt that is out at the older process.
    pub fn call_off(&self, context: &Context, id: MessageId, attempt: u32) -> Sender<()> {
        let (call, called_off) = async_channel::bounded::<()>(1);
        let speaker = self.clone();
        let waiting = async move {
            let _ = called_off.recv().await;
            // One that has come out meanwhile is not known there any more.
            let _ = speaker.send(&SuccessorFrame::Cancel { id, attempt }, &[]).await;
        };
        context.executor.spawn(waiting).detach();
        call
    }
}

/// One end of the connection between the two.
struct Link {
    wire: HttpConnection,
    speaker: FrameSender,
}

impl Link {
    fn new(wire: HttpConnection, executor: &LocalExecutor<'static>) -> Result<Link, HttpError> {
        let (frames, mail) = async_channel::bounded(QUEUE);
        let to = wire.writer().map_err(HttpError::Socket)?;
        executor.spawn(write(to, mail)).detach();
        Ok(Link { wire, speaker: FrameSender { frames } })
    }

    async fn read<T: DeserializeOwned>(&mut self) -> Result<(T, Vec<u8>), HttpError> {
        let (head, body) = self.wire.read_frame(LARGEST).await?;
        let head =
            serde_json::from_slice(&head).map_err(|_| HttpError::Malformed("a frame cannot be read"))?;
        Ok((head, body))
    }
}

/// Writes frames beside the reading, so that two that write to each other never wait for each other.
async fn write(mut to: Async<TcpStream>, mail: Receiver<Vec<u8>>) {
    while let Ok(frame) = mail.recv().await {
        if write_all(&mut to, &frame).await.is_err() {
            return;
        }
    }
}

/// Hands all over and then sends on what still comes, without end; comes back if the other did not take it, with
/// everything as it was before.
pub async fn hand_over(decider: &mut DeliveryActor, heir: Successor, mail: &Receiver<DeliveryMessage>) {
    let context = decider.context().clone();
    let begun = Instant::now();
    let given = async {
        // What could not be written would not be in the folder that the other one reads.
        context.journal.pause().map_err(|_| HttpError::Malformed("the journal cannot be written"))?;
        let mut link = Link::new(heir.wire, &context.executor)?;
        link.speaker.send(&PredecessorFrame::State(Box::new(decider.state(heir.list))), &[]).await?;
        match link.read().await? {
            (SuccessorFrame::Owns, _) => Ok(link),
            _ => Err(HttpError::Malformed("it did not say that it owns")),
        }
    };
    let given = within(TAKES, given).await.unwrap_or(Err(HttpError::Stalled));
    let link = match given {
        Ok(link) => link,
        Err(e) => {
            warn!(context.log, "not handed over, serving on"; "reason" => e.code(), "error" => %e);
            context.journal.resume();
            context.handing_over.set(false);
            let _ = decider.members().send(EndpointListMessage::HandOverAborted).await;
            return;
        }
    };
    // From here on the other one decides. Its listener is open, so this one's may close.
    context.handed_over.set();
    drop(context.folder_lock.take());
    let _ = link.speaker.send(&PredecessorFrame::Granted, &[]).await;
    info!(context.log, "handed over"; "ms" => begun.elapsed().as_millis() as u64, "open" => context.open_messages.get(),
        "out" => context.calls_in_flight.get());
    decider.step_down();
    relay(decider, link, mail).await;
    warn!(context.log, "the process that took over is gone");
    context.successor_lost.set();
    // Whatever still comes is not taken on.
    while let Ok(news) = mail.recv().await {
        match news {
            DeliveryMessage::Submit { reply, .. } => {
                let _ = reply.try_send(SubmitReply::Unavailable(DEFAULT_RETRY_AFTER));
            }
            DeliveryMessage::Admin { reply, .. } => drop(reply.try_send(Err(AdminError::ShuttingDown))),
            _ => {}
        }
    }
}

/// Sends on what comes to the older process, up to the end of the connection.
async fn relay(decider: &mut DeliveryActor, mut link: Link, mail: &Receiver<DeliveryMessage>) {
    enum Word {
        Mail(DeliveryMessage),
        Frame(SuccessorFrame),
    }
    let mut number = 0;
    let mut replies: BTreeMap<u64, Sender<SubmitReply>> = BTreeMap::new();
    let mut answers: BTreeMap<u64, Sender<Result<(), AdminError>>> = BTreeMap::new();
    loop {
        let framed = async { link.read().await.ok().map(|f| Word::Frame(f.0)) };
        let mailed = async { mail.recv().await.ok().map(Word::Mail) };
        let Some(word) = future::or(framed, mailed).await else { break };
        number += 1;
        let sent = match word {
            Word::Mail(DeliveryMessage::Submit { request, reply }) => {
                replies.insert(number, reply);
                let body = request.body.clone();
                link.speaker.send(&PredecessorFrame::Submit { number, request }, &body).await
            }
            Word::Mail(DeliveryMessage::Withdrawn { id }) => {
                link.speaker.send(&PredecessorFrame::Withdrawn { id }, &[]).await
            }
            Word::Mail(DeliveryMessage::CallCompleted(came)) => {
                link.speaker.send(&PredecessorFrame::CallCompleted(came), &[]).await
            }
            Word::Mail(DeliveryMessage::Admin { command: operation, reply }) => {
                answers.insert(number, reply);
                link.speaker.send(&PredecessorFrame::Admin { number, command: operation }, &[]).await
            }
            Word::Mail(DeliveryMessage::PredecessorGone) => {
                let mut sent = Ok(());
                for came in decider.lost_with_older() {
                    sent = link.speaker.send(&PredecessorFrame::CallCompleted(came), &[]).await;
                }
                sent
            }
            // The other one has its own list and settings, and it is asked itself.
            Word::Mail(_) => Ok(()),
            Word::Frame(SuccessorFrame::Reply { number, reply }) => match (replies.remove(&number), reply) {
                (Some(to), SubmitReply::Accepted(id)) if to.try_send(reply).is_err() => {
                    link.speaker.send(&PredecessorFrame::Withdrawn { id }, &[]).await
                }
                (Some(to), reply) => {
                    let _ = to.try_send(reply);
                    Ok(())
                }
                (None, _) => Ok(()),
            },
            Word::Frame(SuccessorFrame::Cancel { id, attempt }) => {
                decider.call_off(id, attempt);
                Ok(())
            }
            Word::Frame(SuccessorFrame::AdminDone { number, result: answer }) => {
                let _ = answers.remove(&number).map(|to| to.try_send(answer));
                Ok(())
            }
            Word::Frame(SuccessorFrame::Owns) => Ok(()),
        };
        if sent.is_err() {
            break;
        }
    }
    for (_, to) in replies {
        let _ = to.try_send(SubmitReply::Unavailable(DEFAULT_RETRY_AFTER));
    }
}

/// Comes back when the older process has nothing more to do here: all is sent on and nothing came for a while, or
/// nobody is there to send it to.
pub async fn until_drained(context: &Context) {
    context.handed_over.wait().await;
    let done = async {
        let mut since = Instant::now();
        while since.elapsed() < LEFT_OVER {
            Timer::after(LOOK).await;
            if context.client_connections.get() + context.calls_in_flight.get() > 0 {
                since = Instant::now();
            }
        }
    };
    future::or(done, context.successor_lost.wait()).await;
}

/// What a starting process has found in the folder.
pub struct FolderClaim {
    /// Held until this process has its name in the folder, so that no third one can come between.
    _next: Lock,
    owner: Option<Lock>,
    link: Option<Link>,
    /// What the older process passes on, if there is one, and its module as it goes on here.
    pub passed: Option<(Box<HandOverState>, DeliveryPolicy)>,
}

/// Claims the folder: it is free, or its owner hands it over, or its end is waited for.
pub async fn claim(
    config: &Config,
    log: &Logger,
    executor: &LocalExecutor<'static>,
) -> io::Result<FolderClaim> {
    std::fs::create_dir_all(&config.state_folder)?;
    let next = loop {
        match Lock::next(&config.state_folder)? {
            Some(lock) => break lock,
            None => drop(Timer::after(LOOK).await),
        }
    };
    let mut hopeless = false;
    loop {
        let owner = Lock::owner(&config.state_folder)?;
        if owner.is_some() {
            return Ok(FolderClaim { _next: next, owner, link: None, passed: None });
        }
        if let Some(named) = lock::read_owner(&config.state_folder).filter(|_| !hopeless) {
            match within(GIVES, ask(&named, executor)).await.unwrap_or(Err(HttpError::Stalled)) {
                Ok((passed, link)) => {
                    return Ok(FolderClaim { _next: next, owner, link: Some(link), passed: Some(passed) });
                }
                Err(e) => {
                    info!(log, "no hand-over yet"; "reason" => e.code(), "error" => %e);
                    // Its words are not understood, and never will be: its end is waited for.
                    hopeless = matches!(e, HttpError::Malformed(_) | HttpError::TooLarge);
                }
            }
        }
        Timer::after(LOOK).await;
    }
}

async fn ask(
    owner: &Owner,
    executor: &LocalExecutor<'static>,
) -> Result<((Box<HandOverState>, DeliveryPolicy), Link), HttpError> {
    let stream = connect(owner.operator).await.map_err(HttpError::Socket)?;
    let mut wire = HttpConnection::new(stream);
    let Owner { operator, token } = owner;
    let head = format!("POST /admin/handover HTTP/1.1\r\nHost: {operator}\r\nX-Token: {token}\r\n");
    let rest = format!("X-Format: {FORMAT}\r\nContent-Length: 0\r\n\r\n");
    wire.write((head + &rest).as_bytes()).await.map_err(HttpError::Socket)?;
    match wire.read_answer().await?.status {
        200 => {}
        415 => return Err(HttpError::Malformed("the process that serves speaks another form")),
        _ => return Err(HttpError::Torn),
    }
    let mut link = Link::new(wire, executor)?;
    let (PredecessorFrame::State(mut state), _) = link.read().await? else {
        return Err(HttpError::Malformed("the state did not come first"));
    };
    // Dropped with the link if it is not understood: the older process serves on.
    let module = serde_json::from_value(state.policy.take());
    let module = module.map_err(|_| HttpError::Malformed("the module's record is of another form"))?;
    Ok(((state, module), link))
}

impl FolderClaim {
    /// What speaks to the older process, if there is one.
    pub fn speaker(&self) -> Option<FrameSender> {
        self.link.as_ref().map(|l| l.speaker.clone())
    }

    /// Takes the folder over, once this process listens and has read it. False if the older process serves on after
    /// all: then everything is to be begun anew.
    pub async fn take_over(&mut self, config: &Config) -> io::Result<bool> {
        if let Some(link) = &mut self.link {
            let granted = async {
                link.speaker.send(&SuccessorFrame::Owns, &[]).await?;
                link.read::<PredecessorFrame>().await
            };
            // Where it died meanwhile, its lock is free all the same.
            let _ = within(GIVES, granted).await;
        }
        let until = Instant::now() + GIVES;
        while self.owner.is_none() && Instant::now() < until {
            self.owner = Lock::owner(&config.state_folder)?;
            Timer::after(Duration::from_millis(2)).await;
        }
        Ok(self.owner.is_some())
    }

    /// Puts this process's name in the folder, gives up the place in line, and attends to what the older process sends
    /// on.
    pub fn start_serving(
        self,
        context: &Rc<Context>,
        at: Owner,
        members: &Sender<EndpointListMessage>,
    ) -> io::Result<()> {
        let owner = self.owner.ok_or_else(|| io::Error::other("the folder is not owned"))?;
        context.hand_over_token.borrow_mut().clone_from(&at.token);
        *context.folder_lock.borrow_mut() = Some(owner);
        context.executor.spawn(tell_owner(context.clone(), at)).detach();
        if let Some(link) = self.link {
            let attending = attend(context.clone(), link, members.clone());
            context.executor.spawn(attending).detach();
        }
        Ok(())
    }
}

/// Writes this process's name into the folder. Until that is done nobody can ask it to hand over, and it serves all the same.
async fn tell_owner(context: Rc<Context>, at: Owner) {
    loop {
        let named = context.folder_lock.borrow_mut().as_mut().map_or(Ok(()), |lock| lock.name(&at));
        let Err(e) = named else { return };
        warn!(context.log, "the owner's name is not written yet"; "reason" => "folder", "error" => %e);
        Timer::after(NAME_AGAIN).await;
    }
}

/// Attends to what the older process sends on, up to its end.
async fn attend(context: Rc<Context>, mut link: Link, members: Sender<EndpointListMessage>) {
    let reason = loop {
        let (word, body) = match link.read().await {
            Ok(read) => read,
            Err(e) => break e.code(),
        };
        let sent = match word {
            PredecessorFrame::Submit { number, mut request } => {
                request.body = body.into();
                let (reply, answer) = async_channel::bounded(1);
                let speaker = link.speaker.clone();
                let answering = async move {
                    let reply = answer.recv().await.unwrap_or(SubmitReply::Unavailable(DEFAULT_RETRY_AFTER));
                    let _ = speaker.send(&SuccessorFrame::Reply { number, reply }, &[]).await;
                };
                context.executor.spawn(answering).detach();
                context.delivery.send(DeliveryMessage::Submit { request, reply }).await
            }
            PredecessorFrame::Withdrawn { id } => {
                context.delivery.send(DeliveryMessage::Withdrawn { id }).await
            }
            PredecessorFrame::CallCompleted(came) => {
                if let Some(wait) = came.result.retry_after {
                    context.endpoint_table.retry_after(came.endpoint, wait);
                }
                context.delivery.send(DeliveryMessage::CallCompleted(came)).await
            }
            PredecessorFrame::Admin { number, command: operation } => {
                let (context, members, speaker) = (context.clone(), members.clone(), link.speaker.clone());
                let executor = context.executor.clone();
                let operating = async move {
                    let answer = operator::perform(&context, &members, operation).await;
                    let _ = speaker.send(&SuccessorFrame::AdminDone { number, result: answer }, &[]).await;
                };
                executor.spawn(operating).detach();
                Ok(())
            }
            PredecessorFrame::State(_) | PredecessorFrame::Granted => Ok(()),
        };
        if sent.is_err() {
            break "ending";
        }
    };
    info!(context.log, "connection ended"; "side" => "older", "reason" => reason);
    context.predecessor_connections.set(0);
    let _ = context.delivery.send(DeliveryMessage::PredecessorGone).await;
}
