//! The assigner on the platform as a process, with small stand-ins of relay, discovery and collector: it starts,
//! grants, survives a cut relay and a new configuration, and ends in time.

use std::fs;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};

const WITHIN: Duration = Duration::from_secs(20);

/// What the stand-ins saw.
#[derive(Debug, PartialEq)]
enum Saw {
    Watch,
    Orders(String),
    List,
}

/// What a relay does with calls.
#[derive(Clone, Copy, PartialEq)]
enum Does {
    Answers,
    /// Takes them and says nothing.
    Nothing,
    /// Answers the first one twice, then as it should.
    AnswersTwice,
    /// Breaks the news off in place of the first mark's answer.
    LosesAnAnswer,
    /// Has lost it, and holds what came before it: the line was taken away. Answers as it should.
    HasLostAnAnswer,
    /// Has lost it, and the slice was in other hands meanwhile: the line stands, and its levels were reset.
    HasLostTheLevels,
    LosesTheLevels,
    /// Breaks the news off under a grant, tells anew what stands without it, and answers the call before the
    /// telling ends.
    HoldsAGrant,
    HoldingIt,
    HasTold,
    /// Answers calls and keeps the marks' answers for itself.
    KeepsMarks,
    /// Goes on telling what stands, and never comes to an end.
    TellsForEver,
}

/// The relay: one slice in the assigner's charge, one proxy that answers every mark.
struct Relay {
    addr: SocketAddr,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    news: Arc<Mutex<Option<TcpStream>>>,
}

impl Relay {
    fn start(line: &'static str, saw: Sender<Saw>) -> Self {
        Self::start_with(line, Does::Answers, saw)
    }

