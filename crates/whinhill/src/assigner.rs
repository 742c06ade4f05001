//! Every decision of the control plane. [`Assigner::handle`] is the one entry point: it takes all that
//! happened at one time and returns what is to be done, in order; one call's orders become one message
//! for each proxy. The types stand in `interface.rs`.

use std::time::Duration;

use crate::interface::{Event, ListKind, Order, Settings, SettingsError};

pub struct Assigner {
    watch: bool,
}

impl Assigner {
    pub fn new(settings: &Settings, _seed: u64) -> Result<Self, SettingsError> {
        Ok(Assigner { watch: settings.get::<String>("discovery")? == "subscribe" })
    }

    pub fn handle(&mut self, _now: Duration, events: &[Event]) -> Vec<Order> {
        let mut orders = Vec::new();
        for event in events {
            if let Event::List { kind: ListKind::Stored | ListKind::Failed, .. } = event {
                if self.watch {
                    orders.push(Order::Watch);
                }
            }
        }
        orders
    }
}
