//! The farm: the platform's list of endpoints, watched as long as the program runs.

use super::board::Known;
use super::http::{Broken, Wire};
use super::{Context, ToDecider};
use crate::words::{in_field, index, text, whole, Names};
use crate::{DestinationId, EndpointId, Entry, KindId, Lifecycle, ListNews, ZoneId};
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use serde_json::Value;
use slog::{info, warn};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A watch that says nothing for so long, not even with an empty line, is opened anew.
const SILENCE: Duration = Duration::from_millis(3000);
const PAUSE: Duration = Duration::from_millis(200);
const LINE_LIMIT: usize = 4 * 1024 * 1024;

/// What the farm can be told: to watch now, without a pause.
pub struct Watch;

/// The list as this program holds it.
pub struct Farm {
    context: Rc<Context>,
    names: Rc<Names>,
    generation: Option<u64>,
    ids: HashMap<String, EndpointId>,
    next: u32,
}

impl Farm {
    /// A farm that holds nothing.
    pub fn new(context: Rc<Context>, names: Rc<Names>) -> Self {
        Farm { context, names, generation: None, ids: HashMap::new(), next: 0 }
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
        let next = &mut self.next;
        let endpoint = *self.ids.entry(name).or_insert_with(|| {
            *next += 1;
            EndpointId(*next)
        });
        let of = &self.context.config.kinds[kind];
        let (apart, per_call) = (of.apart, of.per_call);
        let known = Known { address, destination, apart, per_call, leaving_since: None };
        self.context.board.list(endpoint, lifecycle, known);
        Ok(Entry { endpoint, destination, zone: ZoneId(zone), kind: KindId(kind), lifecycle, weight })
    }

    /// Watches the list without end.
    pub async fn run(mut self, mail: Receiver<Watch>) {
        loop {
            let ended = self.watch().await;
            info!(self.context.log, "connection ended"; "side" => "farm", "reason" => ended.code());
            let pause = async {
                Timer::after(PAUSE).await;
            };
            let asked = async {
                if mail.recv().await.is_err() {
                    future::pending::<()>().await;
                }
            };
            future::or(pause, asked).await;
        }
    }

    async fn watch(&mut self) -> Broken {
        let address = self.context.config.discovery;
        let opening = async {
            let mut wire = Wire::new(Async::<TcpStream>::connect(address).await.map_err(Broken::Socket)?);
            let after = self.generation.map_or(String::new(), |g| format!("&after={g}"));
            let request = format!("GET /catalog/members?watch=1{after} HTTP/1.1\r\nHost: {address}\r\n\r\n");
            wire.write(request.as_bytes()).await.map_err(Broken::Socket)?;
            let head = wire.read_answer().await?;
            if head.status != 200 {
                return Err(Broken::Malformed("the watch was not answered with 200"));
            }
            Ok(wire)
        };
        let mut wire = match in_time(opening).await {
            Ok(wire) => wire,
            Err(e) => return e,
        };
        let mut line = Vec::new();
        loop {
            let part = match in_time(wire.chunk(LINE_LIMIT)).await {
                Ok(Some(part)) => part,
                Ok(None) => return Broken::Ended,
                Err(e) => return e,
            };
            line.extend_from_slice(&part);
            while let Some(end) = line.iter().position(|b| *b == b'\n') {
                let rest = line.split_off(end + 1);
                let whole = std::mem::replace(&mut line, rest);
                if let Err(e) = self.take_line(&whole).await {
                    warn!(self.context.log, "the list makes no sense"; "error" => e);
                    return Broken::Malformed("a line of the list");
                }
            }
            if line.len() > LINE_LIMIT {
                return Broken::TooLarge;
            }
        }
    }

    async fn take_line(&mut self, line: &[u8]) -> Result<(), String> {
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        let v: Value = serde_json::from_slice(line).map_err(|e| e.to_string())?;
        let (complete, entries) = self.read(&v)?;
        info!(self.context.log, "list"; "generation" => self.generation, "complete" => complete, "entries" => entries.len());
        self.context.counters.lists.add();
        self.tell(if complete { ListNews::Whole(entries) } else { ListNews::Patch(entries) }).await;
        Ok(())
    }
}

async fn in_time<T>(what: impl std::future::Future<Output = Result<T, Broken>>) -> Result<T, Broken> {
    let late = async {
        Timer::after(SILENCE).await;
        Err(Broken::Malformed("silent"))
    };
    future::or(what, late).await
}
