//! The collectors' ways to the assigners: reports come on time, late, or not at all.

use std::time::Duration;

/// What befalls the reports to one assigner.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    node: usize,
    until: Duration,
    /// `None`: they are lost.
    by: Option<Duration>,
}

/// Reports on their way.
#[derive(Debug, Default)]
pub struct Reporting {
    troubles: Vec<Trouble>,
    waiting: Vec<(Duration, usize, Vec<String>)>,
}

impl Reporting {
    /// Until then the reports to an assigner are late, or lost.
    pub fn trouble(&mut self, node: usize, until: Duration, by: Option<Duration>) {
        self.troubles.push(Trouble { node, until, by });
    }

    /// Collectors send reports to an assigner.
    pub fn send(&mut self, now: Duration, node: usize, texts: Vec<String>) {
        self.troubles.retain(|trouble| trouble.until > now);
        let here: Vec<&Trouble> = self.troubles.iter().filter(|trouble| trouble.node == node).collect();
        if here.iter().any(|trouble| trouble.by.is_none()) {
            return;
        }
        let by = here.iter().filter_map(|trouble| trouble.by).max().unwrap_or_default();
        self.waiting.push((now + by, node, texts));
    }

    /// Those that arrive now, by assigner.
    pub fn due(&mut self, now: Duration) -> Vec<(usize, Vec<String>)> {
        let due = self.waiting.extract_if(.., |(at, _, _)| *at <= now);
        due.map(|(_, node, texts)| (node, texts)).collect()
    }
}
