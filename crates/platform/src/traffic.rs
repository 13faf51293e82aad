//! Counters of the traffic with the platform.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use reqwest::{Request, Response, header::HeaderMap};

/// The traffic with the platform: the request lines, headers and bodies of calls.
///
/// Headers that the HTTP library adds by itself and the headers of TCP and IP are not counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformTraffic {
    /// Bytes of requests.
    pub sent_bytes: u64,
    /// Bytes of responses; bodies count only if they were read.
    pub received_bytes: u64,
    /// Number of calls.
    pub calls: u64,
}

/// The counters from which [`PlatformTraffic`] is read. Clones share the counters.
#[derive(Debug, Clone, Default)]
pub(crate) struct TrafficCounters(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    calls: AtomicU64,
}

impl TrafficCounters {
    pub(crate) fn record_request(&self, request: &Request) {
        let query = request.url().query().map_or(0, str::len);
        let body = request.body().and_then(|body| body.as_bytes()).map_or(0, <[u8]>::len);
        let line = request.method().as_str().len() + request.url().path().len() + query;
        let bytes = line + header_bytes(request.headers()) + body;
        self.0.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.0.calls.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn record_response(&self, response: &Response) {
        self.record_received(header_bytes(response.headers()));
    }

    pub(crate) fn record_received(&self, bytes: usize) {
        self.0.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn read(&self) -> PlatformTraffic {
        PlatformTraffic {
            sent_bytes: self.0.sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.0.received_bytes.load(Ordering::Relaxed),
            calls: self.0.calls.load(Ordering::Relaxed),
        }
    }
}

fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}
