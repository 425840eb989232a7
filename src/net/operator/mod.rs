//! The operator API: one request on each connection, answered within a second. It holds no state itself: the endpoint list
//! actor keeps the cordons, and the lifecycle keeps whether the process is quiesced.

mod admin_request;
pub mod cordons;
mod handover;

use crate::net::connection_registry::ConnectionRegistry;
use crate::net::http::HttpConnection;
use crate::net::messages::{AdminCommand, AdminError, EndpointListMessage};
use crate::net::{config, Context};
use admin_request::AdminRequest;
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{info, warn};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// The interval at which the connection limit is checked while it is reached and no connection can be evicted.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The pause after a failed accept.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Performs an operator's command, and returns once it is in effect.
///
/// # Errors
///
/// Returns an error if the endpoint is unknown, the cordon cannot be persisted, or the process is shutting down. The command
/// is then not in effect.
pub async fn perform_command(
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
            info!(context.log, "quiesce command performed"; "quiesced" => quiesced);
            context.lifecycle.set_quiesced(quiesced);
            Ok(())
        }
    }
}

/// Accepts operators' connections and serves the request on each, until the process ends.
pub async fn serve(
    context: Rc<Context>,
    endpoint_list: Sender<EndpointListMessage>,
    listener: Async<TcpListener>,
) {
    let registry = Rc::new(ConnectionRegistry::default());
    // Counts the open connections: each holds a clone.
    let open_connections = Rc::new(());
    loop {
        while Rc::strong_count(&open_connections)
            > config::MAX_OPERATOR_CONNECTIONS + registry.evictions_pending()
        {
            // If no connection can be evicted, all are being answered, which takes little time.
            if !registry.evict_one() {
                Timer::after(LIMIT_CHECK_INTERVAL).await;
            }
        }
        match listener.accept().await {
            Ok((stream, address)) => {
                let admin_request = AdminRequest {
                    context: context.clone(),
                    endpoint_list: endpoint_list.clone(),
                    registry: registry.clone(),
                    connection: HttpConnection::new(stream),
                };
                let open_connection = open_connections.clone();
                let serving = async move {
                    admin_request.serve(address).await;
                    drop(open_connection);
                };
                context.executor.spawn(serving).detach();
            }
            Err(error) => {
                warn!(context.log, "cannot accept a connection"; "side" => "operator", "error" => %error);
                Timer::after(ACCEPT_RETRY_PAUSE).await;
            }
        }
        future::yield_now().await;
    }
}