    fn start_with(line: &'static str, does: Does, saw: Sender<Saw>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let news: Arc<Mutex<Option<TcpStream>>> = Arc::default();
        let (kept, does, told) = (streams.clone(), Arc::new(Mutex::new(does)), news.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                kept.lock().unwrap().push(stream.try_clone().unwrap());
                let (saw, news, does) = (saw.clone(), news.clone(), does.clone());
                thread::spawn(move || serve(stream, line, &does, &news, &saw));
            }
        });
        Relay { addr, streams, news: told }
    }

    fn tell(&self, news: &str) {
        self.news.lock().unwrap().as_mut().unwrap().write_all(news.as_bytes()).unwrap();
    }

    fn cut(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(
    stream: TcpStream,
    line: &str,
    does: &Mutex<Does>,
    news: &Mutex<Option<TcpStream>>,
    saw: &Sender<Saw>,
) {
    let mut out = stream.try_clone().unwrap();
    for request in BufReader::new(stream).lines().map_while(Result::ok) {
        if request == "WATCH" {
            let now = *does.lock().unwrap();
            let gone = matches!(now, Does::HasLostAnAnswer | Does::HoldingIt);
            let stands = if gone { String::new() } else { format!("* line 0 {line} 1.0\r\n") };
            let _ = write!(out, "OK\r\n* hello 0 a 5 1\r\n* lease 0 1\r\n{stands}");
            if now == Does::HoldingIt {
                *does.lock().unwrap() = Does::HasTold;
                tell_until_answered(&mut out, does);
            }
            while now == Does::TellsForEver && out.write_all(b"* hello 0 a 5 0\r\n").is_ok() {
                thread::sleep(Duration::from_millis(20));
            }
            let _ = out.write_all(b"*\r\n");
            *news.lock().unwrap() = Some(out.try_clone().unwrap());
            let _ = saw.send(Saw::Watch);
            continue;
        }
        let Some(orders) = request.strip_prefix("APPLY ") else { continue };
        let _ = saw.send(Saw::Orders(orders.to_string()));
        let set = orders.split(';').any(|order| order.starts_with("put,") && order.ends_with(",1"));
        if set && *does.lock().unwrap() == Does::HoldsAGrant {
            *does.lock().unwrap() = Does::HoldingIt;
            break_off(news);
            while *does.lock().unwrap() == Does::HoldingIt {
                thread::sleep(Duration::from_millis(1));
            }
        }
        let mut does = does.lock().unwrap();
        let times = match *does {
            Does::Nothing => continue,
            Does::AnswersTwice => 2,
            _ => 1,
        };
        let _ = out.write_all(format!("OK {}\r\n", orders.split(';').count()).repeat(times).as_bytes());
        if matches!(*does, Does::AnswersTwice | Does::HasTold) {
            *does = Does::Answers;
        }
        for mark in orders.split(';').filter_map(|order| order.strip_prefix("fence,")) {
            let mark = mark.split(',').next().unwrap_or_default();
            if matches!(*does, Does::LosesAnAnswer | Does::LosesTheLevels) {
                let levels = *does == Does::LosesTheLevels;
                *does = if levels { Does::HasLostTheLevels } else { Does::HasLostAnAnswer };
                break_off(news);
            } else if let Some(news) = news.lock().unwrap().as_mut().filter(|_| *does != Does::KeepsMarks) {
                let _ = write!(news, "* ack 0 {mark} 1.0\r\n");
            }
        }
    }
}

fn break_off(news: &Mutex<Option<TcpStream>>) {
    if let Some(news) = news.lock().unwrap().take() {
        let _ = news.shutdown(std::net::Shutdown::Both);
    }
}

/// Goes on telling, so that there is no pause, until the call was answered and for a while after that.
fn tell_until_answered(out: &mut TcpStream, does: &Mutex<Does>) {
    let mut after = 0;
    while after < 5 {
        after += u32::from(*does.lock().unwrap() == Does::Answers);
        if out.write_all(b"* hello 0 a 5 0\r\n").is_err() {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Discovery: two servers, both ready; each call is answered by the whole list, and a watch then stays open.
fn discovery(saw: Sender<Saw>) -> SocketAddr {
    discovery_with(["SERVING"; 2], saw)
}

fn discovery_with(status: [&'static str; 2], saw: Sender<Saw>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut open = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let mut first = String::new();
            let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut first);
            let list = format!("{}\n", list(status));
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = write!(stream, "{head}{:x}\r\n{list}\r\n", list.len());
            let _ = saw.send(Saw::List);
            open.push(stream);
        }
    });
    addr
}

fn list(status: [&str; 2]) -> String {
    let server = |name: &str, status: &str| {
        format!(
            r#"{{"name":"{name}","address":"127.0.0.1:9","zone":"a","type":"m","group":0,"status":"{status}","weight":1.0,"since_ms":0}}"#
        )
    };
    format!(
        r#"{{"index":7,"snapshot":true,"endpoints":[{},{}]}}"#,
        server("s-1", status[0]),
        server("s-2", status[1])
    )
}

fn config(relay: SocketAddr, discovery: SocketAddr) -> String {
    config_with(relay, discovery, 256)
}

fn config_with(relay: SocketAddr, discovery: SocketAddr, sockets: usize) -> String {
    let settings = r#"{"discovery":"subscribe","round":1.0,"zones":["a"],"caps":{"mayProbe":false},
        "classes":[{"name":"look","objective":1000.0,"points":1.0},{"name":"book","objective":800.0,"points":5.0}],
        "rules":{"mustAskIn":9000.0,"stopSendingWithin":2000.0,"warmAfter":9000.0,"coldFrom":0.2,"fallMultiple":3.0},
        "familyInfo":{"shards":2,"mutating":[false,true],"retryDefault":0,"period":200.0,"writeLease":100.0,
            "inFlightMax":50.0,"transitMax":50.0,"overhead":8.0,"linesPerS":40000.0,"backlog":60000.0,
            "messagesMost":0,"reloadSpan":10000.0}}"#;
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"5","distributor":{{"address":"{relay}"}},
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},
        "known":{{"index":0,"snapshot":true,"endpoints":[]}},"settings":{settings}}}"#
    )
}

