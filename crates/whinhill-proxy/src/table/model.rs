//! Compares the table with a simple model on random sequences of events. The model keeps all events and evaluates
//! them anew for each question.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::tests::{s, service};
use super::*;

/// What can happen to the table.
#[derive(Clone, Debug)]
enum Event {
    Assigned(Source, Assignment),
    Withdrawn(Source, SliceId, MethodId),
    LeaseRequested(Source),
    LeaseRenewed(Source, Duration),
    StreamLost(Source),
}

/// The end of a source's lease after these events.
fn lease_end(events: &[(Duration, Event)], source: Source) -> Option<Duration> {
    let (mut requested_at, mut until) = (None, None);
    for (at, event) in events {
        match event {
            Event::LeaseRequested(of) if *of == source => requested_at = Some(*at),
            Event::StreamLost(of) if *of == source => requested_at = None,
            Event::LeaseRenewed(of, ttl) if *of == source => {
                until = until.max(requested_at.map(|requested_at| requested_at + *ttl))
            }
            _ => {}
        }
    }
    until
}

/// The route by the model: the newest table of the slice's highest epoch, if there is one for this method.
fn expected_route(events: &[(Duration, Event)], now: Duration, slice: SliceId, method: MethodId) -> Route {
    let mut in_force: Option<(usize, Source, &Assignment)> = None;
    let mut epoch = 0;
    for (position, (_, event)) in events.iter().enumerate() {
        let Event::Assigned(source, assignment) = event else { continue };
        if assignment.slice != slice || assignment.version.epoch < epoch {
            continue;
        }
        epoch = assignment.version.epoch;
        if assignment.method == method {
            in_force = Some((position, *source, assignment));
        }
    }
    let Some((position, source, assignment)) = in_force else { return Route::Wait(Refusal::NoLine) };
    if assignment.share <= 0.5 {
        return Route::Refuse(Refusal::Level);
    }
    // The first withdrawal by the assigner that published the table ends its writes when the lease of that time ends.
    let withdrawn = events.iter().enumerate().skip(position).find_map(|(index, (_, event))| {
        matches!(event, Event::Withdrawn(by, s, m) if (*by, *s, *m) == (source, slice, method))
            .then_some(index)
    });
    let until = match withdrawn {
        Some(index) => lease_end(&events[..index], source).or(Some(Duration::ZERO)),
        None => lease_end(events, source),
    };
    if method == 1 && until.is_none_or(|until| now >= until) {
        return Route::Wait(Refusal::NoLease);
    }
    match assignment.lines.first() {
        Some((server, _)) => Route::Send {
            server: server.as_str().into(),
            tries: assignment.tries,
            version: assignment.version,
        },
        None => Route::Wait(Refusal::NoLine),
    }
}

/// Draws an event.
fn random_event(rng: &mut ChaCha8Rng) -> Event {
    let source = rng.random_range(0..2);
    let (slice, method) = (rng.random_range(0..2), rng.random_range(0..2));
    match rng.random_range(0..10) {
        0..5 => {
            // Each epoch of a slice belongs to one assigner: even epochs to 0, odd ones to 1.
            let epoch = rng.random_range(0..4) * 2 + source as u64;
            let server = *["a", "b", ""].choose(rng).unwrap();
            let lines = if server.is_empty() { vec![] } else { vec![(server.to_string(), 1)] };
            let share = *[0.0, 0.5, 1.0, 1.0].choose(rng).unwrap();
            let version = Version { epoch, number: rng.random_range(0..30) };
            Event::Assigned(source, Assignment { slice, method, version, lines, share, tries: 1 })
        }
        5 => Event::Withdrawn(source, slice, method),
        6 | 7 => Event::LeaseRequested(source),
        8 => Event::LeaseRenewed(source, s(4.0)),
        _ => Event::StreamLost(source),
    }
}

/// Compares table and model after each of `steps` random events. Returns the number of routed writes.
fn run(seed: u64, steps: usize) -> Result<u64, String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut table = RoutingTable::new(service(), 2, Pick::ByWeight);
    let mut events = Vec::new();
    let (mut now, mut writes_routed) = (Duration::ZERO, 0);
    for step in 0..steps {
        now += Duration::from_millis(rng.random_range(0..900));
        let event = random_event(&mut rng);
        match &event {
            Event::Assigned(source, assignment) if table.check(*source, assignment).is_err() => continue,
            Event::Assigned(source, assignment) => drop(table.apply(*source, assignment)),
            Event::Withdrawn(source, slice, method) => table.withdraw(*source, *slice, *method),
            Event::LeaseRequested(source) => table.lease_requested(*source, now),
            Event::LeaseRenewed(source, ttl) => table.lease_renewed(*source, *ttl),
            Event::StreamLost(source) => table.stream_lost(*source),
        }
        events.push((now, event));
        for (slice, method) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
            let draws = Draws { level: 0.5, first: 0.3, second: 0.3 };
            let (actual, expected) =
                (table.route(now, slice, method, draws, |_| 0), expected_route(&events, now, slice, method));
            if actual != expected {
                return Err(format!(
                    "step {step}, slice {slice}, method {method}: {actual:?}, model {expected:?}"
                ));
            }
            writes_routed += u64::from(matches!(actual, Route::Send { .. }) && method == 1);
        }
    }
    Ok(writes_routed)
}

#[test]
fn random_events_then_table_routes_as_the_model() {
    let mut total_writes = 0;
    for seed in 0..2000 {
        match run(seed, 80) {
            Ok(writes_routed) => total_writes += writes_routed,
            Err(error) => {
                let shortest = (0..=80).find(|steps| run(seed, *steps).is_err());
                panic!("seed {seed} fails after {shortest:?} steps: {error}");
            }
        }
    }
    assert!(total_writes > 5_000, "too few writes were routed: {total_writes}");
}
