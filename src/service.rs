//! Runs a controller: its actor and its HTTP servers.

use crate::config::Settings;
use crate::controller::Controller;
use actix::{Actor, System};
use prometheus_client::registry::Registry;

/// Runs a controller until its process ends.
///
/// Everything runs in one thread, since handing a request to another thread and back cost two wake-ups and four more system
/// calls.
///
/// # Errors
///
/// Returns an error if the runtime cannot be built or a server cannot listen on its address.
pub fn run(settings: Settings) -> std::io::Result<()> {
    let platform = settings.platform.clone();
    let max_connections = platform.deployment.machine_limits.max_server_connections();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let addresses = crate::api::Addresses {
        api: platform.api_addr,
        internal: platform.internal_addr,
    };
    System::with_tokio_rt(|| runtime).block_on(async move {
        let controller = Controller::new(settings);
        let mut registry = Registry::with_prefix("hollowswitch");
        controller.register_metrics(&mut registry);
        crate::api::serve(controller.start(), registry, addresses, max_connections).await
    })
}