/// The assigner, killed when the test is over.
struct Running(Child, Receiver<String>);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Running {
    fn start(config: &Path) -> (Self, SocketAddr) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
        command.args(["assigner", "--platform"]);
        Self::spawn(command, config)
    }

    /// With so many descriptors, whatever the configuration says.
    fn start_with_descriptors(config: &Path, most: usize) -> (Self, SocketAddr) {
        let mut command = Command::new("/bin/sh");
        let run = format!("ulimit -n {most}; exec \"$0\" assigner --platform");
        command.args(["-c", &run, env!("CARGO_BIN_EXE_whinhill")]);
        Self::spawn(command, config)
    }

    fn spawn(mut command: Command, config: &Path) -> (Self, SocketAddr) {
        command.env("BALANCER_CONFIG", config).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut first = String::new();
        log.read_line(&mut first).unwrap();
        let addr = first.split(" addr=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        let (lines, rest) = channel();
        // The log must be read on, or the assigner would stand still on a full pipe; most tests look at none of it.
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(|line| drop(lines.send(line))));
        (Running(child, rest), addr.unwrap_or_else(|| panic!("no address in {first:?}")))
    }

    fn wait_for_log(&self, part: &str) {
        self.log_until(part);
    }

    /// The lines up to the one with `part`.
    fn log_until(&self, part: &str) -> Vec<String> {
        let (until, mut lines) = (Instant::now() + WITHIN, Vec::new());
        loop {
            let left = until.saturating_duration_since(Instant::now());
            lines.push(self.1.recv_timeout(left).unwrap_or_else(|_| panic!("never logged: {part}")));
            if lines.last().is_some_and(|line| line.contains(part)) {
                return lines;
            }
        }
    }

    /// Sets how many descriptors it may hold.
    fn limit_descriptors(&self, most: u64) {
        let limit = Rlimit { current: Some(most), maximum: Some(1024) };
        prlimit(Pid::from_raw(self.0.id() as i32), Resource::Nofile, limit).unwrap();
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.0.id() as i32).unwrap(), signal).unwrap();
    }
}

fn wait_for(saw: &Receiver<Saw>, what: &str, wanted: impl Fn(&Saw) -> bool) {
    let until = Instant::now() + WITHIN;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let next = saw.recv_timeout(left).unwrap_or_else(|_| panic!("never seen: {what}"));
        if wanted(&next) {
            return;
        }
    }
}

fn ask_alive(addr: SocketAddr) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(b"{\"@type\":\"probe\"}\n").unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    line
}

#[test]
fn it_serves_through_a_cut_relay_and_a_new_configuration_and_ends_in_time() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    // The store names an owner that discovery does not list: the slice must be given another.
    let relay = Relay::start("s-gone", sender.clone());
    fs::write(&path, config(relay.addr, discovery)).unwrap();
    let (mut running, addr) = Running::start(&path);
    assert_eq!(ask_alive(addr), "{\"@type\":\"alive\"}\n");
    wait_for(&saw, "a grant", granted);

    // A collector's report is taken, a stranger's HTTP is answered by a close.
    let mut collector = TcpStream::connect(addr).unwrap();
    collector.write_all(b"{\"@type\":\"agent\",\"site\":\"a\"}\n").unwrap();
    let mut stranger = TcpStream::connect(addr).unwrap();
    stranger.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let _ = stranger.set_read_timeout(Some(WITHIN));
    let mut answer = Vec::new();
    let _ = stranger.read_to_end(&mut answer);

    // The news come back. They name the first owner again, so the slice is judged, and granted, anew.
    relay.cut();
    wait_for(&saw, "a watch of the relay after the cut", |saw| *saw == Saw::Watch);
    wait_for(&saw, "a grant after the cut", granted);

    // A broken file changes nothing; a new one moves the relay.
    fs::write(&path, "{").unwrap();
    running.signal(Signal::HUP);
    assert_eq!(ask_alive(addr), "{\"@type\":\"alive\"}\n");
    let moved = Relay::start("s-gone", sender);
    fs::write(&path, config(moved.addr, discovery)).unwrap();
    running.signal(Signal::HUP);
    wait_for(&saw, "a watch of the new relay", |saw| *saw == Saw::Watch);
    wait_for(&saw, "a grant at the new relay", granted);

    // Two in a row, the second before the first is done with.
    running.signal(Signal::HUP);
    running.signal(Signal::HUP);
    assert_eq!(ask_alive(addr), "{\"@type\":\"alive\"}\n");

    running.signal(Signal::TERM);
    assert!(running.0.wait().unwrap().success());
}

