//! The call by which a successor asks to take over.

use super::call::{Call, CallSummary, CALL_TIMEOUT, HAND_OVER_TARGET};
use crate::membership::MembershipSnapshot;
use crate::net::client::Response;
use crate::net::handover::frames::{ACCEPTED_FRAMES_HEADER, FORMAT, LIST_LINE_FRAME};
use crate::net::http::RequestHead;
use crate::net::messages::{DeliveryMessage, EndpointListMessage, Successor};
use crate::net::runtime::lifecycle::HandOverPhase;
use crate::net::within;

impl Call {
    /// Hands all over on the call's connection, or says why not.
    pub(super) async fn serve_hand_over(mut self, head: &RequestHead) -> CallSummary {
        let reason = match self.begin_hand_over(head).await {
            Ok(list) => {
                let accepted = head.headers.get(ACCEPTED_FRAMES_HEADER).unwrap_or_default();
                let accepts_list_lines = accepted.split(',').any(|frame| frame.trim() == LIST_LINE_FRAME);
                self.hand_over(list, accepts_list_lines).await
            }
            Err(response) => {
                let bytes = response.bytes(false);
                // A successor that has gone asks again.
                let _ = within(CALL_TIMEOUT, self.connection.write(bytes.as_bytes())).await;
                "answered"
            }
        };
        CallSummary { call: format!("POST {HAND_OVER_TARGET}"), reason }
    }

    /// Whether a successor may take over; if so, nothing changes any more on its way there.
    async fn begin_hand_over(&self, head: &RequestHead) -> Result<MembershipSnapshot, Response> {
        let header = |name: &str| head.headers.get(name).unwrap_or_default();
        if head.method != "POST" || !self.context.folder_ownership.is_token(header("X-Token")) {
            return Err(Response::plain(404, "no such call\n"));
        }
        if header("X-Format") != FORMAT.to_string() {
            return Err(Response::plain(415, format!("this process speaks form {FORMAT}\n")));
        }
        let lifecycle = &self.context.lifecycle;
        if lifecycle.is_handing_over() || lifecycle.is_closing() || !self.context.endpoint_list.is_known() {
            return Err(Response::plain(409, "not now\n"));
        }
        lifecycle.enter_hand_over(HandOverPhase::HandingOver);
        match within(CALL_TIMEOUT, self.request_list()).await.flatten() {
            Some(list) => Ok(list),
            None => {
                lifecycle.enter_hand_over(HandOverPhase::Owner);
                // A full mailbox has not handed the list over either.
                let _ = self.endpoint_list.try_send(EndpointListMessage::HandOverAborted);
                Err(Response::plain(503, "not now\n"))
            }
        }
    }

    /// The list as the endpoint list actor has it, which changes nothing from here on.
    async fn request_list(&self) -> Option<MembershipSnapshot> {
        let (reply, list) = async_channel::bounded(1);
        // Without the actor the reply is dropped, which the next line sees.
        let _ = self.endpoint_list.send(EndpointListMessage::HandOver { reply }).await;
        list.recv().await.ok()
    }

    /// Gives the connection to the delivery actor, which hands all over on it.
    async fn hand_over(self, list: MembershipSnapshot, accepts_list_lines: bool) -> &'static str {
        let Call { context, endpoint_list, mut connection, .. } = self;
        let accepted = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        let is_written = within(CALL_TIMEOUT, connection.write(accepted)).await.is_some_and(|w| w.is_ok());
        if is_written {
            let successor = Successor { connection, list, accepts_list_lines };
            if context.delivery.send(DeliveryMessage::HandOver(successor)).await.is_ok() {
                return "handed-over";
            }
        }
        context.lifecycle.enter_hand_over(HandOverPhase::Owner);
        // The actor ends only with the process.
        let _ = endpoint_list.send(EndpointListMessage::HandOverAborted).await;
        "operator-gone"
    }
}
