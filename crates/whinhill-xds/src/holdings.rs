//! A hash of the resources of one type that a client holds, which both ends compute alike: the sum of the
//! hashes of each name and version.
//!
//! Both ends record names and versions as replies are acknowledged. If their hashes differ, the client is using
//! a resource other than the one it acknowledged. Clients of this project send their hash with some of their
//! ACKs, in the node's metadata, which the protocol allows in any request and which other control planes ignore.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use crate::proto::{string_value, value, Node, Struct};

/// The key of the hash in the node's metadata.
const HOLDINGS_KEY: &str = "whinhill.holds";

/// The hash of pairs of names and versions, in any order.
pub fn holdings_hash<'a>(held: impl Iterator<Item = (&'a str, &'a str)>) -> u64 {
    let hash_entry = |(name, version): (&str, &str)| {
        let mut hash = Xxh3::new();
        hash.update(&(name.len() as u32).to_le_bytes());
        hash.update(name.as_bytes());
        hash.update(version.as_bytes());
        hash.digest()
    };
    held.map(hash_entry).fold(0, u64::wrapping_add)
}

/// A node that carries only the hash.
pub(crate) fn node_with_hash(id: &str, hash: u64) -> Node {
    let fields = BTreeMap::from([(HOLDINGS_KEY.to_string(), string_value(&format!("{hash:016x}")))]);
    Node { id: id.to_string(), metadata: Some(Struct { fields }), ..Node::default() }
}

/// The hash that a node carries, if any.
pub(crate) fn hash_from_node(node: &Node) -> Option<u64> {
    match node.metadata.as_ref()?.fields.get(HOLDINGS_KEY)?.kind.as_ref()? {
        value::Kind::StringValue(hash) => u64::from_str_radix(hash, 16).ok(),
        _ => None,
    }
}
