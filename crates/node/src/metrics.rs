//! Metrics over StatsD.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, Timed, UdpMetricSink};
use carawayseam_types::Millis;

const PREFIX: &str = "carawayseam";

/// A client for counters, gauges and timers; metrics may be lost without consequences.
#[derive(Debug, Clone)]
pub struct Metrics(Arc<StatsdClient>);

impl Metrics {
    /// Creates a client that sends to the server at `address`, or discards all metrics without one.
    #[must_use]
    pub fn new(address: Option<SocketAddr>) -> Self {
        let udp_sink = address.and_then(connect_sink);
        let client = match udp_sink {
            Some(sink) => StatsdClient::from_sink(PREFIX, sink),
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        Self(Arc::new(client))
    }

    /// Increments a counter.
    pub fn count(&self, name: &str) {
        if let Err(e) = self.0.count(name, 1) {
            log::debug!("metric {name} was not sent: {e}");
        }
    }

    /// Records the value of a gauge.
    pub fn gauge(&self, name: &str, level: u64) {
        if let Err(e) = self.0.gauge(name, level) {
            log::debug!("metric {name} was not sent: {e}");
        }
    }

    /// Records a duration.
    pub fn time(&self, name: &str, time: Millis) {
        if let Err(e) = self.0.time(name, time.0) {
            log::debug!("metric {name} was not sent: {e}");
        }
    }
}

fn connect_sink(address: SocketAddr) -> Option<UdpMetricSink> {
    let socket = UdpSocket::bind(("0.0.0.0", 0)).ok()?;
    socket.set_nonblocking(true).ok()?;
    UdpMetricSink::from(address, socket).ok()
}
