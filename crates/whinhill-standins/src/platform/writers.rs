//! Audits the writes that were sent: each slice has one writing server at a time, and no write goes
//! to a former owner after a later owner has received one.

use std::collections::BTreeMap;
use std::time::Duration;

use super::audit::{Rule, Violation};
use super::data_plane::Rpc;
use super::parameters::CLASSES;
use super::state::PlatformState;

/// The server that received a slice's last write, since when it receives writes, and until when one
/// may be in flight.
#[derive(Clone, Copy, Debug)]
struct Writer {
    server: usize,
    since: Duration,
    in_flight_until: Duration,
}

/// Tracks the server that receives the writes of each slice.
#[derive(Debug, Default)]
pub struct WriterAudit {
    writers: BTreeMap<usize, Writer>,
    pub violations: Vec<Violation>,
}

impl WriterAudit {
    /// Records an RPC that was sent to a server, and its duration.
    pub fn record_sent(&mut self, platform: &PlatformState, rpc: &Rpc, server: usize, took: Duration) {
        if !CLASSES[rpc.class].writes {
            return;
        }
        let now = platform.now();
        let in_flight_until = now + took.min(platform.site.timing.timing().max_in_flight_time);
        let Some(writer) = self.writers.get_mut(&rpc.slice).filter(|writer| writer.server == server) else {
            if let Some(former) = self.writers.get(&rpc.slice).copied() {
                self.check_new_writer(platform, rpc, server, former);
            }
            self.writers.insert(rpc.slice, Writer { server, since: now, in_flight_until });
            return;
        };
        writer.in_flight_until = writer.in_flight_until.max(in_flight_until);
    }

    fn check_new_writer(&mut self, platform: &PlatformState, rpc: &Rpc, server: usize, former: Writer) {
        let now = platform.now();
        let was_set = platform.slices[rpc.slice].line_set_at.get(&server).copied().unwrap_or_default();
        let conflict = if now < former.in_flight_until {
            "while another has one in flight"
        } else if was_set < former.since {
            "after a later owner has received one"
        } else {
            return;
        };
        let [new, old] = [server, former.server].map(|server| &platform.servers[server].name);
        let (slice, proxy, holder) = (rpc.slice, rpc.proxy, platform.slices[rpc.slice].holder);
        let what = format!("slice {slice} of {holder:?}: proxy {proxy} writes at {new} {conflict} ({old})");
        self.violations.push(Violation { rule: Rule::TwoWriters, at_ms: now.as_millis() as u64, what });
    }
}
