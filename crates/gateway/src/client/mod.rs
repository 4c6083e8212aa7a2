//! The client side: reads exchanges, one at a time on a connection, and writes the answer of each.
//!
//! Each [`ClientConnection`] owns the state of one connection; bytes, half-closes, drained writes and the
//! timeout checks of the gateway enter there. What an exchange means is decided by the gateway.
mod answer;
mod connection;
mod event;

pub(crate) use answer::Answer;
pub(crate) use connection::{ClientConnection, ClientRequest, TimeoutCheck};
pub(crate) use event::EventDraft;
