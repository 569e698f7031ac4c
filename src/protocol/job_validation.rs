//! Validation of submitted jobs. An invalid job is rejected with status 400.

use super::JobSpec;

/// Maximum number of tasks of a job.
pub const TASK_LIMIT: u32 = 100_000;
/// Maximum length of the name of a class, team, image, machine type or zone, in bytes.
const NAME_LIMIT: usize = 200;
/// Maximum amount of a resource, in its unit, and maximum duration, in seconds.
const AMOUNT_LIMIT: f64 = 1e9;
/// Maximum number of machine types that a job may list.
const MACHINE_TYPES_LIMIT: usize = 64;
/// Prefix of every job id. Digits follow it.
const JOB_ID_PREFIX: &str = "wk-";
/// Maximum number of digits of a job id.
const JOB_ID_DIGITS_LIMIT: usize = 20;

/// The invalid field for which a submitted job is rejected. Displays the name of the field in the protocol, as users know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidJobSpec {
    /// The job id does not have the form of [`is_job_id`].
    #[error("id")]
    Id,
    /// The name of the class, the team or the image is empty or too long.
    #[error("lane, crew or bundle")]
    Name,
    /// The number of tasks is 0 or exceeds [`TASK_LIMIT`].
    #[error("chores")]
    TaskCount,
    /// The number of CPUs is not above 0, not finite or too large.
    #[error("cores")]
    Cpus,
    /// The amount of another resource, or a duration, is negative, not finite or too large.
    #[error("an amount")]
    Amount,
    /// The deadline is negative, not finite or too large.
    #[error("dueS")]
    Deadline,
    /// The list of machine types is too long, or the name of a type is empty or too long.
    #[error("breeds")]
    MachineTypes,
    /// The name of the zone is empty or too long.
    #[error("yard")]
    Zone,
}

impl JobSpec {
    /// Validates all fields, in the order of the variants of [`InvalidJobSpec`].
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn validate(&self) -> Result<(), InvalidJobSpec> {
        ensure(is_job_id(&self.id), InvalidJobSpec::Id)?;
        let names = [&self.class, &self.team, &self.image];
        ensure(
            names.into_iter().all(|name| is_valid_name(name)),
            InvalidJobSpec::Name,
        )?;
        let valid_task_count = (1..=TASK_LIMIT).contains(&self.tasks);
        ensure(valid_task_count, InvalidJobSpec::TaskCount)?;
        let valid_cpus = is_valid_amount(self.cpus) && self.cpus > 0.0;
        ensure(valid_cpus, InvalidJobSpec::Cpus)?;
        ensure(self.amounts_are_valid(), InvalidJobSpec::Amount)?;
        let valid_deadline = self.deadline_s.is_none_or(is_valid_amount);
        ensure(valid_deadline, InvalidJobSpec::Deadline)?;
        ensure(self.machine_types_are_valid(), InvalidJobSpec::MachineTypes)?;
        let valid_zone = self.zone.as_deref().is_none_or(is_valid_name);
        ensure(valid_zone, InvalidJobSpec::Zone)
    }

    fn amounts_are_valid(&self) -> bool {
        let amounts = [
            self.gpus,
            self.memory_gb,
            self.image_gb,
            self.run_time_estimate_s,
            self.checkpoint_interval_s,
            self.checkpoint_save_s,
        ];
        amounts.into_iter().all(is_valid_amount)
    }

    fn machine_types_are_valid(&self) -> bool {
        self.machine_types.as_ref().is_none_or(|types| {
            types.len() <= MACHINE_TYPES_LIMIT && types.iter().all(|name| is_valid_name(name))
        })
    }
}

fn ensure(valid: bool, error: InvalidJobSpec) -> Result<(), InvalidJobSpec> {
    if valid {
        Ok(())
    } else {
        Err(error)
    }
}

/// Reports whether an amount is finite, not negative and at most [`AMOUNT_LIMIT`].
fn is_valid_amount(amount: f64) -> bool {
    amount.is_finite() && (0.0..=AMOUNT_LIMIT).contains(&amount)
}

/// Reports whether a name is not empty and at most [`NAME_LIMIT`] bytes long.
fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= NAME_LIMIT
}

/// Reports whether an id has the form of a job id: `wk-` and 1 to 20 digits.
#[must_use]
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix(JOB_ID_PREFIX).is_some_and(|digits| {
        (1..=JOB_ID_DIGITS_LIMIT).contains(&digits.len())
            && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}
