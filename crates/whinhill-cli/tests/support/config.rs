//! Configuration files for an assigner on the platform.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use tempfile::TempDir;

/// A configuration with one zone, two classes and at most 256 sockets.
pub fn config(relay: SocketAddr, discovery: SocketAddr) -> String {
    config_with_sockets(relay, discovery, 256)
}

/// The same with another limit on the number of sockets.
pub fn config_with_sockets(relay: SocketAddr, discovery: SocketAddr, sockets: usize) -> String {
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

/// Writes a configuration to a temporary folder of its own; returns the folder and the path of the file.
pub fn write_config(text: &str) -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    fs::write(&path, text).unwrap();
    (folder, path)
}