/// The configuration moves the relay while a call waits for its answer there: its orders must not be lost.
#[test]
fn a_call_that_a_new_configuration_overtakes_is_sent_again_at_the_new_address() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    let mute = Relay::start_with("s-gone", Does::Nothing, sender.clone());
    fs::write(&path, config(mute.addr, discovery)).unwrap();
    let (running, _) = Running::start(&path);
    let revoked = orders_with("put,0,s-gone,0");
    wait_for(&saw, "a call at the first relay", &revoked);
    let (sender, saw) = channel();
    let next = Relay::start("s-gone", sender);
    fs::write(&path, config(next.addr, discovery)).unwrap();
    running.signal(Signal::HUP);
    wait_for(&saw, "the same orders at the next relay", &revoked);
    wait_for(&saw, "a grant at the next relay", granted);
}

/// A call is carried out and its answer lost, over and over. Its orders would fill the channel twice over, so that
/// each is sent again only when the time for which the rules wait is over, and not at once.
#[test]
fn a_call_in_doubt_that_would_fill_the_channel_is_not_sent_again_at_once() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    let mute = Relay::start_with("s-gone", Does::Nothing, sender);
    let narrow = [("backlog\":60000.0", "backlog\":6.0"), ("linesPerS\":40000.0", "linesPerS\":1.0")];
    let narrow = narrow.iter().chain(&[("overhead\":8.0", "overhead\":1.0")]);
    let wide = config(mute.addr, discovery);
    fs::write(&path, narrow.fold(wide, |text, (from, to)| text.replace(from, to))).unwrap();
    let (_running, _) = Running::start(&path);
    let revoked = orders_with("put,0,s-gone,0");
    wait_for(&saw, "a call", &revoked);
    let first = Instant::now();
    wait_for(&saw, "the same call", &revoked);
    // On a new connection the answer is waited for 0.5 s, and then room for 0.5 s.
    assert!(first.elapsed() >= Duration::from_millis(950), "{:?}", first.elapsed());
}

/// The relay moves under a handover. What the former address still tells counts until the new one has told what
/// stands, which here it never does: the mark's answer must reach the handover, and the grant the new address.
#[test]
fn the_former_news_go_on_until_the_new_address_has_told_what_stands() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    let former = Relay::start_with("s-gone", Does::KeepsMarks, sender);
    fs::write(&path, config(former.addr, discovery)).unwrap();
    let (running, _) = Running::start(&path);
    wait_for(&saw, "a mark", orders_with("fence,1,1"));
    let (sender, saw) = channel();
    let next = Relay::start_with("s-gone", Does::TellsForEver, sender);
    fs::write(&path, config(next.addr, discovery)).unwrap();
    running.signal(Signal::HUP);
    running.wait_for_log("new configuration");
    former.tell("* ack 0 1 1.0\r\n");
    wait_for(&saw, "a grant at the new address", granted);
}

fn orders_with(part: &'static str) -> impl Fn(&Saw) -> bool {
    move |saw| matches!(saw, Saw::Orders(orders) if orders.contains(part))
}

fn granted(saw: &Saw) -> bool {
    orders_with("put,0,s-1,1")(saw) || orders_with("put,0,s-2,1")(saw)
}

/// The last answer after a line was taken away is lost with the news: it must be asked for again, or the slice
/// has no owner for good.
#[test]
fn an_answer_lost_with_the_news_is_asked_for_again() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    let relay = Relay::start_with("s-gone", Does::LosesAnAnswer, sender);
    fs::write(&path, config(relay.addr, discovery)).unwrap();
    let (_running, _) = Running::start(&path);
    wait_for(&saw, "the first watch", |saw| *saw == Saw::Watch);
    wait_for(&saw, "a mark whose answer is lost", orders_with("fence,"));
    // Nothing is granted on what was never heard.
    let next = |saw: &Saw| *saw == Saw::Watch || granted(saw);
    let mut seen = Saw::List;
    while !next(&seen) {
        seen = saw.recv_timeout(WITHIN).expect("the news come back");
    }
    assert_eq!(seen, Saw::Watch);
    wait_for(&saw, "a mark again", orders_with("fence,"));
    wait_for(&saw, "a grant", granted);
}

