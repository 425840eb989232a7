//! Reloads the configuration while the process runs.

use super::deadline::run_blocking;
use super::load::{ConfigLoader, LoadError, LoadOccasion};
use super::signals::{Signal, Signals};
use crate::net::config::RestartReason;
use crate::net::messages::{DeliveryMessage, EndpointListMessage};
use crate::net::Context;
use crate::Settings;
use async_channel::Sender;
use slog::{info, warn};
use std::sync::Arc;

/// Why a reload fails; the configuration in force then stays in force.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error("loading the configuration panicked")]
    LoadPanicked,
    #[error(transparent)]
    Load(#[from] LoadError),
    #[error(transparent)]
    NeedsRestart(#[from] RestartReason),
}

/// Reloads the configuration at each SIGHUP, and returns at the signal that terminates the process. A SIGHUP after that has
/// no effect.
pub async fn until_terminated(
    context: &Context,
    signals: &Signals,
    load_config: &Arc<ConfigLoader>,
    endpoint_list: &Sender<EndpointListMessage>,
) {
    while signals.next().await == Signal::Reload {
        reload(context, load_config, endpoint_list).await;
    }
}

/// Reloads the configuration. If the new one cannot be used, logs why and leaves the previous one in force.
pub async fn reload(
    context: &Context,
    load_config: &Arc<ConfigLoader>,
    endpoint_list: &Sender<EndpointListMessage>,
) {
    let settings = match apply(context, load_config).await {
        Ok(settings) => settings,
        Err(error) => {
            let error = error.to_string().replace('\n', "; ");
            warn!(context.log, "configuration not reloaded, the previous one stays in force";
                "error" => error);
            return;
        }
    };
    let discovery = context.config().agent_address;
    info!(context.log, "configuration reloaded"; "discovery" => %discovery);
    // Sending fails only if an actor has ended, and both end only with the process.
    let _ = context.delivery.send(DeliveryMessage::Settings(Box::new(settings))).await;
    let _ = endpoint_list.send(EndpointListMessage::ConfigReloaded).await;
    context.counters.reloads.increment();
}

/// Loads the configuration and puts it in force; returns the settings for the delivery policy. Loading runs on a thread of
/// its own, because a large file takes a while and must not delay watch events: an endpoint must get no new call 250 ms
/// after its drain was announced.
async fn apply(context: &Context, load_config: &Arc<ConfigLoader>) -> Result<Settings, ReloadError> {
    let load_config = load_config.clone();
    let loaded = run_blocking(move || load_config(LoadOccasion::Reload)).await;
    let (mut config, settings) = loaded.ok_or(ReloadError::LoadPanicked)??;
    // The list in the configuration is only for the start.
    config.initial_endpoint_list = None;
    if let Some(reason) = config.restart_reason(&context.config()) {
        return Err(ReloadError::NeedsRestart(reason));
    }
    context.journal.set_limit(config.folder_limit());
    context.endpoint_table.set_drain_grace(config.drain_grace);
    context.route_stats.set_route_table(settings.routes.clone());
    context.set_config(config);
    warn_without_index(context);
    // A step of the wall clock takes effect only here, so that it moves no time slot between two reloads.
    Ok(Settings { wall_clock_offset: context.clock.wall_clock_offset(), ..settings })
}

/// Logs a warning if this forwarder has no index among the forwarders, and so no time slot of its own.
pub fn warn_without_index(context: &Context) {
    if let Err(reason) = &context.config().forwarder_index {
        warn!(context.log, "no index among the forwarders, time slots are drawn at random"; "reason" => %reason);
    }
}
