//! Guards against a response that is cut at any byte and taken for a whole one, for a request that was not sent, or
//! for a reason to send a call that is not idempotent again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use carawayseam_clients::{CallError, EngineClient, FrameError, Http, KvClient, ServiceClient};
use carawayseam_external::engine::{AttemptRef, FrameBody, GenerateRequest};
use carawayseam_external::kv::PutRequest;
use carawayseam_external::service::{Call, CallResponse};
use carawayseam_types::Millis;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

const TIMEOUT: Millis = Millis(5_000);
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";

/// How a response shows its end.
#[derive(Debug, Clone, Copy)]
enum Framing {
    Length,
    Chunks,
    /// By the end of the connection.
    Neither,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Neither];

/// How a cut response ends.
#[derive(Debug, Clone, Copy)]
enum End {
    Close,
    Reset,
    /// By an empty line and a close.
    EmptyLine,
}

const ENDS: [End; 3] = [End::Close, End::Reset, End::EmptyLine];

/// The bytes that a server sends, and how it ends them.
#[derive(Debug)]
struct CutResponse {
    text: String,
    end: End,
}

/// A test server that counts the requests it reads, and sends the same bytes to each.
struct Server {
    address: SocketAddr,
    requests: Arc<AtomicU32>,
    accept_task: AbortHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

impl Server {
    async fn start(CutResponse { text, end }: &CutResponse) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("listener binds");
        let address = listener.local_addr().expect("listener has an address");
        let requests = Arc::new(AtomicU32::new(0));
        let (text, end, request_count) = (text.clone(), *end, Arc::clone(&requests));
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                serve(stream, &text, end, &request_count).await;
            }
        });
        Self {
            address,
            requests,
            accept_task: accepting.abort_handle(),
        }
    }
}

/// Reads one request, which is small enough to arrive in one read.
async fn serve(mut stream: TcpStream, response: &str, end: End, requests: &AtomicU32) {
    let mut buf = vec![0; 8_192];
    if stream.read(&mut buf).await.unwrap_or(0) == 0 {
        return;
    }
    requests.fetch_add(1, Ordering::SeqCst);
    let empty_line = match end {
        End::EmptyLine => "\r\n\r\n",
        End::Reset => {
            stream.set_zero_linger().expect("the socket is open");
            ""
        }
        End::Close => "",
    };
    // If the client has disconnected, its request is already counted.
    drop(
        stream
            .write_all(format!("{response}{empty_line}").as_bytes())
            .await,
    );
}

fn response(framing: Framing, body: &str) -> String {
    let length = body.len();
    match framing {
        Framing::Length => format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"),
        Framing::Chunks => {
            format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
        }
        Framing::Neither => format!("HTTP/1.1 200 OK\r\n\r\n{body}"),
    }
}

/// Returns each way in which a response with this body can be cut.
///
/// `least` is the number of the body's bytes that are needed to know it wholly.
fn cut_responses(body: &str, least: usize) -> Vec<CutResponse> {
    let mut cut = Vec::new();
    for framing in FRAMINGS {
        for interim in ["", INTERIM] {
            let whole = interim.to_owned() + &response(framing, body);
            let body_at = whole.find(body).expect("the body is in it");
            let head = interim.len() + response(framing, body).find("\r\n\r\n").expect("it has a head");
            for end in ENDS {
                let positions = match (framing, end) {
                    (_, End::EmptyLine) => head + 1,
                    (Framing::Neither, _) => body_at + least,
                    (Framing::Length | Framing::Chunks, _) => whole.len(),
                };
                let texts = (0..positions).map(|position| whole[..position].to_owned());
                cut.extend(texts.map(|text| CutResponse { text, end }));
            }
        }
    }
    cut
}

fn call() -> Call {
    Call {
        organisation: "alpha".parse().expect("valid id"),
        request_id: "r-1".parse().expect("valid id"),
        operation: "charge".to_owned(),
        body: serde_json::Value::Null,
    }
}

fn call_response() -> String {
    let response = CallResponse {
        request_id: "r-1".parse().expect("valid id"),
        version: "pay-1".parse().expect("valid id"),
        result: json!(12),
    };
    serde_json::to_string(&response).expect("the response encodes")
}

