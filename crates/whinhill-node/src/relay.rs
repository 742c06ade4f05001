//! The relay's two connections: one for calls, one for news.

use tracing::{info, warn};
use whinhill::interface::{Entry, Event, ListKind, Listed, SliceId, ALL_LET_IN};
use whinhill::Assigner;
use whinhill_platform::lines::Lines;
use whinhill_platform::relay::calls::{Calls, Outcome};
use whinhill_platform::relay::news::{self, Owed, Place, Told};
use whinhill_platform::relay::orders::RelayOrder;

use crate::connection::{Connection, Kind};
use crate::connections::Id;
use crate::deadlines::Due;
use crate::limits::*;
use crate::node::Node;

/// Bytes of an answer to a call.
const ANSWER_MOST: usize = 256;

impl Node {
    // News.

    /// Asks for news at the relay's address: in place of what has ended, or beside a former address.
    pub fn open_news(&mut self) {
        if self.news_await_list {
            return;
        }
        let place = match (self.news_at, self.news_next_at) {
            (None, None) => Place::Current,
            (Some(_), None) if self.news_moved => Place::Next,
            _ => return,
        };
        let Some(id) = self.connect(self.config.relay, Kind::News, news::REQUEST, CONNECT_WITHIN) else {
            return self.news_lost(place, "cannot connect");
        };
        match place {
            Place::Current => (self.news_at, self.news_moved) = (Some(id), false),
            Place::Next => self.news_next_at = Some(id),
        }
        self.news.opened(place, self.clock.now());
        self.watch_news(place);
    }

    fn watch_news(&mut self, place: Place) {
        match self.news.due_at(place) {
            Some(at) => self.deadlines.set(Due::News(place), at),
            None => self.deadlines.clear(Due::News(place)),
        }
    }

    fn news_place(&self, id: Id) -> Place {
        if self.news_next_at == Some(id) {
            Place::Next
        } else {
            Place::Current
        }
    }

    pub fn news_ended(&mut self, id: Id, why: &str) {
        self.news_lost(self.news_place(id), why);
    }

    fn news_lost(&mut self, place: Place, why: &str) {
        let was_live = place == Place::Current && self.news.live();
        self.counts.news_lost += u64::from(was_live);
        let id = match place {
            Place::Current => self.news_at.take(),
            Place::Next => self.news_next_at.take(),
        };
        id.into_iter().for_each(|id| drop(self.close(id)));
        self.news.closed(place);
        if !self.news.live() && !std::mem::replace(&mut self.news_fail, true) {
            warn!(proxies = self.news.proxies(), slices = self.news.slices(), "no news of the relay: {why}");
        }
        self.deadlines.clear(Due::News(place));
        self.deadlines.set(Due::OpenNews, self.clock.now() + self.news_again);
        self.news_again = (self.news_again * 2).min(NEWS_AGAIN.1);
    }

    pub fn news_passed(&mut self, place: Place) {
        let at = match place {
            Place::Current => self.news_at,
            Place::Next => self.news_next_at,
        };
        // What has arrived counts before the time does.
        if at.is_some_and(|id| self.look_before_limit(id)) {
            return self.deadlines.set(Due::News(place), self.clock.now() + TRANSFER_AGAIN);
        }
        let (now, mut told) = (self.clock.now(), Vec::new());
        let owed = owed(&self.calls, &self.assigner);
        let alive = self.news.passed(place, now, &mut self.names, owed, &mut told);
        self.take_news(told);
        let place = self.replace_former(place);
        if alive {
            self.watch_news(place);
        } else {
            self.news_lost(place, "silent");
        }
    }

    pub fn news_bytes(&mut self, id: Id, bytes: &[u8]) {
        self.deadlines.clear(Due::Connection(id));
        let (place, now, mut told) = (self.news_place(id), self.clock.now(), Vec::new());
        let owed = owed(&self.calls, &self.assigner);
        let taken = self.news.take(place, now, bytes, &mut self.names, owed, &mut told);
        self.take_news(told);
        let place = self.replace_former(place);
        match taken {
            Ok(()) => self.watch_news(place),
            Err(error) => self.news_lost(place, &error.to_string()),
        }
    }

    /// Once the connection at the new address has told what stands, the former has done its part.
    fn replace_former(&mut self, place: Place) -> Place {
        if place == Place::Current || self.news.is_open(Place::Next) {
            return place;
        }
        self.deadlines.clear(Due::News(Place::Next));
        let next = self.news_next_at.take();
        if let Some(former) = std::mem::replace(&mut self.news_at, next) {
            self.close(former);
        }
        self.news_moved = false;
        Place::Current
    }

    fn take_news(&mut self, told: Vec<Told>) {
        let now = self.clock.now();
        for told in told {
            match told {
                Told::Event(event) => {
                    if let Event::Taken { slice } | Event::Given { slice } = event {
                        self.calls.forget(slice);
                    }
                    self.pending.push(event);
                }
                Told::Acked { proxy, mark, way } => {
                    let way = self.calls.since_order(now, mark, way);
                    self.pending.push(Event::Acked { proxy, mark, way });
                }
                Told::Anew { slice, differs } => {
                    if differs {
                        self.counts.differing += 1;
                        info!(slice, "the store holds another line");
                    } else {
                        self.counts.anew += 1;
                    }
                    self.take_anew(slice);
                }
                Told::Extra { slice, server } => {
                    info!(slice, server, "a line beside the owner's is ended");
                    self.calls.push(now, [RelayOrder::Line { slice, server, on: false }]);
                }
                Told::Settled { again } => {
                    (self.news_again, self.news_fail) = (NEWS_AGAIN.0, false);
                    let (proxies, slices) = (self.news.proxies(), self.news.slices());
                    info!(proxies, slices, again, "news of the relay stand");
                    if again {
                        self.calls.mark_again(now);
                    }
                }
            }
        }
    }

