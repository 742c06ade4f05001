//! Checks on random faults that no proxy lacks a line for longer than a bound and that no two servers get writes at
//! the same time.
//!
//! The model covers proxies, store and channel as the simulator's protocol describes them: messages arrive in order or
//! are lost with the stream, a proxy without a stream sends writes until its lease ends, and a proxy whose stream is
//! back reads the store within a second. Calls may fail for a time, in which the store gets nothing and the orders
//! wait; what the assigner hears of proxies is in sequence and may be late.

use std::collections::VecDeque;

use proptest::prelude::*;

use super::super::tests::{assigner_with, endpoint, secs};
use super::*;

const PROXIES: usize = 6;
const SERVERS: usize = 6;
const STEP: Duration = Duration::from_millis(50);
const STEPS: u32 = 500;
/// Added to each time limit on real sockets (protocol page, "The rules on sockets").
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(300);
/// Length of the series of drains, and its times, in steps.
const SERIES_STEPS: u32 = 1000;
const STEPS_FROM_GRANT_TO_DRAIN: u32 = 20;
const STEPS_AWAY_AT_GRANT: u32 = 40;
/// Time in which a proxy whose stream is back reads the store, in steps.
const MAX_STORE_READ_STEPS: u32 = 20;
/// Longest transit of a message by the settings, in steps.
const MAX_TRANSIT_STEPS: u32 = 16;
/// Longest time until a broken stream is noticed, in steps.
const MAX_NOTICE_STEPS: u32 = 60;
/// Longest time for which what is heard of proxies may be late, in steps.
const MAX_LATE_STEPS: u32 = 36;
/// Messages to every proxy that no acknowledgement has shown to have left when the one of a stop arrives.
const MAX_UNACKED_MESSAGES: f64 = 4.0;
/// The method that reads, and the one that writes.
const READ_METHOD: usize = 0;
const WRITE_METHOD: usize = 1;
/// How long a proxy may have no line, in steps: 11.7 s, the limit of the wire page's example.
const MAX_STEPS_WITHOUT_LINE: u32 = 234;

/// A fault of one proxy, or a drain of the owner.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The stream breaks; the assigner notices after `noticed` steps, and it is back `back` steps after that.
    Break { noticed: u32, back: u32 },
    /// The stream loses messages for `steps` steps and then works again; the assigner does not notice.
    Silence { steps: u32 },
    /// The acks are lost for `steps` steps.
    LostAcks { steps: u32 },
    /// The owner of the slice drains.
    Drain,
    /// No call reaches the relay for `steps` steps.
    FailedCalls { steps: u32 },
    /// What is heard of proxies arrives only after `steps` steps.
    LateUpdates { steps: u32 },
}

/// The table entry of the one slice, at a proxy or in the store.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Table {
    line: Option<usize>,
    reads: bool,
    writes: bool,
}

/// A message on its way to a proxy, and the step in which it arrives.
#[derive(Clone, Debug)]
struct Message {
    due: u32,
    orders: Vec<OrderGiven>,
}

/// An order, and the step in which it was given.
#[derive(Clone, Debug)]
struct OrderGiven {
    order: Order,
    at: u32,
}

/// A proxy; times are steps.
#[derive(Clone, Debug)]
struct ModelProxy {
    table: Table,
    is_up: bool,
    is_joined: bool,
    reads_at: Option<u32>,
    lease_ends: Option<u32>,
    acks_lost_until: u32,
    last_due: u32,
    inbox: VecDeque<Message>,
    /// Steps without a line while its stream was up, since it last had a line with its stream up.
    steps_without_line: u32,
    /// Steps for which it could send to a server that is not ready, while its stream was up.
    steps_at_leaving_server: u32,
    /// When the assigner notices that the stream broke, and when the stream is back.
    noticed_at: Option<u32>,
    back_at: Option<u32>,
}

