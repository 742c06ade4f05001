//! A small stand-in of the operators' platform for the cases of this folder: relay with store, discovery, tasks,
//! collectors, proxies and their clients. It starts one assigner by the `run` line of the deploy file, plays a case
//! against it on loopback in real time, writes what passed to `record.txt` and judges by that alone.
//!
//! Proxies and the writes and reads at tasks are kept inside this process; whatever the assigner takes part in goes
//! over real sockets. No dependency but the standard library.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// A small deployment: figures of lower-mainland's brief, and the settings of the wire page's example, with one assigner.
const ZONES: [&str; 3] = ["burnaby", "surrey", "richmond"];
const CLASSES: [&str; 2] = ["rate-lookup", "book-commit"];
const WRITES: usize = 1;
const PROXIES: usize = 9;
const FIRST_TASKS: usize = 15;
const SLICES: usize = 66;
const LINES_PER_S: f64 = 40700.0;
const BACKLOG: f64 = 61100.0;
const HEAD: f64 = 8.0;
const TRANSIT_MEAN_MS: f64 = 391.0;
const TRANSIT_MOST_MS: f64 = 977.5;
const IN_FLIGHT_MOST_MS: f64 = 1220.0;
const HOLD_MS: f64 = 300.0;
const PERIOD_MS: f64 = 1000.0;
const REPORT_LATE_MS: f64 = 900.0;
const RPCS_PER_S: f64 = 290.0;
const WRITE_SHARE: f64 = 0.5;
/// A few slices are in demand for a while, then others (brief: 18 to 28% of the traffic, for 8.9 to 26 s).
const IN_DEMAND: usize = 4;
const IN_DEMAND_SHARE: f64 = 0.25;
const LEASE_MS: f64 = 4000.0;
/// From a reset stream to `bye` (site file, notice_ms: 410 to 2,000).
const NOTICE_MS: f64 = 410.0;
const STORE_READ_MS: f64 = 400.0;
/// Requests a second by which the lagging client has more out, at first and later.
const RAMP: f64 = 20000.0;
const CREEP: f64 = 60.0;
/// The largest memory limit of scored days.
const MEMORY_MB: u64 = 192;
const GRACE_MS: f64 = 2700.0;

/// Pseudo-random numbers (xorshift64*).
struct Rng(u64);

impl Rng {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 11) as f64 / (1u64 << 53) as f64
    }
    fn exp(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.next()).ln()
    }
    fn below(&mut self, n: usize) -> usize {
        ((self.next() * n as f64) as usize).min(n - 1)
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Status {
    Serving,
    Draining,
    Deleted,
}

struct Task {
    name: String,
    addr: SocketAddr,
    zone: usize,
    status: Status,
    since_ms: u64,
    /// When a status other than SERVING was written to the assigner.
    told_at: Option<f64>,
}

/// A line of a slice's table. Its number grows with each change of the task in the store.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Line {
    task: usize,
    number: u64,
}

#[derive(Clone, Copy)]
enum Effect {
    Line(usize, Option<Line>),
    Level(usize, Option<usize>, f64),
    Mark(u32),
}

#[derive(Clone, Default)]
struct Table {
    line: Option<Line>,
    levels: [f64; 2],
}

struct Message {
    proxy: usize,
    arrives: f64,
    called: f64,
    effects: Vec<Effect>,
}

struct Rpc {
    slice: usize,
    proxy: usize,
    class: usize,
    taken_at: f64,
    /// Drawn once: it is let in where the level is above.
    draw: f64,
}

struct Running {
    slice: usize,
    task: usize,
    class: usize,
    began: f64,
    ends: f64,
}

#[derive(Default, Clone)]
struct Met {
    count: u64,
    ms: f64,
}

struct World {
    start: Instant,
    record: String,
    rng: Rng,
    tasks: Vec<Task>,
    index: u64,
    list_watchers: Vec<Sender<String>>,
    held: Vec<bool>,
    store: Vec<Table>,
    line_number: u64,
    tables: Vec<Vec<Table>>,
    joined: Vec<bool>,
    /// Until when a proxy that lost its stream sends writes by what it holds.
    lease_ends: Vec<Option<f64>>,
    /// When a proxy that has its stream back reads the store.
    reads_at: Vec<Option<f64>>,
    /// Until then the relay resets each connection under a call, and carries nothing out.
    calls_reset_until: f64,
    /// Broken streams that the relay has not noticed yet: when it will, and whose.
    notices: Vec<(f64, usize)>,
    channel_free_at: f64,
    last_arrival: Vec<f64>,
    messages: Vec<Message>,
    news: Vec<Sender<String>>,
    news_streams: Vec<TcpStream>,
    /// The next snapshot of the news comes in two pieces, so many milliseconds apart.
    snapshot_pause: Option<u64>,
    held_rpcs: Vec<Rpc>,
    running: Vec<Running>,
    next_rpc: f64,
    in_demand: Vec<usize>,
    demand_until: f64,
    /// By slice: the greatest line number of which a write was taken.
    taken: Vec<Option<Line>>,
    met: HashMap<(usize, usize), Met>,
    hot: HashMap<(usize, usize), u64>,
    counts: BTreeMap<&'static str, u64>,
    broken: Vec<String>,
    lines_put: Vec<u32>,
}

