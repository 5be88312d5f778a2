//! Runs the balancer instances that the simulator has launched.

use crate::error::RecordError;
use crate::wire::{Record, Reply};
use foldhitch_balancer::api::{Action, Event};
use foldhitch_balancer::{Balancer, settings_format};
use std::any::Any;
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The running instances, keyed by instance number.
#[derive(Default)]
pub struct Host {
    instances: HashMap<u16, Balancer>,
    /// Buffer for the actions of one event, kept to avoid an allocation for each event.
    actions: Vec<Action>,
}

impl Host {
    /// Executes a record at `now_ms` and appends the resulting actions to `reply`.
    ///
    /// A panic in the balancer is reported in the reply as a fatal action; the adapter keeps running.
    pub fn execute(&mut self, now_ms: f64, record: Record, reply: &mut Reply) -> Result<(), RecordError> {
        match record {
            Record::Page => Ok(()),
            Record::Ignored { instance } => self.instance(instance).map(|_| ()),
            Record::Launch { instance, seed, settings } => {
                let settings = settings_format::parse(&settings)?;
                self.instances.insert(instance, Balancer::new(settings.balancer, seed)?);
                Ok(())
            }
            Record::Shutdown { instance } => {
                let removed = self.instances.remove(&instance);
                removed.map(|_| ()).ok_or(RecordError::UnknownInstance(instance))
            }
            Record::Event { instance, event } => self.handle(now_ms, instance, event, reply),
        }
    }

    fn instance(&mut self, instance: u16) -> Result<&mut Balancer, RecordError> {
        self.instances.get_mut(&instance).ok_or(RecordError::UnknownInstance(instance))
    }

    fn handle(
        &mut self,
        now_ms: f64,
        instance: u16,
        event: Event,
        reply: &mut Reply,
    ) -> Result<(), RecordError> {
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        let balancer = self.instance(instance)?;
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now_ms, event, &mut actions)));
        match handled {
            Ok(()) => actions.iter().for_each(|action| reply.push_action(instance, action)),
            Err(panic) => reply.push_fatal(instance, panic_message(&*panic)),
        }
        self.actions = actions;
        Ok(())
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    if let Some(text) = panic.downcast_ref::<String>() {
        return text;
    }
    panic.downcast_ref::<&str>().copied().unwrap_or("panic without a text")
}
