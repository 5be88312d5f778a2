//! A balancer instance as a proxy uses it. All decisions are made by the policy.

use crate::api::{Action, Event, Gauges, Settings, SettingsError, SettingsUpdate};
use crate::policy::Policy;
use crate::settings_validation::{SettingsVersion, is_unchanged, validate, validate_update};

/// One balancer instance. The crate documentation shows how a proxy drives it.
pub struct Balancer {
    policy: Policy,
    is_started: bool,
    version: SettingsVersion,
}

impl Balancer {
    /// Creates an instance that has learned nothing yet; `seed` initializes its only random number
    /// generator.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validate(&settings)?;
        let policy = Policy::new(initial_update(settings), seed);
        Ok(Balancer { policy, is_started: false, version: SettingsVersion::default() })
    }

    /// Handles one event at clock time `now_ms` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        if !self.is_started {
            self.is_started = true;
            self.policy.start(now_ms);
        }
        self.policy.on_event(now_ms, event);
        actions.append(&mut self.policy.actions);
    }

    /// Replaces the settings at clock time `now_ms`, in one step between two events; returns their version.
    ///
    /// Requests that were admitted earlier keep the idempotency, objective, deadline, charge and attempt
    /// limit that they were admitted with. What was learned is kept, and so are limits and budgets; a class
    /// or tenant that continues another one takes over its state.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid setting; nothing has changed in that case.
    pub fn configure(
        &mut self,
        now_ms: f64,
        update: SettingsUpdate,
        actions: &mut Vec<Action>,
    ) -> Result<u64, SettingsError> {
        validate(&update.settings)?;
        let is_unchanged = is_unchanged(&self.policy.settings, &update);
        let version = self.version.next(&update, is_unchanged)?;
        validate_update(&self.policy.settings, &update)?;
        self.version = version;
        if !is_unchanged {
            self.policy.replace_settings(now_ms, update);
            actions.append(&mut self.policy.actions);
        }
        Ok(version.number)
    }

    /// Returns the version of the settings in force; 0 until one was given.
    pub fn version(&self) -> u64 {
        self.version.number
    }

    /// Returns the number of backends with a record: those listed, and removed ones with attempts in
    /// flight.
    pub fn known_backend_count(&self) -> usize {
        self.policy.backends.len()
    }

    /// Returns the current state of the instance.
    pub fn gauges(&self) -> Gauges {
        Gauges {
            requests: self.policy.requests.len(),
            in_flight: self.policy.slices.in_flight(),
            in_flight_in_slices: self.policy.slices.in_flight_by_slice(),
            queued: self.policy.slices.queued(),
            classes: self.policy.classes.len(),
            concurrency_limit: self.policy.limit.total(),
        }
    }
}

/// Returns the update with the first settings, which continue none.
fn initial_update(settings: Settings) -> SettingsUpdate {
    let continued_classes = vec![None; settings.classes.len()];
    let continued_tenants = vec![None; settings.tenants.len()];
    SettingsUpdate { settings, continued_classes, continued_tenants, ..SettingsUpdate::default() }
}