type Shared = Arc<Mutex<World>>;

fn lock(world: &Shared) -> MutexGuard<'_, World> {
    world.lock().unwrap_or_else(|e| e.into_inner())
}

impl World {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    fn note(&mut self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.record, "{now:10.1} {text}");
    }

    fn entry(&self, task: usize) -> String {
        let t = &self.tasks[task];
        let status = match t.status {
            Status::Serving => "SERVING",
            Status::Draining => "DRAINING",
            Status::Deleted => "DELETED",
        };
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"small-fast\",\"group\":1,\"status\":\"{status}\",\"weight\":1.0,\"since_ms\":{}}}",
            t.name, t.addr, ZONES[t.zone], t.since_ms
        )
    }

    fn whole_list(&self) -> String {
        let entries: Vec<String> = (0..self.tasks.len())
            .filter(|t| self.tasks[*t].status != Status::Deleted)
            .map(|t| self.entry(t))
            .collect();
        format!("{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}", self.index, entries.join(","))
    }

    fn list_change(&mut self, changed: &[usize]) {
        self.index += 1;
        let entries: Vec<String> = changed.iter().map(|t| self.entry(*t)).collect();
        let text = format!("{{\"index\":{},\"snapshot\":false,\"endpoints\":[{}]}}", self.index, entries.join(","));
        self.note(&format!("list {text}"));
        self.list_watchers.retain(|w| w.send(text.clone()).is_ok());
        let now = self.now();
        for t in changed {
            let told = self.tasks[*t].status != Status::Serving;
            let task = &mut self.tasks[*t];
            task.told_at = if told { task.told_at.or(Some(now)) } else { None };
        }
    }

    fn tell(&mut self, line: String) {
        self.note(&format!("news {line}"));
        self.news.retain(|n| n.send(line.clone()).is_ok());
    }

    fn task_named(&self, name: &str) -> Option<usize> {
        self.tasks.iter().position(|t| t.name == name)
    }

    /// Carries out one call and returns the number of orders taken.
    fn apply(&mut self, orders: &str) -> usize {
        let called = self.now();
        let mut effects = Vec::new();
        let mut taken = 0;
        for order in orders.split(';') {
            let words: Vec<&str> = order.split(',').collect();
            let slice = |w: &str| w.parse::<usize>().ok().filter(|s| *s < SLICES);
            let effect = match words[..] {
                ["put", s, name, weight] => {
                    let (Some(s), Some(task), Ok(weight)) = (slice(s), self.task_named(name), weight.parse::<f64>()) else { break };
                    if !self.held[s] {
                        taken += 1;
                        continue;
                    }
                    self.lines_put[s] += 1;
                    let line = self.store[s].line;
                    let new = if weight > 0.0 {
                        if line.is_some_and(|l| l.task == task) {
                            line
                        } else {
                            self.line_number += 1;
                            Some(Line { task, number: self.line_number })
                        }
                    } else {
                        line.filter(|l| l.task != task)
                    };
                    self.store[s].line = new;
                    Effect::Line(s, new)
                }
                ["wipe", s] => {
                    let Some(s) = slice(s) else { break };
                    if self.held[s] {
                        self.store[s] = Table { line: None, levels: [1.0; 2] };
                    }
                    Effect::Line(s, None)
                }
                ["gate", s, classes, share, _] => {
                    let (Some(s), Ok(share)) = (slice(s), share.parse::<f64>()) else { break };
                    for class in classes.split('+') {
                        let class = CLASSES.iter().position(|c| *c == class);
                        if self.held[s] {
                            for c in 0..2 {
                                if class.is_none_or(|class| class == c) {
                                    self.store[s].levels[c] = share;
                                }
                            }
                            effects.push(Effect::Level(s, class, share));
                        }
                    }
                    taken += 1;
                    continue;
                }
                ["fence", mark, _] => {
                    let Ok(mark) = mark.parse() else { break };
                    Effect::Mark(mark)
                }
                _ => break,
            };
            taken += 1;
            effects.push(effect);
        }
        // One message for each proxy leaves the channel after the other, and reaches it in order.
        if !effects.is_empty() {
            for proxy in (0..PROXIES).filter(|p| self.joined[*p]).collect::<Vec<_>>() {
                let lines = effects.len() as f64 + HEAD;
                self.channel_free_at = self.channel_free_at.max(called) + lines / LINES_PER_S * 1e3;
                let transit = (40.0 + self.rng.exp(TRANSIT_MEAN_MS - 40.0)).min(TRANSIT_MOST_MS);
                let arrives = (self.channel_free_at + transit).max(self.last_arrival[proxy]);
                self.last_arrival[proxy] = arrives;
                self.messages.push(Message { proxy, arrives, called, effects: effects.clone() });
            }
        }
        taken
    }

    /// The stream of a proxy breaks: what is on its way to it is lost.
    fn break_stream(&mut self, proxy: usize) {
        let now = self.now();
        self.note(&format!("stream of proxy {proxy} breaks"));
        self.joined[proxy] = false;
        self.reads_at[proxy] = None;
        self.messages.retain(|m| m.proxy != proxy);
        self.lease_ends[proxy].get_or_insert(now + LEASE_MS);
        self.notices.push((now + NOTICE_MS, proxy));
    }

    /// A proxy has a stream again, and reads the store soon after.
    fn join(&mut self, proxy: usize) {
        let reads_at = self.now() + STORE_READ_MS;
        self.joined[proxy] = true;
        self.reads_at[proxy] = Some(reads_at);
        self.last_arrival[proxy] = self.last_arrival[proxy].max(reads_at);
        self.tell(format!("* hello {proxy} {} {:.1} 0", ZONES[proxy % ZONES.len()], RPCS_PER_S / PROXIES as f64));
    }

    fn deliver(&mut self, now: f64) {
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.notices).into_iter().partition(|n| n.0 <= now);
        self.notices = rest;
        due.iter().for_each(|(_, proxy)| self.tell(format!("* bye {proxy}")));
        for proxy in 0..PROXIES {
            if self.reads_at[proxy].is_some_and(|at| at <= now) {
                self.reads_at[proxy] = None;
                self.lease_ends[proxy] = None;
                self.tables[proxy] = self.store.clone();
                self.note(&format!("proxy {proxy} reads the store"));
            }
        }
        let due: Vec<Message> = {
            let (due, rest) = std::mem::take(&mut self.messages).into_iter().partition(|m| m.arrives <= now);
            self.messages = rest;
            due
        };
        for message in due {
            let mut marks = Vec::new();
            for effect in &message.effects {
                match *effect {
                    Effect::Line(s, line) => {
                        self.tables[message.proxy][s].line = line;
                        let text = line.map_or("-".to_string(), |l| self.tasks[l.task].name.clone());
                        self.note(&format!("proxy {} slice {s} line {text}", message.proxy));
                    }
                    Effect::Level(s, class, share) => {
                        for c in 0..2 {
                            if class.is_none_or(|class| class == c) {
                                self.tables[message.proxy][s].levels[c] = share;
                            }
                        }
                    }
                    Effect::Mark(mark) => marks.push(mark),
                }
            }
            for mark in marks {
                let ms = now - message.called;
                self.tell(format!("* ack {} {mark} {ms:.1}", message.proxy));
            }
        }
    }

    /// New RPCs, held ones, and those that end.
    fn traffic(&mut self, now: f64) {
        self.running.retain(|r| r.ends > now);
        while self.next_rpc <= now {
            let gap = self.rng.exp(1e3 / RPCS_PER_S);
            self.next_rpc += gap;
            let class = usize::from(self.rng.next() < WRITE_SHARE);
            if now >= self.demand_until {
                self.demand_until = now + 15e3;
                self.in_demand = (0..IN_DEMAND).map(|_| self.rng.below(SLICES)).collect();
            }
            let is_in_demand = self.rng.next() < IN_DEMAND_SHARE;
            let slice = if is_in_demand { self.in_demand[self.rng.below(IN_DEMAND)] } else { self.rng.below(SLICES) };
            let proxy = self.rng.below(PROXIES);
            *self.hot.entry((slice, class)).or_default() += 1;
            let draw = self.rng.next();
            self.held_rpcs.push(Rpc { slice, proxy, class, taken_at: now, draw });
        }
        for rpc in std::mem::take(&mut self.held_rpcs) {
            let table = &self.tables[rpc.proxy][rpc.slice];
            let (line, level) = (table.line, table.levels[rpc.class]);
            let lease_over = self.lease_ends[rpc.proxy].is_some_and(|end| now >= end);
            if rpc.class == WRITES && lease_over {
                *self.counts.entry("refused for want of a lease").or_default() += 1;
            } else if rpc.draw >= level {
                *self.counts.entry("refused by level").or_default() += 1;
            } else if let Some(line) = line {
                self.send(now, &rpc, line);
            } else if now < rpc.taken_at + HOLD_MS {
                self.held_rpcs.push(rpc);
            } else {
                *self.counts.entry("refused for want of a line").or_default() += 1;
            }
        }
    }

    /// An RPC reaches a task.
    fn send(&mut self, now: f64, rpc: &Rpc, line: Line) {
        let mean = if rpc.class == WRITES { 120.0 } else { 185.0 };
        // What a proxy took in ends within the time that the settings give, held time included.
        let left = IN_FLIGHT_MOST_MS - (now - rpc.taken_at) - 20.0;
        let ms = (mean * (0.4 + self.rng.exp(0.6))).min(left);
        let name = self.tasks[line.task].name.clone();
        let met = self.met.entry((rpc.proxy % ZONES.len(), line.task)).or_default();
        met.count += 1;
        met.ms += ms;
        *self.counts.entry(if rpc.class == WRITES { "writes run" } else { "reads run" }).or_default() += 1;
        if rpc.class != WRITES {
            self.note(&format!("read slice {} proxy {} at {name} for {ms:.0} ms", rpc.slice, rpc.proxy));
        } else {
            self.note(&format!("write slice {} proxy {} at {name} for {ms:.0} ms", rpc.slice, rpc.proxy));
            let other = self.running.iter().find(|r| r.class == WRITES && r.slice == rpc.slice && r.task != line.task);
            if let Some(other) = other {
                let text = format!(
                    "slice {}: a write reaches {name} while {} has one in hand (since {:.1}, until {:.1})",
                    rpc.slice, self.tasks[other.task].name, other.began, other.ends
                );
                self.break_rule(text);
            }
            match self.taken[rpc.slice] {
                Some(last) if last.number > line.number && last.task != line.task => {
                    let text = format!(
                        "slice {}: a write reaches the former owner {name} after {} has taken one",
                        rpc.slice, self.tasks[last.task].name
                    );
                    self.break_rule(text);
                }
                Some(last) if last.number >= line.number => {}
                _ => self.taken[rpc.slice] = Some(line),
            }
        }
        self.running.push(Running { slice: rpc.slice, task: line.task, class: rpc.class, began: now, ends: now + ms });
    }

    fn break_rule(&mut self, text: String) {
        self.note(&format!("BROKEN {text}"));
        self.broken.push(text);
    }
}

