//! ListSubscription the list of servers, and what a list says of each.

use super::*;

impl Assigner {
    pub(super) fn server_mut(&mut self, ep: Ep) -> &mut Server {
        self.servers.resize_with(self.servers.len().max(ep.index + 1), Server::default);
        let server = &mut self.servers[ep.index];
        if server.endpoint.stable != ep.stable {
            // An index that was let go is another server's now: nothing of the former may be believed of it.
            *server = Server { endpoint: ep, ..Server::default() };
            self.rendezvous_order.iter_mut().for_each(Vec::clear);
        }
        server
    }

    /// Sorts the servers in each slice's hash order, alike at every assigner.
    pub(super) fn rank_servers(&mut self) {
        for (id, order) in self.rendezvous_order.iter_mut().enumerate() {
            *order = (0..self.servers.len()).collect();
            order.sort_by_cached_key(|i| Reverse(self.servers[*i].endpoint.weight(id)));
        }
    }

    /// Listed ready and seen to serve: a list may name servers that don't exist.
    pub(super) fn ready_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|s| s.listed_status == Listed::Ready && s.seen_serving)
    }

    pub(super) fn apply_list(&mut self, kind: ListKind, entries: &[Entry]) {
        let (now, advice, mut restarted) = (self.now, self.cfg.gone_is_advisory, false);
        if kind == ListKind::Failed {
            let back_off = LIST_RETRY_DELAY * 2u32.pow(self.subscription.failures.min(3));
            let back_off =
                back_off.mul_f64(self.rng.random_range(0.7..1.3)).min(self.cfg.max_list_request_interval / 2);
            (self.subscription.failures, self.subscription.request_at) =
                (self.subscription.failures + 1, Some(now + back_off));
            return;
        }
        let stored = kind == ListKind::Stored;
        self.output.extend((stored && self.cfg.watch_list).then_some(Order::Watch));
        let ask_at = now
            + if stored {
                self.cfg.max_list_request_interval / 2
            } else {
                self.cfg.max_list_request_interval * 2
            };
        (self.subscription.failures, self.subscription.request_at) = (0, Some(ask_at));
        let named: BTreeSet<usize> = entries.iter().map(|e| e.ep.index).collect();
        let absent = |s: &&Server| kind != ListKind::Changes && !named.contains(&s.endpoint.index);
        let gone: Vec<Entry> = self.servers.iter().filter(absent).map(Server::gone_entry).collect();
        for entry in entries.iter().chain(&gone) {
            let server = self.server_mut(entry.ep);
            if entry.listed == Listed::Ready && entry.started > server.started_at {
                let proven = server.seen_serving;
                *server = Server {
                    endpoint: entry.ep,
                    started_at: entry.started,
                    seen_serving: proven,
                    ..Server::default()
                };
                restarted = true;
            }
            // A list may lie: where gone is advice, a server that serves stays until its answers end too.
            server.dropped_from_list =
                advice && entry.listed == Listed::Gone && server.listed_status == Listed::Ready;
            if entry.listed == Listed::Ready && server.listed_status == Listed::Gone {
                server.last_ok_at = now;
            } else if entry.listed != Listed::Ready && server.listed_status == Listed::Ready {
                server.not_ready_since = now;
            }
            server.listed_status = if server.dropped_from_list { Listed::Ready } else { entry.listed };
            (server.zone, server.size) = (entry.zone, entry.size.max(1e-3));
        }
        // What a cold server owns must be cut to its budget at once.
        self.next_period_at = if restarted { now } else { self.next_period_at };
    }

    pub(super) fn apply_load_report(&mut self, ep: Ep, load: &LoadReport) {
        let (now, server) = (self.now, self.server_mut(ep));
        let cpu = load.cpu.map(|cpu| (0.5 * cpu + 0.5 * server.cpu.map_or(cpu, |old| old.0), now));
        server.cpu = cpu.or(server.cpu);
        server.service_time = load.service.map(|service| service.as_secs_f64()).or(server.service_time);
        server.in_flight = load.in_hand.map(|in_hand| (in_hand, now)).or(server.in_flight);
        let queue = load.in_hand.zip(load.waiting);
        let rounds = queue.map(|(in_hand, waiting)| waiting / (in_hand - waiting).max(1.0));
        server.queued_per_running = rounds.map(|rounds| (rounds, now)).or(server.queued_per_running);
    }
}
