//! A gateway process that is asked to stop while callers keep coming.

mod support;

use std::process::Stdio;
use std::time::Duration;

use carawayseam_platform_standins::caller::call_on;
use carawayseam_platform_standins::engine::{event, response_to, stream_head};
use carawayseam_platform_standins::{Engine, GatewayHarness, RawResponse, ReceivedRequest, Step};
use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::task::JoinSet;

use support::GatewayProcess;

const KEY: &str = "X-Credential: key-1\r\n";
/// A caller comes this often.
const PACE: Duration = Duration::from_millis(15);
/// Callers come for this long after the signal, beyond the process's end.
const CALLERS: u32 = 600;
const SIGNAL_AFTER: u32 = 40;
/// More than the kernel buffers for a connection.
const LARGE_BODY_BYTES: usize = 7_500_000;
/// A slow caller reads so much at a time, and pauses so long, that it reads until shortly before the latest end of the
/// process, which is 7.6 s after the signal.
const SLOW_READ_BYTES: usize = 64 * 1_024;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(60);
const LONG_TIMEOUT_MS: u64 = 4_000;
/// New streams are refused 2.8 s after the signal, and idle connections close 0.7 s later.
const BEFORE_STREAMS_ARE_REFUSED: Duration = Duration::from_millis(2_200);
/// A body pauses beyond both.
const BODY_PAUSE: Duration = Duration::from_millis(1_600);

/// Calls take 60 ms, streams half a second.
fn paced(received: &ReceivedRequest, _: usize) -> Vec<Step> {
    if received.head.contains("/guides/") {
        return vec![
            Step::Write(stream_head(received) + &event(1)),
            Step::WaitMs(500),
            Step::Write(event(2) + "0\r\n\r\n"),
        ];
    }
    vec![
        Step::WaitMs(60),
        Step::Write(response_to(received, "200 OK", "whole")),
    ]
}

/// Whether a caller got all of an answer, or the gateway did not take its request.
fn is_whole_or_untaken(response: &RawResponse) -> bool {
    match response.status {
        200 => response.body == "whole" || response.has_final_chunk(),
        503 => response.header("retry-after").is_some(),
        _ => response.head.is_empty(),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_cuts_no_request() {
    let engine = Engine::start(paced).await;
    let (mut harness, settings) = GatewayHarness::prepare().await;
    let mut process = GatewayProcess::start(&settings, Stdio::null());
    harness.wait_until_listening().await;
    harness.register_and_configure(&[&engine]).await;

    let pid = Pid::from_raw(i32::try_from(process.child.id()).expect("ids fit")).expect("it runs");
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        if number == SIGNAL_AFTER {
            kill_process(pid, Signal::TERM).expect("it runs");
        }
        let (gateway, path) = (
            harness.gateway,
            if number % 5 == 0 { "/guides/1" } else { "/calls/1" },
        );
        callers.spawn(async move {
            // The process may stop listening between two connections.
            let stream = tokio::net::TcpStream::connect(gateway).await.ok()?;
            call_on(stream, "POST", path, KEY, "{}").await
        });
        tokio::time::sleep(PACE).await;
    }
    let answers: Vec<RawResponse> = callers.join_all().await.into_iter().flatten().collect();
    let exit = process.child.wait().expect("it ends");
    assert!(exit.success(), "{exit}");
    for response in &answers {
        assert!(is_whole_or_untaken(response), "{response:?}");
    }
    let complete = answers.iter().filter(|response| response.status == 200).count();
    assert_eq!(
        complete,
        engine.received().len(),
        "each request that ran was answered whole"
    );
}

/// Guards against a response that is cut because the process ends while a slow caller still reads it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_lets_a_slow_caller_read_its_response() {
    let body = "a".repeat(LARGE_BODY_BYTES);
    let engine =
        Engine::start(move |received, _| vec![Step::Write(response_to(received, "200 OK", &body))]).await;
    let (mut harness, settings) = GatewayHarness::prepare().await;
    let mut process = GatewayProcess::start(&settings, Stdio::null());
    harness.wait_until_listening().await;
    harness.register_and_configure(&[&engine]).await;

    let socket = TcpSocket::new_v4().expect("a socket can be made");
    socket
        .set_recv_buffer_size(SLOW_READ_BYTES as u32)
        .expect("the buffer can be bounded");
    let mut stream = socket
        .connect(harness.gateway)
        .await
        .expect("the gateway accepts");
    let request = format!(
        "POST /calls/1 HTTP/1.1\r\nHost: firm.example\r\nX-Request-Id: request-1\r\nX-Deadline-Ms: 2000\r\n\
         {KEY}Content-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).await.expect("it is read");
    let mut buf = vec![0; SLOW_READ_BYTES];
    let mut read = stream.read(&mut buf).await.expect("the response begins");
    let pid = Pid::from_raw(i32::try_from(process.child.id()).expect("ids fit")).expect("it runs");
    kill_process(pid, Signal::TERM).expect("it runs");
    while read + SLOW_READ_BYTES < LARGE_BODY_BYTES
        && let Ok(len) = stream.read_exact(&mut buf).await
    {
        read += len;
        tokio::time::sleep(SLOW_READ_PAUSE).await;
    }
    read += stream.read_to_end(&mut buf).await.unwrap_or_default();
    assert!(read > LARGE_BODY_BYTES, "{read} bytes were received");
    let exit = process.child.wait().expect("it ends");
    assert!(exit.success(), "{exit}");
}

/// Guards against a stream that is lost or refused because its body is under way when new streams are refused and idle
/// connections close.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_answers_a_stream_whose_body_is_under_way() {
    let engine = Engine::start(paced).await;
    let (mut harness, settings) = GatewayHarness::prepare().await;
    let mut process = GatewayProcess::start(&settings, Stdio::null());
    harness.wait_until_listening().await;
    harness.set_route_timeout(LONG_TIMEOUT_MS);
    harness.register_and_configure(&[&engine]).await;

    let pid = Pid::from_raw(i32::try_from(process.child.id()).expect("ids fit")).expect("it runs");
    kill_process(pid, Signal::TERM).expect("it runs");
    tokio::time::sleep(BEFORE_STREAMS_ARE_REFUSED).await;
    let mut stream = tokio::net::TcpStream::connect(harness.gateway)
        .await
        .expect("the gateway accepts");
    let request = format!(
        "POST /guides/1 HTTP/1.1\r\nHost: firm.example\r\nX-Request-Id: request-1\r\n\
         X-Deadline-Ms: {LONG_TIMEOUT_MS}\r\n{KEY}Content-Length: 2\r\n\r\n{{"
    );
    stream.write_all(request.as_bytes()).await.expect("it is read");
    tokio::time::sleep(BODY_PAUSE).await;
    stream.write_all(b"}").await.expect("it is read");
    let mut received = String::new();
    let ended = stream.read_to_string(&mut received).await;
    assert!(ended.is_ok(), "{ended:?}");
    assert!(received.starts_with("HTTP/1.1 200"), "{received}");
    assert!(received.ends_with("0\r\n\r\n"), "{received}");
    let exit = process.child.wait().expect("it ends");
    assert!(exit.success(), "{exit}");
}
