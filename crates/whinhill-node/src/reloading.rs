//! Signals, and the configuration that is read again on SIGHUP.

use signal_hook::consts::SIGHUP;
use tracing::{info, warn};

use crate::deadlines::Due;
use crate::limits::{CONFIG_AGAIN, CONFIG_WITHIN};
use crate::node::Node;
use crate::NodeError;

impl Node {
    pub fn take_signals(&mut self) {
        let signals: Vec<i32> = self.signals.pending().collect();
        for signal in signals {
            if signal == SIGHUP {
                self.read_config_until_had();
            } else {
                self.begin_end();
            }
        }
    }

    /// The configuration is to be read again, from now on until it could be read.
    pub fn read_config_until_had(&mut self) {
        if self.ending.is_some() {
            return;
        }
        self.config_until = self.clock.now() + CONFIG_WITHIN;
        self.config_fails = false;
        self.read_config();
    }

    /// A new configuration moves discovery and relay; a bad one leaves the old in force. Where the file cannot be
    /// read at all that may pass, and no second signal tells of it.
    pub fn read_config(&mut self) {
        let new = match crate::read(&self.path) {
            Ok(new) => new,
            Err(error) => {
                if !std::mem::replace(&mut self.config_fails, true) {
                    warn!("the configuration in force stays: {error}");
                }
                let now = self.clock.now();
                if matches!(error, NodeError::Read { .. }) && now < self.config_until {
                    self.deadlines.set(Due::Config, now + CONFIG_AGAIN);
                }
                return;
            }
        };
        info!(discovery = %new.discovery, relay = %new.relay, "new configuration");
        if new.discovery != self.config.discovery {
            self.config.discovery = new.discovery;
            self.move_watch();
        }
        if new.relay != self.config.relay {
            self.config.relay = new.relay;
            self.move_relay();
        }
    }
}
