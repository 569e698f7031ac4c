//! Controller processes and their resource usage.

use std::io;
use std::path::Path;
use std::process::{Child, Command};

/// Length of a clock tick in `/proc/PID/stat`, in milliseconds.
const TICK_MS: f64 = 10.0;

/// A running controller. Its process is killed when this value is dropped.
pub(crate) struct ControllerProcess {
    /// Name of the controller.
    pub name: String,
    child: Child,
}

/// Resource usage of a process since its start.
#[derive(Clone, Copy, Default)]
pub(crate) struct Usage {
    /// CPU time in milliseconds.
    pub cpu_ms: f64,
    /// Resident memory, in KiB.
    pub resident_kb: u64,
    /// Peak resident memory, in KiB.
    pub peak_kb: u64,
    /// Voluntary context switches: how often a thread blocked to wait for an event.
    pub voluntary_switches: u64,
}

impl ControllerProcess {
    /// Starts a controller process with a settings file.
    pub(crate) fn start(
        name: &str,
        program: &str,
        settings: &Path,
    ) -> io::Result<ControllerProcess> {
        let child = Command::new(program)
            .arg("--config")
            .arg(settings)
            .spawn()?;
        Ok(ControllerProcess {
            name: name.to_string(),
            child,
        })
    }

    /// Returns the process id.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the resource usage of the process so far.
    pub(crate) fn usage(&self) -> Usage {
        let proc_directory = format!("/proc/{}", self.pid());
        let mut usage = Usage {
            cpu_ms: cpu_time_ms(&proc_directory).unwrap_or(0.0),
            ..Usage::default()
        };
        for task in std::fs::read_dir(format!("{proc_directory}/task"))
            .into_iter()
            .flatten()
            .flatten()
        {
            let status = std::fs::read_to_string(task.path().join("status")).unwrap_or_default();
            usage.voluntary_switches += status_field(&status, "voluntary_ctxt_switches:");
            usage.resident_kb = status_field(&status, "VmRSS:");
            usage.peak_kb = status_field(&status, "VmHWM:");
        }
        usage
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        // Errors are ignored, since the process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the CPU time of a process in milliseconds.
fn cpu_time_ms(proc_directory: &str) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("{proc_directory}/stat")).ok()?;
    // Skips the process id and name, since the name may contain spaces. User and system time are the 12th and 13th of the
    // remaining fields.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(ticks * TICK_MS)
}

/// Returns the number in a field of a `status` file, or 0 if the field is missing.
fn status_field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
