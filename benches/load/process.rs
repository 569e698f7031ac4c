//! The controllers as processes of their own, and what they use.

use std::io;
use std::path::Path;
use std::process::{Child, Command};

/// Length of a processor tick of the kernel in milliseconds.
const TICK_MS: f64 = 10.0;

/// A running controller; its process ends when this value is dropped.
pub(crate) struct ControllerProcess {
    /// Its name.
    pub name: String,
    child: Child,
}

/// What a process has used since its start.
#[derive(Clone, Copy, Default)]
pub(crate) struct Usage {
    /// Processor time in milliseconds.
    pub cpu_ms: f64,
    /// Memory held, in KiB.
    pub resident_kb: u64,
    /// Most memory held so far, in KiB.
    pub peak_kb: u64,
    /// How often it waited for something.
    pub waits: u64,
}

impl ControllerProcess {
    /// Starts a controller.
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

    /// Its process id.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// What it has used.
    pub(crate) fn usage(&self) -> Usage {
        let base = format!("/proc/{}", self.pid());
        let mut usage = Usage {
            cpu_ms: processor_ms(&base).unwrap_or(0.0),
            ..Usage::default()
        };
        for task in std::fs::read_dir(format!("{base}/task"))
            .into_iter()
            .flatten()
            .flatten()
        {
            let status = std::fs::read_to_string(task.path().join("status")).unwrap_or_default();
            usage.waits += field(&status, "voluntary_ctxt_switches:");
            usage.resident_kb = field(&status, "VmRSS:");
            usage.peak_kb = field(&status, "VmHWM:");
        }
        usage
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn processor_ms(base: &str) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("{base}/stat")).ok()?;
    // The fields behind the name, which may contain blanks; user and system time are the 12th and 13th of them.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(ticks * TICK_MS)
}

fn field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
