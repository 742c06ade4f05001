//! Whatever proxies do, no slice lacks a line for longer than the bound, and no two servers take writes.
//!
//! A model of proxies, store and channel by the wire's page: messages arrive in order or are lost with the stream, a
//! proxy without a stream writes for a lease, and one that comes back reads the store within a second.

use std::collections::VecDeque;

use proptest::prelude::*;

use super::super::tests::{ep, fleet, s};
use super::*;

const PROXIES: usize = 6;
const SERVERS: usize = 6;
const STEP: Duration = Duration::from_millis(50);
const STEPS: u32 = 500;
const READS_WITHIN_STEPS: u32 = 20;
/// The longest way of a message in the settings, and the longest that a broken stream goes unnoticed, in steps.
const WAY_STEPS: u32 = 16;
const NOTICED_STEPS: u32 = 60;
const WRITES: usize = 1;

/// What happens to one proxy, or to the owner.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// Its stream breaks, is noticed and is back so many steps later each.
    Break { noticed: u32, back: u32 },
    /// Its stream is silent for so many steps, and goes on without a word.
    Silence { steps: u32 },
    /// Its answers are lost for so many steps.
    LostAnswers { steps: u32 },
    /// The owner of the slice drains.
    Drain,
}

/// A table of the one slice, at a proxy or in the store.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Table {
    line: Option<usize>,
    writes: bool,
}

#[derive(Clone, Debug)]
struct Message {
    due: u32,
    orders: Vec<Order>,
}

#[derive(Clone, Debug)]
struct ModelProxy {
    table: Table,
    is_up: bool,
    is_joined: bool,
    reads_at: Option<u32>,
    lease_ends: Option<u32>,
    answers_lost_until: u32,
    last_due: u32,
    inbox: VecDeque<Message>,
    without_line: u32,
    /// Steps at which the assigner hears that it left, and at which its stream is back.
    noticed_at: Option<u32>,
    back_at: Option<u32>,
}

struct Model {
    assigner: Assigner,
    store: Table,
    proxies: Vec<ModelProxy>,
    /// By server, the last step in which a write could be sent there.
    last_write: [Option<u32>; SERVERS],
    events: Vec<Event>,
}

fn steps(time: Duration) -> u32 {
    time.as_millis().div_ceil(STEP.as_millis()) as u32
}

fn apply(table: &mut Table, order: &Order) {
    match order {
        Order::Grant { ep, .. } => table.line = Some(ep.index),
        Order::Revoke { ep, .. } if table.line == Some(ep.index) => table.line = None,
        Order::Level { share, methods, .. } if methods & (1 << WRITES) != 0 => table.writes = *share > 0.0,
        _ => {}
    }
}

impl Model {
    fn new() -> Self {
        let mut assigner = fleet(SERVERS, &[(0, 0.1)]);
        let joined = Proxy { zone: 0, joined: true, state_since: s(0.0) };
        assigner.proxies = (0..PROXIES as u32).map(|id| (id, joined)).collect();
        let table = Table { line: Some(0), writes: true };
        let proxy = ModelProxy {
            table,
            is_up: true,
            is_joined: true,
            reads_at: None,
            lease_ends: None,
            answers_lost_until: 0,
            last_due: 0,
            inbox: VecDeque::new(),
            without_line: 0,
            noticed_at: None,
            back_at: None,
        };
        let proxies = vec![proxy; PROXIES];
        Model { assigner, store: table, proxies, last_write: [None; SERVERS], events: Vec::new() }
    }

    fn begin(&mut self, now: u32, proxy: usize, trouble: Trouble) {
        let lease = steps(self.assigner.cfg.write_lease);
        let owner = self.assigner.owner(0);
        let one = &mut self.proxies[proxy];
        match trouble {
            Trouble::Drain => {
                let Some(owner) = owner else { return };
                let entry =
                    Entry { ep: ep(owner), zone: 0, listed: Listed::Draining, size: 1.0, started: None };
                // One is always left.
                let ready = self.assigner.servers.iter().filter(|s| s.listed_status == Listed::Ready).count();
                if ready > 1 {
                    self.events.push(Event::List { kind: ListKind::Changes, entries: vec![entry] });
                }
            }
            Trouble::LostAnswers { steps } => one.answers_lost_until = now + steps,
            Trouble::Break { .. } | Trouble::Silence { .. } if !one.is_up => {}
            Trouble::Break { noticed, back } => {
                one.lose(now, lease);
                (one.noticed_at, one.back_at) = (Some(now + noticed), Some(now + noticed + back));
            }
            Trouble::Silence { steps } => {
                one.lose(now, lease);
                one.back_at = Some(now + steps);
            }
        }
    }

