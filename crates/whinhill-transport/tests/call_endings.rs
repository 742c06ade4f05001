//! All the ways in which a server can end a call: only what the specification counts as proof that a call did
//! not run is taken as proof.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use whinhill_transport::{CallError, Client, Drivers, Limits, NeverRan};

/// One step of a server's script, after it has received the head of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerAction {
    SendHead,
    SendPartialMessage,
    /// GOAWAY that names the last stream it accepted.
    GoAway {
        last: u32,
        code: u32,
    },
    /// RST_STREAM of the call.
    Reset {
        code: u32,
    },
    Close,
}

const REFUSED_STREAM: u32 = 7;

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

fn encode(action: ServerAction) -> Vec<u8> {
    match action {
        // Indexed field 8 of the static table: `:status: 200`.
        ServerAction::SendHead => frame(1, 4, 1, &[0x88]),
        ServerAction::SendPartialMessage => frame(0, 0, 1, &[0, 0, 0, 0, 9, 1]),
        ServerAction::GoAway { last, code } => {
            frame(7, 0, 0, &[last.to_be_bytes(), code.to_be_bytes()].concat())
        }
        ServerAction::Reset { code } => frame(3, 0, 1, &code.to_be_bytes()),
        ServerAction::Close => Vec::new(),
    }
}

/// Reads the connection preface, then frames until the head of the call has arrived.
fn read_call_head(socket: &mut TcpStream) {
    let mut preface = [0; 24];
    socket.read_exact(&mut preface).unwrap();
    loop {
        let mut head = [0; 9];
        socket.read_exact(&mut head).unwrap();
        let size = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
        let mut payload = vec![0; size];
        socket.read_exact(&mut payload).unwrap();
        if head[3] == 1 {
            return;
        }
    }
}

fn random_script(rng: &mut ChaCha8Rng) -> Vec<ServerAction> {
    let mut script: Vec<ServerAction> = (0..rng.random_range(0..4))
        .map(|_| match rng.random_range(0..4) {
            0 => ServerAction::SendHead,
            1 => ServerAction::SendPartialMessage,
            2 => ServerAction::GoAway {
                last: *[0, 1, 0x7fff_ffff].choose(rng).unwrap(),
                code: rng.random_range(0..14),
            },
            _ => ServerAction::Reset { code: rng.random_range(0..14) },
        })
        .collect();
    script.push(ServerAction::Close);
    script
}

/// Whether the script proves, by RFC 9113, that stream 1 never ran: it was refused, or excluded by GOAWAY,
/// before any answer.
fn proves_not_run(script: &[ServerAction]) -> bool {
    for action in script {
        match action {
            ServerAction::SendHead | ServerAction::SendPartialMessage | ServerAction::Close => return false,
            ServerAction::GoAway { last: 0, .. } => return true,
            ServerAction::GoAway { .. } => {}
            ServerAction::Reset { code } => return *code == REFUSED_STREAM,
        }
    }
    false
}

#[test]
fn call_counts_as_not_run_only_with_proof_by_the_specification() {
    let drivers = Drivers::start("ends", 1).unwrap();
    let (mut proofs, mut others) = (0, 0);
    for seed in 0..600 {
        let script = random_script(&mut ChaCha8Rng::seed_from_u64(seed));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let actions = script.clone();
        let server = thread::spawn(move || {
            let (mut socket, _) = listener.accept().unwrap();
            socket.write_all(&frame(4, 0, 0, &[])).unwrap();
            read_call_head(&mut socket);
            for action in actions {
                // The client may have closed the connection already, and then misses the rest.
                let _ = socket.write_all(&encode(action));
            }
        });
        let client = Client::connect(addr, Limits::default(), &drivers).unwrap();
        let error = client
            .unary("/t.S/Write", &[], Bytes::from_static(b"write"), Duration::from_secs(10))
            .expect_err("no script answers whole");
        server.join().unwrap();
        let claimed = matches!(
            error,
            CallError::NeverRan(NeverRan::RefusedStream | NeverRan::AboveGoAway | NeverRan::NeverWritten)
        );
        // Proof may be missed where the connection ends first, but is never claimed without reason.
        assert!(!claimed || proves_not_run(&script), "seed {seed}: {script:?}: {error}");
        proofs += u64::from(claimed);
        others += u64::from(!claimed);
    }
    assert!(proofs > 30 && others > 300, "{proofs} {others}");
}