#[tokio::test]
async fn a_cut_call_is_lost_and_sent_once() {
    let body = call_response();
    let client = ServiceClient::new().expect("client builds");
    for cut in cut_responses(&body, body.len()) {
        let server = Server::start(&cut).await;
        let outcome = client.call(server.address, &call(), false, TIMEOUT).await;
        assert!(is_lost(&outcome), "{cut:?}: {outcome:?}");
        assert_eq!(server.requests.load(Ordering::SeqCst), 1, "{cut:?}");
    }
}

#[tokio::test]
async fn a_cut_call_that_may_be_repeated_is_lost() {
    let body = call_response();
    let client = ServiceClient::new().expect("client builds");
    for cut in cut_responses(&body, body.len()) {
        let server = Server::start(&cut).await;
        let outcome = client.call(server.address, &call(), true, TIMEOUT).await;
        assert!(is_lost(&outcome), "{cut:?}: {outcome:?}");
    }
}

/// Returns whether a call may have run, and its result is not known.
fn is_lost<T>(outcome: &Result<T, CallError>) -> bool {
    matches!(
        outcome,
        Err(CallError::ResponseLost(_) | CallError::MalformedResponse(_))
    )
}

#[tokio::test]
async fn a_cut_write_to_the_store_may_have_taken_effect() {
    let body = json!({"revision": 12}).to_string();
    let http = Http::builder().timeout(TIMEOUT).build().expect("client builds");
    for cut in cut_responses(&body, body.len()) {
        let server = Server::start(&cut).await;
        let store = KvClient::new(http.clone(), &format!("http://{}", server.address));
        let put = PutRequest::create("key", "value".to_owned());
        let outcome = store.put(&put).await;
        assert!(is_lost(&outcome), "{cut:?}: {outcome:?}");
    }
}

#[tokio::test]
async fn a_cut_read_of_the_store_is_lost() {
    let entry = json!({"key": "key", "value": "12", "revision": 12, "lease": null}).to_string();
    let http = Http::builder().timeout(TIMEOUT).build().expect("client builds");
    for cut in cut_responses(&entry, entry.len()) {
        let server = Server::start(&cut).await;
        let store = KvClient::new(http.clone(), &format!("http://{}", server.address));
        let outcome = store.get("key").await;
        assert!(is_lost(&outcome), "{cut:?}: {outcome:?}");
    }
}

fn generate_request() -> GenerateRequest {
    GenerateRequest {
        attempt: AttemptRef {
            host: "entry-1".parse().expect("valid id"),
            incarnation: 1,
            attempt: serde_json::from_value(json!(7)).expect("valid id"),
        },
        model: "m".parse().expect("valid id"),
        version: "v1".parse().expect("valid id"),
        prompt: "p".to_owned(),
        max_output_tokens: 1,
        resume_offset: 0,
        kv: None,
    }
}

#[tokio::test]
async fn a_cut_token_stream_has_no_end() {
    let tokens = r#"data: {"attempt":7,"kind":"tokens","offset":0,"count":1,"text":"t"}"#;
    let end = r#"data: {"attempt":7,"kind":"end","tokens":1}"#;
    let body = format!("{tokens}\n\n{end}\n\n");
    // With its line's end, the last frame is whole.
    let least = body.len() - 1;
    let client = EngineClient::new().expect("client builds");
    for cut in cut_responses(&body, least) {
        let server = Server::start(&cut).await;
        let mut frames = match client.generate(server.address, &generate_request()).await {
            Ok(frames) => frames,
            Err(e) => {
                assert!(matches!(e, CallError::ResponseLost(_)), "{cut:?}: {e:?}");
                continue;
            }
        };
        loop {
            match frames.next().await {
                Ok(frame) if matches!(frame.body, FrameBody::End { .. }) => {
                    assert!(cut.text.contains(&body[..least]), "{cut:?}");
                    break;
                }
                Ok(_) => {}
                Err(FrameError::Truncated | FrameError::Connection(_)) => break,
                Err(e) => panic!("{cut:?}: {e:?}"),
            }
        }
    }
}
