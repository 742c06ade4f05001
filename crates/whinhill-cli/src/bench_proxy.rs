//! `whinhill bench proxy`: compares one proxy process with its server called directly, in the same run.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use clap::Args;
use serde::Serialize;
use whinhill_assigner::process_cpu_and_memory;
use whinhill_proxy::KEY_HEADER;
use whinhill_standins::bench::measure_closed_loop;
use whinhill_standins::day::{Day, ProtocolVariant, ProxySettings, RunAs};
use whinhill_standins::day_run::{with_fleet, FleetHandle};
use whinhill_transport::{Client, Drivers, Limits};

use crate::load::{self, Added, LoadArgs, TargetFigures};
use crate::{config, CommandError};

/// Arguments of `whinhill bench proxy`.
#[derive(Args)]
pub struct ProxyBench {
    /// Day whose service and assigners are used.
    #[arg(default_value = "days/quiet.json5")]
    file: PathBuf,
    /// Number of slices.
    #[arg(long, default_value_t = 900)]
    slices: usize,
    /// Callers of the closed loop that measures the throughput.
    #[arg(long, default_value_t = 32)]
    callers: usize,
    /// Seconds of each measurement.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// RPCs per second of the open loop. Default: half of the measured throughput.
    #[arg(long)]
    rate: Option<f64>,
    /// RPCs held open for the measurement of memory.
    #[arg(long, default_value_t = 1000)]
    open: usize,
}

/// Figures of the benchmark, as they are printed.
#[derive(Serialize)]
pub struct ProxyBenchFigures {
    slices: usize,
    /// RPCs per second of a closed loop through client, proxy and server on this machine.
    carried_per_s: f64,
    /// RPCs per second of a closed loop directly to the server.
    direct_per_s: f64,
    /// RPCs per second of the proxy's own processor time.
    rpcs_per_core_s: f64,
    proxy_us_per_rpc: f64,
    /// The open loop: RPCs per second; figures of the proxy first, then of the server called directly.
    rate: f64,
    open_loop: Vec<TargetFigures>,
    added: Option<Added>,
    /// The same while the proxy repeatedly receives the full set of tables: the number of sets, and the figures.
    sets_told: u64,
    under_sets: Vec<TargetFigures>,
    added_under_sets: Option<Added>,
    /// The longest time for which applying a set blocked RPCs from reading the table, in microseconds.
    pause_us_most: u64,
    /// Resident memory in KiB, at rest and with the RPCs open, and the difference per thousand RPCs.
    rest_kb: u64,
    open: usize,
    open_kb: u64,
    kb_per_thousand: f64,
}

/// Runs the benchmark and returns its figures.
pub fn measure(args: &ProxyBench, program: &Path, out: &Path) -> Result<ProxyBenchFigures, CommandError> {
    let valid_counts = (1..=20_000).contains(&args.open) && (1..=4096).contains(&args.callers);
    if !valid_counts || !(0.1..=600.0).contains(&args.seconds) || !(1..=65_534).contains(&args.slices) {
        return Err(CommandError::Usage(
            "expected: open 1 to 20000, callers 1 to 4096, seconds 0.1 to 600, slices 1 to 65534".into(),
        ));
    }
    let mut day: Day = config::read_file(&args.file, Day::validate)?;
    day.service.slices = args.slices;
    // One proxy and one server, so that there is nothing to decide. The server's work is small, so that the cost of the
    // path through the proxy dominates.
    day.proxies = ProxySettings { count: 1, speaks: ProtocolVariant::StateOfTheWorld };
    day.servers.count = 1;
    day.servers.cores = 64;
    day.servers.queue = 4096;
    day.load.mix.iter_mut().for_each(|mix| mix.work_ms = 0.001);
    day.run.proxies = RunAs::Processes;
    (day.links, day.link_delay_ms, day.faults) = (true, 0, Vec::new());
    with_fleet(&day, program, out, |fleet| measure_fleet(fleet, args, &day)).map_err(CommandError::runtime)?
}

