//! A stand-in of the operators' platform for one assigner, with the standard library alone: discovery, the relay with its
//! proxies and store, servers that answer probes, collectors, and RPCs that the proxies send by their tables. It starts
//! the assigner by the command of the deploy file, plays one scene and judges it from what the proxies sent.
//!
//!   platform-2 SCENE RECORD        from the repository's root; TROUBLE=0 leaves the disruption out
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the scene could not run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A deployment, with the figures of its site file.
struct Site {
    zones: &'static [&'static str],
    /// A read and a write.
    classes: [&'static str; 2],
    servers: usize,
    proxies: usize,
    slices: usize,
    /// The way from an order to a proxy is drawn evenly between these, in milliseconds.
    transit_ms: (u64, u64),
    rpcs_per_s: u64,
    /// A proxy keeps away for some seconds from a server at which so many of its tries in a row failed; 0: never.
    fails_to_eject: u32,
    settings: &'static str,
}

/// The day's grace of both sites, in milliseconds, and what the protocol page adds.
const GRACE_MS: u64 = 2000;
const EXTENDED_MS: u64 = 300;
/// What discovery has to tell counts as told after this time at the latest, in milliseconds (protocol page).
const TOLD_MS: u64 = 6000;
/// For how long a proxy keeps away from a server: the middle of 2.1 to 7.1 s (amman-booking).
const AWAY: Duration = Duration::from_millis(4600);

/// The settings are those of the wire page's example, but for the number of slices and the day's grace.
const LOWER_MAINLAND: Site = Site {
    zones: &["burnaby", "surrey", "richmond"],
    classes: ["rate-lookup", "book-commit"],
    servers: 6,
    proxies: 6,
    slices: 24,
    transit_ms: (100, 600),
    rpcs_per_s: 250,
    fails_to_eject: 0,
    settings: r#"{"discovery":"subscribe","round":2.0,"zones":["burnaby","surrey","richmond"],"locality":"surrey","me":0,"peersTotal":1,
"caps":{"mayProbe":true,"mayTell":false,"connIdle":15000.0,"connectTimeout":250.0,"multiplex":100},
"classes":[{"name":"rate-lookup","objective":1200.0,"deadline":4000.0,"points":1.0,"effect":"retryable","lateWorth":0.2,"window":5000.0},
{"name":"book-commit","objective":800.0,"deadline":1200.0,"points":5.0,"effect":"fragile","lateWorth":0.2,"window":5000.0}],
"family":"control","familyInfo":{"admission":"share","backlog":61100.0,"dataPlaneSize":6,"emptyFor":11700.0,"failsToEject":0,"hold":300.0,
"homeOnly":[false,false],"inFlightMax":1220.0,"ingestRate":750.0,"linesPerS":40700.0,"messagesMost":0,"mutating":[false,true],"oneOwner":true,
"overhead":8.0,"period":1000.0,"pick":"two","pushDelay":391.0,"reloadSpan":10000.0,"retryDefault":0,"shards":24,"standing":6,
"transitMax":977.5,"tryFactor":1.0,"warmKeys":true,"writeLease":4000.0,"zonal":false},
"report":{"fields":["util","inflight","queue"],"source":"on_probe"},
"rules":{"coldFrom":0.16,"fall":1500.0,"fallMultiple":3.0,"mustAskIn":10000.0,"stopSendingWithin":2000.0,"warmAfter":17000.0},
"weights":"off","worthBy":"request"}"#,
};

