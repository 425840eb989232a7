//! Manages the watches of the pushed list: opens them, opens another beside a silent one, and applies their lines.
//!
//! A watch is *connecting* until it receives its first list. Then it becomes the *current* one, and the watch that was
//! current before is *replaced*: it is still read for a short time.

use super::decode::{DecodeError, ListVersion, RawList};
use super::publish::UpdateKind;
use super::watch::{Watch, WatchRequest};
use super::{is_heartbeat, EndpointListActor, PUSHED_SOURCE};
use crate::membership::{Listing, Rejection, SourceUpdate};
use crate::net::http::HttpError;
use crate::net::messages::{EndpointListMessage, ListLine, WatchEnd};
use crate::Micros;
use async_io::Timer;
use slog::{info, warn};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// The most watches that are connecting at the same time.
const MAX_CONNECTING: usize = 3;
/// How long a replaced watch is still read, so that lines that had arrived on it are not lost.
const REPLACED_WATCH_READ_TIME: Duration = Duration::from_millis(200);

/// The watches that are open or connecting.
#[derive(Default)]
pub(super) struct Watches {
    /// The watch that the list currently comes from.
    pub current: Option<Watch>,
    /// The watch before the current one. It is read for a short time, because lines on it may not have been read yet.
    pub replaced: Option<Watch>,
    /// The watches that have not received a list yet, the newest last. The first one that does becomes the current one.
    pub connecting: VecDeque<Watch>,
    /// The number of the newest watch.
    last_number: u64,
}

impl Watches {
    /// Whether there is neither a current watch nor one that is connecting.
    pub fn is_empty(&self) -> bool {
        self.current.is_none() && self.connecting.is_empty()
    }

    fn is_current(&self, number: u64) -> bool {
        self.current.as_ref().is_some_and(|watch| watch.number == number)
    }

    fn is_replaced(&self, number: u64) -> bool {
        self.replaced.as_ref().is_some_and(|watch| watch.number == number)
    }

    /// Whether this is the watch that was opened last: the newest connecting one, or the current one if none is connecting.
    fn is_newest(&self, number: u64) -> bool {
        let newest = self.connecting.back().or(self.current.as_ref());
        newest.is_some_and(|watch| watch.number == number)
    }

    fn connecting_index(&self, number: u64) -> Option<usize> {
        self.connecting.iter().position(|watch| watch.number == number)
    }

    /// The address of a watch's agent; `None` if the watch is closed.
    pub fn address_of(&self, number: u64) -> Option<SocketAddr> {
        let watches = self.current.iter().chain(&self.replaced).chain(&self.connecting);
        watches.into_iter().find(|watch| watch.number == number).map(|watch| watch.address)
    }

    fn has_current_at(&self, address: SocketAddr) -> bool {
        self.current.as_ref().is_some_and(|watch| watch.address == address)
    }

    /// Whether a watch at the address is open and not silent.
    fn has_live_current_at(&self, address: SocketAddr) -> bool {
        self.current.as_ref().is_some_and(|watch| watch.address == address && !watch.is_silent)
    }

    /// Whether a watch that was opened after the one with this number is connecting.
    fn has_newer_connecting(&self, number: u64) -> bool {
        self.connecting.iter().any(|watch| watch.number > number)
    }

    /// Marks whether the current watch is silent, if it is the one with this number.
    fn set_silent(&mut self, number: u64, is_silent: bool) {
        if let Some(current) = self.current.as_mut().filter(|watch| watch.number == number) {
            current.is_silent = is_silent;
        }
    }

    /// Closes the watch with this number, if there is one.
    fn close(&mut self, number: u64) {
        let has_number = |watch: &mut Watch| watch.number == number;
        self.replaced.take_if(has_number);
        self.current.take_if(has_number);
        self.connecting.retain_mut(|watch| !has_number(watch));
    }
}

impl EndpointListActor {
    /// Opens a watch at the configured address of the platform's agent, unless one is open there or connecting to it.
    /// Watches that connect to another address are closed.
    pub(super) fn reconnect(&mut self) {
        let agent = self.context.config().agent_address;
        self.watches.connecting.retain(|watch| watch.address == agent);
        if self.watches.has_current_at(agent) {
            self.watches.connecting.clear();
        } else if self.watches.connecting.is_empty() {
            self.open_watch(0);
        }
    }