/// A call is answered while the relay still tells what stood before it: that line is ours, not another's, and the
/// slice must not be given a second owner.
#[test]
fn what_the_relay_told_before_a_call_is_not_anothers_line() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    let relay = Relay::start_with("s-gone", Does::HoldsAGrant, sender);
    fs::write(&path, config(relay.addr, discovery)).unwrap();
    let (running, _) = Running::start(&path);
    wait_for(&saw, "a grant that is not answered at once", granted);
    let log = running.log_until("again=true");
    assert!(!log.iter().any(|line| line.contains("another line")), "{log:#?}");
}

/// The news break under a handover, and when they are back the line stands as it was. Somebody else may have had
/// the slice, whose levels were reset with it: writes must be stopped again before anybody else gets them.
#[test]
fn a_handover_that_the_news_broke_off_stops_writes_again() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let status = ["DRAINING", "SERVING"];
    let discovery = discovery_with(status, sender.clone());
    let relay = Relay::start_with("s-1", Does::LosesTheLevels, sender);
    let none = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;
    fs::write(&path, config(relay.addr, discovery).replace(none, &list(status))).unwrap();
    let (_running, _) = Running::start(&path);
    wait_for(&saw, "a watch", |saw| *saw == Saw::Watch);
    let stops = orders_with("gate,0,book,0.000,0");
    wait_for(&saw, "writes stopped", &stops);
    wait_for(&saw, "a watch after the break", |saw| *saw == Saw::Watch);
    let mut seen = Saw::List;
    while !stops(&seen) && !granted(&seen) {
        seen = saw.recv_timeout(WITHIN).expect("writes stopped again, or a grant");
    }
    assert!(stops(&seen), "{seen:?}");
    wait_for(&saw, "a grant", granted);
}

/// A second answer would be taken for the next call's: that connection is not used again.
#[test]
fn a_relay_that_answers_twice_costs_its_connection_and_no_grant() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    let relay = Relay::start_with("s-gone", Does::AnswersTwice, sender);
    fs::write(&path, config(relay.addr, discovery)).unwrap();
    let (running, _) = Running::start(&path);
    running.wait_for_log("out of step");
    wait_for(&saw, "a grant", granted);
    // One for the news, one that was out of step, one for what followed.
    assert!(relay.streams.lock().unwrap().len() >= 3);
}

/// Descriptors run out in a connect: who is connected is served on, and the relay is found again when some are free.
#[test]
fn out_of_descriptors_in_a_connect_it_serves_on_and_comes_back() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    let relay = Relay::start("s-gone", sender);
    fs::write(&path, config(relay.addr, discovery)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
    command.args(["--log-level", "debug", "assigner", "--platform"]);
    let (running, addr) = Running::spawn(command, &path);
    let mut collector = collect(addr);
    collector.read_exact(&mut [0; 18]).unwrap();
    wait_for(&saw, "a grant", granted);
    running.limit_descriptors(3);
    relay.cut();
    running.wait_for_log("connect: Too many open files");
    collector.write_all(b"{\"@type\":\"probe\"}\n").unwrap();
    collector.read_exact(&mut [0; 18]).unwrap();
    running.limit_descriptors(256);
    wait_for(&saw, "a watch of the relay", |saw| *saw == Saw::Watch);
    wait_for(&saw, "a grant after it", granted);
}

/// An address at which nobody listens.
fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn collect(addr: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(WITHIN)).unwrap();
    stream.write_all(b"{\"@type\":\"agent\",\"site\":\"a\"}\n{\"@type\":\"probe\"}\n").unwrap();
    stream
}

