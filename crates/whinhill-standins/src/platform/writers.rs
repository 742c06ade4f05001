//! Writes that were sent: at one server at a time for each slice, and at no former owner once a later one had some.

use std::collections::BTreeMap;
use std::time::Duration;

use super::audit::{Broken, Rule};
use super::page::{CLASSES, IN_FLIGHT_MOST};
use super::plane::Rpc;
use super::world::World;

/// The server that took a slice's last write, since when it takes them, and until when one may be in hand.
#[derive(Clone, Copy, Debug)]
struct Taker {
    server: usize,
    since: Duration,
    in_hand_until: Duration,
}

/// Who takes the writes of each slice.
#[derive(Debug, Default)]
pub struct WriterAudit {
    takers: BTreeMap<usize, Taker>,
    pub broken: Vec<Broken>,
}

impl WriterAudit {
    /// An RPC was sent to a server, which takes so long.
    pub fn sent(&mut self, world: &World, rpc: &Rpc, server: usize, took: Duration) {
        if !CLASSES[rpc.class].writes {
            return;
        }
        let now = world.now();
        let in_hand_until = now + took.min(IN_FLIGHT_MOST);
        let Some(taker) = self.takers.get_mut(&rpc.slice).filter(|taker| taker.server == server) else {
            if let Some(former) = self.takers.get(&rpc.slice).copied() {
                self.judge_new_taker(world, rpc, server, former);
            }
            self.takers.insert(rpc.slice, Taker { server, since: now, in_hand_until });
            return;
        };
        taker.in_hand_until = taker.in_hand_until.max(in_hand_until);
    }

    fn judge_new_taker(&mut self, world: &World, rpc: &Rpc, server: usize, former: Taker) {
        let now = world.now();
        let was_set = world.slices[rpc.slice].set_at.get(&server).copied().unwrap_or_default();
        let what = if now < former.in_hand_until {
            "while another has one in hand"
        } else if was_set < former.since {
            "after a later owner has taken one"
        } else {
            return;
        };
        let [new, old] = [server, former.server].map(|server| &world.servers[server].name);
        let (slice, proxy, holder) = (rpc.slice, rpc.proxy, world.slices[rpc.slice].holder);
        let what = format!("slice {slice} of {holder:?}: proxy {proxy} writes at {new} {what} ({old})");
        self.broken.push(Broken { rule: Rule::TwoWriters, at_ms: now.as_millis() as u64, what });
    }
}