/// The figures are those of the site file; the names are the wire page's.
const AMMAN_BOOKING: Site = Site {
    zones: &["amman-north", "amman-south"],
    classes: ["schedule-read", "slot-booking"],
    servers: 10,
    proxies: 5,
    slices: 50,
    transit_ms: (60, 360),
    rpcs_per_s: 110,
    fails_to_eject: 3,
    settings: r#"{"discovery":"automatic","round":2.0,"zones":["amman-north","amman-south"],"locality":"amman-north","me":0,"peersTotal":1,
"caps":{"mayProbe":false,"mayTell":false,"connIdle":15000.0,"connectTimeout":250.0,"multiplex":100},
"classes":[{"name":"schedule-read","objective":1500.0,"deadline":5000.0,"points":3.0,"effect":"retryable","lateWorth":0.2,"window":5000.0},
{"name":"slot-booking","objective":800.0,"deadline":1200.0,"points":9.0,"effect":"fragile","lateWorth":0.2,"window":5000.0}],
"family":"control","familyInfo":{"admission":"share","backlog":60000.0,"dataPlaneSize":5,"emptyFor":10000.0,"failsToEject":3,"hold":300.0,
"homeOnly":[false,false],"inFlightMax":1220.0,"ingestRate":300.0,"linesPerS":60000.0,"messagesMost":0,"mutating":[false,true],"oneOwner":true,
"overhead":16.0,"period":1000.0,"pick":"weighted","pushDelay":210.0,"reloadSpan":10000.0,"retryDefault":1,"shards":50,"standing":6,
"transitMax":525.0,"tryFactor":1.0,"warmKeys":true,"writeLease":2500.0,"zonal":false},
"report":{"fields":["inflight"],"source":"inline"},
"rules":{"coldFrom":0.2,"fall":2000.0,"fallMultiple":4.0,"stopSendingWithin":2000.0,"warmAfter":15000.0},
"weights":"off","worthBy":"request"}"#,
};

struct Server {
    name: String,
    addr: SocketAddr,
    zone: usize,
    status: &'static str,
    since_ms: u128,
    /// It ended: what is sent to it is lost.
    ended: bool,
    /// By zone.
    tries: Vec<u64>,
    fails: Vec<u64>,
    /// The time limit of its drain.
    limit: Option<Instant>,
    /// RPCs that were sent to it after that.
    late: u64,
}

#[derive(Clone, Default)]
struct Table {
    line: Option<usize>,
    levels: [f64; 2],
}

enum Effect {
    Line(usize, Option<usize>),
    Level(Vec<usize>, [bool; 2], f64),
    Mark(u64),
}

struct World {
    site: &'static Site,
    start: Instant,
    record: File,
    servers: Vec<Server>,
    version: u64,
    /// By version, the server that changed.
    changes: Vec<(u64, usize)>,
    store: Vec<Table>,
    proxies: Vec<Vec<Table>>,
    /// When the last message to a proxy arrives: they arrive in order.
    arrives: Vec<Instant>,
    news: Vec<Sender<String>>,
    /// Discovery is cut off: what it writes does not arrive, and who connects gets no answer.
    cut: bool,
    random: u64,
    hot: BTreeMap<(usize, usize), u64>,
    calls: u64,
    sent: u64,
    run: u64,
    /// By proxy and server: tries in a row that failed, and until when the proxy keeps away.
    failed: BTreeMap<(usize, usize), (u32, Option<Instant>)>,
}

#[derive(Clone)]
struct Platform(Arc<Mutex<World>>);

impl Platform {
    fn lock(&self) -> MutexGuard<'_, World> {
        self.0.lock().unwrap()
    }
}

