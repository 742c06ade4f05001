//! What of an RPC's headers goes on to the next hop. No I/O.
//!
//! RFC 9110, 7.6.1 and RFC 9113, 8.2.2: fields that describe a connection stay on it; a gateway names itself in `via`
//! (RFC 9110, 7.6.3). What proxies themselves tell servers is never taken from a client.

use http::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, VIA};
use whinhill_xds::ORCA_TRAILER;

use crate::forward::{ANSWERED_BY, EPOCH_HEADER, PROXY_HEADER, SLICE_HEADER};

/// Fields of one hop, whatever `connection` names.
const OF_A_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
];
/// Set anew by each proxy.
const OURS: [&str; 4] = [SLICE_HEADER, EPOCH_HEADER, PROXY_HEADER, "grpc-timeout"];
/// Proxies that an RPC may have come through.
const HOPS_MOST: usize = 8;

/// Why an RPC is not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HopError {
    #[error("it has come through this proxy before")]
    Loop,
    #[error("it has come through too many proxies")]
    TooFar,
}

fn of_a_hop(headers: &HeaderMap, name: &HeaderName) -> bool {
    let named = |value: &HeaderValue| {
        let names = value.to_str().unwrap_or_default();
        names.split(',').any(|named| named.trim().eq_ignore_ascii_case(name.as_str()))
    };
    OF_A_HOP.contains(&name.as_str()) || headers.get_all(CONNECTION).iter().any(named)
}

fn end_to_end(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    headers.iter().filter(|(name, _)| !of_a_hop(headers, name))
}

/// The headers of a request as the next hop gets them, but for those that each try sets.
pub fn request(headers: &HeaderMap, proxy: &str) -> Result<HeaderMap, HopError> {
    let mut on = HeaderMap::with_capacity(headers.len() + 5);
    for (name, value) in end_to_end(headers).filter(|(name, _)| !OURS.contains(&name.as_str())) {
        on.append(name, value.clone());
    }
    on.insert("te", HeaderValue::from_static("trailers"));
    let us = format!("2 {}", pseudonym(proxy));
    let before: Vec<&str> =
        headers.get_all(VIA).iter().filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(',')).collect();
    if before.iter().any(|hop| hop.trim() == us) {
        return Err(HopError::Loop);
    }
    if before.len() >= HOPS_MOST {
        return Err(HopError::TooFar);
    }
    if let Ok(value) = HeaderValue::from_str(&us) {
        on.append(VIA, value);
    }
    Ok(on)
}

/// The head or the trailers of an answer as the client gets them.
pub fn answer(headers: &HeaderMap) -> HeaderMap {
    let mut on = HeaderMap::with_capacity(headers.len() + 1);
    for (name, value) in end_to_end(headers).filter(|(name, _)| *name != ANSWERED_BY) {
        on.append(name, value.clone());
    }
    on
}

/// A proxy's name as `via` may hold it: a token.
fn pseudonym(proxy: &str) -> String {
    proxy.chars().map(|c| if c.is_ascii_alphanumeric() || "-._".contains(c) { c } else { '_' }).collect()
}

/// What a server tells of its own load, on an answer's trailers or, where they are all there is, its head.
pub fn load(trailers: &HeaderMap) -> Option<&str> {
    trailers.get(ORCA_TRAILER)?.to_str().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn map(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
        let mut map = HeaderMap::new();
        for (name, value) in pairs {
            map.append(*name, HeaderValue::from_static(value));
        }
        map
    }

    fn names(map: &HeaderMap) -> Vec<String> {
        let mut names: Vec<String> = map.keys().map(ToString::to_string).collect();
        names.sort();
        names
    }

    #[test]
    fn fields_of_a_hop_stay_and_the_rest_goes_on() {
        let came = map(&[
            ("content-type", "application/grpc+proto"),
            ("connection", "x-private, close"),
            ("x-private", "1"),
            ("keep-alive", "5"),
            ("proxy-authorization", "secret"),
            ("te", "trailers"),
            ("whinhill-key", "k"),
            ("x-trace-bin", "AAA"),
            ("x-many", "1"),
            ("x-many", "2"),
        ]);
        let on = request(&came, "p 1").unwrap();
        assert_eq!(names(&on), ["content-type", "te", "via", "whinhill-key", "x-many", "x-trace-bin"]);
        assert_eq!(on.get_all("x-many").iter().count(), 2);
        assert_eq!(on["via"], "2 p_1");
    }

    #[test]
    fn what_proxies_tell_servers_is_not_taken_from_a_client() {
        let came = map(&[
            ("whinhill-slice", "9"),
            ("whinhill-epoch", "99"),
            ("whinhill-proxy", "x"),
            ("grpc-timeout", "9H"),
        ]);
        assert_eq!(names(&request(&came, "p").unwrap()), ["te", "via"]);
        assert_eq!(names(&answer(&map(&[("whinhill-answered-by", "x"), ("a", "b")]))), ["a"]);
    }

    #[test]
    fn an_rpc_that_goes_in_circles_is_ended() {
        let came = map(&[("via", "2 a, 2 p"), ("via", "2 c")]);
        assert_eq!(request(&came, "p"), Err(HopError::Loop));
        assert!(request(&came, "q").is_ok());
        let far = map(&[("via", "2 a,2 b,2 c,2 d,2 e,2 f,2 g,2 h")]);
        assert_eq!(request(&far, "p"), Err(HopError::TooFar));
    }
}
