//! `whinhill bench proxy`: one proxy as a process of its own, against its server direct in the same run.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use clap::Args;
use serde::Serialize;
use whinhill_assigner::process_figures_of;
use whinhill_proxy::KEY_HEADER;
use whinhill_standins::bench::closed_loop;
use whinhill_standins::day::{Day, Proxies, RunAs, Speaks};
use whinhill_standins::play::{with_fleet, Rig};
use whinhill_transport::{Client, Drivers, Limits};

use crate::load::{self, Added, LoadArgs, TargetFigures};
use crate::{config, Failed};

#[derive(Args)]
pub struct ProxyBench {
    /// Whose service and assigners are taken.
    #[arg(default_value = "days/quiet.json5")]
    file: PathBuf,
    #[arg(long, default_value_t = 900)]
    slices: usize,
    /// Callers of the closed loop that finds out what it can carry.
    #[arg(long, default_value_t = 32)]
    callers: usize,
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// RPCs a second in the open loop, in place of half of what was carried.
    #[arg(long)]
    rate: Option<f64>,
    /// RPCs held open for the memory's sake.
    #[arg(long, default_value_t = 1000)]
    open: usize,
}

#[derive(Serialize)]
pub struct ProxyBenchFigures {
    slices: usize,
    /// What client, proxy and server together carry in a closed loop on this machine.
    carried_per_s: f64,
    direct_per_s: f64,
    /// RPCs for each second of the proxy's own processor time.
    rpcs_per_core_s: f64,
    proxy_us_per_rpc: f64,
    /// The open loop: the proxy first, then the server direct.
    rate: f64,
    open_loop: Vec<TargetFigures>,
    added: Option<Added>,
    /// The same while every table is told anew time and again.
    sets_told: u64,
    under_sets: Vec<TargetFigures>,
    added_under_sets: Option<Added>,
    /// The longest time for which a set kept RPCs from looking at the table.
    pause_us_most: u64,
    /// Resident memory at rest, with the RPCs open, and the difference by a thousand.
    rest_kb: u64,
    open: usize,
    open_kb: u64,
    kb_per_thousand: f64,
}

fn failed(error: &dyn std::fmt::Display) -> Failed {
    Failed::Running(error.to_string())
}

pub fn measure(args: &ProxyBench, program: &Path, out: &Path) -> Result<ProxyBenchFigures, Failed> {
    let sane = (1..=20_000).contains(&args.open) && (1..=4096).contains(&args.callers);
    if !sane || !(0.1..=600.0).contains(&args.seconds) || !(1..=65_534).contains(&args.slices) {
        return Err(Failed::Usage(
            "expected: open up to 20000, callers up to 4096, seconds 0.1 to 600, slices up to 65534".into(),
        ));
    }
    let mut day: Day = config::read(&args.file, Day::check)?;
    day.service.slices = args.slices;
    // One proxy and one server: nothing is to be decided. Work so small that the way is what is measured.
    day.proxies = Proxies { count: 1, speaks: Speaks::StateOfTheWorld };
    day.servers.count = 1;
    day.servers.cores = 64;
    day.servers.queue = 4096;
    day.load.mix.iter_mut().for_each(|mix| mix.work_ms = 0.001);
    day.run.proxies = RunAs::Processes;
    (day.links, day.link_delay_ms, day.faults) = (true, 0, Vec::new());
    with_fleet(&day, program, out, |rig| on(rig, args, &day)).map_err(|error| failed(&error))?
}