    /// The slice counts as given now, with the line that the store holds and all methods let in.
    fn take_anew(&mut self, slice: usize) {
        self.calls.forget(slice);
        self.pending.push(Event::Given { slice });
        if let Some(name) = self.news.line_of(slice) {
            let ep = self.names.ep(name);
            self.pending.push(Event::Stored { slice, ep });
        }
        let tries = self.config.settings.get("familyInfo.retryDefault").unwrap_or(0);
        let open = RelayOrder::Level { slice, methods: 0, share: ALL_LET_IN, tries };
        self.calls.push(self.clock.now(), [open]);
    }

    // Calls.

    /// Starts a call if one is due and the news tell what is ours.
    pub fn start_call(&mut self) {
        let now = self.clock.now();
        let Some(at) = self.calls.due_at() else { return };
        if at > now {
            return self.deadlines.set(Due::Call, at);
        }
        if !self.news.live() {
            return;
        }
        if let Some((orders, since)) = self.calls.in_doubt() {
            // If it was carried out, it waits in the channel already, and would a second time.
            if now < since + DOUBT_WAITS && !self.assigner.may_send_again(orders) {
                return self.deadlines.set(Due::Call, now + DOUBT_LOOKS);
            }
            self.assigner.sent_again(now, orders);
        }
        if now > self.calls_used + CALL_IDLE || std::mem::take(&mut self.calls_moved) {
            // The relay closes idle connections: an order must not be what finds that out.
            self.calls_at.take().into_iter().for_each(|id| drop(self.close(id)));
        }
        let Some(text) = self.calls.next_call(now, &self.names) else { return };
        self.calls_used = now;
        self.counts.calls += 1;
        if let Some(id) = self.calls_at {
            let sent = self.connections.get_mut(id).map(|c| c.send(text.as_bytes()));
            let Some(Ok(outgoing)) = sent else { return self.call_lost("broken") };
            self.deadlines.set(Due::Connection(id), now + CALL_WITHIN);
            return self.flushed(id, Ok(outgoing));
        }
        let kind = Kind::Calls(Lines::new(ANSWER_MOST));
        self.calls_at = self.connect(self.config.relay, kind, text.as_bytes(), CONNECT_WITHIN);
        if self.calls_at.is_none() {
            self.call_lost("cannot connect");
        }
    }

    pub fn call_bytes(&mut self, id: Id, bytes: &[u8]) {
        let now = self.clock.now();
        let Some(Connection { kind: Kind::Calls(lines), .. }) = self.connections.get_mut(id) else { return };
        lines.push(bytes);
        let line = match lines.next_line() {
            Ok(None) => return,
            Ok(Some(line)) => line.to_vec(),
            Err(_) => Vec::new(),
        };
        let more = !lines.rest().is_empty();
        if !self.calls.under_way() || more {
            // Answers to nothing: the next call would take one of them for its own.
            return self.call_lost("out of step");
        }
        self.deadlines.clear(Due::Connection(id));
        self.calls_used = now;
        match self.calls.answered(now, &line) {
            Outcome::Done => {}
            Outcome::Short { dropped } => self.call_short(dropped),
            Outcome::NotDone { reason } if reason == "throttled" => self.counts.throttled += 1,
            Outcome::NotDone { reason } => warn!("the relay did not take a call: {reason}"),
            Outcome::Unknown => {
                info!(unknown = self.calls.unknown, "an answer of the relay cannot be read");
                self.close(id);
            }
        }
        for set in self.calls.take_confirmed() {
            self.news.confirmed(set);
        }
    }

    /// The relay stopped at an order. Of a server that it does not know, the module hears that it is gone.
    fn call_short(&mut self, dropped: RelayOrder) {
        warn!("the relay did not take {dropped:?}");
        let RelayOrder::Line { server, on: true, .. } = dropped else { return };
        let Some(ep) = self.names.known(&server) else { return };
        let entry = Entry { ep, zone: 0, listed: Listed::Gone, size: 1.0, started: None };
        self.pending.push(Event::List { kind: ListKind::Changes, entries: vec![entry] });
    }

    pub fn call_lost(&mut self, why: &str) {
        let now = self.clock.now();
        let whole =
            self.calls_at.is_some_and(|id| self.connections.get(id).is_some_and(Connection::all_written));
        if let Some(id) = self.calls_at.take() {
            self.close(id);
        }
        match self.calls.lost(now, whole) {
            Outcome::Unknown => info!(unknown = self.calls.unknown, "a call's outcome is unknown: {why}"),
            Outcome::NotDone { .. } => {
                self.counts.calls_not_sent += 1;
                self.calls.pause(now);
            }
            _ => {}
        }
    }

    /// The relay is at another address: news are asked for there while the former goes on, and a call under way
    /// ends first.
    pub fn move_relay(&mut self) {
        if let Some(id) = self.news_next_at.take() {
            self.close(id);
            self.news.closed(Place::Next);
        }
        self.news_moved = self.news_at.is_some();
        self.news_again = NEWS_AGAIN.0;
        self.open_news();
        self.calls_moved = true;
    }
}

/// What is owed to a slice: by calls, or by the module's handover.
fn owed<'a>(calls: &'a Calls, assigner: &'a Assigner) -> impl Fn(SliceId) -> Owed + 'a {
    |slice| match calls.owed(slice) {
        Owed::Nothing if assigner.moving(slice) => Owed::Handover,
        owed => owed,
    }
}
