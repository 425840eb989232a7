//! The requests by which a successor asks for the hand-over, or for the calls of a process that has lost its successor.

use super::admin_request::{AdminRequest, RequestSummary, ADMIN_REQUEST_TIMEOUT, HAND_OVER_TARGET};
use crate::membership::MembershipSnapshot;
use crate::net::client::Response;
use crate::net::handover::fence_watch::CALLS_TARGET;
use crate::net::handover::frames::{AcceptedFrames, ACCEPTED_FRAMES_HEADER, FORMAT_VERSION};
use crate::net::http::RequestHead;
use crate::net::messages::{DeliveryMessage, EndpointListMessage, Successor};
use crate::net::runtime::lifecycle::HandOverPhase;
use crate::net::within;
use cedarbridge_allocator::release_free_memory;

/// The response after which frames follow on the connection.
const ACCEPTED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

impl AdminRequest {
    /// Passes the connection of a process that asks for the calls of this one to the delivery actor, or answers why that is not
    /// possible.
    pub(super) async fn serve_calls(mut self, head: &RequestHead) -> RequestSummary {
        let rejection = self.calls_rejection(head);
        let response = match &rejection {
            Some(response) => response.bytes(false),
            None => ACCEPTED.to_owned(),
        };
        let written = within(ADMIN_REQUEST_TIMEOUT, self.connection.write(response.as_bytes())).await;
        if rejection.is_none() && written.is_some_and(|written| written.is_ok()) {
            // If the delivery actor has ended, the connection is dropped, and the process asks no more.
            let _ = self.context.delivery.send(DeliveryMessage::WatchCalls(self.connection)).await;
        }
        RequestSummary { request: format!("POST {CALLS_TARGET}"), reason: "answered" }
    }

    /// Why a process that asks for the calls of this one does not get them; `None` if it does.
    fn calls_rejection(&self, head: &RequestHead) -> Option<Response> {
        let token = head.headers.get("X-Token").unwrap_or_default();
        if head.method != "POST" || !self.context.folder_ownership.is_token(token) {
            return Some(Response::text(404, "no such call\n"));
        }
        // As long as the successor lives, it decides on the messages of these calls.
        (!self.context.lifecycle.is_successor_lost()).then(|| Response::text(409, "not now\n"))
    }

    /// Hands over on the connection of the request, or answers why that is not possible.
    pub(super) async fn serve_hand_over(mut self, head: &RequestHead) -> RequestSummary {
        let reason = match self.begin_hand_over(head).await {
            Ok(list) => {
                let header = head.headers.get(ACCEPTED_FRAMES_HEADER).unwrap_or_default();
                self.hand_over(list, AcceptedFrames::parse(header)).await
            }
            Err(response) => {
                let bytes = response.bytes(false);
                // An error is ignored: a successor that does not get the response asks again.
                let _ = within(ADMIN_REQUEST_TIMEOUT, self.connection.write(bytes.as_bytes())).await;
                "answered"
            }
        };
        RequestSummary { request: format!("POST {HAND_OVER_TARGET}"), reason }
    }

    /// Begins the hand-over if the successor may take over, and returns the endpoint list, which does not change from here
    /// on. Otherwise returns the response that says why not.
    async fn begin_hand_over(&self, head: &RequestHead) -> Result<MembershipSnapshot, Response> {
        let header = |name: &str| head.headers.get(name).unwrap_or_default();
        if head.method != "POST" || !self.context.folder_ownership.is_token(header("X-Token")) {
            return Err(Response::text(404, "no such call\n"));
        }
        if header("X-Format") != FORMAT_VERSION.to_string() {
            return Err(Response::text(415, format!("this process speaks form {FORMAT_VERSION}\n")));
        }
        let lifecycle = &self.context.lifecycle;
        if lifecycle.is_handing_over()
            || lifecycle.is_shutting_down()
            || !self.context.endpoint_list.is_known()
        {
            return Err(Response::text(409, "not now\n"));
        }
        lifecycle.enter_hand_over(HandOverPhase::HandingOver);
        self.context.set_memory_shared(true);
        self.context.request_memory.until_within_share().await;
        release_free_memory();
        match within(ADMIN_REQUEST_TIMEOUT, self.request_list()).await.flatten() {
            Some(list) => Ok(list),
            None => {
                self.context.set_memory_shared(false);
                lifecycle.enter_hand_over(HandOverPhase::Owner);
                // Sending fails if the mailbox is full, and then the request for the list has not been received either.
                let _ = self.endpoint_list.try_send(EndpointListMessage::HandOverAborted);
                Err(Response::text(503, "not now\n"))
            }
        }
    }

    /// Requests the endpoint list from its actor, which does not change it from then on; `None` if the actor has ended.
    async fn request_list(&self) -> Option<MembershipSnapshot> {
        let (reply, list) = async_channel::bounded(1);
        // If the actor has ended, the reply is dropped, and the next line returns `None`.
        let _ = self.endpoint_list.send(EndpointListMessage::HandOver { reply }).await;
        list.recv().await.ok()
    }

    /// Accepts the request and passes the connection to the delivery actor, which hands over on it. Returns the reason's
    /// code for the log.
    async fn hand_over(self, list: MembershipSnapshot, accepted_frames: AcceptedFrames) -> &'static str {
        let AdminRequest { context, endpoint_list, mut connection, .. } = self;
        let is_written = within(ADMIN_REQUEST_TIMEOUT, connection.write(ACCEPTED.as_bytes()))
            .await
            .is_some_and(|w| w.is_ok());
        if is_written {
            let successor = Successor { connection, list, accepted_frames };
            if context.delivery.send(DeliveryMessage::HandOver(successor)).await.is_ok() {
                return "handed-over";
            }
        }
        context.set_memory_shared(false);
        context.lifecycle.enter_hand_over(HandOverPhase::Owner);
        // Sending fails only if the endpoint list actor has ended, and it ends only with the process.
        let _ = endpoint_list.send(EndpointListMessage::HandOverAborted).await;
        "operator-gone"
    }
}
