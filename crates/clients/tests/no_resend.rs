//! Guards against the HTTP library resending a request or following a redirect by
//! itself, which would run a call twice that is not idempotent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use carawayseam_clients::{CallError, ServiceClient};
use carawayseam_external::service::{Call, CallResponse};
use carawayseam_types::Millis;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Millis = Millis(5_000);

/// The reaction of the test server to a request.
#[derive(Debug, Clone, Copy)]
enum Reaction {
    Close,
    Redirect,
    Respond,
}

/// A test server that counts the requests it reads.
struct Server {
    address: SocketAddr,
    requests: Arc<AtomicU32>,
}

impl Server {
    async fn start(reaction: Reaction) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("listener binds");
        let address = listener.local_addr().expect("listener has an address");
        let requests = Arc::new(AtomicU32::new(0));
        let request_count = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, reaction, Arc::clone(&request_count)));
            }
        });
        Self { address, requests }
    }

    fn requests(&self) -> u32 {
        self.requests.load(Ordering::SeqCst)
    }
}

/// Reads one request, which is small enough to arrive in one read, then closes the connection.
///
/// A connection closed after its response would stay in a pool as a dead connection.
async fn serve(mut stream: TcpStream, reaction: Reaction, requests: Arc<AtomicU32>) {
    let mut buf = vec![0; 8_192];
    let received = stream.read(&mut buf).await.unwrap_or(0);
    if received == 0 {
        return;
    }
    requests.fetch_add(1, Ordering::SeqCst);
    let response = match reaction {
        Reaction::Close => return,
        Reaction::Redirect => {
            "HTTP/1.1 307 Temporary Redirect\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\r\n".to_owned()
        }
        Reaction::Respond => {
            let body = serde_json::to_string(&call_response()).expect("response encodes");
            let length = body.len();
            format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
            )
        }
    };
    // If the client has disconnected, its request is already counted.
    drop(stream.write_all(response.as_bytes()).await);
}

fn call() -> Call {
    Call {
        organisation: "alpha".parse().expect("valid id"),
        request_id: "r-1".parse().expect("valid id"),
        operation: "charge".to_owned(),
        body: serde_json::Value::Null,
    }
}

fn call_response() -> CallResponse {
    CallResponse {
        request_id: "r-1".parse().expect("valid id"),
        version: "pay-1".parse().expect("valid id"),
        result: serde_json::Value::Null,
    }
}

#[tokio::test]
async fn closed_after_the_request_is_lost_and_sent_once() {
    let server = Server::start(Reaction::Close).await;
    let client = ServiceClient::new().expect("client builds");
    let outcome = client.call(server.address, &call(), false, TIMEOUT).await;
    assert!(matches!(outcome, Err(CallError::ResponseLost(_))), "{outcome:?}");
    assert_eq!(server.requests(), 1);
}

#[tokio::test]
async fn redirect_is_a_status_and_is_not_followed() {
    let server = Server::start(Reaction::Redirect).await;
    let client = ServiceClient::new().expect("client builds");
    let outcome = client.call(server.address, &call(), false, TIMEOUT).await;
    assert!(
        matches!(outcome, Err(CallError::Status { status: 307 })),
        "{outcome:?}"
    );
    assert_eq!(server.requests(), 1);
}

#[tokio::test]
async fn connection_closed_after_an_answer_is_never_used_again() {
    let server = Server::start(Reaction::Respond).await;
    let client = ServiceClient::new().expect("client builds");
    for number in 1..=5 {
        let outcome = client.call(server.address, &call(), false, TIMEOUT).await;
        assert!(outcome.is_ok(), "{outcome:?}");
        assert_eq!(server.requests(), number);
    }
}

#[tokio::test]
async fn refused_connection_is_certainly_not_sent() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("listener binds");
    let address = listener.local_addr().expect("listener has an address");
    drop(listener);
    let client = ServiceClient::new().expect("client builds");
    let outcome = client.call(address, &call(), false, TIMEOUT).await;
    assert!(matches!(&outcome, Err(e) if e.is_not_sent()), "{outcome:?}");
}
