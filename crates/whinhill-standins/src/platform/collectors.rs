//! The collectors of the zones: each reports to an assigner, once a period, what the proxies of its
//! zone experienced.

use std::fmt::Write as _;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::parameters::{CLASSES, REPORT_PERIOD, ZONES};
use super::servers::Load;
use super::site::ReportSource;
use super::state::PlatformState;
use super::traffic::ReportSums;

/// A collector that cannot connect or write within this time tries again with its next report.
const CONNECT_AND_WRITE_TIMEOUT: Duration = Duration::from_millis(200);

/// The collectors' connections to one assigner.
pub struct Collectors {
    addr: SocketAddr,
    streams: Vec<Option<TcpStream>>,
}

impl Collectors {
    /// Creates collectors that connect with their first reports.
    pub fn new(addr: SocketAddr) -> Self {
        Collectors { addr, streams: ZONES.iter().map(|_| None).collect() }
    }

    /// Sends one report text for each zone; those that cannot be sent are lost.
    pub fn send(&mut self, texts: &[String]) {
        for (zone, text) in texts.iter().enumerate() {
            if self.send_zone(zone, text).is_err() {
                self.streams[zone] = None;
            }
        }
    }

    fn send_zone(&mut self, zone: usize, text: &str) -> io::Result<()> {
        let stream = match &mut self.streams[zone] {
            Some(stream) => stream,
            none => {
                let mut stream = TcpStream::connect_timeout(&self.addr, CONNECT_AND_WRITE_TIMEOUT)?;
                stream.set_nodelay(true)?;
                stream.set_write_timeout(Some(CONNECT_AND_WRITE_TIMEOUT))?;
                writeln!(stream, r#"{{"@type":"agent","site":"{}"}}"#, ZONES[zone])?;
                none.insert(stream)
            }
        };
        stream.write_all(text.as_bytes())
    }
}

/// Formats the reports of each zone's collector. The demand of slices goes through the first
/// collector.
pub fn format_reports(platform: &PlatformState, sums: &ReportSums) -> Vec<String> {
    let interval_ms = REPORT_PERIOD.as_millis();
    let mut texts = vec![String::new(); ZONES.len()];
    for ((zone, server), outcomes) in &sums.outcomes {
        let good = outcomes.count - outcomes.fail;
        let mean = if good > 0 { outcomes.sum_ms / good as f64 } else { 0.0 };
        let (site, target) = (ZONES[*zone], &platform.servers[*server].name);
        let load = format_load(platform, *server, good);
        let _ = writeln!(
            texts[*zone],
            r#"{{"@type":"outcomes","site":"{site}","target":"{target}","count":{},"fail":{},"mean":{mean:.1},"over":{interval_ms}.0{load}}}"#,
            outcomes.count, outcomes.fail
        );
    }
    for ((slice, class), demand) in &sums.demand {
        let _ = writeln!(
            texts[0],
            r#"{{"@type":"hot","range":{slice},"lane":"{}","count":{},"fail":{},"over":{interval_ms}.0}}"#,
            CLASSES[*class].name, demand.count, demand.fail
        );
    }
    texts
}

/// The member of a report with the load that a server put into its answers, if there were any and they have it.
fn format_load(platform: &PlatformState, server: usize, answers: u64) -> String {
    if platform.site.report_source != ReportSource::Inline || answers == 0 {
        return String::new();
    }
    let load = Load::of(&platform.servers[server], platform.now());
    let (in_flight, queued, util) = (load.in_flight, load.queued, load.util());
    format!(r#","util":{{"inflight":{in_flight},"queue":{queued},"util":{util:.2}}}"#)
}