fn on(rig: &Rig<'_>, args: &ProxyBench, day: &Day) -> Result<ProxyBenchFigures, Failed> {
    let missing = || Failed::Running("no proxy's process, or no server".into());
    let (to, against) =
        (*rig.proxies().first().ok_or_else(missing)?, *rig.servers().first().ok_or_else(missing)?);
    let (pid, _) = rig.first_proxy().ok_or_else(missing)?;
    let process = pid.to_string();
    let path = day.service.methods[0].path.clone();
    let drivers = Drivers::start("bench", 2).map_err(|error| failed(&error))?;
    // What a server wants to know that a proxy would add.
    let as_proxy = [("whinhill-slice", "0".to_string()), ("whinhill-epoch", "1".to_string())];
    let looped = |name, addr, headers: &[(&'static str, String)]| {
        closed_loop(name, addr, &path, headers, &drivers, args.callers, args.seconds)
            .map_err(|error| failed(&error))
    };
    let direct = looped("direct", against, &as_proxy)?;
    let through = looped("through the proxy", to, &[])?;

    let rate = args.rate.unwrap_or(through.rpcs_per_s / 2.0).max(1.0);
    let load = |seconds: f64| LoadArgs {
        to,
        against: Some(against),
        path: path.clone(),
        rate,
        seconds,
        warm_up: 1.0,
        keys: 10_000,
        bytes: 64,
        deadline_ms: 2000,
        in_hand: 256,
        connections: 4,
        seed: 1,
        headers: as_proxy.iter().map(|(name, value)| (name.to_string(), value.clone())).collect(),
        json: true,
    };
    let (before, _) = process_figures_of(&process);
    let open = load::measure(&load(args.seconds))?;
    let cpu_ms = process_figures_of(&process).0.saturating_sub(before).max(1);
    // The processor's time covers the warm-up too.
    let rpcs = rate / 2.0 * (args.seconds + 1.0);

    let told_before = rig.first_proxy().map_or(0, |(_, figures)| figures.reconnects);
    let under = thread::scope(|scope| {
        let loaded = scope.spawn(|| load::measure(&load(args.seconds)));
        while !loaded.is_finished() {
            rig.break_streams();
            thread::sleep(Duration::from_millis(500));
        }
        loaded.join().unwrap_or_else(|_| Err(Failed::Running("the load panicked".into())))
    })?;
    let (_, figures) = rig.first_proxy().ok_or_else(missing)?;

    let (_, rest_kb) = process_figures_of(&process);
    let open_kb = held_open(rig, to, &path, args.open, &drivers, &process)?;
    Ok(ProxyBenchFigures {
        slices: args.slices,
        carried_per_s: through.rpcs_per_s.round(),
        direct_per_s: direct.rpcs_per_s.round(),
        rpcs_per_core_s: (rpcs / (cpu_ms as f64 / 1e3)).round(),
        proxy_us_per_rpc: (cpu_ms as f64 * 1e3 / rpcs).round(),
        rate: rate.round(),
        open_loop: open.targets,
        added: open.added,
        sets_told: figures.reconnects - told_before,
        under_sets: under.targets,
        added_under_sets: under.added,
        pause_us_most: figures.pause_us_most,
        rest_kb,
        open: args.open,
        open_kb,
        kb_per_thousand: (open_kb.saturating_sub(rest_kb) as f64 * 1e3 / args.open as f64).round(),
    })
}

/// The most memory that the proxy takes while so many RPCs are open that no server answers.
fn held_open(
    rig: &Rig<'_>,
    to: SocketAddr,
    path: &str,
    count: usize,
    drivers: &Drivers,
    process: &str,
) -> Result<u64, Failed> {
    rig.silence(true);
    let within = Duration::from_secs(5);
    let clients: Vec<Client> = (0..count.div_ceil(200))
        .map(|_| Client::connect(to, Limits::default(), drivers).map_err(|error| failed(&error)))
        .collect::<Result<_, _>>()?;
    let mut held = Vec::with_capacity(count);
    for number in 0..count {
        let headers =
            [(KEY_HEADER, format!("key-{number}")), ("whinhill-rpc", format!("{}", 1 << 40 | number))];
        let call = clients[number % clients.len()].call(path, &headers, within);
        let (mut writer, answer) = call.map_err(|error| failed(&error))?;
        writer.send(&[b'x'; 64], within).map_err(|error| failed(&error))?;
        writer.finish().map_err(|error| failed(&error))?;
        held.push((writer, answer));
    }
    let (until, mut most) = (Instant::now() + Duration::from_secs(1), 0);
    while Instant::now() < until {
        most = most.max(process_figures_of(process).1);
        thread::sleep(Duration::from_millis(20));
    }
    rig.silence(false);
    Ok(most)
}
