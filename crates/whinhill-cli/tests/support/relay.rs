//! A relay with one slice in the assigner's charge and one proxy that answers every mark.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{send_signs_of_life, Saw};

/// What a relay does with calls.
#[derive(Clone, Copy, PartialEq)]
pub enum Does {
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
pub struct Relay {
    pub addr: SocketAddr,
    pub streams: Arc<Mutex<Vec<TcpStream>>>,
    news: Arc<Mutex<Option<TcpStream>>>,
}

impl Relay {
    pub fn start(line: &'static str, saw: Sender<Saw>) -> Self {
        Self::start_with(line, Does::Answers, saw)
    }

    pub fn start_with(line: &'static str, does: Does, saw: Sender<Saw>) -> Self {
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

    pub fn tell(&self, news: &str) {
        self.news.lock().unwrap().as_mut().unwrap().write_all(news.as_bytes()).unwrap();
    }

    /// From now on there are signs of life.
    pub fn keep_alive(&self) {
        send_signs_of_life(&self.news, "*\r\n".to_string());
    }

    pub fn cut(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

pub fn serve(
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
            // Calls may follow at once, and whoever answers their marks must find the stream.
            let mut news = news.lock().unwrap();
            let _ = saw.send(Saw::Watch);
            let _ = out.write_all(b"*\r\n");
            *news = Some(out.try_clone().unwrap());
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

pub fn break_off(news: &Mutex<Option<TcpStream>>) {
    if let Some(news) = news.lock().unwrap().take() {
        let _ = news.shutdown(std::net::Shutdown::Both);
    }
}

/// Goes on telling, so that there is no pause, until the call was answered and for a while after that.
pub fn tell_until_answered(out: &mut TcpStream, does: &Mutex<Does>) {
    let mut after = 0;
    while after < 5 {
        after += u32::from(*does.lock().unwrap() == Does::Answers);
        if out.write_all(b"* hello 0 a 5 0\r\n").is_err() {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
}
