//! Controller processes and their resource usage.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Length of a clock tick in `/proc/PID/stat`, in milliseconds.
const TICK_MS: f64 = 10.0;

/// How a controller process is started.
#[derive(Debug, Clone)]
pub(crate) struct Launch {
    /// Name of the controller.
    pub(crate) name: String,
    /// Path of the program.
    pub(crate) program: PathBuf,
    /// Path of the settings file.
    pub(crate) settings: PathBuf,
    /// Path of the file that the log is appended to. Without one, the log goes to standard error.
    pub(crate) log: Option<PathBuf>,
}

/// A running controller. Its process is killed when this value is dropped.
pub(crate) struct ControllerProcess {
    /// Name of the controller.
    pub(crate) name: String,
    child: Child,
}

/// Resource usage of a process since its start.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    /// CPU time in milliseconds.
    pub(crate) cpu_ms: f64,
    /// Resident memory, in KiB.
    pub(crate) resident_kb: u64,
    /// Peak resident memory, in KiB.
    pub(crate) peak_kb: u64,
    /// Voluntary context switches: how often a thread blocked to wait for an event.
    pub(crate) voluntary_switches: u64,
}

impl ControllerProcess {
    /// Starts a controller process.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started or the log cannot be opened.
    pub(crate) fn start(launch: &Launch) -> io::Result<ControllerProcess> {
        let mut command = Command::new(&launch.program);
        command.arg("--config").arg(&launch.settings);
        if let Some(log) = &launch.log {
            let log = File::options().create(true).append(true).open(log)?;
            command.env("LOG_LEVEL", "info").stderr(log);
        }
        let child = command.stdin(Stdio::null()).spawn()?;
        Ok(ControllerProcess {
            name: launch.name.clone(),
            child,
        })
    }

    /// Returns the process id.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process, without giving it time for anything.
    pub(crate) fn kill(&mut self) {
        // Errors are ignored, since the process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process while its clocks run on.
    pub(crate) fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a paused process go on.
    pub(crate) fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.pid()).expect("process ids fit into 31 bits");
        // Fails if the process has ended, which is noticed elsewhere.
        let _ = kill(Pid::from_raw(pid), signal);
    }

    /// Returns the exit status if the process has ended by itself.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns the resource usage of the process so far.
    pub(crate) fn usage(&self) -> Usage {
        let proc_directory = PathBuf::from(format!("/proc/{}", self.pid()));
        let mut usage = Usage {
            cpu_ms: cpu_time_ms(&proc_directory).unwrap_or(0.0),
            ..Usage::default()
        };
        for task in std::fs::read_dir(proc_directory.join("task"))
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
        self.kill();
    }
}

/// Returns the CPU time of a process in milliseconds.
fn cpu_time_ms(proc_directory: &Path) -> Option<f64> {
    let stat = std::fs::read_to_string(proc_directory.join("stat")).ok()?;
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
