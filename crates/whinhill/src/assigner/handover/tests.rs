//! Handovers while proxies leave, fall silent, come back, or lose their answers.

use super::super::tests::{ep, fleet, s};
use super::*;

const PROXIES: u32 = 150;
/// The one proxy that behaves otherwise.
const ODD: ProxyId = 7;
/// How long a proxy takes to answer.
const ANSWERS_AFTER: Duration = Duration::from_millis(300);
const STEP: Duration = Duration::from_millis(50);
/// How long a play lasts at most.
const PLAY: Duration = Duration::from_secs(40);

/// What the odd proxy does, in seconds from the stop.
#[derive(Clone, Copy, Debug)]
enum Odd {
    Answers,
    LeavesAt(f64),
    /// It is silent, and its stream is found broken.
    SilentUntil(f64),
    Silent,
    /// It leaves and joins again and again, and never answers between.
    Flaps,
    /// It answers no mark but every so many.
    AnswersEach(u16),
}

/// An assigner of 150 proxies with slices at server 0; the others are idle.
fn large_fleet(slices: usize) -> Assigner {
    let mut a = fleet(4, &vec![(0, 1.0); slices]);
    a.proxies = (0..PROXIES).map(|id| (id, Proxy { zone: 0, joined: true, state_since: s(0.0) })).collect();
    (a.cfg.lines_per_s, a.cfg.max_backlog_lines) = (40_000.0, 60_000.0);
    a
}

/// Longest from the message that stops writes to the grant, by the settings: the message is known to have left and
/// has arrived, a lease, and what is in hand.
fn longest(a: &Assigner) -> Duration {
    a.cfg.max_transit * 2 + a.cfg.write_lease + a.cfg.settle_time + STEP * 2
}

/// Answers to marks that are on their way.
#[derive(Default)]
struct Answers(Vec<(Duration, ProxyId, u16)>);

impl Answers {
    /// Those that have come by now.
    fn due(&mut self, now: Duration) -> Vec<Event> {
        let due = self.0.extract_if(.., |(due, ..)| *due <= now);
        due.map(|(_, proxy, mark)| Event::Acked { proxy, mark, way: ANSWERS_AFTER }).collect()
    }

    /// All proxies answer the marks among some orders; the odd one where it does.
    fn note(&mut self, now: Duration, orders: &[Order], odd_answers: impl Fn(u16) -> bool) {
        for order in orders {
            let Order::Mark { mark } = *order else { continue };
            let answering = (0..PROXIES).filter(|proxy| *proxy != ODD || odd_answers(mark));
            self.0.extend(answering.map(|proxy| (now + ANSWERS_AFTER, proxy, mark)));
        }
    }
}

fn granted(orders: &[Order]) -> Option<usize> {
    orders.iter().find_map(|order| match order {
        Order::Grant { ep, .. } => Some(ep.index),
        _ => None,
    })
}

fn listed(server: usize, listed: Listed) -> Event {
    let entry = Entry { ep: ep(server), zone: 0, listed, size: 1.0, started: None };
    Event::List { kind: ListKind::Changes, entries: vec![entry] }
}

/// From the drain of server 0 on: for how long slice 0 has no line.
fn time_without_line(odd: Odd) -> Duration {
    let mut a = large_fleet(1);
    let begin = a.now;
    let mut events = vec![listed(0, Listed::Draining)];
    let (mut answers, mut cut) = (Answers::default(), None);
    let (mut now, mut left) = (begin, false);
    while now < begin + PLAY {
        let since = now - begin;
        let leaves = match odd {
            Odd::LeavesAt(at) | Odd::SilentUntil(at) => since >= s(at),
            Odd::Flaps => since.as_millis() % 1000 < 500,
            Odd::Answers | Odd::Silent | Odd::AnswersEach(_) => false,
        };
        if std::mem::replace(&mut left, leaves) != leaves {
            let joined = Event::Joined { proxy: ODD, zone: 0 };
            events.push(if leaves { Event::Left { proxy: ODD } } else { joined });
        }
        events.extend(answers.due(now));
        events.push(Event::Timer);
        let orders = a.handle(now, &std::mem::take(&mut events));
        answers.note(now, &orders, |mark| match odd {
            Odd::Answers => true,
            Odd::AnswersEach(each) => mark % each == 0,
            _ => false,
        });
        if orders.iter().any(|order| matches!(order, Order::Revoke { .. })) {
            cut = cut.or(Some(now));
        }
        if granted(&orders).is_some() {
            return cut.map_or(Duration::ZERO, |cut| now - cut);
        }
        now += STEP;
    }
    PLAY
}

#[test]
fn proxies_that_answer_are_all_that_a_grant_waits_for() {
    let took = time_without_line(Odd::Answers);
    assert!(took <= s(2.5), "{took:?}");
}

#[test]
fn a_proxy_that_leaves_late_takes_the_line_away_for_its_lease_at_most() {
    let took = time_without_line(Odd::LeavesAt(1.9));
    assert!(took <= longest(&large_fleet(1)), "{took:?}");
}

#[test]
fn a_silent_proxy_whose_stream_is_found_broken_starts_no_further_lease() {
    let took = time_without_line(Odd::SilentUntil(5.0));
    assert!(took <= longest(&large_fleet(1)), "{took:?}");
}

