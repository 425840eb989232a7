//! The farm: the platform's list of endpoints, watched as long as the program runs.

use super::board::Known;
use super::http::{Broken, Wire};
use super::{Context, ToDecider};
use crate::words::{in_field, index, text, whole, Names};
use crate::{DestinationId, EndpointId, Entry, KindId, Lifecycle, ListNews, ZoneId};
use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::future;
use serde_json::Value;
use slog::{info, warn};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A watch that says nothing for so long, not even with an empty line, is opened anew.
const SILENCE: Duration = Duration::from_millis(3000);
/// The platform's agent answers at once; one that does not is asked again.
const OPENING: Duration = Duration::from_millis(1000);
const PAUSE: Duration = Duration::from_millis(200);
const LINE_LIMIT: usize = 4 * 1024 * 1024;

/// What the farm can be told.
pub enum ToFarm {
    /// To watch now, without a pause.
    Watch,
    /// To look where the platform's agent listens: the configuration was read again.
    Look,
    /// A watch has a line.
    Line {
        /// Which watch.
        watch: u64,
        /// The line.
        line: Vec<u8>,
    },
    /// A watch has ended.
    Ended {
        /// Which watch.
        watch: u64,
    },
}

/// A watch: dropped, it closes its connection.
struct Watch {
    number: u64,
    address: SocketAddr,
    _task: Task<()>,
}

/// The list as this program holds it.
pub struct Farm {
    context: Rc<Context>,
    names: Arc<Names>,
    own: Sender<ToFarm>,
    /// The watch that the list comes from.
    held: Option<Watch>,
    /// The one that is to take its place once it has told its first list.
    next: Option<Watch>,
    watches: u64,
    generation: Option<u64>,
    /// Where that version comes from; not known of the list that the configuration brings.
    source: Option<SocketAddr>,
    ids: HashMap<String, EndpointId>,
    last_id: u32,
}

impl Farm {
    /// A farm that holds nothing; its mailbox is for its watches.
    pub fn new(context: Rc<Context>, own: Sender<ToFarm>) -> Self {
        let names = context.config().names.clone();
        let (held, next, generation, source, ids) = Default::default();
        Farm { context, names, own, held, next, watches: 0, generation, source, ids, last_id: 0 }
    }

    /// Takes in the list that the configuration brings; it may be old.
    pub async fn take_known(&mut self, known: &Value) {
        match self.read(known) {
            Ok((_, entries)) => self.tell(ListNews::Stale(entries)).await,
            Err(e) => warn!(self.context.log, "the known list makes no sense"; "error" => e),
        }
    }

    async fn tell(&mut self, news: ListNews) {
        self.context.holds_list.set(true);
        let _ = self.context.decider.send(ToDecider::List(news)).await;
    }

    /// Reads a version of the list and writes it on the board.
    fn read(&mut self, v: &Value) -> Result<(bool, Vec<Entry>), String> {
        let generation = in_field(v, "generation", whole)?;
        let complete = v.get("reset").and_then(Value::as_bool).unwrap_or(false);
        let instances = v.get("instances").and_then(Value::as_array).ok_or("no `instances`")?;
        let mut entries = Vec::new();
        for instance in instances {
            match self.entry(instance) {
                Ok(entry) => entries.push(entry),
                // One odd entry must not hide the others.
                Err(e) => warn!(self.context.log, "entry passed over"; "error" => e),
            }
        }
        if complete {
            let named: Vec<_> = entries.iter().map(|e| e.endpoint).collect();
            self.context.board.keep_only(&named);
        }
        self.generation = Some(generation);
        self.context.board.prune(self.context.clock.now());
        self.ids.retain(|_, id| self.context.board.get(*id).is_some());
        Ok((complete, entries))
    }

    fn entry(&mut self, v: &Value) -> Result<Entry, String> {
        let name = in_field(v, "instanceId", text)?;
        let address: SocketAddr =
            in_field(v, "hostPort", text)?.parse().map_err(|_| format!("`{name}` has no address"))?;
        let lifecycle = match in_field(v, "lifecycle", text)?.as_str() {
            "active" => Lifecycle::Listed,
            "leaving" => Lifecycle::Draining,
            "left" => Lifecycle::Gone,
            other => return Err(format!("`{name}` has the unknown lifecycle `{other}`")),
        };
        let kind = index(&self.names.kinds, &in_field(v, "machineType", text)?, "kind")?;
        let zone = index(&self.names.zones, &in_field(v, "zone", text)?, "zone")?;
        let destination = DestinationId(in_field(v, "cell", whole)?);
        let weight = v.get("weight").and_then(Value::as_f64).unwrap_or(1.0);
        let last = &mut self.last_id;
        let endpoint = *self.ids.entry(name).or_insert_with(|| {
            *last += 1;
            EndpointId(*last)
        });
        let of = &self.context.config().kinds[kind];
        let apart = of.apart;
        let known = Known { address, destination, apart, leaving_since: None };
        self.context.board.list(endpoint, lifecycle, known);
        Ok(Entry { endpoint, destination, zone: ZoneId(zone), kind: KindId(kind), lifecycle, weight })
    }

