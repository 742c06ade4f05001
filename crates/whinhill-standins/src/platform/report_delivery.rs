//! Delivers the collectors' reports to the assigners: on time, late, or not at all.

use std::time::Duration;

/// A delivery fault of the reports to one assigner.
#[derive(Clone, Copy, Debug)]
struct DeliveryFault {
    node: usize,
    until: Duration,
    /// `None` if reports are lost.
    delay: Option<Duration>,
}

/// The reports in transit and the current faults.
#[derive(Debug, Default)]
pub struct ReportDelivery {
    faults: Vec<DeliveryFault>,
    in_transit: Vec<(Duration, usize, Vec<String>)>,
}

impl ReportDelivery {
    /// Delays the reports to an assigner until `until`, or loses them.
    pub fn add_fault(&mut self, node: usize, until: Duration, delay: Option<Duration>) {
        self.faults.push(DeliveryFault { node, until, delay });
    }

    /// Sends the reports of the collectors to an assigner.
    pub fn send(&mut self, now: Duration, node: usize, texts: Vec<String>) {
        self.faults.retain(|fault| fault.until > now);
        let active: Vec<&DeliveryFault> = self.faults.iter().filter(|fault| fault.node == node).collect();
        if active.iter().any(|fault| fault.delay.is_none()) {
            return;
        }
        let delay = active.iter().filter_map(|fault| fault.delay).max().unwrap_or_default();
        self.in_transit.push((now + delay, node, texts));
    }

    /// The reports that arrive now, with the number of their assigner.
    pub fn due(&mut self, now: Duration) -> Vec<(usize, Vec<String>)> {
        let due = self.in_transit.extract_if(.., |(at, _, _)| *at <= now);
        due.map(|(_, node, texts)| (node, texts)).collect()
    }
}
