//! The keys, all below one root.

/// Everything of this deployment is below this prefix.
pub const ROOT: &str = "hollowswitch/";
/// Tasks covered by one progress record: its text stays near 1 KiB, well below any value limit.
pub const CHUNK: u32 = 4096;

/// Key of the leader's record, attached to its lease.
#[must_use]
pub fn leader_key() -> String {
    format!("{ROOT}leader")
}
/// Key of the epoch record.
#[must_use]
pub fn epoch_key() -> String {
    format!("{ROOT}epoch")
}
/// Key of the machine types last seen.
#[must_use]
pub fn catalogue_key() -> String {
    format!("{ROOT}catalogue")
}
/// Key of an unfinished job.
#[must_use]
pub fn live_key(job: &str) -> String {
    format!("{ROOT}live/{job}")
}
/// The unfinished job whose key this is.
#[must_use]
pub fn live_job(key: &str) -> Option<&str> {
    key.strip_prefix(ROOT)?.strip_prefix("live/")
}
/// Key of a cancelled job of which tasks may still be somewhere.
#[must_use]
pub fn stopping_key(job: &str) -> String {
    format!("{ROOT}stopping/{job}")
}
/// Key of a finished job.
#[must_use]
pub fn over_key(job: &str) -> String {
    format!("{ROOT}over/{job}")
}
/// Key of a range of finished tasks.
#[must_use]
pub fn done_key(job: &str, chunk: u32) -> String {
    format!("{ROOT}done/{job}/{chunk}")
}
/// Key of a slot of the start log.
#[must_use]
pub fn starts_key(slot: u32) -> String {
    format!("{ROOT}starts/{slot}")
}
/// Key of a rental request and its machines.
#[must_use]
pub fn rental_key(rental: &str) -> String {
    format!("{ROOT}hire/{rental}")
}