    /// Keeps the list, by one watch after another, without end.
    pub async fn run(mut self, mail: Receiver<ToFarm>) {
        self.look();
        while let Ok(news) = mail.recv().await {
            match news {
                ToFarm::Look => self.look(),
                ToFarm::Watch if self.held.is_none() => self.open(Duration::ZERO),
                ToFarm::Watch => {}
                ToFarm::Line { watch, line } => self.take_line(watch, &line).await,
                ToFarm::Ended { watch } => self.ended(watch),
            }
        }
    }

    /// Opens a watch where the platform's agent listens, unless one is there or on its way.
    fn look(&mut self) {
        let wanted = Some(self.context.config().discovery);
        let leads = |w: &Option<Watch>| w.as_ref().map(|w| w.address) == wanted;
        if leads(&self.held) {
            self.next = None;
        } else if !leads(&self.next) {
            self.open(Duration::ZERO);
        }
    }

    fn open(&mut self, pause: Duration) {
        let address = self.context.config().discovery;
        // A version number is worth nothing at an address that did not give it: there, the whole list is asked for.
        let after = self.generation.filter(|_| self.source.is_none_or(|s| s == address));
        self.watches += 1;
        let (context, own, number) = (self.context.clone(), self.own.clone(), self.watches);
        let task = self.context.executor.spawn(async move {
            Timer::after(pause).await;
            let reason = watch(address, after, number, &own).await.code();
            info!(context.log, "connection ended"; "side" => "farm", "reason" => reason);
            let _ = own.send(ToFarm::Ended { watch: number }).await;
        });
        self.next = Some(Watch { number, address, _task: task });
    }

    /// A watch is over. While another address is wanted than the one that is watched, only a watch there counts.
    fn ended(&mut self, watch: u64) {
        let over = |w: &mut Watch| w.number == watch;
        self.held.take_if(over);
        self.next.take_if(over);
        let wanted = self.context.config().discovery;
        if self.next.is_none() && self.held.as_ref().is_none_or(|w| w.address != wanted) {
            self.open(PAUSE);
        }
    }

    async fn take_line(&mut self, watch: u64, line: &[u8]) {
        let of = |w: &Option<Watch>| w.as_ref().is_some_and(|w| w.number == watch);
        if line.iter().all(u8::is_ascii_whitespace) || !(of(&self.held) || of(&self.next)) {
            return;
        }
        let read = serde_json::from_slice(line).map_err(|e| e.to_string());
        let (complete, entries) = match read.and_then(|v| self.read(&v)) {
            Ok(read) => read,
            Err(e) => {
                warn!(self.context.log, "the list makes no sense"; "error" => e);
                return self.ended(watch);
            }
        };
        if of(&self.next) {
            // Only now is the old one let go: nothing that it told meanwhile was missed.
            if std::mem::replace(&mut self.held, self.next.take()).is_some() {
                info!(self.context.log, "connection ended"; "side" => "farm", "reason" => "moved");
            }
        }
        self.source = self.held.as_ref().map(|w| w.address);
        info!(self.context.log, "list"; "generation" => self.generation, "complete" => complete, "entries" => entries.len());
        self.context.counters.lists.add();
        self.tell(if complete { ListNews::Whole(entries) } else { ListNews::Patch(entries) }).await;
    }
}

/// Hands on line after line until the connection ends; why it did.
async fn watch(address: SocketAddr, after: Option<u64>, number: u64, farm: &Sender<ToFarm>) -> Broken {
    let opening = async {
        let mut wire = Wire::new(Async::<TcpStream>::connect(address).await.map_err(Broken::Socket)?);
        let after = after.map_or(String::new(), |g| format!("&after={g}"));
        let request = format!("GET /catalog/members?watch=1{after} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        wire.write(request.as_bytes()).await.map_err(Broken::Socket)?;
        let head = wire.read_answer().await?;
        if head.status != 200 {
            return Err(Broken::Malformed("the watch was not answered with 200"));
        }
        Ok(wire)
    };
    let mut wire = match in_time(opening, OPENING).await {
        Ok(wire) => wire,
        Err(e) => return e,
    };
    let mut line = Vec::new();
    loop {
        let part = match in_time(wire.chunk(LINE_LIMIT), SILENCE).await {
            Ok(Some(part)) => part,
            Ok(None) => return Broken::Ended,
            Err(e) => return e,
        };
        line.extend_from_slice(&part);
        while let Some(end) = line.iter().position(|b| *b == b'\n') {
            let rest = line.split_off(end + 1);
            let line = std::mem::replace(&mut line, rest);
            if farm.send(ToFarm::Line { watch: number, line }).await.is_err() {
                return Broken::Ended;
            }
        }
        if line.len() > LINE_LIMIT {
            return Broken::TooLarge;
        }
    }
}

async fn in_time<T>(
    what: impl std::future::Future<Output = Result<T, Broken>>,
    span: Duration,
) -> Result<T, Broken> {
    let late = async {
        Timer::after(span).await;
        Err(Broken::Malformed("silent"))
    };
    future::or(what, late).await
}
