//! A balancer instance as a proxy uses it. Decides nothing: that is the policy's part.

use crate::api::{Action, Event, Gauges, Settings, SettingsError, SettingsUpdate};
use crate::policy::Policy;
use crate::settings_validation::{SettingsVersion, is_unchanged, validate, validate_update};

/// One balancer instance. See the crate's documentation for how a proxy drives it.
pub struct Balancer {
    policy: Policy,
    is_started: bool,
    version: SettingsVersion,
}

impl Balancer {
    /// Starts an instance that knows nothing yet; `seed` feeds its only random numbers.
    ///
    /// # Errors
    ///
    /// Names what is wrong with the settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validate(&settings)?;
        let policy = Policy::new(initial_update(settings), seed);
        Ok(Balancer { policy, is_started: false, version: SettingsVersion::default() })
    }

    /// Takes one event at clock time `now` (milliseconds) and appends what is to be done about it.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        if !self.is_started {
            self.is_started = true;
            self.policy.start(now_ms);
        }
        self.policy.on_event(now_ms, event);
        actions.append(&mut self.policy.actions);
    }

    /// Puts other settings in force at clock time `now` (milliseconds), in one step between two events; returns
    /// their version.
    ///
    /// Requests admitted before keep the idempotency, objective, deadline, charge and limit of attempts that
    /// they were admitted with. What was learned stays, and so do limits and budgets; a class or tenant that
    /// continues one goes on with what that had.
    ///
    /// # Errors
    ///
    /// Names what is wrong with the settings; nothing has changed then.
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

    /// Version of the settings in force; 0 until one was given.
    pub fn version(&self) -> u64 {
        self.version.number
    }

    /// Backends that it holds records of: those listed, and those gone that have attempts in flight.
    pub fn known_backend_count(&self) -> usize {
        self.policy.backends.len()
    }

    /// What the instance holds at present.
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

/// The first settings, which continue none.
fn initial_update(settings: Settings) -> SettingsUpdate {
    let continued_classes = vec![None; settings.classes.len()];
    let continued_tenants = vec![None; settings.tenants.len()];
    SettingsUpdate { settings, continued_classes, continued_tenants, ..SettingsUpdate::default() }
}
