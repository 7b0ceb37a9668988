//! Tests when the kernel breaks a connection whose peer is silent.

use std::time::Duration;

use carawayseam_gateway::sockets;
use carawayseam_types::Millis;
use socket2::SockRef;
use tokio::net::TcpListener;

/// A sound server may be silent for a second or so; twice that must break nothing.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// A connection that is silent for good is found within this time.
const LONGEST_DETECTION: Duration = Duration::from_secs(8);

/// Returns when the kernel gives up keep-alive probes that stay unanswered, counted from the last byte received.
///
/// As tcp(7) says, a user timeout replaces the number of probes: the connection breaks at the first probe that is
/// due at or after it.
fn probes_given_up_after(socket: &SockRef<'_>) -> Duration {
    let first = socket.tcp_keepalive_time().expect("the option can be read");
    let interval = socket.tcp_keepalive_interval().expect("the option can be read");
    let retries = socket.tcp_keepalive_retries().expect("the option can be read");
    let user_timeout = socket.tcp_user_timeout().expect("the option can be read");
    match user_timeout.filter(|timeout| !timeout.is_zero()) {
        None => first + interval * retries,
        Some(user_timeout) => {
            let mut at = first + interval;
            while at < user_timeout {
                at += interval;
            }
            at
        }
    }
}

/// Guards against a connection to a server that the kernel breaks while the server pauses.
#[tokio::test]
async fn a_connection_to_a_server_outlives_a_pause_of_the_server() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let stream = sockets::connect(address, Millis(1_000), sockets::SERVER_SILENCE_LIMIT)
        .await
        .expect("the listener accepts");
    let socket = SockRef::from(&stream);
    let unacknowledged = socket.tcp_user_timeout().expect("the option can be read");
    let unacknowledged = unacknowledged.expect("a user timeout is set");
    assert!(unacknowledged > LONGEST_PAUSE, "{unacknowledged:?}");
    let probes = probes_given_up_after(&socket);
    assert!(probes > LONGEST_PAUSE && probes < LONGEST_DETECTION, "{probes:?}");
}
