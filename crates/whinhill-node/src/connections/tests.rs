use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use super::*;
use crate::connection::ConnectionKind;

fn connection(addr: SocketAddr) -> Connection {
    Connection::connect(addr, ConnectionKind::RelayWatch, b"", Duration::ZERO).unwrap()
}

/// Two connections may use the same slot at the same instant. A late deadline, close or event of the first must not
/// reach the second.
#[test]
fn reused_slot_has_a_new_id() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let mut connections = Connections::default();
    let first = connections.insert(connection(addr));
    assert!(connections.remove(first).is_some() && connections.remove(first).is_none());
    let second = connections.insert(connection(addr));
    assert_eq!(first.place, second.place);
    assert!(connections.get(first).is_none() && connections.get_mut(first).is_none());
    assert!(connections.remove(first).is_none());
    assert!(connections.get(second).is_some());
    assert_eq!((connections.len(), connections.iter().map(|(id, _)| id).collect()), (1, vec![second]));
}

#[test]
fn id_round_trips_through_its_token_and_never_equals_the_listeners() {
    for (place, generation) in [(0, 0), (7, 3), (u32::MAX, GENERATION_COUNT - 1)] {
        let id = Id { place, generation };
        assert_eq!(Id::from_token(id.token()), id);
        assert!(id.token().0 < usize::MAX - 2);
    }
}
