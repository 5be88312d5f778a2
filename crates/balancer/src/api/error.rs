//! Errors of the interface.

/// Why settings were rejected.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("settings: {field}: {reason}")]
pub struct SettingsError {
    /// The setting, as the path of its key, such as `classes[1].aim`.
    pub field: String,
    /// What is wrong with it.
    pub reason: &'static str,
}