impl World {
    fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn note(&mut self, text: &str) {
        let at = self.ms();
        let _ = writeln!(self.record, "{at} {text}");
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn entry(&self, server: usize) -> String {
        let s = &self.servers[server];
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"small-std","group":{server},"status":"{}","weight":1.0,"since_ms":{}}}"#,
            s.name, s.addr, self.site.zones[s.zone], s.status, s.since_ms
        )
    }

    fn list(&self, since: Option<u64>) -> String {
        let changed = |i: &usize| match since {
            Some(since) => self.changes.iter().any(|(v, s)| *v > since && s == i),
            None => self.servers[*i].status != "DELETED",
        };
        let entries: Vec<String> = (0..self.servers.len()).filter(changed).map(|i| self.entry(i)).collect();
        format!(
            r#"{{"index":{},"snapshot":{},"endpoints":[{}]}}"#,
            self.version,
            since.is_none(),
            entries.join(",")
        )
    }

    fn set_status(&mut self, server: usize, status: &'static str) {
        self.servers[server].status = status;
        self.version += 1;
        self.changes.push((self.version, server));
        let text = format!("list {}: {} is {status}", self.version, self.servers[server].name);
        self.note(&text);
    }

    fn tell(&mut self, line: &str) {
        self.news.retain(|reader| reader.send(format!("{line}\r\n")).is_ok());
    }

    /// Carries out the orders of a call, and returns how many and their effects at the proxies.
    fn apply(&mut self, orders: &str) -> (usize, Vec<Effect>) {
        let (mut taken, mut effects) = (0, Vec::new());
        let (count, names) = (self.site.slices, self.site.classes);
        for order in orders.split(';') {
            let words: Vec<&str> = order.split(',').collect();
            let slice = |word: &str| word.parse::<usize>().ok().filter(|s| *s < count);
            let named = |word: &str| self.servers.iter().position(|s| s.name == word);
            let effect = match words[..] {
                ["put", table, server, weight] => match (slice(table), named(server), weight.parse::<f64>()) {
                    (Some(slice), Some(server), Ok(weight)) if weight > 0.0 => Effect::Line(slice, Some(server)),
                    (Some(slice), Some(server), Ok(_)) => {
                        let line = self.store[slice].line.filter(|line| *line != server);
                        Effect::Line(slice, line)
                    }
                    _ => break,
                },
                ["gate", table, classes, level, _] => {
                    let slices = if table == "*" { (0..count).collect() } else { Vec::from_iter(slice(table)) };
                    let of = |class: &str| classes == "*" || classes.split('+').any(|c| c == class);
                    match level.parse::<f64>() {
                        Ok(level) if !slices.is_empty() && level >= 0.0 => {
                            Effect::Level(slices, [of(names[0]), of(names[1])], level)
                        }
                        _ => break,
                    }
                }
                ["fence", mark, _] => match mark.parse() {
                    Ok(mark) => Effect::Mark(mark),
                    Err(_) => break,
                },
                _ => break,
            };
            set(&mut self.store, &effect);
            effects.push(effect);
            taken += 1;
        }
        self.calls += 1;
        let text = format!("call {} {orders}", self.calls);
        self.note(&text);
        (taken, effects)
    }
}

fn set(tables: &mut [Table], effect: &Effect) {
    match effect {
        Effect::Line(slice, line) => tables[*slice].line = *line,
        Effect::Level(slices, classes, level) => {
            for slice in slices {
                for class in (0..2).filter(|class| classes[*class]) {
                    tables[*slice].levels[class] = *level;
                }
            }
        }
        Effect::Mark(_) => {}
    }
}