/// The assigner with the store, the proxies and the events of the next step.
struct Model {
    assigner: Assigner,
    store: Table,
    proxies: Vec<ModelProxy>,
    /// For each server, the last step in which a proxy could send it a write.
    last_write: [Option<u32>; SERVERS],
    /// What has happened to proxies and was not heard of yet, in sequence.
    updates: VecDeque<Event>,
    updates_late_until: u32,
    /// Orders that wait for a call.
    waiting: Vec<OrderGiven>,
    calls_fail_until: u32,
    /// Steps in which calls failed or updates were late.
    steps_impaired: u32,
    /// When the handover in progress started, by the assigner's clock and in steps, and the impaired steps before it.
    handover_start: Option<(Duration, u32, u32)>,
    /// Ack requests in calls that were answered, and the step of the answer.
    answered: VecDeque<(u16, u32)>,
    events: Vec<Event>,
}

/// A duration in steps, rounded up.
fn steps(time: Duration) -> u32 {
    time.as_millis().div_ceil(STEP.as_millis()) as u32
}

/// Applies one order to a table.
fn apply(table: &mut Table, order: &Order) {
    match order {
        Order::Grant { endpoint, .. } => table.line = Some(endpoint.index),
        Order::Revoke { endpoint, .. } if table.line == Some(endpoint.index) => table.line = None,
        Order::Level { level, methods, .. } => {
            let applies_to = |method: usize| methods & (1 << method) != 0;
            table.reads = if applies_to(READ_METHOD) { *level > 0.0 } else { table.reads };
            table.writes = if applies_to(WRITE_METHOD) { *level > 0.0 } else { table.writes };
        }
        _ => {}
    }
}

impl Model {
    fn new() -> Self {
        let mut assigner = assigner_with(SERVERS, &[(0, 0.1)]);
        let joined = Proxy { zone: 0, joined: true, state_since: secs(0.0) };
        assigner.proxies = (0..PROXIES as u32).map(|id| (id, joined)).collect();
        let table = Table { line: Some(0), reads: true, writes: true };
        let proxy = ModelProxy {
            table,
            is_up: true,
            is_joined: true,
            reads_at: None,
            lease_ends: None,
            acks_lost_until: 0,
            last_due: 0,
            inbox: VecDeque::new(),
            steps_without_line: 0,
            steps_at_leaving_server: 0,
            noticed_at: None,
            back_at: None,
        };
        let proxies = vec![proxy; PROXIES];
        Model {
            assigner,
            store: table,
            proxies,
            last_write: [None; SERVERS],
            updates: VecDeque::new(),
            updates_late_until: 0,
            waiting: Vec::new(),
            calls_fail_until: 0,
            steps_impaired: 0,
            handover_start: None,
            answered: VecDeque::new(),
            events: Vec::new(),
        }
    }

    /// Starts a fault.
    fn start_fault(&mut self, now: u32, proxy: usize, fault: Fault) {
        let lease = steps(self.assigner.cfg.write_lease);
        let owner = self.assigner.owner(0);
        let proxy = &mut self.proxies[proxy];
        match fault {
            Fault::Drain => {
                let Some(owner) = owner else { return };
                let entry = ServerEntry {
                    endpoint: endpoint(owner),
                    zone: 0,
                    status: ListedStatus::Draining,
                    size: 1.0,
                    started: None,
                };
                // One server always stays ready.
                let ready = self
                    .assigner
                    .servers
                    .iter()
                    .filter(|server| server.listed_status == ListedStatus::Ready)
                    .count();
                if ready > 1 {
                    self.events.push(Event::List { kind: ListKind::Changes, entries: vec![entry] });
                }
            }
            Fault::LostAcks { steps } => proxy.acks_lost_until = now + steps,
            Fault::FailedCalls { steps } => self.calls_fail_until = self.calls_fail_until.max(now + steps),
            // They are never later than this, since the connection would count as lost.
            Fault::LateUpdates { steps } if now >= self.updates_late_until => {
                self.updates_late_until = now + steps
            }
            Fault::LateUpdates { .. } => {}
            Fault::Break { .. } | Fault::Silence { .. } if !proxy.is_up => {}
            Fault::Break { noticed, back } => {
                proxy.break_stream(now, lease);
                (proxy.noticed_at, proxy.back_at) = (Some(now + noticed), Some(now + noticed + back));
            }
            Fault::Silence { steps } => {
                proxy.break_stream(now, lease);
                proxy.back_at = Some(now + steps);
            }
        }
    }

