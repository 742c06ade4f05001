//! Following the list of servers, and what a list says of each.

use super::*;

impl Assigner {
    pub(super) fn server(&mut self, ep: Ep) -> &mut Server {
        self.servers.resize_with(self.servers.len().max(ep.index + 1), Server::default);
        let server = &mut self.servers[ep.index];
        if server.ep.stable != ep.stable {
            // An index that was let go is another server's now: nothing of the former may be believed of it.
            *server = Server { ep, ..Server::default() };
            self.orders.iter_mut().for_each(Vec::clear);
        }
        server
    }

    /// Sorts the servers in each slice's hash order, alike at every assigner.
    pub(super) fn rank(&mut self) {
        for (id, order) in self.orders.iter_mut().enumerate() {
            *order = (0..self.servers.len()).collect();
            order.sort_by_cached_key(|i| Reverse(self.servers[*i].ep.weight(id)));
        }
    }

    /// Listed ready and seen to serve: a list may name servers that don't exist.
    pub(super) fn ready(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|s| s.listed == Listed::Ready && s.proven)
    }

    pub(super) fn take_list(&mut self, kind: ListKind, entries: &[Entry]) {
        let (now, advice, mut restarted) = (self.now, self.cfg.gone_is_advice, false);
        if kind == ListKind::Failed {
            let back_off = ASK_AGAIN * 2u32.pow(self.list.failures.min(3));
            let back_off = back_off.mul_f64(self.rng.random_range(0.7..1.3)).min(self.cfg.must_ask / 2);
            (self.list.failures, self.list.ask_at) = (self.list.failures + 1, Some(now + back_off));
            return;
        }
        let stored = kind == ListKind::Stored;
        self.out.extend((stored && self.cfg.watch).then_some(Order::Watch));
        let ask_at = now + if stored { self.cfg.must_ask / 2 } else { self.cfg.must_ask * 2 };
        (self.list.failures, self.list.ask_at) = (0, Some(ask_at));
        let named: BTreeSet<usize> = entries.iter().map(|e| e.ep.index).collect();
        let absent = |s: &&Server| kind != ListKind::Changes && !named.contains(&s.ep.index);
        let gone: Vec<Entry> = self.servers.iter().filter(absent).map(Server::gone).collect();
        for entry in entries.iter().chain(&gone) {
            let server = self.server(entry.ep);
            if entry.listed == Listed::Ready && entry.started > server.started {
                let proven = server.proven;
                *server = Server { ep: entry.ep, started: entry.started, proven, ..Server::default() };
                restarted = true;
            }
            // A list may lie: where gone is advice, a server that serves stays until its answers end too.
            server.dropped = advice && entry.listed == Listed::Gone && server.listed == Listed::Ready;
            if entry.listed == Listed::Ready && server.listed == Listed::Gone {
                server.last_ok = now;
            } else if entry.listed != Listed::Ready && server.listed == Listed::Ready {
                server.told = now;
            }
            server.listed = if server.dropped { Listed::Ready } else { entry.listed };
            (server.zone, server.size) = (entry.zone, entry.size.max(1e-3));
        }
        // What a cold server owns must be cut to its budget at once.
        self.next_period = if restarted { now } else { self.next_period };
    }

    pub(super) fn take_load(&mut self, ep: Ep, load: &LoadReport) {
        let (now, server) = (self.now, self.server(ep));
        let cpu = load.cpu.map(|cpu| (0.5 * cpu + 0.5 * server.cpu.map_or(cpu, |old| old.0), now));
        server.cpu = cpu.or(server.cpu);
        server.service = load.service.map(|service| service.as_secs_f64()).or(server.service);
        server.in_hand = load.in_hand.map(|in_hand| (in_hand, now)).or(server.in_hand);
        let queue = load.in_hand.zip(load.waiting);
        let rounds = queue.map(|(in_hand, waiting)| waiting / (in_hand - waiting).max(1.0));
        server.queue = rounds.map(|rounds| (rounds, now)).or(server.queue);
    }
}