/// One connection to the relay.
fn relay(platform: &Platform, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    for line in BufReader::new(stream).lines() {
        let line = line?;
        if line == "WATCH" {
            let (sender, receiver) = channel::<String>();
            let mut snapshot = "OK\r\n".to_string();
            {
                let mut world = platform.lock();
                let site = world.site;
                for proxy in 0..site.proxies {
                    let zone = site.zones[proxy % site.zones.len()];
                    snapshot += &format!("* hello {proxy} {zone} 48.0 0\r\n");
                }
                for (slice, table) in world.store.iter().enumerate() {
                    snapshot += &format!("* lease {slice} 1\r\n");
                    if let Some(server) = table.line {
                        snapshot += &format!("* line {slice} {} 1.0\r\n", world.servers[server].name);
                    }
                }
                world.news.push(sender);
            }
            let mut news = writer.try_clone()?;
            thread::spawn(move || -> io::Result<()> {
                news.write_all(snapshot.as_bytes())?;
                let mut next = Instant::now() + Duration::from_secs(1);
                loop {
                    match receiver.recv_timeout(next.saturating_duration_since(Instant::now())) {
                        Ok(text) => news.write_all(text.as_bytes())?,
                        Err(_) => {
                            news.write_all(b"*\r\n")?;
                            next += Duration::from_secs(1);
                        }
                    }
                }
            });
        } else if let Some(orders) = line.strip_prefix("APPLY ") {
            let (taken, effects) = platform.lock().apply(orders);
            writer.write_all(format!("OK {taken}\r\n").as_bytes())?;
            let effects = Arc::new(effects);
            let proxies = platform.lock().site.proxies;
            for proxy in 0..proxies {
                let mut world = platform.lock();
                let (least, most) = world.site.transit_ms;
                let transit = least + world.draw(most - least);
                let sent = Instant::now();
                let due = (sent + Duration::from_millis(transit)).max(world.arrives[proxy]);
                world.arrives[proxy] = due;
                let (platform, effects) = (platform.clone(), effects.clone());
                thread::spawn(move || {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let mut world = platform.lock();
                    for effect in effects.iter() {
                        set(&mut world.proxies[proxy], effect);
                        if let Effect::Mark(mark) = effect {
                            let ms = sent.elapsed().as_micros() as f64 / 1e3;
                            world.tell(&format!("* ack {proxy} {mark} {ms:.1}"));
                        }
                    }
                });
            }
        } else {
            writer.write_all(b"ERR invalid\r\n")?;
        }
    }
    Ok(())
}

fn request_path(stream: &TcpStream) -> io::Result<String> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let (mut first, mut line) = (String::new(), String::new());
    reader.read_line(&mut first)?;
    while reader.read_line(&mut line)? > 2 {
        line.clear();
    }
    Ok(first.split(' ').nth(1).unwrap_or_default().to_string())
}

/// One connection to discovery. What is written while it is cut off arrives afterwards on connections that stood
/// before; connections that are made meanwhile never come up.
fn discovery(platform: &Platform, mut stream: TcpStream) -> io::Result<()> {
    if platform.lock().cut {
        platform.lock().note("discovery is asked, and is cut off");
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest)?;
        return Ok(());
    }
    let path = request_path(&stream)?;
    platform.lock().note(&format!("discovery is asked {path}"));
    if !path.contains("follow") {
        let body = platform.lock().list(None);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
        return stream.write_all((head + &body).as_bytes());
    }
    let since = path.split("since=").nth(1).and_then(|text| text.split('&').next()?.parse::<u64>().ok());
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let chunk = |text: &str| format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    let (mut told, mut next_sign) = (since.filter(|s| *s <= platform.lock().version), Instant::now());
    let mut first = true;
    loop {
        let text = {
            let world = platform.lock();
            let due = first || told != Some(world.version);
            if world.cut {
                None
            } else if due {
                let text = world.list(told);
                told = Some(world.version);
                Some(text)
            } else if Instant::now() >= next_sign {
                Some(String::new())
            } else {
                None
            }
        };
        if let Some(text) = text {
            (first, next_sign) = (false, Instant::now() + Duration::from_secs(2));
            if text.contains("DRAINING") {
                platform.lock().note("discovery writes the drain");
            }
            stream.write_all(chunk(&text).as_bytes())?;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn listen(
    platform: &Platform,
    serve: impl Fn(&Platform, TcpStream) -> io::Result<()> + Copy + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().unwrap();
    let platform = platform.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let platform = platform.clone();
            thread::spawn(move || serve(&platform, stream));
        }
    });
    addr
}

/// A server's answer to a probe: 503 while it drains, none after its end.
fn probe(platform: &Platform, number: usize, mut stream: TcpStream) -> io::Result<()> {
    let (ended, drains) = {
        let world = platform.lock();
        let server = &world.servers[number];
        (server.ended, server.status != "SERVING")
    };
    if ended {
        return Ok(());
    }
    request_path(&stream)?;
    let status = if drains { "503 Service Unavailable" } else { "200 OK" };
    let body = "inflight=2,queue=0,util=0.30";
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes())
}

