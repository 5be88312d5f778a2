//! Validation: rejects settings that can't be used for decisions, and updates that can't replace the
//! settings in force.

use crate::api::{Settings, SettingsError, SettingsUpdate};

/// Minimum latency objective in milliseconds: an objective of 0 would cause a division by zero.
const MIN_LATENCY_OBJECTIVE_MS: f64 = 1e-3;

/// Checks the values; an error names the first invalid one by the path of its key.
pub fn validate(settings: &Settings) -> Result<(), SettingsError> {
    let guarantees = &settings.guarantees;
    let instance_count = f64::from(settings.instance_count);
    require("peersTotal", instance_count - 1.0)?;
    require("slotNo", instance_count - f64::from(settings.instance_index) - 1.0)?;
    require("tick", settings.tick_ms)?;
    require("overShareWorth", settings.over_quota_weight)?;
    require("guarantees.coldFrom", guarantees.initial_capacity_fraction)?;
    require("guarantees.cold", guarantees.warm_up_ms)?;
    require("guarantees.fallMultiple", guarantees.overload_multiple)?;
    require("guarantees.askWithin", guarantees.poll_within_ms)?;
    require("guarantees.releaseWithin", guarantees.idle_release_ms)?;
    require("guarantees.settleAfterDoubt", guarantees.key_quarantine_ms)?;
    require("goal.worstClass", settings.objective.worst_class_weight)?;
    require("prices.crossZone", settings.objective.cross_zone_price)?;
    require("caps.maxRetryAfter", settings.capabilities.max_retry_after_ms)?;
    require("classes", settings.classes.len() as f64 - 1.0)?;
    for (index, class) in settings.classes.iter().enumerate() {
        let objective = class.latency_objective_ms - MIN_LATENCY_OBJECTIVE_MS;
        require(format!("classes[{index}].aim"), objective)?;
        require(format!("classes[{index}].points"), class.priority_weight)?;
    }
    for (index, tenant) in settings.tenants.iter().enumerate() {
        require(format!("tenants[{index}].quotaPerS"), tenant.quota_per_s)?;
    }
    Ok(())
}

/// Requires that a value, less its lower bound, is finite and not negative.
fn require(field: impl Into<String>, above_bound: f64) -> Result<(), SettingsError> {
    if above_bound.is_finite() && above_bound >= 0.0 {
        return Ok(());
    }
    Err(SettingsError { field: field.into(), reason: "is missing, negative, not finite or out of range" })
}

/// Version of the settings in force, with a hash of the rest of the configuration of that version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SettingsVersion {
    /// The version number.
    pub number: u64,
    content_hash: u64,
}

impl SettingsVersion {
    /// Returns the version after an update; it stays the same if the update has the same content.
    pub fn next(self, update: &SettingsUpdate, is_unchanged: bool) -> Result<Self, SettingsError> {
        let is_same_content = is_unchanged && self.content_hash == update.content_hash;
        let is_stale = update.version < self.number || update.version == self.number && !is_same_content;
        if update.version != 0 && is_stale {
            let reason = "must be higher than the version in force";
            return Err(SettingsError { field: "version".to_string(), reason });
        }
        let number = match update.version {
            0 if is_same_content => self.number,
            0 => self.number.saturating_add(1),
            number => number,
        };
        Ok(SettingsVersion { number, content_hash: update.content_hash })
    }
}

/// Checks an update against the settings in force: some settings need a restart, and classes and tenants
/// may only continue existing ones.
pub fn validate_update(old: &Settings, update: &SettingsUpdate) -> Result<(), SettingsError> {
    let new = &update.settings;
    require_same("tier", old.tier == new.tier)?;
    require_same("locality", old.zone == new.zone)?;
    require_same("tick", old.tick_ms == new.tick_ms)?;
    require_same("discovery", old.discovery_mode == new.discovery_mode)?;
    if !is_continuation(&update.continued_classes, old.classes.len(), new.classes.len()) {
        return Err(SettingsError {
            field: "classes".to_string(),
            reason: "must each be new or continue a different class in force",
        });
    }
    if !is_continuation(&update.continued_tenants, old.tenants.len(), new.tenants.len()) {
        return Err(SettingsError {
            field: "tenants".to_string(),
            reason: "must each be new or continue a different tenant in force",
        });
    }
    Ok(())
}

/// Returns whether an update keeps the settings in force, with classes and tenants at their indexes.
pub fn is_unchanged(old: &Settings, update: &SettingsUpdate) -> bool {
    *old == update.settings
        && is_in_place(&update.continued_classes)
        && is_in_place(&update.continued_tenants)
}

fn require_same(field: &str, is_same: bool) -> Result<(), SettingsError> {
    if is_same {
        return Ok(());
    }
    Err(SettingsError { field: field.to_string(), reason: "needs a restart" })
}

/// Returns whether `continued` has an entry for each of `new` classes or tenants, and each of `old` is
/// continued at most once.
fn is_continuation(continued: &[Option<u16>], old: usize, new: usize) -> bool {
    let mut is_taken = vec![false; old];
    for index in continued.iter().flatten() {
        match is_taken.get_mut(usize::from(*index)) {
            Some(is_taken) if !*is_taken => *is_taken = true,
            _ => return false,
        }
    }
    continued.len() == new
}

fn is_in_place(continued: &[Option<u16>]) -> bool {
    continued.iter().enumerate().all(|(index, old)| old.map(usize::from) == Some(index))
}
