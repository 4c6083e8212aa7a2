//! The client side: reads requests, one at a time per connection, and writes their answers.
//!
//! [`ClientConnection`] is the state of one connection; it handles received bytes, half-closes, completed
//! writes and timeout checks. The requests themselves are processed by the gateway.
mod answer;
mod connection;
mod event;

pub(crate) use answer::Answer;
pub(crate) use connection::{ClientConnection, ClientRequest, TimeoutCheck};
pub(crate) use event::ReceivedEvent;