/// The collector of a zone: each second it tells what the proxies of the zone met.
fn collect(platform: &Platform, zone: usize, assigner: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect(assigner)?;
    let site = platform.lock().site;
    stream.write_all(format!("{{\"@type\":\"agent\",\"site\":\"{}\"}}\n", site.zones[zone]).as_bytes())?;
    loop {
        thread::sleep(Duration::from_secs(1));
        let mut text = String::new();
        let mut world = platform.lock();
        for server in &mut world.servers {
            let (count, fail) = (std::mem::take(&mut server.tries[zone]), std::mem::take(&mut server.fails[zone]));
            if count > 0 {
                text += &format!(
                    "{{\"@type\":\"outcomes\",\"site\":\"{}\",\"target\":\"{}\",\"count\":{count},\"fail\":{fail},\"mean\":150.0,\"over\":1000.0,\"util\":{{\"inflight\":2}}}}\n",
                    site.zones[zone], server.name
                );
            }
        }
        if zone == 0 {
            for ((slice, class), count) in std::mem::take(&mut world.hot) {
                text += &format!(
                    "{{\"@type\":\"hot\",\"range\":{slice},\"lane\":\"{}\",\"count\":{count},\"fail\":0,\"over\":1000.0}}\n",
                    site.classes[class]
                );
            }
        }
        drop(world);
        stream.write_all(text.as_bytes())?;
    }
}

/// Sends RPCs by the proxies' tables; each is recorded at the server that it reaches.
fn send_rpcs(platform: &Platform) {
    let site = platform.lock().site;
    loop {
        thread::sleep(Duration::from_micros(1_000_000 / site.rpcs_per_s));
        let mut world = platform.lock();
        let draw = |world: &mut World, below: usize| world.draw(below as u64) as usize;
        let (proxy, slice) = (draw(&mut world, site.proxies), draw(&mut world, site.slices));
        let (class, zone) = (draw(&mut world, 2), proxy % site.zones.len());
        let admitted = world.draw(1000) as f64 / 1000.0;
        world.sent += 1;
        *world.hot.entry((slice, class)).or_default() += 1;
        let table = world.proxies[proxy][slice].clone();
        let rpc = format!("rpc proxy={proxy} slice={slice} {}", site.classes[class]);
        if admitted >= table.levels[class] {
            world.note(&format!("{rpc} refused by level"));
            continue;
        }
        let Some(server) = table.line else {
            world.note(&format!("{rpc} refused, no line"));
            continue;
        };
        if world.failed.get(&(proxy, server)).is_some_and(|(_, until)| until.is_some_and(|at| Instant::now() < at)) {
            world.note(&format!("{rpc} refused, the proxy keeps away from its server"));
            continue;
        }
        let ended = world.servers[server].ended;
        let failed = world.failed.entry((proxy, server)).or_default();
        *failed = if ended { (failed.0 + 1, None) } else { (0, None) };
        if ended && failed.0 == site.fails_to_eject {
            *failed = (0, Some(Instant::now() + AWAY));
        }
        let target = &mut world.servers[server];
        target.tries[zone] += 1;
        target.fails[zone] += u64::from(target.ended);
        target.late += u64::from(target.limit.is_some_and(|limit| Instant::now() > limit));
        let ran = u64::from(!target.ended);
        let text = format!("{rpc} {} {}", if target.ended { "lost at" } else { "run by" }, target.name);
        world.run += ran;
        world.note(&text);
    }
}

struct Assigner(Child);

