//! Probes of a server over loopback.

use std::thread;
use std::time::Instant;

use crossbeam_channel::bounded;
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

#[test]
fn a_connection_that_the_server_ended_in_good_order_is_no_silence() {
    let drivers = Drivers::start("probes", 1).unwrap();
    let idle = Duration::from_millis(100);
    let limits = Limits { idle, ..Limits::default() };
    let any = "127.0.0.1:0".parse().unwrap();
    let listener = Listener::start("probed", any, limits, &drivers, answer_health).unwrap();
    let (inputs, told) = bounded(16);
    let prober = Prober::new(drivers, inputs);
    let server: ServerName = listener.addr().to_string().as_str().into();
    for turn in 0..5 {
        prober.probe(server.clone());
        let Ok((Input::Probed { result, .. }, None)) = told.recv_timeout(TEST_WITHIN) else {
            panic!("no probe was told")
        };
        assert_eq!(result, Probe::Ok, "turn {turn}");
        let until = Instant::now() + TEST_WITHIN;
        while listener.connections() > 0 {
            assert!(Instant::now() < until, "the server keeps an idle connection");
            thread::sleep(Duration::from_millis(10));
        }
        // The end arrives at our side.
        thread::sleep(Duration::from_millis(100));
    }
}