    /// Opens a watch after a delay in microseconds. If too many are connecting, the oldest of them is closed.
    pub(super) fn open_watch(&mut self, delay_us: Micros) {
        let address = self.context.config().agent_address;
        // A generation is only valid at the agent that numbered it; another agent is asked for its complete list.
        let is_same_agent = self.generation_source.is_none_or(|source| source == address);
        self.watches.last_number += 1;
        let request = WatchRequest {
            number: self.watches.last_number,
            address,
            after_generation: self.generation.filter(|_| is_same_agent),
            delay: Duration::from_micros(delay_us),
        };
        let watch = Watch::start(&self.context.executor, &self.context.log, &self.own_mailbox, request);
        self.watches.connecting.push_back(watch);
        if self.watches.connecting.len() > MAX_CONNECTING {
            self.watches.connecting.pop_front();
        }
    }

    /// Handles a silent watch: opens another beside it, unless a newer one is already connecting.
    pub(super) fn handle_watch_silence(&mut self, number: u64) {
        self.watches.set_silent(number, true);
        if self.watches.is_newest(number) {
            info!(self.context.log, "the watch is silent, opening another";
                "side" => "endpoint-list", "reason" => "silent");
            self.open_watch(0);
        }
    }

    /// Handles the end of a watch: opens another after the backoff, unless a newer one is connecting or one is open at the
    /// configured address that is not silent.
    pub(super) fn handle_watch_end(&mut self, number: u64, end: WatchEnd) {
        self.watches.close(number);
        // Calls are allowed although no list may have been received: they must not wait any longer for an agent that rejects
        // or breaks watches.
        self.context.endpoint_list.allow_calls();
        if self.watches.has_newer_connecting(number)
            || self.watches.has_live_current_at(self.context.config().agent_address)
        {
            return;
        }
        let delay_us = match end {
            WatchEnd::Rejected { retry_after, answered_after, .. } => {
                let silent_for = self.watches.current.as_ref().map(|_| self.time_since_last_line());
                let rejection = Rejection { retry_after, answered_after, silent_for };
                self.watch_backoff.after_rejection(&rejection, fastrand::f64())
            }
            WatchEnd::Failed(_) => self.watch_backoff.after_failure(fastrand::f64()),
        };
        self.open_watch(delay_us);
    }

    fn time_since_last_line(&self) -> Micros {
        self.context.clock.now().saturating_sub(self.last_line_at)
    }

    /// Closes a replaced watch whose read time is over.
    pub(super) fn close_replaced_watch(&mut self, number: u64) {
        self.watches.replaced.take_if(|watch| watch.number == number);
    }

    /// The earliest time at which this process could have received the line that a watch has just passed on. A drain on the
    /// line counts as received at this time.
    pub(super) fn line_available_since(&self, number: u64) -> Micros {
        if self.watches.connecting_index(number).is_some() {
            // The agent may have had the first list of a new watch ever since the current watch last received anything.
            return self.last_line_at;
        }
        self.context.stall_detector.earliest_arrival(self.context.clock.now())
    }

    /// Handles a line of a watch: a version of the list, or an empty line that keeps the connection alive. Lines of closed
    /// watches are ignored.
    pub(super) async fn handle_line(&mut self, number: u64, line: &[u8]) {
        let available_since = self.line_available_since(number);
        if self.watches.is_replaced(number) {
            return self.handle_replaced_watch_line(line, available_since).await;
        }
        let is_current = self.watches.is_current(number);
        let connecting = self.watches.connecting_index(number);
        let earliest_arrival = self.context.stall_detector.earliest_arrival(self.context.clock.now());
        if is_current {
            self.last_line_at = earliest_arrival;
            self.watches.set_silent(number, false);
        }
        if is_heartbeat(line) || !(is_current || connecting.is_some()) {
            return;
        }
        let version = match RawList::parse(line).and_then(|list| self.decode(&list)) {
            Ok(version) => version,
            Err(error) => {
                warn!(self.context.log, "the endpoint list on a watch is malformed, closing the watch";
                    "error" => %error);
                let error = HttpError::Malformed("the endpoint list is malformed");
                return self.handle_watch_end(number, WatchEnd::Failed(error));
            }
        };
        if let Some(index) = connecting {
            self.make_current(index);
        }
        self.last_line_at = earliest_arrival;
        self.handle_version(available_since, version).await;
    }