    /// Runs one step: delivers due messages, calls the assigner, and sends its orders.
    fn step(&mut self, now: u32, transit_steps: &[u32]) {
        let at = secs(100.0) + STEP * now;
        for (index, proxy) in self.proxies.iter_mut().enumerate() {
            let id = index as ProxyId;
            if proxy.noticed_at.take_if(|due| *due <= now).is_some() {
                proxy.is_joined = false;
                self.updates.push_back(Event::ProxyLeft { proxy: id });
            }
            if proxy.back_at.take_if(|due| *due <= now).is_some() {
                proxy.is_up = true;
                proxy.reads_at = Some(now + transit_steps[index] % MAX_STORE_READ_STEPS);
                if !std::mem::replace(&mut proxy.is_joined, true) {
                    self.updates.push_back(Event::ProxyJoined { proxy: id, zone: 0 });
                }
            }
            if proxy.reads_at.take_if(|due| *due <= now).is_some() {
                (proxy.table, proxy.lease_ends) = (self.store, None);
            }
            while proxy.inbox.front().is_some_and(|message| message.due <= now) {
                for OrderGiven { order, at } in
                    proxy.inbox.pop_front().into_iter().flat_map(|message| message.orders)
                {
                    apply(&mut proxy.table, &order);
                    match order {
                        Order::RequestAck { ack_seq } if now >= proxy.acks_lost_until => {
                            let transit = STEP * (now - at);
                            self.updates.push_back(Event::Acked { proxy: id, ack_seq, transit });
                        }
                        _ => {}
                    }
                }
            }
        }
        self.steps_impaired += u32::from(now < self.calls_fail_until.max(self.updates_late_until));
        if now >= self.updates_late_until {
            self.events.extend(self.updates.drain(..));
        }
        self.events.push(Event::Timer);
        let events = std::mem::take(&mut self.events);
        let orders = self.assigner.handle(at, &events);
        self.note_stored(now, &events);
        let given = orders.into_iter().filter(Order::uses_channel_line);
        self.waiting.extend(given.map(|order| OrderGiven { order, at: now }));
        if now >= self.calls_fail_until && !self.waiting.is_empty() {
            self.carry_out_call(now, transit_steps);
        }
    }

    /// Tells the assigner what the store is proved to have had before any proxy joined that it has not heard of.
    fn note_stored(&mut self, now: u32, heard: &[Event]) {
        let acked = heard.iter().filter_map(|event| match event {
            Event::Acked { ack_seq, .. } => Some(*ack_seq),
            _ => None,
        });
        acked.for_each(|ack_seq| self.assigner.note_orders_stored(ack_seq));
        while let Some((ack_seq, _)) = self.answered.pop_front_if(|(_, at)| *at + MAX_LATE_STEPS <= now) {
            self.assigner.note_orders_stored(ack_seq);
        }
    }

    /// The relay carries out the waiting orders as one call, and answers it.
    fn carry_out_call(&mut self, now: u32, transit_steps: &[u32]) {
        let orders = std::mem::take(&mut self.waiting);
        for OrderGiven { order, .. } in &orders {
            apply(&mut self.store, order);
            if let Order::RequestAck { ack_seq } = order {
                self.answered.push_back((*ack_seq, now));
                self.assigner.note_orders_answered(*ack_seq);
            }
        }
        for (proxy, transit) in self.proxies.iter_mut().zip(transit_steps).filter(|(proxy, _)| proxy.is_up) {
            proxy.last_due = (now + transit).max(proxy.last_due).max(proxy.reads_at.unwrap_or(0));
            proxy.inbox.push_back(Message { due: proxy.last_due, orders: orders.clone() });
        }
    }