#[test]
fn a_silent_proxy_does_not_take_the_line_away_for_ever() {
    let took = time_without_line(Odd::Silent);
    assert!(took <= longest(&large_fleet(1)), "{took:?}");
}

#[test]
fn a_proxy_that_flaps_does_not_take_the_line_away_for_ever() {
    let took = time_without_line(Odd::Flaps);
    assert!(took <= longest(&large_fleet(1)), "{took:?}");
}

#[test]
fn a_lost_answer_is_asked_for_again() {
    // The stop carries the first mark.
    let took = time_without_line(Odd::AnswersEach(2));
    assert!(took <= s(4.0), "{took:?}");
}

/// All proxies answer nothing: then nobody knows whether the stop was carried out.
#[test]
fn no_grant_comes_before_any_proxy_has_shown_that_writes_were_stopped() {
    let mut a = fleet(3, &[(0, 1.0)]);
    a.start_handover(0, Some(1), true);
    for step in 0..400 {
        let orders = a.handle(s(100.0) + STEP * step, &[Event::Timer]);
        assert!(!orders.iter().any(|order| matches!(order, Order::Grant { .. })), "step {step}");
    }
}

/// Levels, plans and drains keep the channel fuller than grants may find it.
#[test]
fn a_full_channel_does_not_keep_a_line_away_for_longer_than_the_rule_allows() {
    let mut a = fleet(3, &[(0, 1.0)]);
    a.cfg.max_time_without_line = s(9.0);
    a.start_handover(0, Some(1), true);
    let begin = a.now;
    let mut events = vec![Event::Timer];
    for step in 0..600 {
        let now = begin + STEP * step;
        a.channel.queued_lines = 0.5 * a.cfg.max_backlog_lines;
        let orders = a.handle(now, &std::mem::take(&mut events));
        if orders.iter().any(|order| matches!(order, Order::Grant { .. })) {
            assert!(now + a.cfg.max_transit < begin + a.cfg.max_time_without_line, "{:?}", now - begin);
            return;
        }
        let marks = orders.iter().filter_map(|order| match order {
            Order::Mark { mark } => Some(*mark),
            _ => None,
        });
        events.extend(marks.flat_map(|mark| [0, 1].map(|proxy| Event::Acked { proxy, mark, way: s(0.3) })));
        events.push(Event::Timer);
    }
    panic!("no grant");
}

/// An assigner is given a slice, with a line that the store names or without one, and one proxy is silent.
fn time_to_grant_what_is_given(stored: bool) -> Duration {
    let mut a = large_fleet(1);
    a.cfg.total_proxies = PROXIES as usize;
    let begin = a.now;
    let mut events = vec![Event::Given { slice: 0 }];
    if stored {
        events.extend([Event::Stored { slice: 0, ep: ep(0) }, listed(0, Listed::Gone)]);
    }
    let (mut answers, mut now) = (Answers::default(), begin);
    while now < begin + PLAY {
        events.extend(answers.due(now));
        events.push(Event::Timer);
        let orders = a.handle(now, &std::mem::take(&mut events));
        answers.note(now, &orders, |_| false);
        if granted(&orders).is_some() {
            return now - begin;
        }
        now += STEP;
    }
    PLAY
}

#[test]
fn a_silent_proxy_does_not_hold_up_a_slice_that_comes_without_a_line() {
    let took = time_to_grant_what_is_given(false);
    assert!(took <= longest(&large_fleet(1)), "{took:?}");
}

#[test]
fn a_silent_proxy_does_not_hold_up_a_slice_whose_stored_owner_is_gone() {
    let took = time_to_grant_what_is_given(true);
    assert!(took <= longest(&large_fleet(1)), "{took:?}");
}

/// The destination drains while a silent proxy is waited for.
#[test]
fn a_destination_that_goes_during_the_wait_costs_no_second_one() {
    let mut a = large_fleet(1);
    let begin = a.now;
    a.start_handover(0, Some(1), true);
    let (mut answers, mut now) = (Answers::default(), begin);
    let to = loop {
        let mut events = answers.due(now);
        events.push(Event::Timer);
        if now - begin == s(3.0) {
            events.push(listed(1, Listed::Draining));
        }
        let orders = a.handle(now, &events);
        if let Some(to) = granted(&orders) {
            break to;
        }
        answers.note(now, &orders, |_| false);
        now += STEP;
        assert!(now <= begin + longest(&a), "no grant");
    };
    assert_ne!(to, 1);
}

/// The channel may run slower than reckoned: one more answer to the same mark tells nothing of the messages behind it.
#[test]
fn further_answers_to_the_stop_do_not_make_it_sent_earlier() {
    let mut a = large_fleet(1);
    let begin = a.now;
    a.start_handover(0, Some(1), false);
    a.handle(begin, &[Event::Timer]);
    let answer = |proxy| Event::Acked { proxy, mark: 1, way: s(0.1) };
    let sent = |a: &Assigner| a.slices[0].handover.as_ref().and_then(|handover| handover.stop_sent_by);
    a.handle(begin + s(0.1), &[answer(0)]);
    let first = sent(&a);
    a.handle(begin + s(0.2), &[Event::Timer]);
    a.handle(begin + s(0.25), &[answer(1)]);
    assert!(first > Some(begin + s(0.25)) && sent(&a) == first, "{first:?} {:?}", sent(&a));
}
