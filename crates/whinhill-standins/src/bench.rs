//! Measurements on loopback: a day of a large fleet, and RPCs in a closed loop.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use serde::Serialize;
use whinhill_proxy::KEY_HEADER;
use whinhill_transport::{Client, Drivers, Limits};

use crate::day::{Day, ProtocolVariant, ProxySettings};
use crate::day_run::{run_day, DayRunError, Outcome};

/// Figures of a day of a large fleet with one variant of the protocol.
#[derive(Debug, Serialize)]
pub struct FleetFigures {
    pub variant: &'static str,
    pub rpcs_per_s: f64,
    pub in_time_share: f64,
    pub rules_broken: u64,
    pub handovers: u64,
    /// Time of an assigner's batch of events.
    pub batch_us_mean: f64,
    pub batch_us_most: u64,
    /// Processor time of the assigners, as a share of their running time.
    pub cpu_share: f64,
    /// Time from an order to its acknowledgement by one proxy; the largest quantile of any assigner.
    pub answer_ms_p50: f64,
    pub answer_ms_p99: f64,
    /// Time from an order to its acknowledgement by the last of the proxies that had joined; likewise.
    pub all_ms_p50: f64,
    pub all_ms_p99: f64,
    pub bytes_sent: u64,
    pub lines_sent: u64,
    pub backlog_most: u64,
    pub rss_mb: f64,
    pub taken_over_ms: Option<f64>,
    pub first_grant_ms: Option<f64>,
}

/// Runs the same day with all proxies incremental, then with all of them state of the world.
pub fn measure_fleet(day: &Day, program: &Path, out: &Path) -> Result<Vec<FleetFigures>, DayRunError> {
    let variants = [
        ("incremental", ProtocolVariant::Incremental),
        ("state of the world", ProtocolVariant::StateOfTheWorld),
    ];
    let mut figures = Vec::new();
    for (variant, speaks) in variants {
        let day = Day { proxies: ProxySettings { speaks, ..day.proxies.clone() }, ..day.clone() };
        let outcome = run_day(&day, program, &out.join(variant.replace(' ', "-")))?;
        figures.push(figures_of(variant, &day, &outcome));
    }
    Ok(figures)
}

fn figures_of(variant: &'static str, day: &Day, outcome: &Outcome) -> FleetFigures {
    let all = &outcome.status;
    let sum = |of: fn(&whinhill_assigner::Status) -> u64| all.iter().map(of).sum::<u64>() as f64;
    let most = |of: fn(&whinhill_assigner::Status) -> u64| all.iter().map(of).max().unwrap_or(0);
    FleetFigures {
        variant,
        rpcs_per_s: outcome.rpcs as f64 / day.seconds,
        in_time_share: outcome.in_time_share,
        rules_broken: outcome.rules.total(),
        handovers: outcome.handovers,
        batch_us_mean: sum(|s| s.batch_us_sum) / sum(|s| s.batches).max(1.0),
        batch_us_most: most(|s| s.batch_us_most),
        cpu_share: sum(|s| s.cpu_ms) / sum(|s| s.uptime_ms).max(1.0),
        answer_ms_p50: most(|s| s.answer_us_p50) as f64 / 1e3,
        answer_ms_p99: most(|s| s.answer_us_p99) as f64 / 1e3,
        all_ms_p50: most(|s| s.all_us_p50) as f64 / 1e3,
        all_ms_p99: most(|s| s.all_us_p99) as f64 / 1e3,
        bytes_sent: sum(|s| s.bytes_sent) as u64,
        lines_sent: outcome.lines_sent,
        backlog_most: outcome.backlog_most,
        rss_mb: most(|s| s.rss_kb) as f64 / 1024.0,
        taken_over_ms: outcome.taken_over_ms,
        first_grant_ms: outcome.first_grant_ms,
    }
}

/// Throughput and latency of RPCs in a closed loop.
#[derive(Debug, Serialize)]
pub struct CallFigures {
    pub path: &'static str,
    pub callers: usize,
    pub rpcs_per_s: f64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub p999_us: u64,
    pub failed: u64,
}

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    #[error(transparent)]
    DayRun(#[from] DayRunError),
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Call(#[from] whinhill_transport::CallError),
}

/// Sends RPCs for `path` to `addr` in a closed loop, over one connection for every eight callers. `name` goes into the
/// figures.
pub fn measure_closed_loop(
    name: &'static str,
    addr: std::net::SocketAddr,
    path: &str,
    headers: &[(&'static str, String)],
    drivers: &Drivers,
    callers: usize,
    seconds: f64,
) -> Result<CallFigures, BenchError> {
    let new_histogram =
        || Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|e| io::Error::other(e.to_string()));
    let (latencies_us, failed) = (Mutex::new(new_histogram()?), Mutex::new(0u64));
    let stop = AtomicBool::new(false);
    let connections = callers.div_ceil(8);
    let clients: Vec<Client> = (0..connections)
        .map(|_| Client::connect(addr, Limits::default(), drivers))
        .collect::<Result<_, _>>()?;
    let began = Instant::now();
    thread::scope(|scope| {
        for number in 0..callers {
            let (client, latencies_us, failed, stop) =
                (&clients[number % connections], &latencies_us, &failed, &stop);
            scope.spawn(move || {
                let Ok(mut own_latencies_us) = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3) else {
                    return;
                };
                let (mut failures, mut rpc) = (0, number as u64);
                while !stop.load(Ordering::Relaxed) {
                    rpc += callers as u64;
                    let mut all_headers = headers.to_vec();
                    all_headers.push(("whinhill-rpc", rpc.to_string()));
                    all_headers.push((KEY_HEADER, format!("key-{}", rpc % 997)));
                    let began = Instant::now();
                    match client.unary(
                        path,
                        &all_headers,
                        Bytes::from_static(b"a request"),
                        Duration::from_secs(5),
                    ) {
                        Ok(_) => own_latencies_us.saturating_record(began.elapsed().as_micros() as u64),
                        Err(_) => failures += 1,
                    }
                }
                // Adding fails only for histograms with different bounds.
                let _ = latencies_us.lock().unwrap_or_else(PoisonError::into_inner).add(&own_latencies_us);
                *failed.lock().unwrap_or_else(PoisonError::into_inner) += failures;
            });
        }
        thread::sleep(Duration::from_secs_f64(seconds));
        stop.store(true, Ordering::Relaxed);
    });
    let latencies_us = latencies_us.into_inner().unwrap_or_else(PoisonError::into_inner);
    Ok(CallFigures {
        path: name,
        callers,
        rpcs_per_s: latencies_us.len() as f64 / began.elapsed().as_secs_f64(),
        p50_us: latencies_us.value_at_quantile(0.5),
        p99_us: latencies_us.value_at_quantile(0.99),
        p999_us: latencies_us.value_at_quantile(0.999),
        failed: failed.into_inner().unwrap_or_else(PoisonError::into_inner),
    })
}
