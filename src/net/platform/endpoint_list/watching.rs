//! Which watch the list comes from: opening one, replacing one that fell silent, and taking their lines.

use super::decode::{DecodeError, ListVersion, RawList};
use super::publish::UpdateKind;
use super::watch::{Watch, WatchRequest};
use super::{is_heartbeat, EndpointListActor, PUSHED};
use crate::membership::{Listing, SourceUpdate};
use crate::net::http::HttpError;
use crate::net::messages::{EndpointListMessage, ListLine, WatchEnd};
use crate::Micros;
use async_io::Timer;
use slog::{info, warn};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// At most so many watches are being opened at once.
const MAX_CONNECTING: usize = 3;
/// A watch that another has replaced is still read for so long.
const REPLACED_READ_FOR: Duration = Duration::from_millis(200);

/// The watches that are open or being opened.
#[derive(Default)]
pub(super) struct Watches {
    /// The one that the list comes from.
    pub current: Option<Watch>,
    /// The one before it, for a moment: what it had sent and was not read yet was sent all the same.
    pub replaced: Option<Watch>,
    /// Those of which the first to send its list becomes the current one, the newest last.
    pub connecting: VecDeque<Watch>,
    /// The number of the newest.
    last_number: u64,
}

impl Watches {
    /// Whether the list comes, or is about to come, from anywhere.
    pub fn is_empty(&self) -> bool {
        self.current.is_none() && self.connecting.is_empty()
    }

    fn is_current(&self, number: u64) -> bool {
        self.current.as_ref().is_some_and(|watch| watch.number == number)
    }

    fn is_replaced(&self, number: u64) -> bool {
        self.replaced.as_ref().is_some_and(|watch| watch.number == number)
    }

    fn is_newest(&self, number: u64) -> bool {
        let newest = self.connecting.back().or(self.current.as_ref());
        newest.is_some_and(|watch| watch.number == number)
    }

    fn connecting_index(&self, number: u64) -> Option<usize> {
        self.connecting.iter().position(|watch| watch.number == number)
    }

    /// Where the agent of a watch listens.
    pub fn address_of(&self, number: u64) -> Option<SocketAddr> {
        let all = self.current.iter().chain(&self.replaced).chain(&self.connecting);
        all.into_iter().find(|watch| watch.number == number).map(|watch| watch.address)
    }

    fn watches(&self, address: SocketAddr) -> bool {
        self.current.as_ref().is_some_and(|watch| watch.address == address)
    }

    fn remove(&mut self, number: u64) {
        let has_number = |watch: &mut Watch| watch.number == number;
        self.replaced.take_if(has_number);
        self.current.take_if(has_number);
        self.connecting.retain_mut(|watch| !has_number(watch));
    }
}

impl EndpointListActor {
    /// Opens a watch where the platform's agent listens, unless one is open there or on its way.
    pub(super) fn reconnect(&mut self) {
        let wanted = self.context.config().agent_address;
        self.watches.connecting.retain(|watch| watch.address == wanted);
        if self.watches.watches(wanted) {
            self.watches.connecting.clear();
        } else if self.watches.connecting.is_empty() {
            self.open_watch(0);
        }
    }

    /// Opens a watch after a delay; of too many that are being opened the oldest is dropped.
    pub(super) fn open_watch(&mut self, delay_us: Micros) {
        let address = self.context.config().agent_address;
        // A generation means nothing at an address that did not give it: there, the complete list is asked for.
        let from_here = self.generation_source.is_none_or(|source| source == address);
        self.watches.last_number += 1;
        let request = WatchRequest {
            number: self.watches.last_number,
            address,
            after_generation: self.generation.filter(|_| from_here),
            delay: Duration::from_micros(delay_us),
        };
        let watch = Watch::start(&self.context.executor, &self.context.log, &self.own, request);
        self.watches.connecting.push_back(watch);
        if self.watches.connecting.len() > MAX_CONNECTING {
            self.watches.connecting.pop_front();
        }
    }

    /// A watch has fallen silent. Another is opened beside it, unless a newer one is on its way.
    pub(super) fn watch_silent(&mut self, number: u64) {
        if self.watches.is_newest(number) {
            info!(self.context.log, "the watch is silent, opening another";
                "side" => "endpoint-list", "reason" => "silent");
            self.open_watch(0);
        }
    }

    /// A watch has ended. While another address is wanted than the one that is watched, only a watch there counts.
    pub(super) fn watch_ended(&mut self, number: u64, end: WatchEnd) {
        self.watches.remove(number);
        // The agent is there and sends nothing: that is no reason to keep calls waiting.
        self.context.endpoint_list.set_received();
        if !self.watches.connecting.is_empty() || self.watches.watches(self.context.config().agent_address) {
            return;
        }
        let delay_us = match end {
            WatchEnd::Rejected { retry_after, .. } => {
                self.approach.after_rejection(retry_after, fastrand::f64())
            }
            WatchEnd::Failed(_) => self.approach.after_failure(fastrand::f64()),
        };
        self.open_watch(delay_us);
    }

    /// The time for which a replaced watch was still read is over.
    pub(super) fn replaced_watch_expired(&mut self, number: u64) {
        self.watches.replaced.take_if(|watch| watch.number == number);
    }

