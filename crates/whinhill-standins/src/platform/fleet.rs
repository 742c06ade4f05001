//! Replaces, impairs, removes and restores servers as the script says.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::data_plane::PLANE_COUNT;
use super::script::Action;
use super::servers;
use super::state::{Condition, Server, SharedState, Status};

/// Time from draining to deletion.
const DRAIN_DURATION: Duration = Duration::from_millis(4500);

/// A change of a server that is scheduled for later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingChange {
    /// The server restarts, unless it is draining by then.
    Restart,
    Recover,
    Remove,
    /// The server is listed again and is cold.
    Return,
}

/// The servers and their scheduled changes.
pub struct Fleet {
    platform: Arc<SharedState>,
    random: ChaCha8Rng,
    changes: Vec<(Duration, usize, PendingChange)>,
    load_reset_at: Option<Duration>,
}

impl Fleet {
    /// Creates a fleet without servers.
    pub fn new(platform: Arc<SharedState>, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed ^ 0x50a4);
        Fleet { platform, random, changes: Vec::new(), load_reset_at: None }
    }

    /// Starts a server. With `long_running` it counts as started long ago, so it is warm.
    pub fn add(&mut self, zone: usize, long_running: bool) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let name = format!("s-{:08x}", self.random.random::<u32>());
        let index = self.platform.lock().add_server(name, zone, addr, long_running);
        servers::start(self.platform.clone(), listener, index).map(drop)
    }

    /// Drains the server that has been ready for longest and starts a new one.
    pub fn replace(&mut self, now: Duration) -> io::Result<()> {
        let Some(server) = self.ready().first().copied() else { return Ok(()) };
        self.replace_one(now, server)
    }

    /// Drains a server and starts a new one.
    pub fn replace_one(&mut self, now: Duration, server: usize) -> io::Result<()> {
        let zone = self.platform.lock().servers[server].zone;
        self.platform.lock().set_status(server, Status::Draining);
        self.changes.push((now + DRAIN_DURATION, server, PendingChange::Remove));
        self.add(zone, false)
    }

    /// Applies an action of the script that affects servers.
    pub fn apply(&mut self, now: Duration, action: &Action) -> io::Result<()> {
        match *action {
            Action::Silence { share, time } => {
                self.impair(share, Condition::Silent, now + time, PendingChange::Restart);
            }
            Action::Slow { times, time } => {
                let drawn = self.draw(1);
                self.set(&drawn, Condition::Slow(times), now + time, PendingChange::Recover);
            }
            Action::Ill { condition, share, time } => {
                self.impair(share, condition, now + time, PendingChange::Recover);
            }
            Action::SilentZone { zone, time } => {
                let ready = self.ready();
                let is_in_zone = |server: &usize| self.platform.lock().servers[*server].zone == zone;
                let servers: Vec<usize> = ready.into_iter().filter(is_in_zone).collect();
                self.set(&servers, Condition::Silent, now + time, PendingChange::Recover);
            }
            Action::Backlog { share, by } => self.add_backlog(now, share, by),
            Action::Vanish { share, time } => {
                let count = self.count(share);
                let drawn = self.draw(count);
                self.set(&drawn, Condition::Dead, now + time, PendingChange::Return);
                let mut platform = self.platform.lock();
                drawn.iter().for_each(|server| platform.set_status(*server, Status::Gone));
            }
            Action::Release { share, rate_times, time } => {
                self.platform.lock().load_factor = rate_times;
                self.load_reset_at = Some(now + time);
                let count = self.count(share);
                for server in self.draw(count) {
                    self.replace_one(now, server)?;
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn impair(&mut self, share: f64, condition: Condition, until: Duration, then: PendingChange) {
        let count = self.count(share);
        let drawn = self.draw(count);
        self.set(&drawn, condition, until, then);
    }

    fn set(&mut self, servers: &[usize], condition: Condition, until: Duration, then: PendingChange) {
        let mut platform = self.platform.lock();
        for server in servers {
            platform.set_condition(*server, condition);
            self.changes.push((until, *server, then));
        }
    }

    /// Adds work of other senders before all workers of some servers.
    fn add_backlog(&mut self, now: Duration, share: f64, by: Duration) {
        let count = self.count(share);
        let drawn = self.draw(count);
        let mut platform = self.platform.lock();
        for server in drawn {
            for plane in 0..PLANE_COUNT {
                let workers = &mut platform.servers[server].workers[plane];
                workers.iter_mut().for_each(|free| *free = (*free).max(now) + by);
            }
        }
    }

    /// Applies the scheduled changes that are due.
    pub fn apply_due(&mut self, now: Duration) {
        let mut platform = self.platform.lock();
        if self.load_reset_at.take_if(|at| *at <= now).is_some() {
            platform.load_factor = 1.0;
        }
        for (_, server, change) in self.changes.extract_if(.., |(at, _, _)| *at <= now) {
            match change {
                PendingChange::Restart if platform.servers[server].status != Status::Ready => {}
                PendingChange::Restart | PendingChange::Return => platform.restart_server(server),
                PendingChange::Recover => platform.set_condition(server, Condition::Well),
                PendingChange::Remove => {
                    platform.set_condition(server, Condition::Dead);
                    platform.set_status(server, Status::Gone);
                }
            }
        }
    }

    fn count(&self, share: f64) -> usize {
        (self.ready().len() as f64 * share).ceil() as usize
    }

    fn ready(&self) -> Vec<usize> {
        let platform = self.platform.lock();
        let ready = |server: &Server| server.status == Status::Ready && server.condition == Condition::Well;
        (0..platform.servers.len()).filter(|index| ready(&platform.servers[*index])).collect()
    }

    fn draw(&mut self, count: usize) -> Vec<usize> {
        let ready = self.ready();
        ready.choose_multiple(&mut self.random, count).copied().collect()
    }
}
