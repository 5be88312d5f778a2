//! Errors of the interface.

/// A setting that was rejected.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("settings: {field}: {reason}")]
pub struct SettingsError {
    /// Path of the key of the setting, such as `classes[1].aim`.
    pub field: String,
    /// What is wrong with the setting.
    pub reason: &'static str,
}
