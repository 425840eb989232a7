//! The operators' API: one call a connection, each answered within a second. It changes nothing itself: the endpoint list actor
//! keeps cordons, the lifecycle whether clients are quiesced.

mod call;
pub mod cordons;
mod handover;

use crate::net::connection_registry::ConnectionRegistry;
use crate::net::http::HttpConnection;
use crate::net::messages::{AdminCommand, AdminError, EndpointListMessage};
use crate::net::{config, Context};
use async_channel::Sender;
use async_io::{Async, Timer};
use call::Call;
use futures_lite::future;
use slog::{info, warn};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// While the limit of connections is reached and none can be evicted, it is checked again after this.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The pause after a failed accept.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Does what an operator commands; returns only once it holds.
///
/// # Errors
///
/// If it does not hold, because the endpoint is unknown, the cordon cannot be persisted, or the program ends.
pub async fn perform(
    context: &Context,
    endpoint_list: &Sender<EndpointListMessage>,
    command: AdminCommand,
) -> Result<(), AdminError> {
    match command {
        AdminCommand::Cordon { id, cordoned } => {
            let (reply, result) = async_channel::bounded(1);
            let message = EndpointListMessage::Cordon { id, cordoned, reply };
            endpoint_list.send(message).await.map_err(|_| AdminError::ShuttingDown)?;
            result.recv().await.unwrap_or(Err(AdminError::ShuttingDown))
        }
        AdminCommand::Quiesce(quiesced) => {
            info!(context.log, "clients"; "quiesced" => quiesced);
            context.lifecycle.set_quiesced(quiesced);
            Ok(())
        }
    }
}

/// Accepts calls until the listener is dropped.
pub async fn serve(
    context: Rc<Context>,
    endpoint_list: Sender<EndpointListMessage>,
    listener: Async<TcpListener>,
) {
    let registry = Rc::new(ConnectionRegistry::default());
    // Each connection has a clone while it is open.
    let open = Rc::new(());
    loop {
        while Rc::strong_count(&open) > config::MAX_OPERATOR_CONNECTIONS + registry.evictions_pending() {
            // If none can be evicted all are being answered, which takes no time.
            if !registry.evict_one() {
                Timer::after(LIMIT_CHECK_INTERVAL).await;
            }
        }
        match listener.accept().await {
            Ok((stream, address)) => {
                let call = Call {
                    context: context.clone(),
                    endpoint_list: endpoint_list.clone(),
                    registry: registry.clone(),
                    connection: HttpConnection::new(stream),
                };
                let open = open.clone();
                let serving = async move {
                    call.serve(address).await;
                    drop(open);
                };
                context.executor.spawn(serving).detach();
            }
            Err(error) => {
                warn!(context.log, "cannot accept"; "side" => "operator", "error" => %error);
                Timer::after(ACCEPT_RETRY_PAUSE).await;
            }
        }
        future::yield_now().await;
    }
}
