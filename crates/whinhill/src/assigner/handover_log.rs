//! What is logged and counted of handovers. There are no decisions here.

use super::*;

/// A handover that took longer is logged with its grant.
const MIN_LOGGED_HANDOVER_TIME: Duration = Duration::from_secs(1);
/// The largest number of proxies that a summary names.
const MAX_SUMMARY_PROXIES: usize = 5;
/// Time in which a proxy that has just joined reads the store.
const STORE_READ_TIME: Duration = Duration::from_secs(1);

impl Assigner {
    /// Counts a handover that starts. It continues a series if the former grant may not have reached all proxies yet.
    pub(super) fn record_handover_start(&mut self, slice: SliceId) {
        let max_gap = self.cfg.max_transit + STORE_READ_TIME;
        self.slices[slice].handover_series.start_handover(self.now, max_gap);
    }

    /// The handovers in progress, and totals of those that have ended.
    pub fn handover_summary(&self) -> HandoverSummary {
        let mut in_progress: Vec<&Handover> =
            self.slices.iter().filter_map(|s| s.handover.as_ref()).collect();
        in_progress.sort_by_key(|handover| handover.started_at);
        let mut awaited_proxies = Vec::new();
        for (proxy, ack) in in_progress.iter().flat_map(|handover| &handover.acks) {
            let is_pending = ack.state != AckState::Acknowledged;
            if is_pending && !awaited_proxies.contains(proxy) && awaited_proxies.len() < MAX_SUMMARY_PROXIES {
                awaited_proxies.push(*proxy);
            }
        }
        let count = |is_counted: fn(&Handover) -> bool| in_progress.iter().filter(|h| is_counted(h)).count();
        let longest = |time: fn(&Handover, Duration) -> Duration| {
            in_progress.iter().map(|handover| time(handover, self.now)).max().unwrap_or_default()
        };
        HandoverSummary {
            in_progress: in_progress.len(),
            all_stopped: count(Handover::stops_all),
            longest_all_stopped: longest(Handover::time_all_stopped),
            without_line: count(Handover::has_no_line),
            longest_without_line: longest(Handover::time_without_line),
            awaited_proxies,
            totals: self.handover_totals,
        }
    }

    /// Counts a handover that ends with a grant, and logs one that took long or followed another one closely.
    pub(super) fn record_grant(&mut self, id: SliceId, to: usize) {
        let now = self.now;
        let Slice { handover: Some(handover), handover_series, .. } = &mut self.slices[id] else { return };
        let took = now.saturating_sub(handover.started_at);
        handover_series.end_handover(now, handover);
        let series = *handover_series;
        self.handover_totals.record(took, &series);
        if took > MIN_LOGGED_HANDOVER_TIME || series.length > 1 {
            let text = self.describe_grant(id, to);
            self.output.extend(text.map(|text| Order::Log { text }));
        }
    }

    /// How a slice's handover went that ends now with a grant, and what it waited for last.
    fn describe_grant(&self, id: SliceId, to: usize) -> Option<String> {
        let slice = &self.slices[id];
        let handover = slice.handover.as_ref()?;
        let since_start = |at: Duration| at.saturating_sub(handover.started_at);
        let last_wait = match handover.last_wait_ended {
            Some((proxy, WaitEnd::Acknowledged(at))) => {
                format!("proxy {proxy} acknowledged last, after {:.1?}", since_start(at))
            }
            Some((proxy, WaitEnd::Disconnected(at))) => {
                format!("proxy {proxy} disconnected last, after {:.1?}", since_start(at))
            }
            None => "no proxy was waited for".to_string(),
        };
        let from = slice.owner.map_or("none".to_string(), |owner| format!("server {owner}"));
        let took = since_start(self.now);
        let all_stopped = handover.time_all_stopped(self.now);
        let without_line = handover.time_without_line(self.now);
        let pending = self.describe_pending_acks(handover);
        let series = describe_series(&slice.handover_series, self.now);
        Some(format!(
            "slice {id} handed over from {from} to server {to} in {took:.1?}, all RPCs stopped for {all_stopped:.1?} of it, {without_line:.1?} without a line: {last_wait}; {pending}{series}"
        ))
    }

    /// What a handover that ends without some acknowledgements relied on: the end of the last lease of these proxies,
    /// and the latest end of their writes by the time at which the stop was sent.
    fn describe_pending_acks(&self, handover: &Handover) -> String {
        let pending = handover.acks.values().filter(|ack| ack.state != AckState::Acknowledged);
        let count = pending.clone().count();
        let mut text = format!("{count} proxies have not acknowledged");
        let after_start = |at: Duration| at.saturating_sub(handover.started_at);
        if let Some(lease_end) = pending.filter_map(|ack| ack.lease_ends_at).max() {
            text += &format!(", the last lease of theirs ended after {:.2?}", after_start(lease_end));
        }
        if let Some(sent_by) = handover.stop_sent_by.filter(|_| count > 0) {
            let latest = sent_by + self.cfg.max_transit + self.cfg.write_lease;
            text += &format!(", by the stop their writes end after {:.2?}", after_start(latest));
        }
        text
    }
}

/// The series that a handover ends, where it is not the only one.
fn describe_series(series: &HandoverSeries, now: Duration) -> String {
    let HandoverSeries { length, began_at, all_stopped, without_line, .. } = series;
    if *length <= 1 {
        return String::new();
    }
    let duration = now.saturating_sub(*began_at);
    format!(
        "; handover {length} in series, {duration:.1?} since the first, all RPCs stopped for {all_stopped:.1?} of it, {without_line:.1?} without a line"
    )
}
