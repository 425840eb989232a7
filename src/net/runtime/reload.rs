//! Puts another configuration in force while the process runs.

use super::deadline::run_blocking;
use super::load::{Load, LoadError, Reading};
use super::signals::{Signal, Signals};
use crate::net::config::RestartReason;
use crate::net::messages::{DeliveryMessage, EndpointListMessage};
use crate::net::Context;
use crate::Settings;
use async_channel::Sender;
use slog::{info, warn};
use std::sync::Arc;

/// Why the configuration in force stays.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error("the check did not come to an end")]
    CheckPanicked,
    #[error(transparent)]
    Load(#[from] LoadError),
    #[error(transparent)]
    NeedsRestart(#[from] RestartReason),
}

/// Reads the configuration again at each SIGHUP, up to the signal that ends the process. A SIGHUP that comes later changes
/// nothing.
pub async fn until_terminated(
    context: &Context,
    signals: &Signals,
    load: &Arc<Load>,
    endpoint_list: &Sender<EndpointListMessage>,
) {
    while signals.next().await == Signal::Reload {
        reload(context, load, endpoint_list).await;
    }
}

/// Reads the configuration again. One that cannot be used is logged, and the old one stays in force.
pub async fn reload(context: &Context, load: &Arc<Load>, endpoint_list: &Sender<EndpointListMessage>) {
    let settings = match apply(context, load).await {
        Ok(settings) => settings,
        Err(error) => {
            let error = error.to_string().replace('\n', "; ");
            warn!(context.log, "configuration not reloaded, the old one holds"; "error" => error);
            return;
        }
    };
    let discovery = context.config().agent_address;
    info!(context.log, "configuration reloaded"; "discovery" => %discovery);
    // Both actors end only with the process.
    let _ = context.delivery.send(DeliveryMessage::Settings(Box::new(settings))).await;
    let _ = endpoint_list.send(EndpointListMessage::ConfigReloaded).await;
    context.counters.reloads.increment();
}

/// Loads and checks the configuration in a thread of its own: a large file takes a while, and a watch event must not wait for it,
/// as an endpoint that drains must get nothing new 250 ms later.
async fn apply(context: &Context, load: &Arc<Load>) -> Result<Settings, ReloadError> {
    let load = load.clone();
    let loaded = run_blocking(move || load(Reading::Reload)).await;
    let (config, settings) = loaded.ok_or(ReloadError::CheckPanicked)??;
    if let Some(reason) = config.restart_reason(&context.config()) {
        return Err(ReloadError::NeedsRestart(reason));
    }
    context.journal.set_limit(config.journal_limit_bytes());
    context.endpoint_table.set_drain_grace(config.drain_grace);
    context.route_stats.set_plan(settings.routes.clone());
    context.set_config(config);
    warn_without_index(context);
    // A step of the wall clock takes effect here: between reloads it must move no time slot.
    Ok(Settings { wall_clock_offset: context.clock.behind_wall(), ..settings })
}

/// Logs why this forwarder has no time slot of its own among the others, if it has none.
pub fn warn_without_index(context: &Context) {
    if let Err(reason) = &context.config().forwarder_index {
        warn!(context.log, "no index among the forwarders, time slots are drawn at random"; "reason" => %reason);
    }
}