/// Measures the only proxy and server of a running fleet.
fn measure_fleet(
    fleet: &FleetHandle<'_>,
    args: &ProxyBench,
    day: &Day,
) -> Result<ProxyBenchFigures, CommandError> {
    let missing = || CommandError::Runtime("no proxy process or no server is running".into());
    let (to, against) = (
        *fleet.proxy_addrs().first().ok_or_else(missing)?,
        *fleet.server_addrs().first().ok_or_else(missing)?,
    );
    let (pid, _) = fleet.first_proxy_process().ok_or_else(missing)?;
    let process = pid.to_string();
    let path = day.service.methods[0].path.clone();
    let drivers = Drivers::start("bench", 2).map_err(CommandError::runtime)?;
    // Headers that the server expects and that a proxy would add.
    let proxy_headers = [("whinhill-slice", "0".to_string()), ("whinhill-epoch", "1".to_string())];
    let run_closed_loop = |name, addr, headers: &[(&'static str, String)]| {
        measure_closed_loop(name, addr, &path, headers, &drivers, args.callers, args.seconds)
            .map_err(CommandError::runtime)
    };
    let direct = run_closed_loop("direct", against, &proxy_headers)?;
    let through_proxy = run_closed_loop("through the proxy", to, &[])?;

    let rate = args.rate.unwrap_or(through_proxy.rpcs_per_s / 2.0).max(1.0);
    let load_args = |seconds: f64| LoadArgs {
        to,
        against: Some(against),
        path: path.clone(),
        rate,
        seconds,
        warm_up: 1.0,
        keys: 10_000,
        bytes: 64,
        deadline_ms: 2000,
        in_flight: 256,
        connections: 4,
        seed: 1,
        headers: proxy_headers.iter().map(|(name, value)| (name.to_string(), value.clone())).collect(),
        json: true,
    };
    let (cpu_ms_before, _) = process_cpu_and_memory(&process);
    let open = load::measure(&load_args(args.seconds))?;
    let cpu_ms = process_cpu_and_memory(&process).0.saturating_sub(cpu_ms_before).max(1);
    // The processor time includes the second of warm-up. The proxy gets half of the RPCs.
    let rpcs = rate / 2.0 * (args.seconds + 1.0);

    let reconnects_before = fleet.first_proxy_process().map_or(0, |(_, figures)| figures.reconnects);
    let under_sets = thread::scope(|scope| {
        let load_thread = scope.spawn(|| load::measure(&load_args(args.seconds)));
        while !load_thread.is_finished() {
            fleet.break_table_streams();
            thread::sleep(Duration::from_millis(500));
        }
        load_thread.join().unwrap_or_else(|_| Err(CommandError::Runtime("the load thread panicked".into())))
    })?;
    let (_, figures) = fleet.first_proxy_process().ok_or_else(missing)?;

    let (_, rest_kb) = process_cpu_and_memory(&process);
    let open_kb = memory_with_open_rpcs(fleet, to, &path, args.open, &drivers, &process)?;
    Ok(ProxyBenchFigures {
        slices: args.slices,
        carried_per_s: through_proxy.rpcs_per_s.round(),
        direct_per_s: direct.rpcs_per_s.round(),
        rpcs_per_core_s: (rpcs / (cpu_ms as f64 / 1e3)).round(),
        proxy_us_per_rpc: (cpu_ms as f64 * 1e3 / rpcs).round(),
        rate: rate.round(),
        open_loop: open.targets,
        added: open.added,
        sets_told: figures.reconnects - reconnects_before,
        under_sets: under_sets.targets,
        added_under_sets: under_sets.added,
        pause_us_most: figures.pause_us_most,
        rest_kb,
        open: args.open,
        open_kb,
        kb_per_thousand: (open_kb.saturating_sub(rest_kb) as f64 * 1e3 / args.open as f64).round(),
    })
}

/// The largest resident memory of the proxy, in KiB, while `count` RPCs are open that the server doesn't answer.
fn memory_with_open_rpcs(
    fleet: &FleetHandle<'_>,
    to: SocketAddr,
    path: &str,
    count: usize,
    drivers: &Drivers,
    process: &str,
) -> Result<u64, CommandError> {
    fleet.set_servers_silent(true);
    let timeout = Duration::from_secs(5);
    let clients: Vec<Client> = (0..count.div_ceil(200))
        .map(|_| Client::connect(to, Limits::default(), drivers).map_err(CommandError::runtime))
        .collect::<Result<_, _>>()?;
    let mut open_calls = Vec::with_capacity(count);
    for number in 0..count {
        let headers =
            [(KEY_HEADER, format!("key-{number}")), ("whinhill-rpc", format!("{}", 1 << 40 | number))];
        let call = clients[number % clients.len()].call(path, &headers, timeout);
        let (mut writer, answer) = call.map_err(CommandError::runtime)?;
        writer.send(&[b'x'; 64], timeout).map_err(CommandError::runtime)?;
        writer.finish().map_err(CommandError::runtime)?;
        open_calls.push((writer, answer));
    }
    let (until, mut max_kb) = (Instant::now() + Duration::from_secs(1), 0);
    while Instant::now() < until {
        max_kb = max_kb.max(process_cpu_and_memory(process).1);
        thread::sleep(Duration::from_millis(20));
    }
    fleet.set_servers_silent(false);
    Ok(max_kb)
}
