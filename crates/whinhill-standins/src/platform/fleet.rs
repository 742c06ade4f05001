//! What happens to the servers: they are replaced, fall ill, vanish and return, as the script has it.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::plane::PLANES;
use super::script::Action;
use super::servers;
use super::world::{Condition, Server, Shared, Status};

/// From draining to gone.
const DRAIN_LASTS: Duration = Duration::from_millis(4500);

/// What becomes of a server later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// It starts anew, unless it drains meanwhile.
    Restart,
    Mend,
    Go,
    /// It is back on the list, and cold.
    Return,
}

/// The servers.
pub struct Fleet {
    world: Arc<Shared>,
    random: ChaCha8Rng,
    changes: Vec<(Duration, usize, Change)>,
    usual_load_at: Option<Duration>,
}

impl Fleet {
    /// None yet.
    pub fn new(world: Arc<Shared>, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed ^ 0x50a4);
        Fleet { world, random, changes: Vec::new(), usual_load_at: None }
    }

    /// Starts a server; `old`: it has served for long.
    pub fn add(&mut self, zone: usize, old: bool) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let name = format!("s-{:08x}", self.random.random::<u32>());
        let place = self.world.lock().add_server(name, zone, addr, old);
        servers::start(self.world.clone(), listener, place).map(drop)
    }

    /// The server that has been ready for longest drains, and a new one takes its place.
    pub fn replace(&mut self, now: Duration) -> io::Result<()> {
        let Some(server) = self.ready().first().copied() else { return Ok(()) };
        self.replace_one(now, server)
    }

    fn replace_one(&mut self, now: Duration, server: usize) -> io::Result<()> {
        let zone = self.world.lock().servers[server].zone;
        self.world.lock().list(server, Status::Draining);
        self.changes.push((now + DRAIN_LASTS, server, Change::Go));
        self.add(zone, false)
    }

    /// Something happens to some of them.
    pub fn act(&mut self, now: Duration, action: &Action) -> io::Result<()> {
        match *action {
            Action::Silence { share, time } => {
                self.fall_ill(share, Condition::Silent, now + time, Change::Restart);
            }
            Action::Slow { times, time } => {
                let drawn = self.draw(1);
                self.set(&drawn, Condition::Slow(times), now + time, Change::Mend);
            }
            Action::Ill { condition, share, time } => {
                self.fall_ill(share, condition, now + time, Change::Mend);
            }
            Action::SilentZone { zone, time } => {
                let ready = self.ready();
                let here = |server: &usize| self.world.lock().servers[*server].zone == zone;
                let servers: Vec<usize> = ready.into_iter().filter(here).collect();
                self.set(&servers, Condition::Silent, now + time, Change::Mend);
            }
            Action::Backlog { share, by } => self.back_up(now, share, by),
            Action::Vanish { share, time } => {
                let count = self.count(share);
                let drawn = self.draw(count);
                self.set(&drawn, Condition::Dead, now + time, Change::Return);
                let mut world = self.world.lock();
                drawn.iter().for_each(|server| world.list(*server, Status::Gone));
            }
            Action::Release { share, rate_times, time } => {
                self.world.lock().rate_times = rate_times;
                self.usual_load_at = Some(now + time);
                let count = self.count(share);
                for server in self.draw(count) {
                    self.replace_one(now, server)?;
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn fall_ill(&mut self, share: f64, condition: Condition, until: Duration, then: Change) {
        let count = self.count(share);
        let drawn = self.draw(count);
        self.set(&drawn, condition, until, then);
    }

    fn set(&mut self, servers: &[usize], condition: Condition, until: Duration, then: Change) {
        let mut world = self.world.lock();
        for server in servers {
            world.set_condition(*server, condition);
            self.changes.push((until, *server, then));
        }
    }

    /// Work that others sent stands before all workers.
    fn back_up(&mut self, now: Duration, share: f64, by: Duration) {
        let count = self.count(share);
        let drawn = self.draw(count);
        let mut world = self.world.lock();
        for server in drawn {
            for plane in 0..PLANES {
                let workers = &mut world.servers[server].workers[plane];
                workers.iter_mut().for_each(|free| *free = (*free).max(now) + by);
            }
        }
    }

    /// Does what is due.
    pub fn look(&mut self, now: Duration) {
        let mut world = self.world.lock();
        if self.usual_load_at.take_if(|at| *at <= now).is_some() {
            world.rate_times = 1.0;
        }
        for (_, server, change) in self.changes.extract_if(.., |(at, _, _)| *at <= now) {
            match change {
                Change::Restart if world.servers[server].status != Status::Ready => {}
                Change::Restart | Change::Return => world.restart_server(server),
                Change::Mend => world.set_condition(server, Condition::Well),
                Change::Go => {
                    world.set_condition(server, Condition::Dead);
                    world.list(server, Status::Gone);
                }
            }
        }
    }

    fn count(&self, share: f64) -> usize {
        (self.ready().len() as f64 * share).ceil() as usize
    }

    fn ready(&self) -> Vec<usize> {
        let world = self.world.lock();
        let ready = |server: &Server| server.status == Status::Ready && server.condition == Condition::Well;
        (0..world.servers.len()).filter(|place| ready(&world.servers[*place])).collect()
    }

    fn draw(&mut self, count: usize) -> Vec<usize> {
        let ready = self.ready();
        ready.choose_multiple(&mut self.random, count).copied().collect()
    }
}