    fn step(&mut self, now: u32, ways: &[u32]) {
        let at = s(100.0) + STEP * now;
        for (id, one) in self.proxies.iter_mut().enumerate() {
            let proxy = id as ProxyId;
            if one.noticed_at.take_if(|due| *due <= now).is_some() {
                one.is_joined = false;
                self.events.push(Event::Left { proxy });
            }
            if one.back_at.take_if(|due| *due <= now).is_some() {
                one.is_up = true;
                one.reads_at = Some(now + ways[id] % READS_WITHIN_STEPS);
                if !std::mem::replace(&mut one.is_joined, true) {
                    self.events.push(Event::Joined { proxy, zone: 0 });
                }
            }
            if one.reads_at.take_if(|due| *due <= now).is_some() {
                (one.table, one.lease_ends) = (self.store, None);
            }
            while one.inbox.front().is_some_and(|message| message.due <= now) {
                for order in one.inbox.pop_front().into_iter().flat_map(|message| message.orders) {
                    apply(&mut one.table, &order);
                    let way = STEP * ways[id];
                    match order {
                        Order::Mark { mark } if now >= one.answers_lost_until => {
                            self.events.push(Event::Acked { proxy, mark, way });
                        }
                        _ => {}
                    }
                }
            }
        }
        self.events.push(Event::Timer);
        let orders = self.assigner.handle(at, &std::mem::take(&mut self.events));
        let orders: Vec<Order> = orders.into_iter().filter(Order::costs_a_line).collect();
        if orders.is_empty() {
            return;
        }
        orders.iter().for_each(|order| apply(&mut self.store, order));
        for (one, way) in self.proxies.iter_mut().zip(ways).filter(|(one, _)| one.is_up) {
            one.last_due = (now + way).max(one.last_due).max(one.reads_at.unwrap_or(0));
            one.inbox.push_back(Message { due: one.last_due, orders: orders.clone() });
        }
    }

    /// The rules, after a step.
    fn judge(&mut self, now: u32) -> Result<(), TestCaseError> {
        let cfg = &self.assigner.cfg;
        let in_hand = steps(cfg.settle_time);
        // To the grant, its own way, and the read of the store of a proxy that has just come back.
        let longest = steps(cfg.max_transit * 3 + cfg.write_lease + cfg.settle_time) + READS_WITHIN_STEPS + 4;
        for (id, one) in self.proxies.iter_mut().enumerate() {
            let lacks_line = one.is_up && one.table.line.is_none();
            one.without_line = if lacks_line { one.without_line + 1 } else { 0 };
            prop_assert!(
                one.without_line <= longest,
                "proxy {id} has no line for {} steps",
                one.without_line
            );
            let writes = one.table.writes && one.lease_ends.is_none_or(|end| now < end);
            let Some(server) = one.table.line.filter(|_| writes) else { continue };
            self.last_write[server] = Some(now);
        }
        let taking = |last: &Option<u32>| last.is_some_and(|last| last + in_hand > now);
        let takers = self.last_write.iter().filter(|last| taking(last)).count();
        prop_assert!(takers <= 1, "writes at {:?} in step {now}", self.last_write);
        Ok(())
    }
}

impl ModelProxy {
    fn lose(&mut self, now: u32, lease: u32) {
        (self.is_up, self.reads_at) = (false, None);
        self.lease_ends.get_or_insert(now + lease);
        self.inbox.clear();
    }
}

fn trouble() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        3 => (0..NOTICED_STEPS, 1..60u32).prop_map(|(noticed, back)| Trouble::Break { noticed, back }),
        2 => (1..400u32).prop_map(|steps| Trouble::Silence { steps }),
        1 => (1..200u32).prop_map(|steps| Trouble::LostAnswers { steps }),
        2 => Just(Trouble::Drain),
    ]
}

proptest! {
    #[test]
    fn no_line_is_away_for_long_and_no_two_servers_take_writes(
        script in prop::collection::vec((0..STEPS, 1..PROXIES, trouble()), 1..30),
        ways in prop::collection::vec(1..WAY_STEPS, PROXIES),
    ) {
        let mut model = Model::new();
        model.events.push(Event::Timer);
        for now in 0..STEPS {
            for (_, proxy, trouble) in script.iter().filter(|(at, ..)| *at == now) {
                model.begin(now, *proxy, *trouble);
            }
            model.step(now, &ways);
            model.judge(now)?;
        }
    }
}
