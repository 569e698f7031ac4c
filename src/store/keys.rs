//! The format of keys. No other module writes or parses their text.

use std::fmt;

/// Prefix of all keys of the deployment.
pub const ROOT: &str = "hollowswitch/";
/// Number of tasks covered by one bitmap of finished tasks. Its text takes about 1 KiB, well below any limit on values.
pub const TASKS_PER_CHUNK: u32 = 4096;

/// A family of keys, which share a prefix and hold records of one type.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyFamily {
    Leader,
    Epoch,
    Catalogue,
    Live,
    Stopping,
    Final,
    Done,
    StartLog,
    Rental,
}

impl KeyFamily {
    /// The families that a replica contains, in the order in which they are loaded. Final states are not among them: there is
    /// one for every job ever submitted, so that each is read only when a user asks for it.
    pub(super) const REPLICATED: [KeyFamily; 8] = [
        KeyFamily::Catalogue,
        KeyFamily::Done,
        KeyFamily::Epoch,
        KeyFamily::Rental,
        KeyFamily::Leader,
        KeyFamily::Live,
        KeyFamily::StartLog,
        KeyFamily::Stopping,
    ];

    const ALL: [KeyFamily; 9] = [
        KeyFamily::Leader,
        KeyFamily::Epoch,
        KeyFamily::Catalogue,
        KeyFamily::Live,
        KeyFamily::Stopping,
        KeyFamily::Final,
        KeyFamily::Done,
        KeyFamily::StartLog,
        KeyFamily::Rental,
    ];

    /// Returns the name of the family: the first segment of its keys below the root.
    const fn name(self) -> &'static str {
        match self {
            KeyFamily::Leader => "leader",
            KeyFamily::Epoch => "epoch",
            KeyFamily::Catalogue => "catalogue",
            KeyFamily::Live => "live",
            KeyFamily::Stopping => "stopping",
            KeyFamily::Final => "over",
            KeyFamily::Done => "done",
            KeyFamily::StartLog => "starts",
            KeyFamily::Rental => "hire",
        }
    }

    /// Reports whether the family consists of a single key.
    const fn is_single(self) -> bool {
        matches!(
            self,
            KeyFamily::Leader | KeyFamily::Epoch | KeyFamily::Catalogue
        )
    }

    /// Returns the prefix of all keys of the family.
    pub(super) fn prefix(self) -> String {
        let end = if self.is_single() { "" } else { "/" };
        format!("{ROOT}{}{end}", self.name())
    }

    fn from_name(name: &str) -> Option<KeyFamily> {
        Self::ALL.into_iter().find(|family| family.name() == name)
    }
}

/// A parsed key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Key<'a> {
    Leader,
    Epoch,
    Catalogue,
    /// An unfinished job.
    Live(&'a str),
    /// A cancelled job whose tasks may still run.
    Stopping(&'a str),
    /// The final state of a job.
    Final(&'a str),
    /// The bitmap of finished tasks in one chunk of a job.
    Done {
        job: &'a str,
        chunk: u32,
    },
    /// A slot of the start log, by its number.
    StartLog(u32),
    /// A rental request and its machines.
    Rental(&'a str),
}

/// Error of parsing a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum KeyError {
    /// The key is not below [`ROOT`], so it belongs to another program.
    #[error("key is not below the root")]
    OutsideRoot,
    /// The family of the key is unknown, or its chunk or slot is not a valid number.
    #[error("unknown or malformed key")]
    Unknown,
}

impl<'a> Key<'a> {
    /// Parses a key.
    pub(super) fn parse(text: &'a str) -> Result<Key<'a>, KeyError> {
        let path = text.strip_prefix(ROOT).ok_or(KeyError::OutsideRoot)?;
        let (family, name) = path.split_once('/').unwrap_or((path, ""));
        let family = KeyFamily::from_name(family).ok_or(KeyError::Unknown)?;
        Key::from_parts(family, name).ok_or(KeyError::Unknown)
    }

    /// Returns the key of a family with the given text after the family's name, or `None` if that text is malformed.
    fn from_parts(family: KeyFamily, name: &'a str) -> Option<Key<'a>> {
        Some(match family {
            KeyFamily::Leader => Key::Leader,
            KeyFamily::Epoch => Key::Epoch,
            KeyFamily::Catalogue => Key::Catalogue,
            KeyFamily::Live => Key::Live(name),
            KeyFamily::Stopping => Key::Stopping(name),
            KeyFamily::Final => Key::Final(name),
            KeyFamily::Done => {
                let (job, chunk) = name.split_once('/')?;
                let chunk = chunk.parse().ok()?;
                Key::Done { job, chunk }
            }
            KeyFamily::StartLog => Key::StartLog(name.parse().ok()?),
            KeyFamily::Rental => Key::Rental(name),
        })
    }

    const fn family(&self) -> KeyFamily {
        match self {
            Key::Leader => KeyFamily::Leader,
            Key::Epoch => KeyFamily::Epoch,
            Key::Catalogue => KeyFamily::Catalogue,
            Key::Live(_) => KeyFamily::Live,
            Key::Stopping(_) => KeyFamily::Stopping,
            Key::Final(_) => KeyFamily::Final,
            Key::Done { .. } => KeyFamily::Done,
            Key::StartLog(_) => KeyFamily::StartLog,
            Key::Rental(_) => KeyFamily::Rental,
        }
    }
}

impl fmt::Display for Key<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{ROOT}{}", self.family().name())?;
        match self {
            Key::Leader | Key::Epoch | Key::Catalogue => Ok(()),
            Key::Live(name) | Key::Stopping(name) | Key::Final(name) | Key::Rental(name) => {
                write!(formatter, "/{name}")
            }
            Key::Done { job, chunk } => write!(formatter, "/{job}/{chunk}"),
            Key::StartLog(slot) => write!(formatter, "/{slot}"),
        }
    }
}

/// Returns the key of the leader's record, which is attached to the leader lease.
#[must_use]
pub fn leader_key() -> String {
    Key::Leader.to_string()
}

/// Returns the key of the epoch record.
#[must_use]
pub fn epoch_key() -> String {
    Key::Epoch.to_string()
}

/// Returns the key of the machine types that the cloud offers.
#[must_use]
pub fn catalogue_key() -> String {
    Key::Catalogue.to_string()
}

/// Returns the key of an unfinished job.
#[must_use]
pub fn live_key(job: &str) -> String {
    Key::Live(job).to_string()
}

/// Returns the job that a key of an unfinished job refers to, or `None` for any other key.
#[must_use]
pub fn parse_live_key(key: &str) -> Option<&str> {
    match Key::parse(key) {
        Ok(Key::Live(job)) => Some(job),
        _ => None,
    }
}

/// Returns the key of a cancelled job whose tasks may still run.
#[must_use]
pub fn stopping_key(job: &str) -> String {
    Key::Stopping(job).to_string()
}

/// Returns the key of a job's final state.
#[must_use]
pub fn final_key(job: &str) -> String {
    Key::Final(job).to_string()
}

/// Returns the key of a job's finished tasks with numbers from `chunk * TASKS_PER_CHUNK` on.
#[must_use]
pub fn done_key(job: &str, chunk: u32) -> String {
    Key::Done { job, chunk }.to_string()
}

/// Returns the key of a slot of the start log.
#[must_use]
pub fn start_log_key(slot: u32) -> String {
    Key::StartLog(slot).to_string()
}

/// Returns the key of a rental request and its machines.
#[must_use]
pub fn rental_key(request: &str) -> String {
    Key::Rental(request).to_string()
}
