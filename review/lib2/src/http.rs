//! Clients' attempts, on connections of their own or on kept ones.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

pub struct Answer {
    /// 0 if the connection could not be established or closed before a head.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    pub connected: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|line| line.split_once(':'));
        let mut found = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.trim())
    }

    pub fn retry_after_ms(&self) -> Option<u64> {
        let seconds: f64 = self.header("retry-after")?.parse().ok()?;
        Some((seconds * 1_000.0) as u64)
    }
}

pub async fn attempt(gateway: SocketAddr, request: &str, limit: Duration) -> Answer {
    attempt_stream(gateway, request, limit, limit).await
}

/// Leaves also if nothing follows the head of the answer, or what came last, within `max_gap`.
pub async fn attempt_stream(
    gateway: SocketAddr,
    request: &str,
    limit: Duration,
    max_gap: Duration,
) -> Answer {
    let mut answer = Answer {
        status: 0,
        head: String::new(),
        body: Vec::new(),
        connected: false,
    };
    let Ok(Ok(mut stream)) = timeout(Duration::from_secs(1), TcpStream::connect(gateway)).await else {
        return answer;
    };
    answer.connected = true;
    let mut bytes = Vec::new();
    let exchange = async {
        if stream.write_all(request.as_bytes()).await.is_err() {
            return;
        }
        let mut buf = [0; 16_384];
        let mut event_at = Instant::now();
        while let Ok(Ok(len)) = timeout_at(event_at + max_gap, stream.read(&mut buf)).await {
            if len == 0 {
                break;
            }
            bytes.extend_from_slice(&buf[..len]);
            if !bytes.ends_with(b"\r\n\r\n") {
                event_at = Instant::now();
            }
        }
    };
    let _ = timeout(limit, exchange).await;
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    if let Some(end) = end {
        answer.head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        answer.body = bytes[end + 4..].to_vec();
        answer.status = answer
            .head
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
    }
    answer
}

/// Sends a request on a kept connection; returns the status of its complete answer, or `None` if the connection ends.
pub async fn exchange(stream: &mut TcpStream, request: &str) -> Option<u16> {
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
            let length: usize = length?.trim().parse().ok()?;
            if bytes.len() >= end + 4 + length {
                return head.split(' ').nth(1)?.parse().ok();
            }
        }
        match stream.read(&mut buf).await {
            Ok(len) if len > 0 => bytes.extend_from_slice(&buf[..len]),
            _ => return None,
        }
    }
}
