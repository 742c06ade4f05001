use super::*;
use whinhill::interface::{Ep, Settings};

const MS: Duration = Duration::from_millis(1);

fn names() -> Names {
    let pairs = [("zones", "a"), ("familyInfo.shards", "99")];
    Names::new(&Settings(pairs.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect()))
}

struct Reader(News, Names);

impl Reader {
    fn new() -> Self {
        Reader(News::default(), names())
    }

    /// A connection that tells `text` and then goes on.
    fn opens(&mut self, text: &str, piece: usize) -> Vec<Told> {
        self.0.opened(Place::Current, MS);
        self.tell(&format!("OK\r\n{text}*\r\n"), piece)
    }

    fn tell(&mut self, text: &str, piece: usize) -> Vec<Told> {
        let mut told = Vec::new();
        for bytes in text.as_bytes().chunks(piece) {
            self.0
                .take(
                    Place::Current,
                    MS,
                    bytes,
                    &mut self.1,
                    |slice| if slice == 9 { Owed::Call } else { Owed::Nothing },
                    &mut told,
                )
                .unwrap();
        }
        told
    }

    fn ep(&self, name: &str) -> Ep {
        self.1.known(name).unwrap()
    }
}

const STANDS: &str =
    "* hello 17 a 21.5 1\r\n* hello 18 a 2 0\r\n* lease 88 1\r\n* line 88 s-1 1.0\r\n* lease 9 1\r\n";

#[test]
fn what_stands_becomes_events_however_it_is_cut() {
    for piece in [1, 7, 1000] {
        let mut reader = Reader::new();
        let told = reader.opens(STANDS, piece);
        let wanted = [
            Told::Event(Event::Joined { proxy: 17, zone: 0 }),
            Told::Event(Event::Joined { proxy: 18, zone: 0 }),
            Told::Event(Event::Given { slice: 88 }),
            Told::Event(Event::Stored { slice: 88, ep: reader.ep("s-1") }),
            Told::Event(Event::Given { slice: 9 }),
            Told::Settled { again: false },
        ];
        assert_eq!(told, wanted, "in pieces of {piece}");
    }
}

#[test]
fn the_same_after_a_break_is_nothing_new() {
    let mut reader = Reader::new();
    reader.opens(STANDS, 1000);
    assert_eq!(reader.opens(STANDS, 3), [Told::Settled { again: true }]);
}

/// Departures that nobody told, slices taken and given, and a line set by somebody else.
#[test]
fn what_changed_in_a_break_becomes_events() {
    let mut reader = Reader::new();
    reader.opens(STANDS, 1000);
    let stands = "* hello 17 a 21.5 1\r\n* hello 19 a 1 1\r\n* lease 88 1\r\n* line 88 s-2 1.0\r\n* lease 5 1\r\n* line 5 s-2 1.0\r\n";
    let told = reader.opens(stands, 5);
    let wanted = [
        Told::Event(Event::Joined { proxy: 19, zone: 0 }),
        Told::Event(Event::Left { proxy: 18 }),
        Told::Event(Event::Taken { slice: 9 }),
        Told::Event(Event::Given { slice: 5 }),
        Told::Event(Event::Stored { slice: 5, ep: reader.ep("s-2") }),
        Told::Anew { slice: 88, differs: true },
        Told::Settled { again: true },
    ];
    assert_eq!(told, wanted);
    assert_eq!(reader.0.line_of(88), Some("s-2"));
}

/// A call whose outcome is open may have set the line: it is sent again and settles it.
#[test]
fn a_line_in_doubt_does_not_differ() {
    let mut reader = Reader::new();
    reader.opens(STANDS, 1000);
    let told = reader.opens(&format!("{STANDS}* line 9 s-3 1.0\r\n"), 1000);
    assert_eq!(told, [Told::Settled { again: true }]);
}

#[test]
fn live_news_tell_of_answers_and_of_proxies_that_come_and_go() {
    let mut reader = Reader::new();
    reader.opens(STANDS, 1000);
    let told = reader
        .tell("* ack 17 905 310.4\r\n* bye 17\r\n* ack 17 906 1\r\n* hello 17 a 1 0\r\n* lease 9 0\r\n", 4);
    let wanted = [
        Told::Acked { proxy: 17, mark: 905, way: Duration::from_micros(310_400) },
        Told::Event(Event::Left { proxy: 17 }),
        Told::Event(Event::Joined { proxy: 17, zone: 0 }),
        Told::Event(Event::Taken { slice: 9 }),
    ];
    assert_eq!(told, wanted);
}

