//! Callers' connections, and one request from its head to the end of its answer.

mod answer;
mod arrival;
mod attempt;
mod connections;
mod crashes;
mod events;
mod exchange;
mod listener;
mod plain;
mod quota;
mod slots;
mod stream;

pub(crate) use answer::Refusal;
pub(crate) use attempt::Failure;
pub(crate) use connections::Connections;
pub(crate) use exchange::Exchange;
pub(crate) use listener::{ACCEPT_PAUSE, serve};