    /// Checks the two properties after a step.
    fn check(&mut self, now: u32) -> Result<(), TestCaseError> {
        let cfg = &self.assigner.cfg;
        let (settle_steps, grace_steps) = (steps(cfg.settle_time), steps(cfg.drain_grace + TIME_LIMIT_SLACK));
        self.check_handover_time(now)?;
        prop_assert!(self.store.line.is_some(), "the store has no line");
        let is_settled = self.assigner.slices[0].handover.is_none() && self.waiting.is_empty();
        prop_assert!(!is_settled || self.store.reads && self.store.writes, "RPCs stay stopped in step {now}");
        for (id, proxy) in self.proxies.iter_mut().enumerate() {
            proxy.count_step(&self.assigner.servers);
            prop_assert!(
                proxy.steps_without_line <= MAX_STEPS_WITHOUT_LINE,
                "proxy {id} has no line for {} steps",
                proxy.steps_without_line
            );
            // Time limits wait while calls fail.
            prop_assert!(
                self.steps_impaired > 0 || proxy.steps_at_leaving_server <= grace_steps,
                "proxy {id} sends to a server that is not ready for {} steps",
                proxy.steps_at_leaving_server
            );
            let writes = proxy.table.writes && proxy.lease_ends.is_none_or(|end| now < end);
            let Some(server) = proxy.table.line.filter(|_| writes) else { continue };
            self.last_write[server] = Some(now);
        }
        let may_get_writes = |last: &Option<u32>| last.is_some_and(|last| last + settle_steps > now);
        let written_servers = self.last_write.iter().filter(|last| may_get_writes(last)).count();
        prop_assert!(written_servers <= 1, "writes at {:?} in step {now}", self.last_write);
        Ok(())
    }
}

impl Model {
    /// Checks that a handover takes no longer than the bound, and the steps in which calls failed or updates were late.
    fn check_handover_time(&mut self, now: u32) -> Result<(), TestCaseError> {
        let cfg = &self.assigner.cfg;
        let lines = MAX_UNACKED_MESSAGES * PROXIES as f64 * (cfg.message_overhead_lines + 2.0);
        let send_time = self.assigner.max_send_time(lines);
        let max_steps = steps(cfg.max_transit * 2 + cfg.write_lease + cfg.settle_time + send_time) + 4;
        let handover = self.assigner.slices[0].handover.as_ref();
        let Some(started_at) = handover.map(|handover| handover.started_at) else {
            self.handover_start = None;
            return Ok(());
        };
        let start = *self.handover_start.get_or_insert((started_at, now, self.steps_impaired));
        let (known_start, started, impaired_before) = start;
        if known_start != started_at {
            self.handover_start = None;
            return Ok(());
        }
        let impaired = self.steps_impaired - impaired_before;
        prop_assert!(
            now - started <= max_steps + impaired,
            "a handover takes {} steps, {impaired} of them impaired",
            now - started
        );
        Ok(())
    }
}

impl ModelProxy {
    /// Counts a step without a line, or with one at a server that is not ready. Time in which the stream is down does
    /// not count, and does not reset the time without a line either.
    fn count_step(&mut self, servers: &[Server]) {
        let is_leaving = |line: usize| servers[line].listed_status != ListedStatus::Ready;
        let sends = self.is_up && (self.table.reads || self.table.writes);
        let sends_to_leaving = sends && self.table.line.is_some_and(is_leaving);
        self.steps_at_leaving_server = if sends_to_leaving { self.steps_at_leaving_server + 1 } else { 0 };
        if self.is_up {
            let lacks_line = self.table.line.is_none();
            self.steps_without_line = if lacks_line { self.steps_without_line + 1 } else { 0 };
        }
    }

    /// Breaks the stream: messages on their way are lost, and the write lease starts to run out.
    fn break_stream(&mut self, now: u32, lease: u32) {
        (self.is_up, self.reads_at) = (false, None);
        self.lease_ends.get_or_insert(now + lease);
        self.inbox.clear();
    }
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => (0..MAX_NOTICE_STEPS, 1..60u32).prop_map(|(noticed, back)| Fault::Break { noticed, back }),
        2 => (1..400u32).prop_map(|steps| Fault::Silence { steps }),
        1 => (1..200u32).prop_map(|steps| Fault::LostAcks { steps }),
        2 => Just(Fault::Drain),
    ]
}