#[test]
fn it_starts_and_ends_while_discovery_and_relay_are_both_down() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    fs::write(&path, config(nobody(), nobody())).unwrap();
    let (mut running, addr) = Running::start(&path);
    assert_eq!(ask_alive(addr), "{\"@type\":\"alive\"}\n");
    running.signal(Signal::TERM);
    assert!(running.0.wait().unwrap().success());
}

/// Hundreds who say nothing must not cost a collector its place, by our own bound or by the system's.
#[test]
fn silent_crowds_are_closed_and_a_collector_keeps_its_place() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    fs::write(&path, config_with(nobody(), nobody(), 100)).unwrap();
    let starts = [Running::start as fn(&Path) -> _, |path| Running::start_with_descriptors(path, 40)];
    for start in starts {
        let (_running, addr) = start(&path);
        let mut collector = collect(addr);
        let crowd: Vec<TcpStream> = (0..300).map(|_| TcpStream::connect(addr).unwrap()).collect();
        let mut second = collect(addr);
        for stream in [&mut collector, &mut second] {
            let mut line = String::new();
            BufReader::new(stream).read_line(&mut line).unwrap();
            assert_eq!(line, "{\"@type\":\"alive\"}\n");
        }
        for mut stream in crowd {
            // An answer and an end, or a reset: but an end, and no wait without one.
            stream.set_read_timeout(Some(WITHIN)).unwrap();
            let ended = stream.read_to_end(&mut Vec::new()).map_err(|error| error.kind());
            assert!(matches!(ended, Ok(_) | Err(ErrorKind::ConnectionReset)), "{ended:?}");
        }
    }
}

/// The bound on a zone's collectors closed the one that had just joined, if it had connected first, and the
/// assigner fell over it.
#[test]
fn a_collector_that_connected_first_and_joins_last_stays() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    fs::write(&path, config(nobody(), nobody())).unwrap();
    let (_running, addr) = Running::start(&path);
    let mut first = TcpStream::connect(addr).unwrap();
    // Answered, so accepted after the first.
    let others: Vec<TcpStream> = (0..4)
        .map(|_| {
            let mut stream = collect(addr);
            stream.read_exact(&mut [0; 18]).unwrap();
            stream
        })
        .collect();
    first.set_read_timeout(Some(WITHIN)).unwrap();
    first.write_all(b"{\"@type\":\"agent\",\"site\":\"a\"}\n{\"@type\":\"probe\"}\n").unwrap();
    let mut line = String::new();
    BufReader::new(first).read_line(&mut line).unwrap();
    assert_eq!(line, "{\"@type\":\"alive\"}\n");
    assert_eq!(ask_alive(addr), "{\"@type\":\"alive\"}\n");
    drop(others);
}

#[test]
fn a_peer_that_never_reads_does_not_hold_up_the_others() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    fs::write(&path, config(nobody(), nobody())).unwrap();
    let (_running, addr) = Running::start(&path);
    let mut deaf = TcpStream::connect(addr).unwrap();
    deaf.set_write_timeout(Some(WITHIN)).unwrap();
    let many = b"{\"@type\":\"probe\"}\n".repeat(10_000);
    // It is closed when its time to join is over at the latest, or when its answers fill the bound.
    let closed = (0..100_000).any(|_| deaf.write_all(&many).is_err());
    assert!(closed);
    assert_eq!(ask_alive(addr), "{\"@type\":\"alive\"}\n");
}

#[test]
fn a_configuration_that_cannot_be_read_is_named_and_ends_with_2() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let whole = config("127.0.0.1:1".parse().unwrap(), "127.0.0.1:1".parse().unwrap());
    for (text, wanted) in [
        (whole.replace("\"writeLease\":100.0", "\"writeLease\":\"long\""), "familyInfo.writeLease"),
        (whole.replace("\"seed\":\"5\"", "\"seed\":\"?\""), "seed"),
        ("{".to_string(), "JSON"),
    ] {
        fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
        let output = command.args(["assigner", "--platform"]).env("BALANCER_CONFIG", &path).output().unwrap();
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), log.lines().count()), (Some(2), 1), "{log}");
        assert!(log.contains(wanted) && log.contains("config.json"), "{log}");
    }
}