// Servers of the platform.

fn serve<F: Fn(TcpStream) + Send + Sync + 'static>(listener: TcpListener, handle: F) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                handle(stream);
            });
        }
    });
}

fn relay(world: Shared, stream: TcpStream) {
    let Ok(mut out) = stream.try_clone() else { return };
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { return };
        let line = line.trim_end().to_string();
        if line == "WATCH" {
            return watch(&world, out);
        }
        let answer = {
            let mut w = lock(&world);
            if w.now() < w.calls_reset_until {
                w.note(&format!("call {line} -> reset, not carried out"));
                let _ = out.shutdown(Shutdown::Both);
                return;
            }
            match line.strip_prefix("APPLY ") {
                Some(orders) => {
                    let taken = w.apply(orders);
                    w.note(&format!("call {line} -> OK {taken}"));
                    format!("OK {taken}\r\n")
                }
                None => "ERR invalid\r\n".to_string(),
            }
        };
        if out.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The news: what stands first (every joined proxy, every slice in the assigner's charge, and their lines), then what
/// happens, and a sign of life each second.
fn watch(world: &Shared, mut out: TcpStream) {
    let (sender, receiver): (Sender<String>, Receiver<String>) = channel();
    let (text, pause) = {
        let mut w = lock(world);
        let mut text = "OK\r\n".to_string();
        for p in (0..PROXIES).filter(|p| w.joined[*p]) {
            let _ = write!(text, "* hello {p} {} {:.1} 0\r\n", ZONES[p % ZONES.len()], RPCS_PER_S / PROXIES as f64);
        }
        for s in (0..SLICES).filter(|s| w.held[*s]) {
            let _ = write!(text, "* lease {s} 1\r\n");
        }
        for s in (0..SLICES).filter(|s| w.held[*s]) {
            if let Some(line) = w.store[s].line {
                let _ = write!(text, "* line {s} {} 1.0\r\n", w.tasks[line.task].name);
            }
        }
        w.news.push(sender);
        if let Ok(stream) = out.try_clone() {
            w.news_streams.push(stream);
        }
        let pause = w.snapshot_pause.take();
        w.note(&format!("news opened, {} bytes of what stands, pause {pause:?}", text.len()));
        (text, pause)
    };
    match pause {
        // The first segment (1,448 bytes) arrives, what follows it comes later.
        Some(ms) => {
            let first = 1448.min(text.len());
            let _ = out.write_all(&text.as_bytes()[..first]);
            thread::sleep(Duration::from_millis(ms));
            lock(world).note("news: the rest of what stands");
            let _ = out.write_all(&text.as_bytes()[first..]);
        }
        None => drop(out.write_all(text.as_bytes())),
    }
    let mut sign_at = Instant::now() + Duration::from_secs(1);
    loop {
        match receiver.recv_timeout(sign_at.saturating_duration_since(Instant::now())) {
            Ok(line) => {
                if out.write_all(format!("{line}\r\n").as_bytes()).is_err() {
                    return;
                }
            }
            Err(RecvTimeoutError::Timeout) => {
                sign_at += Duration::from_secs(1);
                if out.write_all(b"*\r\n").is_err() {
                    return;
                }
            }
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn request_path(stream: &TcpStream) -> Option<String> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 || line.trim().is_empty() {
            break;
        }
    }
    first.split(' ').nth(1).map(str::to_string)
}

fn discovery(world: Shared, mut stream: TcpStream) {
    let Some(path) = request_path(&stream) else { return };
    if !path.contains("follow=1") {
        let body = lock(&world).whole_list();
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        return;
    }
    let since = path.split("since=").nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    let (sender, receiver) = channel();
    let first = {
        let mut w = lock(&world);
        w.list_watchers.push(sender);
        if since == w.index {
            format!("{{\"index\":{since},\"snapshot\":false,\"endpoints\":[]}}")
        } else {
            w.whole_list()
        }
    };
    let _ = write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let chunk = |text: &str| format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    if stream.write_all(chunk(&first).as_bytes()).is_err() {
        return;
    }
    loop {
        let text = match receiver.recv_timeout(Duration::from_secs(2)) {
            Ok(text) => text,
            Err(RecvTimeoutError::Timeout) => String::new(),
            Err(_) => return,
        };
        if stream.write_all(chunk(&text).as_bytes()).is_err() {
            return;
        }
    }
}

fn task(mut stream: TcpStream) {
    let Some(path) = request_path(&stream) else { return };
    let body = if path == "/-/load" { "util=0.40,inflight=3,latency_ms=130" } else { "" };
    let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len());
}

fn add_task(world: &Shared, name: &str, zone: usize, since_ms: u64) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a task");
    let addr = listener.local_addr().expect("its address");
    serve(listener, task);
    let mut w = lock(world);
    w.tasks.push(Task { name: name.to_string(), addr, zone, status: Status::Serving, since_ms, told_at: None });
    w.tasks.len() - 1
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

// The assigner.

struct Assigner {
    child: Child,
    listen: SocketAddr,
}

impl Drop for Assigner {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings() -> String {
    let class = |name: &str, effect: &str, points: f64, objective: f64, deadline: f64| {
        format!("{{\"name\":\"{name}\",\"effect\":\"{effect}\",\"points\":{points},\"objective\":{objective},\"deadline\":{deadline},\"lateWorth\":0.15,\"keyScope\":\"all\",\"window\":5000.0}}")
    };
    let classes = [
        class(CLASSES[0], "retryable", 1.0, 1200.0, 4000.0),
        class(CLASSES[1], "fragile", 5.0, 800.0, 1200.0),
    ];
    format!(
        "{{\"caps\":{{\"connIdle\":15000.0,\"connectTimeout\":250.0,\"cpuUsPerS\":600000,\"mayProbe\":true,\"mayTell\":false,\"multiplex\":100}},\
        \"classes\":[{}],\"discovery\":\"subscribe\",\"family\":\"control\",\
        \"familyInfo\":{{\"admission\":\"share\",\"backlog\":{BACKLOG:.1},\"dataPlaneSize\":{PROXIES},\"emptyFor\":11700.0,\"failsToEject\":0,\"hold\":{HOLD_MS:.1},\
        \"homeOnly\":[false,false],\"inFlightMax\":{IN_FLIGHT_MOST_MS:.1},\"ingestRate\":750.0,\"lineFee\":0.04,\"linesPerS\":{LINES_PER_S:.1},\"messagesMost\":0,\
        \"mutating\":[false,true],\"oneOwner\":true,\"overhead\":{HEAD:.1},\"period\":{PERIOD_MS:.1},\"pick\":\"two\",\"pushDelay\":{TRANSIT_MEAN_MS:.1},\"reloadSpan\":10000.0,\
        \"retryDefault\":0,\"shards\":{SLICES},\"shiftFee\":0.005,\"smallestConnTable\":1388.0,\"standing\":6,\"transitMax\":{TRANSIT_MOST_MS:.1},\"tryFactor\":1.0,\"warmKeys\":true,\
        \"writeLease\":{LEASE_MS:.1},\"zonal\":false}},\"hostTypes\":[\"small-fast\",\"small-std\",\"wide-slow\"],\"locality\":\"{}\",\"me\":0,\"peersTotal\":1,\
        \"report\":{{\"fields\":[\"cpu_share\",\"busy_reqs\",\"svc_ms\"],\"source\":\"on_probe\"}},\"round\":2.0,\
        \"rules\":{{\"coldFrom\":0.16,\"fall\":1500.0,\"fallMultiple\":3.0,\"mustAskIn\":10000.0,\"stopSendingWithin\":{GRACE_MS:.1},\"warmAfter\":17000.0}},\
        \"weights\":\"off\",\"worthBy\":\"request\",\"zones\":[\"{}\"]}}",
        classes.join(","),
        ZONES[0],
        ZONES.join("\",\"")
    )
}

struct Case {
    world: Shared,
    folder: PathBuf,
    root: PathBuf,
    discovery: SocketAddr,
    relay: SocketAddr,
    listen: SocketAddr,
    ended: Arc<AtomicBool>,
}

impl Case {
    fn write_config(&self) -> PathBuf {
        let path = self.folder.join("config.json");
        let known = lock(&self.world).whole_list();
        let text = format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{MEMORY_MB},\"sockets\":1024}},\
            \"distributor\":{{\"address\":\"{}\"}},\"known\":{known},\"settings\":{}}}",
            self.listen, self.discovery, self.relay, settings()
        );
        fs::write(&path, text).expect("the configuration");
        path
    }

    /// Starts the assigner by the deploy file's `run` line.
    fn start_assigner(&self) -> Assigner {
        let config = self.write_config();
        let deploy = fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = ")).expect("its run line").trim_matches('"').to_string();
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log")).expect("the log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&run)
            .current_dir(&self.root)
            .env("BALANCER_NAME", "n0")
            .env("BALANCER_LISTEN", self.listen.to_string())
            .env("BALANCER_DISCOVERY", self.discovery.to_string())
            .env("BALANCER_CONFIG", &config)
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn()
            .expect("the assigner");
        lock(&self.world).note(&format!("assigner started: {run}"));
        Assigner { child, listen: self.listen }
    }

    fn at(&self, seconds: f64) {
        loop {
            let now = lock(&self.world).now();
            if now >= seconds * 1e3 {
                return;
            }
            thread::sleep(Duration::from_secs_f64(((seconds * 1e3 - now) / 1e3).clamp(0.0005, 0.05)));
        }
    }
}

/// Asks for a sign of life until it comes.
fn wait_ready(listen: SocketAddr, within: Duration) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if let Ok(mut stream) = TcpStream::connect(listen) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let _ = stream.write_all(b"{\"@type\":\"probe\"}\n");
            let mut buffer = [0; 256];
            if stream.read(&mut buffer).is_ok_and(|n| n > 0) {
                return true;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// The collectors of all zones: they join and forward, a while later, what the proxies met in each period.
fn collectors(world: Shared, listen: SocketAddr, ended: Arc<AtomicBool>) {
    thread::spawn(move || {
        let mut streams: Vec<Option<TcpStream>> = ZONES.iter().map(|_| None).collect();
        let mut waiting: VecDeque<(Instant, Vec<String>)> = VecDeque::new();
        let mut next = Instant::now() + Duration::from_secs_f64(PERIOD_MS / 1e3);
        while !ended.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
            for (zone, stream) in streams.iter_mut().enumerate() {
                if stream.is_none() {
                    *stream = TcpStream::connect(listen).ok();
                    if let Some(s) = stream {
                        let _ = s.write_all(format!("{{\"@type\":\"agent\",\"site\":\"{}\"}}\n", ZONES[zone]).as_bytes());
                    }
                }
            }
            if Instant::now() >= next {
                next += Duration::from_secs_f64(PERIOD_MS / 1e3);
                let mut w = lock(&world);
                let (met, hot) = (std::mem::take(&mut w.met), std::mem::take(&mut w.hot));
                let mut texts = vec![String::new(); ZONES.len()];
                for ((zone, task), m) in met {
                    let _ = writeln!(
                        texts[zone],
                        "{{\"@type\":\"outcomes\",\"site\":\"{}\",\"target\":\"{}\",\"count\":{},\"fail\":0,\"mean\":{:.1},\"over\":{PERIOD_MS:.1},\"util\":null}}",
                        ZONES[zone], w.tasks[task].name, m.count, m.ms / m.count as f64 + 3.0
                    );
                }
                for ((slice, class), count) in hot {
                    let _ = writeln!(
                        texts[slice % ZONES.len()],
                        "{{\"@type\":\"hot\",\"range\":{slice},\"lane\":\"{}\",\"count\":{count},\"fail\":0,\"over\":{PERIOD_MS:.1}}}",
                        CLASSES[class]
                    );
                }
                waiting.push_back((Instant::now() + Duration::from_secs_f64(REPORT_LATE_MS / 1e3), texts));
            }
            while waiting.front().is_some_and(|(at, _)| *at <= Instant::now()) {
                lock(&world).note("collectors: reports of one period");
                for (stream, text) in streams.iter_mut().zip(waiting.pop_front().map(|(_, t)| t).unwrap_or_default()) {
                    if stream.as_mut().is_some_and(|s| s.write_all(text.as_bytes()).is_err()) {
                        *stream = None;
                    }
                }
            }
        }
    });
}

/// Proxies and their traffic, a step each millisecond.
fn data_plane(world: Shared, ended: Arc<AtomicBool>) {
    thread::spawn(move || {
        while !ended.load(Ordering::Relaxed) {
            {
                let mut w = lock(&world);
                let now = w.now();
                w.deliver(now);
                w.traffic(now);
            }
            thread::sleep(Duration::from_millis(1));
        }
    });
}

/// A release, as any day has one: four times two tasks drain, are gone 6 s later, and two new ones come in their place.
fn release(case: &Case, from_s: f64) {
    for step in 0..4 {
        case.at(from_s + 7.0 * step as f64);
        let new: Vec<usize> = (0..2)
            .map(|k| add_task(&case.world, &format!("s-new{step}{k}"), (step + k) % ZONES.len(), unix_ms()))
            .collect();
        let old = [2 * step, 2 * step + 1];
        let mut w = lock(&case.world);
        old.iter().for_each(|t| w.tasks[*t].status = Status::Draining);
        w.list_change(&[old[0], old[1], new[0], new[1]]);
        drop(w);
        case.at(from_s + 7.0 * step as f64 + 6.0);
        let mut w = lock(&case.world);
        old.iter().for_each(|t| w.tasks[*t].status = Status::Deleted);
        w.list_change(&old);
    }
}

/// Case 1: the news break off, and what stands is told again in two pieces.
fn news_in_pieces(case: &Case, trouble: &str) -> i32 {
    let mut assigner = case.start_assigner();
    if !wait_ready(assigner.listen, Duration::from_secs(20)) {
        return 2;
    }
    collectors(case.world.clone(), case.listen, case.ended.clone());
    data_plane(case.world.clone(), case.ended.clone());
    release(case, 6.0);
    case.at(40.0);
    {
        let mut w = lock(&case.world);
        let moved = (0..SLICES).filter(|s| w.lines_put[*s] > 0).count();
        w.note(&format!("slices whose line the assigner has set: {moved}"));
        if moved == 0 || !w.broken.is_empty() {
            w.note("the case cannot run: nothing moved, or a rule was broken before it began");
            return 2;
        }
        if trouble != "0" {
            w.snapshot_pause = (trouble != "break").then_some(600);
            w.note("TROUBLE: the relay breaks off its news");
            w.news.clear();
            for stream in std::mem::take(&mut w.news_streams) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
    case.at(56.0);
    judge(case, &mut assigner)
}

/// Case 2: connections are reset for 3.5 s, calls to the relay and proxies' streams alike, as two tasks drain.
fn resets_under_a_drain(case: &Case, trouble: &str) -> i32 {
    let mut assigner = case.start_assigner();
    if !wait_ready(assigner.listen, Duration::from_secs(20)) {
        return 2;
    }
    collectors(case.world.clone(), case.listen, case.ended.clone());
    data_plane(case.world.clone(), case.ended.clone());
    let some = [0, 2, 5, 7];
    let (calls, streams) = match trouble {
        "0" => (false, false),
        "calls" => (true, false),
        "streams" => (false, true),
        _ => (true, true),
    };
    let new: Vec<usize> = (0..2).map(|k| add_task(&case.world, &format!("s-new{k}"), k, unix_ms())).collect();
    let streams_are = |stands: bool| {
        let mut w = lock(&case.world);
        if streams {
            w.note(&format!("TROUBLE: the streams of proxies {some:?} {}", if stands { "are back" } else { "break" }));
            some.iter().for_each(|p| if stands { w.join(*p) } else { w.break_stream(*p) });
        }
    };
    case.at(9.5);
    if calls {
        let mut w = lock(&case.world);
        w.note("TROUBLE: the relay resets connections under calls, for 3.5 s");
        w.calls_reset_until = w.now() + 3500.0;
    }
    case.at(9.55);
    streams_are(false);
    case.at(10.0);
    {
        let mut w = lock(&case.world);
        (0..2).for_each(|t| w.tasks[t].status = Status::Draining);
        w.list_change(&[0, 1, new[0], new[1]]);
    }
    case.at(10.4);
    streams_are(true);
    case.at(12.8);
    streams_are(false);
    case.at(18.1);
    streams_are(true);
    case.at(24.0);
    judge(case, &mut assigner)
}

/// The result of a case whose rule is "no effect twice"; it could not run if the assigner ended by itself.
fn judge(case: &Case, assigner: &mut Assigner) -> i32 {
    let w = lock(&case.world);
    match assigner.child.try_wait() {
        Ok(None) => i32::from(!w.broken.is_empty()),
        _ => 2,
    }
}

/// The assigner's memory in KiB, as the platform sees it.
fn memory_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse().ok()).unwrap_or(0)
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const [u8; 16], length: u32) -> i32;
}

