//! The keys: the one place that knows their text, to write and to read it.

use std::fmt;

/// Everything of this deployment is below this prefix.
pub const ROOT: &str = "hollowswitch/";
/// Tasks covered by one record of finished tasks: its text stays near 1 KiB, well below any value limit.
pub const TASKS_PER_CHUNK: u32 = 4096;

/// A kind of key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyFamily {
    Leader,
    Epoch,
    Catalogue,
    Live,
    Stopping,
    Final,
    Done,
    Starts,
    Rental,
}

impl KeyFamily {
    /// The families that a replica holds, in the order in which they are read. Final states are read one at a time, when they
    /// are asked for: there is one for every job ever.
    pub(super) const REPLICATED: [KeyFamily; 8] = [
        KeyFamily::Catalogue,
        KeyFamily::Done,
        KeyFamily::Epoch,
        KeyFamily::Rental,
        KeyFamily::Leader,
        KeyFamily::Live,
        KeyFamily::Starts,
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
        KeyFamily::Starts,
        KeyFamily::Rental,
    ];

    /// Its name, the first part of its keys below the root.
    const fn name(self) -> &'static str {
        match self {
            KeyFamily::Leader => "leader",
            KeyFamily::Epoch => "epoch",
            KeyFamily::Catalogue => "catalogue",
            KeyFamily::Live => "live",
            KeyFamily::Stopping => "stopping",
            KeyFamily::Final => "over",
            KeyFamily::Done => "done",
            KeyFamily::Starts => "starts",
            KeyFamily::Rental => "hire",
        }
    }

    /// Whether it has one key only.
    const fn is_single(self) -> bool {
        matches!(
            self,
            KeyFamily::Leader | KeyFamily::Epoch | KeyFamily::Catalogue
        )
    }

    /// What all of its keys begin with.
    pub(super) fn prefix(self) -> String {
        let end = if self.is_single() { "" } else { "/" };
        format!("{ROOT}{}{end}", self.name())
    }

    fn from_name(name: &str) -> Option<KeyFamily> {
        Self::ALL.into_iter().find(|family| family.name() == name)
    }
}

/// A key, with what it names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Key<'a> {
    Leader,
    Epoch,
    Catalogue,
    /// An unfinished job.
    Live(&'a str),
    /// A cancelled job of which tasks may still be somewhere.
    Stopping(&'a str),
    /// The final state of a job.
    Final(&'a str),
    /// Finished tasks of a job.
    Done {
        job: &'a str,
        chunk: u32,
    },
    /// A slot of the start log.
    Starts(u32),
    /// A rental request and its machines.
    Rental(&'a str),
}

/// Why a text is no key of this program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum KeyError {
    /// It is not below the root.
    #[error("key of another program")]
    OutsideRoot,
    /// Its family is unknown, or its number is none.
    #[error("unknown key")]
    Unknown,
}

impl<'a> Key<'a> {
    /// Reads the text of a key.
    pub(super) fn parse(text: &'a str) -> Result<Key<'a>, KeyError> {
        let path = text.strip_prefix(ROOT).ok_or(KeyError::OutsideRoot)?;
        let (family, name) = path.split_once('/').unwrap_or((path, ""));
        let family = KeyFamily::from_name(family).ok_or(KeyError::Unknown)?;
        Key::in_family(family, name).ok_or(KeyError::Unknown)
    }

    fn in_family(family: KeyFamily, name: &'a str) -> Option<Key<'a>> {
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
            KeyFamily::Starts => Key::Starts(name.parse().ok()?),
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
            Key::Starts(_) => KeyFamily::Starts,
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
            Key::Starts(slot) => write!(formatter, "/{slot}"),
        }
    }
}

/// Key of the leader's record, attached to its lease.
#[must_use]
pub fn leader_key() -> String {
    Key::Leader.to_string()
}

/// Key of the epoch record.
#[must_use]
pub fn epoch_key() -> String {
    Key::Epoch.to_string()
}

/// Key of the machine types that the cloud told of last.
#[must_use]
pub fn catalogue_key() -> String {
    Key::Catalogue.to_string()
}

/// Key of an unfinished job.
#[must_use]
pub fn live_key(job: &str) -> String {
    Key::Live(job).to_string()
}

/// The unfinished job whose key this is; `None` for any other key.
#[must_use]
pub fn live_job(key: &str) -> Option<&str> {
    match Key::parse(key) {
        Ok(Key::Live(job)) => Some(job),
        _ => None,
    }
}

/// Key of a cancelled job of which tasks may still be somewhere.
#[must_use]
pub fn stopping_key(job: &str) -> String {
    Key::Stopping(job).to_string()
}

/// Key of the final state of a job.
#[must_use]
pub fn final_key(job: &str) -> String {
    Key::Final(job).to_string()
}

/// Key of the finished tasks of a job from `chunk * TASKS_PER_CHUNK` on.
#[must_use]
pub fn done_key(job: &str, chunk: u32) -> String {
    Key::Done { job, chunk }.to_string()
}

/// Key of a slot of the start log.
#[must_use]
pub fn starts_key(slot: u32) -> String {
    Key::Starts(slot).to_string()
}

/// Key of a rental request and its machines.
#[must_use]
pub fn rental_key(request: &str) -> String {
    Key::Rental(request).to_string()
}