/// Faults of any kind, with calls that fail and updates that come late.
fn any_fault_or_impairment() -> impl Strategy<Value = Fault> {
    prop_oneof![
        8 => any_fault(),
        2 => (1..100u32).prop_map(|steps| Fault::FailedCalls { steps }),
        2 => (1..MAX_LATE_STEPS).prop_map(|steps| Fault::LateUpdates { steps }),
    ]
}

/// Runs a script of faults and checks the two properties after each step.
fn check_script(script: &[(u32, usize, Fault)], ways: &[u32]) -> Result<(), TestCaseError> {
    let mut model = Model::new();
    model.events.push(Event::Timer);
    for now in 0..STEPS {
        for (_, proxy, fault) in script.iter().filter(|(at, ..)| *at == now) {
            model.start_fault(now, *proxy, *fault);
        }
        model.step(now, ways);
        model.check(now)?;
    }
    Ok(())
}

/// Guards against the same in the schedule in which it was found: a drain while calls fail, and proxies that break off
/// before it, come back, and break off again. The times are steps of 50 ms.
#[test]
fn proxies_that_break_twice_around_a_failed_stop_give_no_slice_two_owners() {
    let first_break = (191, Fault::Break { noticed: 8, back: 9 });
    let second_break = (256, Fault::Break { noticed: 8, back: 98 });
    let calls = (190, 0, Fault::FailedCalls { steps: 70 });
    let mut script = vec![calls, (200, 0, Fault::Drain)];
    for proxy in [1, 2, 3, 4] {
        script.extend([first_break, second_break].map(|(at, fault)| (at, proxy, fault)));
    }
    check_script(&script, &[1, 8, 8, 8, 8, 8]).unwrap();
}

/// Guards against handovers of which each keeps its bound, while a proxy that is away at each grant lacks a line for
/// their sum (issue 77).
#[test]
fn proxy_that_is_away_at_each_grant_lacks_no_line_in_series_of_drains() {
    let silent_proxy = 1;
    let absent_proxy = 2;
    let mut model = Model::new();
    model.start_fault(0, silent_proxy, Fault::Silence { steps: SERIES_STEPS });
    let (mut owner, mut drain_at) = (model.assigner.owner(0), Some(0));
    for now in 0..SERIES_STEPS {
        if drain_at.take_if(|at| *at <= now).is_some() {
            model.start_fault(now, absent_proxy, Fault::Drain);
        }
        model.step(now, &[1; PROXIES]);
        if std::mem::replace(&mut owner, model.assigner.owner(0)) != owner {
            model.start_fault(now, absent_proxy, Fault::Break { noticed: 0, back: STEPS_AWAY_AT_GRANT });
            drain_at = Some(now + STEPS_FROM_GRANT_TO_DRAIN);
        }
        model.check(now).unwrap();
    }
    let drained = model.assigner.servers.iter().filter(|s| s.listed_status == ListedStatus::Draining);
    assert_eq!(drained.count(), SERVERS - 1, "all drains must be played");
}

proptest! {
    #[test]
    fn time_without_line_is_bounded_and_writes_go_to_one_server_at_a_time(
        script in prop::collection::vec((0..STEPS, 1..PROXIES, any_fault()), 1..30),
        ways in prop::collection::vec(1..MAX_TRANSIT_STEPS, PROXIES),
    ) {
        check_script(&script, &ways)?;
    }

    /// Guards against two owners of a slice after failed calls: a proxy that came back and read a store without the
    /// stop, and broke off again, wrote to the former owner until its second lease ended.
    #[test]
    fn failed_calls_and_late_updates_give_no_slice_two_owners(
        script in prop::collection::vec((0..STEPS, 1..PROXIES, any_fault_or_impairment()), 1..30),
        ways in prop::collection::vec(1..MAX_TRANSIT_STEPS, PROXIES),
    ) {
        check_script(&script, &ways)?;
    }
}
