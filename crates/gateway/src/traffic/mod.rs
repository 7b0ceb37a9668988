//! Callers' connections and the handling of their requests.

mod arrival;
mod attempt;
mod caller_socket;
mod caller_watch;
mod connecting;
mod connections;
mod crashes;
mod events;
mod exchange;
mod idle;
mod listener;
mod moves;
mod plain;
mod quota;
mod rate_limits;
mod reading;
mod reservation;
mod response;
mod resumption;
mod sending;
mod server_state;
mod silence;
mod slots;
mod stop_refusals;
mod stream;
mod unread_body;
mod versions;
mod waiting;

pub(crate) use attempt::Failure;
pub(crate) use connections::IdleConnections;
pub(crate) use exchange::Exchange;
pub(crate) use listener::{ACCEPT_PAUSE, serve};
pub(crate) use response::Refusal;
pub(crate) use versions::update_waiting;
