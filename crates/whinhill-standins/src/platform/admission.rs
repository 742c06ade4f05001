//! How a proxy applies levels: as the share of the RPCs that it admits, or as their number per second.

use std::collections::BTreeMap;
use std::time::Duration;

use super::data_plane::Rpc;
use super::site::{AdmissionMode, ADMIT_ALL_LEVEL};

/// RPCs that may be admitted at once after a pause.
const MAX_BURST: f64 = 1.0;

/// The RPCs that a proxy may still admit of one slice and class.
#[derive(Clone, Copy, Debug)]
struct Credit {
    rpcs: f64,
    as_of: Duration,
}

/// Admits RPCs by their levels.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    /// By proxy, slice and class, where levels are rates.
    credits: BTreeMap<(usize, usize, usize), Credit>,
}

impl AdmissionControl {
    /// Whether the proxy lets the RPC in. Where levels are not applied, tables hold the level that admits everything.
    pub fn admits(&mut self, mode: AdmissionMode, now: Duration, rpc: &Rpc, level: f64) -> bool {
        match mode {
            AdmissionMode::Share | AdmissionMode::Off => rpc.admission_draw < level,
            AdmissionMode::Rate if level >= ADMIT_ALL_LEVEL => true,
            AdmissionMode::Rate => self.take_credit(now, rpc, level),
        }
    }

    fn take_credit(&mut self, now: Duration, rpc: &Rpc, rate: f64) -> bool {
        let full = Credit { rpcs: MAX_BURST, as_of: now };
        let credit = self.credits.entry((rpc.proxy, rpc.slice, rpc.class)).or_insert(full);
        let earned = rate * now.saturating_sub(credit.as_of).as_secs_f64();
        *credit = Credit { rpcs: (credit.rpcs + earned).min(MAX_BURST), as_of: now };
        let is_admitted = rate > 0.0 && credit.rpcs >= 1.0;
        credit.rpcs -= f64::from(u8::from(is_admitted));
        is_admitted
    }
}
