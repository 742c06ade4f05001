//! Series of drains that follow one slice: each server that gets the slice drains soon after, while one proxy's stream is
//! silent, so that handovers take long, and another proxy's stream is lost at each grant.

use std::io;
use std::time::Duration;

use rand::Rng;

use super::fleet::Fleet;
use super::script::DrainPlan;
use super::state::{SharedState, Status};
use super::streams::StreamTrouble;

/// How long the stream of one proxy is silent.
const SILENCE: Duration = Duration::from_secs(30);

/// A series in progress.
#[derive(Debug)]
struct DrainSeries {
    plan: DrainPlan,
    /// The drains that are left.
    remaining: usize,
    /// The proxy whose stream is lost at each grant.
    absent_proxy: usize,
    /// The server that had the slice last.
    server: Option<usize>,
    /// When that server drains.
    drain_at: Option<Duration>,
}

/// All series in progress.
#[derive(Debug, Default)]
pub struct DrainSeriesSet(Vec<DrainSeries>);

impl DrainSeriesSet {
    /// Starts a series.
    pub fn start(&mut self, platform: &SharedState, now: Duration, plan: DrainPlan) {
        let mut platform = platform.lock();
        let proxies = platform.proxies;
        let absent_proxy = platform.random.random_range(0..proxies);
        if let Some(holder) = platform.slices[plan.slice].holder {
            platform.apply_stream_trouble(holder, StreamTrouble::Silent, SILENCE);
        }
        let server = platform.slices[plan.slice].line;
        let series = DrainSeries { plan, remaining: plan.drains, absent_proxy, server, drain_at: Some(now) };
        self.0.push(series);
    }

    /// Applies what is due.
    pub fn advance(&mut self, platform: &SharedState, fleet: &mut Fleet, now: Duration) -> io::Result<()> {
        for series in &mut self.0 {
            series.follow_slice(platform, now);
            if let Some(server) = series.take_due_drain(platform, now) {
                fleet.replace_one(now, server)?;
            }
        }
        self.0.retain(|series| series.remaining > 0);
        Ok(())
    }
}

impl DrainSeries {
    /// Where the slice has gone to another server, plans that one's drain, and the absent proxy loses its stream.
    fn follow_slice(&mut self, platform: &SharedState, now: Duration) {
        let mut platform = platform.lock();
        let slice = &platform.slices[self.plan.slice];
        let Some((holder, line)) = slice.holder.zip(slice.line) else { return };
        if self.server.replace(line) == Some(line) {
            return;
        }
        self.drain_at = Some(now + self.plan.time_to_drain);
        platform.lose_stream_until(self.absent_proxy, holder, now + self.plan.time_away);
    }

    /// The server that drains now.
    fn take_due_drain(&mut self, platform: &SharedState, now: Duration) -> Option<usize> {
        self.drain_at.take_if(|at| *at <= now)?;
        self.remaining = self.remaining.saturating_sub(1);
        self.server.filter(|server| platform.lock().servers[*server].status == Status::Ready)
    }
}
