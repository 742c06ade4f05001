//! The zones' collectors: each tells an assigner what the proxies of its zone met, once a period.

use std::fmt::Write as _;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::page::{CLASSES, PERIOD, ZONES};
use super::traffic::Sums;
use super::world::World;

/// A collector whose assigner is away tries again with its next report.
const CONNECT_WITHIN: Duration = Duration::from_millis(200);

/// One assigner's collectors.
pub struct Collectors {
    addr: SocketAddr,
    streams: Vec<Option<TcpStream>>,
}

impl Collectors {
    /// Connects with the first reports.
    pub fn new(addr: SocketAddr) -> Self {
        Collectors { addr, streams: ZONES.iter().map(|_| None).collect() }
    }

    /// Sends what was met since the last report; what cannot be sent is lost.
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
                let mut stream = TcpStream::connect_timeout(&self.addr, CONNECT_WITHIN)?;
                stream.set_nodelay(true)?;
                stream.set_write_timeout(Some(CONNECT_WITHIN))?;
                writeln!(stream, r#"{{"@type":"agent","site":"{}"}}"#, ZONES[zone])?;
                none.insert(stream)
            }
        };
        stream.write_all(text.as_bytes())
    }
}

/// The reports of each zone's collector; what came for slices goes through the first.
pub fn reports(world: &World, sums: &Sums) -> Vec<String> {
    let over = PERIOD.as_millis();
    let mut texts = vec![String::new(); ZONES.len()];
    for ((zone, server), met) in &sums.met {
        let good = met.count - met.fail;
        let mean = if good > 0 { met.sum_ms / good as f64 } else { 0.0 };
        let (site, target) = (ZONES[*zone], &world.servers[*server].name);
        let _ = writeln!(
            texts[*zone],
            r#"{{"@type":"outcomes","site":"{site}","target":"{target}","count":{},"fail":{},"mean":{mean:.1},"over":{over}.0}}"#,
            met.count, met.fail
        );
    }
    for ((slice, class), demand) in &sums.demand {
        let _ = writeln!(
            texts[0],
            r#"{{"@type":"hot","range":{slice},"lane":"{}","count":{},"fail":{},"over":{over}.0}}"#,
            CLASSES[*class].name, demand.count, demand.fail
        );
    }
    texts
}
