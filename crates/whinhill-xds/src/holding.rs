//! What a client holds, in one number that both ends reckon alike: the sum of the hashes of each name and version.
//!
//! Names and versions are booked at both ends as replies are answered; if the books differ, a table that was
//! acknowledged is not the one that is obeyed. A client of ours tells its number with some of its ACKs, in the
//! node's metadata, which the protocol allows in any request and others ignore.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use crate::proto::{text, value, Node, Struct};

/// The key in the node's metadata.
const FIELD: &str = "whinhill.holds";

/// The number of what is held.
pub fn holding_hash<'a>(held: impl Iterator<Item = (&'a str, &'a str)>) -> u64 {
    let one = |(name, version): (&str, &str)| {
        let mut hash = Xxh3::new();
        hash.update(&(name.len() as u32).to_le_bytes());
        hash.update(name.as_bytes());
        hash.update(version.as_bytes());
        hash.digest()
    };
    held.map(one).fold(0, u64::wrapping_add)
}

/// A node that says nothing but the number.
pub(crate) fn telling(id: &str, hash: u64) -> Node {
    let fields = BTreeMap::from([(FIELD.to_string(), text(&format!("{hash:016x}")))]);
    Node { id: id.to_string(), metadata: Some(Struct { fields }), ..Node::default() }
}

/// The number that a node tells, if it does.
pub(crate) fn told(node: &Node) -> Option<u64> {
    match node.metadata.as_ref()?.fields.get(FIELD)?.kind.as_ref()? {
        value::Kind::StringValue(hash) => u64::from_str_radix(hash, 16).ok(),
        _ => None,
    }
}
