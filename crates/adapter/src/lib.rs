//! The simulator's wire on one side, calls of `applepond::control` on the other.
//! Every field is decoded where it is used; nothing is decided here.
mod host;

pub use host::Host;
