//! The HTTP library sends nothing again by itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use carawayseam_clients::{CallError, ServiceClient};
use carawayseam_external::service::{Call, CallResponse};
use carawayseam_types::Millis;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Millis = Millis(5_000);

/// What a server does with a connection after it has read a request.
#[derive(Debug, Clone, Copy)]
enum Then {
    Close,
    Redirect,
    Answer,
}

/// A server that counts the requests it reads.
struct Server {
    address: SocketAddr,
    requests: Arc<AtomicU32>,
}

impl Server {
    async fn start(then: Then) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("it listens");
        let address = listener.local_addr().expect("it has an address");
        let requests = Arc::new(AtomicU32::new(0));
        let counted = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, then, Arc::clone(&counted)));
            }
        });
        Self { address, requests }
    }

    fn requests(&self) -> u32 {
        self.requests.load(Ordering::SeqCst)
    }
}

/// Reads one request, which is small enough to come in one piece, then closes.
///
/// Closing after an answer leaves a pool with a dead connection.
async fn serve(mut stream: TcpStream, then: Then, requests: Arc<AtomicU32>) {
    let mut buf = vec![0; 8_192];
    let read = stream.read(&mut buf).await.unwrap_or(0);
    if read == 0 {
        return;
    }
    requests.fetch_add(1, Ordering::SeqCst);
    let answer = match then {
        Then::Close => return,
        Then::Redirect => {
            "HTTP/1.1 307 Temporary Redirect\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\r\n".to_owned()
        }
        Then::Answer => {
            let body = serde_json::to_string(&answer()).expect("it encodes");
            let length = body.len();
            format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
            )
        }
    };
    // A client that is gone has its count already.
    drop(stream.write_all(answer.as_bytes()).await);
}

fn call() -> Call {
    Call {
        organisation: "alpha".parse().expect("a name"),
        request_id: "r-1".parse().expect("a name"),
        operation: "charge".to_owned(),
        body: serde_json::Value::Null,
    }
}

fn answer() -> CallResponse {
    CallResponse {
        request_id: "r-1".parse().expect("a name"),
        version: "pay-1".parse().expect("a name"),
        result: serde_json::Value::Null,
    }
}

#[tokio::test]
async fn closed_after_the_request_is_lost_and_sent_once() {
    let server = Server::start(Then::Close).await;
    let client = ServiceClient::new().expect("a client");
    let outcome = client.call(server.address, &call(), false, TIMEOUT).await;
    assert!(matches!(outcome, Err(CallError::ResponseLost(_))), "{outcome:?}");
    assert_eq!(server.requests(), 1);
}

#[tokio::test]
async fn redirect_is_a_status_and_is_not_followed() {
    let server = Server::start(Then::Redirect).await;
    let client = ServiceClient::new().expect("a client");
    let outcome = client.call(server.address, &call(), false, TIMEOUT).await;
    assert!(
        matches!(outcome, Err(CallError::Status { status: 307 })),
        "{outcome:?}"
    );
    assert_eq!(server.requests(), 1);
}

#[tokio::test]
async fn connection_closed_after_an_answer_is_never_used_again() {
    let server = Server::start(Then::Answer).await;
    let client = ServiceClient::new().expect("a client");
    for number in 1..=5 {
        let outcome = client.call(server.address, &call(), false, TIMEOUT).await;
        assert!(outcome.is_ok(), "{outcome:?}");
        assert_eq!(server.requests(), number);
    }
}

#[tokio::test]
async fn refused_connection_is_certainly_not_sent() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    drop(listener);
    let client = ServiceClient::new().expect("a client");
    let outcome = client.call(address, &call(), false, TIMEOUT).await;
    assert!(matches!(&outcome, Err(e) if e.is_not_sent()), "{outcome:?}");
}
