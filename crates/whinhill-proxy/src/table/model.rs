//! The table against a plain model, on the same schedules: the model keeps all that ever happened and looks it up
//! afresh for each question, as slowly as it likes.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::tests::{s, service};
use super::*;

#[derive(Clone, Debug)]
enum Event {
    Told(Source, Assignment),
    Withdrawn(Source, SliceId, MethodId),
    Asked(Source),
    Renewed(Source, Duration),
    Lost(Source),
}

/// Until when a source's lease lasted after so many events.
fn lease(events: &[(Duration, Event)], source: Source) -> Option<Duration> {
    let (mut asked, mut until) = (None, None);
    for (at, event) in events {
        match event {
            Event::Asked(of) if *of == source => asked = Some(*at),
            Event::Lost(of) if *of == source => asked = None,
            Event::Renewed(of, ttl) if *of == source => until = until.max(asked.map(|asked| asked + *ttl)),
            _ => {}
        }
    }
    until
}

/// What the model says of an RPC: the newest table of the greatest epoch told of the slice, if this method has it.
fn model(events: &[(Duration, Event)], now: Duration, slice: SliceId, method: MethodId) -> Route {
    let mut held: Option<(usize, Source, &Assignment)> = None;
    let mut epoch = 0;
    for (place, (_, event)) in events.iter().enumerate() {
        let Event::Told(source, told) = event else { continue };
        if told.slice != slice || told.version.epoch < epoch {
            continue;
        }
        epoch = told.version.epoch;
        if told.method == method {
            held = Some((place, *source, told));
        }
    }
    let Some((place, source, told)) = held else { return Route::Wait(Refusal::NoLine) };
    if told.share <= 0.5 {
        return Route::Refuse(Refusal::Level);
    }
    // The first withdrawal by the one who told it ends its writes when the lease of that moment ends.
    let withdrawn = events.iter().enumerate().skip(place).find_map(|(k, (_, event))| {
        matches!(event, Event::Withdrawn(by, s, m) if (*by, *s, *m) == (source, slice, method)).then_some(k)
    });
    let until = match withdrawn {
        Some(k) => lease(&events[..k], source).or(Some(Duration::ZERO)),
        None => lease(events, source),
    };
    if method == 1 && until.is_none_or(|until| now >= until) {
        return Route::Wait(Refusal::NoLease);
    }
    match told.lines.first() {
        Some((server, _)) => {
            Route::Send { server: server.as_str().into(), tries: told.tries, version: told.version }
        }
        None => Route::Wait(Refusal::NoLine),
    }
}

fn drawn(rng: &mut ChaCha8Rng) -> Event {
    let source = rng.random_range(0..2);
    let (slice, method) = (rng.random_range(0..2), rng.random_range(0..2));
    match rng.random_range(0..10) {
        0..5 => {
            // Epochs of a slice belong to one assigner each: even ones to 0, odd ones to 1.
            let epoch = rng.random_range(0..4) * 2 + source as u64;
            let server = *["a", "b", ""].choose(rng).unwrap();
            let lines = if server.is_empty() { vec![] } else { vec![(server.to_string(), 1)] };
            let share = *[0.0, 0.5, 1.0, 1.0].choose(rng).unwrap();
            let version = Version { epoch, number: rng.random_range(0..30) };
            Event::Told(source, Assignment { slice, method, version, lines, share, tries: 1 })
        }
        5 => Event::Withdrawn(source, slice, method),
        6 | 7 => Event::Asked(source),
        8 => Event::Renewed(source, s(4.0)),
        _ => Event::Lost(source),
    }
}

fn play(seed: u64, steps: usize) -> Result<u64, String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut table = Table::new(service(), 2, Pick::ByWeight);
    let mut events = Vec::new();
    let (mut now, mut sent) = (Duration::ZERO, 0);
    for step in 0..steps {
        now += Duration::from_millis(rng.random_range(0..900));
        let event = drawn(&mut rng);
        match &event {
            Event::Told(source, told) if table.check(*source, told).is_err() => continue,
            Event::Told(source, told) => drop(table.apply(*source, told)),
            Event::Withdrawn(source, slice, method) => table.withdrawn(*source, *slice, *method),
            Event::Asked(source) => table.lease_asked(*source, now),
            Event::Renewed(source, ttl) => table.lease_renewed(*source, *ttl),
            Event::Lost(source) => table.stream_lost(*source),
        }
        events.push((now, event));
        for (slice, method) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
            let draws = Draws { level: 0.5, first: 0.3, second: 0.3 };
            let (found, wanted) =
                (table.route(now, slice, method, draws, |_| 0), model(&events, now, slice, method));
            if found != wanted {
                return Err(format!(
                    "step {step}, slice {slice}, method {method}: {found:?}, model {wanted:?}"
                ));
            }
            sent += u64::from(matches!(found, Route::Send { .. }) && method == 1);
        }
    }
    Ok(sent)
}

#[test]
fn the_table_says_what_a_plain_model_says() {
    let mut writes = 0;
    for seed in 0..2000 {
        match play(seed, 80) {
            Ok(sent) => writes += sent,
            Err(why) => {
                let shortest = (0..=80).find(|steps| play(seed, *steps).is_err());
                panic!("seed {seed} fails after {shortest:?} steps: {why}");
            }
        }
    }
    assert!(writes > 5_000, "too tame: {writes}");
}