impl Drop for Assigner {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a server, which is listed as serving.
fn add_server(platform: &Platform, since_ms: u128) -> usize {
    let number = platform.lock().servers.len();
    let addr = listen(platform, move |platform, stream| probe(platform, number, stream));
    let mut world = platform.lock();
    let zones = world.site.zones.len();
    world.servers.push(Server {
        name: format!("s-{number}"),
        addr,
        zone: number % zones,
        status: "SERVING",
        since_ms,
        ended: false,
        tries: vec![0; zones],
        fails: vec![0; zones],
        limit: None,
        late: 0,
    });
    number
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

fn run(scene: &str, record: &str) -> Result<i32, String> {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let site = match scene {
        "silent-discovery" => &LOWER_MAINLAND,
        "deploy" => &AMMAN_BOOKING,
        other => return Err(format!("no scene {other}")),
    };
    let mut world = World {
        site,
        start: Instant::now(),
        record: File::create(record).map_err(|e| e.to_string())?,
        servers: Vec::new(),
        version: 41,
        changes: Vec::new(),
        store: Vec::new(),
        proxies: Vec::new(),
        arrives: vec![Instant::now(); site.proxies],
        news: Vec::new(),
        cut: false,
        random: unix_ms() as u64 | 1,
        hot: BTreeMap::new(),
        calls: 0,
        sent: 0,
        run: 0,
        failed: BTreeMap::new(),
    };
    for slice in 0..site.slices {
        world.store.push(Table { line: Some(slice % site.servers), levels: [1.0; 2] });
    }
    world.proxies = vec![world.store.clone(); site.proxies];
    let platform = Platform(Arc::new(Mutex::new(world)));
    for _ in 0..site.servers {
        add_server(&platform, 0);
    }
    let (relay_addr, discovery_addr) = (listen(&platform, relay), listen(&platform, discovery));
    let listen_addr = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map_err(|e| e.to_string())?;
    let dir = std::env::temp_dir().join(format!("whinhill-review-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let config = dir.join("config.json");
    let known = platform.lock().list(None);
    let text = format!(
        r#"{{"name":"n1","listen":"{listen_addr}","discovery":"{discovery_addr}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},"distributor":{{"address":"{relay_addr}"}},"known":{known},"settings":{}}}"#,
        site.settings
    );
    std::fs::write(&config, text).map_err(|e| e.to_string())?;
    let log_path = dir.join("log");
    let log = File::create(&log_path).map_err(|e| e.to_string())?;
    let child = Command::new("/bin/sh")
        .args(["-c", "exec target/release/whinhill assigner --platform"])
        .env("BALANCER_CONFIG", &config)
        .env("BALANCER_NAME", "n1")
        .env("BALANCER_LISTEN", listen_addr.to_string())
        .env("BALANCER_DISCOVERY", discovery_addr.to_string())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .map_err(|e| e.to_string())?;
    if let Ok(path) = std::env::var("ASSIGNER_PID") {
        let _ = std::fs::write(path, child.id().to_string());
    }
    let mut assigner = Assigner(child);
    let until = Instant::now() + Duration::from_secs(10);
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect(listen_addr)?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"{\"@type\":\"probe\"}\n")?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line.contains("alive"))
    };
    while !ask().unwrap_or(false) {
        if Instant::now() > until {
            return Err("the assigner is not ready".to_string());
        }
        thread::sleep(Duration::from_millis(50));
    }
    platform.lock().note("the assigner is ready");
    for zone in 0..site.zones.len() {
        let platform = platform.clone();
        thread::spawn(move || collect(&platform, zone, listen_addr));
    }
    let sending = platform.clone();
    thread::spawn(move || send_rpcs(&sending));
    let verdict = match scene {
        "silent-discovery" => silent_discovery(&platform, trouble),
        _ => deploy(&platform, trouble),
    };
    let alive = matches!(assigner.0.try_wait(), Ok(None));
    drop(assigner);
    let mut world = platform.lock();
    let log = std::fs::read_to_string(&log_path).unwrap_or_default();
    let _ = writeln!(world.record, "\nassigner's log:\n{log}");
    let _ = std::fs::remove_dir_all(&dir);
    if !alive {
        return Err("the assigner has ended".to_string());
    }
    // The time limits wait where the relay breaks a call or its news: such a run is not judged.
    if scene == "silent-discovery" && (log.contains("outcome is unknown") || log.contains("relay watch lost")) {
        return Err("the stand-in of the relay was late".to_string());
    }
    let (code, text) = verdict?;
    let _ = writeln!(world.record, "{text}");
    println!("{text}");
    Ok(code)
}

/// Discovery is cut off for 8 s, from just after a sign of life on. 2 s after that begins, a server drains.
fn silent_discovery(platform: &Platform, trouble: bool) -> Result<(i32, String), String> {
    const CUT: Duration = Duration::from_secs(8);
    const BEFORE_DRAIN: Duration = Duration::from_millis(2050);
    let sleep = thread::sleep;
    sleep(Duration::from_secs(8));
    if trouble {
        platform.lock().cut = true;
        platform.lock().note("discovery is cut off");
    }
    sleep(BEFORE_DRAIN);
    let server = platform.lock().store[0].line.ok_or("slice 0 has no line")?;
    platform.lock().set_status(server, "DRAINING");
    let drained_ms = platform.lock().ms();
    sleep(CUT - BEFORE_DRAIN);
    if trouble {
        platform.lock().cut = false;
        platform.lock().note("discovery is back");
    }
    // Told at the latest: the protocol page's 6 s.
    let limit_ms = drained_ms + TOLD_MS + GRACE_MS + EXTENDED_MS;
    let now_ms = platform.lock().ms();
    sleep(Duration::from_millis(limit_ms.saturating_sub(now_ms)));
    let name = platform.lock().servers[server].name.clone();
    platform.lock().note(&format!("the time limit of the drain has passed; {name} ends"));
    platform.lock().servers[server].ended = true;
    platform.lock().servers[server].limit = Some(Instant::now());
    sleep(Duration::from_secs(6));
    let mut world = platform.lock();
    world.note("end");
    let late = world.servers[server].late;
    Ok((i32::from(late > 0), format!("RPCs sent to {name} after the time limit at {limit_ms} ms: {late}")))
}

/// A rolling deploy replaces nine of the ten servers within 26.1 s, one at a time: a successor is listed, 0.35 s later the
/// old one drains, and 2.5 s after that it ends and leaves the list. What is sent to it counts only from the time limit of
/// its drain on, which is later.
fn deploy(platform: &Platform, trouble: bool) -> Result<(i32, String), String> {
    thread::sleep(Duration::from_secs(6));
    let old = platform.lock().site.servers - 1;
    for server in (0..old).filter(|_| trouble) {
        let successor = add_server(platform, unix_ms());
        platform.lock().set_status(successor, "SERVING");
        thread::sleep(Duration::from_millis(350));
        let limit = Instant::now() + Duration::from_millis(TOLD_MS + GRACE_MS + EXTENDED_MS);
        platform.lock().set_status(server, "DRAINING");
        platform.lock().servers[server].limit = Some(limit);
        thread::sleep(Duration::from_millis(2500));
        platform.lock().servers[server].ended = true;
        platform.lock().set_status(server, "DELETED");
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(if trouble { 20 } else { 40 }));
    let late_ones = |world: &World| world.servers.iter().map(|server| server.late).sum::<u64>();
    let before = {
        let world = platform.lock();
        (late_ones(&world), world.sent, world.run)
    };
    thread::sleep(Duration::from_secs(10));
    let mut world = platform.lock();
    world.note("end");
    let (late, sent) = (late_ones(&world), world.sent);
    let text = format!(
        "RPCs sent to servers after the time limit of their drains: {late} of {sent}; in the last 10 s {} of {}, {} ran",
        late - before.0,
        sent - before.1,
        world.run - before.2
    );
    Ok((i32::from(late > 0), text))
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [scene, record] = &args[..] else {
        eprintln!("usage: platform-2 SCENE RECORD");
        std::process::exit(2);
    };
    match run(scene, record) {
        Ok(code) => std::process::exit(code),
        Err(error) => {
            eprintln!("could not run: {error}");
            std::process::exit(2);
        }
    }
}
