use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Version;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::EXPECT;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::PROXY_AUTHORIZATION;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;

use crate::headers;

/// The head of a caller's request, as sent to targets.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The HTTP method.
    pub method: Method,
    /// The path and query; `/` if the caller sent none.
    pub path_and_query: Box<str>,
    /// The end-to-end headers, without hop-by-hop and reserved ones.
    pub headers: HeaderMap,
    /// Whether the caller accepts chunked answers; false for HTTP/1.0.
    pub allows_chunked: bool,
}

impl RequestHead {
    /// Copies the head of a request; a request without an id gets a random one.
    pub fn from_request<B>(request: &Request<B>) -> Self {
        let mut headers = request.headers().clone();
        remove_connection_headers(&mut headers);
        for name in [CONTENT_LENGTH, EXPECT, PROXY_AUTHORIZATION] {
            headers.remove(name);
        }
        if !headers.contains_key(headers::REQUEST_ID)
            && let Ok(id) = HeaderValue::from_str(&format!("{:016x}", rand::random::<u64>()))
        {
            headers.insert(headers::REQUEST_ID, id);
        }
        let path_and_query = request.uri().path_and_query().map_or("/", |p| p.as_str());
        Self {
            method: request.method().clone(),
            path_and_query: path_and_query.into(),
            headers,
            allows_chunked: request.version() >= Version::HTTP_11,
        }
    }
}

/// Removes hop-by-hop headers and those that only the front may set.
pub(super) fn remove_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != CONTENT_LENGTH)
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    let reserved: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(headers::RESERVED_PREFIX))
        .cloned()
        .collect();
    for name in reserved {
        headers.remove(name);
    }
}
