//! Signals, and the configuration that is read again on SIGHUP.

use signal_hook::consts::SIGHUP;
use tracing::{info, warn};

use crate::deadlines::DeadlineKind;
use crate::limits::{CONFIG_RETRY_DELAY, CONFIG_RETRY_DURATION};
use crate::node::Node;
use crate::NodeError;

impl Node {
    /// Handles the signals that have arrived.
    pub fn handle_signals(&mut self) {
        let signals: Vec<i32> = self.signals.pending().collect();
        for signal in signals {
            if signal == SIGHUP {
                self.begin_config_reload();
            } else {
                self.begin_shutdown();
            }
        }
    }

    /// Starts to read the configuration again, and retries for a limited time.
    pub fn begin_config_reload(&mut self) {
        if self.shutdown_started_at.is_some() {
            return;
        }
        self.config_retry_until = self.clock.now() + CONFIG_RETRY_DURATION;
        self.config_error_logged = false;
        self.reload_config();
    }

    /// Applies the addresses of discovery and relay from a new configuration; an invalid one leaves the current one
    /// in force. A file that cannot be read at all is tried again: the failure may pass, and no second signal
    /// follows.
    pub fn reload_config(&mut self) {
        let new = match crate::read_config(&self.config_path) {
            Ok(new) => new,
            Err(error) => {
                if !std::mem::replace(&mut self.config_error_logged, true) {
                    warn!("the current configuration stays in force: {error}");
                }
                let now = self.clock.now();
                if matches!(error, NodeError::Read { .. }) && now < self.config_retry_until {
                    self.deadlines.set(DeadlineKind::RetryConfig, now + CONFIG_RETRY_DELAY);
                }
                return;
            }
        };
        info!(discovery = %new.discovery, relay = %new.relay, "new configuration");
        if new.discovery != self.config.discovery {
            self.config.discovery = new.discovery;
            self.switch_discovery_address();
        }
        if new.relay != self.config.relay {
            self.config.relay = new.relay;
            self.switch_relay_address();
        }
    }
}