    /// The earliest time at which a line may have come that a watch has just sent.
    pub(super) fn earliest_arrival(&self, number: u64) -> Micros {
        if self.watches.connecting_index(number).is_some() {
            // What a new watch sends first may have been there since the current one last received anything.
            return self.last_line_at;
        }
        self.context.stall_detector.earliest_arrival(self.context.clock.now())
    }

    /// Takes a line of a watch, which is empty where only the connection is kept alive.
    pub(super) async fn take_line(&mut self, number: u64, line: &[u8]) {
        let received_at = self.earliest_arrival(number);
        if self.watches.is_replaced(number) {
            return self.take_line_of_replaced(line, received_at).await;
        }
        let is_current = self.watches.is_current(number);
        let connecting = self.watches.connecting_index(number);
        let now = self.context.stall_detector.earliest_arrival(self.context.clock.now());
        if is_current {
            self.last_line_at = now;
        }
        if is_heartbeat(line) || !(is_current || connecting.is_some()) {
            return;
        }
        let version = match RawList::parse(line).and_then(|list| self.decode(list)) {
            Ok(version) => version,
            Err(error) => {
                warn!(self.context.log, "endpoint list malformed"; "error" => %error);
                let error = HttpError::Malformed("the list makes no sense");
                return self.watch_ended(number, WatchEnd::Failed(error));
            }
        };
        if let Some(index) = connecting {
            self.make_current(index);
        }
        self.last_line_at = now;
        self.take_version(received_at, version).await;
    }

    /// Applies a version of the list that the current watch has sent.
    async fn take_version(&mut self, received_at: Micros, version: ListVersion) {
        let ListVersion { generation, complete, listings, .. } = version;
        self.generation = Some(generation);
        self.approach.received();
        self.generation_source = self.watches.current.as_ref().map(|watch| watch.address);
        info!(self.context.log, "endpoint list received"; "generation" => generation, "complete" => complete,
            "entries" => listings.len());
        self.context.counters.list_versions_received.increment();
        self.apply_version(received_at, complete, listings).await;
        // Only now: the endpoint table has it.
        self.context.endpoint_list.set_received();
    }

    async fn take_line_of_replaced(&mut self, line: &[u8], received_at: Micros) {
        if let Some(generation) = self.take_line_from_elsewhere(line, received_at).await {
            info!(self.context.log, "endpoint list received"; "generation" => generation, "replaced" => true);
        }
    }

    /// Takes a line that a watch of the predecessor has sent: what the platform's agent has is binding from then on, although the
    /// watch of this process may not be open yet.
    pub(super) async fn take_predecessor_line(&mut self, line: ListLine) {
        // Another agent numbers its versions in another way, and the one that this process watches has told its list.
        if self.generation_source.is_some_and(|source| source != line.address) {
            return;
        }
        if let Some(generation) = self.take_line_from_elsewhere(&line.line, line.received_at).await {
            info!(self.context.log, "endpoint list received"; "generation" => generation, "predecessor" => true);
        }
    }

    /// What another watch than the current one sends counts if it is newer than what that one has sent; its generation then.
    async fn take_line_from_elsewhere(&mut self, line: &[u8], received_at: Micros) -> Option<u64> {
        let list = RawList::parse(line).ok()?;
        // A complete list would replace what the current watch has sent.
        if list.generation() <= self.generation || list.is_complete() && self.generation.is_some() {
            return None;
        }
        // The generation stays: the current watch goes on from what it has sent itself.
        let ListVersion { generation, complete, listings, .. } = self.decode(list).ok()?;
        self.apply_version(received_at, complete, listings).await;
        Some(generation)
    }

    async fn apply_version(&mut self, received_at: Micros, complete: bool, listings: Vec<Listing>) {
        let (update, kind) = match complete {
            true => (SourceUpdate::Complete { version: None, listings }, UpdateKind::Complete),
            false => (SourceUpdate::Patch { listings, removed: Vec::new() }, UpdateKind::Patch),
        };
        let changes = self.membership.apply(received_at, PUSHED, update);
        self.publish(kind, changes).await;
    }

    /// Decodes a version of the list and logs the entries that cannot be used.
    pub(super) fn decode(&self, list: RawList) -> Result<ListVersion, DecodeError> {
        let version = list.decode(&self.names)?;
        for error in &version.unusable_entries {
            warn!(self.context.log, "entry ignored"; "error" => %error);
        }
        Ok(version)
    }

    /// Puts a watch that has sent its list in the place of the current one. Only now that one is replaced: nothing that it
    /// sent meanwhile was missed.
    fn make_current(&mut self, index: usize) {
        let next = self.watches.connecting.remove(index);
        self.watches.connecting.clear();
        if let Some(previous) = std::mem::replace(&mut self.watches.current, next) {
            self.keep_replaced(previous);
        }
    }

    /// Reads a replaced watch for a moment more. Guards against lines that lay unread on it, as after a stall, and that the
    /// current one does not have yet.
    fn keep_replaced(&mut self, watch: Watch) {
        info!(self.context.log, "connection ended"; "side" => "endpoint-list", "reason" => "moved");
        let (own, number) = (self.own.clone(), watch.number);
        self.watches.replaced = Some(watch);
        let expiry = async move {
            Timer::after(REPLACED_READ_FOR).await;
            // Without the actor the watch is gone, too.
            let _ = own.send(EndpointListMessage::ReplacedWatchExpired { watch: number }).await;
        };
        self.context.executor.spawn(expiry).detach();
    }
}
