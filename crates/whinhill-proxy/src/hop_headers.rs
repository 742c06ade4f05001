//! Decides which of an RPC's headers are forwarded to the next hop. No I/O.
//!
//! Fields that describe a connection are not forwarded (RFC 9110, 7.6.1 and RFC 9113, 8.2.2), and a gateway names
//! itself in `via` (RFC 9110, 7.6.3). The headers that proxies set for servers are never taken from a client.

use http::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, VIA};
use whinhill_xds::ORCA_TRAILER;

use crate::forward::{ANSWERED_BY_HEADER, EPOCH_HEADER, PROXY_HEADER, SLICE_HEADER};

/// Hop-by-hop fields, in addition to those that `connection` names.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
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
/// Headers that each proxy sets itself.
const PROXY_SET_HEADERS: [&str; 4] = [SLICE_HEADER, EPOCH_HEADER, PROXY_HEADER, "grpc-timeout"];
/// The largest number of proxies that an RPC may have passed through before.
const MAX_HOPS: usize = 8;

/// Why an RPC is not forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HopError {
    /// `via` already names this proxy.
    #[error("it has come through this proxy before")]
    Loop,
    /// `via` names [`MAX_HOPS`] proxies or more.
    #[error("it has come through too many proxies")]
    TooManyHops,
}

/// Whether a field belongs to this hop only.
fn is_hop_by_hop(headers: &HeaderMap, name: &HeaderName) -> bool {
    let named = |value: &HeaderValue| {
        let names = value.to_str().unwrap_or_default();
        names.split(',').any(|named| named.trim().eq_ignore_ascii_case(name.as_str()))
    };
    HOP_BY_HOP_HEADERS.contains(&name.as_str()) || headers.get_all(CONNECTION).iter().any(named)
}

/// The fields that are not hop-by-hop.
fn end_to_end_headers(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    headers.iter().filter(|(name, _)| !is_hop_by_hop(headers, name))
}

/// The request headers for the next hop, without those that are set for each try.
pub fn request_headers(headers: &HeaderMap, proxy: &str) -> Result<HeaderMap, HopError> {
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 5);
    for (name, value) in
        end_to_end_headers(headers).filter(|(name, _)| !PROXY_SET_HEADERS.contains(&name.as_str()))
    {
        forwarded.append(name, value.clone());
    }
    forwarded.insert("te", HeaderValue::from_static("trailers"));
    let own_entry = format!("2 {}", via_pseudonym(proxy));
    let previous_hops: Vec<&str> =
        headers.get_all(VIA).iter().filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(',')).collect();
    if previous_hops.iter().any(|hop| hop.trim() == own_entry) {
        return Err(HopError::Loop);
    }
    if previous_hops.len() >= MAX_HOPS {
        return Err(HopError::TooManyHops);
    }
    if let Ok(value) = HeaderValue::from_str(&own_entry) {
        forwarded.append(VIA, value);
    }
    Ok(forwarded)
}

/// The headers or trailers of a response as the client gets them.
pub fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 1);
    for (name, value) in end_to_end_headers(headers).filter(|(name, _)| *name != ANSWERED_BY_HEADER) {
        forwarded.append(name, value.clone());
    }
    forwarded
}

/// The proxy's name as a token, which is what `via` may contain.
fn via_pseudonym(proxy: &str) -> String {
    proxy.chars().map(|c| if c.is_ascii_alphanumeric() || "-._".contains(c) { c } else { '_' }).collect()
}

/// The server's own load report (ORCA), from the trailers or from the head of a trailers-only response.
pub fn load_report(trailers: &HeaderMap) -> Option<&str> {
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
    fn hop_by_hop_headers_are_dropped_and_the_rest_is_forwarded() {
        let received = map(&[
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
        let forwarded = request_headers(&received, "p 1").unwrap();
        assert_eq!(names(&forwarded), ["content-type", "te", "via", "whinhill-key", "x-many", "x-trace-bin"]);
        assert_eq!(forwarded.get_all("x-many").iter().count(), 2);
        assert_eq!(forwarded["via"], "2 p_1");
    }

    #[test]
    fn headers_set_by_proxies_are_not_taken_from_a_client() {
        let received = map(&[
            ("whinhill-slice", "9"),
            ("whinhill-epoch", "99"),
            ("whinhill-proxy", "x"),
            ("grpc-timeout", "9H"),
        ]);
        assert_eq!(names(&request_headers(&received, "p").unwrap()), ["te", "via"]);
        assert_eq!(names(&response_headers(&map(&[("whinhill-answered-by", "x"), ("a", "b")]))), ["a"]);
    }

    #[test]
    fn looping_or_far_travelled_rpc_is_rejected() {
        let received = map(&[("via", "2 a, 2 p"), ("via", "2 c")]);
        assert_eq!(request_headers(&received, "p"), Err(HopError::Loop));
        assert!(request_headers(&received, "q").is_ok());
        let far = map(&[("via", "2 a,2 b,2 c,2 d,2 e,2 f,2 g,2 h")]);
        assert_eq!(request_headers(&far, "p"), Err(HopError::TooManyHops));
    }
}
