//! One step from the settings in force to others.

use super::Policy;
use super::state::Health;
use crate::api::{Class, SettingsUpdate};

impl Policy {
    pub fn replace_settings(&mut self, now: f64, update: SettingsUpdate) {
        self.now = now;
        let had_release_rule = self.settings.guarantees.idle_release_ms > 0.0;
        self.put_in_force(update);
        if !had_release_rule {
            let backends: Vec<_> = self.backends.keys().copied().collect();
            backends.into_iter().for_each(|id| self.release_idle_connections(id));
        }
        self.follow_warm_backends();
        self.resize_subset(0.0);
        self.dispatch_queued();
    }

    /// The step itself. Nothing here fails, so that it is done completely.
    pub fn put_in_force(&mut self, update: SettingsUpdate) {
        self.replace_classes(&update.settings.classes, &update.continued_classes);
        self.replace_tenants(&update.continued_tenants);
        self.settings = update.settings;
        self.cut_slices();
    }

    /// Gives each class a slot, and what was learned of the class that it continues.
    fn replace_classes(&mut self, classes: &[Class], continued: &[Option<u16>]) {
        for started in self.classes.replace(classes, continued) {
            let objective = self.classes[started.slot].latency_objective_ms;
            self.limit.start_class(started.slot, started.continues, objective);
            for backend in self.backends.values_mut() {
                let continued = started.continues.map(|slot| backend.health[Some(slot)].clone());
                let health = continued.unwrap_or_else(|| Health::responsive_at(self.now));
                backend.health.set(started.slot, health);
            }
        }
        let used = self.classes.truncate();
        self.limit.classes.truncate(used);
        self.backends.values_mut().for_each(|backend| backend.health.truncate(used));
    }

    /// What was charged to a tenant that is gone is refunded to nobody.
    fn replace_tenants(&mut self, continued: &[Option<u16>]) {
        self.tenant_quotas.replace(continued);
        let new_place = |old: usize| continued.iter().position(|place| place.map(usize::from) == Some(old));
        for request in self.requests.values_mut() {
            request.charged_tenant = request.charged_tenant.and_then(new_place);
        }
    }
}
