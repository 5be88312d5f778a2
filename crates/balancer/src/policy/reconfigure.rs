//! Replaces the settings in force in one step.

use super::Policy;
use super::state::Health;
use crate::api::{Class, SettingsUpdate};

impl Policy {
    /// Replaces the settings in force and adapts the state that depends on them.
    pub fn replace_settings(&mut self, now_ms: f64, update: SettingsUpdate) {
        self.now_ms = now_ms;
        let had_idle_release_limit = self.settings.guarantees.idle_release_ms > 0.0;
        self.apply_settings(update);
        if !had_idle_release_limit {
            let backends: Vec<_> = self.backends.keys().copied().collect();
            backends.into_iter().for_each(|id| self.close_idle_connections(id));
        }
        self.scale_limit_to_warm_capacity();
        self.resize_subset(0.0);
        self.dispatch_queued();
    }

    /// Applies the settings of an update. No step can fail, so that an update is applied completely.
    pub fn apply_settings(&mut self, update: SettingsUpdate) {
        self.replace_classes(&update.settings.classes, &update.continued_classes);
        self.replace_tenants(&update.continued_tenants);
        self.settings = update.settings;
        self.rebuild_slices();
    }

    /// Gives each class a slot, with what was learned about the class that it continues.
    fn replace_classes(&mut self, classes: &[Class], continued: &[Option<u16>]) {
        for assigned in self.classes.replace(classes, continued) {
            let objective_ms = self.classes[assigned.slot].latency_objective_ms;
            self.limit.start_class(assigned.slot, assigned.continues, objective_ms);
            for backend in self.backends.values_mut() {
                let continued = assigned.continues.map(|slot| backend.health[Some(slot)].clone());
                let health = continued.unwrap_or_else(|| Health::responsive_at(self.now_ms));
                backend.health.set(assigned.slot, health);
            }
        }
        let used = self.classes.truncate();
        self.limit.classes.truncate(used);
        self.backends.values_mut().for_each(|backend| backend.health.truncate(used));
    }

    /// Replaces the tenants. Requests that were charged to a removed tenant are no longer refunded.
    fn replace_tenants(&mut self, continued: &[Option<u16>]) {
        self.tenant_quotas.replace(continued);
        let new_index = |old: usize| continued.iter().position(|index| index.map(usize::from) == Some(old));
        for request in self.requests.values_mut() {
            request.charged_tenant = request.charged_tenant.and_then(new_index);
        }
    }
}