/// Connects with a small window, as a client on a small machine has.
fn connect_with_small_window(addr: SocketAddr) -> Option<TcpStream> {
    use std::os::fd::FromRawFd;
    let SocketAddr::V4(v4) = addr else { return None };
    let mut address = [0u8; 16];
    address[..2].copy_from_slice(&2u16.to_ne_bytes());
    address[2..4].copy_from_slice(&v4.port().to_be_bytes());
    address[4..8].copy_from_slice(&v4.ip().octets());
    // AF_INET, SOCK_STREAM; SOL_SOCKET, SO_RCVBUF.
    unsafe {
        let fd = socket(2, 1, 0);
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, 1, 8, &8192, 4);
        (connect(fd, &address, 16) == 0).then_some(stream)
    }
}

/// What a client's stay came to.
enum Stay {
    Reset(usize),
    Over,
    Killed,
}

/// A client that asks for signs of life and reads the answers at 4 KiB each 0.2 ms. The number of requests that it has
/// out grows by `ramp` each second up to `most`, and by `CREEP` each second after that.
fn lagging_client(case: &Case, pid: u32, most: usize, ramp: f64, seconds: f64) -> Stay {
    let request = b"{\"@type\":\"probe\"}\n";
    let many = request.repeat(4000);
    let Some(mut stream) = connect_with_small_window(case.listen) else { return Stay::Reset(0) };
    let _ = stream.set_nonblocking(true);
    let (began, mut sent, mut got, mut buffer) = (Instant::now(), 0usize, 0usize, [0u8; 4096]);
    let mut noted = 0;
    while began.elapsed().as_secs_f64() < seconds {
        let seconds_out = began.elapsed().as_secs_f64();
        let ramp_s = most.saturating_sub(7000) as f64 / ramp.max(1.0);
        let out = match ramp == 0.0 {
            true => most,
            false if seconds_out < ramp_s => 7000 + (seconds_out * ramp) as usize,
            false => most + ((seconds_out - ramp_s) * CREEP) as usize,
        };
        let room = (out * request.len()).saturating_sub(sent - got).min(3500 * request.len());
        if room > 0 {
            match stream.write(&many[sent % request.len()..][..room]) {
                Ok(n) => sent += n,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return Stay::Reset(out),
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) => return Stay::Reset(out),
            Ok(n) => got += n,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return Stay::Reset(out),
        }
        let second = began.elapsed().as_secs();
        if second > noted {
            noted = second;
            let kb = memory_kb(pid);
            lock(&case.world).note(&format!(
                "client: {} asked, {} answers read, {} KB unread or on the way; the assigner has {kb} KiB",
                sent / request.len(), got / request.len(), (sent - got) / 1000
            ));
            if kb > MEMORY_MB * 1024 {
                return Stay::Killed;
            }
        }
        thread::sleep(Duration::from_micros(150));
    }
    Stay::Over
}

