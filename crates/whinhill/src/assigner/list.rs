//! The subscription to the list of servers, and what lists and load reports say of each server.

use super::*;

impl Assigner {
    /// The state of a server; a new one for an endpoint that was not met before.
    pub(super) fn server_mut(&mut self, endpoint: EndpointId) -> &mut Server {
        self.servers.resize_with(self.servers.len().max(endpoint.index + 1), Server::default);
        let server = &mut self.servers[endpoint.index];
        if server.endpoint.stable_id != endpoint.stable_id {
            // The index was reused for another server: nothing that is known of the former one holds for it.
            *server = Server { endpoint, ..Server::default() };
            self.rendezvous_order.iter_mut().for_each(Vec::clear);
        }
        server
    }

    /// Sorts the servers in each slice's rendezvous order, which is the same at every assigner.
    pub(super) fn rank_servers(&mut self) {
        for (id, order) in self.rendezvous_order.iter_mut().enumerate() {
            *order = (0..self.servers.len()).collect();
            order.sort_by_cached_key(|i| Reverse(self.servers[*i].endpoint.rendezvous_weight(id)));
        }
    }

    /// The servers that are listed as ready and were seen to serve: a list may name servers that don't exist.
    pub(super) fn ready_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|s| s.listed_status == ListedStatus::Ready && s.seen_serving)
    }

    /// The longest time between two calls to a discovery that does not answer. A drain that it could not tell of counts
    /// as told all the same; once it is back, the order must reach the proxies within the grace.
    fn max_list_request_gap(&self) -> Duration {
        self.cfg.drain_grace.saturating_sub(self.cfg.max_transit).max(MIN_LIST_REQUEST_GAP)
    }

    /// How long the answer to a call for the list is waited for before the call is reported as
    /// [`ListKind::Unreachable`]. The call may be left open for longer.
    pub fn list_answer_timeout(&self) -> Duration {
        self.max_list_request_gap().mul_f64(LIST_ANSWER_FRACTION)
    }

    /// Sets when the list is requested again after a failure that discovery reported: delays double, to spare it, until
    /// it has failed for so long that what it could not tell may count as told.
    fn retry_failed_list(&mut self) {
        let now = self.now;
        let delay = LIST_RETRY_DELAY * 2u32.pow(self.subscription.failures.min(3));
        let delay = delay.mul_f64(self.rng.random_range(0.7..1.3));
        self.subscription.failures += 1;
        let failing_since = *self.subscription.failing_since.get_or_insert(now);
        let gap = self.max_list_request_gap().mul_f64(self.rng.random_range(LIST_GAP_FRACTIONS));
        let latest = now.max(failing_since + LIST_BACKOFF_DURATION) + gap;
        let retry_at = (now + delay.min(self.cfg.max_list_request_interval / 2)).min(latest);
        self.subscription.request_at = Some(retry_at);
    }

    /// Sets when the list is requested again after a call that was not answered. Such a call was no load, so the delay
    /// does not grow with the number of them.
    fn retry_unanswered_list(&mut self) {
        self.subscription.failing_since.get_or_insert(self.now);
        let gap = self.max_list_request_gap().mul_f64(self.rng.random_range(LIST_GAP_FRACTIONS));
        let delay = gap.saturating_sub(self.list_answer_timeout());
        self.subscription.request_at = Some(self.now + delay);
    }

    /// Applies a list of servers, or the changes of one, and sets when the list is requested again.
    pub(super) fn apply_list(&mut self, kind: ListKind, entries: &[ServerEntry]) {
        let now = self.now;
        let max_interval = self.cfg.max_list_request_interval;
        match kind {
            ListKind::Failed => return self.retry_failed_list(),
            ListKind::Unreachable => return self.retry_unanswered_list(),
            ListKind::Stored | ListKind::Full | ListKind::Changes => {}
        }
        let is_stored = kind == ListKind::Stored;
        self.output.extend((is_stored && self.cfg.watch_list).then_some(Order::WatchList));
        let next_request = now + if is_stored { max_interval / 2 } else { max_interval * 2 };
        self.subscription =
            ListSubscription { request_at: Some(next_request), ..ListSubscription::default() };

        let named: BTreeSet<usize> = entries.iter().map(|e| e.endpoint.index).collect();
        let is_absent = |s: &&Server| kind != ListKind::Changes && !named.contains(&s.endpoint.index);
        let absent: Vec<ServerEntry> =
            self.servers.iter().filter(is_absent).map(Server::gone_entry).collect();
        let gone_is_advisory = self.cfg.gone_is_advisory;
        let mut has_restarted = false;
        for entry in entries.iter().chain(&absent) {
            let server = self.server_mut(entry.endpoint);
            if entry.status == ListedStatus::Ready && entry.started > server.started_at {
                let seen_serving = server.seen_serving;
                *server = Server {
                    endpoint: entry.endpoint,
                    started_at: entry.started,
                    seen_serving,
                    ..Server::default()
                };
                has_restarted = true;
            }
            // A list may be wrong: where removal is advisory, a dropped server that serves stays until its answers
            // end too.
            server.dropped_from_list = gone_is_advisory
                && entry.status == ListedStatus::Gone
                && server.listed_status == ListedStatus::Ready;
            if entry.status == ListedStatus::Ready && server.listed_status == ListedStatus::Gone {
                server.last_ok_at = now;
            } else if entry.status != ListedStatus::Ready && server.listed_status == ListedStatus::Ready {
                server.not_ready_since = now;
            }
            server.listed_status = if server.dropped_from_list { ListedStatus::Ready } else { entry.status };
            server.zone = entry.zone;
            server.size = entry.size.max(1e-3);
        }
        // A restarted server is cold: what it owns must be cut to its budget at once.
        self.next_period_at = if has_restarted { now } else { self.next_period_at };
    }

    /// Takes over the figures that a server reports of its load; those that it leaves out keep their last value.
    pub(super) fn apply_load_report(&mut self, endpoint: EndpointId, load: &LoadReport) {
        let now = self.now;
        let server = self.server_mut(endpoint);
        let cpu = load.cpu.map(|cpu| (0.5 * cpu + 0.5 * server.cpu.map_or(cpu, |old| old.0), now));
        server.cpu = cpu.or(server.cpu);
        server.service_time = load.service_time.map(|time| time.as_secs_f64()).or(server.service_time);
        server.in_flight = load.in_flight.map(|in_flight| (in_flight, now)).or(server.in_flight);
        let queue = load.in_flight.zip(load.queued);
        let queued_per_running = queue.map(|(in_flight, queued)| queued / (in_flight - queued).max(1.0));
        server.queued_per_running =
            queued_per_running.map(|ratio| (ratio, now)).or(server.queued_per_running);
    }
}