#[test]
fn silence_is_a_loss_and_a_pause_ends_what_stands() {
    let mut reader = Reader::new();
    reader.0.opened(Place::Current, MS);
    let told = reader.tell(&format!("OK\r\n{STANDS}"), 1000);
    assert_eq!(told.len(), 5);
    let mut told = Vec::new();
    assert!(reader.0.passed(Place::Current, MS + TOLD_AFTER, &mut reader.1, |_| Owed::Nothing, &mut told));
    assert_eq!(told, [Told::Settled { again: false }]);
    assert!(reader.0.passed(Place::Current, SILENT, &mut reader.1, |_| Owed::Nothing, &mut told));
    assert!(!reader.0.passed(Place::Current, MS + SILENT, &mut reader.1, |_| Owed::Nothing, &mut told));
}

#[test]
fn what_is_no_news_is_an_error() {
    for text in ["ERR invalid\r\n", "OK\r\n* hello x a 1 1\r\n", "OK\r\n* lease 99 1\r\n", "OK\r\n\x01\r\n"] {
        let mut reader = Reader::new();
        reader.0.opened(Place::Current, MS);
        let (news, names) = (&mut reader.0, &mut reader.1);
        assert!(
            news.take(Place::Current, MS, text.as_bytes(), names, |_| Owed::Nothing, &mut Vec::new())
                .is_err(),
            "{text}"
        );
    }
}

/// The relay tells what stands, then a call of ours is answered, and only then the telling ends: the older line
/// is no other's. On `roll+mass` 58 slices with a new owner were held for given, and got a second owner.
#[test]
fn what_was_told_before_a_call_of_ours_does_not_differ() {
    let mut reader = Reader::new();
    reader.opens(STANDS, 1000);
    reader.0.opened(Place::Current, MS);
    assert_eq!(reader.tell(&format!("OK\r\n{STANDS}"), 1000), []);
    let set = |server: &str, on| SetLine { slice: 88, server: server.to_string(), on };
    reader.0.confirmed(set("s-1", false));
    reader.0.confirmed(set("s-2", true));
    assert_eq!(reader.tell("*\r\n", 1000), [Told::Settled { again: true }]);
    assert_eq!(reader.0.line_of(88), Some("s-2"));
    // What neither stood before nor was set by us is another's.
    reader.0.opened(Place::Current, MS);
    reader.0.confirmed(set("s-3", true));
    let told = reader.tell(&format!("OK\r\n{}*\r\n", STANDS.replace("s-1", "s-9")), 1000);
    assert_eq!(told, [Told::Anew { slice: 88, differs: true }, Told::Settled { again: true }]);
}

/// Somebody else may have had the slice during the break: its levels were reset, so writes go on at an owner that
/// had stopped. The handover starts anew, and no call leaves before all that stands was told.
#[test]
fn what_was_owed_in_a_break_starts_anew() {
    let mut reader = Reader::new();
    reader.opens(STANDS, 1000);
    reader.0.opened(Place::Current, MS);
    let mut told = Vec::new();
    let text = format!("OK\r\n{STANDS}*\r\n");
    let (begin, end) = text.split_at(text.len() - 3);
    let owed = |slice| if slice == 88 { Owed::Handover } else { Owed::Nothing };
    reader.0.take(Place::Current, MS, begin.as_bytes(), &mut reader.1, owed, &mut told).unwrap();
    assert!(told.is_empty() && !reader.0.live());
    reader.0.take(Place::Current, MS, end.as_bytes(), &mut reader.1, owed, &mut told).unwrap();
    assert_eq!(told, [Told::Anew { slice: 88, differs: false }, Told::Settled { again: true }]);
    assert!(reader.0.live());
}

