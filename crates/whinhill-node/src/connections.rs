//! All connections, each under an id that is never reused. The slot of a connection that ended is soon taken by the
//! next, and events and deadlines of the first must not reach the second.

use mio::Token;
use slab::Slab;

use crate::connection::Connection;

/// A connection's id: its slot, and a count of the connections before it. It is logged by `Debug`, field names
/// included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id {
    /// Index of the slot in the table.
    place: u32,
    /// How many connections came before, modulo [`GENERATION_COUNT`].
    generation: u32,
}

/// Generations end before the tokens of listener and signals.
const GENERATION_COUNT: u32 = u32::MAX - 1;

impl Id {
    /// The poll token of the connection.
    pub fn token(self) -> Token {
        const { assert!(usize::BITS >= 64) };
        Token((self.generation as usize) << 32 | self.place as usize)
    }

    /// The id of the connection with this token.
    pub fn from_token(token: Token) -> Self {
        Id { place: token.0 as u32, generation: (token.0 >> 32) as u32 }
    }
}

/// The open connections by id.
#[derive(Default)]
pub struct Connections {
    slots: Slab<(u32, Connection)>,
    next_generation: u32,
}

impl Connections {
    /// Adds a connection under a new id.
    pub fn insert(&mut self, connection: Connection) -> Id {
        let generation = self.next_generation;
        self.next_generation = (self.next_generation + 1) % GENERATION_COUNT;
        // The number of descriptors bounds the slots, far below what an id can hold.
        Id { place: self.slots.insert((generation, connection)) as u32, generation }
    }

    /// The connection, unless it was removed.
    pub fn get(&self, id: Id) -> Option<&Connection> {
        let (generation, connection) = self.slots.get(id.place as usize)?;
        (*generation == id.generation).then_some(connection)
    }

    /// The connection, unless it was removed.
    pub fn get_mut(&mut self, id: Id) -> Option<&mut Connection> {
        let (generation, connection) = self.slots.get_mut(id.place as usize)?;
        (*generation == id.generation).then_some(connection)
    }

    /// Removes and returns the connection, unless it was removed before.
    pub fn remove(&mut self, id: Id) -> Option<Connection> {
        self.get(id)?;
        self.slots.try_remove(id.place as usize).map(|(_, connection)| connection)
    }

    /// All connections with their ids.
    pub fn iter(&self) -> impl Iterator<Item = (Id, &Connection)> {
        self.slots.iter().map(|(slot, (generation, connection))| {
            (Id { place: slot as u32, generation: *generation }, connection)
        })
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.slots.len()
    }
}

#[cfg(test)]
mod tests;