/// Case 3: a client that leaves answers unread, and is not reset.
fn lagging_reader(case: &Case, trouble: &str) -> i32 {
    let mut assigner = case.start_assigner();
    if !wait_ready(assigner.listen, Duration::from_secs(20)) {
        return 2;
    }
    collectors(case.world.clone(), case.listen, case.ended.clone());
    data_plane(case.world.clone(), case.ended.clone());
    case.at(5.0);
    let pid = assigner.child.id();
    if trouble == "0" {
        lagging_client(case, pid, 3000, 0.0, 40.0);
    } else {
        // The first stay finds out from where on the assigner resets; the next ones stay a little below.
        let mut most = usize::MAX >> 16;
        while lock(&case.world).now() < 95e3 {
            let left = 98.0 - lock(&case.world).now() / 1e3;
            match lagging_client(case, pid, most, RAMP, left) {
                Stay::Reset(at) => {
                    lock(&case.world).note(&format!("client: reset with {at} requests out"));
                    most = at.saturating_sub(4500).max(7000);
                    thread::sleep(Duration::from_millis(200));
                }
                Stay::Over => break,
                Stay::Killed => {
                    let mut w = lock(&case.world);
                    w.break_rule(format!("the assigner is over its {MEMORY_MB} MB, and is killed: a crash"));
                    break;
                }
            }
        }
    }
    let alive = assigner.child.try_wait().is_ok_and(|s| s.is_none());
    let mut w = lock(&case.world);
    if !alive {
        w.break_rule("the assigner has ended by itself".to_string());
    }
    i32::from(!w.broken.is_empty())
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (name, record) = (args[1].clone(), PathBuf::from(&args[2]));
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_string());
    let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(7u64);
    let root = Path::new(&args[0]).canonicalize().ok().and_then(|p| p.ancestors().nth(3).map(Path::to_path_buf)).expect("the root");
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");

    let world = Arc::new(Mutex::new(World {
        start: Instant::now(),
        record: String::new(),
        rng: Rng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1),
        tasks: Vec::new(),
        index: 41,
        list_watchers: Vec::new(),
        held: vec![true; SLICES],
        store: Vec::new(),
        line_number: 0,
        tables: Vec::new(),
        joined: vec![true; PROXIES],
        lease_ends: vec![None; PROXIES],
        reads_at: vec![None; PROXIES],
        calls_reset_until: 0.0,
        notices: Vec::new(),
        channel_free_at: 0.0,
        last_arrival: vec![0.0; PROXIES],
        messages: Vec::new(),
        news: Vec::new(),
        news_streams: Vec::new(),
        snapshot_pause: None,
        held_rpcs: Vec::new(),
        running: Vec::new(),
        next_rpc: 0.0,
        in_demand: Vec::new(),
        demand_until: 0.0,
        taken: vec![None; SLICES],
        met: HashMap::new(),
        hot: HashMap::new(),
        counts: BTreeMap::new(),
        broken: Vec::new(),
        lines_put: vec![0; SLICES],
    }));
    for t in 0..FIRST_TASKS {
        add_task(&world, &format!("s-{t:02}"), t % ZONES.len(), 0);
    }
    {
        let mut w = lock(&world);
        for s in 0..SLICES {
            w.line_number += 1;
            let line = Line { task: s % FIRST_TASKS, number: w.line_number };
            w.store.push(Table { line: Some(line), levels: [1.0; 2] });
        }
        let store = w.store.clone();
        w.tables = vec![store; PROXIES];
    }
    let listener = |what: &str| TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| panic!("{what}: {e}"));
    let (relay_listener, discovery_listener) = (listener("relay"), listener("discovery"));
    let listen = listener("assigner").local_addr().expect("an address");
    let case = Case {
        relay: relay_listener.local_addr().expect("an address"),
        discovery: discovery_listener.local_addr().expect("an address"),
        world: world.clone(),
        folder: folder.clone(),
        root,
        listen,
        ended: Arc::new(AtomicBool::new(false)),
    };
    let w = world.clone();
    serve(relay_listener, move |stream| relay(w.clone(), stream));
    let w = world.clone();
    serve(discovery_listener, move |stream| discovery(w.clone(), stream));

    lock(&world).note(&format!("case {name}, TROUBLE={trouble}, seed {seed}"));
    let code = match name.as_str() {
        "news-in-pieces" => news_in_pieces(&case, &trouble),
        "resets-under-a-drain" => resets_under_a_drain(&case, &trouble),
        "lagging-reader" => lagging_reader(&case, &trouble),
        other => panic!("no case {other}"),
    };
    case.ended.store(true, Ordering::Relaxed);
    let mut w = lock(&world);
    let counts: Vec<String> = w.counts.iter().map(|(k, n)| format!("{n} {k}")).collect();
    let summary = format!("result {code}: {} breaks of the rule; {}", w.broken.len(), counts.join(", "));
    w.note(&summary);
    println!("{summary}");
    for text in w.broken.iter().take(5) {
        println!("  {text}");
    }
    let _ = fs::write(&record, &w.record);
    if std::env::var("KEEP_LOG").is_ok() {
        let _ = fs::copy(folder.join("log"), record.with_extension("log"));
    }
    let _ = fs::remove_dir_all(&folder);
    std::process::exit(code);
}
