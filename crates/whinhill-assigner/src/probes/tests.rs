//! Probes of a server over loopback.

use std::thread;
use std::time::Instant;

use crossbeam_channel::{bounded, Receiver};
use whinhill_transport::{Listener, ServerCall, Trailers};

use super::*;

const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn answer_health(mut call: ServerCall) {
    thread::spawn(move || {
        let _request = call.message(TEST_TIMEOUT);
        let serving = HealthCheckResponse { status: SERVING }.encode_to_vec();
        let _ = call.answer(&serving, Trailers::new(), TEST_TIMEOUT);
    });
}

fn listen(limits: Limits, drivers: &Drivers, handler: fn(ServerCall)) -> (Listener, ServerName) {
    let any = "127.0.0.1:0".parse().unwrap();
    let listener = Listener::start("probed", any, limits, drivers, handler).unwrap();
    let server = listener.addr().to_string().as_str().into();
    (listener, server)
}

/// Probes a server and returns the outcome.
fn probe(
    prober: &Prober,
    server: &ServerName,
    results: &Receiver<(Input, Option<Sender<()>>)>,
) -> ProbeOutcome {
    prober.probe(server.clone());
    match results.recv_timeout(TEST_TIMEOUT) {
        Ok((Input::ProbeCompleted { result, .. }, None)) => result,
        other => panic!("no probe result arrived: {other:?}"),
    }
}

#[test]
fn server_that_refuses_the_stream_counts_as_pushed_back() {
    let drivers = Drivers::start("probes", 1).unwrap();
    let (_listener, server) = listen(Limits::default(), &drivers, ServerCall::refuse_stream);
    let (inputs, results) = bounded(16);
    let prober = Prober::new(drivers, inputs);
    assert_eq!(probe(&prober, &server, &results), ProbeOutcome::PushedBack);
}

#[test]
fn server_with_an_unreadable_answer_counts_as_aborted() {
    let drivers = Drivers::start("probes", 1).unwrap();
    let (_listener, server) = listen(Limits::default(), &drivers, |mut call| {
        thread::spawn(move || {
            let _request = call.message(TEST_TIMEOUT);
            let _ = call.answer(b"\xff", Trailers::new(), TEST_TIMEOUT);
        });
    });
    let (inputs, results) = bounded(16);
    let prober = Prober::new(drivers, inputs);
    assert_eq!(probe(&prober, &server, &results), ProbeOutcome::Aborted);
}

#[test]
fn idle_connection_closed_by_the_server_does_not_fail_a_probe() {
    let drivers = Drivers::start("probes", 1).unwrap();
    let idle = Duration::from_millis(100);
    let (listener, server) = listen(Limits { idle, ..Limits::default() }, &drivers, answer_health);
    let (inputs, results) = bounded(16);
    let prober = Prober::new(drivers, inputs);
    for attempt in 0..5 {
        assert_eq!(probe(&prober, &server, &results), ProbeOutcome::Ok, "attempt {attempt}");
        let until = Instant::now() + TEST_TIMEOUT;
        while listener.connections() > 0 {
            assert!(Instant::now() < until, "the server keeps an idle connection");
            thread::sleep(Duration::from_millis(10));
        }
        // The prober's side of the connection sees its end.
        thread::sleep(Duration::from_millis(100));
    }
}

/// All probes of a round are requested at the same time.
#[test]
fn every_server_of_a_round_is_probed() {
    const SERVERS: usize = 60;
    let drivers = Drivers::start("probes", 1).unwrap();
    let servers: Vec<(Listener, ServerName)> =
        (0..SERVERS).map(|_| listen(Limits::default(), &drivers, answer_health)).collect();
    let (inputs, results) = bounded(10 * SERVERS);
    let prober = Prober::new(drivers, inputs);
    let mut counts: HashMap<ServerName, usize> = HashMap::new();
    for _round in 0..5 {
        servers.iter().for_each(|(_, server)| prober.probe(server.clone()));
        thread::sleep(Duration::from_millis(1000));
        while let Ok((Input::ProbeCompleted { server, .. }, None)) = results.try_recv() {
            *counts.entry(server).or_default() += 1;
        }
    }
    let of = |server: &ServerName| counts.get(server).copied().unwrap_or(0);
    let counts: Vec<usize> = servers.iter().map(|(_, server)| of(server)).collect();
    assert!(counts.iter().all(|count| *count >= 4), "probes by server in 5 rounds: {counts:?}");
}

#[test]
fn probe_requested_on_a_result_is_not_lost() {
    let drivers = Drivers::start("probes", 1).unwrap();
    let (_listener, server) = listen(Limits::default(), &drivers, answer_health);
    let (inputs, results) = bounded(16);
    let prober = Prober::new(drivers, inputs);
    (0..300).for_each(|attempt| {
        assert_eq!(probe(&prober, &server, &results), ProbeOutcome::Ok, "attempt {attempt}")
    });
}

#[test]
fn no_result_is_dropped_while_the_input_queue_is_full() {
    const SERVERS: usize = MAX_THREADS + 8;
    let drivers = Drivers::start("probes", 1).unwrap();
    let servers: Vec<(Listener, ServerName)> =
        (0..SERVERS).map(|_| listen(Limits::default(), &drivers, answer_health)).collect();
    let (inputs, results) = bounded(1);
    let prober = Prober::new(drivers, inputs);
    servers.iter().for_each(|(_, server)| prober.probe(server.clone()));
    // The results arrive while no one receives them.
    thread::sleep(2 * PROBE_TIMEOUT);
    let mut probed: Vec<ServerName> = Vec::new();
    while let Ok((Input::ProbeCompleted { server, .. }, None)) = results.recv_timeout(2 * PROBE_TIMEOUT) {
        probed.push(server);
    }
    let missing = servers.iter().filter(|(_, server)| !probed.contains(server)).count();
    assert_eq!(missing, 0, "servers without a result");
}
