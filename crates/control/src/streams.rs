//! Streams from peers, which ask for records.

use carawayseam_node::{FrameStream, StreamError};
use carawayseam_types::Millis;
use carawayseam_wire::{StreamReply, StreamRequest};
use tokio::net::{TcpListener, TcpStream};

use crate::state::ControlHandle;

const FIRST_MESSAGE_LIMIT: Millis = Millis(2_000);

/// Takes peers' streams until the process ends.
pub(crate) async fn accept(control: ControlHandle, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(take(control.clone(), stream))),
            Err(e) => log::warn!("a peer's stream was not accepted: {e}"),
        }
    }
}

async fn take(control: ControlHandle, stream: TcpStream) {
    if let Err(e) = answer(&control, FrameStream::new(stream)).await {
        log::debug!("a peer's stream ended: {e}");
    }
}

async fn answer(control: &ControlHandle, mut stream: FrameStream) -> Result<(), StreamError> {
    match stream.receive_within(FIRST_MESSAGE_LIMIT).await? {
        StreamRequest::Heads => stream.send(&StreamReply::Heads(control.heads().await)).await,
        StreamRequest::Pull(key) => {
            stream
                .send(&StreamReply::Record(control.local_record(key).await))
                .await
        }
        // Requests are handed to entry processes only; closing the stream says so.
        StreamRequest::Forward(_) => Err(StreamError::Unexpected),
    }
}