    /// Applies a version of the list from the current watch, and records its generation.
    async fn handle_version(&mut self, available_since: Micros, version: ListVersion) {
        let ListVersion { generation, complete, listings, .. } = version;
        self.generation = Some(generation);
        self.watch_backoff.received();
        self.generation_source = self.watches.current.as_ref().map(|watch| watch.address);
        info!(self.context.log, "endpoint list received"; "generation" => generation, "complete" => complete,
            "entries" => listings.len());
        self.context.counters.list_versions_received.increment();
        self.apply_version(available_since, complete, listings).await;
        // The first calls may be sent only now, as the endpoint table holds the list.
        self.context.endpoint_list.allow_calls();
    }

    async fn handle_replaced_watch_line(&mut self, line: &[u8], available_since: Micros) {
        if let Some(generation) = self.apply_line_of_other_watch(line, available_since).await {
            info!(self.context.log, "endpoint list received on the replaced watch";
                "generation" => generation, "replaced" => true);
        }
    }

    /// Handles a line that a watch of the predecessor received. Its changes are applied although no watch of this process
    /// has received them, because a drain must be obeyed as soon as either process has received it.
    pub(super) async fn handle_predecessor_line(&mut self, line: ListLine) {
        // Generations of different agents cannot be compared, and this process already has a list of the agent that it
        // watches.
        if self.generation_source.is_some_and(|source| source != line.address) {
            return;
        }
        if let Some(generation) = self.apply_line_of_other_watch(&line.line, line.available_since).await {
            info!(self.context.log, "endpoint list received from the predecessor";
                "generation" => generation, "predecessor" => true);
        }
    }

    /// Applies a line of a replaced watch or of the predecessor if its version is newer; returns its generation, or `None`
    /// if the line was ignored.
    async fn apply_line_of_other_watch(&mut self, line: &[u8], available_since: Micros) -> Option<u64> {
        let list = RawList::parse(line).ok()?;
        // Once this process has a list, a complete list of another watch is ignored, as it would replace that list.
        if list.generation() <= self.generation || list.is_complete() && self.generation.is_some() {
            return None;
        }
        // `self.generation` stays: it is the last version that the current watch has received itself, and the next watch
        // asks for all changes after it.
        let ListVersion { generation, complete, listings, .. } = self.decode(&list).ok()?;
        self.apply_version(available_since, complete, listings).await;
        Some(generation)
    }

    /// Applies a version of the list to the merged list and publishes the changes. Drains in it count as received at
    /// `available_since`.
    async fn apply_version(&mut self, available_since: Micros, complete: bool, listings: Vec<Listing>) {
        let (update, kind) = match complete {
            true => (SourceUpdate::Complete { version: None, listings }, UpdateKind::Complete),
            false => (SourceUpdate::Patch { listings, removed: Vec::new() }, UpdateKind::Patch),
        };
        let changes = self.membership.apply(available_since, PUSHED_SOURCE, update);
        self.publish(kind, changes).await;
    }

    /// Decodes a version of the list and logs the entries that cannot be used.
    pub(super) fn decode(&self, list: &RawList) -> Result<ListVersion, DecodeError> {
        let version = list.decode(&self.names)?;
        for error in &version.unusable_entries {
            warn!(self.context.log, "endpoint list entry ignored"; "error" => %error);
        }
        Ok(version)
    }

    /// Makes a connecting watch, which has received its first list, the current one, and closes the other connecting ones.
    fn make_current(&mut self, index: usize) {
        let next = self.watches.connecting.remove(index);
        self.watches.connecting.clear();
        if let Some(previous) = std::mem::replace(&mut self.watches.current, next) {
            self.keep_replaced(previous);
        }
    }

    /// Reads a replaced watch for a short time, then closes it. After a stall of this process, lines may be unread on it
    /// that the current watch has not received; without this time they would be lost.
    fn keep_replaced(&mut self, watch: Watch) {
        // Logged when the watch is replaced; it is closed after `REPLACED_WATCH_READ_TIME`.
        info!(self.context.log, "connection ended"; "side" => "endpoint-list", "reason" => "moved");
        let (own_mailbox, number) = (self.own_mailbox.clone(), watch.number);
        self.watches.replaced = Some(watch);
        let expiry = async move {
            Timer::after(REPLACED_WATCH_READ_TIME).await;
            // If the actor has ended, its watches are closed.
            let _ = own_mailbox.send(EndpointListMessage::ReplacedWatchExpired { watch: number }).await;
        };
        self.context.executor.spawn(expiry).detach();
    }
}
