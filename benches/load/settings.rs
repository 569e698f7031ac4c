//! Generation of the platform's settings file for a controller.

use crate::args::Args;
use crate::topology::{cloud_address, store_address, ControllerId, ZONE};
use std::fmt::Write;

/// Number of connections of a controller besides those of its workers.
const OTHER_CONNECTIONS: usize = 200;

/// Returns the content of the settings file.
pub(crate) fn settings_file(controller: ControllerId, args: &Args) -> String {
    let mut file = String::new();
    write_sections(&mut file, controller, args).expect("writing to a string cannot fail");
    file
}

/// Writes all sections.
fn write_sections(file: &mut String, controller: ControllerId, args: &Args) -> std::fmt::Result {
    writeln!(file, "node = \"{}\"", controller.name())?;
    writeln!(file, "zone = \"{ZONE}\"")?;
    writeln!(file, "api_addr = \"{}\"", controller.api_address())?;
    writeln!(
        file,
        "internal_addr = \"{}\"",
        controller.internal_address()
    )?;
    for peer in controller.peers() {
        writeln!(file, "[[peers]]")?;
        writeln!(file, "node = \"{}\"", peer.name())?;
        writeln!(file, "peer_addr = \"{}\"", peer.internal_address())?;
    }
    writeln!(file, "[external]")?;
    writeln!(file, "cloud = \"{}\"", cloud_address())?;
    writeln!(file, "state = \"{}\"", store_address())?;
    write_deployment(file, args)
}

/// Writes the sections of the deployment.
fn write_deployment(file: &mut String, args: &Args) -> std::fmt::Result {
    // Twice the CPUs of all machines, so that the quota limits nothing.
    let quota = args.machines as f64 * args.cpus * 2.0;
    writeln!(file, "[[deployment.teams]]")?;
    writeln!(file, "name = \"team\"")?;
    writeln!(file, "cpus = {quota:.1}")?;
    writeln!(file, "cpus_max = {quota:.1}")?;
    writeln!(file, "[deployment.workers]")?;
    writeln!(file, "report_s = {:.2}", args.report_s)?;
    writeln!(file, "lease_s = 22.0")?;
    writeln!(file, "cancel_s = 42.0")?;
    writeln!(file, "[deployment.state]")?;
    writeln!(file, "rps = 200.0")?;
    writeln!(file, "write_rps = 40.0")?;
    writeln!(file, "value_kb = 32.0")?;
    writeln!(file, "txn_ops = 16")?;
    writeln!(file, "[deployment.cloud]")?;
    writeln!(file, "rps = 10.0")?;
    writeln!(file, "list_lag_s = 10.0")?;
    writeln!(file, "[deployment.machine_limits]")?;
    let connections = 2 * args.machines + OTHER_CONNECTIONS;
    writeln!(file, "max_connections = {connections}")
}