/// Where slices are not exclusive a table may have several lines: the owner's stays, the others are told.
#[test]
fn lines_beside_the_owners_are_told() {
    let mut reader = Reader::new();
    let two = format!("{STANDS}* line 88 s-2 1.0\r\n* line 88 s-3 0.0\r\n");
    let extra = Told::Extra { slice: 88, server: "s-2".to_string() };
    assert!(reader.opens(&two, 1000).contains(&extra));
    let again = [Told::Anew { slice: 88, differs: true }, extra, Told::Settled { again: true }];
    assert_eq!(reader.opens(&two, 1000), again);
    assert_eq!(reader.0.line_of(88), Some("s-1"));
    // The former owner's end is no end of the next one's line.
    reader.0.confirmed(SetLine { slice: 88, server: "s-2".to_string(), on: true });
    reader.0.confirmed(SetLine { slice: 88, server: "s-1".to_string(), on: false });
    assert_eq!(reader.0.line_of(88), Some("s-2"));
    // What is told of a slice whose line we have ordered meanwhile is ours.
    reader.tell("* lease 5 1\r\n* line 5 s-1 1.0\r\n", 1000);
    reader.0.line_ordered(5);
    assert_eq!(reader.tell("* line 5 s-2 1.0\r\n", 1000), []);
}

/// The relay moves: what stands is told at the new address while the former goes on. Nobody else had our slices
/// meanwhile, so a handover goes on, and nothing that either told is lost.
#[test]
fn a_connection_at_a_new_address_takes_over_without_a_break() {
    let mut reader = Reader::new();
    reader.opens(STANDS, 1000);
    reader.0.opened(Place::Next, MS);
    let owed = |_| Owed::Handover;
    let mut told = Vec::new();
    let (news, names) = (&mut reader.0, &mut reader.1);
    news.take(Place::Next, MS, format!("OK\r\n{STANDS}").as_bytes(), names, owed, &mut told).unwrap();
    assert!(told.is_empty() && news.live() && news.is_open(Place::Next));
    // Both tell what happens meanwhile; an answer may be told by either.
    let both = "* bye 18\r\n* hello 20 a 1 0\r\n* lease 9 0\r\n* lease 7 1\r\n* line 7 s-2 1.0\r\n";
    news.take(Place::Current, MS, both.as_bytes(), names, owed, &mut told).unwrap();
    let before = told.len();
    news.take(Place::Next, MS, format!("{both}* ack 17 5 1.0\r\n*\r\n").as_bytes(), names, owed, &mut told)
        .unwrap();
    let wanted = [Told::Acked { proxy: 17, mark: 5, way: MS }, Told::Settled { again: true }];
    assert_eq!((before, &told[before..]), (5, wanted.as_slice()));
    assert!(news.live() && !news.is_open(Place::Next));
    assert_eq!((news.line_of(7), news.line_of(88), news.slices()), (Some("s-2"), Some("s-1"), 2));
}

/// The former address goes silent before the new one has told everything: that is a break like any other.
#[test]
fn a_former_address_that_ends_too_early_is_a_break() {
    let mut reader = Reader::new();
    reader.opens(STANDS, 1000);
    reader.0.opened(Place::Next, MS);
    let owed = |slice| if slice == 88 { Owed::Handover } else { Owed::Nothing };
    let mut told = Vec::new();
    let (news, names) = (&mut reader.0, &mut reader.1);
    news.take(Place::Next, MS, format!("OK\r\n{STANDS}").as_bytes(), names, owed, &mut told).unwrap();
    news.closed(Place::Current);
    assert!(!news.live());
    news.take(Place::Next, MS, b"*\r\n", names, owed, &mut told).unwrap();
    assert_eq!(told, [Told::Anew { slice: 88, differs: false }, Told::Settled { again: true }]);
    assert!(news.live());
}

/// The first connection breaks off, or goes on with what cannot be read, before it has told everything.
#[test]
fn what_was_told_in_part_is_set_against_the_next_connection() {
    for garbage in [false, true] {
        let mut reader = Reader::new();
        reader.0.opened(Place::Current, MS);
        reader.tell(&format!("OK\r\n{STANDS}"), 1000);
        if garbage {
            let (news, names) = (&mut reader.0, &mut reader.1);
            assert!(news
                .take(Place::Current, MS, b"\x01\r\n", names, |_| Owed::Nothing, &mut Vec::new())
                .is_err());
        }
        reader.0.closed(Place::Current);
        let told = reader.opens("* hello 17 a 21.5 1\r\n* lease 88 1\r\n* line 88 s-1 1.0\r\n", 1000);
        let gone = [Told::Event(Event::Left { proxy: 18 }), Told::Event(Event::Taken { slice: 9 })];
        assert_eq!(told, [gone.as_slice(), &[Told::Settled { again: true }]].concat());
    }
}
