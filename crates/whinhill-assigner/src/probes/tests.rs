//! Probes of a server over loopback.

use std::thread;
use std::time::Instant;

use crossbeam_channel::{bounded, Receiver};
use whinhill_transport::{Listener, ServerCall, Trailers};

use super::*;

const TEST_WITHIN: Duration = Duration::from_secs(10);

fn answer_health(mut call: ServerCall) {
    thread::spawn(move || {
        let _request = call.message(TEST_WITHIN);
        let serving = HealthCheckResponse { status: SERVING }.encode_to_vec();
        let _ = call.answer(&serving, Trailers::new(), TEST_WITHIN);
    });
}

fn listen(limits: Limits, drivers: &Drivers, handler: fn(ServerCall)) -> (Listener, ServerName) {
    let any = "127.0.0.1:0".parse().unwrap();
    let listener = Listener::start("probed", any, limits, drivers, handler).unwrap();
    let server = listener.addr().to_string().as_str().into();
    (listener, server)
}

/// What a probe tells of a server.
fn probe(prober: &Prober, server: &ServerName, told: &Receiver<(Input, Option<Sender<()>>)>) -> Probe {
    prober.probe(server.clone());
    match told.recv_timeout(TEST_WITHIN) {
        Ok((Input::Probed { result, .. }, None)) => result,
        other => panic!("no probe was told: {other:?}"),
    }
}

#[test]
fn a_server_that_refuses_a_probe_unseen_is_not_silent() {
    let drivers = Drivers::start("probes", 1).unwrap();
    let (_listener, server) = listen(Limits::default(), &drivers, ServerCall::refuse_unseen);
    let (inputs, told) = bounded(16);
    let prober = Prober::new(drivers, inputs);
    assert_eq!(probe(&prober, &server, &told), Probe::PushedBack);
}

#[test]
fn a_server_whose_answer_cannot_be_read_is_not_silent() {
    let drivers = Drivers::start("probes", 1).unwrap();
    let (_listener, server) = listen(Limits::default(), &drivers, |mut call| {
        thread::spawn(move || {
            let _request = call.message(TEST_WITHIN);
            let _ = call.answer(b"\xff", Trailers::new(), TEST_WITHIN);
        });
    });
    let (inputs, told) = bounded(16);
    let prober = Prober::new(drivers, inputs);
    assert_eq!(probe(&prober, &server, &told), Probe::Aborted);
}

#[test]
fn a_connection_that_the_server_ended_in_good_order_is_no_silence() {
    let drivers = Drivers::start("probes", 1).unwrap();
    let idle = Duration::from_millis(100);
    let (listener, server) = listen(Limits { idle, ..Limits::default() }, &drivers, answer_health);
    let (inputs, told) = bounded(16);
    let prober = Prober::new(drivers, inputs);
    for turn in 0..5 {
        assert_eq!(probe(&prober, &server, &told), Probe::Ok, "turn {turn}");
        let until = Instant::now() + TEST_WITHIN;
        while listener.connections() > 0 {
            assert!(Instant::now() < until, "the server keeps an idle connection");
            thread::sleep(Duration::from_millis(10));
        }
        // The end arrives at our side.
        thread::sleep(Duration::from_millis(100));
    }
}

/// A round of probes comes at once.
#[test]
fn no_server_of_a_round_is_left_out() {
    const SERVERS: usize = 60;
    let drivers = Drivers::start("probes", 1).unwrap();
    let servers: Vec<(Listener, ServerName)> =
        (0..SERVERS).map(|_| listen(Limits::default(), &drivers, answer_health)).collect();
    let (inputs, told) = bounded(10 * SERVERS);
    let prober = Prober::new(drivers, inputs);
    let mut counts: HashMap<ServerName, usize> = HashMap::new();
    for _round in 0..5 {
        servers.iter().for_each(|(_, server)| prober.probe(server.clone()));
        thread::sleep(Duration::from_millis(1000));
        while let Ok((Input::Probed { server, .. }, None)) = told.try_recv() {
            *counts.entry(server).or_default() += 1;
        }
    }
    let of = |server: &ServerName| counts.get(server).copied().unwrap_or(0);
    let counts: Vec<usize> = servers.iter().map(|(_, server)| of(server)).collect();
    assert!(counts.iter().all(|count| *count >= 4), "probes by server in 5 rounds: {counts:?}");
}

#[test]
fn a_repeat_ordered_on_a_result_is_not_lost() {
    let drivers = Drivers::start("probes", 1).unwrap();
    let (_listener, server) = listen(Limits::default(), &drivers, answer_health);
    let (inputs, told) = bounded(16);
    let prober = Prober::new(drivers, inputs);
    (0..300).for_each(|turn| assert_eq!(probe(&prober, &server, &told), Probe::Ok, "turn {turn}"));
}

#[test]
fn no_result_is_dropped_while_the_inputs_have_no_room() {
    const SERVERS: usize = MOST + 8;
    let drivers = Drivers::start("probes", 1).unwrap();
    let servers: Vec<(Listener, ServerName)> =
        (0..SERVERS).map(|_| listen(Limits::default(), &drivers, answer_health)).collect();
    let (inputs, told) = bounded(1);
    let prober = Prober::new(drivers, inputs);
    servers.iter().for_each(|(_, server)| prober.probe(server.clone()));
    // The results come while nobody takes them.
    thread::sleep(2 * WITHIN);
    let mut probed: Vec<ServerName> = Vec::new();
    while let Ok((Input::Probed { server, .. }, None)) = told.recv_timeout(2 * WITHIN) {
        probed.push(server);
    }
    let missing = servers.iter().filter(|(_, server)| !probed.contains(server)).count();
    assert_eq!(missing, 0, "servers without a result");
}
