//! Runs a whole controller: the actor and the servers in front of it.

use crate::config::Settings;
use crate::controller::Controller;
use actix::{Actor, System};

/// Runs a controller until its process ends.
///
/// Everything runs in one thread: a request that crossed to another one and back cost two wake-ups and four more system
/// calls.
///
/// # Errors
///
/// If the runtime cannot be built, or an address cannot be listened on.
pub fn run(settings: Settings) -> std::io::Result<()> {
    let platform = settings.platform.clone();
    let connections = platform.deployment.machine_limits.max_server_connections();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let addresses = crate::api::Addresses {
        api: platform.api_addr,
        internal: platform.internal_addr,
    };
    System::with_tokio_rt(|| runtime).block_on(async move {
        let controller = Controller::new(settings).start();
        crate::api::serve(controller, addresses, connections).await
    })
}
