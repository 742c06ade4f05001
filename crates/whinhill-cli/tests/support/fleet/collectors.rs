//! Stand-ins for the collectors of all zones. Once a period each reports the results of its zone's proxies at each
//! server.

use std::fmt::Write as _;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::relay::Relay;
use super::{server_name, CLASSES, DEADLINES, MEAN_SOFT_DEADLINE, PERIOD, ZONES};

/// RPCs of one class that the proxies of one zone send for one slice in a period.
const RPCS_PER_SLICE_AND_CLASS: usize = 5;
/// Mean response time of a healthy server.
const HEALTHY_RESPONSE_TIME: Duration = Duration::from_millis(40);

/// How a server treats the RPCs of proxies, as the collectors report it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RpcBehavior {
    Answers,
    /// Answers with this mean response time.
    AnswersAfter(Duration),
    /// Has answered nothing since then: a try is lost at its deadline, and reported after that.
    Unresponsive(Instant),
    /// Has answered nothing since then, and the lost tries are not reported.
    UnresponsiveUnreported(Instant),
    /// Each try has failed at once since then.
    Failures(Instant),
    /// The mean response time is twice the soft deadline, and half of the tries are lost.
    Overload,
}

/// The results of a zone's proxies at a server in one period.
struct PeriodResults {
    tries: usize,
    lost: usize,
    mean: Duration,
}

impl RpcBehavior {
    /// The results known for the period that began at `period_start`, where `sent` tries are sent in each period.
    fn in_period(self, sent: usize, period_start: Instant) -> PeriodResults {
        // The tries of the period that were sent before `moment`.
        let before = |moment: Instant, period_start: Instant| {
            let fraction =
                moment.saturating_duration_since(period_start).as_secs_f64() / PERIOD.as_secs_f64();
            (sent as f64 * fraction.min(1.0)).round() as usize
        };
        match self {
            RpcBehavior::Answers => PeriodResults { tries: sent, lost: 0, mean: HEALTHY_RESPONSE_TIME },
            RpcBehavior::AnswersAfter(mean) => PeriodResults { tries: sent, lost: 0, mean },
            RpcBehavior::Unresponsive(since) => {
                let lost_by_class = DEADLINES.map(|deadline| sent - before(since + deadline, period_start));
                let lost = lost_by_class.iter().sum::<usize>() / DEADLINES.len();
                PeriodResults { tries: before(since, period_start) + lost, lost, mean: HEALTHY_RESPONSE_TIME }
            }
            RpcBehavior::UnresponsiveUnreported(since) => {
                PeriodResults { tries: before(since, period_start), lost: 0, mean: HEALTHY_RESPONSE_TIME }
            }
            RpcBehavior::Failures(since) => PeriodResults {
                tries: sent,
                lost: sent - before(since, period_start),
                mean: HEALTHY_RESPONSE_TIME,
            },
            RpcBehavior::Overload => {
                PeriodResults { tries: sent, lost: sent / 2, mean: 2 * MEAN_SOFT_DEADLINE }
            }
        }
    }
}

/// What the collectors report of a server, and when they did.
#[derive(Clone)]
struct ReportedServer {
    behavior: RpcBehavior,
    /// When a report first contained a loss since the last change of behavior.
    loss_reported: Option<Instant>,
    /// When the first report since the last change of behavior left.
    first_report: Option<Instant>,
}

/// The collectors of all zones.
#[derive(Clone)]
pub struct Collectors {
    servers: Arc<Mutex<Vec<ReportedServer>>>,
    /// Zones whose collectors cannot reach the assigner.
    disconnected_zones: Arc<Mutex<Vec<&'static str>>>,
}

impl Collectors {
    /// Connects one collector of each zone to the assigner; all servers answer.
    pub fn start(assigner: SocketAddr, relay: &Relay, servers: usize) -> Self {
        let healthy =
            ReportedServer { behavior: RpcBehavior::Answers, loss_reported: None, first_report: None };
        let collectors = Collectors {
            servers: Arc::new(Mutex::new(vec![healthy; servers])),
            disconnected_zones: Arc::default(),
        };
        let mut streams: Vec<TcpStream> =
            ZONES.iter().map(|zone| connect_collector(assigner, zone)).collect();
        let (reporter, relay) = (collectors.clone(), relay.clone());
        thread::spawn(move || {
            let mut period_start = Instant::now();
            loop {
                thread::sleep((period_start + PERIOD).saturating_duration_since(Instant::now()));
                let lines = relay.lines();
                for (zone, stream) in ZONES.iter().zip(&mut streams) {
                    if reporter.disconnected_zones.lock().unwrap().contains(zone) {
                        continue;
                    }
                    if stream.write_all(reporter.report(zone, &lines, period_start).as_bytes()).is_err() {
                        return;
                    }
                }
                period_start += PERIOD;
            }
        });
        collectors
    }

    /// Changes how a server treats RPCs.
    pub fn set_behavior(&self, server: usize, behavior: RpcBehavior) {
        self.servers.lock().unwrap()[server] =
            ReportedServer { behavior, loss_reported: None, first_report: None };
    }

    /// Stops the reports of a zone.
    pub fn disconnect_zone(&self, zone: &'static str) {
        self.disconnected_zones.lock().unwrap().push(zone);
    }

    /// When a report first contained a loss at a server since the last change of its behavior.
    pub fn loss_reported(&self, server: usize) -> Option<Instant> {
        self.servers.lock().unwrap()[server].loss_reported
    }

    /// When the first report since the last change of its behavior left.
    pub fn first_report(&self, server: usize) -> Option<Instant> {
        self.servers.lock().unwrap()[server].first_report
    }

    /// The report of a zone for the period that began at `period_start`. The collector of the first zone reports the
    /// demand of all zones.
    fn report(&self, zone: &str, lines: &[Option<String>], period_start: Instant) -> String {
        let (mut text, mut servers) = (String::new(), self.servers.lock().unwrap());
        for (index, reported_server) in servers.iter_mut().enumerate() {
            let name = server_name(index);
            reported_server.first_report = reported_server.first_report.or(Some(Instant::now()));
            let owned = lines.iter().flatten().filter(|server| **server == name).count();
            let PeriodResults { tries, lost, mean } = reported_server
                .behavior
                .in_period(owned * RPCS_PER_SLICE_AND_CLASS * CLASSES.len(), period_start);
            if tries == 0 {
                continue;
            }
            if lost > 0 {
                reported_server.loss_reported = reported_server.loss_reported.or(Some(Instant::now()));
            }
            let mean_ms = mean.as_secs_f64() * 1e3;
            let _ = writeln!(
                text,
                r#"{{"@type":"outcomes","site":"{zone}","target":"{name}","count":{tries},"fail":{lost},"mean":{mean_ms:.1},"over":1000.0}}"#
            );
        }
        let demands = lines.iter().enumerate().flat_map(|(slice, _)| CLASSES.map(|class| (slice, class)));
        for (slice, class) in demands.filter(|_| zone == ZONES[0]) {
            let count = RPCS_PER_SLICE_AND_CLASS * ZONES.len();
            let _ = writeln!(
                text,
                r#"{{"@type":"hot","range":{slice},"lane":"{class}","count":{count},"fail":0,"over":1000.0}}"#
            );
        }
        text
    }
}

/// Connects as a collector of a zone.
fn connect_collector(assigner: SocketAddr, zone: &str) -> TcpStream {
    let mut stream = TcpStream::connect(assigner).unwrap();
    stream.write_all(format!("{{\"@type\":\"agent\",\"site\":\"{zone}\"}}\n").as_bytes()).unwrap();
    stream
}
