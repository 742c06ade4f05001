//! All connections, each under a name that is never given to another: the place of one that ended is soon taken by
//! the next, and what was meant for the first must not reach the second.

use mio::Token;
use slab::Slab;

use crate::connection::Connection;

/// The name of a connection: its place, and how many came before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id {
    place: u32,
    generation: u32,
}

/// Generations end before the tokens that are not connections'.
const GENERATIONS: u32 = u32::MAX - 1;

impl Id {
    pub fn token(self) -> Token {
        const { assert!(usize::BITS >= 64) };
        Token((self.generation as usize) << 32 | self.place as usize)
    }

    pub fn of(token: Token) -> Self {
        Id { place: token.0 as u32, generation: (token.0 >> 32) as u32 }
    }
}

#[derive(Default)]
pub struct Connections {
    places: Slab<(u32, Connection)>,
    next: u32,
}

impl Connections {
    pub fn insert(&mut self, connection: Connection) -> Id {
        let generation = self.next;
        self.next = (self.next + 1) % GENERATIONS;
        // Descriptors bound the places, far below what a name can tell.
        Id { place: self.places.insert((generation, connection)) as u32, generation }
    }

    pub fn get(&self, id: Id) -> Option<&Connection> {
        let (generation, connection) = self.places.get(id.place as usize)?;
        (*generation == id.generation).then_some(connection)
    }

    pub fn get_mut(&mut self, id: Id) -> Option<&mut Connection> {
        let (generation, connection) = self.places.get_mut(id.place as usize)?;
        (*generation == id.generation).then_some(connection)
    }

    pub fn remove(&mut self, id: Id) -> Option<Connection> {
        self.get(id)?;
        self.places.try_remove(id.place as usize).map(|(_, connection)| connection)
    }

    pub fn iter(&self) -> impl Iterator<Item = (Id, &Connection)> {
        self.places.iter().map(|(place, (generation, connection))| {
            (Id { place: place as u32, generation: *generation }, connection)
        })
    }

    pub fn len(&self) -> usize {
        self.places.len()
    }
}

#[cfg(test)]
mod tests;
